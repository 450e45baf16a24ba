//! Seeded simulations of admission: three entries in front of sixteen endpoints, with an unlimited
//! entry as baseline in the same run. Each tick is a millisecond.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use cassiawheel_decide::{
    AdmitTicket, AdmitTier, AdmitVerdict, AttemptFailure, EndpointPath, EndpointTracker, GateState,
    RepeatGuard, RetryBudget, RetryStep, RetryTracker, RouteCandidate, RouteQuery, RouteSnapshot,
    ServiceAdmission, ServiceRoutes, SlotCompetitor,
};
use cassiawheel_model::{
    Deadline, EVERYWHERE, InstanceId, LoadReport, NotRunReason, PresetRevision, PriorityClass,
    ServiceName, Timestamp, WorkspaceId,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ENTRIES: usize = 3;
const ENDPOINTS: usize = 16;
const LIMIT: u32 = 32;
const WORK_MS: u64 = 200;
const DEADLINE_MS: u64 = 2_000;
const START: u64 = 1_000_000;
/// Time after which limits and rates are learned; earlier requests are not measured.
const WARM_UP_MS: u64 = 4_000;
const SPAN_MS: u64 = 14_000;
/// Requests that all endpoints together complete per millisecond.
const CAPACITY: f64 = (ENDPOINTS as u64 * LIMIT as u64) as f64 / WORK_MS as f64;
const WORKSPACES: usize = 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    Shipped,
    Unlimited,
}

#[derive(Debug, Clone, Copy)]
struct Load {
    /// Offered load as a multiple of the capacity.
    offered: f64,
    /// Weight of the first workspace; the others have a weight of one.
    first_weight: f64,
}

#[derive(Debug, Default)]
struct Counts {
    arrived: f64,
    in_time: f64,
}

#[derive(Debug, Default)]
struct Outcome {
    all: Counts,
    high: Counts,
    others: Counts,
    attempts: u64,
    requests: u64,
}

struct Request {
    entry: usize,
    workspace: usize,
    priority: PriorityClass,
    arrived: u64,
    retries: RetryTracker,
    excluded: Vec<InstanceId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Done { request: usize, endpoint: usize },
    Try { request: usize },
}

struct Entry {
    admission: ServiceAdmission<usize>,
    budget: RetryBudget,
    snapshot: RouteSnapshot,
    trackers: Vec<Arc<EndpointTracker>>,
    total: Arc<AtomicU32>,
}

struct World {
    now: u64,
    service: ServiceName,
    names: Vec<InstanceId>,
    entries: Vec<Entry>,
    gates: Vec<GateState>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    admitted: VecDeque<usize>,
    rng: SmallRng,
    outcome: Outcome,
}

fn timestamp(now: u64) -> Timestamp {
    Timestamp(START + now)
}

impl Entry {
    fn new(service: &ServiceName, names: &[InstanceId]) -> Self {
        let trackers: Vec<_> = names.iter().map(|_| Arc::new(EndpointTracker::default())).collect();
        let candidate = |(name, tracker): (&InstanceId, &Arc<EndpointTracker>)| RouteCandidate {
            born_at: None,
            instance: name.clone(),
            version: None,
            is_near: false,
            region: None,
            path: EndpointPath::Agent,
            tracker: tracker.clone(),
        };
        let candidates = names.iter().zip(&trackers).map(candidate).collect();
        let total = Arc::new(AtomicU32::new(0));
        let routes = ServiceRoutes::new(candidates, total.clone());
        Self {
            admission: ServiceAdmission::new(1_024),
            budget: RetryBudget::default(),
            snapshot: RouteSnapshot::new(HashMap::from([(service.clone(), routes)])),
            trackers,
            total,
        }
    }

    fn capacity(&self, service: &ServiceName, now: Timestamp) -> u32 {
        self.snapshot.service(service).expect("the service").capacity(
            LIMIT,
            SlotCompetitor::ALONE,
            now,
        )
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let service = ServiceName::new("desk").expect("a service");
        let name = |index| InstanceId::new(&format!("endpoint-{index}")).expect("an instance");
        let names: Vec<_> = (0..ENDPOINTS).map(name).collect();
        let gate = |_| {
            let mut gate = GateState::new(LIMIT);
            gate.begin_switch().and_then(|()| gate.commit_switch(None)).expect("an open gate");
            gate
        };
        Self {
            now: 0,
            entries: (0..ENTRIES).map(|_| Entry::new(&service, &names)).collect(),
            gates: (0..ENDPOINTS).map(gate).collect(),
            service,
            names,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            admitted: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, load: Load) -> Outcome {
        for now in 0..SPAN_MS {
            self.now = now;
            if now % 200 == 0 {
                self.report();
            }
            while let Some(Reverse((_, event))) =
                self.events.peek().copied().filter(|Reverse((at, _))| *at <= now)
            {
                self.events.pop();
                match event {
                    Event::Done { request, endpoint } => self.done(request, endpoint),
                    Event::Try { request } => self.try_once(request),
                }
            }
            let mean = load.offered * CAPACITY;
            let count = self.rng.random_range(0.0..2.0 * mean) as usize
                + usize::from(self.rng.random_bool(0.5));
            for _ in 0..count {
                self.arrive(load);
            }
            while let Some(request) = self.admitted.pop_front() {
                self.try_once(request);
            }
        }
        self.outcome
    }

    fn report(&mut self) {
        for (endpoint, gate) in self.gates.iter().enumerate() {
            let in_flight = gate.in_progress();
            let load = LoadReport { in_flight, queued: 0, measured_at: timestamp(self.now) };
            for entry in &self.entries {
                entry.trackers[endpoint].apply_report(&load, LIMIT);
            }
        }
    }

    fn arrive(&mut self, load: Load) {
        let point = self.rng.random_range(0.0..load.first_weight + (WORKSPACES - 1) as f64);
        let workspace = (point - load.first_weight + 1.0).max(0.0) as usize;
        let priority = match self.rng.random_range(0..10) {
            0 => PriorityClass::High,
            1..=6 => PriorityClass::Normal,
            _ => PriorityClass::Low,
        };
        let deadline = Deadline(timestamp(self.now).0 + DEADLINE_MS);
        let entry = self.rng.random_range(0..ENTRIES);
        self.requests.push(Request {
            entry,
            workspace,
            priority,
            arrived: self.now,
            retries: RetryTracker::new(RepeatGuard::None, deadline, 3),
            excluded: Vec::new(),
        });
        self.count(self.requests.len() - 1, |counts| counts.arrived += 1.0);
        self.outcome.requests += 1;
        let (request, now) = (self.requests.len() - 1, timestamp(self.now));
        let entry = &self.entries[entry];
        entry.budget.deposit();
        let capacity = entry.capacity(&self.service, now);
        if entry.admission.try_admit(AdmitTier::Fresh, capacity) {
            self.admitted.push_back(request);
            return;
        }
        let ticket = AdmitTicket {
            workspace: WorkspaceId::new(&format!("workspace-{workspace}")).expect("a workspace"),
            priority,
            deadline,
            tier: AdmitTier::Fresh,
        };
        let admitted = &mut self.admitted;
        let notify = |request, verdict| {
            if verdict == AdmitVerdict::Admitted {
                admitted.push_back(request);
            }
            true
        };
        entry.admission.enqueue(&ticket, request, capacity, now, notify);
    }

    fn try_once(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let entry = &self.entries[request.entry];
        let query = RouteQuery {
            service: &self.service,
            excluded: &request.excluded,
            prefix: None,
            version: None,
            allowed: None,
            allowed_far: None,
            homes: &EVERYWHERE,
            extra_capacity: 0,
            max_in_flight: LIMIT,
            now: timestamp(self.now),
        };
        let Some(choice) = entry.snapshot.choose(&query, &mut self.rng) else {
            return self.after(number, NotRunReason::NoEndpoint);
        };
        let name = choice.candidate.instance.clone();
        let endpoint = self.names.iter().position(|n| *n == name).expect("an endpoint");
        request.excluded.push(name);
        request.retries.begin_attempt();
        self.outcome.attempts += 1;
        match self.gates[endpoint].acquire(PresetRevision(1), None) {
            Ok(_) => {
                entry.trackers[endpoint].acquire();
                entry.total.fetch_add(1, Ordering::Relaxed);
                let work = self.rng.random_range(WORK_MS - 80..=WORK_MS + 80);
                let done = Event::Done { request: number, endpoint };
                self.events.push(Reverse((self.now + work, done)));
            }
            Err(reason) => {
                entry.trackers[endpoint].record_refusal(timestamp(self.now));
                self.after(number, reason);
            }
        }
    }

    fn after(&mut self, number: usize, reason: NotRunReason) {
        let request = &mut self.requests[number];
        let budget = &self.entries[request.entry].budget;
        let end = AttemptFailure::NotRun(reason);
        match request.retries.next_step(end, budget, timestamp(self.now), &mut self.rng) {
            RetryStep::Retry(at) | RetryStep::Reroute(at) => {
                let at = (at.0 - START).max(self.now + 1);
                self.events.push(Reverse((at, Event::Try { request: number })));
            }
            RetryStep::Stop(_) => self.release(number),
        }
    }

    fn done(&mut self, number: usize, endpoint: usize) {
        self.gates[endpoint].release();
        let entry = &self.entries[self.requests[number].entry];
        entry.trackers[endpoint].record_success();
        entry.trackers[endpoint].release();
        entry.total.fetch_sub(1, Ordering::Relaxed);
        if self.now <= self.requests[number].arrived + DEADLINE_MS {
            self.count(number, |counts| counts.in_time += 1.0);
        }
        self.release(number);
    }

    fn release(&mut self, number: usize) {
        let (entry, now) = (&self.entries[self.requests[number].entry], timestamp(self.now));
        let capacity = entry.capacity(&self.service, now);
        let admitted = &mut self.admitted;
        entry.admission.release(capacity, now, |request, verdict| {
            if verdict == AdmitVerdict::Admitted {
                admitted.push_back(request);
            }
            true
        });
        while let Some(request) = self.admitted.pop_front() {
            self.try_once(request);
        }
    }

    fn count(&mut self, number: usize, mut add: impl FnMut(&mut Counts)) {
        let request = &self.requests[number];
        let measured = WARM_UP_MS..SPAN_MS - DEADLINE_MS;
        if !measured.contains(&request.arrived) {
            return;
        }
        add(&mut self.outcome.all);
        if request.priority == PriorityClass::High {
            add(&mut self.outcome.high);
        }
        if request.workspace != 0 {
            add(&mut self.outcome.others);
        }
    }
}

/// Simulates endpoints with unbounded queues and entries that forward all requests.
fn run_unlimited(load: Load) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut outcome = Outcome::default();
    let mut free_at = BinaryHeap::from(vec![Reverse(0.0_f64 as u64); (LIMIT as usize) * ENDPOINTS]);
    for now in 0..SPAN_MS {
        let count = rng.random_range(0.0..2.0 * load.offered * CAPACITY) as usize
            + usize::from(rng.random_bool(0.5));
        for _ in 0..count {
            let Reverse(free) = free_at.pop().expect("servers");
            let done = free.max(now) + rng.random_range(WORK_MS - 80..=WORK_MS + 80);
            free_at.push(Reverse(done));
            if (WARM_UP_MS..SPAN_MS - DEADLINE_MS).contains(&now) {
                outcome.all.arrived += 1.0;
                outcome.all.in_time += f64::from(u8::from(done <= now + DEADLINE_MS));
            }
        }
    }
    outcome
}

fn run(admission: Admission, load: Load) -> Outcome {
    match admission {
        Admission::Shipped => World::new(3).run(load),
        Admission::Unlimited => run_unlimited(load),
    }
}

/// Fraction of the capacity that was answered in time.
fn goodput(outcome: &Outcome) -> f64 {
    outcome.all.in_time / (CAPACITY * (SPAN_MS - DEADLINE_MS - WARM_UP_MS) as f64)
}

fn answered(counts: &Counts) -> f64 {
    counts.in_time / counts.arrived
}

/// Guards against congestion collapse at twice the capacity. Without limits every answer is late
/// and the work of the engines is wasted. With them, requests are served at capacity, high priority
/// first, and the rest are refused at once as not run.
#[test]
fn twice_the_capacity_is_served_at_capacity() {
    let load = Load { offered: 2.0, first_weight: 1.0 };
    let shipped = run(Admission::Shipped, load);
    let unlimited = run(Admission::Unlimited, load);
    println!(
        "shipped {:.4}, high {:.5}, attempts per request {:.3}; unlimited {:.4}",
        goodput(&shipped),
        answered(&shipped.high),
        shipped.attempts as f64 / shipped.requests as f64,
        goodput(&unlimited)
    );
    assert!(goodput(&shipped) >= 0.95, "goodput {}", goodput(&shipped));
    assert!(answered(&shipped.high) >= 0.999, "high {}", answered(&shipped.high));
    assert!(goodput(&unlimited) <= 0.2, "baseline goodput {}", goodput(&unlimited));
}

/// Guards against a workspace that sends ten times its share, so that the total exceeds the
/// capacity. The other nine workspaces must not be affected.
#[test]
fn a_busy_workspace_takes_nothing_from_the_others() {
    let others = 0.9 * (WORKSPACES - 1) as f64 / WORKSPACES as f64;
    let normal = run(Admission::Shipped, Load { offered: 0.9, first_weight: 1.0 });
    let busy = Load { offered: others + 0.9, first_weight: 10.0 };
    let burst = run(Admission::Shipped, busy);
    let unlimited = run(Admission::Unlimited, busy);
    let lost = 1.0 - answered(&burst.others) / answered(&normal.others);
    println!(
        "others lose {lost:.4}; all answered {:.4}, unlimited {:.4}",
        answered(&burst.all),
        answered(&unlimited.all)
    );
    assert!(lost <= 0.02, "others lose {lost}");
}
