//! Presets, plans and membership.

use std::{net::SocketAddr, sync::Arc};

use cassiawheel_model::{
    EndpointReport, FailureDomain, ForcedPreset, GossipDelta, InstanceId, ListedRow, LoadReport,
    ManifestDigest, ModelVersion, OriginPlace, PresetRevision, RegionName, TargetVersion,
    WeightManifest, record,
};
use macro_rules_attribute::apply;

/// Control traffic between entries and agents.
#[apply(record!)]
#[serde(rename_all = "kebab-case")]
pub enum ControlMessage {
    /// Agent to entry: a heartbeat with the endpoint's whole state.
    Report(Box<EndpointReport>),
    /// Agent to entry: a heartbeat; the last whole report still holds but for this load.
    Beat(LoadReport),
    /// The sender has no whole heartbeat that a short one could refer to.
    ReportWanted,
    /// Entry to agent: loads are wanted no more often than this.
    LoadWanted {
        /// Time between two of them, in milliseconds.
        every_ms: u64,
    },
    /// Agent or entry to entry: no new work from now on.
    Leaving {
        /// Who leaves.
        instance: InstanceId,
        /// Which process there; one that starts later does not leave.
        incarnation: u64,
    },
    /// Entry to entry or agent: an operator wants this instance's process to leave.
    Drain {
        /// Who has to leave.
        instance: InstanceId,
    },
    /// Entry to entry or agent: the preset in force, as far as the sender knows.
    Force(Arc<ForcedPreset>),
    /// Entry to entry: a heartbeat; the last whole one over this connection still holds but for
    /// the requests in progress.
    EntryAlive {
        /// Requests in progress there.
        in_flight: u32,
    },
    /// Entry to entry: the sender's whole heartbeat.
    EntryBeat {
        /// The entry.
        instance: InstanceId,
        /// Distinguishes processes that run one after another at the instance.
        incarnation: u64,
        /// Where callers reach it.
        caller_addr: SocketAddr,
        /// Where it stands.
        failure_domain: FailureDomain,
        /// The highest revision that it has adopted.
        revision: PresetRevision,
        /// Requests in progress there.
        in_flight: u32,
        /// Whether it leaves; repeats a word of leaving that was lost.
        leaving: bool,
        /// Whether callers may be sent there.
        advised: bool,
        /// Where our own processes reach it.
        inner_addr: SocketAddr,
    },
    /// Entry to agent: which weights to hold and to serve.
    Order(WeightOrder),
    /// Entry to agent: agents that stage or hold the same weights.
    Peers(Vec<EndpointAddress>),
    /// Entry to entry: the preset in force is wanted, since a heartbeat told a newer one.
    PresetWanted,
    /// Entry to entry: a version that was named for a model.
    Named(TargetVersion),
    /// Entry to entry: what changed in the platform's list of endpoints.
    Listing {
        /// The rows that changed; all rows if `base` is zero.
        rows: Vec<ListedRow>,
        /// Whoever knows the list up to here knows it up to `position` with these rows.
        base: u64,
        /// Where the list stands with them.
        position: u64,
        /// Time since the platform was asked, in milliseconds.
        age_ms: u64,
    },
    /// Entry to entry: the whole list is wanted.
    ListingWanted,
    /// Agent or entry to entry: the manifest with this digest is wanted.
    ManifestWanted {
        /// Its digest.
        manifest: ManifestDigest,
    },
    /// Entry to agent or entry: a manifest that an entry has read from the origin.
    Manifest(Arc<WeightManifest>),
    /// Entry to agent or entry: the sender does not have the manifest with this digest.
    ManifestUnknown {
        /// Its digest.
        manifest: ManifestDigest,
    },
    /// Entry to agent: inner addresses of the entries that it may connect to.
    Entries(Vec<SocketAddr>),
    /// Agent to entry: the entries of this region are wanted.
    EntriesWanted {
        /// The agent's region.
        region: RegionName,
    },
    /// Entry to entry: what changed since the last message over this link.
    Gossip(Box<GossipDelta>),
    /// Entry to entry: a message for every entry.
    Flood(Box<FloodMessage>),
    /// Entry to entry: orders for the agents that are connected to the receiver.
    Orders(Vec<EndpointOrder>),
}

/// A message that each entry passes on to its neighbours once.
#[apply(record!)]
pub struct FloodMessage {
    /// Who sent it first.
    pub origin: InstanceId,
    /// Distinguishes processes that run one after another there.
    pub incarnation: u64,
    /// Rises with each message of that process.
    pub number: u64,
    /// The message.
    pub content: ControlMessage,
}

/// An order and the endpoint that it is for.
#[apply(record!)]
#[derive(Eq)]
pub struct EndpointOrder {
    /// The endpoint.
    pub instance: InstanceId,
    /// The order.
    pub order: WeightOrder,
}

/// Which weights an endpoint has to hold.
#[apply(record!)]
#[derive(Eq)]
pub struct WeightOrder {
    /// The version.
    pub version: ModelVersion,
    /// Pins its bytes.
    pub manifest: ManifestDigest,
    /// Rises with each newer order; an older one is refused.
    pub fencing: u64,
    /// Whether to serve the version once it is staged, or only to stage it.
    pub serve: bool,
    /// The origin of weights, where it comes with the preset.
    #[serde(default)]
    pub origin: Option<OriginPlace>,
}

/// Where an agent is reached by other agents.
#[apply(record!)]
#[derive(Eq)]
pub struct EndpointAddress {
    /// The instance.
    pub instance: InstanceId,
    /// Its inner address.
    pub inner_addr: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: RegionName,
}
