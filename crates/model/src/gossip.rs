//! State that entries pass on to each other over a bounded number of links.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::{
    EndpointReport, FailureDomain, InstanceId, NamedLimit, PresetRevision, RegionName,
    RequestDigest, Timestamp,
};

/// The link-state record of an entry.
#[apply(record!)]
#[derive(Eq)]
pub struct EntryRecord {
    /// The entry.
    pub instance: InstanceId,
    /// Distinguishes processes that run one after another at the instance.
    pub incarnation: u64,
    /// Rises with each change of the record within one incarnation.
    pub sequence: u64,
    /// Its region.
    pub region: RegionName,
    /// Where it stands inside the region.
    pub failure_domain: FailureDomain,
    /// Where our own processes reach it.
    pub inner_addr: SocketAddr,
    /// Where callers reach it.
    pub caller_addr: SocketAddr,
    /// Whether it leaves.
    pub leaving: bool,
    /// Whether callers may be sent there.
    pub advised: bool,
    /// Whether the table service answers it.
    pub follows_rows: bool,
    /// Entries at the other ends of its links.
    pub neighbours: Vec<InstanceId>,
    /// Agents that are connected to it.
    pub agents: Vec<InstanceId>,
}

/// Load of one process, named by the hash of its instance.
///
/// Serialised without field names: loads are most of the traffic between entries.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(from = "(u64, u32, u32)", into = "(u64, u32, u32)")]
pub struct LoadRecord {
    /// Hash of the instance's name.
    pub instance_hash: u64,
    /// Requests in progress and waiting.
    pub load: u32,
    /// Time since it was measured, in milliseconds.
    pub age_ms: u32,
}

/// What became of one run of a request.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum CrashEvent {
    /// The endpoint whose process has this hash ended before a part of the answer had come.
    EndedAtStart(u64),
    /// The endpoint whose process has this hash ended while it was answering.
    EndedInAnswer(u64),
    /// No run of the request may begin any more, by a row of the table service.
    Barred,
    /// It has begun although an endpoint has ended under the same request.
    Begun,
    /// The answer was whole.
    Answered,
}

/// What became of one run of a request under which endpoints have ended.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct CrashRecord {
    /// What was asked for.
    pub digest: RequestDigest,
    /// What became of the run.
    pub event: CrashEvent,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}

/// State of an endpoint's limit.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum LimitState {
    /// It takes no more than this.
    Named(NamedLimit),
    /// It no longer names the limit that it named.
    Ended(NamedLimit),
}

/// The limit of an endpoint.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct LimitRecord {
    /// Hash of the endpoint's process.
    pub endpoint: u64,
    /// Its state.
    pub state: LimitState,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}

/// A request that no endpoint gets any more, as a row of the table service keeps it.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct QuarantinedRequest {
    /// What was asked for.
    pub digest: RequestDigest,
    /// When an endpoint ended under it last.
    pub ended_at: Timestamp,
}

/// One message between two neighbours; also their heartbeat.
#[apply(record!)]
#[derive(Default)]
#[serde(default)]
pub struct GossipDelta {
    /// The highest preset revision that the sender has adopted.
    pub revision: PresetRevision,
    /// Entries whose records changed.
    pub records: Vec<EntryRecord>,
    /// Endpoints whose reports changed.
    pub reports: Vec<EndpointReport>,
    /// Loads that were measured since the last message.
    pub loads: Vec<LoadRecord>,
    /// Ends of endpoints under requests, and what clears these.
    pub crashes: Vec<CrashRecord>,
    /// Limits that endpoints name.
    pub limits: Vec<LimitRecord>,
}

impl CrashEvent {
    /// Hash of the endpoint that ended.
    pub fn endpoint_hash(self) -> Option<u64> {
        match self {
            Self::EndedAtStart(endpoint) | Self::EndedInAnswer(endpoint) => Some(endpoint),
            Self::Barred | Self::Begun | Self::Answered => None,
        }
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

impl EntryRecord {
    /// Whether this record replaces `known`.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        (self.incarnation, self.sequence) > (known.incarnation, known.sequence)
    }
}
