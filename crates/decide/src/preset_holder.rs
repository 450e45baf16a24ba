//! Which preset a process takes to be in force.
//!
//! A process adopts only a higher revision. Without that rule a slow reply
//! from the store, or a peer that lags, would bring an old preset back; an
//! operator would notice a change that took effect and then reverted.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use cassiawheel_model::{Deadline, ForcedPreset, PresetRevision, Timestamp};

/// What became of an offered preset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// It is in force here from now on.
    Adopted,
    /// It is the one that is in force already.
    Unchanged,
    /// It is older than the one in force and was ignored.
    Stale,
    /// It has the revision of the one in force but another content.
    ///
    /// The table's compare-and-set excludes this; it would mean that two
    /// histories exist, so it is reported and never adopted.
    Conflicting,
}

/// The preset in force at one process.
#[derive(Debug, Clone, Default)]
pub struct PresetHolder {
    current: Option<Arc<ForcedPreset>>,
}

impl PresetHolder {
    /// Considers `offered`.
    pub fn offer(&mut self, offered: Arc<ForcedPreset>) -> Adoption {
        let Some(current) = &self.current else {
            self.current = Some(offered);
            return Adoption::Adopted;
        };
        if offered.revision < current.revision {
            return Adoption::Stale;
        }
        if offered.revision == current.revision {
            let same = offered.change == current.change && offered.content == current.content;
            return if same { Adoption::Unchanged } else { Adoption::Conflicting };
        }
        self.current = Some(offered);
        Adoption::Adopted
    }

    /// The preset in force, if one is known.
    pub fn current(&self) -> Option<&Arc<ForcedPreset>> {
        self.current.as_ref()
    }

    /// Revision of the preset in force; zero while none is known.
    pub fn revision(&self) -> PresetRevision {
        self.current.as_ref().map(|preset| preset.revision).unwrap_or_default()
    }
}

/// Keeps a process that has just started from using the first preset it hears of.
///
/// The table service may answer from an earlier state, and a peer may lag. The
/// process would serve under a preset that is no longer in force, which callers
/// see as a change that reverted. So it first hears every source, or waits
/// until a deadline if one does not answer.
#[derive(Debug, Clone)]
pub struct StartHold {
    silent: BTreeSet<SocketAddr>,
    until: Deadline,
}

impl StartHold {
    /// Waits for `sources`, at the longest until `until`.
    pub fn new(sources: impl IntoIterator<Item = SocketAddr>, until: Deadline) -> Self {
        Self { silent: sources.into_iter().collect(), until }
    }

    /// Notes that a source told what it knows or cannot be reached.
    pub fn mark_answered(&mut self, source: SocketAddr) {
        self.silent.remove(&source);
    }

    /// Whether the highest preset heard of may be used.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.silent.is_empty() || self.until.is_past(now)
    }
}
