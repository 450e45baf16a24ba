//! Concurrent routing on several threads of an entry.

use std::{
    collections::HashMap,
    sync::{
        Arc, Barrier,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
};

use cassiawheel_decide::{
    EndpointPath, EndpointTracker, RouteCandidate, RouteQuery, RouteSnapshot, ServiceRoutes,
};
use cassiawheel_model::{EVERYWHERE, InstanceId, ServiceName, Timestamp};
use rand::{SeedableRng, rngs::SmallRng};

const NOW: Timestamp = Timestamp(1_000_000);

/// Requests that an endpoint's gate accepts.
const GATE: u32 = 32;

const THREADS: u64 = 4;

/// Number of bursts after which a race of a few instructions has occurred.
const BURSTS: usize = 2_000;

fn endpoint(index: usize) -> RouteCandidate {
    let tracker = EndpointTracker::default();
    tracker.set_hard_limit(GATE);
    RouteCandidate {
        born_at: None,
        instance: InstanceId::new(&format!("i-{index}")).expect("valid"),
        version: None,
        is_near: index == 0,
        region: None,
        path: EndpointPath::Agent,
        tracker: Arc::new(tracker),
    }
}

fn query(service: &ServiceName) -> RouteQuery<'_> {
    RouteQuery {
        service,
        excluded: &[],
        prefix: None,
        version: None,
        allowed: None,
        allowed_far: None,
        homes: &EVERYWHERE,
        extra_capacity: 0,
        max_in_flight: GATE,
        now: NOW,
    }
}

/// Guards against two threads that take the same last free slot of an endpoint.
///
/// An entry admitted 64 requests for two endpoints that accept 32 each. Two threads saw an endpoint
/// with 31 requests, both sent, and its gate refused the 33rd. The entry treated that as an
/// overload and lowered its limit for the endpoint to 28. Four admitted requests then found no
/// endpoint, retried every ten milliseconds and used up the retry budget of the entry. The decision
/// log showed 33 choices of one endpoint and 31 of the other within five milliseconds, one refusal
/// by each gate, and 171 requests that found no endpoint.
#[test]
fn two_threads_do_not_take_the_same_last_place() {
    let service = ServiceName::new("ledger").expect("valid");
    let candidates: Vec<_> = (0..2).map(endpoint).collect();
    let trackers: Vec<_> = candidates.iter().map(|c| c.tracker.clone()).collect();
    let routes = ServiceRoutes::new(candidates, Arc::new(AtomicU32::new(0)));
    let routes = RouteSnapshot::new(HashMap::from([(service.clone(), routes)]));
    let (begin, end) = (Barrier::new(THREADS as usize), Barrier::new(THREADS as usize));
    let overfull = AtomicBool::new(false);
    thread::scope(|scope| {
        for seed in 0..THREADS {
            let (service, routes, trackers) = (&service, &routes, &trackers);
            let (begin, end, overfull) = (&begin, &end, &overfull);
            scope.spawn(move || {
                let mut rng = SmallRng::seed_from_u64(seed);
                for _ in 0..BURSTS {
                    begin.wait();
                    let mut taken = Vec::new();
                    while let Some(choice) = routes.acquire(&query(service), &mut rng) {
                        taken.push(choice.candidate.tracker.clone());
                    }
                    end.wait();
                    if trackers.iter().any(|tracker| tracker.in_flight() != GATE) {
                        overfull.store(true, Ordering::Relaxed);
                    }
                    begin.wait();
                    taken.iter().for_each(|tracker| tracker.release());
                    end.wait();
                }
            });
        }
    });
    assert!(!overfull.load(Ordering::Relaxed), "an endpoint got more than its gate takes");
}
