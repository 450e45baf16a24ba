//! Load tests of admission without a network: 32 entries share one pool of slots, as they see it in
//! reports that are up to 200 ms old. Requests hold a slot for 350 to 450 ms. Refused clients return
//! once, at any entry. Each tick is a millisecond.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use cassiawheel_decide::{
    AdmitRank, AdmitTicket, AdmitTier, AdmitVerdict, RateMeter, RefusedCaller, RequestWork,
    RetryOutlook, RetryPlan, ServiceAdmission, SlotCompetitor, SlotShare,
};
use cassiawheel_model::{PriorityClass, Timestamp, Urgency, WorkspaceId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const ENTRIES: usize = 32;
const SPAN_MS: u64 = 20_000;
const SEEDS: u64 = 4;
const WAITS_MS: [u64; 3] = [100, 100, 250];

/// How requests are admitted, and when refused clients return.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Without urgencies; after 2 s.
    Equal,
    /// Without urgencies; at the time of the entry's plan.
    Planned,
    /// In order of urgency, with slots reserved.
    Reserved,
    /// In order of urgency; entries refuse a fraction of each urgency that they compute from the
    /// demand that all have gossiped half a second ago.
    Level,
}

/// Load by kind at a time in milliseconds, as a multiple of the capacity, and the fraction of the
/// slots that exist.
type Load = fn(u64) -> ([f64; 3], f64);

/// Result of a run.
#[derive(Debug, Default)]
struct Outcome {
    first: [f64; 3],
    /// Fraction of the first requests that were served, by kind.
    served: [f64; 3],
    /// The same of all kinds.
    all: f64,
    /// Fraction that was refused twice, by kind.
    twice: [f64; 3],
    /// Most requests in progress, as a multiple of the slots.
    most: f64,
}

#[derive(Default)]
struct Entry {
    plan: RetryPlan,
    releases: RateMeter,
    fresh: RateMeter,
}

struct Request {
    entry: usize,
    kind: usize,
    is_back: bool,
}

enum Event {
    End,
    Return,
    GiveUp,
}

struct Pool {
    way: Way,
    slots: u32,
    now: u64,
    queues: Vec<ServiceAdmission<usize>>,
    entries: Vec<Entry>,
    reported: Vec<u32>,
    requests: Vec<Request>,
    waiting: HashSet<usize>,
    due: BTreeMap<u64, Vec<(usize, Event)>>,
    rng: SmallRng,
    outcome: Outcome,
}

impl Pool {
    fn run(way: Way, slots: u32, load: Load) -> Outcome {
        let mut sum = Outcome::default();
        for seed in 0..SEEDS {
            let one = Self::run_once(way, slots, load, seed);
            for kind in 0..3 {
                sum.first[kind] += one.first[kind];
                sum.served[kind] += one.served[kind];
                sum.twice[kind] += one.twice[kind];
            }
            sum.most = sum.most.max(one.most);
        }
        sum.all = sum.served.iter().sum::<f64>() / sum.first.iter().sum::<f64>();
        for kind in 0..3 {
            sum.served[kind] /= sum.first[kind];
            sum.twice[kind] /= sum.first[kind];
        }
        println!("{slots} slots, {way:?}: {sum:.3?}");
        sum
    }

    fn run_once(way: Way, slots: u32, load: Load, seed: u64) -> Outcome {
        let mut pool = Self {
            way,
            slots,
            now: 0,
            queues: (0..ENTRIES).map(|_| ServiceAdmission::new(1_024)).collect(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            reported: vec![0; ENTRIES],
            requests: Vec::new(),
            waiting: HashSet::new(),
            due: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            outcome: Outcome::default(),
        };
        for now in 0..SPAN_MS {
            pool.now = now;
            let (rates, existing) = load(now);
            pool.slots = (f64::from(slots) * existing) as u32;
            if now % 200 == 0 {
                pool.reported = pool.queues.iter().map(ServiceAdmission::active).collect();
            }
            let running: u32 = pool.queues.iter().map(ServiceAdmission::active).sum();
            pool.outcome.most = pool.outcome.most.max(f64::from(running) / f64::from(slots));
            for (request, event) in pool.due.remove(&now).unwrap_or_default() {
                match event {
                    Event::End => pool.release(pool.requests[request].entry),
                    Event::Return => pool.arrive(request, 1.0),
                    Event::GiveUp if pool.waiting.remove(&request) => pool.refuse(request),
                    Event::GiveUp => {}
                }
            }
            let known = load(now.saturating_sub(500)).0;
            for kind in 0..3 {
                let (ahead, all) = (known[..kind].iter().sum::<f64>(), known.iter().sum::<f64>());
                let room = ((1.0 - ahead) / known[kind]).max(0.25 / all);
                let count = rates[kind] * f64::from(slots) / 400.0;
                let count = count as usize + usize::from(pool.rng.random_bool(count.fract()));
                for _ in 0..count {
                    let entry = pool.rng.random_range(0..ENTRIES);
                    pool.requests.push(Request { entry, kind, is_back: false });
                    pool.outcome.first[kind] += 1.0;
                    pool.entries[entry].fresh.count(pool.time());
                    pool.arrive(pool.requests.len() - 1, room);
                }
            }
        }
        pool.outcome
    }

    fn time(&self) -> Timestamp {
        Timestamp(1_000_000 + self.now)
    }

    fn capacity(&self, entry: usize) -> u32 {
        let hash = u64::MAX / ENTRIES as u64 * entry as u64;
        let mut share = SlotShare::new(SlotCompetitor::new(ENTRIES, hash, self.time()));
        let own = self.reported[entry];
        if self.slots > 0 {
            share.add_endpoint(self.slots, own, self.reported.iter().sum::<u32>() - own);
        }
        share.capacity()
    }

    fn arrive(&mut self, number: usize, room: f64) {
        let (index, now) = (self.requests[number].entry, self.time());
        let (kind, is_back) = (self.requests[number].kind, self.requests[number].is_back);
        let capacity = self.capacity(index);
        let is_left_out = self.way == Way::Level && !self.rng.random_bool(room.clamp(0.0, 1.0));
        if is_left_out || capacity == 0 {
            return self.refuse(number);
        }
        let (rank, wait_ms) = match self.way {
            Way::Equal | Way::Planned => (AdmitRank::default(), WAITS_MS[kind]),
            Way::Reserved | Way::Level => {
                let yields = kind == 2 && self.way == Way::Reserved;
                let urgency = Urgency::from(kind as u8);
                (AdmitRank { urgency, yields, work: RequestWork::UNIT }, WAITS_MS[0])
            }
        };
        let tier = if is_back { AdmitTier::Returned } else { AdmitTier::Fresh };
        if self.queues[index].try_admit_ranked(tier, rank, capacity) {
            return self.admit(number);
        }
        let ticket = AdmitTicket {
            workspace: WorkspaceId::new("one").expect("valid"),
            priority: PriorityClass::Normal,
            deadline: now.deadline_after(Duration::from_millis(2 * wait_ms)),
            tier,
        };
        self.waiting.insert(number);
        self.due.entry(self.now + wait_ms).or_default().push((number, Event::GiveUp));
        self.change(index, |queue, notify| {
            queue.enqueue_ranked(&ticket, rank, number, capacity, now, notify);
        });
    }

    fn release(&mut self, index: usize) {
        let (capacity, now) = (self.capacity(index), self.time());
        self.entries[index].releases.count(now);
        self.change(index, |queue, notify| queue.release(capacity, now, notify));
    }

    fn change(
        &mut self,
        index: usize,
        change: impl FnOnce(&ServiceAdmission<usize>, &mut dyn FnMut(usize, AdmitVerdict) -> bool),
    ) {
        let (mut verdicts, waiting) = (Vec::new(), &mut self.waiting);
        change(&self.queues[index], &mut |number, verdict| {
            let still_waits = waiting.remove(&number);
            verdicts.extend(still_waits.then_some((number, verdict)));
            still_waits
        });
        for (number, verdict) in verdicts {
            match verdict {
                AdmitVerdict::Admitted => self.admit(number),
                AdmitVerdict::Refused(_) => self.refuse(number),
            }
        }
    }

    fn admit(&mut self, number: usize) {
        let request = &self.requests[number];
        self.outcome.served[request.kind] += f64::from(u8::from(!request.is_back));
        let held_ms = self.rng.random_range(350..450);
        self.due.entry(self.now + held_ms).or_default().push((number, Event::End));
    }

    fn refuse(&mut self, number: usize) {
        let now = self.time();
        let (index, kind) = (self.requests[number].entry, self.requests[number].kind);
        if self.requests[number].is_back {
            self.outcome.twice[kind] += 1.0;
            return;
        }
        let (capacity, queue) = (self.capacity(index), &self.queues[index]);
        let entry = &mut self.entries[index];
        let mut fresh_per_s = [0.0; 10];
        fresh_per_s[usize::from(Urgency::DEFAULT.rank())] = entry.fresh.per_s(now);
        let idle_factor = f64::from(capacity) / f64::from(queue.active().max(1));
        let outlook = RetryOutlook {
            is_served: capacity > 0,
            slots_per_s: entry.releases.per_s(now) * idle_factor.clamp(1.0, 4.0),
            fresh_per_s,
            waiting: queue.waiting(),
        };
        let remaining = Duration::from_secs(6);
        let (urgency, tier) = (Urgency::DEFAULT, AdmitTier::Fresh);
        let planned = entry.plan.assign(RefusedCaller { remaining, urgency, tier }, &outlook, now);
        let delay_ms = if self.way == Way::Planned { planned.as_millis() as u64 } else { 2_000 };
        let entry = self.rng.random_range(0..ENTRIES);
        self.requests[number] = Request { entry, kind, is_back: true };
        self.due.entry(self.now + delay_ms).or_default().push((number, Event::Return));
    }
}

/// Guards against refusing urgent callers in a burst of less urgent requests, with three, six and
/// twelve slots for each entry. Where entries have enough slots to reserve one, this protects the
/// urgent callers as well as an agreed level does, without messages.
#[test]
fn urgent_requests_are_served_in_a_burst_of_less_urgent_ones() {
    let load: Load = |ms| {
        if (4_000..14_000).contains(&ms) { ([0.2, 0.2, 1.0], 1.0) } else { ([0.2; 3], 1.0) }
    };
    for slots in [96, 192, 384] {
        let runs = [Way::Equal, Way::Reserved, Way::Level].map(|way| Pool::run(way, slots, load));
        let [equal, reserved, level] = &runs;
        assert!(reserved.served.is_sorted_by(|one, next| *one + 0.01 >= *next), "{runs:?}");
        assert!(reserved.served[0] >= equal.served[0] + 0.14, "{runs:?}");
        assert!(reserved.twice[0] <= equal.twice[0] / 2.0, "{runs:?}");
        assert!(reserved.all >= level.all - 0.02, "{runs:?}");
        if slots >= 192 {
            assert!(reserved.most <= equal.most + 0.1, "{runs:?}");
            assert!(reserved.served[0] >= level.served[0], "{runs:?}");
            assert!(reserved.twice[0] <= level.twice[0], "{runs:?}");
        }
    }
}

/// Guards against starvation in a lasting excess of the most urgent requests: no urgency may be
/// served less than a quarter as often as all requests.
#[rstest]
#[case(|_| ([2.0, 0.2, 0.2], 1.0))]
#[case(|_| ([1.2, 1.2, 0.2], 1.0))]
#[case(|_| ([2.0, 0.1, 1.0], 1.0))]
fn no_urgency_is_starved_by_an_excess_of_urgent_requests(#[case] load: Load) {
    for slots in [96, 192, 384] {
        let [equal, run] = [Way::Equal, Way::Reserved].map(|way| Pool::run(way, slots, load));
        assert!(run.served.iter().all(|kind| *kind >= run.all / 4.0), "{run:?}");
        assert!(run.most <= equal.most.max(1.0) + 0.05, "{run:?} {equal:?}");
    }
}

/// Guards against the fixed delay of 2 s, with which callers return in as dense a crowd as they came
/// in and are refused again. In overload that lasts as long as callers can wait, no delay helps, and
/// the plan must not do much harm. Case by case: the most callers refused twice, as a multiple of
/// those with the fixed delay, and how many more in 1,000 are tolerated.
#[rstest]
#[case::brief_burst(|ms| ([if (4_000..4_300).contains(&ms) { 1.0 } else { 0.2 }; 3], 1.0), 0.95, 0.0)]
#[case::burst(|ms| ([if (4_000..5_000).contains(&ms) { 0.7 } else { 0.2 }; 3], 1.0), 0.95, 0.0)]
#[case::repeated_bursts(|ms| ([if ms % 2_000 < 300 { 0.9 } else { 0.15 }; 3], 1.0), 0.8, 0.0)]
#[case::long_burst(|ms| ([if (4_000..9_000).contains(&ms) { 0.5 } else { 0.2 }; 3], 1.0), 1.0, 10.0)]
#[case::brief_outage(|ms| ([0.2; 3], f64::from(u8::from(!(4_000..5_000).contains(&ms)))), 1.0, 2.0)]
#[case::outage(|ms| ([0.2; 3], f64::from(u8::from(!(4_000..7_000).contains(&ms)))), 1.0, 10.0)]
#[case::half(|ms| ([0.2; 3], if (4_000..7_000).contains(&ms) { 0.5 } else { 1.0 }), 1.0, 10.0)]
fn fewer_callers_are_refused_twice_than_after_a_fixed_delay(
    #[case] load: Load,
    #[case] most: f64,
    #[case] more_in_1000: f64,
) {
    let runs = [Way::Equal, Way::Planned].map(|way| Pool::run(way, 384, load));
    let [fixed, planned] = runs.map(|run| run.twice.iter().sum::<f64>() / 3.0);
    assert!(planned <= fixed * most + more_in_1000 / 1_000.0, "{planned} {fixed}");
}
