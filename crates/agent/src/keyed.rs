//! Runs requests with an idempotency key at most once: claims the key, runs the request
//! and records its outcome.

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
        AttemptLink, GatePermit, RunFailure, call_engine, ensure_same_version, run_limit,
        run_within, send_buffered,
    },
};

/// First wait before a row is read or written again, in milliseconds; doubled each time.
///
/// Every poll is a read of the table service, and many attempts can wait for one key.
const MIN_POLL_MS: u64 = 25;

/// Longest wait before a row is read or written again, in milliseconds.
const MAX_POLL_MS: u64 = 400;

/// Longest wait for a claim, or for the outcome of the attempt that holds it.
///
/// When it elapses, the caller is refused at once with a time to retry, instead of
/// just before its deadline.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Time before a request's deadline at which a claim is abandoned.
///
/// The entry answers "unknown" at the deadline. A refusal sent at the same moment
/// arrives too late, and the caller of a request that never ran could not tell whether
/// it did, for example whether a card was charged. The refusal must arrive before.
const REFUSAL_MARGIN: Duration = Duration::from_millis(100);

/// Limits the margin to this fraction (one in four) of the time left, for short deadlines.
const MARGIN_DIVISOR: u32 = 4;

/// Longest time for which an answer is held back until its outcome is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest body of an answer that is recorded, in bytes.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// Claims, runs and records a keyed request, or sends the answer recorded for its key.
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
        row::release_uncertain(shared, &attempt.row, &attempt.tracker);
    }
    match step? {
        ClaimStep::Run(revision) => attempt.run(body, revision).await,
        ClaimStep::Replay(answer) => {
            let body = hex::decode(&answer.body)
                .map_err(|_| RunFailure::Unknown("the recorded answer is damaged".to_owned()))?;
            send_buffered(link, head, &answer, &body, true).await
        }
        ClaimStep::Conflict => Err(RunFailure::NotRun(NotRunReason::KeyConflict)),
        ClaimStep::Unknown(detail) => Err(RunFailure::Unknown(detail)),
        ClaimStep::GiveUp | ClaimStep::Poll | ClaimStep::Write(_) => {
            Err(RunFailure::NotRun(NotRunReason::StoreUnavailable))
        }
    }
}

/// State of one attempt to run a keyed request.
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
        let time_left = head.deadline.remaining(now);
        let margin = REFUSAL_MARGIN.min(time_left / MARGIN_DIVISOR);
        let give_up_at = now.deadline_after(CLAIM_TIMEOUT.min(time_left - margin));
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

    /// Writes and reads the row until the request may run, has an answer, or is abandoned.
    async fn claim(&mut self) -> Result<ClaimStep, RunFailure> {
        let mut step = ClaimStep::Write(ClaimGuard::Absent);
        let mut wait_ms = 0;
        loop {
            let is_pending = matches!(step, ClaimStep::Write(_) | ClaimStep::Poll);
            // A cancelled attempt whose claim is certain still proceeds to the run, which
            // does not begin but releases the row. If it were abandoned here, the row
            // would stay held by an attempt that never runs, and every retry with the
            // key would get "unknown" for ever.
            if is_pending && self.link.latch.is_cancelled() {
                return Err(RunFailure::NotRun(NotRunReason::Cancelled));
            }
            let reply = match step {
                ClaimStep::Write(guard) => {
                    jittered_wait(wait_ms).await;
                    self.take_permit()?;
                    self.tracker.begin_write();
                    let record = self.tracker.record();
                    row::write_claim(self.shared, &self.row, record, guard, self.give_up_at).await
                }
                ClaimStep::Poll => {
                    // Waiting attempts would use up the gate's permits, so that the run
                    // they wait for might be refused.
                    if self.tracker.waits_for_other() {
                        self.permit = None;
                    }
                    jittered_wait(wait_ms).await;
                    row::read_claim(self.shared, &self.row, self.give_up_at).await
                }
                final_step => return Ok(final_step),
            };
            wait_ms = (wait_ms * 2).clamp(MIN_POLL_MS, MAX_POLL_MS);
            step = self.tracker.next(reply, Timestamp::now());
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
            self.record_outcome(ClaimState::Released, revision).await;
            return Err(RunFailure::NotRun(reason));
        }
        let run = run_and_collect(self.shared, self.head, body);
        let ran = run_within(run_limit(self.head), run).await;
        self.permit = None;
        match ran {
            Ok((answer, body)) => {
                self.record_outcome(final_state(&answer, &body), revision).await;
                send_buffered(self.link, self.head, &answer, &body, false).await
            }
            Err(RunFailure::NotRun(reason)) => {
                // Without the release the key would stay bound to an attempt that never
                // ran, and no request with that key could ever run.
                self.record_outcome(ClaimState::Released, revision).await;
                Err(RunFailure::NotRun(reason))
            }
            Err(RunFailure::Unknown(detail)) => {
                self.record_outcome(ClaimState::Unanswered { detail: detail.clone() }, revision)
                    .await;
                Err(RunFailure::Unknown(detail))
            }
        }
    }

    /// Checks deadline and cancellation once more, immediately before the run.
    ///
    /// This process may have been paused while the claim was being written. The caller
    /// got "unknown" at the deadline, so the request must not take effect minutes later.
    fn begin_run(&self) -> Result<(), NotRunReason> {
        if self.head.deadline.is_past(Timestamp::now()) {
            return Err(NotRunReason::DeadlineTooClose);
        }
        if !self.link.latch.begin() {
            return Err(NotRunReason::Cancelled);
        }
        Ok(())
    }

    /// Writes the claim's final state; continues in the background if the store is slow.
    async fn record_outcome(&self, state: ClaimState, revision: u64) {
        let record = self.tracker.record_as(state);
        let mut task = row::write_final_state(self.shared, &self.row, record, revision);
        if timeout(RECORD_TIMEOUT, &mut task).await.is_none() {
            log::info!(target: "claim", request:% = self.head.id; "Recording an outcome takes long; continuing in the background.");
            task.detach();
        }
    }
}

/// Waits for `wait_ms` with jitter, so that attempts waiting for one key do not poll together.
async fn jittered_wait(wait_ms: u64) {
    if wait_ms > 0 {
        let wait_ms = rand::rng().random_range(wait_ms / 2..=wait_ms);
        Timer::after(Duration::from_millis(wait_ms)).await;
    }
}

async fn run_and_collect(
    shared: &EndpointShared,
    head: &RequestHead,
    body: Bytes,
) -> Result<(RecordedAnswer, Bytes), RunFailure> {
    let answer = call_engine(shared, head, body).await?;
    let whole = answer.body.collect().await;
    let whole = whole.map_err(|error| RunFailure::Unknown(format!("answer cut: {error}")))?;
    let body = whole.to_bytes();
    ensure_same_version(shared, head).await?;
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

fn final_state(answer: &RecordedAnswer, body: &[u8]) -> ClaimState {
    if body.len() > MAX_RECORDED_BYTES {
        let detail = format!("it ran, but its answer of {} bytes was not kept", body.len());
        return ClaimState::Unanswered { detail };
    }
    ClaimState::Answered(RecordedAnswer { body: hex::encode(body), ..answer.clone() })
}

fn new_nonce(shared: &EndpointShared, head: &RequestHead) -> Result<AttemptNonce, RunFailure> {
    let instance = &shared.settings.place.instance;
    let text = format!("{instance}-{}-{}", shared.incarnation, shared.next_attempt_id());
    AttemptNonce::new(&text).map_err(|error| {
        log::error!(target: "claim", request:% = head.id, cause:% = error; "Cannot create a nonce for an attempt.");
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
