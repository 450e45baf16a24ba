//! Authentication of operators.

use cassiawheel_model::settings::OperatorToken;
use cassiawheel_runtime::http::{ReplyBody, error_reply};
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{AUTHORIZATION, HeaderValue, WWW_AUTHENTICATE},
};
use subtle::ConstantTimeEq;

/// Returns the operator whose bearer token the call presents.
///
/// The digests of all tokens are compared, each in constant time, so the time of a refusal reveals
/// neither how many bytes of a token matched nor its length.
pub(super) fn authenticate<'a>(
    operators: &'a [OperatorToken],
    headers: &HeaderMap,
) -> Result<&'a OperatorToken, Response<ReplyBody>> {
    let given = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .unwrap_or_default();
    let given = blake3::hash(given);
    let mut found = None;
    for operator in operators {
        let wanted = blake3::hash(operator.token.as_bytes());
        if bool::from(given.as_bytes().ct_eq(wanted.as_bytes())) {
            found = Some(operator);
        }
    }
    found.ok_or_else(refusal)
}

fn refusal() -> Response<ReplyBody> {
    let message = "a bearer token of the entry's settings is needed";
    let mut reply = error_reply(StatusCode::UNAUTHORIZED, "unauthorized", message);
    reply.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    reply
}
