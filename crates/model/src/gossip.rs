//! State that entries gossip to each other, each over a bounded number of links.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::{
    EndpointReport, EvacuationOrder, FailureDomain, InstanceId, NamedLimit, PresetRevision,
    RegionName, RequestDigest, Timestamp,
};

/// Link-state record of an entry; the one with the highest incarnation and sequence applies.
#[apply(record!)]
#[derive(Eq)]
pub struct EntryRecord {
    /// Instance of the entry.
    pub instance: InstanceId,
    /// Identifies the process; a later process at the same instance has a higher value.
    pub incarnation: u64,
    /// Incremented with each change of the record within an incarnation.
    pub sequence: u64,
    /// Region of the entry.
    pub region: RegionName,
    /// Failure domain inside the region.
    pub failure_domain: FailureDomain,
    /// Address for connections from other entries and agents.
    pub inner_addr: SocketAddr,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Whether the entry is shutting down.
    pub leaving: bool,
    /// Whether the entry may be returned to callers that ask for addresses.
    pub advised: bool,
    /// Whether the entry currently gets answers from the table service.
    pub follows_rows: bool,
    /// Entries that it has links to.
    pub neighbours: Vec<InstanceId>,
    /// Agents that are connected to the entry.
    pub agents: Vec<InstanceId>,
}

/// Load of one process, identified by the hash of its instance.
///
/// Serialised without field names, since loads are most of the traffic between entries.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(from = "(u64, u32, u32)", into = "(u64, u32, u32)")]
pub struct LoadRecord {
    /// Hash of the instance name.
    pub instance_hash: u64,
    /// Requests in progress or queued.
    pub load: u32,
    /// Time since the load was measured, in milliseconds.
    pub age_ms: u32,
}

/// Demand for a service at one entry.
///
/// Serialised without field names, since every entry sends one for each service each second.
#[apply(record!)]
#[derive(Copy)]
#[serde(from = "(u64, u64, f32, u32)", into = "(u64, u64, f32, u32)")]
pub struct DemandRecord {
    /// Hash of the name of the entry's instance.
    pub instance_hash: u64,
    /// Hash of the name of the service.
    pub service_hash: u64,
    /// First-time requests per second.
    pub per_second: f32,
    /// Time since the rate was measured, in milliseconds.
    pub age_ms: u32,
}

/// Version of a record or report, sent in place of it to a peer that may have it already.
///
/// Serialised without field names, since many of them are sent when processes start together.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct ItemVersion {
    /// Hash of the name of the instance that the item is about.
    pub instance_hash: u64,
    /// Incarnation of the item.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

/// What happened to one run of a request.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum CrashEvent {
    /// The endpoint process with this hash ended before the first part of the answer arrived.
    EndedAtStart(u64),
    /// The endpoint process with this hash ended while it was answering.
    EndedInAnswer(u64),
    /// The request is quarantined by a row of the table service: no further run may start.
    Barred,
    /// A run started after an endpoint had already ended during the same request.
    Begun,
    /// The answer was complete.
    Answered,
}

/// Event of a request during which endpoints have ended.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct CrashRecord {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// What happened to one of its runs.
    pub event: CrashEvent,
    /// Time since the event, in milliseconds.
    pub age_ms: u32,
}

/// State of an endpoint's rate limit.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum LimitState {
    /// The endpoint accepts requests up to this rate.
    Named(NamedLimit),
    /// The endpoint has withdrawn this limit.
    Ended(NamedLimit),
}

/// Rate limit of an endpoint.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct LimitRecord {
    /// Hash of the endpoint process.
    pub endpoint: u64,
    /// Whether the limit applies or has been withdrawn.
    pub state: LimitState,
    /// Time since the state was observed, in milliseconds.
    pub age_ms: u32,
}

/// An endpoint process that has announced that it leaves.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct DepartureRecord {
    /// Hash of the endpoint's instance.
    pub endpoint: u64,
    /// Start time of the process, if the endpoint reports it.
    #[serde(default)]
    pub born_at: Option<Timestamp>,
    /// Time since the sender last had the endpoint in its list, in seconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unlisted_s: u32,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// A request that is not sent to any endpoint, as stored in a row of the table service.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct QuarantinedRequest {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// When an endpoint last ended during the request.
    pub ended_at: Timestamp,
}

/// Changes since the last message over a link; also serves as the link's heartbeat.
#[apply(record!)]
#[derive(Default)]
#[serde(default)]
pub struct GossipDelta {
    /// Highest preset revision that the sender has adopted.
    pub revision: PresetRevision,
    /// Entries whose records changed.
    pub records: Vec<EntryRecord>,
    /// Endpoints whose reports changed.
    pub reports: Vec<EndpointReport>,
    /// Loads that were measured since the last message.
    pub loads: Vec<LoadRecord>,
    /// Events of requests during which endpoints have ended.
    pub crashes: Vec<CrashRecord>,
    /// Rate limits of endpoints that changed or were confirmed.
    pub limits: Vec<LimitRecord>,
    /// Versions of further records and reports that the sender has.
    pub offers: Vec<ItemVersion>,
    /// Hashes of the instances whose record or report the sender requests.
    pub wanted: Vec<u64>,
    /// Evacuations that operators have ordered or ended.
    pub evacuations: Vec<EvacuationOrder>,
    /// Endpoints that have announced that they leave.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<DepartureRecord>,
    /// Demand for services at entries, measured since the last message.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub demands: Vec<DemandRecord>,
}

impl CrashEvent {
    /// Hash of the endpoint process that ended, if the event is such an end.
    pub fn endpoint_hash(self) -> Option<u64> {
        match self {
            Self::EndedAtStart(endpoint) | Self::EndedInAnswer(endpoint) => Some(endpoint),
            Self::Barred | Self::Begun | Self::Answered => None,
        }
    }
}

impl From<(u64, u64, u64)> for ItemVersion {
    fn from((instance_hash, incarnation, sequence): (u64, u64, u64)) -> Self {
        Self { instance_hash, incarnation, sequence }
    }
}

impl From<ItemVersion> for (u64, u64, u64) {
    fn from(version: ItemVersion) -> Self {
        (version.instance_hash, version.incarnation, version.sequence)
    }
}

impl From<(u64, u32, u32)> for LoadRecord {
    fn from((instance_hash, load, age_ms): (u64, u32, u32)) -> Self {
        Self { instance_hash, load, age_ms }
    }
}

impl From<LoadRecord> for (u64, u32, u32) {
    fn from(row: LoadRecord) -> Self {
        (row.instance_hash, row.load, row.age_ms)
    }
}

impl From<(u64, u64, f32, u32)> for DemandRecord {
    fn from((instance_hash, service_hash, per_second, age_ms): (u64, u64, f32, u32)) -> Self {
        Self { instance_hash, service_hash, per_second, age_ms }
    }
}

impl From<DemandRecord> for (u64, u64, f32, u32) {
    fn from(row: DemandRecord) -> Self {
        (row.instance_hash, row.service_hash, row.per_second, row.age_ms)
    }
}

impl EntryRecord {
    /// Whether this record supersedes `known`.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        (self.incarnation, self.sequence) > (known.incarnation, known.sequence)
    }
}
