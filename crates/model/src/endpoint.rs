//! State that an agent reports about its endpoint.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::{
    FailureDomain, InstanceId, LoadedLayers, ManifestDigest, ModelVersion, PresetRevision,
    RegionName, ServiceName, Timestamp,
};

/// What runs behind an agent.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointRole {
    /// A model engine, whose weights cassiawheel distributes.
    Model,
    /// A plain service without weights.
    Plain,
}

/// State of an endpoint, as known to the agent's admission gate.
#[apply(record!)]
#[derive(Eq)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// No weights are loaded.
    Empty,
    /// Requests are served; plain services have no version.
    Serving {
        /// Version that the engine serves.
        version: Option<ModelVersion>,
        /// Incremented with each switch of weights at this endpoint.
        generation: u64,
    },
    /// The weights are being switched; no request is started.
    Switching,
    /// Shutting down: requests in progress are finished, none is started.
    Draining,
}

/// How an endpoint came to hold its weights.
#[apply(label!)]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum WeightsBasis {
    /// The reporting process has loaded them.
    #[default]
    Loaded,
    /// A former process has loaded them.
    Adopted,
    /// A load was begun, and is not known to have taken intact chunks.
    Unproved,
}

impl WeightsBasis {
    fn is_loaded(&self) -> bool {
        *self == Self::Loaded
    }
}

/// Load of an endpoint, as reported by its engine.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct LoadReport {
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests queued in the engine.
    pub queued: u32,
    /// When the load was measured.
    pub measured_at: Timestamp,
}

/// Content of an agent's full heartbeat.
#[apply(record!)]
pub struct EndpointReport {
    /// Instance of the agent.
    pub instance: InstanceId,
    /// Identifies the process; a later process at the same instance has a higher value.
    pub incarnation: u64,
    /// Incremented with each full report within an incarnation.
    #[serde(default)]
    pub sequence: u64,
    /// Region of the endpoint.
    pub region: RegionName,
    /// Failure domain inside the region.
    pub failure_domain: FailureDomain,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Model engine or plain service.
    pub role: EndpointRole,
    /// Address from which other agents fetch chunks.
    pub inner_addr: SocketAddr,
    /// Address of the engine, if entries send requests to it directly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint_addr: Option<SocketAddr>,
    /// Whether and with which version the endpoint serves.
    pub state: EndpointState,
    /// Manifest that is being staged or is staged, if any.
    pub staged: Option<StagedWeights>,
    /// Load of the engine.
    pub load: LoadReport,
    /// Highest preset revision known to the agent.
    pub revision: PresetRevision,
    /// Fencing token of the newest order received; zero if none.
    pub order: u64,
    /// Manifest named by that order.
    #[serde(default)]
    pub ordered: Option<ManifestDigest>,
    /// Highest fencing token of an order that the engine has carried out.
    #[serde(default)]
    pub engine_fencing: u64,
    /// Most requests that the agent admits at a time.
    pub limit: u32,
    /// Layers that the engine has loaded, if it has loaded some but not all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layers: Option<LoadedLayers>,
    /// How the endpoint came to hold its weights.
    #[serde(default, skip_serializing_if = "WeightsBasis::is_loaded")]
    pub basis: WeightsBasis,
}

impl EndpointReport {
    /// Whether this report supersedes `known`.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        (self.incarnation, self.sequence) > (known.incarnation, known.sequence)
    }

    /// Whether requests are routed to the endpoint by this report as by `other`.
    pub fn routes_alike(&self, other: &Self) -> bool {
        self.state == other.state
            && self.layers == other.layers
            && self.is_unproved() == other.is_unproved()
    }

    /// Whether the weights may be corrupt.
    pub fn is_unproved(&self) -> bool {
        self.basis == WeightsBasis::Unproved
    }

    /// Whether the process was loading weights when it sent this report.
    pub fn is_loading(&self) -> bool {
        self.state == EndpointState::Switching || self.is_unproved()
    }
}

/// How much of a manifest an endpoint holds.
#[apply(record!)]
#[derive(Eq)]
pub struct StagedWeights {
    /// Version that the weights belong to.
    pub version: ModelVersion,
    /// Digest of the manifest.
    pub manifest: ManifestDigest,
    /// Number of verified chunks.
    pub chunks_ready: u32,
    /// Number of chunks in the manifest.
    pub chunks_total: u32,
}

/// Factor between requests per second and thousandths of them.
const MILLI: f64 = 1_000.0;

/// Rate at which an endpoint accepts requests from all entries together, in thousandths of a
/// request per second.
#[apply(label!)]
#[serde(transparent)]
pub struct NamedLimit(pub u32);

impl NamedLimit {
    /// Converts from requests per second; `None` if `rate` is negative or not finite.
    pub fn from_rate(rate: f64) -> Option<Self> {
        // The conversion saturates, so a rate that is too large becomes the maximum.
        (rate.is_finite() && rate >= 0.0).then_some(Self((rate * MILLI) as u32))
    }

    /// The limit in requests per second.
    pub fn rate(self) -> f64 {
        f64::from(self.0) / MILLI
    }
}
