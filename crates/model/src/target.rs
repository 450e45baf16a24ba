//! Versions that operators name for a model, and how its engines work.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::{ManifestDigest, ModelVersion, RegionName};

/// Name of a model; several services may run the same one.
pub type ModelName = String;

/// The newest version that operators named for a model.
#[apply(record!)]
#[derive(Eq)]
pub struct TargetVersion {
    /// The model.
    pub model: ModelName,
    /// Rises with every version that is named for the model.
    pub number: u64,
    /// The version.
    pub version: ModelVersion,
    /// Pins its bytes, once an entry has read its manifest.
    pub manifest: Option<ManifestDigest>,
    /// Time since it was named, in milliseconds, when this was sent.
    pub age_ms: u64,
    /// How the sender knows this age.
    #[serde(default)]
    pub age_source: AgeSource,
}

/// How a process knows when a version was named.
#[apply(label!)]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum AgeSource {
    /// It found the version already there and took an age that is safe if nobody knows better.
    #[default]
    Assumed,
    /// It was told as the version was named, or by a process that was.
    Observed,
}

/// How the engines of a service work.
#[apply(record!)]
pub struct EngineProfile {
    /// The model that they run.
    pub model: ModelName,
    /// Requests that one engine answers at the same time.
    pub slots: u32,
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_per_ms: f64,
    /// Time of one step of all running requests, in milliseconds.
    pub step_ms: f64,
    /// Tokens of one event.
    pub stride: u32,
    /// Tokens of a usual answer.
    pub usual_answer: u32,
    /// The origin of its weights, if there is one.
    pub origin: Option<OriginPlace>,
}

/// Where weights come from.
#[apply(record!)]
#[derive(Eq)]
pub struct OriginPlace {
    /// Its address.
    pub addr: SocketAddr,
    /// Its region, if it is known.
    pub region: Option<RegionName>,
    /// What its link carries, in bytes per second; zero if it is not known.
    pub bytes_per_s: u64,
    /// Connections that it admits of all clients together; zero if it is not known.
    #[serde(default)]
    pub max_connections: u32,
}
