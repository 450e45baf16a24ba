//! How callers write their requests and read their answers.
//!
//! Names of header fields and paths are the platform's; what they hold comes
//! out as typed values, and what is decided goes back in as typed values.

use std::time::Duration;

use cassiawheel_model::RequestId;
use hyper::{HeaderMap, http::request::Parts};

/// What a caller's head tells, beside method, host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerHead {
    /// The request's id, which the caller chose for this attempt.
    pub id: RequestId,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits from now on.
    pub timeout: Option<Duration>,
    /// The last event that the caller has, if it goes on with a broken stream.
    pub last_event: Option<u64>,
    /// Size of a generation, if it is one.
    pub generation_size: Option<GenerationSize>,
}

/// Size of a generation in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer, as the caller expects.
    pub answer: u32,
}

/// Why a caller's head is not understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct HeaderError {
    /// The header field.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

/// A caller that asks which entries to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceQuery {
    /// The caller's failure domain.
    pub failure_domain: Option<String>,
    /// The caller's region.
    pub region: Option<String>,
}

/// The callers' protocol.
pub trait CallerProtocol: Send + Sync {
    /// Reads the head of a request.
    fn read_head(&self, parts: &Parts) -> Result<CallerHead, HeaderError>;

    /// The fields of a request that go on to the endpoint unchanged.
    fn end_to_end(&self, headers: &HeaderMap) -> HeaderMap;

    /// Reads a question which entries to use; none if it is no such question.
    fn read_advice(&self, parts: &Parts) -> Option<AdviceQuery>;

    /// The body of the answer to such a question.
    fn advice_body(&self, addresses: &[std::net::SocketAddr], ttl: Duration) -> Vec<u8>;

    /// Whether a request asks if this process is ready.
    fn is_readiness_probe(&self, parts: &Parts) -> bool;
}
