//! Classification of requests that may run more than once.

use cassiawheel_model::Repeatability;

/// Derives the repeatability from the HTTP method and the caller's declaration.
///
/// GET, HEAD, PUT and DELETE are idempotent by RFC 9110. POST is not, unless the caller declares
/// the request repeatable, as for a generation that has no effect beyond its answer.
pub fn repeatability(method: &str, caller_says_idempotent: Option<bool>) -> Repeatability {
    let by_method = matches!(method, "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS" | "TRACE");
    if caller_says_idempotent.unwrap_or(by_method) {
        Repeatability::Idempotent
    } else {
        Repeatability::AtMostOnce
    }
}
