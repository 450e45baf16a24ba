//! Event streams, relayed as they arrive.
//!
//! If the route allows it, another endpoint continues a stream that breaks off, and its events
//! follow under the head of the first response. The caller notices at most a pause.

use std::{io, time::Duration};

use bytes::Bytes;
use cassiawheel_decide::{AttemptFailure, EventSplicer, RepeatGuard, byte_budget::ByteReservation};
use cassiawheel_model::{OutcomeKind, Timestamp};
use cassiawheel_runtime::{
    http::{ReplyBody, full_body},
    timeout,
};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};

use super::{
    RequestGuard,
    attempts::{RequestAttempts, StartedResponse},
    dispatch::ResponsePart,
    passthrough::reply_with,
};

/// Longest gap between events before another endpoint is used to continue the stream.
///
/// A busy engine produces an event every 40 to 120 ms. Callers count a gap of 300 ms as late and
/// disconnect after about two seconds.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_200);

/// Result of reading an event stream.
enum EventStep {
    Events(Bytes),
    End,
    Cut(AttemptFailure),
    Silent,
}

/// Reads the events of one response, from several endpoints in turn if needed.
struct EventReader {
    attempts: RequestAttempts,
    response: StartedResponse,
    splicer: EventSplicer,
    /// Memory that is reserved for incomplete events.
    reservation: ByteReservation,
}

/// Creates a reply that relays an event stream.
pub(super) fn stream_reply(
    guard: RequestGuard,
    attempts: RequestAttempts,
    response: StartedResponse,
) -> Response<ReplyBody> {
    let mut reply = reply_with(&response, full_body(""));
    let splicer = EventSplicer::new(attempts.last_event);
    let reservation = attempts.begin_buffering();
    let reader = EventReader { attempts, response, splicer, reservation };
    let frames = stream::unfold(Some((guard, reader)), |state| async move {
        let (guard, mut reader) = state?;
        match reader.next_or_resumed().await {
            Ok(Some(events)) => Some((Ok(Frame::data(events)), Some((guard, reader)))),
            Ok(None) => {
                reader.attempts.record_answered(&reader.response);
                guard.count_outcome(OutcomeKind::Complete);
                None
            }
            Err(detail) => {
                guard.count_outcome(OutcomeKind::Unknown);
                log::warn!(target: "outcome", request:% = reader.attempts.head().id, event:? = reader.splicer.last_id(), attempts = reader.response.attempts, cause:% = detail; "A stream was cut.");
                Some((Err(io::Error::other(detail)), None))
            }
        }
    });
    *reply.body_mut() = BodyExt::boxed(StreamBody::new(frames));
    reply
}

impl EventReader {
    /// Returns the next events, resuming at another endpoint if needed; none at the end.
    async fn next_or_resumed(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            match self.next().await {
                EventStep::Events(bytes) => return Ok(Some(bytes)),
                EventStep::End => return Ok(None),
                EventStep::Cut(end) => self.resume(end).await?,
                EventStep::Silent => self.resume_or_wait().await,
            }
        }
    }

    /// Resumes a silent stream at another endpoint if possible.
    ///
    /// Silence does not prove that the endpoint is gone: its response may be complete but delayed
    /// by a congested link. If no endpoint can resume, cutting the stream would lose those events,
    /// so it waits for this endpoint until the deadline.
    async fn resume_or_wait(&mut self) {
        let silent = AttemptFailure::Unknown("the endpoint fell silent".to_owned());
        if let Err(cause) = self.resume(silent).await {
            log::info!(target: "outcome", request:% = self.attempts.head().id, cause:% = cause; "Cannot resume a silent stream; waiting for its endpoint.");
        }
    }

    /// Resumes at another endpoint after the last event sent; keeps the current stream on failure.
    async fn resume(&mut self, end: AttemptFailure) -> Result<(), String> {
        self.attempts.last_event = self.splicer.last_id();
        if RepeatGuard::of(self.attempts.head()) == RepeatGuard::Idempotent {
            log::info!(target: "outcome", request:% = self.attempts.head().id, event:? = self.attempts.last_event, cause:? = end; "Resumes a stream.");
        }
        let response = self.attempts.retry_cut(&self.response, None, end).await;
        let response = response.map_err(|failed| format!("{:?}", failed.outcome))?;
        if response.status != self.response.status {
            return Err(format!("another endpoint answered {}", response.status));
        }
        self.splicer.discard_partial();
        self.response = response;
        Ok(())
    }

    async fn next(&mut self) -> EventStep {
        loop {
            let left = self.attempts.head().deadline.remaining(Timestamp::now());
            let part = match timeout(left.min(MAX_EVENT_GAP), self.response.stream.next()).await {
                Some(part) => part,
                None if left <= MAX_EVENT_GAP => {
                    return cut("the deadline was reached");
                }
                None => return EventStep::Silent,
            };
            match part {
                ResponsePart::Data(bytes) => match self.splicer.push(&bytes) {
                    Ok(events) if events.is_empty() => {
                        if !self.reservation.grow_to(self.splicer.pending_bytes()) {
                            return cut("there is no room for an incomplete event");
                        }
                    }
                    Ok(events) => return EventStep::Events(Bytes::from(events)),
                    Err(error) => return cut(error),
                },
                ResponsePart::End(_) => {
                    return match self.splicer.finish() {
                        Ok(()) => EventStep::End,
                        Err(error) => EventStep::Cut(AttemptFailure::Lost(error.to_string())),
                    };
                }
                ResponsePart::Cut(detail) => return EventStep::Cut(AttemptFailure::Lost(detail)),
            }
        }
    }
}

/// A stream that cannot be relayed although its connection is still open.
fn cut(cause: impl ToString) -> EventStep {
    EventStep::Cut(AttemptFailure::Unknown(cause.to_string()))
}
