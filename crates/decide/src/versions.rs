//! Versions named by operators, and until when older versions may answer.
//!
//! A version may be named before its predecessor is fully rolled out. Each version has
//! its own deadline, after which no older version may answer; naming a newer version
//! does not extend the deadline of an earlier one.

use std::{collections::BTreeMap, time::Duration};

use cassiawheel_model::{
    AgeSource, Deadline, ManifestDigest, ModelName, ModelVersion, TargetVersion, Timestamp,
};

use crate::plan::{RolloutSchedule, ScheduledVersion};

/// Versions kept for each model; older ones have long been replaced.
const MAX_VERSIONS: usize = 8;

/// Newest versions of each model that agents may still be fetching.
const FETCHED_VERSIONS: usize = 2;

/// Assumed time in which a version can be fetched, in milliseconds.
const DEFAULT_COPY_MS: u64 = 3_000;

/// A named version of a model and its deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// Sequence number, increasing with every named version.
    pub number: u64,
    /// Name of the version.
    pub version: ModelVersion,
    /// Digest of its manifest, once known.
    pub manifest: Option<ManifestDigest>,
    /// Time from which no older version may answer.
    pub exclusive_from: Deadline,
    named_at: Timestamp,
    age_source: AgeSource,
}

/// Known versions of each model.
#[derive(Debug, Clone, Default)]
pub struct VersionRegistry {
    models: BTreeMap<ModelName, ModelVersions>,
}

/// Known versions of one model, newest last.
#[derive(Debug, Clone, Default)]
struct ModelVersions {
    versions: Vec<VersionRecord>,
    /// Highest number that was dropped; lower ones are old, whether they were ever known or not.
    dropped: Option<u64>,
}

impl VersionRegistry {
    /// Records a named version; returns whether it or its manifest is new.
    ///
    /// A version older than all that are kept is not new: if each entry passed it on again
    /// whenever it arrives, the entries would send it to each other without end.
    ///
    /// `span` is the time from naming the version until no older one may answer.
    pub fn record(&mut self, named: &TargetVersion, span: Duration, now: Timestamp) -> bool {
        let named_at = Timestamp(now.0.saturating_sub(named.age_ms));
        let recorded = VersionRecord {
            number: named.number,
            version: named.version.clone(),
            manifest: named.manifest,
            exclusive_from: named_at.deadline_after(span),
            named_at,
            age_source: named.age_source,
        };
        let known = self.models.entry(named.model.clone()).or_default();
        if known.dropped.is_some_and(|dropped| recorded.number <= dropped) {
            return false;
        }
        let versions = &mut known.versions;
        let position = versions.partition_point(|known| known.number < recorded.number);
        if let Some(known) =
            versions.get_mut(position).filter(|known| known.number == recorded.number)
        {
            return known.merge(&recorded);
        }
        versions.insert(position, recorded);
        if versions.len() <= MAX_VERSIONS {
            return true;
        }
        known.dropped = Some(versions.remove(0).number);
        position > 0
    }

    /// Returns the newest version of `model` whose manifest is known.
    ///
    /// Until the manifest of a newer one has been read, no endpoint can fetch it.
    pub fn newest_pinned(&self, model: &str) -> Option<&VersionRecord> {
        self.versions_of(model)?.iter().rfind(|known| known.manifest.is_some())
    }

    /// Returns the newest version of `model`.
    pub fn newest(&self, model: &str) -> Option<&VersionRecord> {
        self.versions_of(model)?.last()
    }

    /// Whether agents may still be fetching a version, so that its manifest is needed.
    pub fn may_be_fetched(&self, model: &str, number: u64) -> bool {
        let newest = self.versions_of(model).unwrap_or_default().iter().rev();
        newest.take(FETCHED_VERSIONS).any(|known| known.number == number)
    }

    /// Returns the only versions of `model` that may answer now; `None` if all may.
    pub fn allowed(&self, model: &str, now: Timestamp) -> Option<Vec<ModelVersion>> {
        let ModelVersions { versions, dropped } = self.models.get(model)?;
        let oldest = versions.iter().rposition(|known| known.exclusive_from.is_past(now))?;
        if oldest == 0 && dropped.is_none() {
            // No older version is known that could be excluded.
            return None;
        }
        Some(versions[oldest..].iter().map(|known| known.version.clone()).collect())
    }

    /// Returns when `version` of `model` must stop answering, if that is known.
    pub fn expires_at(&self, model: &str, version: &ModelVersion) -> Option<Deadline> {
        let versions = self.versions_of(model)?;
        let position = versions.iter().position(|known| known.version == *version)?;
        versions[position + 1..].iter().map(|newer| newer.exclusive_from).min()
    }

    /// Returns the rollout schedule of `model`.
    pub fn schedule(&self, model: &str, now: Timestamp) -> Option<RolloutSchedule> {
        let versions = self.versions_of(model)?;
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
        Some(RolloutSchedule {
            versions: scheduled.collect(),
            retired,
            copy_ms: DEFAULT_COPY_MS,
            now,
        })
    }

    /// Returns all recorded versions with their age, to be sent to other processes.
    pub fn named(&self, now: Timestamp) -> Vec<TargetVersion> {
        let of_model = |(model, known): (&ModelName, &ModelVersions)| {
            let named = known.versions.iter().map(|known| known.named(model, now));
            named.collect::<Vec<_>>()
        };
        self.models.iter().flat_map(of_model).collect()
    }

    fn versions_of(&self, model: &str) -> Option<&[VersionRecord]> {
        Some(&self.models.get(model)?.versions)
    }
}

impl VersionRecord {
    /// Merges another record of the same version; returns whether the manifest is new.
    fn merge(&mut self, other: &Self) -> bool {
        self.merge_age(other);
        let is_pinned = self.manifest.is_none() && other.manifest.is_some();
        self.manifest = self.manifest.or(other.manifest);
        is_pinned
    }

    /// Keeps the more reliable of two naming times.
    ///
    /// A process that starts just after a version was named cannot observe its age and
    /// assumes several seconds. If that overrode what others observed, all entries would
    /// refuse the older version seconds too early, while engines that may still serve it
    /// are idle: callers would be refused everywhere until the new version has arrived.
    /// Between equally reliable values the earlier time wins, since a message can arrive
    /// late but not early.
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
