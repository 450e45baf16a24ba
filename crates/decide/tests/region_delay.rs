//! Links between regions that delay every answer, without a network.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::AtomicU32},
};

use cassiawheel_decide::{
    EndpointPath, EndpointTracker, RegionDelay, RegionDelays, RouteCandidate, RouteQuery,
    RouteSnapshot, ServiceRoutes,
};
use cassiawheel_model::{EVERYWHERE, InstanceId, LoadReport, ServiceName, Timestamp};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

const SLOTS: u32 = 12;
/// Endpoints of each of three regions; the first is the entry's own.
const ENDPOINTS: usize = 20;
/// Time between two requests of the entry, in milliseconds.
const INTERVAL_MS: u64 = 60;
/// Usual time until an answer begins, in milliseconds.
const USUAL_MS: u64 = 150;
/// Further time until a slow endpoint begins to answer, in milliseconds.
const SLOW_MS: u64 = 2_400;
/// Time for which an answer goes on, in milliseconds.
const ANSWER_MS: u64 = 1_200;
/// Time within which the entry has to learn that a link is slow, or that it is not any more.
const LEARN_MS: u64 = 2_500;

/// One entry before endpoints in three regions.
struct Entry {
    service: ServiceName,
    trackers: Vec<Arc<EndpointTracker>>,
    routes: RouteSnapshot,
    /// Requests in progress: endpoint, time at which the answer begins, delay, and whether it has.
    running: Vec<(usize, u64, u64, bool)>,
    /// Endpoints that are slow themselves.
    slow_ones: Vec<usize>,
    rng: SmallRng,
}

impl Entry {
    fn new(seed: u64) -> Self {
        let regions: Vec<_> = (0..3).map(|_| Arc::new(RegionDelay::default())).collect();
        let trackers: Vec<_> =
            (0..3 * ENDPOINTS).map(|_| Arc::new(EndpointTracker::default())).collect();
        let candidate = |(index, tracker): (usize, &Arc<EndpointTracker>)| {
            let region = index / ENDPOINTS;
            tracker.set_hard_limit(SLOTS);
            let own = (region > 0).then(|| regions[0].clone());
            tracker.set_region(RegionDelays::new(regions[region].clone(), own));
            RouteCandidate {
                born_at: None,
                instance: InstanceId::new(&format!("i-{index}")).expect("valid"),
                version: None,
                is_near: region == 0,
                region: None,
                path: EndpointPath::Direct("10.0.0.1:8001".parse().expect("valid")),
                tracker: tracker.clone(),
            }
        };
        let service = ServiceName::new("guide").expect("valid");
        let candidates = trackers.iter().enumerate().map(candidate).collect();
        let routes = ServiceRoutes::new(candidates, Arc::new(AtomicU32::new(0)));
        let routes = RouteSnapshot::new(HashMap::from([(service.clone(), routes)]));
        Self {
            service,
            trackers,
            routes,
            running: Vec::new(),
            slow_ones: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Serves requests from `from_ms` to `to_ms`, with these delays by region. Returns the number
    /// of requests by region that were sent in the last part, from `count_ms` on.
    fn serve(&mut self, from_ms: u64, to_ms: u64, count_ms: u64, delays: [u64; 3]) -> [u32; 3] {
        let mut sent = [0; 3];
        for ms in from_ms..to_ms {
            let now = Timestamp(1_000_000 + ms);
            self.advance(ms, now);
            if ms % INTERVAL_MS == 0 {
                let region = self.send(ms, now, delays);
                sent[region] += u32::from(ms >= count_ms);
            }
        }
        sent
    }

    fn send(&mut self, ms: u64, now: Timestamp, delays: [u64; 3]) -> usize {
        // The endpoints of the own region are the busier ones, so that others look better.
        for (index, tracker) in self.trackers.iter().enumerate() {
            let others = if index < ENDPOINTS { 6 } else { 2 };
            let in_flight = others + tracker.in_flight();
            tracker.apply_report(&LoadReport { in_flight, queued: 0, measured_at: now }, SLOTS);
        }
        let query = RouteQuery {
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
        };
        let choice = self.routes.acquire(&query, &mut self.rng).expect("there is room");
        let name = choice.candidate.instance.as_str().trim_start_matches("i-");
        let index: usize = name.parse().expect("a number");
        self.trackers[index].record_sent(now);
        let own_ms = if self.slow_ones.contains(&index) { SLOW_MS } else { 0 };
        let delay_ms = delays[index / ENDPOINTS] + own_ms;
        self.running.push((index, ms + delay_ms, delay_ms, false));
        index / ENDPOINTS
    }

    fn advance(&mut self, ms: u64, now: Timestamp) {
        for (index, begins_ms, delay_ms, has_begun) in &mut self.running {
            if !*has_begun && *begins_ms <= ms {
                *has_begun = true;
                self.trackers[*index].record_delay(*delay_ms, true, now);
            }
        }
        let trackers = &self.trackers;
        self.running.retain(|(index, begins_ms, ..)| {
            let is_running = begins_ms + ANSWER_MS > ms;
            if !is_running {
                trackers[*index].release();
            }
            is_running
        });
    }
}

/// Guards against sending to one endpoint after the other behind a link that delays every answer:
/// the entry would have to try each of them to learn what holds for the whole region.
#[rstest]
fn a_slow_link_is_learned_for_the_whole_region(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut entry = Entry::new(seed);
    let before = entry.serve(0, 4_000, 0, [USUAL_MS; 3]);
    assert!(before[1] + before[2] > before[0], "other regions are used before: {before:?}");
    let slow = [USUAL_MS, 1_500, 1_500];
    let sent = entry.serve(4_000, 12_000, 4_000 + LEARN_MS, slow);
    // One probe at a time for each region, and each takes 1.5 s.
    let probes = 2 * (8_000 - LEARN_MS).div_ceil(1_500) as u32;
    assert!(sent[1] + sent[2] <= probes, "{sent:?} requests, {probes} probes");
    let after = entry.serve(12_000, 20_000, 12_000 + LEARN_MS, [USUAL_MS; 3]);
    assert!((after[1] + after[2]) * 2 > after[0], "other regions are used again: {after:?}");
}

/// Guards against blaming a link when all answers are late.
#[rstest]
fn no_region_is_passed_over_when_all_are_slow(#[values(1, 2, 3)] seed: u64) {
    let mut entry = Entry::new(seed);
    let sent = entry.serve(0, 6_000, LEARN_MS, [900; 3]);
    assert!((sent[1] + sent[2]) * 2 > sent[0], "other regions are used: {sent:?}");
}

/// Guards against blaming a link because a tenth of the endpoints behind it are slow.
#[rstest]
fn a_few_slow_endpoints_are_no_slow_link(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut entry = Entry::new(seed);
    entry.slow_ones = vec![ENDPOINTS, ENDPOINTS + 1, 2 * ENDPOINTS, 2 * ENDPOINTS + 1];
    let sent = entry.serve(0, 10_000, LEARN_MS, [USUAL_MS; 3]);
    assert!((sent[1] + sent[2]) * 2 > sent[0], "other regions are used: {sent:?}");
}

/// Guards against refusing everybody while the own region has no endpoint that answers.
#[test]
fn a_slow_region_is_used_when_the_own_one_gives_no_answers() {
    let regions = [Arc::new(RegionDelay::default()), Arc::new(RegionDelay::default())];
    let tracker = EndpointTracker::default();
    tracker.set_region(RegionDelays::new(regions[1].clone(), Some(regions[0].clone())));
    let now = Timestamp(1_000_000);
    tracker.record_sent(now);
    tracker.record_delay(900, true, now);
    assert!(!tracker.is_slow(now));
}
