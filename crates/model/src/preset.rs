//! Presets and the one that is in force.
//!
//! Operators keep several presets; exactly one is in force. Each change of the
//! one in force has a revision, and revisions form one linear history.

use std::{collections::BTreeMap, sync::Arc};

use macro_rules_attribute::apply;

use crate::{
    CallerTable, ChangeId, Deadline, EngineProfile, FindingList, ManifestDigest, ModelVersion,
    OperatorName, PresetName, ServiceName, Timestamp,
};

/// Position of a change in the history of the preset in force.
#[apply(label!)]
#[derive(Default)]
#[serde(transparent)]
pub struct PresetRevision(pub u64);

/// What kind of endpoint serves a service.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines whose weights cassiawheel distributes.
    Model,
    /// Plain services, which are only routed to.
    Plain,
}

/// What one service serves under a preset.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct ServiceTarget {
    /// Whether model engines or plain services serve it.
    pub kind: ServiceKind,
    /// The model version to serve; required for models, forbidden for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ModelVersion>,
    /// The manifest that pins the version's bytes, once known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub manifest: Option<ManifestDigest>,
    /// Replicas wanted.
    pub replicas: u32,
    /// When the replicas have to be ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready_by: Option<Deadline>,
    /// Requests that may be in progress at one replica.
    #[serde(default = "default_limit")]
    pub max_in_flight: u32,
    /// Endpoints beyond the replicas that hold the version too; all of the
    /// service's endpoints if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spares: Option<u32>,
    /// Share of the endpoints, in percent, that goes on serving during a switch of versions.
    #[serde(default = "default_serving_percent")]
    pub serving_percent: u32,
    /// How the service's engines work, where the platform tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineProfile>,
}

fn default_serving_percent() -> u32 {
    50
}

fn default_limit() -> u32 {
    32
}

/// What an operator writes: the services of one preset.
#[apply(record!)]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct PresetContent {
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceTarget>,
    /// Routes and keys of callers, where callers reach services by host and path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<Arc<CallerTable>>,
}

/// Most replicas that a preset may ask for in one service.
pub const MAX_REPLICAS: u32 = 100_000;

impl PresetContent {
    /// Collects everything that is wrong with the content.
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

/// The preset in force.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct ForcedPreset {
    /// Position in the history.
    pub revision: PresetRevision,
    /// The preset's name.
    pub preset: PresetName,
    /// Its content at the time of the change.
    pub content: PresetContent,
    /// The change that put it in force.
    pub change: ChangeId,
    /// Who made the change.
    pub operator: OperatorName,
    /// When it was made.
    pub changed_at: Timestamp,
}
