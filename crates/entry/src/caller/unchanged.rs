//! Answers that go to the caller as the endpoint gave them.
//!
//! An answer of one body is read as a whole first. One that breaks off is so
//! noticed before anything was sent: an idempotent request is answered by
//! another endpoint, and the caller of any other gets an error in place of a
//! connection that ends.

use bytes::{Bytes, BytesMut};
use cassiawheel_decide::AttemptFailure;
use cassiawheel_model::{OutcomeKind, Timestamp};
use cassiawheel_runtime::{
    http::{ReplyBody, full_body},
    timeout,
};
use hyper::{Response, StatusCode};

use super::{
    InFlight,
    attempts::{BegunAnswer, FailedRequest, RequestAttempts},
    dispatch::AnswerPart,
    routed::failure_reply,
};

/// Largest answer that is read as a whole, in bytes; far above those of plain services.
const WHOLE_BYTES: usize = 4 << 20;

/// Reads an answer and passes it on; asks another endpoint if it breaks off.
pub(super) async fn whole_reply(
    guard: InFlight,
    mut attempts: RequestAttempts,
    mut begun: BegunAnswer,
) -> Response<ReplyBody> {
    loop {
        let end = match read_whole(&attempts, &mut begun).await {
            Ok(body) => {
                attempts.note_answered();
                guard.count(OutcomeKind::Complete);
                return reply_with(&begun, full_body(body));
            }
            Err(end) => end,
        };
        match attempts.begin_again(&begun, None, end).await {
            Ok(next) => begun = next,
            Err(failed) => return give_up(&guard, &attempts, &failed),
        }
    }
}

/// The head of an answer with its body.
pub(super) fn reply_with(begun: &BegunAnswer, body: ReplyBody) -> Response<ReplyBody> {
    let mut reply = Response::new(body);
    *reply.status_mut() = StatusCode::from_u16(begun.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *reply.headers_mut() = begun.headers.clone();
    reply
}

fn give_up(
    guard: &InFlight,
    attempts: &RequestAttempts,
    failed: &FailedRequest,
) -> Response<ReplyBody> {
    guard.count(failed.outcome.kind());
    failure_reply(attempts.head(), failed)
}

async fn read_whole(
    attempts: &RequestAttempts,
    begun: &mut BegunAnswer,
) -> Result<Bytes, AttemptFailure> {
    let mut whole = BytesMut::new();
    loop {
        let span = attempts.head().deadline.remaining(Timestamp::now());
        match timeout(span, begun.stream.next()).await {
            Some(AnswerPart::Data(bytes)) => whole.extend_from_slice(&bytes),
            Some(AnswerPart::End(_)) => return Ok(whole.freeze()),
            Some(AnswerPart::Cut(detail)) => return Err(AttemptFailure::Lost(detail)),
            None => return Err(AttemptFailure::Unknown("the deadline was reached".to_owned())),
        }
        if whole.len() > WHOLE_BYTES {
            let detail = format!("the answer has more than {WHOLE_BYTES} bytes");
            return Err(AttemptFailure::Unknown(detail));
        }
    }
}
