//! Duration of one routing decision among 16, 400 and 7,300 endpoints, compared with round robin
//! and a scan for the least outstanding requests.

use std::{collections::HashMap, hint::black_box, sync::Arc};

use cassiawheel_decide::{
    EndpointPath, EndpointTracker, RouteCandidate, RouteQuery, RouteSnapshot, ServiceRoutes,
};
use cassiawheel_model::{EVERYWHERE, InstanceId, LoadReport, ModelVersion, ServiceName, Timestamp};
use criterion::{BenchmarkId, Criterion};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SIZES: [usize; 3] = [16, 400, 7_300];
const NOW: Timestamp = Timestamp(1_800_000_000_000);

fn trackers(count: usize) -> Vec<Arc<EndpointTracker>> {
    let mut rng = SmallRng::seed_from_u64(7);
    (0..count)
        .map(|_| {
            let tracker = Arc::new(EndpointTracker::default());
            let measured_at = Timestamp(NOW.0 - rng.random_range(0..500));
            let load = LoadReport { in_flight: rng.random_range(0..20), queued: 0, measured_at };
            tracker.apply_report(&load, 32);
            (0..rng.random_range(0..8)).for_each(|_| tracker.acquire());
            tracker
        })
        .collect()
}

fn snapshot(service: &ServiceName, trackers: &[Arc<EndpointTracker>]) -> RouteSnapshot {
    let version = ModelVersion::new("v1").expect("a version");
    let candidate = |(index, tracker): (usize, &Arc<EndpointTracker>)| RouteCandidate {
        born_at: None,
        instance: InstanceId::new(&format!("endpoint-{index}")).expect("an instance"),
        version: Some(version.clone()),
        is_near: index % 8 == 0,
        region: None,
        path: EndpointPath::Agent,
        tracker: tracker.clone(),
    };
    let candidates = trackers.iter().enumerate().map(candidate).collect();
    let routes = ServiceRoutes::new(candidates, Arc::default());
    RouteSnapshot::new(HashMap::from([(service.clone(), routes)]))
}

fn decide(c: &mut Criterion) {
    let service = ServiceName::new("desk").expect("a service");
    let mut group = c.benchmark_group("route");
    for size in SIZES {
        let trackers = trackers(size);
        let snapshot = snapshot(&service, &trackers);
        let query = RouteQuery {
            service: &service,
            excluded: &[],
            prefix: None,
            version: None,
            allowed: None,
            allowed_far: None,
            homes: &EVERYWHERE,
            extra_capacity: 0,
            max_in_flight: 32,
            now: NOW,
        };
        group.bench_function(BenchmarkId::new("two-choices", size), |b| {
            let mut rng = rand::rng();
            b.iter(|| black_box(snapshot.choose(black_box(&query), &mut rng)).is_some());
        });
        group.bench_function(BenchmarkId::new("prefix", size), |b| {
            let (mut rng, mut prefix) = (rand::rng(), 0_u64);
            b.iter(|| {
                prefix = prefix.wrapping_add(0x9e37_79b9_7f4a_7c15);
                let query = RouteQuery { prefix: Some(prefix), ..query };
                black_box(snapshot.choose(black_box(&query), &mut rng)).is_some()
            });
        });
        group.bench_function(BenchmarkId::new("least-outstanding", size), |b| {
            b.iter(|| black_box(trackers.iter().min_by_key(|t| t.in_flight())).is_some());
        });
        group.bench_function(BenchmarkId::new("round-robin", size), |b| {
            let mut next = 0;
            b.iter(|| {
                next = (next + 1) % trackers.len();
                black_box(trackers[next].in_flight())
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decide(&mut criterion);
    criterion.final_summary();
}
