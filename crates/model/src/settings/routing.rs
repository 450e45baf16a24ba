//! Settings of an entry that routes requests by the table of the preset in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use macro_rules_attribute::apply;

use crate::{FailureDomain, RegionName};

/// Settings in addition to [`super::EntrySettings`], derived from the platform's configuration.
#[apply(record!)]
pub struct RoutingSettings {
    /// Address of the platform's readiness check.
    pub listen_ready: SocketAddr,
    /// Address at which callers request the addresses of entries.
    pub listen_advice: SocketAddr,
    /// Failure domains in the entry's own region.
    pub near_domains: BTreeSet<FailureDomain>,
    /// Regions by failure domain.
    pub regions: BTreeMap<FailureDomain, RegionName>,
    /// Number of executor threads, one for each core available to the process.
    pub threads: usize,
    /// Time within which every endpoint has to serve a requested version, in milliseconds.
    pub version_ms: u64,
    /// Heartbeat interval of listed endpoints, in milliseconds.
    pub list_heartbeat_ms: u64,
    /// How long an entry waits after its start for the copies of others before it reads the
    /// platform's store itself, in milliseconds.
    pub first_read_ms: u64,
    /// Retry budget of a service as a ratio of its requests, over all entries.
    pub retry_ratio: f64,
    /// Retries of a service that are allowed in addition to the ratio, over all entries.
    pub retry_slack: f64,
    /// Period over which the retries of a service are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Factor by which the requests of one second at a cold endpoint may exceed its limit.
    pub cold_overshoot: f64,
    /// Requests of one second at a cold endpoint that are allowed in addition.
    pub cold_slack: f64,
}
