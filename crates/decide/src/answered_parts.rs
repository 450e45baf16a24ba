//! Memory of the prompt parts that endpoints have answered completely.
//!
//! A part that was answered is unlikely to be what crashes an endpoint, so an entry remembers which
//! parts were. The memory is a table of fixed size that is read and written without a lock; a part
//! may displace another one, which then counts as unknown.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cassiawheel_model::{RequestDigest, Timestamp};

/// Number of slots.
const SLOTS: usize = 4_096;

/// Bits of a slot that hold the time of the answer, in seconds; the rest identifies the part.
const TIME_BITS: u32 = 32;

/// Time for which an answer is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(600);

/// Prompt parts that were answered completely, with the time of the last answer.
#[derive(Debug)]
pub struct AnsweredParts {
    slots: Box<[AtomicU64]>,
}

impl Default for AnsweredParts {
    fn default() -> Self {
        Self { slots: (0..SLOTS).map(|_| AtomicU64::new(0)).collect() }
    }
}

impl AnsweredParts {
    /// Records a complete answer to a prompt with this part.
    pub fn record(&self, part: RequestDigest, now: Timestamp) {
        let (slot, tag) = self.slot(part);
        slot.store(tag << TIME_BITS | seconds(now), Ordering::Relaxed);
    }

    /// Time since the last complete answer to a prompt with this part, rounded up to whole seconds;
    /// `None` if none is known.
    pub fn age(&self, part: RequestDigest, now: Timestamp) -> Option<Duration> {
        let (slot, tag) = self.slot(part);
        let value = slot.load(Ordering::Relaxed);
        let answered_s = value & ((1 << TIME_BITS) - 1);
        let age = Duration::from_secs(seconds(now).saturating_sub(answered_s) + 1);
        (value >> TIME_BITS == tag && answered_s > 0 && age < MEMORY_TIME).then_some(age)
    }

    fn slot(&self, part: RequestDigest) -> (&AtomicU64, u64) {
        let key = part.rendezvous_key();
        (&self.slots[key as usize % SLOTS], key >> TIME_BITS)
    }
}

fn seconds(at: Timestamp) -> u64 {
    (at.0 / 1_000) & ((1 << TIME_BITS) - 1)
}
