//! Presets and the preset in force.
//!
//! Operators store several presets, of which exactly one is in force. Each change
//! of the preset in force has a revision, and revisions form one linear history.

use std::{collections::BTreeMap, sync::Arc};

use macro_rules_attribute::apply;

use crate::{
    CallerTable, ChangeId, Deadline, EngineProfile, FindingList, ManifestDigest, ModelVersion,
    OperatorName, PresetName, ServiceName, Timestamp,
};

/// Position in the history of changes of the preset in force.
#[apply(label!)]
#[derive(Default)]
#[serde(transparent)]
pub struct PresetRevision(pub u64);

/// Kind of the endpoints of a service.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines whose weights cassiawheel distributes.
    Model,
    /// Plain services, to which requests are routed and no weights are distributed.
    Plain,
}

/// Target state of a service under a preset.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct ServiceTarget {
    /// Kind of the endpoints.
    pub kind: ServiceKind,
    /// Model version to serve; required for models, not allowed for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ModelVersion>,
    /// Digest of the version's manifest, once known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub manifest: Option<ManifestDigest>,
    /// Number of replicas that should serve the version.
    pub replicas: u32,
    /// Time by which the replicas must be ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready_by: Option<Deadline>,
    /// Most requests in progress at one replica.
    #[serde(default = "default_limit")]
    pub max_in_flight: u32,
    /// Number of further endpoints that hold the version as well; if absent, all endpoints of the
    /// service hold it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spares: Option<u32>,
    /// Percentage of the endpoints that continues to serve while versions are switched.
    #[serde(default = "default_serving_percent")]
    pub serving_percent: u32,
    /// Performance data of the service's engines, if the platform provides them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineProfile>,
}

fn default_serving_percent() -> u32 {
    50
}

fn default_limit() -> u32 {
    32
}

/// Content of a preset as written by an operator.
#[apply(record!)]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct PresetContent {
    /// Target states by service name.
    pub services: BTreeMap<ServiceName, ServiceTarget>,
    /// Routes and API keys, if requests are routed by host and path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<Arc<CallerTable>>,
}

/// Largest number of replicas of a service.
pub const MAX_REPLICAS: u32 = 100_000;

impl PresetContent {
    /// Checks the content and returns all findings.
    pub fn check(&self, source: &str) -> FindingList {
        let mut findings = FindingList::new(source);
        findings.require(!self.services.is_empty(), "services", "must name at least one service");
        for (name, target) in &self.services {
            target.check(&format!("services.{name}"), &mut findings);
        }
        findings
    }
}

impl ServiceTarget {
    fn check(&self, path: &str, findings: &mut FindingList) {
        match (self.kind, &self.version) {
            (ServiceKind::Model, None) => {
                findings.push(format_args!("{path}.version"), "a model service needs a version");
            }
            (ServiceKind::Plain, Some(_)) => {
                findings.push(format_args!("{path}.version"), "a plain service has no version");
            }
            _ => {}
        }
        findings.require(
            (1..=MAX_REPLICAS).contains(&self.replicas),
            format_args!("{path}.replicas"),
            format_args!("must lie between 1 and {MAX_REPLICAS}, is {}", self.replicas),
        );
        findings.require(
            self.serving_percent <= 100,
            format_args!("{path}.serving_percent"),
            format_args!("must be at most 100, is {}", self.serving_percent),
        );
        findings.require(
            self.max_in_flight >= 1,
            format_args!("{path}.max_in_flight"),
            "must be at least 1",
        );
    }
}

/// The preset in force, with the change that put it in force.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct ForcedPreset {
    /// Position of the change in the history.
    pub revision: PresetRevision,
    /// Name of the preset.
    pub preset: PresetName,
    /// Content of the preset at the time of the change.
    pub content: PresetContent,
    /// Identifies the change that put the preset in force.
    pub change: ChangeId,
    /// Operator who made the change.
    pub operator: OperatorName,
    /// Time of the change.
    pub changed_at: Timestamp,
}
