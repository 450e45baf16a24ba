//! Proof that an engine has loaded only intact chunks.
//!
//! An engine that does not verify its staged chunks loads them as they are when it accepts an
//! order, and each of them may turn corrupt at any time. A check of the chunks therefore expires:
//! the machine may stand still between the check and the order, and an order may be accepted long
//! after it was sent. A load whose order was not answered in time is proved by a check after it,
//! since a corrupt chunk stays corrupt until it is staged again.
//!
//! A write of a chunk without an answer may also take effect late, and put a chunk of another
//! version in place of one that was checked. Until it has certainly ended, a check after the order
//! is needed as well.

use std::{ops::Range, time::Duration};

use cassiawheel_model::{Deadline, ModelVersion, Timestamp};

/// Longest time from the beginning of a check until its order is sent.
const MAX_AGE_AT_ORDER: Duration = Duration::from_millis(1_000);

/// Longest time from the beginning of a check until the answer to its order.
const MAX_AGE_AT_ANSWER: Duration = Duration::from_millis(2_500);

/// Longest time after which a write or an order without an answer takes effect.
const MAX_CALL_DELAY: Duration = Duration::from_secs(30);

/// Number of loads that are kept.
const MAX_LOADS: usize = 4;

/// A check of the staged chunks that an order needs.
#[derive(Debug, Clone, Copy)]
pub struct ChunkCheck {
    begun_at: Timestamp,
    order_by: Deadline,
    answered_by: Deadline,
}

impl ChunkCheck {
    /// Begins a check; the first chunk is read at `now` or later.
    pub fn begin(now: Timestamp) -> Self {
        Self {
            begun_at: now,
            order_by: now.deadline_after(MAX_AGE_AT_ORDER),
            answered_by: now.deadline_after(MAX_AGE_AT_ANSWER),
        }
    }

    /// Time since the check began.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.begun_at)
    }

    /// Whether an order that is sent at `now` may rely on this check.
    pub fn permits_order(&self, now: Timestamp) -> bool {
        !self.order_by.is_past(now)
    }
}

/// An order to load whose chunks are not known to have been intact when it was accepted.
#[derive(Debug)]
struct UnprovenLoad {
    version: ModelVersion,
    /// Chunks that the order needs.
    chunks: Range<usize>,
    /// Until then, the last check holds for whatever the engine has accepted.
    answered_by: Deadline,
    /// Whether a chunk was staged again since, so that no later check proves the load.
    is_refuted: bool,
    /// Number of orders that the engine must have accepted before this one, if it counts them.
    sequence: Option<u64>,
    /// Until then, an order to an engine that does not count may take effect.
    effective_by: Deadline,
}

/// A write of a chunk that was not answered.
#[derive(Debug)]
struct PendingWrite {
    index: usize,
    /// Until then, the write may take effect.
    ends_by: Deadline,
}

/// Versions that may answer requests without a load by this process.
#[derive(Debug, Default)]
enum TrustedVersions {
    /// Any: no load of a former process was cut short.
    #[default]
    Any,
    /// At most the one whose load was proved last.
    Last(Option<ModelVersion>),
}

/// Loads of one engine that are not proved yet.
#[derive(Debug, Default)]
pub struct LoadProofs {
    trusted: TrustedVersions,
    loads: Vec<UnprovenLoad>,
    writes: Vec<PendingWrite>,
}

impl LoadProofs {
    /// Trusts no version that a former process has loaded.
    pub fn distrust_held(&mut self) {
        self.trusted = TrustedVersions::Last(None);
    }

    /// Records that the engine may hold `version`.
    pub fn found_held(&mut self, version: &ModelVersion, sequence: Option<u64>, now: Timestamp) {
        if self.is_unproven(version) || self.is_trusted(version) {
            return;
        }
        self.loads.push(UnprovenLoad {
            version: version.clone(),
            chunks: 0..usize::MAX,
            answered_by: Deadline(0),
            // The former process may have staged chunks again since its load.
            is_refuted: true,
            sequence,
            effective_by: now.deadline_after(MAX_CALL_DELAY),
        });
    }

    fn is_trusted(&self, version: &ModelVersion) -> bool {
        match &self.trusted {
            TrustedVersions::Any => true,
            TrustedVersions::Last(proved) => proved.as_ref() == Some(version),
        }
    }

    fn proved(&mut self, version: &ModelVersion) {
        self.forget(version);
        if let TrustedVersions::Last(last) = &mut self.trusted {
            *last = Some(version.clone());
        }
    }

    /// Records an order that is about to be sent at `now`, after `check` found `chunks` intact.
    ///
    /// `sequence` is the number of orders that the engine has accepted, which the order names as
    /// its precondition.
    pub fn order_sent(
        &mut self,
        version: &ModelVersion,
        chunks: Range<usize>,
        check: ChunkCheck,
        sequence: Option<u64>,
        now: Timestamp,
    ) {
        let effective_by = now.deadline_after(MAX_CALL_DELAY);
        if let Some(load) = self.load_mut(version) {
            if covers(&chunks, &load.chunks) {
                load.answered_by = check.answered_by;
            }
            load.chunks = load.chunks.start.min(chunks.start)..load.chunks.end.max(chunks.end);
            load.sequence = sequence;
            load.effective_by = effective_by;
            return;
        }
        let surplus = (self.loads.len() + 1).saturating_sub(MAX_LOADS);
        self.loads.drain(..surplus);
        self.loads.push(UnprovenLoad {
            version: version.clone(),
            chunks,
            answered_by: check.answered_by,
            is_refuted: false,
            sequence,
            effective_by,
        });
    }

    /// Records that the engine has accepted an order; returns whether the load is proved.
    pub fn order_answered(&mut self, version: &ModelVersion, now: Timestamp) -> bool {
        let is_proved = self.may_serve(version, now);
        if is_proved {
            self.proved(version);
        }
        is_proved
    }

    /// Records that `chunks` were intact after the engine had accepted the order; returns whether
    /// the load is proved.
    pub fn chunks_intact(&mut self, version: &ModelVersion, chunks: &Range<usize>) -> bool {
        let load = self.loads.iter().find(|load| load.version == *version);
        let is_proved = load.is_none_or(|load| covers(chunks, &load.chunks) && !load.is_refuted);
        if is_proved {
            self.proved(version);
        }
        is_proved
    }

    /// Records a write to the engine's staging area, before it is sent.
    pub fn write_sent(&mut self, index: usize, now: Timestamp) {
        for load in self.loads.iter_mut().filter(|load| load.chunks.contains(&index)) {
            load.is_refuted = true;
        }
        self.writes.retain(|write| !write.ends_by.is_past(now));
        self.writes.push(PendingWrite { index, ends_by: now.deadline_after(MAX_CALL_DELAY) });
    }

    /// Records that a write took effect or failed for good.
    pub fn write_ended(&mut self, index: usize) {
        if let Some(position) = self.writes.iter().position(|write| write.index == index) {
            self.writes.swap_remove(position);
        }
    }

    /// Whether no check can prove the load of `version` any more.
    pub fn is_refuted(&self, version: &ModelVersion) -> bool {
        self.load(version).is_some_and(|load| load.is_refuted)
    }

    /// Whether a load of `version` is not proved yet.
    pub fn is_unproven(&self, version: &ModelVersion) -> bool {
        self.load(version).is_some()
    }

    /// Records that the engine holds nothing of `version`, and how many orders it has accepted.
    ///
    /// An order without an answer may still take effect, unless the engine has accepted another
    /// one since or was restarted.
    pub fn holds_nothing(&mut self, version: &ModelVersion, sequence: Option<u64>, now: Timestamp) {
        if let TrustedVersions::Last(last) = &mut self.trusted {
            last.take_if(|last| last == version);
        }
        let Some(load) = self.load_mut(version) else {
            return;
        };
        load.is_refuted = false;
        let has_moved_on = load.sequence.is_some() && load.sequence != sequence;
        if has_moved_on || load.effective_by.is_past(now) {
            self.forget(version);
        }
    }

    fn forget(&mut self, version: &ModelVersion) {
        self.loads.retain(|load| load.version != *version);
    }

    /// Whether weights that the engine reports to hold at `now` may answer requests.
    pub fn may_serve(&self, version: &ModelVersion, now: Timestamp) -> bool {
        self.load(version).map_or(self.is_trusted(version), |load| {
            let in_time = !load.is_refuted && !load.answered_by.is_past(now);
            in_time && !self.is_being_written(&load.chunks, now)
        })
    }

    /// Whether a write may still change one of `chunks`.
    fn is_being_written(&self, chunks: &Range<usize>, now: Timestamp) -> bool {
        let pending = self.writes.iter().filter(|write| !write.ends_by.is_past(now));
        pending.into_iter().any(|write| chunks.contains(&write.index))
    }

    fn load_mut(&mut self, version: &ModelVersion) -> Option<&mut UnprovenLoad> {
        self.loads.iter_mut().find(|load| load.version == *version)
    }

    fn load(&self, version: &ModelVersion) -> Option<&UnprovenLoad> {
        self.loads.iter().find(|load| load.version == *version)
    }
}

fn covers(outer: &Range<usize>, inner: &Range<usize>) -> bool {
    outer.start <= inner.start && inner.end <= outer.end
}
