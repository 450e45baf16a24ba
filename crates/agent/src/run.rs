//! Runs one attempt: admission by the gate, the engine call, the relay of its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiawheel_decide::{RepeatGuard, RunLatch, claim::RecordedAnswer};
use cassiawheel_edge::{EngineError, EngineResponse};
use cassiawheel_model::{EndpointRole, NotRunReason, PresetRevision, RequestHead, Timestamp};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::{ControlMessage, RequestMessage, WireError, WireSender};
use http_body_util::BodyExt;
use smol::channel::Receiver;

use crate::{endpoint::EndpointShared, keyed};

/// Answer bytes that may be in flight before the entry grants further credit.
pub const INITIAL_CREDIT: i64 = 256 << 10;

/// Connection over which the answer of one attempt is sent to the entry.
pub(crate) struct AttemptLink {
    /// Queue of messages to the entry.
    pub(crate) sender: WireSender,
    /// Number of the attempt, unique on its connection.
    pub(crate) attempt: u64,
    /// Flow control: grants of further bytes that may be sent.
    pub(crate) credits: Receiver<u32>,
    /// Decides the race between the start of the run and its cancellation.
    pub(crate) latch: Arc<RunLatch>,
}

/// How an attempt failed.
#[derive(Debug)]
pub(crate) enum RunFailure {
    /// The request did not run and never will.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(String),
}

/// A permit of the gate; returned when dropped, however the attempt ends.
pub(crate) struct GatePermit {
    shared: Arc<EndpointShared>,
}

impl GatePermit {
    /// Acquires a permit for the request with this head.
    pub(crate) fn enter(
        shared: &Arc<EndpointShared>,
        head: &RequestHead,
    ) -> Result<Self, RunFailure> {
        let admitted = shared.gate().acquire(head.revision, head.version.as_ref());
        admitted.map_err(RunFailure::NotRun)?;
        Ok(Self { shared: shared.clone() })
    }
}

impl Drop for GatePermit {
    fn drop(&mut self) {
        self.shared.release_permit();
    }
}

/// Runs a dispatched request and sends its answer.
pub(crate) async fn run_attempt(
    shared: Arc<EndpointShared>,
    link: AttemptLink,
    head: RequestHead,
    body: Bytes,
) {
    let _open = shared.open_attempt();
    let Err(failure) = admit_and_run(&shared, &link, &head, body).await else {
        return;
    };
    let attempt = link.attempt;
    let message = match failure {
        RunFailure::NotRun(reason) => {
            shared.metrics.refused.inc();
            log::info!(target: "gate", request:% = head.id, reason:% = reason; "Refused a request.");
            if reason == NotRunReason::StaleRevision {
                send_newer_preset(&shared, &link.sender, head.revision).await;
            }
            RequestMessage::Refused { attempt, reason }
        }
        RunFailure::Unknown(detail) => {
            log::warn!(target: "gate", request:% = head.id, cause:% = detail; "A run failed.");
            RequestMessage::Failed { attempt, detail }
        }
    };
    let _ = link.sender.send(message).await;
}

/// Sends the entry the preset in force if it is newer than `revision`.
///
/// Sent before the refusal: the entry would otherwise route by the old preset until
/// its next poll, and its caller would be refused by every endpoint in turn.
async fn send_newer_preset(shared: &EndpointShared, sender: &WireSender, revision: PresetRevision) {
    let newer = shared.holder().current().filter(|known| known.revision > revision).cloned();
    if let Some(newer) = newer {
        let _ = sender.send(ControlMessage::Force(newer)).await;
    }
}

/// Whether a request was routed by a preset that may no longer be in force.
///
/// An agent that has just started has no preset yet. An entry that was paused may
/// connect first and route by a preset that has been replaced; its caller would be
/// answered by rules that are no longer in force.
fn is_stale(shared: &EndpointShared, head: &RequestHead) -> bool {
    let known = shared.holder().revision();
    known == PresetRevision::default()
        || head.revision < known
        || !shared.start_hold().is_over(Timestamp::now())
}

async fn admit_and_run(
    shared: &Arc<EndpointShared>,
    link: &AttemptLink,
    head: &RequestHead,
    body: Bytes,
) -> Result<(), RunFailure> {
    if is_stale(shared, head) {
        return Err(RunFailure::NotRun(NotRunReason::StaleRevision));
    }
    // A request may have been buffered in a socket while this process was paused. Its
    // caller already got an answer at the deadline, so the request must not run now.
    if head.deadline.is_past(Timestamp::now()) {
        return Err(RunFailure::NotRun(NotRunReason::DeadlineTooClose));
    }
    let permit = GatePermit::enter(shared, head)?;
    shared.metrics.admitted.inc();
    match RepeatGuard::of(head) {
        RepeatGuard::Claimed => keyed::run_claimed(shared, link, head, body, permit).await,
        RepeatGuard::Idempotent => {
            let run = async {
                let mut answer = call_engine(shared, head, body).await?;
                relay(shared, link, head, &mut answer).await
            };
            run_within(head.deadline.remaining(Timestamp::now()), run).await
        }
        RepeatGuard::None => run_within(run_limit(head), run_once(shared, link, head, body)).await,
    }
}

/// Time that a run which must not be cut off may take beyond its deadline.
const RUN_GRACE: Duration = Duration::from_secs(60);

/// Time limit for the run of a request that must not be cut off at its deadline.
pub(crate) fn run_limit(head: &RequestHead) -> Duration {
    head.deadline.remaining(Timestamp::now()) + RUN_GRACE
}

/// Fails a run that takes longer than `limit`.
///
/// A run on an engine that never answers would hold its permit for ever. The endpoint
/// could then neither switch weights nor shut down, without any visible cause.
pub(crate) async fn run_within<T>(
    limit: Duration,
    run: impl Future<Output = Result<T, RunFailure>>,
) -> Result<T, RunFailure> {
    let timed_out = || Err(RunFailure::Unknown("the endpoint did not answer in time".to_owned()));
    timeout(limit, run).await.unwrap_or_else(timed_out)
}

/// Runs a request that must not run twice and has no idempotency key to prevent it.
async fn run_once(
    shared: &EndpointShared,
    link: &AttemptLink,
    head: &RequestHead,
    body: Bytes,
) -> Result<(), RunFailure> {
    if !link.latch.begin() {
        return Err(RunFailure::NotRun(NotRunReason::Cancelled));
    }
    let mut answer = call_engine(shared, head, body).await?;
    let relayed = relay(shared, link, head, &mut answer).await;
    if relayed.is_err() {
        // Dropping the response would cancel the run at the endpoint in the middle of
        // its side effect, such as a charge without its receipt. The rest is read and
        // discarded, and the permit is held until the run is over.
        while let Some(Ok(_)) = answer.body.frame().await {}
    }
    relayed
}

/// Calls the engine and checks that the ordered version gave the response.
pub(crate) async fn call_engine(
    shared: &EndpointShared,
    head: &RequestHead,
    body: Bytes,
) -> Result<EngineResponse, RunFailure> {
    let answer = shared.engine.call(head, body).await.map_err(|error| match error {
        EngineError::NotSent(_) => RunFailure::NotRun(NotRunReason::ConnectFailed),
        EngineError::Refused(detail)
        | EngineError::Unsupported(detail)
        | EngineError::Unproved(detail)
        | EngineError::NoAnswer(detail) => RunFailure::Unknown(detail),
        EngineError::Damaged(_) => RunFailure::Unknown(error.to_string()),
    })?;
    // Another process may have changed the engine's weights without passing the gate.
    // The caller would get an answer of a version that it was not routed to.
    if answer.version != head.version {
        return Err(RunFailure::Unknown("the engine answered from another version".to_owned()));
    }
    Ok(answer)
}

/// Fails if the engine's weights were switched during the run without passing the gate.
///
/// An engine that ignores fencing tokens also carries out a late order of a process
/// that was paused, even in the middle of an answer: start and end of the answer would
/// come from two versions under a head that names one. The version of such an engine
/// is checked again before the answer is declared complete.
pub(crate) async fn ensure_same_version(
    shared: &EndpointShared,
    head: &RequestHead,
) -> Result<(), RunFailure> {
    let engine = &shared.settings.engine;
    if engine.role == EndpointRole::Plain || engine.checks_fencing {
        return Ok(());
    }
    match shared.engine.status().await {
        Ok(status) if status.version == head.version => Ok(()),
        Ok(_) => Err(RunFailure::Unknown("the weights changed during the run".to_owned())),
        Err(error) => Err(RunFailure::Unknown(format!("the weights cannot be confirmed: {error}"))),
    }
}

async fn relay(
    shared: &EndpointShared,
    link: &AttemptLink,
    head: &RequestHead,
    answer: &mut EngineResponse,
) -> Result<(), RunFailure> {
    let AttemptLink { sender, attempt, credits, .. } = link;
    let attempt = *attempt;
    let first = RequestMessage::Head {
        attempt,
        request: head.id.clone(),
        status: answer.status,
        content_type: answer.content_type.clone(),
        headers: answer.headers.clone(),
        version: answer.version.clone(),
        revision: head.revision,
        replayed: false,
    };
    sender.send(first).await.map_err(connection_lost)?;
    let mut credit = INITIAL_CREDIT;
    let mut sent = 0_u64;
    while let Some(frame) = answer.body.frame().await {
        // A body that ends early is an error, not a short answer.
        let frame = frame.map_err(|error| RunFailure::Unknown(format!("answer cut: {error}")))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        while credit <= 0 {
            credit +=
                i64::from(credits.recv().await.map_err(|_| connection_lost(WireError::Closed))?);
        }
        credit -= data.len() as i64;
        sent += data.len() as u64;
        let message = RequestMessage::Data { attempt, bytes: data.to_vec() };
        sender.send(message).await.map_err(connection_lost)?;
    }
    ensure_same_version(shared, head).await?;
    sender.send(RequestMessage::End { attempt, bytes: sent }).await.map_err(connection_lost)
}

/// Size of the messages in which a buffered answer is sent, in bytes.
const PART_BYTES: usize = 64 << 10;

/// Sends an answer whose whole body is in memory.
pub(crate) async fn send_buffered(
    link: &AttemptLink,
    head: &RequestHead,
    answer: &RecordedAnswer,
    body: &[u8],
    replayed: bool,
) -> Result<(), RunFailure> {
    let AttemptLink { sender, attempt, .. } = link;
    let attempt = *attempt;
    let first = RequestMessage::Head {
        attempt,
        request: head.id.clone(),
        status: answer.status,
        content_type: answer.content_type.clone(),
        headers: answer.headers.clone(),
        version: answer.version.clone(),
        revision: answer.revision,
        replayed,
    };
    sender.send(first).await.map_err(connection_lost)?;
    for part in body.chunks(PART_BYTES) {
        let message = RequestMessage::Data { attempt, bytes: part.to_vec() };
        sender.send(message).await.map_err(connection_lost)?;
    }
    let bytes = body.len() as u64;
    sender.send(RequestMessage::End { attempt, bytes }).await.map_err(connection_lost)
}

fn connection_lost(error: WireError) -> RunFailure {
    RunFailure::Unknown(error.to_string())
}
