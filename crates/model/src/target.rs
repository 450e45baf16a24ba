//! Target versions of models, and performance data of engines and origins.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::{ManifestDigest, ModelVersion, RegionName};

/// Name of a model; several services may run the same model.
pub type ModelName = String;

/// The newest version of a model that operators have requested.
#[apply(record!)]
#[derive(Eq)]
pub struct TargetVersion {
    /// Name of the model.
    pub model: ModelName,
    /// Incremented with each version requested for the model.
    pub number: u64,
    /// Version to serve.
    pub version: ModelVersion,
    /// Digest of the version's manifest, once an entry has read it.
    pub manifest: Option<ManifestDigest>,
    /// Time from the request for the version to the sending of this message, in milliseconds.
    pub age_ms: u64,
    /// How the sender determined the age.
    #[serde(default)]
    pub age_source: AgeSource,
}

/// How a process determined when a version was requested.
#[apply(label!)]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum AgeSource {
    /// The version was already present when the process first read it, so the age is a safe
    /// assumption until an observed age arrives.
    #[default]
    Assumed,
    /// The process, or one that informed it, observed the request for the version.
    Observed,
}

/// Performance data of a service's engines.
#[apply(record!)]
pub struct EngineProfile {
    /// Model that the engines run.
    pub model: ModelName,
    /// Requests that an engine answers concurrently.
    pub slots: u32,
    /// Prompt tokens that an engine reads per millisecond.
    pub read_per_ms: f64,
    /// Duration of one step of all running requests, in milliseconds.
    pub step_ms: f64,
    /// Tokens per event of a stream.
    pub stride: u32,
    /// Mean length of a prompt, in tokens; zero if unknown.
    #[serde(default)]
    pub usual_prompt: u32,
    /// Typical length of an answer, in tokens.
    pub usual_answer: u32,
    /// Number of layers of the model; zero if engines cannot load a part of them.
    #[serde(default)]
    pub layers: u32,
    /// Origin of the model's weights, if there is one.
    pub origin: Option<OriginPlace>,
}

/// Address and capacity of an origin of weights.
#[apply(record!)]
#[derive(Eq)]
pub struct OriginPlace {
    /// Address of the origin.
    pub addr: SocketAddr,
    /// Region of the origin, if known.
    pub region: Option<RegionName>,
    /// Bandwidth of the origin's link in bytes per second; zero if unknown.
    pub bytes_per_s: u64,
    /// Most connections that the origin accepts from all clients together; zero if unknown.
    #[serde(default)]
    pub max_connections: u32,
}
