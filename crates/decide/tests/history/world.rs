//! Simulated entries, agents and operators that exchange delayed messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

use cassiawheel_decide::{
    Adoption, ChangeAnswer, ChangeOutcome, ChangeRequest, ChangeStep, ChangeWriter, GateState,
    PresetHolder, StartHold,
};
use cassiawheel_model::{
    ChangeId, Deadline, ForcedPreset, OperatorName, PresetName, PresetRevision, Timestamp,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    Guard,
    store::{ModelStore, StoreCall},
};

const ENTRIES: usize = 4;
const AGENTS: usize = 4;
const OPERATORS: usize = 2;
const ROUNDS: usize = 5;

/// Times in milliseconds, equal to those of the processes where these have them.
const POLL: u64 = 1_000;
const HEARTBEAT: u64 = 250;
const DISPATCH: u64 = 100;
const STORE_TIMEOUT: u64 = 2_000;
/// Timeouts of operators; with the short ones they retry while a write is in flight.
const REQUEST_TIMEOUTS: std::ops::Range<u64> = 1_000..8_000;
const ENTRY_HOLD: u64 = 1_000;
const AGENT_HOLD: u64 = 2_000;

/// Share of writes that the table service rejects.
const RATE_LIMITED: f64 = 0.05;

const FAULTS_END: u64 = 12_000;
const END: u64 = 30_000;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    LostAnswers,
    Outage,
    StaleReads,
    PausedEntry,
    RestartedEntry,
    RestartedAgent,
    CutLinks,
    SlowMessages,
}

const KINDS: [FaultKind; 8] = [
    FaultKind::LostAnswers,
    FaultKind::Outage,
    FaultKind::StaleReads,
    FaultKind::PausedEntry,
    FaultKind::RestartedEntry,
    FaultKind::RestartedAgent,
    FaultKind::CutLinks,
    FaultKind::SlowMessages,
];

impl FaultKind {
    /// The two faults of a history; the seeds cover every pair.
    pub fn pair(seed: u64) -> [Self; 2] {
        let kinds = KINDS.len() as u64;
        [KINDS[(seed % kinds) as usize], KINDS[(seed / kinds % kinds) as usize]]
    }
}

#[derive(Debug, Clone, Copy)]
struct FaultWindow {
    kind: FaultKind,
    from: u64,
    until: u64,
    victim: usize,
}

/// An entry or an agent; entries come first.
type NodeIndex = usize;

struct ModelNode {
    incarnation: u64,
    holder: PresetHolder,
    hold: StartHold,
    settled: bool,
    gate: GateState,
    writers: BTreeMap<u64, ChangeWriter>,
    /// The highest revision of an answer or dispatch, over all processes of the instance.
    worked: PresetRevision,
}

#[derive(Debug, Clone)]
enum Message {
    /// First message on a new connection.
    Greeting(Option<Arc<ForcedPreset>>),
    Force(Arc<ForcedPreset>),
    Beat(PresetRevision),
    Request(PresetRevision),
}

#[derive(Debug, Clone)]
enum Event {
    Deliver { from: NodeIndex, to: NodeIndex, incarnation: u64, message: Message },
    CallArrives { caller: StoreCaller, call: StoreCall, began_at: u64 },
    CallAnswered { caller: StoreCaller, answer: ChangeAnswer, read_from: Option<u64> },
    Poll(NodeIndex),
    Beat(NodeIndex),
    Dispatch(NodeIndex),
    Settle(NodeIndex),
    Restart(NodeIndex),
    SendRequest { operation: usize, attempt: u64 },
    RequestTimeout { operation: usize, attempt: u64 },
}

/// The caller of a call to the table service.
#[derive(Debug, Clone, Copy)]
struct StoreCaller {
    node: NodeIndex,
    incarnation: u64,
    /// Number of the call, which distinguishes a timeout from a late response.
    call: u64,
    /// The attempt whose writer made the call; none for a poll.
    attempt: Option<(usize, u64)>,
}

/// An operation on the preset in force and its effect.
#[derive(Debug, Clone, Copy)]
pub enum OperationKind {
    /// A change and its revision, if it took effect.
    Change(Option<u64>),
    /// A read and the revision that it found.
    Read(u64),
}

/// One operation of an operator or of a poll.
pub struct Operation {
    pub began_at: u64,
    change: Option<ChangeId>,
    ended: Option<(u64, OperationKind)>,
    attempts: u64,
}

impl Operation {
    /// When and how it ended; none if no effect was reported.
    pub fn outcome(&self, store: &ModelStore) -> Option<(u64, OperationKind)> {
        if self.ended.is_some() {
            return self.ended;
        }
        let change = self.change.as_ref()?;
        let made = store.effects.iter().find(|preset| preset.change == *change)?;
        Some((END, OperationKind::Change(Some(made.revision.0))))
    }
}

/// State of one simulated history.
pub struct World {
    rng: SmallRng,
    now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    off: Option<Guard>,
    windows: Vec<FaultWindow>,
    nodes: Vec<ModelNode>,
    open_calls: BTreeSet<u64>,
    adopted: BTreeMap<PresetRevision, ChangeId>,
    pub store: ModelStore,
    pub operations: Vec<Operation>,
    pub verdicts: Vec<(ChangeId, ChangeOutcome)>,
    pub reverts: u64,
    pub two_in_force: u64,
    pub stale_dispatches: u64,
}

fn addr(node: NodeIndex) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), node as u16 + 1)
}

fn store_addr() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1_000)
}

fn is_entry(node: NodeIndex) -> bool {
    node < ENTRIES
}

impl World {
    pub fn new(seed: u64, faults: [FaultKind; 2], off: Option<Guard>) -> Self {
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            off,
            windows: Vec::new(),
            nodes: Vec::new(),
            open_calls: BTreeSet::new(),
            adopted: BTreeMap::new(),
            store: ModelStore::default(),
            operations: Vec::new(),
            verdicts: Vec::new(),
            reverts: 0,
            two_in_force: 0,
            stale_dispatches: 0,
        };
        for node in 0..ENTRIES + AGENTS {
            let started = world.start_node(node, 1);
            world.nodes.push(started);
        }
        for node in 0..ENTRIES + AGENTS {
            world.connect(node);
        }
        world.plan_faults(faults);
        world.plan_operations();
        world
    }

    /// The revisions that the processes hold.
    pub fn revisions(&self) -> impl Iterator<Item = PresetRevision> {
        self.nodes.iter().map(|node| node.holder.revision())
    }

    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > END {
                return;
            }
            self.now = at;
            self.step(event);
        }
    }

    fn plan_faults(&mut self, faults: [FaultKind; 2]) {
        for kind in faults {
            for _ in 0..2 {
                let from = self.rng.random_range(500..FAULTS_END - 4_000);
                let until = from + self.rng.random_range(300..4_000);
                let victim = match kind {
                    FaultKind::RestartedAgent => ENTRIES + self.rng.random_range(0..AGENTS),
                    _ => self.rng.random_range(0..ENTRIES),
                };
                self.windows.push(FaultWindow { kind, from, until, victim });
                if matches!(kind, FaultKind::RestartedEntry | FaultKind::RestartedAgent) {
                    self.at(from, Event::Restart(victim));
                }
            }
        }
    }

    fn plan_operations(&mut self) {
        for round in 0..ROUNDS {
            for operator in 0..OPERATORS {
                let operation = self.operations.len();
                let change = ChangeId::new(&format!("change-{round}-{operator}")).expect("valid");
                let began_at = 300 + round as u64 * 2_000 + self.rng.random_range(0..20);
                let change = Some(change);
                self.operations.push(Operation { began_at, change, ended: None, attempts: 1 });
                self.at(began_at, Event::SendRequest { operation, attempt: 1 });
            }
        }
    }

    fn start_node(&mut self, node: NodeIndex, incarnation: u64) -> ModelNode {
        let entries = (0..ENTRIES).filter(|entry| *entry != node).map(addr);
        let hold = if is_entry(node) {
            StartHold::new(entries.chain([store_addr()]), Deadline(self.now + ENTRY_HOLD))
        } else {
            StartHold::new(entries, Deadline(self.now + AGENT_HOLD))
        };
        let mut gate = GateState::new(1_000_000);
        gate.begin_switch().expect("a new gate can switch");
        gate.commit_switch(None).expect("nothing is in progress");
        let now = self.now;
        self.at(now + 1, Event::Settle(node));
        if is_entry(node) {
            self.at(now + 1, Event::Poll(node));
            self.at(now + 1, Event::Dispatch(node));
        }
        self.at(now + HEARTBEAT, Event::Beat(node));
        ModelNode {
            incarnation,
            holder: PresetHolder::default(),
            hold,
            settled: false,
            gate,
            writers: BTreeMap::new(),
            worked: PresetRevision::default(),
        }
    }

    /// Connects a started process with all others.
    fn connect(&mut self, node: NodeIndex) {
        for other in 0..ENTRIES + AGENTS {
            if other == node || (!is_entry(node) && !is_entry(other)) {
                continue;
            }
            if self.is_cut(node, other) {
                self.nodes[node].hold.mark_answered(addr(other));
                continue;
            }
            self.send(node, other, Message::Greeting(self.in_use(node)));
            self.send(other, node, Message::Greeting(self.in_use(other)));
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn is_active(&self, kind: FaultKind) -> bool {
        self.active_windows(kind).next().is_some()
    }

    fn active_windows(&self, kind: FaultKind) -> impl Iterator<Item = &FaultWindow> {
        let now = self.now;
        self.windows
            .iter()
            .filter(move |window| window.kind == kind && (window.from..window.until).contains(&now))
    }

    fn is_cut(&self, a: NodeIndex, b: NodeIndex) -> bool {
        let (low, high) = (a.min(b) as u64, a.max(b) as u64);
        self.active_windows(FaultKind::CutLinks)
            .any(|window| (low * 7 + high * 5 + window.from) % 3 == 0)
    }

    /// When a paused process goes on.
    fn resumes_at(&self, node: NodeIndex) -> Option<u64> {
        let active_windows = self.active_windows(FaultKind::PausedEntry);
        active_windows.filter(|window| window.victim == node).map(|window| window.until).max()
    }

    fn delay(&mut self) -> u64 {
        if self.is_active(FaultKind::SlowMessages) {
            return self.rng.random_range(1..1_500);
        }
        self.rng.random_range(1..8)
    }

    /// Delay of a call, which may exceed the timeout of its caller.
    fn call_delay(&mut self) -> u64 {
        if self.is_active(FaultKind::SlowMessages) && self.rng.random_bool(0.5) {
            return self.rng.random_range(1..3 * STORE_TIMEOUT);
        }
        self.rng.random_range(1..8)
    }

    fn send(&mut self, from: NodeIndex, to: NodeIndex, message: Message) {
        // A full queue sometimes drops a push.
        let swallowed = matches!(message, Message::Force(_)) && self.rng.random_bool(0.05);
        if swallowed || self.is_cut(from, to) {
            return;
        }
        let at = self.now + self.delay();
        let incarnation = self.nodes[to].incarnation;
        self.at(at, Event::Deliver { from, to, incarnation, message });
    }

    /// The preset that a process uses.
    fn in_use(&self, node: NodeIndex) -> Option<Arc<ForcedPreset>> {
        let node = &self.nodes[node];
        node.holder.current().filter(|_| node.settled).cloned()
    }

    fn step(&mut self, event: Event) {
        let actor = match &event {
            Event::Deliver { to, .. } => Some(*to),
            Event::CallAnswered { caller, .. } => Some(caller.node),
            Event::Poll(node) | Event::Beat(node) | Event::Dispatch(node) | Event::Settle(node) => {
                Some(*node)
            }
            Event::CallArrives { .. }
            | Event::Restart(_)
            | Event::SendRequest { .. }
            | Event::RequestTimeout { .. } => None,
        };
        if let Some(resumes_at) = actor.and_then(|actor| self.resumes_at(actor)) {
            return self.at(resumes_at, event);
        }
        match event {
            Event::Deliver { from, to, incarnation, message } => {
                if self.nodes[to].incarnation == incarnation {
                    self.deliver(from, to, message);
                }
            }
            Event::CallArrives { caller, call, began_at } => self.arrive(caller, call, began_at),
            Event::CallAnswered { caller, answer, read_from } => {
                self.answered(caller, answer, read_from);
            }
            Event::Poll(node) => {
                self.call_store(node, None, StoreCall::Force);
                let at = self.now + self.rng.random_range(POLL * 3 / 4..POLL * 5 / 4);
                self.at(at, Event::Poll(node));
            }
            Event::Beat(node) => self.send_heartbeat(node),
            Event::Dispatch(node) => self.dispatch(node),
            Event::Settle(node) => self.settle(node),
            Event::Restart(node) => self.restart(node),
            Event::SendRequest { operation, attempt } => self.send_request(operation, attempt),
            Event::RequestTimeout { operation, attempt } => {
                let detail = "the entry did not answer".to_owned();
                self.conclude(operation, attempt, ChangeOutcome::Unknown(detail));
            }
        }
    }

    fn restart(&mut self, node: NodeIndex) {
        let (incarnation, worked) = (self.nodes[node].incarnation + 1, self.nodes[node].worked);
        // Timers of the previous process do not apply to the new one.
        self.queue.retain(|_, event| {
            !matches!(event, Event::Poll(n) | Event::Beat(n) | Event::Dispatch(n)
                | Event::Settle(n) if *n == node)
        });
        self.nodes[node] = self.start_node(node, incarnation);
        self.nodes[node].worked = worked;
        self.connect(node);
    }

    fn settle(&mut self, node: NodeIndex) {
        let over = self.nodes[node].hold.is_over(Timestamp(self.now));
        if !over && self.off != Some(Guard::StartHold) {
            let at = self.now + 20;
            return self.at(at, Event::Settle(node));
        }
        self.nodes[node].settled = true;
        if let Some(preset) = self.in_use(node).filter(|_| is_entry(node)) {
            self.push(node, &preset);
        }
    }

    fn push(&mut self, node: NodeIndex, preset: &Arc<ForcedPreset>) {
        for other in (0..ENTRIES + AGENTS).filter(|other| *other != node) {
            self.send(node, other, Message::Force(preset.clone()));
        }
    }

    fn offer(&mut self, node: NodeIndex, preset: &Arc<ForcedPreset>) {
        let before = self.nodes[node].holder.revision();
        if self.off == Some(Guard::HigherOnly) {
            self.nodes[node].holder = PresetHolder::default();
        }
        let adoption = self.nodes[node].holder.offer(preset.clone());
        self.two_in_force += u64::from(adoption == Adoption::Conflicting);
        self.reverts += u64::from(self.nodes[node].holder.revision() < before);
        if adoption != Adoption::Adopted {
            return;
        }
        let known = self.adopted.entry(preset.revision).or_insert_with(|| preset.change.clone());
        self.two_in_force += u64::from(*known != preset.change);
        self.nodes[node].gate.raise_revision(preset.revision);
        if is_entry(node) && self.nodes[node].settled && preset.revision > before {
            self.push(node, preset);
        }
    }

    fn deliver(&mut self, from: NodeIndex, to: NodeIndex, message: Message) {
        match message {
            Message::Greeting(preset) => {
                if let Some(preset) = &preset {
                    self.offer(to, preset);
                }
                self.nodes[to].hold.mark_answered(addr(from));
            }
            Message::Force(preset) => {
                self.offer(to, &preset);
                self.answer_older(to, from, preset.revision);
            }
            Message::Beat(revision) => self.answer_older(to, from, revision),
            Message::Request(revision) => self.serve(from, to, revision),
        }
    }

    /// Sends a newer preset to a process that shows an older revision.
    fn answer_older(&mut self, node: NodeIndex, other: NodeIndex, revision: PresetRevision) {
        let newer = self.in_use(node).filter(|preset| preset.revision > revision);
        if let Some(newer) = newer.filter(|_| self.off != Some(Guard::Heartbeats)) {
            self.send(node, other, Message::Force(newer));
        }
    }

    fn serve(&mut self, entry: NodeIndex, agent: NodeIndex, revision: PresetRevision) {
        let known = self.nodes[agent].holder.revision();
        let guarded = self.off != Some(Guard::GateRevision);
        if guarded && (known == PresetRevision::default() || !self.nodes[agent].settled) {
            return;
        }
        let node = &mut self.nodes[agent];
        if guarded && node.gate.acquire(revision, None).is_err() {
            return self.answer_older(agent, entry, revision);
        }
        self.reverts += u64::from(revision < node.worked);
        node.worked = node.worked.max(revision);
    }

    fn send_heartbeat(&mut self, node: NodeIndex) {
        let revision = self.in_use(node).map(|preset| preset.revision).unwrap_or_default();
        for other in (0..ENTRIES).filter(|other| *other != node) {
            self.send(node, other, Message::Beat(revision));
        }
        let at = self.now + HEARTBEAT;
        self.at(at, Event::Beat(node));
    }

    fn dispatch(&mut self, node: NodeIndex) {
        if let Some(preset) = self.in_use(node) {
            let worked = &mut self.nodes[node].worked;
            self.stale_dispatches += u64::from(preset.revision < *worked);
            *worked = preset.revision.max(*worked);
            let agent = ENTRIES + self.rng.random_range(0..AGENTS);
            self.send(node, agent, Message::Request(preset.revision));
        }
        let at = self.now + DISPATCH;
        self.at(at, Event::Dispatch(node));
    }

    fn call_store(&mut self, node: NodeIndex, attempt: Option<(usize, u64)>, call: StoreCall) {
        self.sequence += 1;
        let number = self.sequence;
        let incarnation = self.nodes[node].incarnation;
        let caller = StoreCaller { node, incarnation, call: number, attempt };
        self.open_calls.insert(number);
        let began_at = self.now;
        let arrives_at = began_at + self.call_delay();
        self.at(arrives_at, Event::CallArrives { caller, call, began_at });
        let answer = ChangeAnswer::Lost("timed out".to_owned());
        let lost = Event::CallAnswered { caller, answer, read_from: None };
        self.at(began_at + STORE_TIMEOUT, lost);
    }

    fn arrive(&mut self, caller: StoreCaller, call: StoreCall, began_at: u64) {
        let is_read = matches!(call, StoreCall::Force);
        let answers_at = self.now + self.call_delay();
        if self.is_active(FaultKind::Outage) {
            // Refused without effect, or unanswered until the timeout.
            if self.rng.random_bool(0.5) {
                let answer = ChangeAnswer::NoEffect("refused".to_owned());
                self.at(answers_at, Event::CallAnswered { caller, answer, read_from: None });
            }
            return;
        }
        let is_write = matches!(call, StoreCall::Write { .. } | StoreCall::Refuse { .. });
        if is_write && self.rng.random_bool(RATE_LIMITED) {
            let answer = ChangeAnswer::NoEffect("rate limited".to_owned());
            return self.at(answers_at, Event::CallAnswered { caller, answer, read_from: None });
        }
        let stale = self.is_active(FaultKind::StaleReads) && self.rng.random_bool(0.5);
        let lost = self.is_active(FaultKind::LostAnswers) && self.rng.random_bool(0.5);
        let stale_rng = stale.then_some(&mut self.rng);
        let answer = self.store.carry_out(call, stale_rng, self.off);
        if !lost {
            let read_from = (is_read && !stale).then_some(began_at);
            self.at(answers_at, Event::CallAnswered { caller, answer, read_from });
        }
    }

    fn answered(&mut self, caller: StoreCaller, answer: ChangeAnswer, read_from: Option<u64>) {
        if !self.open_calls.remove(&caller.call)
            || self.nodes[caller.node].incarnation != caller.incarnation
        {
            return;
        }
        let Some((operation, attempt)) = caller.attempt else {
            return self.polled(caller.node, answer, read_from);
        };
        let answer = match answer {
            ChangeAnswer::Lost(detail) if self.off == Some(Guard::LostAnswer) => {
                ChangeAnswer::NoEffect(detail)
            }
            answer => answer,
        };
        let now = Timestamp(self.now);
        let Some(writer) =
            self.nodes[caller.node].writers.get_mut(&attempt_key(operation, attempt))
        else {
            return;
        };
        let step = writer.next(answer, now);
        self.take_step(caller.node, operation, attempt, step);
    }

    fn polled(&mut self, node: NodeIndex, answer: ChangeAnswer, read_from: Option<u64>) {
        if let ChangeAnswer::Force(row) = &answer {
            let revision = row.as_ref().map_or(0, |row| row.preset.revision.0);
            if let Some(began_at) = read_from.filter(|_| self.rng.random_bool(0.2)) {
                let ended = Some((self.now, OperationKind::Read(revision)));
                self.operations.push(Operation { began_at, change: None, ended, attempts: 0 });
            }
            if let Some(row) = row {
                self.offer(node, &row.preset);
            }
        }
        self.nodes[node].hold.mark_answered(store_addr());
    }

    fn send_request(&mut self, operation: usize, attempt: u64) {
        let node = self.rng.random_range(0..ENTRIES);
        let timeout_at = self.now + self.rng.random_range(REQUEST_TIMEOUTS);
        self.at(timeout_at, Event::RequestTimeout { operation, attempt });
        let request = ChangeRequest {
            preset: PresetName::new(&format!("preset-{operation}")).expect("valid"),
            change: self.operations[operation].change.clone().expect("operators change"),
            operator: OperatorName::new("operator").expect("valid"),
            fresh: attempt == 1,
            known: self.nodes[node].holder.revision(),
        };
        let (writer, step) = ChangeWriter::start(request);
        self.nodes[node].writers.insert(attempt_key(operation, attempt), writer);
        self.take_step(node, operation, attempt, step);
    }

    fn take_step(&mut self, node: NodeIndex, operation: usize, attempt: u64, step: ChangeStep) {
        let change = self.operations[operation].change.clone().expect("operators change");
        let call = match step {
            ChangeStep::FindRecord => StoreCall::Record(change),
            ChangeStep::ReadPreset => StoreCall::Preset,
            ChangeStep::ReadForce => StoreCall::Force,
            ChangeStep::Write { preset, guard } => StoreCall::Write { preset, guard },
            ChangeStep::Refuse(record) => StoreCall::Refuse { change, record },
            ChangeStep::Done(reported) => {
                if let ChangeOutcome::Accepted(preset) = &reported {
                    self.offer(node, preset);
                }
                return self.conclude(operation, attempt, reported);
            }
        };
        self.call_store(node, Some((operation, attempt)), call);
    }

    /// Reports the outcome to an operator, which retries with the same id if it is unknown.
    fn conclude(&mut self, operation: usize, attempt: u64, reported: ChangeOutcome) {
        let asked = &self.operations[operation];
        if asked.ended.is_some() || asked.attempts != attempt {
            return;
        }
        let now = self.now;
        let change = asked.change.clone().expect("operators change");
        let outcome = match &reported {
            ChangeOutcome::Accepted(preset) => OperationKind::Change(Some(preset.revision.0)),
            ChangeOutcome::Conflict(_) | ChangeOutcome::NotAccepted(_) => {
                OperationKind::Change(None)
            }
            ChangeOutcome::Unknown(_) => {
                self.operations[operation].attempts = attempt + 1;
                let at = now + self.rng.random_range(50..800);
                return self.at(at, Event::SendRequest { operation, attempt: attempt + 1 });
            }
        };
        self.operations[operation].ended = Some((now, outcome));
        self.verdicts.push((change, reported));
    }
}

fn attempt_key(operation: usize, attempt: u64) -> u64 {
    operation as u64 * 1_000 + attempt
}
