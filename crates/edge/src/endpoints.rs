//! How endpoints take requests and mark their answers.

use std::time::Duration;

use cassiawheel_model::{InstanceId, ModelVersion, NamedLimit, RequestId, WorkspaceId};
use hyper::{HeaderMap, http::response::Parts};

/// What the system adds to a request on its way to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ForwardMetadata<'a> {
    /// The request.
    pub request: &'a RequestId,
    /// The process that has to answer; any other refuses.
    pub endpoint: &'a InstanceId,
    /// How long the caller still waits.
    pub remaining: Duration,
    /// Whom the request belongs to.
    pub workspace: Option<&'a WorkspaceId>,
    /// The only version that may answer.
    pub version: Option<&'a ModelVersion>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// Whether requests that wait at the endpoint go before this one.
    pub is_low_priority: bool,
}

/// What an endpoint's answer tells beside status and body.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseMetadata {
    /// The request that is answered.
    pub request: Option<String>,
    /// Whether the endpoint has signed the answer.
    pub is_signed: bool,
    /// Whether the endpoint says that it has not run the request.
    pub not_run: bool,
    /// The load that the endpoint tells.
    pub load: Option<ReportedLoad>,
    /// The requests a second that the endpoint takes from all entries together.
    pub limit: Option<NamedLimit>,
    /// How long the endpoint keeps the connection open while it is idle.
    pub idle_timeout: Option<Duration>,
    /// Whether the connection ends with the answer.
    pub closes_connection: bool,
    /// Whether the body is a stream of events.
    pub is_stream: bool,
}

/// Load of an endpoint as an answer tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
}

/// The endpoints' protocol.
pub trait EndpointProtocol: Send + Sync {
    /// Adds the system's own fields to those that the caller sent.
    fn write_metadata(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);

    /// Reads the head of an answer.
    fn read_metadata(&self, parts: &Parts) -> ResponseMetadata;
}
