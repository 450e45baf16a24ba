//! Concurrent attempts with one key under randomized thread schedules.
//!
//! Several agents, each on its own thread, try to run the same keyed request. Writes to the
//! table may be lost before or after they take effect, or take effect long after their
//! sender has continued; attempts may be cancelled at any time. The threads perform the same
//! steps as the agent.

use cassiawheel_decide::claim::{
    ClaimGuard, ClaimRecord, ClaimReply, ClaimState, ClaimStep, ClaimTracker, RecordedAnswer,
    ReleaseStep, release_step,
};
use cassiawheel_model::{AttemptNonce, Deadline, PresetRevision, Timestamp};
use rstest::rstest;
use shuttle::{
    rand::{Rng, thread_rng},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
};

const ATTEMPTS: usize = 3;
const SCHEDULES: usize = 4_000;

/// Number of preemptions, enough for all bugs that this test has found so far.
const PREEMPTIONS: usize = 4;

/// Number of steps after which an attempt reaches its deadline.
const DEADLINE_STEPS: usize = 6;

/// Limit of calls in one run to which the table does not respond.
const LOST_CALLS: usize = 5;

/// A bug injected into the agent to verify that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AgentFault {
    /// Runs without checking for cancellation.
    IgnoresCancel,
    /// Abandons a claim that it holds without releasing it.
    KeepsCertainClaim,
    /// Does not release a claim whose write was lost.
    NeverReleases,
    /// Writes without a precondition.
    IgnoresGuard,
}

#[derive(Default)]
struct ClaimRow {
    record: Option<(ClaimRecord, u64)>,
    revisions: u64,
}

struct Simulation {
    row: Mutex<ClaimRow>,
    lost: AtomicUsize,
    runs: AtomicUsize,
    /// Runs of attempts that were reported as not run.
    cancelled_runs: AtomicUsize,
    /// Writes that take effect after their sender has continued.
    late: Mutex<Vec<thread::JoinHandle<()>>>,
    fault: Option<AgentFault>,
}

impl Simulation {
    /// Whether this call to the table fails.
    fn fails(&self) -> bool {
        let fails = thread_rng().gen_ratio(1, 4);
        fails && self.lost.fetch_add(1, Ordering::SeqCst) < LOST_CALLS
    }

    fn apply(&self, record: &ClaimRecord, guard: ClaimGuard) -> ClaimReply {
        let mut row = self.row.lock().expect("no thread panics");
        let holds = match (guard, &row.record) {
            _ if self.fault == Some(AgentFault::IgnoresGuard) => true,
            (ClaimGuard::Absent, known) => known.is_none(),
            (ClaimGuard::Revision(wanted), Some((_, revision))) => wanted == *revision,
            (ClaimGuard::Revision(_), None) => false,
        };
        if holds {
            row.revisions += 1;
            row.record = Some((record.clone(), row.revisions));
            return ClaimReply::Written(row.revisions);
        }
        view_of(&row)
    }

    /// Writes a record; its effect or response may be lost, or the effect delayed.
    fn write(self: &Arc<Self>, record: &ClaimRecord, guard: ClaimGuard) -> ClaimReply {
        if !self.fails() {
            return self.apply(record, guard);
        }
        match thread_rng().gen_range(0..3) {
            0 => ClaimReply::NoEffect,
            1 => {
                self.apply(record, guard);
                ClaimReply::Lost
            }
            _ => {
                let (simulation, record) = (self.clone(), record.clone());
                let late = thread::spawn(move || {
                    simulation.apply(&record, guard);
                });
                self.late.lock().expect("no thread panics").push(late);
                ClaimReply::Lost
            }
        }
    }

    fn read(&self) -> ClaimReply {
        if self.fails() {
            return ClaimReply::Lost;
        }
        view_of(&self.row.lock().expect("no thread panics"))
    }

    /// Repeats the write of a held claim's outcome until it is confirmed.
    fn settle(self: &Arc<Self>, record: &ClaimRecord, revision: u64) {
        loop {
            match self.write(record, ClaimGuard::Revision(revision)) {
                ClaimReply::NoEffect | ClaimReply::Lost => thread::yield_now(),
                _ => return,
            }
        }
    }

    /// Ensures that a write that may still take effect does not block other attempts.
    fn release(self: &Arc<Self>, tracker: &ClaimTracker) {
        let released = tracker.record_as(ClaimState::Released);
        let mut view = self.read();
        loop {
            view = match release_step(&released.nonce, &view) {
                ReleaseStep::Done => return,
                ReleaseStep::Write(guard) => self.write(&released, guard),
                ReleaseStep::Poll => {
                    thread::yield_now();
                    self.read()
                }
            };
        }
    }

    fn attempt(self: &Arc<Self>, number: usize, cancelled: &AtomicBool) {
        let nonce = AttemptNonce::new(&format!("attempt-{number}")).expect("valid");
        let mut tracker = ClaimTracker::new(nonce, "same".to_owned(), Deadline(1));
        let mut step = ClaimStep::Write(ClaimGuard::Absent);
        for count in 0.. {
            let may_continue = matches!(step, ClaimStep::Write(_) | ClaimStep::Poll);
            let gives_up = self.fault == Some(AgentFault::KeepsCertainClaim);
            if (may_continue || gives_up) && cancelled.load(Ordering::SeqCst) {
                break;
            }
            let view = match step {
                ClaimStep::Write(guard) => {
                    tracker.begin_write();
                    self.write(tracker.record(), guard)
                }
                ClaimStep::Poll => {
                    thread::yield_now();
                    self.read()
                }
                _ => break,
            };
            let now = Timestamp(u64::from(count >= DEADLINE_STEPS));
            step = tracker.next(view, now);
        }
        let releases = self.fault != Some(AgentFault::NeverReleases);
        if tracker.is_uncertain() && releases {
            self.release(&tracker);
        }
        let ClaimStep::Run(revision) = step else {
            return;
        };
        let is_cancelled = cancelled.swap(true, Ordering::SeqCst);
        match (is_cancelled, self.fault) {
            (true, Some(AgentFault::KeepsCertainClaim)) => return,
            (true, Some(AgentFault::IgnoresCancel)) => {
                self.cancelled_runs.fetch_add(1, Ordering::SeqCst);
            }
            (true, _) => {
                self.settle(&tracker.record_as(ClaimState::Released), revision);
                return;
            }
            (false, _) => {}
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        self.settle(&tracker.record_as(ClaimState::Answered(answer())), revision);
    }
}

fn view_of(row: &ClaimRow) -> ClaimReply {
    match &row.record {
        Some((record, revision)) => {
            ClaimReply::Found { record: record.clone(), revision: *revision }
        }
        None => ClaimReply::Absent,
    }
}

fn answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        content_type: None,
        headers: Vec::new(),
        version: None,
        revision: PresetRevision(1),
        body: String::new(),
    }
}

/// Runs the attempts once and checks the resulting state.
fn run_schedule(fault: Option<AgentFault>) {
    let simulation = Arc::new(Simulation {
        row: Mutex::new(ClaimRow::default()),
        lost: AtomicUsize::new(0),
        runs: AtomicUsize::new(0),
        cancelled_runs: AtomicUsize::new(0),
        late: Mutex::new(Vec::new()),
        fault,
    });
    let attempts: Vec<_> = (0..ATTEMPTS)
        .map(|number| {
            let cancelled = Arc::new(AtomicBool::new(false));
            let (simulation, latch) = (simulation.clone(), cancelled.clone());
            let attempt = thread::spawn(move || simulation.attempt(number, &latch));
            // The first caller always disconnects, and the last one never does.
            let hangs_up = number == 0 || number + 1 < ATTEMPTS && thread_rng().gen_bool(0.5);
            let cancel = hangs_up.then(|| {
                thread::spawn(move || {
                    thread::yield_now();
                    cancelled.swap(true, Ordering::SeqCst)
                })
            });
            (attempt, cancel)
        })
        .collect();
    for (attempt, cancel) in attempts {
        attempt.join().expect("the attempt ends");
        if let Some(cancel) = cancel {
            cancel.join().expect("the caller has hung up");
        }
    }
    let late = std::mem::take(&mut *simulation.late.lock().expect("no thread panics"));
    late.into_iter().for_each(|write| write.join().expect("the write ends"));
    assert!(simulation.runs.load(Ordering::SeqCst) <= 1, "the request ran twice");
    let cancelled_runs = simulation.cancelled_runs.load(Ordering::SeqCst);
    assert_eq!(cancelled_runs, 0, "a request ran whose caller was told that it does not");
    let row = simulation.row.lock().expect("no thread panics");
    let held = row.record.as_ref().is_some_and(|(record, _)| record.state == ClaimState::Held);
    assert!(!held, "the key is bound for ever to an attempt that has ended");
}

/// In every interleaving the request runs at most once, a "not run" report is true, and in
/// the end the key is free or has a recorded outcome.
#[test]
fn a_key_runs_once_and_is_never_claimed_forever() {
    shuttle::check_random(|| run_schedule(None), SCHEDULES);
    shuttle::check_pct(|| run_schedule(None), SCHEDULES, PREEMPTIONS);
}

#[rstest]
#[case::runs_in_spite_of_a_cancel(AgentFault::IgnoresCancel)]
#[case::keeps_a_certain_claim(AgentFault::KeepsCertainClaim)]
#[case::never_releases(AgentFault::NeverReleases)]
#[case::ignores_the_guard(AgentFault::IgnoresGuard)]
fn a_faulty_agent_is_detected(#[case] fault: AgentFault) {
    let found = std::panic::catch_unwind(|| {
        shuttle::check_random(move || run_schedule(Some(fault)), SCHEDULES);
    });
    assert!(found.is_err(), "{fault:?} went unnoticed");
}
