//! Endpoints registered in the platform's list of instances.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::{FailureDomain, InstanceId, ModelVersion, ServiceName, Timestamp};

/// An endpoint as registered in the platform's list.
#[apply(record!)]
#[derive(Eq)]
pub struct ListedEndpoint {
    /// Identifies the process; a later process at the same address has another name or a later
    /// start time.
    pub instance: InstanceId,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain of the endpoint.
    pub failure_domain: FailureDomain,
    /// Requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Whether the endpoint is shutting down and must receive no new requests.
    pub is_leaving: bool,
    /// How long the endpoint stays cold from the writing of its row, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Start time of the process as reported by itself. A process with a later start time has no
    /// state of an earlier one, even under the same name.
    #[serde(default)]
    pub born_at: Option<Timestamp>,
    /// Version of which a model engine holds all weights.
    pub version: Option<ModelVersion>,
}

/// A row of the list; a removed row has no endpoint.
#[apply(record!)]
#[derive(Eq)]
pub struct ListedRow {
    /// Instance of the endpoint.
    pub instance: InstanceId,
    /// Position in the sequence of writes to the list; within an era of the store, a newer row has
    /// a higher one.
    pub position: u64,
    /// Content of the row, unless it was removed or is unusable.
    pub endpoint: Option<ListedEndpoint>,
    /// Whether the row exists but describes no usable endpoint, such as a row written by other
    /// software.
    #[serde(default)]
    pub is_unusable: bool,
}
