//! Messages about presets, plans and membership.

use std::{net::SocketAddr, sync::Arc};

use cassiawheel_model::{
    EndpointReport, FailureDomain, ForcedPreset, GossipDelta, InstanceId, ListedRow, LoadReport,
    ManifestDigest, ModelVersion, OriginPlace, PresetRevision, RegionName, TargetVersion,
    WeightManifest, record,
};
use macro_rules_attribute::apply;

/// A control message between entries and agents.
#[apply(record!)]
#[serde(rename_all = "kebab-case")]
pub enum ControlMessage {
    /// Agent to entry: full heartbeat with the endpoint's state.
    Report(Box<EndpointReport>),
    /// Agent to entry: short heartbeat; only the load has changed since the last full report.
    Beat(LoadReport),
    /// Requests a full heartbeat, since the sender has none that a short one could refer to.
    ReportWanted,
    /// Entry to agent: limits how often the load is reported.
    LoadWanted {
        /// Minimum interval between two load reports, in milliseconds.
        every_ms: u64,
    },
    /// Agent or entry to entry: the process is shutting down and takes no new work.
    Leaving {
        /// Instance that is shutting down.
        instance: InstanceId,
        /// Process that is shutting down; a later process at the instance is not affected.
        incarnation: u64,
    },
    /// Entry to entry or agent: an operator has requested that an instance be drained.
    Drain {
        /// Instance to drain.
        instance: InstanceId,
    },
    /// Entry to entry or agent: the newest preset in force known to the sender.
    Force(Arc<ForcedPreset>),
    /// Entry to entry: short heartbeat; only the requests in progress have changed since the last
    /// full heartbeat on this connection.
    EntryAlive {
        /// Requests in progress at the sender.
        in_flight: u32,
    },
    /// Entry to entry: full heartbeat of the sender.
    EntryBeat {
        /// Instance of the entry.
        instance: InstanceId,
        /// Identifies the process; a later process at the same instance has a higher value.
        incarnation: u64,
        /// Address for callers.
        caller_addr: SocketAddr,
        /// Failure domain of the entry.
        failure_domain: FailureDomain,
        /// Highest preset revision that the entry has adopted.
        revision: PresetRevision,
        /// Requests in progress at the sender.
        in_flight: u32,
        /// Whether the entry is shutting down, in case its `Leaving` message was lost.
        leaving: bool,
        /// Whether the entry may be returned to callers that ask for addresses.
        advised: bool,
        /// Address for agents and other entries.
        inner_addr: SocketAddr,
    },
    /// Entry to agent: the weights to stage or serve.
    Order(WeightOrder),
    /// Entry to agent: other agents that stage or hold the same weights.
    Peers(Vec<EndpointAddress>),
    /// Entry to entry: requests the preset in force, since a heartbeat contained a newer revision.
    PresetWanted,
    /// Entry to entry: the target version of a model.
    Named(TargetVersion),
    /// Entry to entry: changes in the platform's list of endpoints.
    Listing {
        /// Changed rows; all rows if `base` is zero.
        rows: Vec<ListedRow>,
        /// Position from which these rows bring a copy of the list up to `position`.
        base: u64,
        /// Position of the list after these rows.
        position: u64,
        /// Time since the list was read from the platform, in milliseconds.
        age_ms: u64,
        /// Era of the store to which the positions belong; missing from senders without eras.
        #[serde(default)]
        era: Option<u64>,
        /// Era to which the base belongs, if it is another one.
        #[serde(default)]
        base_era: Option<u64>,
        /// Endpoints whose rows have vanished up to `position`, with the time in which they may
        /// return, in milliseconds.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        missing: Vec<(InstanceId, u64)>,
    },
    /// Entry to entry: requests the complete list.
    ListingWanted,
    /// Agent or entry to entry: requests a manifest.
    ManifestWanted {
        /// Digest of the manifest.
        manifest: ManifestDigest,
    },
    /// Entry to agent or entry: a manifest read from the origin.
    Manifest(Arc<WeightManifest>),
    /// Entry to agent or entry: the sender does not have the requested manifest.
    ManifestUnknown {
        /// Digest of the manifest.
        manifest: ManifestDigest,
    },
    /// Entry to agent: internal addresses of the entries that it may connect to.
    Entries(Vec<SocketAddr>),
    /// Agent to entry: requests the addresses of the entries in a region.
    EntriesWanted {
        /// Region of the agent.
        region: RegionName,
    },
    /// Entry to entry: changes since the last message over this link.
    Gossip(Box<GossipDelta>),
    /// Entry to entry: a message that is flooded to all entries.
    Flood(Box<FloodMessage>),
    /// Entry to entry: orders for the agents that are connected to the receiver.
    Orders(Vec<EndpointOrder>),
}

/// A message that each entry forwards to its neighbours once.
#[apply(record!)]
pub struct FloodMessage {
    /// Instance of the entry that created the message.
    pub origin: InstanceId,
    /// Identifies the process that created the message; a later one has a higher value.
    pub incarnation: u64,
    /// Sequence number of the message within that process.
    pub number: u64,
    /// Content of the message.
    pub content: ControlMessage,
}

/// An order together with its recipient.
#[apply(record!)]
#[derive(Eq)]
pub struct EndpointOrder {
    /// Endpoint that the order is for.
    pub instance: InstanceId,
    /// Order for the endpoint.
    pub order: WeightOrder,
}

/// Tells an endpoint which weights to stage or serve.
#[apply(record!)]
#[derive(Eq)]
pub struct WeightOrder {
    /// Version of the weights.
    pub version: ModelVersion,
    /// Digest of the version's manifest.
    pub manifest: ManifestDigest,
    /// Fencing token; an order with a lower token than a previous one is refused.
    pub fencing: u64,
    /// Whether to serve the version once it is staged, rather than only to stage it.
    pub serve: bool,
    /// Origin of the weights, if it is defined by the preset.
    #[serde(default)]
    pub origin: Option<OriginPlace>,
    /// Number of layers of the model; zero if the engine can only load all of them.
    #[serde(default)]
    pub layers: u32,
    /// The version that the endpoint serves, if it may not answer any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retired: Option<ModelVersion>,
    /// Whether weights that a former process of the agent has loaded must be loaded again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub distrusts_held: bool,
}

/// Address and location of an agent, for transfers of weights.
#[apply(record!)]
#[derive(Eq)]
pub struct EndpointAddress {
    /// Instance of the agent.
    pub instance: InstanceId,
    /// Internal address of the agent.
    pub inner_addr: SocketAddr,
    /// Failure domain of the agent.
    pub failure_domain: FailureDomain,
    /// Region of the agent.
    pub region: RegionName,
}

impl ControlMessage {
    /// Name of the kind of message, as used in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::Beat(_) => "beat",
            Self::ReportWanted => "report-wanted",
            Self::LoadWanted { .. } => "load-wanted",
            Self::Leaving { .. } => "leaving",
            Self::Drain { .. } => "drain",
            Self::Force(_) => "preset",
            Self::EntryAlive { .. } => "entry-alive",
            Self::EntryBeat { .. } => "entry-beat",
            Self::Order(_) => "order",
            Self::Peers(_) => "peers",
            Self::PresetWanted => "preset-wanted",
            Self::Named(_) => "version",
            Self::Listing { .. } => "listing",
            Self::ListingWanted => "listing-wanted",
            Self::ManifestWanted { .. } => "manifest-wanted",
            Self::Manifest(_) => "manifest",
            Self::ManifestUnknown { .. } => "manifest-unknown",
            Self::Entries(_) => "entries",
            Self::EntriesWanted { .. } => "entries-wanted",
            Self::Gossip(_) => "gossip",
            Self::Flood(message) => message.content.kind(),
            Self::Orders(_) => "orders",
        }
    }
}
