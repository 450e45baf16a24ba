//! Who calls the operators' API.

use cassiawheel_model::settings::OperatorToken;
use cassiawheel_runtime::http::{ReplyBody, error_reply};
use hyper::{HeaderMap, Response, StatusCode, header::AUTHORIZATION};
use subtle::ConstantTimeEq;

/// The operator whose token the call presents.
///
/// Every token is compared, each in constant time, so that the time of a
/// refusal tells nothing about any of them.
pub(super) fn authenticate<'a>(
    operators: &'a [OperatorToken],
    headers: &HeaderMap,
) -> Result<&'a OperatorToken, Response<ReplyBody>> {
    let given = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .unwrap_or_default();
    let mut found = None;
    for operator in operators {
        if bool::from(given.ct_eq(operator.token.as_bytes())) {
            found = Some(operator);
        }
    }
    found.ok_or_else(|| {
        let message = "a bearer token of the settings is needed";
        error_reply(StatusCode::UNAUTHORIZED, "unauthorized", message)
    })
}
