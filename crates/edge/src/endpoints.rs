//! Protocol between an entry and endpoints that it calls directly.

use std::time::Duration;

use cassiawheel_model::{InstanceId, LayerPath, ModelVersion, NamedLimit, RequestId, WorkspaceId};
use hyper::{HeaderMap, http::response::Parts};

/// Metadata that an entry adds to a request when it forwards it to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ForwardMetadata<'a> {
    /// Id of the request.
    pub request: &'a RequestId,
    /// The process that has to answer; any other process refuses the request.
    pub endpoint: &'a InstanceId,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// Workspace of the caller, if it has one.
    pub workspace: Option<&'a WorkspaceId>,
    /// Version that has to answer; none if any version may.
    pub version: Option<&'a ModelVersion>,
    /// Id of the last event received, if the caller resumes a stream.
    pub last_event: Option<u64>,
    /// Endpoints that the request passes through; `None` if the endpoint has all layers.
    pub path: Option<&'a LayerPath>,
    /// Priority among the requests queued at the endpoint, from 0 (runs first) to 9; none leaves
    /// the endpoint's default.
    pub priority: Option<u8>,
}

/// Metadata in the header fields of an endpoint's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the answered request, as repeated by the endpoint.
    pub request: Option<String>,
    /// Whether the response carries the endpoint's stamp.
    pub is_signed: bool,
    /// Whether the endpoint states that it has not run the request.
    pub not_run: bool,
    /// Load reported by the endpoint.
    pub load: Option<ReportedLoad>,
    /// Rate limit of the endpoint, in requests per second from all entries together.
    pub limit: Option<NamedLimit>,
    /// Whether the endpoint states that it is leaving.
    pub is_leaving: bool,
    /// Address or id of the member of a path that a refusal is about.
    pub at_server: Option<String>,
    /// Backoff that the endpoint requests from this entry.
    pub backoff: BackoffRequest,
    /// Time for which the endpoint keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// Whether the endpoint closes the connection after the response.
    pub closes_connection: bool,
    /// Whether the body is a stream of server-sent events.
    pub is_stream: bool,
}

/// Backoff that an endpoint requests with a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum BackoffRequest {
    /// The response requests none.
    #[default]
    None,
    /// The endpoint wants no requests for this long after its response.
    For(Duration),
    /// The field cannot be parsed; it has this value.
    Invalid(String),
}

/// Load of an endpoint, as reported in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Time that work takes there at present, in percent of the usual time, if the endpoint states
    /// it.
    pub speed: Option<u32>,
}

/// Encodes the metadata of forwarded requests and parses that of responses.
pub trait EndpointProtocol: Send + Sync {
    /// Adds header fields with `metadata` to those that the caller sent.
    fn write_metadata(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);

    /// Parses the header fields of a response.
    fn read_metadata(&self, parts: &Parts) -> ResponseMetadata;
}
