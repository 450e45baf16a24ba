//! Running one attempt: gate, engine, relay.

use std::sync::Arc;

use bytes::Bytes;
use cassiawheel_model::{NotRunReason, RequestHead, Timestamp};
use cassiawheel_platform::{EngineAnswer, EngineError};
use cassiawheel_wire::{RequestMessage, WireError, WireSender};
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
struct GatePermit {
    shared: Arc<EndpointShared>,
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
    let attempt = link.attempt;
    let sender = link.sender.clone();
    let Err(failure) = gated_run(&shared, link, &head, body).await else {
        return;
    };
    let message = match failure {
        RunFailure::NotRun(reason) => {
            shared.metrics.refused.inc();
            log::info!(target: "gate", request:% = head.id, reason:% = reason; "Refused a request.");
            RequestMessage::Refused { attempt, reason }
        }
        RunFailure::Unknown(detail) => {
            log::warn!(target: "gate", request:% = head.id, cause:% = detail; "A run failed.");
            RequestMessage::Failed { attempt, detail }
        }
    };
    let _ = sender.send(message).await;
}

async fn gated_run(
    shared: &Arc<EndpointShared>,
    link: AttemptLink,
    head: &RequestHead,
    body: Bytes,
) -> Result<(), RunFailure> {
    // A request may have waited in a socket while this process was paused; its
    // caller has been answered long since and must not see it run now.
    if head.deadline.is_past(Timestamp::now()) {
        return Err(RunFailure::NotRun(NotRunReason::DeadlineTooClose));
    }
    let entered = shared.gate().enter(head.revision, head.version.as_ref());
    entered.map_err(RunFailure::NotRun)?;
    let _permit = GatePermit { shared: shared.clone() };
    shared.metrics.admitted.inc();
    if keyed::needs_claim(head) {
        return keyed::run_claimed(shared, link, head, body).await;
    }
    let answer = call_engine(shared, head, body).await?;
    relay(link, head, answer).await
}

/// Calls the engine and checks the version that it answers from.
pub(crate) async fn call_engine(
    shared: &EndpointShared,
    head: &RequestHead,
    body: Bytes,
) -> Result<EngineAnswer, RunFailure> {
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

async fn relay(
    link: AttemptLink,
    head: &RequestHead,
    mut answer: EngineAnswer,
) -> Result<(), RunFailure> {
    let AttemptLink { sender, attempt, granted } = link;
    let first = RequestMessage::Head {
        attempt,
        request: head.id.clone(),
        status: answer.status,
        content_type: answer.content_type,
        version: answer.version,
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
    sender.send(RequestMessage::End { attempt, bytes: sent }).await.map_err(gone)
}

/// Sends an answer that is known as a whole.
pub(crate) async fn send_whole(
    link: AttemptLink,
    head: &RequestHead,
    status: u16,
    content_type: Option<String>,
    body: Vec<u8>,
) -> Result<(), RunFailure> {
    let AttemptLink { sender, attempt, .. } = link;
    let (request, version) = (head.id.clone(), head.version.clone());
    let first = RequestMessage::Head { attempt, request, status, content_type, version };
    sender.send(first).await.map_err(gone)?;
    let bytes = body.len() as u64;
    if bytes > 0 {
        sender.send(RequestMessage::Data { attempt, bytes: body }).await.map_err(gone)?;
    }
    sender.send(RequestMessage::End { attempt, bytes }).await.map_err(gone)
}

fn gone(error: WireError) -> RunFailure {
    RunFailure::Unknown(error.to_string())
}
