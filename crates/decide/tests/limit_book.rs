//! Rate limits advertised by endpoints: kept by all entries together, fully used, and ended,
//! simulated without a network.

use std::collections::BTreeMap;

use cassiawheel_decide::{
    EndpointPace, EndpointTracker, HolderRank, LinkId, RateLimits, rank::rendezvous_weight,
};
use cassiawheel_model::{LimitRecord, LimitState, NamedLimit, Timestamp};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);
const ENDPOINT: u64 = 77;

fn limit(rate: f64) -> NamedLimit {
    NamedLimit::from_rate(rate).expect("a rate")
}

fn later(ms: u64) -> Timestamp {
    Timestamp(NOW.0 + ms)
}

fn holder(rank: usize) -> HolderRank {
    HolderRank { rank, candidates: 5, entries: 15, phase: 0.5 }
}

/// Guards against shares of a limit that exceed it in total, or that no entry holds.
#[rstest]
#[case(0.0)]
#[case(0.4)]
#[case(2.0)]
#[case(3.7)]
#[case(60.0)]
fn the_parts_of_a_limit_add_up_to_it(#[case] rate: f64) {
    let mut limits = RateLimits::default();
    limits.observe(ENDPOINT, Some(limit(rate)), NOW);
    let trackers: Vec<_> = (0..15).map(|_| EndpointTracker::default()).collect();
    let mut sent = 0;
    for (rank, tracker) in trackers.iter().enumerate() {
        tracker.set_hard_limit(16);
        tracker.set_pace(limits.pace(ENDPOINT, holder(rank), NOW), NOW);
    }
    for ms in 0..10_000 {
        for tracker in &trackers {
            if tracker.try_acquire_paced(16, later(ms)) {
                tracker.release();
                sent += 1;
            }
        }
    }
    let expected = rate * 10.0;
    assert!(f64::from(sent) <= expected + 1.0, "{sent} sent, {expected} allowed");
    assert!(f64::from(sent) >= expected - 3.0, "{sent} sent, {expected} allowed");
}

/// Guards against an endpoint that accepted nothing for a while and is never tried again.
#[test]
fn an_endpoint_that_takes_nothing_is_asked_now_and_then() {
    let mut limits = RateLimits::default();
    limits.observe(ENDPOINT, Some(limit(0.0)), NOW);
    let tracker = EndpointTracker::default();
    tracker.set_hard_limit(16);
    tracker.set_pace(limits.pace(ENDPOINT, holder(0), NOW), NOW);
    let sent = (0..60_000).filter(|ms| tracker.try_acquire_paced(16, later(*ms))).count();
    assert!((1..=6).contains(&sent), "{sent} sent in a minute");
}

/// Guards against a limit that never ends because its holder has lost the connection to the
/// endpoint.
#[test]
fn the_next_in_rank_send_where_the_holders_do_not_confirm() {
    let mut limits = RateLimits::default();
    limits.observe(ENDPOINT, Some(limit(2.0)), NOW);
    let sends = |limits: &RateLimits, rank, ms| {
        limits.pace(ENDPOINT, holder(rank), later(ms)) != Some(EndpointPace::ZERO)
    };
    assert!(sends(&limits, 1, 0) && !sends(&limits, 2, 0) && !sends(&limits, 2, 2_900));
    assert!(sends(&limits, 2, 3_100) && !sends(&limits, 3, 3_100) && sends(&limits, 3, 6_100));
    limits.observe(ENDPOINT, Some(limit(2.0)), later(6_200));
    assert!(!sends(&limits, 2, 6_300), "the holders have confirmed");
}

/// Guards against an earlier answer that ends a newer limit, and against a limit that never ends.
#[test]
fn only_a_later_answer_without_a_limit_ends_it() {
    let mut limits = RateLimits::default();
    assert!(!limits.observe(ENDPOINT, None, NOW));
    assert!(limits.observe(ENDPOINT, Some(limit(2.0)), NOW));
    assert!(!limits.observe(ENDPOINT, None, later(100)), "reordered answers");
    assert_eq!(limits.pace(ENDPOINT, holder(9), later(100)), Some(EndpointPace::ZERO));
    assert!(limits.observe(ENDPOINT, None, later(600)));
    let returns = limits.pace(ENDPOINT, holder(9), later(600)).expect("a limited pace");
    assert_ne!(returns, EndpointPace::ZERO);
    assert_ne!(limits.pace(ENDPOINT, holder(9), later(1_700)), Some(returns), "faster");
    assert_eq!(limits.pace(ENDPOINT, holder(9), later(5_000)), None);
    assert!(limits.observe(ENDPOINT, Some(limit(1.0)), later(700)), "advertised again");
    assert_eq!(limits.pace(ENDPOINT, holder(9), later(700)), Some(EndpointPace::ZERO));
}

/// Guards against one more request from every entry when a limit is advertised again.
#[test]
fn an_entry_that_holds_a_limit_no_more_sends_nothing() {
    let tracker = EndpointTracker::default();
    tracker.set_hard_limit(16);
    tracker.set_pace(Some(EndpointPace::from_rate(4.0)), NOW);
    assert!(tracker.try_acquire_paced(16, later(250)));
    tracker.set_pace(Some(EndpointPace::ZERO), later(400));
    assert!(!(400..20_000).any(|ms| tracker.try_acquire_paced(16, later(ms))));
    tracker.set_pace(Some(EndpointPace::from_rate(1.0)), later(20_000));
    assert!(
        !(20_000..21_000).any(|ms| tracker.try_acquire_paced(16, later(ms))),
        "waits one interval first"
    );
    assert!(tracker.try_acquire_paced(16, later(21_000)));
    tracker.set_pace(Some(EndpointPace::from_rate(0.5)), later(21_500));
    assert!(
        !(21_500..22_500).any(|ms| tracker.try_acquire_paced(16, later(ms))),
        "half an interval is left"
    );
    assert!(tracker.try_acquire_paced(16, later(22_500)));
}

/// Guards against a gossip message for each answer, and against a change that is not sent.
#[test]
fn neighbours_get_changes_and_periodic_refreshes() {
    let mut limits = RateLimits::default();
    let mut updates = 0;
    for step in 0..100 {
        updates += u32::from(limits.observe(ENDPOINT, Some(limit(2.0)), later(step * 50)));
    }
    assert!((3..=6).contains(&updates), "{updates} updates in 5 s");
    assert!(limits.observe(ENDPOINT, Some(limit(1.0)), later(5_010)));
    let (rows, cursor) = limits.rows_since(0, 3, later(5_020));
    let state = LimitState::Named(limit(1.0));
    assert_eq!(rows, [LimitRecord { endpoint: ENDPOINT, state, age_ms: 10 }]);
    assert_eq!(limits.rows_since(cursor, 3, later(5_020)).0, []);
}

/// Guards against late copies that restore an ended limit or end a current one.
#[test]
fn the_later_state_wins_on_every_path() {
    let row = |state, age_ms| LimitRecord { endpoint: ENDPOINT, state, age_ms };
    let (named, ended) = (LimitState::Named(limit(2.0)), LimitState::Ended(limit(2.0)));
    let mut limits = RateLimits::default();
    assert!(limits.merge(row(named, 0), 1, NOW));
    assert!(!limits.merge(row(named, 0), 2, later(30)), "a copy");
    assert!(limits.merge(row(ended, 0), 1, later(1_000)));
    assert!(!limits.merge(row(named, 1_100), 2, later(1_100)), "an outdated row");
    assert!(limits.merge(row(named, 0), 2, later(1_500)));
    assert!(!limits.merge(row(ended, 600), 3, later(1_510)), "an outdated row");
    assert_eq!(limits.pace(ENDPOINT, holder(9), later(1_510)), Some(EndpointPace::ZERO));
}

/// Guards against entries that resume sending to an endpoint at the same moments.
#[test]
fn entries_that_return_together_do_not_send_at_the_same_moments() {
    let mut limits = RateLimits::default();
    limits.observe(ENDPOINT, Some(limit(2.0)), NOW);
    limits.observe(ENDPOINT, None, later(600));
    let trackers: Vec<_> = (0..149).map(|_| EndpointTracker::default()).collect();
    let mut sent = Vec::new();
    for ms in 600..2_600 {
        for (index, tracker) in trackers.iter().enumerate() {
            tracker.set_hard_limit(16);
            let phase = f64::from(index as u32 + 1) / 149.0;
            let holder = HolderRank { rank: index, candidates: 149, entries: 149, phase };
            tracker.set_pace(limits.pace(ENDPOINT, holder, later(ms)), later(ms));
            if tracker.try_acquire_paced(16, later(ms)) {
                tracker.release();
                sent.push(ms);
            }
        }
    }
    let at_once = |at: &u64| sent.iter().filter(|other| **other / 100 == *at / 100).count();
    let most = sent.iter().map(at_once).max().unwrap_or(0);
    assert!(most <= 3, "{most} requests in a tenth of a second");
}

/// Guards against limits of removed endpoints that fill the memory.
#[test]
fn limits_of_endpoints_that_are_gone_are_forgotten() {
    let mut limits = RateLimits::default();
    limits.observe(1, Some(limit(2.0)), NOW);
    limits.observe(2, Some(limit(2.0)), NOW);
    limits.expire(|_| false, later(1_000));
    assert!(!limits.is_empty());
    limits.expire(|endpoint| endpoint == 1, later(70_000));
    assert!(limits.pace(1, holder(0), later(70_000)).is_some());
    assert!(limits.pace(2, holder(0), later(70_000)).is_none());
}

/// Delay of one message over a link, in milliseconds.
const ROUND_MS: u64 = 25;

/// Time until the head of an answer arrives, in milliseconds.
const ANSWER_MS: u64 = 100;

/// Time until the other entries notice that an entry is gone, in milliseconds.
const NOTICE_MS: u64 = 1_500;

/// Entries in a ring with chords, in front of one endpoint that advertises a limit.
struct LimitSimulation {
    now: Timestamp,
    limits: Vec<RateLimits>,
    trackers: Vec<EndpointTracker>,
    links: Vec<BTreeMap<usize, u64>>,
    /// End of each entry's freeze.
    frozen: Vec<Timestamp>,
    /// Start of each entry's freeze.
    frozen_at: Vec<Timestamp>,
    /// Entries in rank order.
    order: Vec<usize>,
    answers: Vec<(Timestamp, usize)>,
    named: Option<NamedLimit>,
    sent: Vec<Timestamp>,
}

impl LimitSimulation {
    fn new(entries: usize) -> Self {
        let mut links = vec![BTreeMap::new(); entries];
        for index in 0..entries {
            for step in [1, 3, 9, 27].into_iter().filter(|step| step * 2 <= entries) {
                let other = (index + step) % entries;
                links[index].insert(other, 0);
                links[other].insert(index, 0);
            }
        }
        let weight = |index: &usize| rendezvous_weight(ENDPOINT, &format!("entry-{index}"));
        let mut order: Vec<_> = (0..entries).collect();
        order.sort_by_key(|index| std::cmp::Reverse(weight(index)));
        let tracker = |_| {
            let tracker = EndpointTracker::default();
            tracker.set_hard_limit(16);
            tracker
        };
        Self {
            now: NOW,
            limits: (0..entries).map(|_| RateLimits::default()).collect(),
            trackers: (0..entries).map(tracker).collect(),
            links,
            frozen: vec![Timestamp(0); entries],
            frozen_at: vec![Timestamp(0); entries],
            order,
            answers: Vec::new(),
            named: None,
            sent: Vec::new(),
        }
    }

    fn freeze(&mut self, entry: usize, ms: u64) {
        self.frozen_at[entry] = self.now;
        self.frozen[entry] = Timestamp(self.now.0 + ms);
    }

    fn runs(&self, entry: usize) -> bool {
        self.now >= self.frozen[entry]
    }

    /// Whether the other entries see an entry as present.
    fn is_present(&self, entry: usize) -> bool {
        self.runs(entry) || self.now.0 < self.frozen_at[entry].0 + NOTICE_MS
    }

    /// Entries that the others see as present, in rank order.
    fn ranked(&self) -> Vec<usize> {
        self.order.iter().copied().filter(|entry| self.is_present(*entry)).collect()
    }

    fn step(&mut self, load: f64, rng: &mut SmallRng) {
        let due: Vec<_> = self.answers.extract_if(.., |(at, _)| *at <= self.now).collect();
        for (_, entry) in due {
            self.trackers[entry].release();
            if self.runs(entry) {
                self.limits[entry].observe(ENDPOINT, self.named, self.now);
            }
        }
        let ranked = self.ranked();
        let count = ranked.len();
        for (rank, entry) in ranked.into_iter().enumerate() {
            if !self.runs(entry) {
                continue;
            }
            let holder = HolderRank { rank, candidates: count, entries: count, phase: 1.0 };
            let pace = self.limits[entry].pace(ENDPOINT, holder, self.now);
            self.trackers[entry].set_pace(pace, self.now);
            if rng.random_bool(load) && self.trackers[entry].try_acquire_paced(16, self.now) {
                self.sent.push(self.now);
                self.answers.push((Timestamp(self.now.0 + ANSWER_MS), entry));
            }
        }
        self.deliver();
        self.now = Timestamp(self.now.0 + ROUND_MS);
    }

    fn deliver(&mut self) {
        let mut messages = Vec::new();
        for index in 0..self.limits.len() {
            if !self.runs(index) {
                continue;
            }
            for (other, cursor) in &mut self.links[index] {
                if self.now < self.frozen[*other] {
                    continue;
                }
                let (rows, next) =
                    self.limits[index].rows_since(*cursor, *other as LinkId, self.now);
                *cursor = next;
                messages.extend(rows.into_iter().map(|row| (index, *other, row)));
            }
        }
        for (from, to, row) in messages {
            self.limits[to].merge(row, from as LinkId, self.now);
        }
    }

    /// Maximum number of requests within four seconds, counted from `from`.
    fn most_since(&self, from: Timestamp) -> usize {
        let sent: Vec<_> = self.sent.iter().filter(|at| **at >= from).collect();
        let count = |start: &&Timestamp| {
            sent.iter().filter(|at| at.0 >= start.0 && at.0 < start.0 + 4_000).count()
        };
        sent.iter().map(count).max().unwrap_or(0)
    }
}

/// Guards against a limit that is exceeded or left unused while entries freeze and return, at any
/// size.
#[rstest]
#[case(9, 2.0)]
#[case(15, 2.0)]
#[case(15, 7.5)]
#[case(149, 1.8)]
#[case(370, 5.0)]
fn a_limit_is_kept_and_used_while_entries_come_and_go(#[case] entries: usize, #[case] rate: f64) {
    for seed in 0..10 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut simulation = LimitSimulation::new(entries);
        for _ in 0..40 {
            simulation.step(0.5, &mut rng);
        }
        simulation.named = Some(limit(rate));
        for _ in 0..40 {
            simulation.step(0.5, &mut rng);
        }
        let from = simulation.now;
        let mut frozen_ms = 0;
        for step in 0..1_200 {
            if step % 200 == 100 {
                // The first holder is the worst one to lose.
                let holder = simulation.ranked()[0];
                simulation.freeze(holder, 3_000);
                frozen_ms += NOTICE_MS;
            }
            simulation.step(0.5, &mut rng);
        }
        let most = simulation.most_since(from) as f64;
        assert!(most <= rate * 4.0 + 5.0, "seed {seed}: {most} in 4 s at {rate} a second");
        let used = simulation.sent.iter().filter(|at| **at >= from).count() as f64;
        let span_s = (1_200 * ROUND_MS - frozen_ms) as f64 / 1_000.0;
        assert!(used >= 0.9 * rate * span_s, "seed {seed}: {used} used of {}", rate * span_s);
    }
}
