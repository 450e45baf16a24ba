//! A simulation of callers, entries, agents, a table service and a plain service that runs the
//! production decision logic with a seeded order of events.

use std::{cmp::Reverse, collections::BinaryHeap};

use cassiawheel_decide::{
    AttemptFailure, ClaimRecord, ClaimReply, ClaimState, ClaimStep, ClaimTracker, GateState,
    RepeatGuard, RetryBudget, RetryStep, RetryTracker, RunLatch,
    claim::{ClaimGuard, RecordedAnswer, ReleaseStep, release_step},
};
use cassiawheel_model::{AttemptNonce, Deadline, NotRunReason, PresetRevision, Timestamp};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

pub const AGENTS: usize = 3;
pub const KEYS: usize = 2;
const ARRIVALS: usize = 6;
const CLAIM_TIME: u64 = 200;
const DEADLINE: u64 = 400;

/// A guard that is disabled to verify that the checks detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingGuard {
    None,
    Claim,
    HeldClaimStays,
    DeadlineBeforeRun,
    LatchBeforeRun,
    UnknownStays,
    LateRelease,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    KillAgent(usize),
    PauseAgent(usize),
    DrainAgent(usize),
    StoreDown,
    StoreSlow,
    AnswersLost,
    EntryGone(usize),
}

/// The response that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerResponse {
    Complete(String),
    NotRun(NotRunReason),
    Unknown,
    Gone,
}

#[derive(Debug, Clone)]
enum StoreCall {
    Claim(ClaimGuard),
    Read,
    Settle(ClaimState, u64),
    Release(ClaimGuard),
    ReleaseRead,
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(usize),
    Try(usize),
    Dispatch(usize),
    Effect(usize),
    RunEnds(usize),
    Send(usize, StoreCall),
    Apply(usize, StoreCall),
    ApplyWithoutReply(usize, StoreCall),
    Answer(usize, StoreCall, ClaimReply),
    AgentResponse(usize, Result<String, AttemptFailure>),
    Deadline(usize),
    Cancel(usize),
    Begin(Fault),
    End(Fault),
}

pub struct Request {
    pub key: usize,
    pub called_at: u64,
    pub response: Option<(CallerResponse, u64)>,
    pub attempts: Vec<usize>,
    tracker: RetryTracker,
    deadline: Deadline,
    excluded: Vec<usize>,
}

pub struct Attempt {
    pub request: usize,
    pub began_at: Option<u64>,
    pub effects: u32,
    agent: usize,
    incarnation: u32,
    tracker: ClaimTracker,
    pub latch: RunLatch,
    permit: bool,
    revision: u64,
    ended: bool,
}

struct Agent {
    incarnation: u32,
    paused_until: u64,
    gate: GateState,
}

pub struct World {
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub killed: bool,
    pub now: u64,
    missing: MissingGuard,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    details: Vec<Option<Event>>,
    rows: Vec<Option<(ClaimRecord, u64)>>,
    agents: Vec<Agent>,
    budget: RetryBudget,
    store_down: u32,
    store_slow: u32,
    answers_lost: u32,
}

fn open_gate() -> GateState {
    let mut gate = GateState::new(2);
    gate.begin_switch().and_then(|()| gate.commit_switch(None)).expect("an open gate");
    gate
}

pub fn expected_answer(key: usize, attempt: usize) -> String {
    format!("{key:02x}{attempt:04x}")
}

impl World {
    pub fn new(seed: u64, missing: MissingGuard, faults: &[Fault]) -> Self {
        let agent = |_| Agent { incarnation: 0, paused_until: 0, gate: open_gate() };
        let mut world = Self {
            requests: Vec::new(),
            attempts: Vec::new(),
            killed: faults.iter().any(|fault| matches!(fault, Fault::KillAgent(_))),
            now: 0,
            missing,
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            details: Vec::new(),
            rows: vec![None; KEYS],
            agents: (0..AGENTS).map(agent).collect(),
            budget: RetryBudget::default(),
            store_down: 0,
            store_slow: 0,
            answers_lost: 0,
        };
        for _ in 0..ARRIVALS {
            let (key, at) = (world.rng.random_range(0..KEYS), world.rng.random_range(0..300));
            world.arrive(key, at);
        }
        for fault in faults {
            let begin = world.rng.random_range(0..400);
            let end = begin + world.rng.random_range(20..900);
            world.at(begin, Event::Begin(*fault));
            world.at(end, Event::End(*fault));
        }
        world
    }

    pub fn arrive(&mut self, key: usize, at: u64) -> usize {
        let deadline = Deadline(at + DEADLINE);
        let tracker = RetryTracker::new(RepeatGuard::Claimed, deadline, 3);
        let request = Request {
            key,
            called_at: at,
            response: None,
            attempts: Vec::new(),
            tracker,
            deadline,
            excluded: Vec::new(),
        };
        self.requests.push(request);
        let index = self.requests.len() - 1;
        self.at(at, Event::Arrive(index));
        index
    }

    /// Runs until no event is left; returns whether that state was reached.
    pub fn run(&mut self) -> bool {
        for _ in 0..20_000 {
            let Some(Reverse((at, index))) = self.events.pop() else {
                return true;
            };
            self.now = self.now.max(at);
            let event = self.details[index].take().expect("an event happens once");
            self.handle_event(event);
        }
        false
    }

    pub fn permits_left(&self) -> u32 {
        self.agents.iter().map(|agent| agent.gate.in_progress()).sum()
    }

    fn at(&mut self, at: u64, event: Event) {
        self.details.push(Some(event));
        self.events.push(Reverse((at, self.details.len() - 1)));
    }

    fn enqueue(&mut self, event: Event) {
        let at = self.now + self.rng.random_range(1..20);
        self.at(at, event);
    }

    fn stamp(&self) -> Timestamp {
        Timestamp(self.now)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => {
                self.at(self.requests[request].deadline.0, Event::Deadline(request));
                self.try_agent(request);
            }
            Event::Try(request) => self.try_agent(request),
            Event::AgentResponse(attempt, result) => self.receive_response(attempt, result),
            Event::Deadline(request) => self.reach_deadline(request),
            Event::Effect(attempt) => self.attempts[attempt].effects += 1,
            Event::Apply(attempt, call) => {
                let reply = self.apply(attempt, &call);
                self.enqueue(Event::Answer(attempt, call, reply));
            }
            Event::ApplyWithoutReply(attempt, call) => drop(self.apply(attempt, &call)),
            Event::Begin(fault) => self.begin(fault),
            Event::End(fault) => self.end(fault),
            Event::Dispatch(attempt)
            | Event::RunEnds(attempt)
            | Event::Send(attempt, _)
            | Event::Answer(attempt, ..)
            | Event::Cancel(attempt) => self.at_agent(attempt, event),
        }
    }

    /// Defers the event for a paused agent and drops it for a failed one.
    fn at_agent(&mut self, attempt: usize, event: Event) {
        let agent = &self.agents[self.attempts[attempt].agent];
        if agent.incarnation != self.attempts[attempt].incarnation {
            return;
        }
        if agent.paused_until > self.now {
            let until = agent.paused_until;
            return self.at(until, event);
        }
        match event {
            Event::Dispatch(attempt) => self.dispatched(attempt),
            Event::RunEnds(attempt) => self.run_ended(attempt),
            Event::Send(attempt, call) => self.send(attempt, call),
            Event::Answer(attempt, call, reply) => self.answered(attempt, call, reply),
            Event::Cancel(attempt) => drop(self.attempts[attempt].latch.cancel()),
            _ => unreachable!("not an event at an agent"),
        }
    }

    // Entry.

    fn try_agent(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if request.response.is_some() {
            return;
        }
        let free: Vec<_> = (0..AGENTS).filter(|a| !request.excluded.contains(a)).collect();
        let Some(agent) = free.choose(&mut self.rng).copied() else {
            return self.after(index, AttemptFailure::NotRun(NotRunReason::NoEndpoint));
        };
        request.excluded.push(agent);
        request.tracker.begin_attempt();
        let number = self.attempts.len();
        request.attempts.push(number);
        let nonce = AttemptNonce::new(&format!("attempt-{number}")).expect("a nonce");
        let give_up_at = request.deadline.min(Deadline(self.now + CLAIM_TIME));
        self.attempts.push(Attempt {
            request: index,
            began_at: None,
            effects: 0,
            agent,
            incarnation: self.agents[agent].incarnation,
            tracker: ClaimTracker::new(nonce, format!("key-{}", request.key), give_up_at),
            latch: RunLatch::default(),
            permit: false,
            revision: 0,
            ended: false,
        });
        self.enqueue(Event::Dispatch(number));
    }

    fn receive_response(&mut self, attempt: usize, result: Result<String, AttemptFailure>) {
        let index = self.attempts[attempt].request;
        let request = &self.requests[index];
        // Late response of an abandoned attempt.
        if request.response.is_some() || request.attempts.last() != Some(&attempt) {
            return;
        }
        match result {
            Ok(answer) => self.respond(index, CallerResponse::Complete(answer)),
            Err(end) => self.after(index, end),
        }
    }

    fn after(&mut self, index: usize, end: AttemptFailure) {
        let (now, request) = (self.stamp(), &mut self.requests[index]);
        let last = end.clone();
        match request.tracker.next_step(end, &self.budget, now, &mut self.rng) {
            RetryStep::Retry(at) | RetryStep::Reroute(at) => self.at(at.0, Event::Try(index)),
            RetryStep::Stop(end) => {
                let end = if self.missing == MissingGuard::UnknownStays { last } else { end };
                let response = match end {
                    AttemptFailure::NotRun(reason) => CallerResponse::NotRun(reason),
                    AttemptFailure::Withdrawn => CallerResponse::NotRun(NotRunReason::NoEndpoint),
                    AttemptFailure::Unknown(_)
                    | AttemptFailure::Lost(_)
                    | AttemptFailure::Unanswered(_) => CallerResponse::Unknown,
                };
                self.respond(index, response);
            }
        }
    }

    fn reach_deadline(&mut self, index: usize) {
        if self.requests[index].response.is_some() {
            return;
        }
        self.after(index, AttemptFailure::Unknown("deadline".to_owned()));
        self.cancel_last(index);
    }

    fn respond(&mut self, index: usize, response: CallerResponse) {
        self.requests[index].response = Some((response, self.now));
    }

    fn cancel_last(&mut self, index: usize) {
        if let Some(attempt) = self.requests[index].attempts.last().copied() {
            self.enqueue(Event::Cancel(attempt));
        }
    }

    // Agent.

    fn dispatched(&mut self, attempt: usize) {
        let request = &self.requests[self.attempts[attempt].request];
        if request.deadline.is_past(self.stamp()) && self.missing != MissingGuard::DeadlineBeforeRun
        {
            return self.refuse(attempt, NotRunReason::DeadlineTooClose);
        }
        if !self.take_permit(attempt) {
            return;
        }
        if self.missing == MissingGuard::Claim {
            return self.begin_run(attempt, 1);
        }
        self.send(attempt, StoreCall::Claim(ClaimGuard::Absent));
    }

    fn take_permit(&mut self, attempt: usize) -> bool {
        if self.attempts[attempt].permit {
            return true;
        }
        let gate = &mut self.agents[self.attempts[attempt].agent].gate;
        match gate.acquire(PresetRevision(1), None) {
            Ok(_) => {
                self.attempts[attempt].permit = true;
                true
            }
            Err(reason) => {
                self.refuse(attempt, reason);
                false
            }
        }
    }

    fn leave_gate(&mut self, attempt: usize) {
        let attempt = &mut self.attempts[attempt];
        if std::mem::take(&mut attempt.permit) {
            self.agents[attempt.agent].gate.release();
        }
    }

    fn refuse(&mut self, attempt: usize, reason: NotRunReason) {
        self.give_up(attempt, AttemptFailure::NotRun(reason));
    }

    fn give_up(&mut self, attempt: usize, end: AttemptFailure) {
        self.leave_gate(attempt);
        self.attempts[attempt].ended = true;
        self.enqueue(Event::AgentResponse(attempt, Err(end)));
        let uncertain = self.attempts[attempt].tracker.is_uncertain();
        if uncertain && self.missing != MissingGuard::LateRelease {
            self.enqueue(Event::Send(attempt, StoreCall::ReleaseRead));
        }
    }

    fn send(&mut self, attempt: usize, call: StoreCall) {
        match call {
            StoreCall::Claim(_) => {
                if self.attempts[attempt].latch.is_cancelled() {
                    return self.refuse(attempt, NotRunReason::Cancelled);
                }
                if !self.take_permit(attempt) {
                    return;
                }
                self.attempts[attempt].tracker.begin_write();
            }
            StoreCall::Read if self.attempts[attempt].tracker.waits_for_other() => {
                self.leave_gate(attempt);
            }
            StoreCall::Read
            | StoreCall::Settle(..)
            | StoreCall::Release(_)
            | StoreCall::ReleaseRead => {}
        }
        if self.store_down > 0 {
            let reply =
                if self.rng.random_bool(0.5) { ClaimReply::NoEffect } else { ClaimReply::Lost };
            return self.enqueue(Event::Answer(attempt, call, reply));
        }
        if self.store_slow > 0 && self.rng.random_bool(0.5) {
            // The client times out on a write that takes effect long after.
            let late = self.now + self.rng.random_range(50..1_500);
            self.at(late, Event::ApplyWithoutReply(attempt, call.clone()));
            return self.at(self.now + 50, Event::Answer(attempt, call, ClaimReply::Lost));
        }
        self.enqueue(Event::Apply(attempt, call));
    }

    fn answered(&mut self, attempt: usize, call: StoreCall, reply: ClaimReply) {
        let again = |call| Event::Send(attempt, call);
        match call {
            // Late response to a call that has timed out.
            StoreCall::Claim(_) | StoreCall::Read if self.attempts[attempt].ended => {}
            StoreCall::Claim(_) | StoreCall::Read => self.claim_step(attempt, reply),
            StoreCall::Settle(state, revision) => match reply {
                ClaimReply::NoEffect | ClaimReply::Lost => {
                    self.at(self.now + 60, again(StoreCall::Settle(state, revision)));
                }
                _ => {}
            },
            StoreCall::Release(_) | StoreCall::ReleaseRead => {
                let nonce = self.attempts[attempt].tracker.record().nonce.clone();
                match release_step(&nonce, &reply) {
                    ReleaseStep::Done => {}
                    ReleaseStep::Write(guard) => self.enqueue(again(StoreCall::Release(guard))),
                    ReleaseStep::Poll => self.at(self.now + 60, again(StoreCall::ReleaseRead)),
                }
            }
        }
    }

    fn claim_step(&mut self, attempt: usize, reply: ClaimReply) {
        if self.attempts[attempt].latch.is_cancelled() {
            // The production loop checks the latch before each call and keeps the last
            // response.
            let now = self.stamp();
            let step = self.attempts[attempt].tracker.next(reply, now);
            return match step {
                ClaimStep::Run(revision) => self.begin_run(attempt, revision),
                _ => self.refuse(attempt, NotRunReason::Cancelled),
            };
        }
        let now = self.stamp();
        let step = self.attempts[attempt].tracker.next(reply, now);
        let held = self.attempts[attempt].tracker.waits_for_other();
        if held && self.missing == MissingGuard::HeldClaimStays {
            return self.begin_run(attempt, 1);
        }
        match step {
            ClaimStep::Write(guard) => self.enqueue(Event::Send(attempt, StoreCall::Claim(guard))),
            ClaimStep::Poll => self.enqueue(Event::Send(attempt, StoreCall::Read)),
            ClaimStep::Run(revision) => self.begin_run(attempt, revision),
            ClaimStep::Replay(answer) => {
                self.leave_gate(attempt);
                self.attempts[attempt].ended = true;
                self.enqueue(Event::AgentResponse(attempt, Ok(answer.body)));
            }
            ClaimStep::Unknown(detail) => self.give_up(attempt, AttemptFailure::Unanswered(detail)),
            ClaimStep::Conflict => self.refuse(attempt, NotRunReason::KeyConflict),
            ClaimStep::GiveUp => self.refuse(attempt, NotRunReason::StoreUnavailable),
        }
    }

    fn begin_run(&mut self, index: usize, revision: u64) {
        let past = self.requests[self.attempts[index].request].deadline.is_past(self.stamp());
        let late = past && self.missing != MissingGuard::DeadlineBeforeRun;
        let begun = self.attempts[index].latch.begin();
        if late || (!begun && self.missing != MissingGuard::LatchBeforeRun) {
            let reason =
                if late { NotRunReason::DeadlineTooClose } else { NotRunReason::Cancelled };
            self.settle(index, ClaimState::Released, revision);
            return self.refuse(index, reason);
        }
        if self.rng.random_bool(0.1) {
            // The service is unreachable, so nothing ran.
            self.settle(index, ClaimState::Released, revision);
            return self.refuse(index, NotRunReason::ConnectFailed);
        }
        let attempt = &mut self.attempts[index];
        attempt.began_at = Some(self.now);
        attempt.revision = revision;
        let work = self.rng.random_range(1..120);
        let effect = self.now + self.rng.random_range(0..=work);
        self.at(effect, Event::Effect(index));
        self.at(self.now + work, Event::RunEnds(index));
    }

    fn run_ended(&mut self, attempt: usize) {
        self.leave_gate(attempt);
        let revision = self.attempts[attempt].revision;
        if self.rng.random_bool(0.1) {
            let detail = "answer cut".to_owned();
            self.settle(attempt, ClaimState::Unanswered { detail: detail.clone() }, revision);
            return self
                .enqueue(Event::AgentResponse(attempt, Err(AttemptFailure::Unanswered(detail))));
        }
        let key = self.requests[self.attempts[attempt].request].key;
        let body = expected_answer(key, attempt);
        let answer = RecordedAnswer {
            status: 200,
            content_type: None,
            headers: Vec::new(),
            version: None,
            revision: PresetRevision(1),
            body: body.clone(),
        };
        self.settle(attempt, ClaimState::Answered(answer), revision);
        self.enqueue(Event::AgentResponse(attempt, Ok(body)));
    }

    fn settle(&mut self, attempt: usize, state: ClaimState, revision: u64) {
        self.enqueue(Event::Send(attempt, StoreCall::Settle(state, revision)));
    }

    // Table service.

    fn apply(&mut self, attempt: usize, call: &StoreCall) -> ClaimReply {
        let key = self.requests[self.attempts[attempt].request].key;
        let tracker = &self.attempts[attempt].tracker;
        let write = match call {
            StoreCall::Claim(guard) => Some((*guard, tracker.record().clone())),
            StoreCall::Settle(state, revision) => {
                Some((ClaimGuard::Revision(*revision), tracker.record_as(state.clone())))
            }
            StoreCall::Release(guard) => Some((*guard, tracker.record_as(ClaimState::Released))),
            StoreCall::Read | StoreCall::ReleaseRead => None,
        };
        let row = &mut self.rows[key];
        let revision = row.as_ref().map(|(_, revision)| *revision);
        let mut reply = match row {
            Some((record, revision)) => {
                ClaimReply::Found { record: record.clone(), revision: *revision }
            }
            None => ClaimReply::Absent,
        };
        if let Some((guard, record)) = write {
            let holds = match guard {
                ClaimGuard::Absent => revision.is_none(),
                ClaimGuard::Revision(wanted) => revision == Some(wanted),
            };
            if holds {
                let next = revision.unwrap_or(0) + 1;
                *row = Some((record, next));
                reply = ClaimReply::Written(next);
            }
        }
        if self.answers_lost > 0 && self.rng.random_bool(0.7) {
            reply = ClaimReply::Lost;
        }
        reply
    }

    // Faults.

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::KillAgent(agent) => self.replace_agent(agent),
            Fault::PauseAgent(agent) => self.agents[agent].paused_until = u64::MAX,
            Fault::DrainAgent(agent) => self.agents[agent].gate.drain(),
            Fault::StoreDown => self.store_down += 1,
            Fault::StoreSlow => self.store_slow += 1,
            Fault::AnswersLost => self.answers_lost += 1,
            Fault::EntryGone(request) => {
                let request = request % self.requests.len();
                if self.requests[request].response.is_none()
                    && self.requests[request].called_at <= self.now
                {
                    self.respond(request, CallerResponse::Gone);
                    self.cancel_last(request);
                }
            }
        }
    }

    fn end(&mut self, fault: Fault) {
        match fault {
            Fault::PauseAgent(agent) => {
                let now = self.now;
                self.agents[agent].paused_until = 0;
                self.wake_deferred(now);
            }
            Fault::DrainAgent(agent) if !self.killed => {
                self.agents[agent].gate = self.reopened(agent)
            }
            Fault::DrainAgent(agent) => self.replace_agent(agent),
            Fault::StoreDown => self.store_down -= 1,
            Fault::StoreSlow => self.store_slow -= 1,
            Fault::AnswersLost => self.answers_lost -= 1,
            Fault::KillAgent(_) | Fault::EntryGone(_) => {}
        }
    }

    fn reopened(&self, agent: usize) -> GateState {
        let mut gate = open_gate();
        for _ in 0..self.agents[agent].gate.in_progress() {
            gate.acquire(PresetRevision(1), None).expect("room");
        }
        gate
    }

    /// Processes the events deferred until the end of a pause.
    fn wake_deferred(&mut self, now: u64) {
        let events = std::mem::take(&mut self.events);
        let rescheduled =
            |Reverse((at, index))| Reverse((if at == u64::MAX { now } else { at }, index));
        self.events = events.into_iter().map(rescheduled).collect();
    }

    fn replace_agent(&mut self, agent: usize) {
        self.agents[agent].incarnation += 1;
        self.agents[agent].gate = open_gate();
        for index in 0..self.attempts.len() {
            if self.attempts[index].agent == agent {
                self.attempts[index].permit = false;
                let lost = AttemptFailure::Unknown("connection lost".to_owned());
                self.enqueue(Event::AgentResponse(index, Err(lost)));
            }
        }
    }
}
