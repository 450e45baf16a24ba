//! When each chunk may be asked of the origin.
//!
//! Owners ask one after another, in the chunks' order. An origin that was away
//! has the missing chunks ahead of it as if it had just started: with the old
//! turns all of them would be due at once, and every agent would draw what it
//! takes for overdue.

use cassiawheel_model::{Deadline, Timestamp};

use super::bits::ChunkBits;

/// The order in which a manifest's chunks leave the origin.
#[derive(Debug, Clone)]
pub(super) struct OriginTurns {
    chunk_ms: f64,
    from: Timestamp,
    /// Chunks that go before each one.
    before: Vec<u32>,
}

impl OriginTurns {
    /// Turns of all chunks from `now` on, each of `chunk_ms`; zero if that is not known.
    pub(super) fn new(chunk_ms: f64, chunks: usize, now: Timestamp) -> Self {
        Self { chunk_ms, from: now, before: (0..chunks as u32).collect() }
    }

    /// Whether the origin's speed is known, so that turns mean anything.
    pub(super) fn are_known(&self) -> bool {
        self.chunk_ms > 0.0
    }

    /// When the origin has time for a chunk.
    pub(super) fn of(&self, index: usize) -> Deadline {
        Deadline(self.from.0 + (f64::from(self.before[index]) * self.chunk_ms) as u64)
    }

    /// Gives the `missing` chunks the first turns from `now` on.
    pub(super) fn begin_again(&mut self, missing: &ChunkBits, now: Timestamp) {
        self.from = now;
        let mut before = 0;
        for (index, turn) in self.before.iter_mut().enumerate() {
            *turn = before;
            before += u32::from(missing.contains(index));
        }
    }
}
