//! What an endpoint's agent tells about itself.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::{
    FailureDomain, InstanceId, ManifestDigest, ModelVersion, PresetRevision, RegionName,
    ServiceName, Timestamp,
};

/// What an endpoint is there for.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointRole {
    /// Runs a model engine.
    Model,
    /// Runs a plain service.
    Plain,
}

/// State of the weights at an endpoint, as its agent's gate knows it.
#[apply(record!)]
#[derive(Eq)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// No weights are loaded.
    Empty,
    /// Serves requests; plain services have no version.
    Serving {
        /// The version in the engine.
        version: Option<ModelVersion>,
        /// Counts the commits at this endpoint.
        generation: u64,
    },
    /// Exchanges the weights; no request starts.
    Switching,
    /// Leaves; requests in progress finish, none starts.
    Draining,
}

/// Load of an endpoint, as its engine reported it.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct LoadReport {
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests that wait in the engine.
    pub queued: u32,
    /// When the engine measured this.
    pub measured_at: Timestamp,
}

/// Everything that an agent reports in a heartbeat.
#[apply(record!)]
pub struct EndpointReport {
    /// The instance.
    pub instance: InstanceId,
    /// Distinguishes processes that run one after another at the same instance.
    pub incarnation: u64,
    /// Rises with each whole report within one incarnation.
    #[serde(default)]
    pub sequence: u64,
    /// Where it stands.
    pub region: RegionName,
    /// Where it stands inside the region.
    pub failure_domain: FailureDomain,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// Model engine or plain service.
    pub role: EndpointRole,
    /// Where other agents fetch chunks from it.
    pub inner_addr: SocketAddr,
    /// Where its engine is reached, if requests go there without the agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint_addr: Option<SocketAddr>,
    /// State of its weights.
    pub state: EndpointState,
    /// The manifest being staged or already staged, if any.
    pub staged: Option<StagedWeights>,
    /// Load of its engine.
    pub load: LoadReport,
    /// The highest preset revision that it knows.
    pub revision: PresetRevision,
    /// Fencing token of the newest order that it knows; zero if none.
    pub order: u64,
    /// The manifest that this order names.
    #[serde(default)]
    pub ordered: Option<ManifestDigest>,
    /// Highest fencing token that its engine has carried out.
    #[serde(default)]
    pub engine_fencing: u64,
    /// Requests that its gate admits at a time.
    pub limit: u32,
}

impl EndpointReport {
    /// Whether this report replaces `known`.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        (self.incarnation, self.sequence) > (known.incarnation, known.sequence)
    }
}

/// How much of a manifest an endpoint holds.
#[apply(record!)]
#[derive(Eq)]
pub struct StagedWeights {
    /// The version.
    pub version: ModelVersion,
    /// The manifest.
    pub manifest: ManifestDigest,
    /// Verified chunks.
    pub chunks_ready: u32,
    /// Chunks in the manifest.
    pub chunks_total: u32,
}

/// Thousandths of a request a second in one request a second.
const MILLI: f64 = 1_000.0;

/// Requests that an endpoint takes from all entries together, in thousandths a second.
#[apply(label!)]
#[serde(transparent)]
pub struct NamedLimit(pub u32);

impl NamedLimit {
    /// The limit of `rate` requests a second; none if that is no rate.
    pub fn from_rate(rate: f64) -> Option<Self> {
        // Conversion saturates, so that a rate beyond all use stays one.
        (rate.is_finite() && rate >= 0.0).then_some(Self((rate * MILLI) as u32))
    }

    /// Requests a second.
    pub fn rate(self) -> f64 {
        f64::from(self.0) / MILLI
    }
}
