//! Status codes, messages and headers that report an outcome to the caller.

use cassiawheel_decide::RepeatGuard;
use cassiawheel_model::{
    ModelVersion, NotRunReason, OutcomeKind, PresetRevision, RequestHead, RequestOutcome,
    Timestamp, record,
};
use cassiawheel_runtime::http::{ReplyBody, json_reply};
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use macro_rules_attribute::apply;
use rand::Rng;

use super::attempts::FailedRequest;

/// Header or trailer with the outcome: `complete`, `not-run` or `unknown`.
pub(crate) const OUTCOME_HEADER: &str = "cassiawheel-outcome";
/// Header of a response that repeats the recorded response of an earlier run.
pub(crate) const REPLAYED_HEADER: &str = "cassiawheel-replayed";
/// Names of the trailers of a streamed response.
pub(crate) const TRAILER_NAMES: &str = "cassiawheel-outcome, cassiawheel-request, \
    cassiawheel-version, cassiawheel-revision, cassiawheel-attempts";
const REQUEST_HEADER: &str = "cassiawheel-request";
const VERSION_HEADER: &str = "cassiawheel-version";
const REVISION_HEADER: &str = "cassiawheel-revision";
const ATTEMPTS_HEADER: &str = "cassiawheel-attempts";

/// Retry delay for a request whose outcome is unknown, in milliseconds.
const UNKNOWN_RETRY_MS: u64 = 1_000;

/// Retry delay after a body found no room, in seconds.
const NO_ROOM_RETRY_S: std::ops::Range<f64> = 0.3..1.0;

/// Body of the reply to a failed request.
#[apply(record!)]
struct FailureBody {
    error: String,
    outcome: OutcomeKind,
    message: String,
    request: String,
    retry_after_ms: Option<u64>,
}

/// Delay after which a caller whose body found no room returns, in seconds; drawn, so that those of
/// a burst do not return together.
pub(crate) fn no_room_delay() -> HeaderValue {
    let delay_s = rand::rng().random_range(NO_ROOM_RETRY_S);
    HeaderValue::from_str(&format!("{delay_s:.3}")).unwrap_or(HeaderValue::from_static("1"))
}

/// Value of the outcome header.
pub(crate) fn outcome_text(kind: OutcomeKind) -> &'static str {
    match kind {
        OutcomeKind::Complete => "complete",
        OutcomeKind::NotRun => "not-run",
        OutcomeKind::Unknown => "unknown",
    }
}

/// Adds the headers that every response has.
pub(crate) fn add_headers(
    headers: &mut HeaderMap,
    head: &RequestHead,
    version: Option<&ModelVersion>,
    revision: PresetRevision,
    attempts: u32,
) {
    let mut put = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    put(REQUEST_HEADER, head.id.as_str());
    put(REVISION_HEADER, &revision.0.to_string());
    put(ATTEMPTS_HEADER, &attempts.to_string());
    if let Some(version) = version {
        put(VERSION_HEADER, version.as_str());
    }
}

/// Reply to a request that failed before any part of a response was sent.
pub(crate) fn failure_reply(head: &RequestHead, failed: &FailedRequest) -> Response<ReplyBody> {
    let kind = failed.outcome.kind();
    let (status, error, message, mut wait_ms) = describe(&failed.outcome);
    if kind == OutcomeKind::Unknown && RepeatGuard::of(head) != RepeatGuard::None {
        // A retry is safe: the request is idempotent or has an idempotency key.
        wait_ms = Some(UNKNOWN_RETRY_MS);
    }
    log::info!(target: "outcome", request:% = head.id, outcome = outcome_text(kind), error = error, attempts = failed.attempts; "A request failed.");
    let mut reply = json_reply(
        status,
        &FailureBody {
            error: error.to_owned(),
            outcome: kind,
            message,
            request: head.id.to_string(),
            retry_after_ms: wait_ms,
        },
    );
    let headers = reply.headers_mut();
    add_headers(headers, head, None, failed.revision, failed.attempts);
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome_text(kind)));
    if let Some(wait_ms) = wait_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(wait_ms.div_ceil(1_000)));
    }
    reply
}

pub(super) fn describe(
    outcome: &RequestOutcome,
) -> (StatusCode, &'static str, String, Option<u64>) {
    match outcome {
        RequestOutcome::Complete { .. } => (StatusCode::OK, "complete", String::new(), None),
        RequestOutcome::NotRun { reason, retry_at } => {
            let wait = retry_at.remaining(Timestamp::now()).as_millis() as u64;
            let (status, wait) = match reason {
                NotRunReason::UnknownService => (StatusCode::NOT_FOUND, None),
                NotRunReason::KeyConflict => (StatusCode::UNPROCESSABLE_ENTITY, None),
                NotRunReason::DeadlineTooClose => (StatusCode::GATEWAY_TIMEOUT, None),
                _ => (StatusCode::SERVICE_UNAVAILABLE, Some(wait)),
            };
            (status, reason.code(), format!("the request was not run: {reason}"), wait)
        }
        RequestOutcome::Unknown { detail } => {
            let message = format!("the request may have run: {detail}");
            (StatusCode::BAD_GATEWAY, "unknown", message, None)
        }
    }
}
