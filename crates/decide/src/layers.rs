//! Which layers of a model an agent loads first, and when its engine may load layers.
//!
//! Requests can pass through several engines that each have some of the layers. Agents whose
//! engines serve nothing therefore load half of a version as soon as its chunks are staged, and
//! the rest when all chunks are there. Entries may use loaded layers for a while after the
//! agent's last report of them, so an engine loads another version only after that time.

use std::cmp::Reverse;

use cassiawheel_model::{
    Deadline, EndpointReport, EndpointState, InstanceId, LayerRange, LoadedLayers, ManifestDigest,
    ModelVersion, Timestamp,
};

use crate::{
    endpoint_tracker::PATH_TTL_MS,
    rank::{rendezvous_weight, subject_of},
};

/// Time from the report without layers until another version may be loaded, in milliseconds.
///
/// Entries use reported layers for at most 1,500 ms after the load record that confirms them. The
/// other second covers requests that an entry has already routed, and the error of the records'
/// ages.
pub const PATH_RELEASE_MS: u64 = 2_500;

/// Half of the layers of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LayerHalf {
    /// The layers from the first up to the middle.
    Lower,
    /// The layers from the middle to the last.
    Upper,
}

impl LayerHalf {
    /// Returns the half that the agent `own` loads first, from the agents of its region that it
    /// knows.
    ///
    /// Agents at even positions in the order of the rendezvous weight take the lower half. The
    /// last one of an odd number decides by its own weight: agents that know few others would
    /// otherwise take the lower half too often, and always those that know none.
    pub fn first_of<'a>(
        manifest: ManifestDigest,
        own: &InstanceId,
        others: impl Iterator<Item = &'a InstanceId>,
    ) -> Self {
        let subject = subject_of(&manifest.to_string());
        let rank =
            |name: &InstanceId| (Reverse(rendezvous_weight(subject, name.as_str())), name.clone());
        let own_rank = rank(own);
        let (mut known, mut position) = (0_u64, 0_u64);
        for other in others.filter(|other| *other != own) {
            known += 1;
            position += u64::from(rank(other) < own_rank);
        }
        let is_unpaired = known % 2 == 0 && position == known;
        if is_unpaired {
            position = own_rank.0.0;
        }
        if position.is_multiple_of(2) { Self::Lower } else { Self::Upper }
    }

    /// Returns the layers of this half; none if the model cannot be divided.
    pub fn range(self, layers: u32) -> Option<LayerRange> {
        let middle = layers / 2;
        let range = match self {
            Self::Lower => LayerRange::new(0, middle),
            Self::Upper if middle > 0 => LayerRange::new(middle, layers),
            Self::Upper => return None,
        };
        range.ok()
    }
}

/// Whether the endpoint may give up what it serves to load a part of the ordered version.
///
/// `retired` is the version that the order declares as retired. An order names it because its
/// sender may have seen an older report: the endpoint may serve an allowed version by now.
pub fn may_load_part(state: &EndpointState, retired: Option<&ModelVersion>) -> bool {
    match state {
        EndpointState::Empty => true,
        EndpointState::Serving { version: Some(version), .. } => retired == Some(version),
        EndpointState::Serving { version: None, .. }
        | EndpointState::Switching
        | EndpointState::Draining => false,
    }
}

/// Whether layers of an older version are given up for a newer one that is being staged.
///
/// Half of the chunks of the own half take at least as long as the release on a link that needs
/// three to four seconds for a version, so the release rarely delays the load. If the origin
/// fails before, paths through the older layers remain.
pub fn should_give_up_layers(staged: usize, half_chunks: usize) -> bool {
    staged * 2 >= half_chunks
}

/// What an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineHolding {
    /// No weights.
    Nothing,
    /// All layers of a version.
    Whole(ModelVersion),
    /// Some layers of a version, or an unknown share of them.
    Part(LoadedLayers),
}

/// Version that the engine of a restarted agent holds completely, although the report says that the
/// endpoint is empty.
///
/// Such an agent learns the number of layers with its first order. `layers` is the number of layers
/// of the model; where the configuration names at most one, no range counts as complete.
pub fn resumed_version(report: &EndpointReport, layers: u32) -> Option<&ModelVersion> {
    let held = report.layers.as_ref().filter(|_| report.state == EndpointState::Empty)?;
    let is_whole = layers > 1 && held.range.from() == 0 && held.range.to() >= layers;
    is_whole.then_some(&held.version)
}

impl EngineHolding {
    /// Interprets an engine's status.
    ///
    /// `total` is the number of layers of the model, zero if engines load whole versions only,
    /// and none while it is not known, as before the first order. Without it, reported layers
    /// count as a part: an engine with some of the layers must never be taken for a whole one.
    pub fn new(
        version: Option<&ModelVersion>,
        layers: Option<&LoadedLayers>,
        total: Option<u32>,
    ) -> Self {
        let layers = layers.filter(|_| total.is_none_or(|total| total > 1));
        match (version, layers) {
            (None, None) => Self::Nothing,
            (Some(version), None) => Self::Whole(version.clone()),
            (Some(version), Some(layers))
                if layers.version == *version && total.is_some_and(|t| covers_all(layers, t)) =>
            {
                Self::Whole(version.clone())
            }
            (_, Some(layers)) => Self::Part(layers.clone()),
        }
    }

    /// Whether all layers of a version are loaded.
    pub fn whole(&self) -> Option<&ModelVersion> {
        match self {
            Self::Whole(version) => Some(version),
            Self::Nothing | Self::Part(_) => None,
        }
    }
}

fn covers_all(layers: &LoadedLayers, total: u32) -> bool {
    layers.range.from() == 0 && layers.range.to() >= total
}

/// The layers that an agent reports, and when its engine may load another version.
#[derive(Debug, Clone)]
pub struct LayerRelease {
    reported: Option<LoadedLayers>,
    /// Version of the layers that were reported before; none if an earlier process reported them.
    released: Option<ModelVersion>,
    released_at: Timestamp,
    changes: u64,
}

impl LayerRelease {
    /// State of a process that starts at `now`.
    ///
    /// An earlier process at the same instance may have reported layers until then.
    pub fn new(now: Timestamp) -> Self {
        Self { reported: None, released: None, released_at: now, changes: 0 }
    }

    /// Returns the layers to report.
    pub fn reported(&self) -> Option<&LoadedLayers> {
        self.reported.as_ref()
    }

    /// Returns the number of changes, for [`Self::observe`].
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Records what the engine says it has loaded after an order.
    pub fn loaded(&mut self, layers: LoadedLayers) {
        self.changes += 1;
        self.reported = Some(layers);
    }

    /// Stops reporting layers; true if any were reported.
    pub fn withdraw(&mut self, now: Timestamp) -> bool {
        let Some(layers) = self.reported.take() else {
            return false;
        };
        self.changes += 1;
        self.released = Some(layers.version);
        self.released_at = now;
        true
    }

    /// Records the engine's regular status; true if the layers to report have changed.
    ///
    /// `changes` is the number of changes before the status was read. A status from before a
    /// change says nothing about the time after it.
    pub fn observe(&mut self, holding: &EngineHolding, changes: u64, now: Timestamp) -> bool {
        if changes != self.changes {
            return false;
        }
        match (&self.reported, holding) {
            // The agent has restarted beside an engine with layers. Layers that this process has
            // withdrawn are not reported again.
            (None, EngineHolding::Part(layers)) if changes == 0 => {
                self.loaded(layers.clone());
                true
            }
            (Some(known), EngineHolding::Part(layers)) if known == layers => false,
            (Some(known), EngineHolding::Part(layers)) if known.version == layers.version => {
                self.loaded(layers.clone());
                true
            }
            // The rest was loaded; the switch that did it withdraws the layers.
            (Some(known), EngineHolding::Whole(version)) if known.version == *version => false,
            (Some(_), _) => self.withdraw(now),
            (None, _) => false,
        }
    }

    /// Whether entries may still use layers that this process has withdrawn.
    pub fn is_withdrawn_recently(&self, now: Timestamp) -> bool {
        self.released.is_some() && now.0 < self.released_at.0 + PATH_TTL_MS
    }

    /// Whether the layers of another version than `version` are reported.
    pub fn reports_other(&self, version: &ModelVersion) -> bool {
        self.reported.as_ref().is_some_and(|layers| layers.version != *version)
    }

    /// When `version` may be loaded; none while layers of another version are reported.
    pub fn may_load_at(&self, version: &ModelVersion) -> Option<Deadline> {
        match &self.reported {
            Some(layers) if layers.version == *version => Some(Deadline(0)),
            Some(_) => None,
            None if self.released.as_ref() == Some(version) => Some(Deadline(0)),
            None => Some(Deadline(self.released_at.0 + PATH_RELEASE_MS)),
        }
    }
}
