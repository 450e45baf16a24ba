//! Responses that are sent to the caller as received from the endpoint.
//!
//! A response with a single body is buffered first, so that one that breaks off is detected before
//! anything was sent. An idempotent request is then retried at another endpoint; the caller of any
//! other request gets an error reply instead of a broken connection.

use bytes::{Bytes, BytesMut};
use cassiawheel_decide::AttemptFailure;
use cassiawheel_model::{OutcomeKind, Timestamp};
use cassiawheel_runtime::{
    http::{ReplyBody, full_body},
    timeout,
};
use hyper::{Response, StatusCode};

use super::{
    RequestGuard,
    attempts::{FailedRequest, RequestAttempts, StartedResponse},
    dispatch::ResponsePart,
    routed::failure_reply,
};

/// Largest response that is buffered, in bytes; far above the responses of plain services.
const MAX_WHOLE_BYTES: usize = 4 << 20;

/// Buffers a response and sends it; retries at another endpoint if it breaks off.
pub(super) async fn whole_reply(
    guard: RequestGuard,
    mut attempts: RequestAttempts,
    mut response: StartedResponse,
) -> Response<ReplyBody> {
    loop {
        let end = match read_whole(&attempts, &mut response).await {
            Ok(body) => {
                attempts.record_answered(&response);
                guard.count_outcome(OutcomeKind::Complete);
                return reply_with(&response, full_body(body));
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

async fn read_whole(
    attempts: &RequestAttempts,
    response: &mut StartedResponse,
) -> Result<Bytes, AttemptFailure> {
    let mut whole = BytesMut::new();
    loop {
        let span = attempts.head().deadline.remaining(Timestamp::now());
        match timeout(span, response.stream.next()).await {
            Some(ResponsePart::Data(bytes)) => whole.extend_from_slice(&bytes),
            Some(ResponsePart::End(_)) => return Ok(whole.freeze()),
            Some(ResponsePart::Cut(detail)) => return Err(AttemptFailure::Lost(detail)),
            None => return Err(AttemptFailure::Unknown("the deadline was reached".to_owned())),
        }
        if whole.len() > MAX_WHOLE_BYTES {
            let detail = format!("the answer has more than {MAX_WHOLE_BYTES} bytes");
            return Err(AttemptFailure::Unknown(detail));
        }
    }
}
