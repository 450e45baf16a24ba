//! Seeded simulations of routing, with round robin and least outstanding requests as baselines in
//! the same run. Each tick is a millisecond.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use cassiawheel_decide::{
    AttemptFailure, EndpointPath, EndpointTracker, RepeatGuard, RetryBudget, RetryStep,
    RetryTracker, RouteCandidate, RouteQuery, RouteSnapshot, ServiceRoutes,
    affinity::prefix_digest,
};
use cassiawheel_model::{
    Deadline, EVERYWHERE, InstanceId, LoadReport, ModelVersion, NotRunReason, ServiceName,
    Timestamp,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ENDPOINTS: usize = 16;
const START: u64 = 1_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    RoundRobin,
    LeastOutstanding,
    Shipped,
}

/// The endpoints as one entry sees them.
struct Entry {
    service: ServiceName,
    snapshot: RouteSnapshot,
    trackers: Vec<Arc<EndpointTracker>>,
    total: Arc<AtomicU32>,
    names: Vec<InstanceId>,
    next: usize,
    rng: SmallRng,
}

impl Entry {
    fn new(seed: u64) -> Self {
        let service = ServiceName::new("desk").expect("a service");
        let trackers: Vec<_> =
            (0..ENDPOINTS).map(|_| Arc::new(EndpointTracker::default())).collect();
        for tracker in &trackers {
            let measured_at = Timestamp(START);
            tracker.apply_report(&LoadReport { in_flight: 0, queued: 0, measured_at }, 64);
        }
        let name = |index| InstanceId::new(&format!("endpoint-{index}")).expect("an instance");
        let names: Vec<_> = (0..ENDPOINTS).map(name).collect();
        let version = ModelVersion::new("v1").ok();
        let candidate = |(index, tracker): (usize, &Arc<EndpointTracker>)| RouteCandidate {
            born_at: None,
            instance: names[index].clone(),
            version: version.clone(),
            is_near: index % 4 == 0,
            region: None,
            path: EndpointPath::Agent,
            tracker: tracker.clone(),
        };
        let candidates = trackers.iter().enumerate().map(candidate).collect();
        let total = Arc::new(AtomicU32::new(0));
        let routes = ServiceRoutes::new(candidates, total.clone());
        let snapshot = RouteSnapshot::new(HashMap::from([(service.clone(), routes)]));
        let rng = SmallRng::seed_from_u64(seed);
        Self { service, snapshot, trackers, total, names, next: 0, rng }
    }

    fn choose(
        &mut self,
        policy: Policy,
        prefix: Option<u64>,
        excluded: &[InstanceId],
        now: Timestamp,
    ) -> Option<usize> {
        let free = |index: &usize| !excluded.contains(&self.names[*index]);
        match policy {
            Policy::RoundRobin => {
                self.next += 1;
                (self.next..self.next + ENDPOINTS).map(|index| index % ENDPOINTS).find(free)
            }
            Policy::LeastOutstanding => {
                (0..ENDPOINTS).filter(free).min_by_key(|index| self.trackers[*index].in_flight())
            }
            Policy::Shipped => {
                let service = &self.service;
                let query = RouteQuery {
                    service,
                    excluded,
                    prefix,
                    version: None,
                    allowed: None,
                    allowed_far: None,
                    homes: &EVERYWHERE,
                    extra_capacity: 0,
                    max_in_flight: 64,
                    now,
                };
                let choice = self.snapshot.choose(&query, &mut self.rng)?;
                self.names.iter().position(|name| *name == choice.candidate.instance)
            }
        }
    }

    fn begin(&self, endpoint: usize) {
        self.trackers[endpoint].acquire();
        self.total.fetch_add(1, Ordering::Relaxed);
    }

    fn end(&self, endpoint: usize) {
        self.trackers[endpoint].release();
        self.total.fetch_sub(1, Ordering::Relaxed);
    }

    fn fail(&self, endpoint: usize, now: Timestamp) {
        let routes = self.snapshot.service(&self.service).expect("the service");
        routes.record_failure(&self.names[endpoint], now);
    }
}

/// Model of an engine's prefix cache with limited memory (LRU).
#[derive(Default)]
struct PrefixCache {
    kept: VecDeque<u64>,
}

impl PrefixCache {
    const PREFIXES: usize = 20;

    /// Caches `prefix`; true if it was cached before.
    fn touch(&mut self, prefix: u64) -> bool {
        let found = self.kept.iter().position(|kept| *kept == prefix);
        if let Some(index) = found {
            self.kept.remove(index);
        }
        self.kept.push_back(prefix);
        if self.kept.len() > Self::PREFIXES {
            self.kept.pop_front();
        }
        found.is_some()
    }
}

#[derive(Debug)]
struct CacheResult {
    hit_share: f64,
    max_load: f64,
}

/// Simulates three entries, 240 prefixes with decreasing popularity, and answers that take longer
/// where the prefix is not cached.
fn share_prefixes(policy: Policy) -> CacheResult {
    let mut entries: Vec<_> = (0..3).map(Entry::new).collect();
    let mut rng = SmallRng::seed_from_u64(11);
    let mut caches: Vec<_> = (0..ENDPOINTS).map(|_| PrefixCache::default()).collect();
    let mut running: Vec<(u64, usize, usize)> = Vec::new();
    let (mut hits, mut served) = (0_u32, [0_u32; ENDPOINTS]);
    for tick in 0..20_000_u64 {
        let now = Timestamp(START + tick);
        running.retain(|(end, entry, endpoint)| {
            if *end <= tick {
                entries[*entry].end(*endpoint);
            }
            *end > tick
        });
        for (index, entry) in entries.iter_mut().enumerate() {
            // The square makes low ranks popular: the first tenth gets a third of the requests.
            let rank = (rng.random::<f64>().powi(2) * 240.0) as u64;
            let prompt = format!("{rank:>64}");
            let prefix = prefix_digest(prompt.as_bytes(), 64);
            let Some(endpoint) = entry.choose(policy, prefix, &[], now) else {
                continue;
            };
            let hit = caches[endpoint].touch(rank);
            hits += u32::from(hit);
            served[endpoint] += 1;
            entry.begin(endpoint);
            let work = if hit { 30 } else { 60 } + rng.random_range(0..20);
            running.push((tick + work, index, endpoint));
        }
    }
    let total: u32 = served.iter().sum();
    let most = *served.iter().max().expect("endpoints");
    let max_load = f64::from(most) * ENDPOINTS as f64 / f64::from(total);
    CacheResult { hit_share: f64::from(hits) / f64::from(total), max_load }
}

/// Guards against poor use of prefix caches. Spread evenly, requests with a common prompt would
/// make every engine compute every prefix and delay the first token; sent to one engine, they would
/// overload it.
#[test]
fn common_prefixes_reach_the_engine_that_cached_them() {
    let shipped = share_prefixes(Policy::Shipped);
    let round_robin = share_prefixes(Policy::RoundRobin);
    let least = share_prefixes(Policy::LeastOutstanding);
    println!("shipped {shipped:?}\nround robin {round_robin:?}\nleast outstanding {least:?}");
    assert!(shipped.hit_share >= 1.5 * round_robin.hit_share);
    assert!(shipped.max_load <= 1.3);
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BadEndpoint {
    FailsAtOnce,
    TenTimesSlow,
}

#[derive(Debug)]
struct RetryResult {
    attempts_per_request: f64,
    failed_share: f64,
}

struct Call {
    end: u64,
    entry: usize,
    endpoint: usize,
    request: usize,
}

struct Request {
    entry: usize,
    retries: RetryTracker,
    excluded: Vec<InstanceId>,
}

/// Simulates 60,000 idempotent requests at half the capacity, with one bad endpoint of 16.
fn serve_beside(bad: BadEndpoint, policy: Policy) -> RetryResult {
    const REQUESTS: usize = 60_000;
    let mut entries: Vec<_> = (0..3).map(|seed| Entry::new(100 + seed)).collect();
    let budgets: Vec<_> = (0..3).map(|_| RetryBudget::default()).collect();
    let mut rng = SmallRng::seed_from_u64(13);
    let (mut requests, mut waiting) = (Vec::<Request>::new(), VecDeque::<(u64, usize)>::new());
    let mut running: Vec<Call> = Vec::new();
    let (mut attempts, mut failed, mut done) = (0_u32, 0_u32, 0_usize);
    for tick in 0_u64.. {
        let now = Timestamp(START + tick);
        for (entry, budget) in budgets.iter().enumerate() {
            if requests.len() < REQUESTS {
                let retries =
                    RetryTracker::new(RepeatGuard::Idempotent, Deadline(now.0 + 5_000), 3);
                requests.push(Request { entry, retries, excluded: Vec::new() });
                budget.deposit();
                waiting.push_back((tick, requests.len() - 1));
            }
        }
        let (due, later): (VecDeque<_>, _) = waiting.into_iter().partition(|(at, _)| *at <= tick);
        waiting = later;
        for (_, number) in due {
            let request = &mut requests[number];
            let entry = &mut entries[request.entry];
            let chosen = entry.choose(policy, None, &request.excluded, now);
            let endpoint = chosen.expect("there is room");
            request.excluded.push(entry.names[endpoint].clone());
            request.retries.begin_attempt();
            attempts += 1;
            entry.begin(endpoint);
            let work = match (endpoint, bad) {
                (0, BadEndpoint::FailsAtOnce) => 1,
                (0, BadEndpoint::TenTimesSlow) => 400 + rng.random_range(0..200),
                _ => 40 + rng.random_range(0..20),
            };
            let (entry, end) = (request.entry, tick + work);
            running.push(Call { end, entry, endpoint, request: number });
        }
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|c| c.end <= tick);
        running = rest;
        for call in ended {
            let entry = &entries[call.entry];
            entry.end(call.endpoint);
            if call.endpoint != 0 || bad != BadEndpoint::FailsAtOnce {
                entry.trackers[call.endpoint].record_success();
                done += 1;
                continue;
            }
            entry.fail(call.endpoint, now);
            let end = AttemptFailure::NotRun(NotRunReason::ConnectFailed);
            let budget = &budgets[call.entry];
            match requests[call.request].retries.next_step(end, budget, now, &mut rng) {
                RetryStep::Retry(at) | RetryStep::Reroute(at) => {
                    waiting.push_back((at.0 - START, call.request));
                }
                RetryStep::Stop(_) => {
                    failed += 1;
                    done += 1;
                }
            }
        }
        if done == REQUESTS {
            break;
        }
    }
    let count = REQUESTS as f64;
    RetryResult {
        attempts_per_request: f64::from(attempts) / count,
        failed_share: f64::from(failed) / count,
    }
}

/// Guards against a bad endpoint that looks idle and attracts requests: one of sixteen fails every
/// call at once, or is ten times slower than the others. Callers would see errors while fifteen
/// endpoints work.
#[test]
fn a_bad_endpoint_costs_few_attempts_and_no_answers() {
    for bad in [BadEndpoint::FailsAtOnce, BadEndpoint::TenTimesSlow] {
        for policy in [Policy::RoundRobin, Policy::LeastOutstanding, Policy::Shipped] {
            let result = serve_beside(bad, policy);
            println!("{bad:?} {policy:?} {result:?}");
            if policy == Policy::Shipped {
                assert!(result.attempts_per_request <= 1.1, "{result:?}");
                assert!(result.failed_share <= 0.000_1, "{result:?}");
            }
        }
    }
}

/// Guards against ejecting most endpoints when a rack switch fails: the few that are left would get
/// the whole load and fail as well.
#[test]
fn no_more_than_half_of_the_endpoints_are_ejected() {
    let entry = Entry::new(1);
    let now = Timestamp(START);
    for _ in 0..5 {
        (0..ENDPOINTS).for_each(|endpoint| entry.fail(endpoint, now));
    }
    let ejected = entry.trackers.iter().filter(|tracker| tracker.is_ejected(now)).count();
    assert_eq!(ejected, ENDPOINTS / 2);
}
