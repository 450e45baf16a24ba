//! Schedule of the chunk fetches from the origin.
//!
//! Owners fetch one after another, in chunk order. After an outage of the origin the
//! missing chunks are scheduled again from the start. With the old schedule all of them
//! would be due at once, and every agent would fetch the chunks that it considers overdue.

use cassiawheel_model::{Deadline, Timestamp};

use super::bits::ChunkBits;

/// When each chunk of a manifest is due at the origin.
#[derive(Debug, Clone)]
pub(super) struct OriginSchedule {
    chunk_ms: f64,
    started_at: Timestamp,
    /// Number of chunks scheduled before each one.
    preceding: Vec<u32>,
}

impl OriginSchedule {
    /// Schedules all chunks from `now` on, one every `chunk_ms`; zero if that is not known.
    pub(super) fn new(chunk_ms: f64, chunks: usize, now: Timestamp) -> Self {
        Self { chunk_ms, started_at: now, preceding: (0..chunks as u32).collect() }
    }

    /// Whether the origin's speed is known; without it all chunks are due at once.
    pub(super) fn is_known(&self) -> bool {
        self.chunk_ms > 0.0
    }

    /// Returns when a chunk is due.
    pub(super) fn due(&self, index: usize) -> Deadline {
        Deadline(self.started_at.0 + (f64::from(self.preceding[index]) * self.chunk_ms) as u64)
    }

    /// Restarts the schedule at `now` with the `missing` chunks first.
    pub(super) fn restart(&mut self, missing: &ChunkBits, now: Timestamp) {
        self.started_at = now;
        let mut count = 0;
        for (index, preceding) in self.preceding.iter_mut().enumerate() {
            *preceding = count;
            count += u32::from(missing.contains(index));
        }
    }
}
