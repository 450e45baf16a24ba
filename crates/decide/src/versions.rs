//! The versions that operators named, and until when older ones may answer.

use std::{collections::BTreeMap, time::Duration};

use cassiawheel_model::{
    Deadline, ManifestDigest, ModelName, ModelVersion, NamedVersion, Timestamp,
};

/// The newest version of one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedVersion {
    /// Rises with every version that is named.
    pub number: u64,
    /// The version.
    pub version: ModelVersion,
    /// Pins its bytes, once known.
    pub manifest: Option<ManifestDigest>,
    /// From when on no older version may answer.
    pub alone_from: Deadline,
    named_at: Timestamp,
}

/// The newest version of each model.
#[derive(Debug, Clone, Default)]
pub struct VersionBook {
    models: BTreeMap<ModelName, WantedVersion>,
}

impl VersionBook {
    /// Takes in a named version; true if it or its manifest was not known.
    ///
    /// `span` is the time within which it has to be the only one that answers.
    pub fn offer(&mut self, named: &NamedVersion, span: Duration, now: Timestamp) -> bool {
        let named_at = Timestamp(now.0.saturating_sub(named.age_ms));
        let fresh = WantedVersion {
            number: named.number,
            version: named.version.clone(),
            manifest: named.manifest,
            alone_from: named_at.deadline_after(span),
            named_at,
        };
        let Some(known) = self.models.get_mut(&named.model) else {
            self.models.insert(named.model.clone(), fresh);
            return true;
        };
        if known.number > fresh.number {
            return false;
        }
        if known.number < fresh.number {
            *known = fresh;
            return true;
        }
        // Whoever heard it first knows best how old it is.
        known.named_at = known.named_at.min(fresh.named_at);
        known.alone_from = known.alone_from.min(fresh.alone_from);
        if known.manifest.is_none() && fresh.manifest.is_some() {
            known.manifest = fresh.manifest;
            return true;
        }
        false
    }

    /// The newest version of `model`.
    pub fn wanted(&self, model: &str) -> Option<&WantedVersion> {
        self.models.get(model)
    }

    /// The only version of `model` that may answer now, if older ones may not any more.
    pub fn alone(&self, model: &str, now: Timestamp) -> Option<&ModelVersion> {
        let wanted = self.models.get(model)?;
        wanted.alone_from.is_past(now).then_some(&wanted.version)
    }

    /// All newest versions, as other processes have to know them.
    pub fn named(&self, now: Timestamp) -> Vec<NamedVersion> {
        let models = self.models.iter();
        models
            .map(|(model, wanted)| NamedVersion {
                model: model.clone(),
                number: wanted.number,
                version: wanted.version.clone(),
                manifest: wanted.manifest,
                age_ms: now.since(wanted.named_at).as_millis() as u64,
            })
            .collect()
    }
}
