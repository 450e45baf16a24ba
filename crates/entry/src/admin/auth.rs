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
    let presented = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .unwrap_or_default();
    let presented = blake3::hash(presented);
    let mut authenticated = None;
    for operator in operators {
        let expected = blake3::hash(operator.token.as_bytes());
        if bool::from(presented.as_bytes().ct_eq(expected.as_bytes())) {
            authenticated = Some(operator);
        }
    }
    authenticated.ok_or_else(refusal)
}

fn refusal() -> Response<ReplyBody> {
    let message = "a bearer token of the entry's settings is needed";
    let mut reply = error_reply(StatusCode::UNAUTHORIZED, "unauthorized", message);
    reply.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    reply
}
