//! Requests are served in their home regions only, and callers are advised accordingly.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU32},
};

use cassiawheel_decide::{
    CallerIndex, CallerLocation, EndpointPath, EndpointTracker, EntryCandidate, RouteCandidate,
    RouteQuery, RouteSnapshot, ServiceRoutes, advise,
};
use cassiawheel_model::{
    CallerLimits, CallerTable, Deadline, FailureDomain, HomeRegions, InstanceId, RegionName,
    RouteKind, RouteRule, ServiceName, Timestamp, WorkspaceId,
};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);

fn region(name: &str) -> RegionName {
    RegionName::new(name).expect("valid")
}

fn homes(names: &[&str]) -> HomeRegions {
    HomeRegions::new(names.iter().map(|name| region(name)))
}

fn service() -> ServiceName {
    ServiceName::new("desk").expect("valid")
}

/// Endpoints in these regions with `slots` slots each; an empty name is an unknown region.
fn routes(regions: &[&str], slots: u32) -> RouteSnapshot {
    let candidate = |(index, name): (usize, &&str)| {
        let tracker = Arc::new(EndpointTracker::default());
        tracker.set_hard_limit(slots);
        RouteCandidate {
            born_at: None,
            instance: InstanceId::new(&format!("i-{index}")).expect("valid"),
            version: None,
            is_near: index == 0,
            region: (!name.is_empty()).then(|| region(name)),
            path: EndpointPath::Direct("10.0.0.1:8001".parse().expect("valid")),
            tracker,
        }
    };
    let candidates = regions.iter().enumerate().map(candidate).collect();
    let routes = ServiceRoutes::new(candidates, Arc::new(AtomicU32::new(0)));
    RouteSnapshot::new(HashMap::from([(service(), routes)]))
}

fn query<'a>(service: &'a ServiceName, homes: &'a HomeRegions) -> RouteQuery<'a> {
    RouteQuery {
        service,
        excluded: &[],
        prefix: Some(7),
        version: None,
        allowed: None,
        allowed_far: None,
        homes,
        extra_capacity: 0,
        max_in_flight: 1_024,
        now: NOW,
    }
}

/// Regions of the endpoints that get requests until no further one is accepted.
fn chosen_regions(routes: &RouteSnapshot, homes: &HomeRegions, seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let service = service();
    let query = query(&service, homes);
    let mut chosen = Vec::new();
    while let Some(choice) = routes.acquire(&query, &mut rng) {
        let region = choice.candidate.region.as_ref();
        chosen.push(region.map_or(String::new(), ToString::to_string));
    }
    chosen
}

/// Guards against requests that leave their homes once all endpoints there are full.
#[rstest]
#[case::one_home(&["west"], 2 * 4)]
#[case::two_homes(&["west", "north"], 3 * 4)]
#[case::no_endpoint_at_home(&["east"], 0)]
#[case::unrestricted(&[], 5 * 4)]
fn requests_fill_the_endpoints_of_their_homes_only(
    #[case] names: &[&str],
    #[case] expected: usize,
) {
    for seed in 0..50 {
        let routes = routes(&["north", "south", "west", "west", ""], 4);
        let chosen = chosen_regions(&routes, &homes(names), seed);
        assert_eq!(chosen.len(), expected);
        assert!(names.is_empty() || chosen.iter().all(|region| names.contains(&region.as_str())));
    }
}

fn index(route_homes: HomeRegions, workspace_homes: HomeRegions) -> (CallerIndex, WorkspaceId) {
    let workspace = WorkspaceId::new("shop").expect("valid");
    let rule = |prefix: &str, homes: &HomeRegions| RouteRule {
        name: prefix.to_owned(),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        shares: Vec::new(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        aim_ms: 100,
        max_attempts: 2,
        is_public: false,
        homes: homes.clone(),
        urgency: None,
    };
    let table = CallerTable {
        routes: vec![rule("/at-home/", &route_homes), rule("/", &HomeRegions::default())],
        keys: BTreeMap::from([("key".to_owned(), workspace.clone())]),
        workspace_homes: BTreeMap::from([(workspace.clone(), workspace_homes)]),
        needs_key: true,
        cold_limits: BTreeMap::new(),
        warm_up_ms: BTreeMap::new(),
        workspace_urgencies: BTreeMap::new(),
        limits: CallerLimits { head_bytes: 1, body_bytes: 1, head_ms: 1, idle_ms: 1 },
    };
    (CallerIndex::new(Arc::new(table)), workspace)
}

/// Guards against serving a request in a home of its route that is none of its workspace.
#[rstest]
#[case::route_only(&["west"], &[], Some(&["west"][..]))]
#[case::workspace_only(&[], &["north"], Some(&["north"][..]))]
#[case::both_bind(&["west", "north"], &["north", "south"], Some(&["north"][..]))]
#[case::nothing_in_common(&["west"], &["north"], None)]
fn homes_of_route_and_workspace_both_bind(
    #[case] of_route: &[&str],
    #[case] of_workspace: &[&str],
    #[case] expected: Option<&[&str]>,
) {
    let (index, workspace) = index(homes(of_route), homes(of_workspace));
    let rule = index.route("desk.example", "/at-home/x").expect("a route");
    assert_eq!(index.homes(rule, Some(&workspace)), expected.map(homes));
}

fn entry(number: u8, domain: &str, name: &str) -> EntryCandidate {
    EntryCandidate {
        caller_addr: SocketAddr::from(([10, 0, 0, number], 80)),
        failure_domain: FailureDomain::new(domain).expect("valid"),
        region: Some(region(name)),
        in_flight: 0,
        leaving: false,
    }
}

/// Guards against advising a caller to send a body to an entry outside its homes.
#[rstest]
#[case::own_domain_first(&["a"], &["a", "b", "c", "d"])]
#[case::own_region_next(&["b"], &["b", "c", "d"])]
#[case::then_homes(&["c"], &["c", "d"])]
#[case::others_if_nothing_else(&["d"], &["d"])]
fn callers_are_advised_to_use_entries_in_their_region_or_homes(
    #[case] first: &[&str],
    #[case] present: &[&str],
) {
    let places = [("a", "north"), ("b", "north"), ("c", "west"), ("d", "south")];
    let entries: Vec<_> = places
        .iter()
        .zip(1..)
        .filter(|((domain, _), _)| present.contains(domain))
        .map(|((domain, region), number)| entry(number, domain, region))
        .collect();
    let (domain, own, west) =
        (FailureDomain::new("a").expect("valid"), region("north"), homes(&["west"]));
    let caller = CallerLocation { failure_domain: &domain, region: Some(&own), homes: &[&west] };
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let advice = advise(&entries, caller, 8, Deadline(0), &mut rng);
        let named = |addr: &SocketAddr| {
            let entry = entries.iter().find(|entry| entry.caller_addr == *addr);
            entry.map(|entry| entry.failure_domain.to_string())
        };
        let named: Vec<_> = advice.addresses.iter().filter_map(named).collect();
        assert_eq!(named.first().map(String::as_str), first.first().copied());
        assert!(present == ["d"] || !named.contains(&"d".to_owned()), "{named:?}");
    }
}
