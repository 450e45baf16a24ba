//! The preset in force at a process, with revisions that only increase.
//!
//! A process adopts only a higher revision. Otherwise a delayed response of the store or
//! a lagging peer would restore an old preset: a change would take effect and then be
//! reverted.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use cassiawheel_model::{Deadline, ForcedPreset, PresetRevision, Timestamp};

/// Result of offering a preset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The preset is in force here from now on.
    Adopted,
    /// The preset is already in force.
    Unchanged,
    /// The preset is older than the one in force and was ignored.
    Stale,
    /// The preset has the revision of the one in force but different content.
    ///
    /// The table's compare-and-set rules this out. It would mean that two histories
    /// exist, so it is reported and never adopted.
    Conflicting,
}

/// Holds the preset in force at one process.
#[derive(Debug, Clone, Default)]
pub struct PresetHolder {
    current: Option<Arc<ForcedPreset>>,
}

impl PresetHolder {
    /// Adopts `offered` if its revision is higher than the current one.
    pub fn offer(&mut self, offered: Arc<ForcedPreset>) -> Adoption {
        let Some(current) = &self.current else {
            self.current = Some(offered);
            return Adoption::Adopted;
        };
        if offered.revision < current.revision {
            return Adoption::Stale;
        }
        if offered.revision == current.revision {
            let is_same = offered.change == current.change && offered.content == current.content;
            return if is_same { Adoption::Unchanged } else { Adoption::Conflicting };
        }
        self.current = Some(offered);
        Adoption::Adopted
    }

    /// Returns the preset in force, if one is known.
    pub fn current(&self) -> Option<&Arc<ForcedPreset>> {
        self.current.as_ref()
    }

    /// Returns the revision of the preset in force; zero while none is known.
    pub fn revision(&self) -> PresetRevision {
        self.current.as_ref().map(|preset| preset.revision).unwrap_or_default()
    }
}

/// Delays the use of a preset at a process that has just started.
///
/// The table service may answer from an earlier state, and a peer may lag. With the first
/// preset it received, the process could serve under one that is no longer in force,
/// which callers see as a reverted change. It therefore waits for a response from every
/// source, or until a deadline if one does not respond.
#[derive(Debug, Clone)]
pub struct StartHold {
    pending: BTreeSet<SocketAddr>,
    until: Deadline,
}

impl StartHold {
    /// Creates a hold that ends when all `sources` have answered, at `until` at the latest.
    pub fn new(sources: impl IntoIterator<Item = SocketAddr>, until: Deadline) -> Self {
        Self { pending: sources.into_iter().collect(), until }
    }

    /// Records that a source has answered or cannot be reached.
    pub fn mark_answered(&mut self, source: SocketAddr) {
        self.pending.remove(&source);
    }

    /// Whether the highest preset received may be used.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.pending.is_empty() || self.until.is_past(now)
    }
}
