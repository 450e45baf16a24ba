//! Relaying an answer to its caller.
//!
//! The answer of a request that runs at most once is read as a whole first, so
//! that its outcome is known before anything is sent. Other answers are
//! streamed; the end of the stream carries the outcome as a trailer, and a
//! stream that is cut ends in an error and never looks like a short answer.

use std::io;

use bytes::{Bytes, BytesMut};
use cassiawheel_decide::AttemptFailure;
use cassiawheel_model::{OutcomeKind, Repeatability, RequestOutcome, Timestamp};
use cassiawheel_runtime::{
    http::{ReplyBody, full_body},
    timeout,
};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue, TRAILER},
};

use super::{
    InFlight,
    attempts::{BegunAnswer, FailedRequest, RequestAttempts},
    dispatch::AnswerPart,
    outcome::{
        OUTCOME_HEADER, REPLAYED_HEADER, TRAILER_NAMES, add_headers, failure_reply, outcome_text,
    },
};

/// One step of an answer.
enum AnswerStep {
    Data(Bytes),
    End,
    Cut(String),
}

/// Reads the rest of an answer and checks that it is whole.
struct AnswerReader {
    attempts: RequestAttempts,
    begun: BegunAnswer,
    received: u64,
    digest: blake3::Hasher,
}

/// The reply for an answer that has begun.
pub(crate) async fn answer_reply(
    guard: InFlight,
    attempts: RequestAttempts,
    begun: BegunAnswer,
) -> Response<ReplyBody> {
    let repeat = attempts.head().repeat;
    let reader = AnswerReader { attempts, begun, received: 0, digest: blake3::Hasher::new() };
    match repeat {
        Repeatability::AtMostOnce => whole_reply(guard, reader).await,
        Repeatability::Idempotent => streamed_reply(guard, reader),
    }
}

impl AnswerReader {
    async fn next(&mut self) -> AnswerStep {
        match self.next_part().await {
            AnswerPart::Data(bytes) => self.pass_on(bytes),
            AnswerPart::End(Some(bytes)) if bytes != self.received => {
                AnswerStep::Cut(format!("{} of {bytes} bytes arrived", self.received))
            }
            AnswerPart::End(_) => AnswerStep::End,
            AnswerPart::Cut(detail) => AnswerStep::Cut(detail),
        }
    }

    /// Like `next`, but lets another endpoint go on where an answer is cut.
    async fn next_or_resumed(&mut self) -> AnswerStep {
        let mut step = self.next().await;
        while let AnswerStep::Cut(detail) = step {
            step = match self.resume(detail).await {
                Ok(step) => step,
                Err(detail) => return AnswerStep::Cut(detail),
            };
        }
        step
    }

    /// Has the request answered anew and passes over what was sent already.
    ///
    /// The second run must begin with the very bytes that its caller has, or the
    /// two would be mixed: their digests are compared before anything follows.
    /// What the caller gets so is the whole answer of the last run.
    async fn resume(&mut self, detail: String) -> Result<AnswerStep, String> {
        let version = self.begun.version.clone();
        log::info!(target: "outcome", request:% = self.attempts.head().id, cause:% = detail, received = self.received; "Resumes a cut answer.");
        let end = AttemptFailure::Unknown(detail);
        let begun = self.attempts.begin_again(&self.begun, version, end).await;
        let begun = begun.map_err(|failed| format!("{:?}", failed.outcome))?;
        let kind = |begun: &BegunAnswer| begun.headers.get(CONTENT_TYPE).cloned();
        if (begun.status, kind(&begun)) != (self.begun.status, kind(&self.begun)) {
            return Err("another run answered otherwise".to_owned());
        }
        self.begun = begun;
        let mut digest = blake3::Hasher::new();
        let mut left = self.received;
        while left > 0 {
            match self.next_part().await {
                AnswerPart::Data(mut bytes) => {
                    let known = bytes.split_to(bytes.len().min(left as usize));
                    digest.update(&known);
                    left -= known.len() as u64;
                    if left == 0 && digest.finalize() == self.digest.finalize() {
                        return Ok(self.pass_on(bytes));
                    }
                }
                AnswerPart::End(_) => return Err("another run answered less".to_owned()),
                AnswerPart::Cut(detail) => return Ok(AnswerStep::Cut(detail)),
            }
        }
        if self.received == 0 {
            return Ok(self.next().await);
        }
        Err("another run answered otherwise".to_owned())
    }

    fn pass_on(&mut self, bytes: Bytes) -> AnswerStep {
        self.received += bytes.len() as u64;
        self.digest.update(&bytes);
        AnswerStep::Data(bytes)
    }

    async fn next_part(&mut self) -> AnswerPart {
        let span = self.attempts.head().deadline.remaining(Timestamp::now());
        match timeout(span, self.begun.stream.next()).await {
            Some(part) => part,
            None => AnswerPart::Cut("the deadline was reached".to_owned()),
        }
    }

    fn add_headers(&self, headers: &mut HeaderMap) {
        let begun = &self.begun;
        let (version, revision) = (begun.version.as_ref(), begun.revision);
        add_headers(headers, self.attempts.head(), version, revision, begun.attempts);
    }

    fn reply(&self, body: ReplyBody) -> Response<ReplyBody> {
        let begun = &self.begun;
        let mut reply = Response::new(body);
        *reply.status_mut() = StatusCode::from_u16(begun.status).unwrap_or(StatusCode::OK);
        let headers = reply.headers_mut();
        self.add_headers(headers);
        if begun.replayed {
            headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        }
        headers.extend(begun.headers.clone());
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
                return failure_reply(reader.attempts.head(), &failed);
            }
        }
    }
}

fn streamed_reply(guard: InFlight, reader: AnswerReader) -> Response<ReplyBody> {
    let mut reply = reader.reply(full_body(""));
    reply.headers_mut().insert(TRAILER, HeaderValue::from_static(TRAILER_NAMES));
    let frames = stream::unfold(Some((guard, reader)), |state| async move {
        let (guard, mut reader) = state?;
        match reader.next_or_resumed().await {
            AnswerStep::Data(bytes) => Some((Ok(Frame::data(bytes)), Some((guard, reader)))),
            AnswerStep::End => {
                guard.count(OutcomeKind::Complete);
                let complete = HeaderValue::from_static(outcome_text(OutcomeKind::Complete));
                // A resumed answer has more attempts, and perhaps a later revision,
                // than its headers could tell.
                let mut trailers = HeaderMap::new();
                reader.add_headers(&mut trailers);
                trailers.insert(OUTCOME_HEADER, complete);
                Some((Ok(Frame::trailers(trailers)), None))
            }
            AnswerStep::Cut(detail) => {
                guard.count(OutcomeKind::Unknown);
                log::warn!(target: "outcome", request:% = reader.attempts.head().id, cause:% = detail; "An answer was cut.");
                Some((Err(io::Error::other(detail)), None))
            }
        }
    });
    *reply.body_mut() = BodyExt::boxed(StreamBody::new(frames));
    reply
}
