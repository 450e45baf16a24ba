//! Parsing of operators' requests, and error replies.

use std::time::Duration;

use cassiawheel_model::{FindingList, InputFinding, record};
use cassiawheel_runtime::http::{BodyError, ReplyBody, error_reply, json_reply, read_body_within};
use hyper::{Response, StatusCode, body::Incoming};
use macro_rules_attribute::apply;
use serde::de::DeserializeOwned;

use crate::control::change::PresetError;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Reply to a call; an error is a response as well.
pub(super) type AdminReply = Result<Response<ReplyBody>, Response<ReplyBody>>;

/// Body of an error reply that lists every finding.
#[apply(record!)]
struct FindingsReply {
    error: String,
    message: String,
    findings: Vec<InputFinding>,
}

/// Error reply for a body with findings.
pub(super) fn findings_reply(findings: &FindingList) -> Response<ReplyBody> {
    let reply = FindingsReply {
        error: "findings".to_owned(),
        message: format!("nothing was stored; the body has {} findings", findings.as_slice().len()),
        findings: findings.as_slice().to_vec(),
    };
    json_reply(StatusCode::UNPROCESSABLE_ENTITY, &reply)
}

/// Reads a whole JSON body; the error names the path of an invalid value.
pub(super) async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    span: Duration,
) -> Result<T, Response<ReplyBody>> {
    let read = read_body_within(body, MAX_BODY_BYTES, span).await;
    let bytes = read.map_err(|error| match error {
        BodyError::TooLong => {
            let message = format!("the body is longer than {MAX_BODY_BYTES} bytes");
            error_reply(StatusCode::PAYLOAD_TOO_LARGE, "too-long", message)
        }
        BodyError::NoRoom => {
            error_reply(StatusCode::SERVICE_UNAVAILABLE, "no-room", "no room for the body")
        }
        BodyError::Truncated => error_reply(StatusCode::BAD_REQUEST, "cut", "the body ended early"),
        BodyError::TimedOut => {
            let message = format!("the body did not arrive within {span:?}");
            error_reply(StatusCode::REQUEST_TIMEOUT, "slow", message)
        }
    })?;
    let mut parser = serde_json::Deserializer::from_slice(&bytes);
    let value = serde_path_to_error::deserialize(&mut parser)
        .map_err(|error| bad_request(format!("{}: {}", error.path(), error.inner())))?;
    parser.end().map_err(|error| bad_request(error.to_string()))?;
    Ok(value)
}

/// Parses an identifier from the request path.
pub(super) fn parse_id<T>(what: &str, text: &str) -> Result<T, Response<ReplyBody>>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    text.parse().map_err(|error| bad_request(format!("{what} {error}")))
}

/// Error reply for a failed operation on presets.
pub(super) fn preset_error_reply(error: PresetError) -> Response<ReplyBody> {
    let (status, code) = match &error {
        PresetError::Store(_) => (StatusCode::SERVICE_UNAVAILABLE, "store"),
        PresetError::Manifest { .. } => (StatusCode::UNPROCESSABLE_ENTITY, "manifest"),
        PresetError::VersionBound { .. } => (StatusCode::CONFLICT, "version-bound"),
        PresetError::Damaged(_) => (StatusCode::INTERNAL_SERVER_ERROR, "damaged"),
        PresetError::Missing(_) => (StatusCode::NOT_FOUND, "missing"),
        PresetError::Conflict => (StatusCode::CONFLICT, "conflict"),
    };
    error_reply(status, code, error.to_string())
}

fn bad_request(message: String) -> Response<ReplyBody> {
    error_reply(StatusCode::BAD_REQUEST, "bad-request", message)
}
