//! Relaying a response to the caller.
//!
//! The response to a request that may run at most once is buffered completely, so that its outcome
//! is known before anything is sent. Other responses are streamed: a trailer at the end carries the
//! outcome, and a stream that is cut off ends in an error, so it cannot be mistaken for a short
//! response.

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
    RequestGuard,
    attempts::{FailedRequest, RequestAttempts, StartedResponse},
    dispatch::ResponsePart,
    outcome::{
        OUTCOME_HEADER, REPLAYED_HEADER, TRAILER_NAMES, add_headers, failure_reply, outcome_text,
    },
};

/// Result of reading a response.
enum ResponseStep {
    Data(Bytes),
    End,
    Cut(String),
}

/// Reads the rest of a response and checks that it is complete.
struct ResponseReader {
    attempts: RequestAttempts,
    response: StartedResponse,
    received: u64,
    digest: blake3::Hasher,
}

/// Creates the reply for a response that has started.
pub(crate) async fn relay_reply(
    guard: RequestGuard,
    attempts: RequestAttempts,
    response: StartedResponse,
) -> Response<ReplyBody> {
    let repeat = attempts.head().repeat;
    let reader = ResponseReader { attempts, response, received: 0, digest: blake3::Hasher::new() };
    match repeat {
        Repeatability::AtMostOnce => whole_reply(guard, reader).await,
        Repeatability::Idempotent => streamed_reply(guard, reader),
    }
}

impl ResponseReader {
    async fn next(&mut self) -> ResponseStep {
        match self.next_part().await {
            ResponsePart::Data(bytes) => self.record_bytes(bytes),
            ResponsePart::End(Some(bytes)) if bytes != self.received => {
                ResponseStep::Cut(format!("{} of {bytes} bytes arrived", self.received))
            }
            ResponsePart::End(_) => ResponseStep::End,
            ResponsePart::Cut(detail) => ResponseStep::Cut(detail),
        }
    }

    /// Like `next`, but resumes at another endpoint when the response is cut off.
    async fn next_or_resumed(&mut self) -> ResponseStep {
        let mut step = self.next().await;
        while let ResponseStep::Cut(detail) = step {
            step = match self.resume(detail).await {
                Ok(step) => step,
                Err(detail) => return ResponseStep::Cut(detail),
            };
        }
        step
    }

    /// Repeats the request and skips the bytes that were already sent.
    ///
    /// The new run must start with exactly the bytes that the caller has received, or the two
    /// responses would be mixed. Their digests are compared before anything further is sent, so the
    /// caller receives the complete response of the last run.
    async fn resume(&mut self, detail: String) -> Result<ResponseStep, String> {
        let version = self.response.version.clone();
        log::info!(target: "outcome", request:% = self.attempts.head().id, cause:% = detail, received = self.received; "Resumes a cut answer.");
        let end = AttemptFailure::Unknown(detail);
        let response = self.attempts.retry_cut(&self.response, version, end).await;
        let response = response.map_err(|failed| format!("{:?}", failed.outcome))?;
        let kind = |response: &StartedResponse| response.headers.get(CONTENT_TYPE).cloned();
        if (response.status, kind(&response)) != (self.response.status, kind(&self.response)) {
            return Err("the new response differs".to_owned());
        }
        self.response = response;
        let mut digest = blake3::Hasher::new();
        let mut left = self.received;
        while left > 0 {
            match self.next_part().await {
                ResponsePart::Data(mut bytes) => {
                    let known = bytes.split_to(bytes.len().min(left as usize));
                    digest.update(&known);
                    left -= known.len() as u64;
                    if left == 0 && digest.finalize() == self.digest.finalize() {
                        return Ok(self.record_bytes(bytes));
                    }
                }
                ResponsePart::End(_) => return Err("the new response is shorter".to_owned()),
                ResponsePart::Cut(detail) => return Ok(ResponseStep::Cut(detail)),
            }
        }
        if self.received == 0 {
            return Ok(self.next().await);
        }
        Err("the new response differs".to_owned())
    }

    fn record_bytes(&mut self, bytes: Bytes) -> ResponseStep {
        self.received += bytes.len() as u64;
        self.digest.update(&bytes);
        ResponseStep::Data(bytes)
    }

    async fn next_part(&mut self) -> ResponsePart {
        let span = self.attempts.head().deadline.remaining(Timestamp::now());
        match timeout(span, self.response.stream.next()).await {
            Some(part) => part,
            None => ResponsePart::Cut("the deadline was reached".to_owned()),
        }
    }

    fn add_headers(&self, headers: &mut HeaderMap) {
        let response = &self.response;
        let (version, revision) = (response.version.as_ref(), response.revision);
        add_headers(headers, self.attempts.head(), version, revision, response.attempts);
    }

    fn reply(&self, body: ReplyBody) -> Response<ReplyBody> {
        let response = &self.response;
        let mut reply = Response::new(body);
        *reply.status_mut() =
            StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = reply.headers_mut();
        self.add_headers(headers);
        if response.replayed {
            headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        }
        headers.extend(response.headers.clone());
        reply
    }
}

async fn whole_reply(guard: RequestGuard, mut reader: ResponseReader) -> Response<ReplyBody> {
    let mut whole = BytesMut::new();
    loop {
        match reader.next().await {
            ResponseStep::Data(bytes) => whole.extend_from_slice(&bytes),
            ResponseStep::End => {
                guard.count_outcome(OutcomeKind::Complete);
                let mut reply = reader.reply(full_body(whole.freeze()));
                let complete = HeaderValue::from_static(outcome_text(OutcomeKind::Complete));
                reply.headers_mut().insert(OUTCOME_HEADER, complete);
                return reply;
            }
            ResponseStep::Cut(detail) => {
                guard.count_outcome(OutcomeKind::Unknown);
                let failed = FailedRequest {
                    outcome: RequestOutcome::Unknown { detail },
                    revision: reader.response.revision,
                    attempts: reader.response.attempts,
                };
                return failure_reply(reader.attempts.head(), &failed);
            }
        }
    }
}

fn streamed_reply(guard: RequestGuard, reader: ResponseReader) -> Response<ReplyBody> {
    let mut reply = reader.reply(full_body(""));
    reply.headers_mut().insert(TRAILER, HeaderValue::from_static(TRAILER_NAMES));
    let frames = stream::unfold(Some((guard, reader)), |state| async move {
        let (guard, mut reader) = state?;
        match reader.next_or_resumed().await {
            ResponseStep::Data(bytes) => Some((Ok(Frame::data(bytes)), Some((guard, reader)))),
            ResponseStep::End => {
                guard.count_outcome(OutcomeKind::Complete);
                let complete = HeaderValue::from_static(outcome_text(OutcomeKind::Complete));
                // A resumed response has more attempts, and possibly a later revision, than its
                // headers state.
                let mut trailers = HeaderMap::new();
                reader.add_headers(&mut trailers);
                trailers.insert(OUTCOME_HEADER, complete);
                Some((Ok(Frame::trailers(trailers)), None))
            }
            ResponseStep::Cut(detail) => {
                guard.count_outcome(OutcomeKind::Unknown);
                log::warn!(target: "outcome", request:% = reader.attempts.head().id, cause:% = detail; "An answer was cut.");
                Some((Err(io::Error::other(detail)), None))
            }
        }
    });
    *reply.body_mut() = BodyExt::boxed(StreamBody::new(frames));
    reply
}
