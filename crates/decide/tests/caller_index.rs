//! Routes by host and path, API keys, and weights of a split route.

use std::{collections::BTreeMap, sync::Arc};

use cassiawheel_decide::{CallerIndex, UnknownKey, pick_service};
use cassiawheel_model::{
    CallerLimits, CallerTable, HomeRegions, RouteKind, RouteRule, RouteShare, ServiceName,
    WorkspaceId,
};
use rstest::rstest;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("valid")
}

fn rule(host: &str, prefix: &str, shares: &[(&str, u32)], is_public: bool) -> RouteRule {
    let share =
        |(name, weight): &(&str, u32)| RouteShare { service: service(name), weight: *weight };
    RouteRule {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        shares: shares.iter().map(share).collect(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        aim_ms: 100,
        max_attempts: 2,
        is_public,
        homes: HomeRegions::default(),
        urgency: None,
    }
}

fn index(routes: Vec<RouteRule>) -> CallerIndex {
    let keys = BTreeMap::from([("key-one".to_owned(), WorkspaceId::new("one").expect("valid"))]);
    let limits =
        CallerLimits { head_bytes: 16_384, body_bytes: 1 << 20, head_ms: 3_000, idle_ms: 15_000 };
    CallerIndex::new(Arc::new(CallerTable {
        routes,
        keys,
        workspace_homes: BTreeMap::new(),
        cold_limits: BTreeMap::new(),
        warm_up_ms: BTreeMap::new(),
        workspace_urgencies: BTreeMap::new(),
        needs_key: true,
        limits,
    }))
}

/// The longest matching prefix wins, a prefix ends at a slash, and each host has its own routes.
#[rstest]
#[case("a.example", "/tours/x", Some("a.example/tours/"))]
#[case("a.example", "/tours/groups/7", Some("a.example/tours/groups/"))]
#[case("a.example", "/tours/groups", Some("a.example/tours/"))]
#[case("a.example", "/toursgroups/", Some("a.example/"))]
#[case("a.example", "/", Some("a.example/"))]
#[case("b.example", "/tours/x", None)]
#[case("c.example", "/tours/x", None)]
fn the_longest_prefix_wins(#[case] host: &str, #[case] path: &str, #[case] found: Option<&str>) {
    let shares = [("desk", 1)];
    let index = index(vec![
        rule("a.example", "/", &shares, false),
        rule("a.example", "/tours/", &shares, false),
        rule("a.example", "/tours/groups/", &shares, false),
        rule("b.example", "/desk/", &shares, false),
    ]);
    assert_eq!(index.route(host, path).map(|rule| rule.name.as_str()), found);
}

/// Guards against running a request whose key was revoked while its caller was connected, or
/// guessed. Public routes need no key.
#[test]
fn only_known_keys_open_routes_that_need_one() {
    let closed = rule("a.example", "/", &[("desk", 1)], false);
    let public = rule("a.example", "/open/", &[("desk", 1)], true);
    let index = index(vec![closed.clone(), public.clone()]);
    let known = index.workspace(&closed, Some("key-one"));
    assert_eq!(known.map(|workspace| workspace.map(WorkspaceId::as_str)), Ok(Some("one")));
    assert_eq!(index.workspace(&closed, Some("key-two")), Err(UnknownKey));
    assert_eq!(index.workspace(&closed, None), Err(UnknownKey));
    assert_eq!(index.workspace(&public, None), Ok(None));
}

/// Each service gets its weight of all points, and one of weight zero gets none.
#[test]
fn shares_follow_the_weights() {
    let rule = rule("a.example", "/", &[("old", 90), ("none", 0), ("new", 10)], false);
    let drawn = |name: &str| {
        (0..1_000).filter(|point| pick_service(&rule, *point) == Some(&service(name))).count()
    };
    assert_eq!((drawn("old"), drawn("none"), drawn("new")), (900, 0, 100));
}
