//! Proof that an engine has loaded only intact chunks.
//!
//! An engine that does not verify its staged chunks loads them as they are when it accepts an
//! order, and each of them may turn corrupt at any time. A check of the chunks therefore expires:
//! the machine may stand still between the check and the order, and an order may be accepted long
//! after it was sent. A load whose order was not answered in time is proved by a check after it,
//! since a corrupt chunk stays corrupt until it is staged again.

use std::{ops::Range, time::Duration};

use cassiawheel_model::{Deadline, ModelVersion, Timestamp};

/// Longest time from the beginning of a check until its order is sent.
const MAX_AGE_AT_ORDER: Duration = Duration::from_millis(1_000);

/// Longest time from the beginning of a check until the answer to its order.
const MAX_AGE_AT_ANSWER: Duration = Duration::from_millis(2_500);

/// Number of loads that are kept.
const MAX_LOADS: usize = 4;

/// A check of the staged chunks that an order needs.
#[derive(Debug, Clone, Copy)]
pub struct ChunkCheck {
    order_by: Deadline,
    answered_by: Deadline,
}

impl ChunkCheck {
    /// Begins a check; the first chunk is read at `now` or later.
    pub fn begin(now: Timestamp) -> Self {
        Self {
            order_by: now.deadline_after(MAX_AGE_AT_ORDER),
            answered_by: now.deadline_after(MAX_AGE_AT_ANSWER),
        }
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
}

/// Loads of one engine that are not proved yet.
#[derive(Debug, Default)]
pub struct LoadProofs {
    loads: Vec<UnprovenLoad>,
}

impl LoadProofs {
    /// Records an order that is about to be sent, after `check` found `chunks` intact.
    pub fn order_sent(&mut self, version: &ModelVersion, chunks: Range<usize>, check: ChunkCheck) {
        if let Some(load) = self.loads.iter_mut().find(|load| load.version == *version) {
            if covers(&chunks, &load.chunks) {
                load.answered_by = check.answered_by;
            }
            load.chunks = load.chunks.start.min(chunks.start)..load.chunks.end.max(chunks.end);
            return;
        }
        let surplus = (self.loads.len() + 1).saturating_sub(MAX_LOADS);
        self.loads.drain(..surplus);
        self.loads.push(UnprovenLoad {
            version: version.clone(),
            chunks,
            answered_by: check.answered_by,
            is_refuted: false,
        });
    }

    /// Records that the engine has accepted an order; returns whether the load is proved.
    pub fn order_answered(&mut self, version: &ModelVersion, now: Timestamp) -> bool {
        if self.may_serve(version, now) {
            self.forget(version);
            return true;
        }
        false
    }

    /// Records that `chunks` were intact after the engine had accepted the order; returns whether
    /// the load is proved.
    pub fn chunks_intact(&mut self, version: &ModelVersion, chunks: &Range<usize>) -> bool {
        let load = self.loads.iter().find(|load| load.version == *version);
        let is_proved = load.is_none_or(|load| covers(chunks, &load.chunks) && !load.is_refuted);
        if is_proved {
            self.forget(version);
        }
        is_proved
    }

    /// Records that a chunk was written to the engine's staging area.
    pub fn chunk_staged(&mut self, index: usize) {
        for load in self.loads.iter_mut().filter(|load| load.chunks.contains(&index)) {
            load.is_refuted = true;
        }
    }

    /// Drops what is known of a version of which the engine holds nothing.
    pub fn forget(&mut self, version: &ModelVersion) {
        self.loads.retain(|load| load.version != *version);
    }

    /// Whether weights that the engine reports to hold at `now` may answer requests.
    pub fn may_serve(&self, version: &ModelVersion, now: Timestamp) -> bool {
        let load = self.loads.iter().find(|load| load.version == *version);
        load.is_none_or(|load| !load.is_refuted && !load.answered_by.is_past(now))
    }
}

fn covers(outer: &Range<usize>, inner: &Range<usize>) -> bool {
    outer.start <= inner.start && inner.end <= outer.end
}
