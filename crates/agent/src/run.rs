//! Running one attempt: gate, engine, relay.

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

/// Answer bytes that may be under way without a credit from the entry.
pub const INITIAL_CREDIT: i64 = 256 << 10;

/// The way back to the entry for one attempt.
pub(crate) struct AttemptLink {
    /// The connection.
    pub(crate) sender: WireSender,
    /// The attempt's number on it.
    pub(crate) attempt: u64,
    /// Further bytes that may be sent.
    pub(crate) granted: Receiver<u32>,
    /// Whether the run has begun or was cancelled before.
    pub(crate) latch: Arc<RunLatch>,
}

/// How an attempt failed.
#[derive(Debug)]
pub(crate) enum RunFailure {
    /// It did not run and never will.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(String),
}

/// A permit of the gate; given back when dropped, however the attempt ends.
pub(crate) struct GatePermit {
    shared: Arc<EndpointShared>,
}

impl GatePermit {
    /// Takes a permit for the request.
    pub(crate) fn enter(
        shared: &Arc<EndpointShared>,
        head: &RequestHead,
    ) -> Result<Self, RunFailure> {
        let entered = shared.gate().acquire(head.revision, head.version.as_ref());
        entered.map_err(RunFailure::NotRun)?;
        Ok(Self { shared: shared.clone() })
    }
}

impl Drop for GatePermit {
    fn drop(&mut self) {
        self.shared.leave_gate();
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
    let Err(failure) = gated_run(&shared, &link, &head, body).await else {
        return;
    };
    let attempt = link.attempt;
    let message = match failure {
        RunFailure::NotRun(reason) => {
            shared.metrics.refused.inc();
            log::info!(target: "gate", request:% = head.id, reason:% = reason; "Refused a request.");
            if reason == NotRunReason::StaleRevision {
                send_newer(&shared, &link.sender, head.revision).await;
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

/// Tells an entry of the newer preset before the refusal that names it.
///
/// The entry would otherwise route by the old one again until its next poll,
/// and its caller would be refused by every endpoint in turn.
async fn send_newer(shared: &EndpointShared, sender: &WireSender, revision: PresetRevision) {
    let newer = shared.holder().current().filter(|known| known.revision > revision).cloned();
    if let Some(newer) = newer {
        let _ = sender.send(ControlMessage::Force(newer)).await;
    }
}

/// Whether a request was routed by a preset that may no longer be in force.
///
/// An agent that has just started knows no preset yet. An entry that was paused
/// may reach it first and route under a preset that others have replaced; its
/// caller would be answered by rules that are no longer in force.
fn is_stale(shared: &EndpointShared, head: &RequestHead) -> bool {
    let known = shared.holder().revision();
    known == PresetRevision::default()
        || head.revision < known
        || !shared.start_hold().is_over(Timestamp::now())
}

async fn gated_run(
    shared: &Arc<EndpointShared>,
    link: &AttemptLink,
    head: &RequestHead,
    body: Bytes,
) -> Result<(), RunFailure> {
    if is_stale(shared, head) {
        return Err(RunFailure::NotRun(NotRunReason::StaleRevision));
    }
    // A request may have waited in a socket while this process was paused; its
    // caller has been answered long since and must not see it run now.
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
            within(head.deadline.remaining(Timestamp::now()), run).await
        }
        RepeatGuard::None => within(longest_run(head), run_once(shared, link, head, body)).await,
    }
}

/// Time for which a run that must not be cut off may outlast its deadline.
const RUN_GRACE: Duration = Duration::from_secs(60);

/// The longest run of a request that must not be cut off.
pub(crate) fn longest_run(head: &RequestHead) -> Duration {
    head.deadline.remaining(Timestamp::now()) + RUN_GRACE
}

/// Ends a run that takes longer than `span`.
///
/// An engine that never answers would keep its permit for ever: the endpoint
/// could neither exchange its weights nor end, and nobody would see why.
pub(crate) async fn within<T>(
    span: Duration,
    run: impl Future<Output = Result<T, RunFailure>>,
) -> Result<T, RunFailure> {
    let late = || Err(RunFailure::Unknown("the endpoint did not answer in time".to_owned()));
    timeout(span, run).await.unwrap_or_else(late)
}

/// Runs a request that nothing but its single dispatch protects from a second run.
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
        // Dropping the answer would cancel the run at the endpoint in the middle
        // of its effect: a charge without its receipt. Nobody reads the rest,
        // but the permit is held until the run is over.
        while let Some(Ok(_)) = answer.body.frame().await {}
    }
    relayed
}

/// Calls the engine and checks the version that it answers from.
pub(crate) async fn call_engine(
    shared: &EndpointShared,
    head: &RequestHead,
    body: Bytes,
) -> Result<EngineResponse, RunFailure> {
    let answer = shared.engine.call(head, body).await.map_err(|error| match error {
        EngineError::NotSent(_) => RunFailure::NotRun(NotRunReason::ConnectFailed),
        EngineError::Refused(detail) | EngineError::NoAnswer(detail) => RunFailure::Unknown(detail),
    })?;
    // Another process may have changed the engine's weights behind the gate.
    // The caller would see an answer of a version that it was not routed to.
    if answer.version != head.version {
        return Err(RunFailure::Unknown("the engine answered from another version".to_owned()));
    }
    Ok(answer)
}

/// Fails if the engine's weights were exchanged behind the gate during the run.
///
/// An engine that ignores fencing tokens also obeys a late order of a process
/// that was paused, in the middle of an answer: its beginning and its end would
/// come from two versions, under a head that names one. Such an engine is asked
/// again for its version before the answer is called whole.
pub(crate) async fn ensure_unmixed(
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
    let AttemptLink { sender, attempt, granted, .. } = link;
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
    sender.send(first).await.map_err(gone)?;
    let mut credit = INITIAL_CREDIT;
    let mut sent = 0_u64;
    while let Some(frame) = answer.body.frame().await {
        // A body that ends early is an error and never a short answer.
        let frame = frame.map_err(|error| RunFailure::Unknown(format!("answer cut: {error}")))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        while credit <= 0 {
            credit += i64::from(granted.recv().await.map_err(|_| gone(WireError::Closed))?);
        }
        credit -= data.len() as i64;
        sent += data.len() as u64;
        let message = RequestMessage::Data { attempt, bytes: data.to_vec() };
        sender.send(message).await.map_err(gone)?;
    }
    ensure_unmixed(shared, head).await?;
    sender.send(RequestMessage::End { attempt, bytes: sent }).await.map_err(gone)
}

/// Largest part of an answer that is known as a whole.
const PART_BYTES: usize = 64 << 10;

/// Sends an answer that is known as a whole.
pub(crate) async fn send_whole(
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
    sender.send(first).await.map_err(gone)?;
    for part in body.chunks(PART_BYTES) {
        let message = RequestMessage::Data { attempt, bytes: part.to_vec() };
        sender.send(message).await.map_err(gone)?;
    }
    let bytes = body.len() as u64;
    sender.send(RequestMessage::End { attempt, bytes }).await.map_err(gone)
}

fn gone(error: WireError) -> RunFailure {
    RunFailure::Unknown(error.to_string())
}
