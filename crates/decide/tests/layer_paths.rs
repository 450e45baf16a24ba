//! Paths through endpoints that have loaded a part of the layers each.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};

use cassiawheel_decide::{
    EndpointPace, EndpointPath, EndpointTracker, LayerHolder, MemberState, PATH_TTL_MS,
    PathCandidate, RouteCandidate, RouteQuery, RouteSnapshot, ServiceRoutes, SlotCompetitor,
    form_paths,
};
use cassiawheel_model::{
    EVERYWHERE, HomeRegions, InstanceId, LayerPath, LayerRange, MAX_PATH_MEMBERS, ModelVersion,
    PathError, PathMember, RegionName, ServiceName, Timestamp,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use rstest::rstest;

const LAYERS: u32 = 40;
const HALF: u32 = 20;
const SLOTS: u32 = 2;
const NOW: Timestamp = Timestamp(1_000_000);

fn version(number: u32) -> ModelVersion {
    ModelVersion::new(&format!("m:{number}")).expect("valid")
}

fn region(name: &str) -> RegionName {
    RegionName::new(name).expect("valid")
}

fn member(index: usize, from: u32, to: u32, number: u32) -> PathMember {
    PathMember {
        instance: InstanceId::new(&format!("i-{index}")).expect("valid"),
        addr: SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16)),
        born_at: None,
        version: version(number),
        range: LayerRange::new(from, to).expect("not empty"),
    }
}

fn holder(index: usize, (from, to): (u32, u32), number: u32, place: &str) -> LayerHolder {
    LayerHolder { member: member(index, from, to, number), region: Some(region(place)) }
}

const LOWER: (u32, u32) = (0, HALF);
const UPPER: (u32, u32) = (HALF, LAYERS);

/// Guards against an answer from partial or mixed weights: engines do not check a path.
#[rstest]
#[case::none(vec![], PathError::Empty)]
#[case::gap(vec![member(0, 0, 19, 1), member(1, 20, 40, 1)], PathError::Misplaced { instance: member(1, 0, 1, 1).instance, expected: 19, from: 20 })]
#[case::overlap(vec![member(0, 0, 21, 1), member(1, 20, 40, 1)], PathError::Misplaced { instance: member(1, 0, 1, 1).instance, expected: 21, from: 20 })]
#[case::order(vec![member(0, 20, 40, 1), member(1, 0, 20, 1)], PathError::Misplaced { instance: member(0, 0, 1, 1).instance, expected: 0, from: 20 })]
#[case::end(vec![member(0, 0, 20, 1), member(1, 20, 39, 1)], PathError::Incomplete { to: 39, layers: LAYERS })]
#[case::versions(vec![member(0, 0, 20, 1), member(1, 20, 40, 2)], PathError::OtherVersion(member(1, 0, 1, 1).instance))]
#[case::twice(vec![member(0, 0, 20, 1), member(0, 20, 40, 1)], PathError::Repeated(member(0, 0, 1, 1).instance))]
#[case::long((0..33).map(|i| member(i as usize, i, i + 1, 1)).collect(), PathError::TooLong(MAX_PATH_MEMBERS + 1))]
fn an_invalid_path_cannot_be_made(#[case] members: Vec<PathMember>, #[case] error: PathError) {
    assert_eq!(LayerPath::new(LAYERS, members), Err(error));
}

/// Guards against two endpoints under one address, of which one is gone.
#[test]
fn an_address_is_on_a_path_once() {
    let twin = PathMember { addr: member(0, 0, 1, 1).addr, ..member(1, HALF, LAYERS, 1) };
    let made = LayerPath::new(LAYERS, vec![member(0, 0, HALF, 1), twin]);
    assert!(matches!(made, Err(PathError::Repeated(_))));
}

/// Guards against entries that pair the same endpoints differently, against invalid paths, and
/// against an endpoint on two paths, whatever the reports of an entry are.
#[test]
fn paths_depend_on_the_reports_and_not_on_their_order() {
    let mut rng = SmallRng::seed_from_u64(11);
    let ranges =
        [LOWER, UPPER, LOWER, UPPER, (0, 19), (19, 40), (10, 30), (0, 13), (13, 20), (0, 40)];
    let mut formed = 0;
    for _ in 0..200 {
        let count = rng.random_range(0..30);
        let mut holders: Vec<_> = (0..count)
            .map(|index| {
                let range = ranges[rng.random_range(0..ranges.len())];
                let place = ["a", "b", "c"][rng.random_range(0..3)];
                holder(index, range, rng.random_range(1..3), place)
            })
            .collect();
        let paths = form_paths(LAYERS, &holders);
        formed += paths.len();
        let places: HashMap<_, _> =
            holders.iter().map(|h| (h.member.instance.clone(), h.region.clone())).collect();
        let mut used = HashSet::new();
        for path in &paths {
            assert!(path.members().len() > 1);
            // The constructor checks ranges, versions and repetitions.
            assert_eq!(LayerPath::new(LAYERS, path.members().to_vec()).as_ref(), Ok(path));
            assert!(path.members().iter().all(|m| used.insert(m.instance.clone())), "{path}");
        }
        let is_local = |path: &&LayerPath| {
            path.members().iter().all(|m| places[&m.instance] == places[&path.first().instance])
        };
        for path in paths.iter().filter(|path| !is_local(path)) {
            for m in path.members() {
                let local = paths.iter().filter(is_local).filter(|p| p.version() == path.version());
                let has_local =
                    local.into_iter().any(|p| places[&p.first().instance] == places[&m.instance]);
                assert!(!has_local, "{path} crosses regions although one forms its own");
            }
        }
        holders.shuffle(&mut rng);
        assert_eq!(form_paths(LAYERS, &holders), paths);
    }
    assert!(formed > 100, "only {formed} paths");
}

/// Guards against endpoints that wait for a partner although their region has one.
#[test]
fn every_member_of_a_region_is_paired_in_it() {
    let holders: Vec<_> = (0..20)
        .map(|i| {
            holder(i, if i < 10 { LOWER } else { UPPER }, 1, if i % 2 == 0 { "a" } else { "b" })
        })
        .collect();
    let paths = form_paths(LAYERS, &holders);
    assert_eq!(paths.len(), 10);
    let place = |m: &PathMember| holders.iter().find(|h| h.member == *m).map(|h| &h.region);
    for path in &paths {
        assert_eq!(place(&path.members()[0]), place(&path.members()[1]), "{path}");
    }
}

/// Guards against a version that no caller gets although all regions together hold it.
#[test]
fn a_region_with_one_half_uses_the_other_half_of_another_region() {
    let halves = [holder(0, LOWER, 1, "a"), holder(1, UPPER, 1, "b")];
    assert_eq!(form_paths(LAYERS, &halves).len(), 1);
    let third = [holder(2, LOWER, 1, "b")];
    let paths = form_paths(LAYERS, &[&halves[..], &third[..]].concat());
    assert_eq!(paths.len(), 1);
    assert_eq!(paths[0].first().instance.as_str(), "i-2", "b has both halves");
}

/// Guards against a wrong path at an entry that has not heard of some reports.
#[test]
fn an_entry_with_older_reports_forms_fewer_paths() {
    let holders: Vec<_> =
        (0..12).map(|i| holder(i, if i % 2 == 0 { LOWER } else { UPPER }, 1, "a")).collect();
    assert_eq!(form_paths(LAYERS, &holders).len(), 6);
    let known: Vec<_> = holders.iter().take(7).cloned().collect();
    assert_eq!(form_paths(LAYERS, &known).len(), 3);
    let mut reported_twice = holders.clone();
    let newer = LayerHolder {
        member: PathMember { version: version(2), ..holders[0].member.clone() },
        ..holders[0].clone()
    };
    reported_twice.push(newer);
    assert_eq!(form_paths(LAYERS, &reported_twice).len(), 5, "one of the reports is wrong");
}

/// Guards against paths where engines load whole models only.
#[rstest]
#[case(0)]
#[case(1)]
fn a_model_without_layers_has_no_paths(#[case] layers: u32) {
    assert_eq!(form_paths(layers, &[holder(0, (0, 1), 1, "a"), holder(1, (1, 2), 1, "a")]), []);
}

/// Routes with `whole` endpoints and one path of two members, the second in region `b`.
struct Routes {
    service: ServiceName,
    whole: Vec<Arc<EndpointTracker>>,
    members: [Arc<EndpointTracker>; 2],
    routes: RouteSnapshot,
}

impl Routes {
    fn new(whole: usize) -> Self {
        let service = ServiceName::new("guide").expect("valid");
        let tracker = || {
            let tracker = Arc::new(EndpointTracker::default());
            tracker.set_hard_limit(SLOTS);
            tracker.record_heard(NOW);
            tracker
        };
        let whole: Vec<_> = (0..whole).map(|_| tracker()).collect();
        let members = [tracker(), tracker()];
        let candidates = whole.iter().enumerate().map(|(index, tracker)| RouteCandidate {
            instance: InstanceId::new(&format!("whole-{index}")).expect("valid"),
            version: Some(version(1)),
            is_near: true,
            region: Some(region("a")),
            path: EndpointPath::Direct("10.0.0.2:8001".parse().expect("valid")),
            born_at: None,
            tracker: tracker.clone(),
        });
        let path = vec![member(0, 0, HALF, 1), member(1, HALF, LAYERS, 1)];
        let path = LayerPath::new(LAYERS, path).expect("valid");
        let state = |(tracker, name): (&Arc<EndpointTracker>, &str)| MemberState {
            region: Some(region(name)),
            is_near: name == "a",
            tracker: tracker.clone(),
        };
        let states = members.iter().zip(["a", "b"]).map(state).collect();
        let path = Arc::new(PathCandidate::new(path, states).expect("a state for each member"));
        let routes = ServiceRoutes::new(candidates.collect(), Arc::new(AtomicU32::new(0)));
        let routes = HashMap::from([(service.clone(), routes.with_paths(vec![path]))]);
        Self { service, whole, members, routes: RouteSnapshot::new(routes) }
    }

    fn query(&self, now: Timestamp) -> RouteQuery<'_> {
        RouteQuery {
            service: &self.service,
            excluded: &[],
            prefix: None,
            version: None,
            allowed: None,
            allowed_far: None,
            homes: &EVERYWHERE,
            extra_capacity: 0,
            max_in_flight: 1_024,
            now,
        }
    }

    /// Whether a request gets an endpoint, and whether on a path.
    fn acquire(&self, query: &RouteQuery<'_>) -> Option<bool> {
        let choice = self.routes.acquire(query, &mut SmallRng::seed_from_u64(5))?;
        assert_eq!(choice.layer_path.is_some(), choice.candidate.instance.as_str() == "i-0");
        Some(choice.layer_path.is_some())
    }

    fn capacity(&self, now: Timestamp) -> u32 {
        let routes = self.routes.service(&self.service).expect("known");
        routes.capacity(1_024, SlotCompetitor::ALONE, now)
    }
}

/// Guards against a path that takes a request while an endpoint with all layers is free, against
/// one that gets more than its first member has slots, and against members whose load is not seen.
#[test]
fn a_path_comes_after_whole_endpoints_and_counts_at_every_member() {
    let routes = Routes::new(1);
    assert_eq!(routes.capacity(NOW), 2 * SLOTS);
    let taken: Vec<_> = (0..5).map(|_| routes.acquire(&routes.query(NOW))).collect();
    assert_eq!(taken, [Some(false), Some(false), Some(true), Some(true), None]);
    assert_eq!(routes.whole[0].in_flight(), SLOTS);
    assert_eq!(routes.members.each_ref().map(|tracker| tracker.in_flight()), [SLOTS, SLOTS]);
}

/// Guards against a first member with fewer slots than the second, and the other way round.
#[test]
fn the_slots_of_a_path_are_those_of_its_first_member() {
    let routes = Routes::new(0);
    routes.members[1].set_hard_limit(1);
    assert_eq!(routes.capacity(NOW), SLOTS);
    let taken = (0..4).filter_map(|_| routes.acquire(&routes.query(NOW))).count();
    assert_eq!(taken, SLOTS as usize);
}

/// A state of one member that takes the path out of use.
type Fault = fn(&EndpointTracker);

/// Guards against requests on a path of which one member cannot or must not serve.
#[rstest]
#[case::ejected(|tracker: &EndpointTracker| tracker.eject(NOW))]
#[case::backed_off(|tracker: &EndpointTracker| { tracker.begin_backoff(Duration::from_secs(3), 0.0, NOW); })]
#[case::cold(|tracker: &EndpointTracker| tracker.set_pace(Some(EndpointPace::from_rate(1_000.0)), NOW))]
#[case::refused(|tracker: &EndpointTracker| tracker.leave_paths(NOW))]
fn a_member_that_is_out_of_use_excludes_the_path(
    #[case] fault: Fault,
    #[values(0, 1)] position: usize,
) {
    let routes = Routes::new(0);
    assert_eq!(routes.acquire(&routes.query(NOW)), Some(true));
    fault(&routes.members[position]);
    let later = Timestamp(NOW.0 + 100);
    assert_eq!(routes.acquire(&routes.query(later)), None);
    assert_eq!(routes.capacity(later), 0);
}

/// Guards against a path to an endpoint that has loaded another version since its last report, and
/// against one that an answer of the first member keeps in use.
#[rstest]
fn a_path_ends_with_the_reports_of_any_member(#[values(0, 1)] silent: usize) {
    let routes = Routes::new(0);
    let (just, late) = (Timestamp(NOW.0 + PATH_TTL_MS - 1), Timestamp(NOW.0 + PATH_TTL_MS));
    routes.members[1 - silent].record_heard(just);
    assert_eq!(routes.acquire(&routes.query(just)), Some(true));
    let load = cassiawheel_model::LoadReport { in_flight: 0, queued: 0, measured_at: late };
    routes.members[silent].apply_report(&load, SLOTS);
    assert_eq!(routes.acquire(&routes.query(late)), None, "an answer's load is no report");
    routes.members[silent].record_heard(late);
    assert_eq!(routes.acquire(&routes.query(late)), Some(true));
}

/// Guards against a request that is computed outside its home regions.
#[test]
fn every_member_has_to_be_at_home() {
    let routes = Routes::new(0);
    let both = HomeRegions::new([region("a"), region("b")]);
    let first = HomeRegions::new([region("a")]);
    let query = RouteQuery { homes: &first, ..routes.query(NOW) };
    assert_eq!(routes.acquire(&query), None);
    assert_eq!(routes.acquire(&RouteQuery { homes: &both, ..query }), Some(true));
}

/// Guards against a version that may no longer answer when the request reaches the far member, and
/// against an answer that is continued by another version.
#[test]
fn the_version_has_to_be_allowed_at_the_farthest_member() {
    let routes = Routes::new(0);
    let (old, new) = ([version(1)], [version(2)]);
    let query = RouteQuery { allowed: Some(&old), allowed_far: Some(&new), ..routes.query(NOW) };
    assert_eq!(routes.acquire(&query), None, "the second member is far");
    let query = RouteQuery { allowed_far: Some(&old), ..query };
    assert_eq!(routes.acquire(&query), Some(true));
    let query = RouteQuery { version: Some(&new[0]), ..routes.query(NOW) };
    assert_eq!(routes.acquire(&query), None);
}

/// Guards against a retry on a path of which a member has just failed.
#[rstest]
#[case("i-0")]
#[case("i-1")]
fn a_path_with_an_excluded_member_is_not_tried_again(#[case] name: &str) {
    let routes = Routes::new(0);
    let excluded = [InstanceId::new(name).expect("valid")];
    assert_eq!(routes.acquire(&RouteQuery { excluded: &excluded, ..routes.query(NOW) }), None);
}
