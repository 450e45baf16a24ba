//! Endpoints that are reached without an agent, where no gate corrects a bad choice.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};

use cassiawheel_decide::{
    EndpointPace, EndpointPath, EndpointTracker, RouteCandidate, RouteQuery, RouteSnapshot,
    ServiceRoutes, SlotCompetitor,
};
use cassiawheel_model::{
    Deadline, EVERYWHERE, InstanceId, LoadReport, ModelVersion, ServiceName, Timestamp,
};
use rand::{SeedableRng, rngs::SmallRng};

const NOW: Timestamp = Timestamp(1_000_000);
const SLOTS: u32 = 16;

struct Endpoints {
    service: ServiceName,
    trackers: Vec<Arc<EndpointTracker>>,
    routes: RouteSnapshot,
}

fn version(number: usize) -> ModelVersion {
    ModelVersion::new(&format!("m:{number}")).expect("valid")
}

impl Endpoints {
    /// Creates endpoints that serve the versions with these numbers.
    fn serving(numbers: &[usize]) -> Self {
        let service = ServiceName::new("guide").expect("valid");
        let trackers: Vec<_> =
            numbers.iter().map(|_| Arc::new(EndpointTracker::default())).collect();
        let candidate = |(index, tracker): (usize, &Arc<EndpointTracker>)| {
            tracker.set_hard_limit(SLOTS);
            RouteCandidate {
                born_at: None,
                instance: InstanceId::new(&format!("i-{index}")).expect("valid"),
                version: Some(version(numbers[index])),
                is_near: index % 2 == 0,
                region: None,
                path: EndpointPath::Direct("10.0.0.1:8001".parse().expect("valid")),
                tracker: tracker.clone(),
            }
        };
        let candidates = trackers.iter().enumerate().map(candidate).collect();
        let routes = ServiceRoutes::new(candidates, Arc::new(AtomicU32::new(0)));
        let routes = RouteSnapshot::new(HashMap::from([(service.clone(), routes)]));
        Self { service, trackers, routes }
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

    /// Number of a hundred requests that each endpoint gets.
    fn choices(&self, query: &RouteQuery<'_>) -> Vec<u32> {
        let mut rng = SmallRng::seed_from_u64(3);
        let mut chosen = vec![0; self.trackers.len()];
        for _ in 0..100 {
            if let Some(choice) = self.routes.choose(query, &mut rng) {
                let name = choice.candidate.instance.as_str().trim_start_matches("i-");
                chosen[name.parse::<usize>().expect("a number")] += 1;
            }
        }
        chosen
    }

    fn report(&self, index: usize, in_flight: u32, measured_at: Timestamp) {
        let load = LoadReport { in_flight, queued: 0, measured_at };
        self.trackers[index].apply_report(&load, SLOTS);
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp(NOW.0 + ms)
}

/// Guards against overloading an endpoint that other entries have filled. If its report of half a
/// second ago counted only in part, every entry would send it a few more requests, and all their
/// callers would wait.
#[test]
fn what_others_have_there_counts_in_full_while_it_is_fresh() {
    let endpoints = Endpoints::serving(&[1, 1]);
    endpoints.report(0, SLOTS, NOW);
    let chosen = endpoints.choices(&endpoints.query(at(500)));
    assert_eq!(chosen, [0, 100]);
    let routes = endpoints.routes.service(&endpoints.service).expect("known");
    assert_eq!(routes.capacity(1_024, SlotCompetitor::ALONE, at(500)), SLOTS);
}

/// Guards against losing a request whose endpoint failed while all others are full. First-time
/// requests are refused at once, but this caller has already waited.
#[test]
fn a_request_that_lost_its_endpoint_finds_room_where_none_is_left() {
    let endpoints = Endpoints::serving(&[1, 1, 1]);
    (0..3).for_each(|index| endpoints.report(index, SLOTS, NOW));
    assert_eq!(endpoints.choices(&endpoints.query(NOW)), [0, 0, 0]);
    let repeated = RouteQuery { extra_capacity: 4, ..endpoints.query(NOW) };
    assert_eq!(endpoints.choices(&repeated).iter().sum::<u32>(), 100);
}

/// Guards against preferring a slow endpoint. Behind a degraded link its answers take more than a
/// second to begin; it looks idle and would attract requests whose callers leave before the answer.
#[test]
fn a_slow_endpoint_is_passed_over() {
    let endpoints = Endpoints::serving(&[1, 1, 1, 1]);
    let slow = &endpoints.trackers[1];
    slow.record_sent(NOW);
    slow.record_delay(1_400, true, at(1_400));
    assert_eq!(endpoints.choices(&endpoints.query(at(1_500)))[1], 0);
}

/// Guards against sending more requests to an endpoint that stopped answering, long before its
/// first request times out.
#[test]
fn silence_counts_as_delay() {
    let endpoints = Endpoints::serving(&[1, 1, 1, 1]);
    endpoints.trackers[2].record_sent(NOW);
    assert!(endpoints.choices(&endpoints.query(at(300)))[2] > 0);
    assert_eq!(endpoints.choices(&endpoints.query(at(1_100)))[2], 0);
}

/// Guards against ejecting a slow endpoint for good: after a while it gets one request, and no
/// second one before that is answered.
#[test]
fn a_slow_endpoint_is_tried_again_by_one_request() {
    let endpoints = Endpoints::serving(&[1, 1, 1, 1]);
    let slow = &endpoints.trackers[1];
    slow.record_sent(NOW);
    slow.record_delay(1_400, true, at(1_400));
    let later = at(5_000);
    assert!(!slow.is_slow(later));
    slow.record_sent(later);
    assert!(slow.is_slow(later));
    slow.record_delay(120, true, at(5_120));
    assert!(!slow.is_slow(at(5_120)));
}

/// Guards against refusing all requests when most endpoints are slow at once and the cause is
/// elsewhere.
#[test]
fn slow_endpoints_are_used_if_most_are_slow() {
    let endpoints = Endpoints::serving(&[1, 1, 1, 1]);
    for tracker in &endpoints.trackers[..3] {
        tracker.record_sent(NOW);
        tracker.record_delay(1_400, true, at(1_400));
    }
    endpoints.report(3, SLOTS, at(1_400));
    let chosen = endpoints.choices(&endpoints.query(at(1_500)));
    assert_eq!(chosen.iter().sum::<u32>(), 100);
}

/// Guards against an answer by a version that may no longer answer, even if only its endpoints are
/// left.
#[test]
fn versions_that_may_not_answer_get_nothing() {
    let endpoints = Endpoints::serving(&[1, 2, 3]);
    let allowed = [version(2), version(3)];
    let query =
        RouteQuery { allowed: Some(&allowed), allowed_far: Some(&allowed), ..endpoints.query(NOW) };
    let chosen = endpoints.choices(&query);
    assert_eq!(chosen[0], 0);
    assert!(chosen[1] > 0 && chosen[2] > 0);
    let none = [version(4)];
    let query =
        RouteQuery { allowed: Some(&none), allowed_far: Some(&none), ..endpoints.query(NOW) };
    assert_eq!(endpoints.choices(&query), [0, 0, 0]);
}

/// Guards against a request that waits on a full link to another region until the version of the
/// endpoint there may no longer answer.
#[test]
fn far_endpoints_of_a_version_that_soon_may_not_answer_get_nothing() {
    let endpoints = Endpoints::serving(&[1, 1, 1, 2]);
    let (now, soon) = ([version(1), version(2)], [version(2)]);
    let query =
        RouteQuery { allowed: Some(&now), allowed_far: Some(&soon), ..endpoints.query(NOW) };
    let chosen = endpoints.choices(&query);
    assert!(chosen[0] > 0 && chosen[2] > 0, "{chosen:?}");
    [0, 2].into_iter().for_each(|near| endpoints.report(near, SLOTS, NOW));
    assert_eq!(endpoints.choices(&query), [0, 0, 0, 100]);
}

/// Guards against crossing regions for no gain. Answers from another region take the same time but
/// use links that carry the weights of a new version and delay its rollout.
#[test]
fn requests_stay_near_while_the_near_are_hardly_busier() {
    let endpoints = Endpoints::serving(&[1; 8]);
    for near in [0, 2, 4, 6] {
        endpoints.report(near, 2, NOW);
    }
    let chosen = endpoints.choices(&endpoints.query(NOW));
    let far: u32 = [1, 3, 5, 7].iter().map(|index| chosen[*index]).sum();
    assert_eq!(far, 0, "{chosen:?}");
}

/// Guards against queueing in a full region while other regions are idle.
#[test]
fn requests_go_far_when_the_near_are_much_busier() {
    let endpoints = Endpoints::serving(&[1; 8]);
    for near in [0, 2, 4, 6] {
        endpoints.report(near, 10, NOW);
    }
    let chosen = endpoints.choices(&endpoints.query(NOW));
    let far: u32 = [1, 3, 5, 7].iter().map(|index| chosen[*index]).sum();
    assert!(far >= 40, "{chosen:?}");
}

/// Guards against a slow endpoint whose rate limit never ends because no entry sends it a request.
#[test]
fn a_slow_endpoint_with_a_limit_is_tried_now_and_then() {
    let service = Endpoints::serving(&[1, 1, 1]);
    let tracker = &service.trackers[0];
    tracker.set_pace(Some(EndpointPace::from_rate(1.0)), NOW);
    for _ in 0..8 {
        tracker.record_sent(NOW);
        tracker.record_delay(3_000, true, NOW);
    }
    let candidates = service.routes.candidates().cloned().collect();
    let routes = ServiceRoutes::new(candidates, Arc::new(AtomicU32::new(0)));
    let routes = RouteSnapshot::new(HashMap::from([(service.service.clone(), routes)]));
    let mut rng = SmallRng::seed_from_u64(4);
    let mut chosen = |ms: u64| {
        let query = service.query(Timestamp(NOW.0 + ms));
        routes.choose(&query, &mut rng).expect("one has room").candidate.instance.as_str() == "i-0"
    };
    assert!(!(0..100).any(|step| chosen(step * 10)), "not due");
    assert!(!(0..50).any(|step| chosen(1_000 + step * 10)), "slow");
    assert!(chosen(2_100), "overdue");
}

/// Guards against leaving the slot of an ended request to entries that learn of it later, and
/// against sending many requests to the endpoints that their last reports show as free.
#[test]
fn the_slot_of_an_ended_request_is_used_again() {
    let endpoints = Endpoints::serving(&[1, 1, 1, 1]);
    endpoints.trackers[3].acquire();
    endpoints.report(3, SLOTS / 2, NOW);
    endpoints.trackers[3].release();
    assert_eq!(endpoints.choices(&endpoints.query(at(100))), [0, 0, 0, 100]);
    endpoints.trackers[3].acquire();
    assert_eq!(endpoints.choices(&endpoints.query(at(100)))[3], 0);
}

/// Guards against sending every request to the endpoint that answered the one before, where all
/// are idle.
#[test]
fn the_slot_of_an_ended_request_at_an_idle_endpoint_is_one_among_others() {
    let endpoints = Endpoints::serving(&[1, 1, 1, 1]);
    endpoints.trackers[2].acquire();
    endpoints.report(2, 1, NOW);
    endpoints.trackers[2].release();
    let chosen = endpoints.choices(&endpoints.query(at(100)));
    assert!(chosen[0] > 0 && chosen[2] > 0, "{chosen:?}");
}

/// Guards against requests for an endpoint in backoff, also as a last resort, and against its
/// requests in progress that take the slots of the others.
#[test]
fn an_endpoint_in_backoff_is_no_capacity() {
    let endpoints = Endpoints::serving(&[1, 1]);
    let backed_off = &endpoints.trackers[0];
    (0..5).for_each(|_| backed_off.acquire());
    backed_off.begin_backoff(Duration::from_secs(3), 0.0, NOW);
    assert_eq!(endpoints.choices(&endpoints.query(at(100))), [0, 100]);
    let routes = endpoints.routes.service(&endpoints.service).expect("a service");
    assert_eq!(routes.capacity(1_024, SlotCompetitor::ALONE, at(100)), SLOTS + 5);
    assert_eq!(routes.backoff_end(at(100)), None);
    endpoints.trackers[1].begin_backoff(Duration::from_secs(1), 0.0, at(100));
    assert_eq!(endpoints.choices(&endpoints.query(at(200))), [0, 0]);
    assert_eq!(routes.backoff_end(at(200)), Some(Deadline(at(1_100).0)));
}
