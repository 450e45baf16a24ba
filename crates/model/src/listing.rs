//! Endpoints as the platform lists them.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::{FailureDomain, InstanceId, ModelVersion, ServiceName, Timestamp};

/// An endpoint in the platform's list.
#[apply(record!)]
#[derive(Eq)]
pub struct ListedEndpoint {
    /// Its process; one that starts later at the same address has another name
    /// or a later start.
    pub instance: InstanceId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it leaves and must get nothing new.
    pub is_leaving: bool,
    /// When its process started by its own word; a later one holds and knows
    /// nothing of what went before, also under the same name.
    #[serde(default)]
    pub born_at: Option<Timestamp>,
    /// The version whose weights it holds as a whole, if it is a model engine.
    pub version: Option<ModelVersion>,
}

/// One row of the list; without an endpoint the row was removed.
#[apply(record!)]
#[derive(Eq)]
pub struct ListedRow {
    /// The endpoint's process.
    pub instance: InstanceId,
    /// Rises with every write to the list; the higher of two rows is the newer.
    pub position: u64,
    /// What the row says.
    pub endpoint: Option<ListedEndpoint>,
    /// Whether the row is there but names no endpoint that could be used, as one
    /// of a foreign writer.
    #[serde(default)]
    pub is_unusable: bool,
}
