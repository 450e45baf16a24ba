//! Relaying an answer to its caller.
//!
//! The answer of a request that runs at most once is read as a whole first, so
//! that its outcome is known before anything is sent. Other answers are
//! streamed; the end of the stream carries the outcome as a trailer, and a
//! stream that is cut ends in an error and never looks like a short answer.

use std::io;

use bytes::{Bytes, BytesMut};
use cassiawheel_model::{OutcomeKind, Repeatability, RequestHead, RequestOutcome, Timestamp};
use cassiawheel_runtime::{
    http::{ReplyBody, full_body},
    timeout,
};
use cassiawheel_wire::RequestMessage;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue, TRAILER},
};

use super::{
    InFlight,
    attempts::{BegunAnswer, FailedRequest},
    outcome::{OUTCOME_HEADER, REPLAYED_HEADER, add_headers, failure_reply, outcome_text},
};

/// One step of an answer.
enum AnswerStep {
    Data(Bytes),
    End,
    Cut(String),
}

/// Reads the rest of an answer and checks that it is whole.
struct AnswerReader {
    begun: BegunAnswer,
    head: RequestHead,
    received: u64,
}

/// The reply for an answer that has begun.
pub(crate) async fn answer_reply(
    guard: InFlight,
    head: RequestHead,
    begun: BegunAnswer,
) -> Response<ReplyBody> {
    let repeat = head.repeat;
    let reader = AnswerReader { begun, head, received: 0 };
    match repeat {
        Repeatability::AtMostOnce => whole_reply(guard, reader).await,
        Repeatability::Idempotent => streamed_reply(guard, reader),
    }
}

impl AnswerReader {
    async fn next(&mut self) -> AnswerStep {
        let span = self.head.deadline.remaining(Timestamp::now());
        match timeout(span, self.begun.stream.next()).await {
            Some(Some(RequestMessage::Data { bytes, .. })) => {
                self.received += bytes.len() as u64;
                self.begun.stream.grant(bytes.len()).await;
                AnswerStep::Data(Bytes::from(bytes))
            }
            Some(Some(RequestMessage::End { bytes, .. })) if bytes == self.received => {
                AnswerStep::End
            }
            Some(Some(RequestMessage::End { bytes, .. })) => {
                AnswerStep::Cut(format!("{} of {bytes} bytes arrived", self.received))
            }
            Some(Some(RequestMessage::Failed { detail, .. })) => AnswerStep::Cut(detail),
            Some(Some(_)) => AnswerStep::Cut("an unexpected message arrived".to_owned()),
            Some(None) => AnswerStep::Cut("the connection to the endpoint was lost".to_owned()),
            None => AnswerStep::Cut("the deadline was reached".to_owned()),
        }
    }

    fn reply(&self, body: ReplyBody) -> Response<ReplyBody> {
        let begun = &self.begun;
        let mut reply = Response::new(body);
        *reply.status_mut() = StatusCode::from_u16(begun.status).unwrap_or(StatusCode::OK);
        let headers = reply.headers_mut();
        add_headers(headers, &self.head, begun.version.as_ref(), begun.revision, begun.attempts);
        if begun.replayed {
            headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        }
        let kind = begun.content_type.as_deref().map(HeaderValue::from_str);
        if let Some(Ok(kind)) = kind {
            headers.insert(CONTENT_TYPE, kind);
        }
        reply
    }
}

async fn whole_reply(guard: InFlight, mut reader: AnswerReader) -> Response<ReplyBody> {
    let mut whole = BytesMut::new();
    loop {
        match reader.next().await {
            AnswerStep::Data(bytes) => whole.extend_from_slice(&bytes),
            AnswerStep::End => {
                guard.count(OutcomeKind::Complete);
                let mut reply = reader.reply(full_body(whole.freeze()));
                let complete = HeaderValue::from_static(outcome_text(OutcomeKind::Complete));
                reply.headers_mut().insert(OUTCOME_HEADER, complete);
                return reply;
            }
            AnswerStep::Cut(detail) => {
                guard.count(OutcomeKind::Unknown);
                let failed = FailedRequest {
                    outcome: RequestOutcome::Unknown { detail },
                    revision: reader.begun.revision,
                    attempts: reader.begun.attempts,
                };
                return failure_reply(&reader.head, &failed);
            }
        }
    }
}

fn streamed_reply(guard: InFlight, reader: AnswerReader) -> Response<ReplyBody> {
    let mut reply = reader.reply(full_body(""));
    reply.headers_mut().insert(TRAILER, HeaderValue::from_static(OUTCOME_HEADER));
    let frames = stream::unfold(Some((guard, reader)), |state| async move {
        let (guard, mut reader) = state?;
        match reader.next().await {
            AnswerStep::Data(bytes) => Some((Ok(Frame::data(bytes)), Some((guard, reader)))),
            AnswerStep::End => {
                guard.count(OutcomeKind::Complete);
                let complete = HeaderValue::from_static(outcome_text(OutcomeKind::Complete));
                let trailers = HeaderMap::from_iter([(
                    hyper::header::HeaderName::from_static(OUTCOME_HEADER),
                    complete,
                )]);
                Some((Ok(Frame::trailers(trailers)), None))
            }
            AnswerStep::Cut(detail) => {
                guard.count(OutcomeKind::Unknown);
                log::warn!(target: "outcome", request:% = reader.head.id, cause:% = detail; "An answer was cut.");
                Some((Err(io::Error::other(detail)), None))
            }
        }
    });
    *reply.body_mut() = BodyExt::boxed(StreamBody::new(frames));
    reply
}
