//! The versions that operators named, and until when older ones may answer.
//!
//! A version may be named before the one before it is everywhere. Each has its
//! own deadline, after which nothing older may answer; naming a newer one does
//! not put off the deadline of an earlier one.

use std::{collections::BTreeMap, time::Duration};

use cassiawheel_model::{
    AgeSource, Deadline, ManifestDigest, ModelName, ModelVersion, TargetVersion, Timestamp,
};

use crate::plan::{RolloutSchedule, ScheduledVersion};

/// Versions of a model that are remembered; older ones have long been replaced.
const REMEMBERED: usize = 8;

/// A version that was named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// Rises with every version that is named.
    pub number: u64,
    /// The version.
    pub version: ModelVersion,
    /// Pins its bytes, once known.
    pub manifest: Option<ManifestDigest>,
    /// From when on no older version may answer.
    pub exclusive_from: Deadline,
    named_at: Timestamp,
    age_source: AgeSource,
}

/// The versions of each model, the newest last.
#[derive(Debug, Clone, Default)]
pub struct VersionRegistry {
    models: BTreeMap<ModelName, Vec<VersionRecord>>,
}

impl VersionRegistry {
    /// Takes in a named version; true if it or its manifest was not known.
    ///
    /// `span` is the time after which no older version may answer.
    pub fn record(&mut self, named: &TargetVersion, span: Duration, now: Timestamp) -> bool {
        let named_at = Timestamp(now.0.saturating_sub(named.age_ms));
        let fresh = VersionRecord {
            number: named.number,
            version: named.version.clone(),
            manifest: named.manifest,
            exclusive_from: named_at.deadline_after(span),
            named_at,
            age_source: named.age_source,
        };
        let versions = self.models.entry(named.model.clone()).or_default();
        let position = versions.partition_point(|known| known.number < fresh.number);
        if let Some(known) = versions.get_mut(position).filter(|k| k.number == fresh.number) {
            return known.merge(&fresh);
        }
        versions.insert(position, fresh);
        if versions.len() > REMEMBERED {
            versions.remove(0);
        }
        true
    }

    /// The newest version of `model`.
    pub fn newest(&self, model: &str) -> Option<&VersionRecord> {
        self.models.get(model)?.last()
    }

    /// The only versions of `model` that may answer now; none if all may.
    pub fn allowed(&self, model: &str, now: Timestamp) -> Option<Vec<ModelVersion>> {
        let versions = self.models.get(model)?;
        let oldest = versions.iter().rposition(|known| known.exclusive_from.is_past(now))?;
        if oldest == 0 {
            // Nothing older was ever heard of.
            return None;
        }
        Some(versions[oldest..].iter().map(|known| known.version.clone()).collect())
    }

    /// From when on `version` of `model` may not answer any more, if that is known.
    pub fn expires_at(&self, model: &str, version: &ModelVersion) -> Option<Deadline> {
        let versions = self.models.get(model)?;
        let position = versions.iter().position(|known| known.version == *version)?;
        versions[position + 1..].iter().map(|newer| newer.exclusive_from).min()
    }

    /// What the versions of `model` ask of a plan.
    pub fn schedule(&self, model: &str, now: Timestamp) -> Option<RolloutSchedule> {
        let versions = self.models.get(model)?;
        let names = versions.iter().map(|known| known.version.clone());
        let retired = match self.allowed(model, now) {
            Some(allowed) => names.filter(|name| !allowed.contains(name)).collect(),
            None => Vec::new(),
        };
        let scheduled = versions.iter().map(|known| ScheduledVersion {
            version: known.version.clone(),
            manifest: known.manifest,
            exclusive_from: known.exclusive_from,
        });
        Some(RolloutSchedule { versions: scheduled.collect(), retired, now })
    }

    /// All versions that are remembered, as other processes have to know them.
    pub fn named(&self, now: Timestamp) -> Vec<TargetVersion> {
        let of_model = |(model, versions): (&ModelName, &Vec<VersionRecord>)| {
            let named = versions.iter().map(|known| known.named(model, now));
            named.collect::<Vec<_>>()
        };
        self.models.iter().flat_map(of_model).collect()
    }
}

impl VersionRecord {
    /// Takes in what another process knows of the same version; true if the manifest is new.
    fn merge(&mut self, other: &Self) -> bool {
        self.merge_age(other);
        let is_pinned = self.manifest.is_none() && other.manifest.is_some();
        self.manifest = self.manifest.or(other.manifest);
        is_pinned
    }

    /// Takes the better knowledge of when the version was named.
    ///
    /// A process that starts just after a version was named finds it there and
    /// has to assume an age of seconds. If that went before what others
    /// observed, all entries would bar the older version seconds too early,
    /// while engines that may still serve it stand idle: callers would be
    /// refused everywhere until the new version has arrived. Among equal
    /// knowledge the older age counts, since a word may come late but not early.
    fn merge_age(&mut self, other: &Self) {
        let takes_other = match (self.age_source, other.age_source) {
            (AgeSource::Assumed, AgeSource::Observed) => true,
            (AgeSource::Observed, AgeSource::Assumed) => false,
            (AgeSource::Assumed, AgeSource::Assumed)
            | (AgeSource::Observed, AgeSource::Observed) => other.named_at < self.named_at,
        };
        if takes_other {
            self.named_at = other.named_at;
            self.exclusive_from = other.exclusive_from;
            self.age_source = other.age_source;
        }
    }

    fn named(&self, model: &str, now: Timestamp) -> TargetVersion {
        TargetVersion {
            model: model.to_owned(),
            number: self.number,
            version: self.version.clone(),
            manifest: self.manifest,
            age_ms: now.since(self.named_at).as_millis() as u64,
            age_source: self.age_source,
        }
    }
}
