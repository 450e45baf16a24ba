//! Load tests of urgencies and work without a network: 32 entries share one pool of slots, as they
//! see it in reports that are up to 200 ms old. Each tick is a millisecond.

use std::{
    collections::{BTreeMap, BinaryHeap, HashSet},
    time::Duration,
};

use cassiawheel_decide::{
    AdmitRank, AdmitTicket, AdmitTier, AdmitVerdict, RequestWork, ServiceAdmission, SlotCompetitor,
    SlotShare,
};
use cassiawheel_model::{PriorityClass, Timestamp, Urgency, WorkspaceId};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ENTRIES: usize = 32;
const START: u64 = 1_000_000;
const SPAN_MS: u64 = 20_000;
const REPORT_MS: u64 = 200;
const AIMS_MS: [u64; 3] = [400, 400, 1_000];

/// How requests of different urgency are admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Without urgencies.
    Equal,
    /// In order of urgency, with slots reserved.
    Reserved,
    /// In order of urgency; entries refuse a fraction of each urgency that they compute from the
    /// demand that all have gossiped half a second ago.
    Level,
}

struct Request {
    entry: usize,
    kind: usize,
    is_back: bool,
    waits_until: u64,
}

/// Requests by kind: first ones, those served at once, and those refused twice.
#[derive(Debug, Default, Clone, Copy)]
struct Kind {
    first: f64,
    served: f64,
    refused_twice: f64,
}

impl Kind {
    fn served(self) -> f64 {
        self.served / self.first
    }
}

struct Pool {
    way: Way,
    slots: u32,
    entries: Vec<ServiceAdmission<usize>>,
    reported: Vec<u32>,
    requests: Vec<Request>,
    waiting: HashSet<usize>,
    /// Ends and returns by time.
    due: BTreeMap<u64, Vec<(usize, bool)>>,
    in_queue: BinaryHeap<std::cmp::Reverse<(u64, usize)>>,
    rng: SmallRng,
    kinds: [Kind; 3],
    most_running: u32,
}

impl Pool {
    /// Runs a load of requests per second by kind, `burst` between 4 and 14 s; requests occupy a
    /// slot for 350 to 450 ms.
    fn run(way: Way, slots: u32, calm: [f64; 3], burst: [f64; 3]) -> Self {
        let mut pool = Self {
            way,
            slots,
            entries: (0..ENTRIES).map(|_| ServiceAdmission::new(1_024)).collect(),
            reported: vec![0; ENTRIES],
            requests: Vec::new(),
            waiting: HashSet::new(),
            due: BTreeMap::new(),
            in_queue: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(11),
            kinds: [Kind::default(); 3],
            most_running: 0,
        };
        for now in 0..SPAN_MS {
            if now % REPORT_MS == 0 {
                pool.reported = pool.entries.iter().map(ServiceAdmission::active).collect();
            }
            let running = pool.entries.iter().map(ServiceAdmission::active).sum();
            pool.most_running = pool.most_running.max(running);
            while let Some(std::cmp::Reverse((until, request))) = pool.in_queue.peek().copied()
                && until <= now
            {
                pool.in_queue.pop();
                if pool.waiting.remove(&request) {
                    pool.refuse(request, now);
                }
            }
            for (request, is_return) in pool.due.remove(&now).unwrap_or_default() {
                if is_return {
                    pool.arrive(request, now, 1.0);
                } else {
                    pool.release(pool.requests[request].entry, now);
                }
            }
            let rates = if (4_000..14_000).contains(&now) { burst } else { calm };
            let known = if (4_500..14_500).contains(&now) { burst } else { calm };
            let capacity = f64::from(slots) / 0.4;
            for kind in 0..3 {
                let more_urgent: f64 = known[..kind].iter().sum();
                let all: f64 = known.iter().sum();
                let room = ((capacity - more_urgent) / known[kind]).max(0.25 * capacity / all);
                let count = rates[kind] / 1_000.0;
                let count = count as usize + usize::from(pool.rng.random_bool(count.fract()));
                for _ in 0..count {
                    let entry = pool.rng.random_range(0..ENTRIES);
                    let wait_ms = if way == Way::Equal { AIMS_MS[kind] } else { AIMS_MS[0] } / 4;
                    let waits_until = now + wait_ms;
                    pool.requests.push(Request { entry, kind, is_back: false, waits_until });
                    pool.kinds[kind].first += 1.0;
                    pool.arrive(pool.requests.len() - 1, now, room);
                }
            }
        }
        pool
    }

    fn capacity(&self, entry: usize, now: u64) -> u32 {
        let hash = u64::MAX / ENTRIES as u64 * entry as u64;
        let competitor = SlotCompetitor::new(ENTRIES, hash, Timestamp(START + now));
        let own = self.reported[entry];
        let mut share = SlotShare::new(competitor);
        share.add_endpoint(self.slots, own, self.reported.iter().sum::<u32>() - own);
        share.capacity()
    }

    fn arrive(&mut self, number: usize, now: u64, room: f64) {
        if self.way == Way::Level && !self.rng.random_bool(room.clamp(0.0, 1.0)) {
            return self.refuse(number, now);
        }
        let request = &self.requests[number];
        let (index, time) = (request.entry, Timestamp(START + now));
        let rank = match self.way {
            Way::Equal => AdmitRank::default(),
            Way::Reserved | Way::Level => AdmitRank {
                urgency: Urgency::from(request.kind as u8),
                yields: request.kind == 2 && self.way == Way::Reserved,
                work: RequestWork::UNIT,
            },
        };
        let tier = if request.is_back { AdmitTier::Returned } else { AdmitTier::Fresh };
        let capacity = self.capacity(index, now);
        if self.entries[index].try_admit_ranked(tier, rank, capacity) {
            return self.admit(number, now);
        }
        let wait = Duration::from_millis(2 * request.waits_until.saturating_sub(now));
        let ticket = AdmitTicket {
            workspace: WorkspaceId::new("one").expect("valid"),
            priority: PriorityClass::Normal,
            deadline: time.deadline_after(wait),
            tier,
        };
        self.waiting.insert(number);
        self.in_queue.push(std::cmp::Reverse((request.waits_until, number)));
        self.change(index, now, |entry, notify| {
            entry.enqueue_ranked(&ticket, rank, number, capacity, time, notify);
        });
    }

    fn release(&mut self, index: usize, now: u64) {
        let capacity = self.capacity(index, now);
        self.change(index, now, |entry, notify| {
            entry.release(capacity, Timestamp(START + now), notify);
        });
    }

    fn change(
        &mut self,
        index: usize,
        now: u64,
        change: impl FnOnce(&ServiceAdmission<usize>, &mut dyn FnMut(usize, AdmitVerdict) -> bool),
    ) {
        let mut verdicts = Vec::new();
        let waiting = &mut self.waiting;
        change(&self.entries[index], &mut |number, verdict| {
            let still_waits = waiting.remove(&number);
            verdicts.extend(still_waits.then_some((number, verdict)));
            still_waits
        });
        for (number, verdict) in verdicts {
            match verdict {
                AdmitVerdict::Admitted => self.admit(number, now),
                AdmitVerdict::Refused(_) => self.refuse(number, now),
            }
        }
    }

    fn admit(&mut self, number: usize, now: u64) {
        let request = &self.requests[number];
        self.kinds[request.kind].served += f64::from(u8::from(!request.is_back));
        let held_ms = self.rng.random_range(350..450);
        self.due.entry(now + held_ms).or_default().push((number, false));
    }

    fn refuse(&mut self, number: usize, now: u64) {
        let request = &mut self.requests[number];
        if request.is_back {
            self.kinds[request.kind].refused_twice += 1.0;
            return;
        }
        request.is_back = true;
        request.entry = self.rng.random_range(0..ENTRIES);
        request.waits_until = now + 2_000 + AIMS_MS[0] / 4;
        self.due.entry(now + 2_000).or_default().push((number, true));
    }
}

/// Result of a run.
#[derive(Debug)]
struct Outcome {
    /// Fraction of the first requests that were served, by kind.
    served: [f64; 3],
    /// The same of all kinds.
    all: f64,
    /// Fraction that was refused twice, by kind.
    twice: [f64; 3],
    /// Most requests in progress, as a multiple of the slots.
    most: f64,
}

/// Runs loads that are given as multiples of the capacity.
fn outcome(way: Way, slots: u32, calm: [f64; 3], burst: [f64; 3]) -> Outcome {
    let [calm, burst] = [calm, burst].map(|load| load.map(|part| part * f64::from(slots) / 0.4));
    let pool = Pool::run(way, slots, calm, burst);
    let sum = |part: fn(&Kind) -> f64| pool.kinds.iter().map(part).sum::<f64>();
    let outcome = Outcome {
        served: pool.kinds.map(Kind::served),
        all: sum(|kind| kind.served) / sum(|kind| kind.first),
        twice: pool.kinds.map(|kind| kind.refused_twice / kind.first),
        most: f64::from(pool.most_running) / f64::from(slots),
    };
    println!("{slots} slots, {way:?}: {outcome:.3?}");
    outcome
}

/// Guards against refusing urgent callers in a burst of less urgent requests, with three, six and
/// twelve slots for each entry. Where entries have enough slots to reserve one, this protects the
/// urgent callers as well as an agreed level does, without messages.
#[test]
fn urgent_requests_are_served_in_a_burst_of_less_urgent_ones() {
    for slots in [96, 192, 384] {
        let ways = [Way::Equal, Way::Reserved, Way::Level];
        let runs = ways.map(|way| outcome(way, slots, [0.2; 3], [0.2, 0.2, 1.0]));
        let [equal, reserved, level] = &runs;
        assert!(reserved.served.is_sorted_by(|one, next| *one + 0.01 >= *next), "{runs:?}");
        assert!(reserved.served[0] >= equal.served[0] + 0.14, "{runs:?}");
        assert!(reserved.twice[0] <= equal.twice[0] / 2.0, "{runs:?}");
        assert!(reserved.all >= level.all - 0.02 && reserved.most <= 1.05, "{runs:?}");
        if slots >= 192 {
            assert!(reserved.served[0] >= level.served[0], "{runs:?}");
            assert!(reserved.twice[0] <= level.twice[0], "{runs:?}");
        }
    }
}

/// Guards against starvation in a lasting excess of the most urgent requests: no urgency may be
/// served less than a quarter as often as all requests.
#[test]
fn no_urgency_is_starved_by_an_excess_of_urgent_requests() {
    for slots in [96, 192, 384] {
        for load in [[2.0, 0.2, 0.2], [1.2, 1.2, 0.2], [2.0, 0.1, 1.0]] {
            let equal = outcome(Way::Equal, slots, load, load);
            let run = outcome(Way::Reserved, slots, load, load);
            assert!(run.served.iter().all(|kind| *kind >= run.all / 4.0), "{run:?}");
            assert!(run.most <= equal.most.max(1.0) + 0.05, "{run:?} {equal:?}");
        }
    }
}
