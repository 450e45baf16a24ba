//! Keyed requests that run at most once: claim, run, record.

mod row;
mod writer;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiawheel_decide::claim::{
    ClaimGuard, ClaimState, ClaimStep, ClaimTracker, RecordedAnswer, claim_row,
};
use cassiawheel_model::{AttemptNonce, Deadline, NotRunReason, RequestHead, Timestamp};
use cassiawheel_runtime::timeout;
use http_body_util::BodyExt;
use rand::Rng;
use smol::Timer;

pub(crate) use writer::ClaimWriter;

use crate::{
    endpoint::EndpointShared,
    run::{
        AttemptLink, GatePermit, RunFailure, call_engine, ensure_unmixed, longest_run, send_whole,
        within,
    },
};

/// First and longest wait before the row is looked at again, in milliseconds.
///
/// Each look is a read of the table service, and those who wait for one key can
/// be many.
const MIN_LOOK_MS: u64 = 25;
const MAX_LOOK_MS: u64 = 400;

/// Longest wait for a claim, or for the outcome of the attempt that holds it.
///
/// A caller that is given up on gets its answer now, with when to come back,
/// and not just before its deadline.
const CLAIM_TIME: Duration = Duration::from_secs(2);

/// Time before a request's deadline at which a claim is given up.
///
/// The entry answers "unknown" at the deadline. A refusal that leaves the agent
/// at the same moment comes too late, and a caller whose request never ran
/// would be left in doubt, as a clerk who does not know whether a card was
/// charged. The refusal has to be there before.
const REFUSAL_LEAD: Duration = Duration::from_millis(100);

/// Part of the time left that the lead may take, of a request in a hurry.
const LEAD_PART: u32 = 4;

/// Longest wait of an answer for the record of its outcome.
const RECORD_WAIT: Duration = Duration::from_millis(250);

/// Longest answer that is recorded, in bytes.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// Claims, runs and records a keyed request, or gives its recorded answer.
pub(crate) async fn run_claimed(
    shared: &Arc<EndpointShared>,
    link: &AttemptLink,
    head: &RequestHead,
    body: Bytes,
    permit: GatePermit,
) -> Result<(), RunFailure> {
    let mut attempt = KeyedAttempt::new(shared, link, head, &body, permit)?;
    let step = attempt.claim().await;
    if attempt.tracker.is_uncertain() {
        row::release_late(shared, &attempt.row, &attempt.tracker);
    }
    match step? {
        ClaimStep::Run(revision) => attempt.run(body, revision).await,
        ClaimStep::Replay(answer) => {
            let body = hex::decode(&answer.body)
                .map_err(|_| RunFailure::Unknown("the recorded answer is damaged".to_owned()))?;
            send_whole(link, head, &answer, &body, true).await
        }
        ClaimStep::Conflict => Err(RunFailure::NotRun(NotRunReason::KeyConflict)),
        ClaimStep::Unknown(detail) => Err(RunFailure::Unknown(detail)),
        ClaimStep::GiveUp | ClaimStep::Poll | ClaimStep::Write(_) => {
            Err(RunFailure::NotRun(NotRunReason::StoreUnavailable))
        }
    }
}

/// One attempt at a keyed request.
struct KeyedAttempt<'a> {
    shared: &'a Arc<EndpointShared>,
    link: &'a AttemptLink,
    head: &'a RequestHead,
    row: String,
    tracker: ClaimTracker,
    give_up_at: Deadline,
    permit: Option<GatePermit>,
}

impl<'a> KeyedAttempt<'a> {
    fn new(
        shared: &'a Arc<EndpointShared>,
        link: &'a AttemptLink,
        head: &'a RequestHead,
        body: &[u8],
        permit: GatePermit,
    ) -> Result<Self, RunFailure> {
        let Some(key) = &head.key else {
            return Err(RunFailure::NotRun(NotRunReason::KeyConflict));
        };
        let now = Timestamp::now();
        let left = head.deadline.remaining(now);
        let lead = REFUSAL_LEAD.min(left / LEAD_PART);
        let give_up_at = now.deadline_after(CLAIM_TIME.min(left - lead));
        let nonce = new_nonce(shared, head)?;
        Ok(Self {
            shared,
            link,
            head,
            row: claim_row(&head.workspace, &head.service, key),
            tracker: ClaimTracker::new(nonce, fingerprint(head, body), give_up_at),
            give_up_at,
            permit: Some(permit),
        })
    }

    /// Writes and looks until the request may run, is answered, or is given up.
    async fn claim(&mut self) -> Result<ClaimStep, RunFailure> {
        let mut step = ClaimStep::Write(ClaimGuard::Absent);
        let mut wait_ms = 0;
        loop {
            let goes_on = matches!(step, ClaimStep::Write(_) | ClaimStep::Poll);
            // A claim that is certain goes on to the run, which begins only if it was
            // not cancelled, and releases the row if it was: given up here, the row
            // would stay held by an attempt that never runs, and whoever asks again
            // with the key would be told "unknown" for ever.
            if goes_on && self.link.latch.is_cancelled() {
                return Err(RunFailure::NotRun(NotRunReason::Cancelled));
            }
            let view = match step {
                ClaimStep::Write(guard) => {
                    pause(wait_ms).await;
                    self.take_permit()?;
                    self.tracker.begin_write();
                    let record = self.tracker.record();
                    row::write_claim(self.shared, &self.row, record, guard, self.give_up_at).await
                }
                ClaimStep::Poll => {
                    // Waiters would fill the gate, and the run that they wait
                    // for might be the one that is refused.
                    if self.tracker.waits_for_other() {
                        self.permit = None;
                    }
                    pause(wait_ms).await;
                    row::look_until(self.shared, &self.row, self.give_up_at).await
                }
                settled => return Ok(settled),
            };
            wait_ms = (wait_ms * 2).clamp(MIN_LOOK_MS, MAX_LOOK_MS);
            step = self.tracker.next(view, Timestamp::now());
        }
    }

    fn take_permit(&mut self) -> Result<(), RunFailure> {
        if self.permit.is_none() {
            self.permit = Some(GatePermit::enter(self.shared, self.head)?);
        }
        Ok(())
    }

    /// Runs the claimed request, whose row has `revision`, and records its outcome.
    async fn run(mut self, body: Bytes, revision: u64) -> Result<(), RunFailure> {
        if let Err(reason) = self.begin_run() {
            self.settle(ClaimState::Released, revision).await;
            return Err(RunFailure::NotRun(reason));
        }
        let run = run_whole(self.shared, self.head, body);
        let ran = within(longest_run(self.head), run).await;
        self.permit = None;
        match ran {
            Ok((answer, body)) => {
                self.settle(recorded(&answer, &body), revision).await;
                send_whole(self.link, self.head, &answer, &body, false).await
            }
            Err(RunFailure::NotRun(reason)) => {
                // Without the release the key would stay bound to an attempt
                // that never ran, and its caller could never buy with it.
                self.settle(ClaimState::Released, revision).await;
                Err(RunFailure::NotRun(reason))
            }
            Err(RunFailure::Unknown(detail)) => {
                self.settle(ClaimState::Unanswered { detail: detail.clone() }, revision).await;
                Err(RunFailure::Unknown(detail))
            }
        }
    }

    /// Checks for the last time before the run.
    ///
    /// This process may have been paused while the claim was under way. Its
    /// caller has been told "unknown" at the deadline and must not see a sale
    /// appear minutes later.
    fn begin_run(&self) -> Result<(), NotRunReason> {
        if self.head.deadline.is_past(Timestamp::now()) {
            return Err(NotRunReason::DeadlineTooClose);
        }
        if !self.link.latch.begin() {
            return Err(NotRunReason::Cancelled);
        }
        Ok(())
    }

    /// Writes the claim's final state; goes on in the background while the store is slow.
    async fn settle(&self, state: ClaimState, revision: u64) {
        let record = self.tracker.record_as(state);
        let mut task = row::settle(self.shared, &self.row, record, revision);
        if timeout(RECORD_WAIT, &mut task).await.is_none() {
            log::info!(target: "claim", request:% = self.head.id; "An outcome is recorded later.");
            task.detach();
        }
    }
}

/// Waits for about `wait_ms`, so that those who wait for one key do not look together.
async fn pause(wait_ms: u64) {
    if wait_ms > 0 {
        let wait_ms = rand::rng().random_range(wait_ms / 2..=wait_ms);
        Timer::after(Duration::from_millis(wait_ms)).await;
    }
}

async fn run_whole(
    shared: &EndpointShared,
    head: &RequestHead,
    body: Bytes,
) -> Result<(RecordedAnswer, Bytes), RunFailure> {
    let answer = call_engine(shared, head, body).await?;
    let whole = answer.body.collect().await;
    let whole = whole.map_err(|error| RunFailure::Unknown(format!("answer cut: {error}")))?;
    let body = whole.to_bytes();
    ensure_unmixed(shared, head).await?;
    let answer = RecordedAnswer {
        status: answer.status,
        content_type: answer.content_type,
        headers: answer.headers,
        version: answer.version,
        revision: head.revision,
        body: String::new(),
    };
    Ok((answer, body))
}

fn recorded(answer: &RecordedAnswer, body: &[u8]) -> ClaimState {
    if body.len() > MAX_RECORDED_BYTES {
        let detail = format!("it ran, but its answer of {} bytes was not kept", body.len());
        return ClaimState::Unanswered { detail };
    }
    ClaimState::Answered(RecordedAnswer { body: hex::encode(body), ..answer.clone() })
}

fn new_nonce(shared: &EndpointShared, head: &RequestHead) -> Result<AttemptNonce, RunFailure> {
    let instance = &shared.settings.place.instance;
    let text = format!("{instance}-{}-{}", shared.incarnation, shared.next_attempt());
    AttemptNonce::new(&text).map_err(|error| {
        log::error!(target: "claim", request:% = head.id, cause:% = error; "No nonce can be made.");
        RunFailure::NotRun(NotRunReason::StoreUnavailable)
    })
}

fn fingerprint(head: &RequestHead, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [head.service.as_str(), &head.method, &head.path] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(body);
    hasher.finalize().to_hex().to_string()
}
