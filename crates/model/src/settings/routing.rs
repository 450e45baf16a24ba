//! Settings of an entry whose callers are routed by the table of the preset in force.

use std::{collections::BTreeSet, net::SocketAddr};

use macro_rules_attribute::apply;

use crate::FailureDomain;

/// What such an entry is told beside [`super::EntrySettings`].
#[apply(record!)]
pub struct RoutingSettings {
    /// Where the platform asks whether the entry is ready.
    pub listen_ready: SocketAddr,
    /// Where callers ask which entries to use.
    pub listen_advice: SocketAddr,
    /// Failure domains of the entry's own region.
    pub near_domains: BTreeSet<FailureDomain>,
    /// Executor threads, one for each core that the process may use.
    pub threads: usize,
    /// Time after a version was named in which every endpoint has to serve it, in milliseconds.
    pub version_ms: u64,
    /// Time between the heartbeats of listed endpoints, in milliseconds.
    pub list_heartbeat_ms: u64,
    /// Retries for each request of a service, over all entries.
    pub retry_ratio: f64,
    /// Retries of a service beyond that ratio, over all entries.
    pub retry_slack: f64,
}
