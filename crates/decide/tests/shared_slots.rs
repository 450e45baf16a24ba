//! Many entries in front of engines that no gate protects, at more load than the engines carry.
//!
//! Simulated without a network: engines that read prompts between the steps of running streams,
//! load reports of some age, callers with a latency target who return once when refused.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    sync::{Arc, atomic::AtomicU32},
};

use cassiawheel_decide::{
    AdmitTicket, AdmitTier, AdmitVerdict, EndpointPath, EndpointTracker, RouteCandidate,
    RouteQuery, RouteSnapshot, ServiceAdmission, ServiceRoutes, SlotCompetitor, SlotShare,
};
use cassiawheel_model::{
    EVERYWHERE, InstanceId, LoadReport, PriorityClass, ServiceName, Timestamp, WorkspaceId,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ENTRIES: usize = 43;
const ENGINES: usize = 45;
const SLOTS: u32 = 12;
const AIM_MS: u64 = 400;
const RETURN_MS: u64 = 2_000;
const REPORT_MS: u64 = 250;
const REPORT_DELAY_MS: u64 = 40;
const PASS_MS: f64 = 46.4;
const TOKENS_PER_MS: f64 = 20.7;
const TOKENS_PER_PASS: f64 = 2_048.0;
const START: u64 = 1_000_000;
const SPAN_MS: u64 = 30_000;
/// Arrivals before this time are not counted.
const WARM_UP_MS: u64 = 6_000;

/// Which slots an entry may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotPolicy {
    /// All that it sees as free.
    All,
    /// Its own and its part of the free ones.
    Shared,
}

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    asked: u32,
    in_aim: u32,
    late: u32,
    late_returned: u32,
    refused: u32,
}

struct Request {
    entry: usize,
    engine: usize,
    arrived_at: u64,
    tier: AdmitTier,
    unread_tokens: f64,
    events: u32,
    started: bool,
}

#[derive(Default)]
struct Engine {
    running: Vec<usize>,
    queue: VecDeque<usize>,
    is_busy: bool,
}

struct Entry {
    admission: ServiceAdmission<usize>,
    routes: RouteSnapshot,
    trackers: Vec<Arc<EndpointTracker>>,
    capacity: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { entry: usize },
    Return { request: usize },
    GiveUp { request: usize },
    Pass { engine: usize },
    Measure { engine: usize },
    Report { engine: usize, load: u32, measured_at: u64 },
}

struct Simulation {
    policy: SlotPolicy,
    service: ServiceName,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    waiting: HashMap<usize, u64>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    rng: SmallRng,
    now: u64,
    counts: Counts,
}

fn timestamp(now: u64) -> Timestamp {
    Timestamp(START + now)
}

impl Entry {
    fn new(service: &ServiceName) -> Self {
        let trackers: Vec<_> = (0..ENGINES).map(|_| Arc::new(EndpointTracker::default())).collect();
        let candidate = |(index, tracker): (usize, &Arc<EndpointTracker>)| {
            tracker.set_hard_limit(SLOTS);
            RouteCandidate {
                born_at: None,
                instance: InstanceId::new(&format!("i-{index}")).expect("valid"),
                version: None,
                is_near: index % 3 == 0,
                region: None,
                path: EndpointPath::Direct("10.0.0.1:8001".parse().expect("valid")),
                tracker: tracker.clone(),
            }
        };
        let candidates = trackers.iter().enumerate().map(candidate).collect();
        let routes = ServiceRoutes::new(candidates, Arc::new(AtomicU32::new(0)));
        Self {
            admission: ServiceAdmission::new(1_024),
            routes: RouteSnapshot::new(HashMap::from([(service.clone(), routes)])),
            trackers,
            capacity: 0,
        }
    }
}

impl Simulation {
    fn new(policy: SlotPolicy, seed: u64) -> Self {
        let service = ServiceName::new("guide").expect("valid");
        Self {
            policy,
            entries: (0..ENTRIES).map(|_| Entry::new(&service)).collect(),
            service,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            waiting: HashMap::new(),
            events: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            counts: Counts::default(),
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.events.push(Reverse((time, event)));
    }

    /// Plays `per_second` arrivals, spread evenly over the entries.
    fn run(mut self, per_second: f64) -> Counts {
        for engine in 0..ENGINES {
            let first = self.rng.random_range(0..REPORT_MS);
            self.at(first, Event::Measure { engine });
        }
        let mut time = 0.0;
        while (time as u64) < SPAN_MS {
            time -= self.rng.random_range(f64::EPSILON..1.0).ln() * 1_000.0 / per_second;
            let entry = self.rng.random_range(0..ENTRIES);
            self.at(time as u64, Event::Arrive { entry });
        }
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > SPAN_MS + 2 * RETURN_MS {
                break;
            }
            self.now = now;
            self.play(event);
        }
        self.counts
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Arrive { entry } => {
                if self.now >= WARM_UP_MS {
                    self.counts.asked += 1;
                }
                self.requests.push(Request {
                    entry,
                    engine: 0,
                    arrived_at: self.now,
                    tier: AdmitTier::Fresh,
                    unread_tokens: -self.rng.random_range(0.02_f64..1.0).ln() * 900.0 + 40.0,
                    events: self.rng.random_range(5..34),
                    started: false,
                });
                self.admit(self.requests.len() - 1);
            }
            Event::Return { request } => {
                self.requests[request].tier = AdmitTier::Returned;
                self.admit(request);
            }
            Event::GiveUp { request } => {
                if self.waiting.get(&request).is_some_and(|until| *until <= self.now) {
                    self.waiting.remove(&request);
                    self.refuse(request);
                }
            }
            Event::Pass { engine } => self.end_pass(engine),
            Event::Measure { engine } => {
                let load =
                    (self.engines[engine].running.len() + self.engines[engine].queue.len()) as u32;
                let report = Event::Report { engine, load, measured_at: self.now };
                self.at(self.now + REPORT_DELAY_MS, report);
                self.at(self.now + REPORT_MS, Event::Measure { engine });
            }
            Event::Report { engine, load, measured_at } => {
                let measured_at = timestamp(measured_at);
                let load = LoadReport { in_flight: load, queued: 0, measured_at };
                for entry in &self.entries {
                    entry.trackers[engine].apply_report(&load, SLOTS);
                }
            }
        }
    }

    fn admit(&mut self, request: usize) {
        let now = timestamp(self.now);
        let (number, tier) = (self.requests[request].entry, self.requests[request].tier);
        let competitor = match self.policy {
            SlotPolicy::All => SlotCompetitor::ALONE,
            SlotPolicy::Shared => {
                let hash = (u64::MAX / ENTRIES as u64) * number as u64;
                SlotCompetitor::new(ENTRIES, hash, now)
            }
        };
        let entry = &mut self.entries[number];
        let routes = entry.routes.service(&self.service).expect("the service");
        entry.capacity = routes.capacity(SLOTS, competitor, now);
        if entry.admission.try_admit(tier, entry.capacity) {
            self.dispatch(request);
            return;
        }
        let ticket = AdmitTicket {
            workspace: WorkspaceId::new("one").expect("valid"),
            priority: PriorityClass::Normal,
            deadline: now.deadline_after(std::time::Duration::from_millis(AIM_MS / 2)),
            tier,
        };
        let mut verdicts = Vec::new();
        let notify = |request, verdict| {
            verdicts.push((request, verdict));
            true
        };
        entry.admission.enqueue(&ticket, request, entry.capacity, now, notify);
        self.waiting.insert(request, self.now + AIM_MS / 4);
        self.at(self.now + AIM_MS / 4, Event::GiveUp { request });
        self.apply(verdicts);
    }

    fn apply(&mut self, verdicts: Vec<(usize, AdmitVerdict)>) {
        for (request, verdict) in verdicts {
            self.waiting.remove(&request);
            match verdict {
                AdmitVerdict::Admitted => self.dispatch(request),
                AdmitVerdict::Refused(_) => self.refuse(request),
            }
        }
    }

    fn dispatch(&mut self, request: usize) {
        let query = RouteQuery {
            service: &self.service,
            excluded: &[],
            prefix: None,
            version: None,
            allowed: None,
            allowed_far: None,
            homes: &EVERYWHERE,
            extra_capacity: 0,
            max_in_flight: SLOTS,
            now: timestamp(self.now),
        };
        let number = self.requests[request].entry;
        let choice = self.entries[number].routes.acquire(&query, &mut self.rng);
        let Some(choice) = choice else {
            self.release(number);
            self.refuse(request);
            return;
        };
        let name = choice.candidate.instance.as_str().trim_start_matches("i-");
        let engine: usize = name.parse().expect("a number");
        self.requests[request].engine = engine;
        self.engines[engine].queue.push_back(request);
        if !self.engines[engine].is_busy {
            self.begin_pass(engine);
        }
    }

    fn refuse(&mut self, request: usize) {
        let refused = &self.requests[request];
        match refused.tier {
            AdmitTier::Fresh => self.at(self.now + RETURN_MS, Event::Return { request }),
            AdmitTier::Returned if refused.arrived_at >= WARM_UP_MS => self.counts.refused += 1,
            AdmitTier::Returned => {}
        }
    }

    fn release(&mut self, entry: usize) {
        let mut verdicts = Vec::new();
        let now = timestamp(self.now);
        // A caller that has left takes no slot.
        let waiting = &self.waiting;
        let notify = |request, verdict| {
            let is_waiting = waiting.contains_key(&request);
            if is_waiting {
                verdicts.push((request, verdict));
            }
            is_waiting
        };
        let entry = &self.entries[entry];
        entry.admission.release(entry.capacity, now, notify);
        self.apply(verdicts);
    }

    /// Reads prompts and lets each stream that is past its prompt take a step.
    fn begin_pass(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        while state.running.len() < SLOTS as usize
            && let Some(request) = state.queue.pop_front()
        {
            state.running.push(request);
        }
        let mut budget = TOKENS_PER_PASS;
        let mut pass_ms = 0.0;
        let mut has_writer = false;
        for request in &state.running {
            let request = &mut self.requests[*request];
            has_writer |= request.unread_tokens <= 0.0;
            let read = request.unread_tokens.clamp(0.0, budget);
            request.unread_tokens -= read;
            budget -= read;
            pass_ms += read / TOKENS_PER_MS;
        }
        state.is_busy = !state.running.is_empty();
        if state.is_busy {
            let step_ms = if has_writer { PASS_MS } else { PASS_MS / 5.0 };
            self.at(self.now + (pass_ms + step_ms) as u64, Event::Pass { engine });
        }
    }

    fn end_pass(&mut self, engine: usize) {
        let mut ended = Vec::new();
        for request in self.engines[engine].running.clone() {
            let state = &mut self.requests[request];
            if state.unread_tokens > 0.0 {
                continue;
            }
            if !state.started {
                state.started = true;
                let is_in_aim = self.now - state.arrived_at <= AIM_MS;
                if state.arrived_at >= WARM_UP_MS {
                    self.counts.in_aim += u32::from(is_in_aim);
                    self.counts.late += u32::from(!is_in_aim);
                    self.counts.late_returned +=
                        u32::from(!is_in_aim && state.tier == AdmitTier::Returned);
                }
            }
            state.events = state.events.saturating_sub(1);
            if state.events == 0 {
                ended.push((request, state.entry));
            }
        }
        self.engines[engine].running.retain(|request| !ended.iter().any(|(e, _)| e == request));
        for (_, entry) in ended {
            self.entries[entry].trackers[engine].release();
            self.release(entry);
        }
        self.begin_pass(engine);
    }
}

fn play(policy: SlotPolicy, per_second: f64) -> Counts {
    let mut sum = Counts::default();
    for seed in 0..3 {
        let counts = Simulation::new(policy, seed).run(per_second);
        sum.asked += counts.asked;
        sum.in_aim += counts.in_aim;
        sum.late += counts.late;
        sum.late_returned += counts.late_returned;
        sum.refused += counts.refused;
    }
    println!("{policy:?} at {per_second} a second: {sum:?}");
    sum
}

/// Guards against entries that together fill the engines' queues: each saw the same free slots, and
/// most answers came late.
#[test]
fn entries_that_share_free_slots_answer_in_time_under_overload() {
    for per_second in [440.0, 480.0, 560.0] {
        let all = play(SlotPolicy::All, per_second);
        let shared = play(SlotPolicy::Shared, per_second);
        assert!(shared.in_aim * 4 >= all.in_aim * 5, "{shared:?} against {all:?}");
    }
}

/// Guards against refusing callers for the shares while there is room for all of them.
#[test]
fn entries_that_share_free_slots_refuse_nobody_while_there_is_room() {
    let all = play(SlotPolicy::All, 240.0);
    let shared = play(SlotPolicy::Shared, 240.0);
    assert_eq!(shared.refused, 0, "{shared:?}");
    assert!(shared.in_aim * 100 >= all.in_aim * 99, "{shared:?} against {all:?}");
}

/// Guards against entries that together admit more than fits after one report of a few free slots.
#[test]
fn entries_that_see_the_same_free_slots_take_each_of_them_once() {
    let now = timestamp(0);
    let mut capacity = 0;
    for entry in 0..ENTRIES {
        let hash = (u64::MAX / ENTRIES as u64) * entry as u64;
        let mut slots = SlotShare::new(SlotCompetitor::new(ENTRIES, hash, now));
        for engine in 0..ENGINES {
            // Each engine has two free slots; the others are spread over the entries.
            let own = u32::from(entry < 10 && engine % 2 == 0);
            slots.add_endpoint(SLOTS, own, SLOTS - 2 - own);
        }
        capacity += slots.capacity();
    }
    let own: u32 = 10 * ENGINES.div_ceil(2) as u32;
    let free = 2 * ENGINES as u32;
    assert!(
        capacity <= own + free + ENTRIES as u32 / 2,
        "{capacity} slots for {own} and {free} free"
    );
}

/// Guards against an entry that holds slots of an overfull endpoint and gives none of them up.
#[test]
fn entries_give_up_the_same_fraction_of_an_overfull_endpoint() {
    let mut slots = SlotShare::new(SlotCompetitor::ALONE);
    slots.add_endpoint(SLOTS, 12, 12);
    assert!(slots.capacity() <= SLOTS / 2);
}
