//! Protocol between callers and an entry.
//!
//! The platform defines the names of header fields and paths. Implementations convert
//! them from and to the typed values of this module.

use std::time::Duration;

use cassiawheel_model::{GenerationSize, RequestId};
use hyper::{HeaderMap, http::request::Parts};

/// Values parsed from a request's header fields, beside method, host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerHead {
    /// Id that the caller chose for this attempt.
    pub id: RequestId,
    /// API key of the caller.
    pub key: Option<String>,
    /// How long the caller waits, counted from the receipt of the request.
    pub timeout: Option<Duration>,
    /// Id of the last event received, if the caller resumes a broken stream.
    pub last_event: Option<u64>,
    /// Token counts, if the request is a generation.
    pub generation_size: Option<GenerationSize>,
    /// Ids of the parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<String>,
}

/// A header field that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct HeaderError {
    /// Name of the header field.
    pub field: &'static str,
    /// Why its value was rejected.
    pub problem: String,
}

/// A caller's query for the entries to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceQuery {
    /// Failure domain of the caller, if it names one.
    pub failure_domain: Option<String>,
    /// Region of the caller, if it names one.
    pub region: Option<String>,
    /// Host that the caller wants to reach, if it names one.
    pub host: Option<String>,
}

/// Parses requests of callers and encodes what an entry answers itself.
pub trait CallerProtocol: Send + Sync {
    /// Parses the header fields of a request.
    fn read_head(&self, parts: &Parts) -> Result<CallerHead, HeaderError>;

    /// Returns the end-to-end header fields, which are forwarded unchanged.
    fn end_to_end(&self, headers: &HeaderMap) -> HeaderMap;

    /// Parses a query for the entries to use; none if the request is not such a query.
    fn read_advice(&self, parts: &Parts) -> Option<AdviceQuery>;

    /// Encodes the answer to such a query; `ttl` is how long the addresses are valid.
    fn advice_body(&self, addresses: &[std::net::SocketAddr], ttl: Duration) -> Vec<u8>;

    /// Whether the request is a readiness probe.
    fn is_readiness_probe(&self, parts: &Parts) -> bool;
}
