//! Responses that are sent to the caller as received from the endpoint.
//!
//! A response with a single body is buffered first, so that one that breaks off is detected before
//! anything was sent. An idempotent request is then retried at another endpoint; the caller of any
//! other request gets an error reply instead of a broken connection.
//!
//! A response that is too large to be buffered, or for which there is no room beside others, is sent
//! on as it arrives. If it breaks off, so does the caller's connection.

use std::{collections::VecDeque, io};

use bytes::{Bytes, BytesMut};
use cassiawheel_decide::{AttemptFailure, byte_budget::ByteReservation};
use cassiawheel_model::{OutcomeKind, Timestamp};
use cassiawheel_runtime::{
    http::{ReplyBody, full_body},
    timeout,
};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, StatusCode, body::Frame};

use super::{
    RequestGuard,
    attempts::{FailedRequest, RequestAttempts, StartedResponse},
    dispatch::ResponsePart,
    reserved_body::ReservedBody,
    routed::failure_reply,
};

/// Largest response that is buffered, in bytes; far above the responses of plain services.
const MAX_WHOLE_BYTES: usize = 4 << 20;

/// A response that has been buffered, as far as there is room for it.
enum BufferedResponse {
    Whole(ReservedBody),
    /// The first parts of a response that is not buffered as a whole.
    Begun(VecDeque<Bytes>, ByteReservation),
}

/// Buffers a response and sends it; retries at another endpoint if it breaks off.
pub(super) async fn whole_reply(
    guard: RequestGuard,
    mut attempts: RequestAttempts,
    mut response: StartedResponse,
) -> Response<ReplyBody> {
    loop {
        let end = match read_whole(&attempts, &mut response).await {
            Ok(BufferedResponse::Whole(body)) => {
                attempts.record_answered(&response);
                guard.count_outcome(OutcomeKind::Complete);
                return reply_with(&response, BodyExt::boxed(body));
            }
            Ok(BufferedResponse::Begun(parts, reservation)) => {
                let reservation = Some(reservation);
                return BegunResponse { guard, attempts, response, parts, reservation }.reply();
            }
            Err(end) => end,
        };
        match attempts.retry_cut(&response, None, end).await {
            Ok(next) => response = next,
            Err(failed) => return fail(&guard, &attempts, &failed),
        }
    }
}

/// Combines the head of a response with `body`.
pub(super) fn reply_with(response: &StartedResponse, body: ReplyBody) -> Response<ReplyBody> {
    let mut reply = Response::new(body);
    *reply.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *reply.headers_mut() = response.headers.clone();
    reply
}

fn fail(
    guard: &RequestGuard,
    attempts: &RequestAttempts,
    failed: &FailedRequest,
) -> Response<ReplyBody> {
    guard.count_outcome(failed.outcome.kind());
    failure_reply(guard, &attempts.request, failed, None)
}

/// Buffers a response until it ends, gets too large or finds no room.
async fn read_whole(
    attempts: &RequestAttempts,
    response: &mut StartedResponse,
) -> Result<BufferedResponse, AttemptFailure> {
    // Growing one buffer would take up to three times the memory.
    let (mut parts, mut length) = (VecDeque::new(), 0);
    let mut reservation = attempts.begin_buffering();
    while let Some(bytes) = next_part(attempts, response).await? {
        let has_room = reservation.grow(bytes.len());
        length += bytes.len();
        parts.push_back(bytes);
        if !has_room || length > MAX_WHOLE_BYTES {
            return Ok(BufferedResponse::Begun(parts, reservation));
        }
    }
    Ok(BufferedResponse::Whole(ReservedBody::new(join_parts(parts, length), reservation)))
}

fn join_parts(mut parts: VecDeque<Bytes>, length: usize) -> Bytes {
    if parts.len() <= 1 {
        return parts.pop_front().unwrap_or_default();
    }
    let mut whole = BytesMut::with_capacity(length);
    while let Some(part) = parts.pop_front() {
        whole.extend_from_slice(&part);
    }
    whole.freeze()
}

/// Returns the next bytes of a response; `None` at its end.
async fn next_part(
    attempts: &RequestAttempts,
    response: &mut StartedResponse,
) -> Result<Option<Bytes>, AttemptFailure> {
    let span = attempts.head().deadline.remaining(Timestamp::now());
    match timeout(span, response.stream.next()).await {
        Some(ResponsePart::Data(bytes)) => Ok(Some(bytes)),
        Some(ResponsePart::End(_)) => Ok(None),
        Some(ResponsePart::Cut(detail)) => Err(AttemptFailure::Lost(detail)),
        None => Err(AttemptFailure::Unknown("the deadline was reached".to_owned())),
    }
}

/// A response of which some parts have been read and which is sent on as it arrives.
struct BegunResponse {
    guard: RequestGuard,
    attempts: RequestAttempts,
    response: StartedResponse,
    /// Parts that have been read.
    parts: VecDeque<Bytes>,
    /// Memory that is reserved for them; given back once they are written.
    reservation: Option<ByteReservation>,
}

impl BegunResponse {
    fn reply(self) -> Response<ReplyBody> {
        let mut reply = reply_with(&self.response, full_body(""));
        let frames = stream::unfold(Some(self), |state| async move {
            let mut begun = state?;
            if let Some(bytes) = begun.parts.pop_front() {
                return Some((Ok(Frame::data(bytes)), Some(begun)));
            }
            begun.reservation = None;
            match next_part(&begun.attempts, &mut begun.response).await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(begun))),
                Ok(None) => {
                    begun.attempts.record_answered(&begun.response);
                    begun.guard.count_outcome(OutcomeKind::Complete);
                    None
                }
                Err(end) => {
                    begun.guard.count_outcome(OutcomeKind::Unknown);
                    log::warn!(target: "outcome", request:% = begun.attempts.head().id, cause:? = end; "A response that was sent in part was cut.");
                    Some((Err(io::Error::other(format!("{end:?}"))), None))
                }
            }
        });
        *reply.body_mut() = BodyExt::boxed(StreamBody::new(frames));
        reply
    }
}
