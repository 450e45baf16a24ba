//! A picker's view of another agent, and the backoff of fetch sources.

use cassiawheel_model::{Deadline, InstanceId, Timestamp};

use super::bits::ChunkBits;

/// Backoff after a first failure, in milliseconds; doubled with every further one.
const BASE_BACKOFF_MS: u64 = 100;

/// Longest backoff after a failure of another agent, in milliseconds.
pub(super) const MAX_BACKOFF_MS: u64 = 5_000;

/// Sum of penalties since the last success from which a peer's chunks count as unavailable.
const UNTRUSTED_PENALTY: u32 = 4;

/// Penalty for corrupt bytes, or for a refused chunk that was announced.
const CORRUPT_PENALTY: u32 = 2;

/// Penalty for a timeout; a healthy peer with a long queue may cause one.
const TIMEOUT_PENALTY: u32 = 1;

/// Reason for a failed fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchFailure {
    /// The bytes were corrupt, or the peer refused a chunk that it had announced.
    Corrupt,
    /// The chunk did not arrive before the deadline.
    TimedOut,
}

/// Exponential backoff of one source.
#[derive(Debug, Clone, Copy)]
pub(super) struct SourceBackoff {
    failures: u32,
    penalty: u32,
    avoided_until: Deadline,
}

impl Default for SourceBackoff {
    fn default() -> Self {
        Self { failures: 0, penalty: 0, avoided_until: Deadline(0) }
    }
}

impl SourceBackoff {
    /// Records a failure; the backoff is at most `max_ms`.
    ///
    /// Failures during the backoff belong to the same fault and do not count.
    pub(super) fn failed(&mut self, cause: FetchFailure, max_ms: u64, now: Timestamp) {
        if !self.is_over(now) {
            return;
        }
        let doublings = self.failures.min(16);
        self.failures += 1;
        self.penalty += match cause {
            FetchFailure::Corrupt => CORRUPT_PENALTY,
            FetchFailure::TimedOut => TIMEOUT_PENALTY,
        };
        let wait = (BASE_BACKOFF_MS << doublings).min(max_ms);
        self.avoid(Deadline(now.0 + wait));
    }

    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.penalty = 0;
    }

    pub(super) fn avoid(&mut self, until: Deadline) {
        self.avoided_until = self.avoided_until.max(until);
    }

    /// Ends the backoff because the origin has just served another agent.
    pub(super) fn recovered(&mut self, now: Timestamp) {
        self.succeeded();
        self.avoided_until = self.avoided_until.min(Deadline(now.0));
    }

    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        self.avoided_until.is_past(now)
    }

    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    pub(super) fn is_untrusted(&self) -> bool {
        self.penalty >= UNTRUSTED_PENALTY
    }
}

/// Another agent as seen by the picker.
#[derive(Debug, Clone)]
pub(super) struct PeerView {
    pub(super) instance: InstanceId,
    /// Chunks that it has announced.
    pub(super) held: ChunkBits,
    /// Chunks that it is fetching from the origin, as announced.
    pub(super) origin_fetches: Vec<usize>,
    /// Number of fetches from it in progress.
    pub(super) fetching: usize,
    pub(super) connected: bool,
    /// Until when its chunk inventory is expected.
    pub(super) inventory_until: Deadline,
    /// Whether its chunks count as available.
    pub(super) is_included: bool,
    pub(super) backoff: SourceBackoff,
    /// Number of consecutive times that it had no free slot.
    pub(super) busy: u32,
    /// Whether it is in another region.
    pub(super) is_remote: bool,
    /// Whether it lost the ownership of its chunks because it delivered none of them.
    pub(super) lost_ownership: bool,
    pub(super) last_message_at: Timestamp,
    /// Since when it has owned missing chunks without delivering one.
    pub(super) undelivered_since: Timestamp,
    /// Number of chunks that all agents together had fetched from the origin at that time.
    pub(super) seeds_before: usize,
    /// Largest number of agents that owned missing chunks since that time.
    pub(super) max_owners: usize,
}

impl PeerView {
    pub(super) fn new(
        instance: &InstanceId,
        chunks: usize,
        now: Timestamp,
        inventory_until: Deadline,
    ) -> Self {
        Self {
            instance: instance.clone(),
            held: ChunkBits::empty(chunks),
            origin_fetches: Vec::new(),
            fetching: 0,
            connected: false,
            inventory_until,
            is_included: false,
            backoff: SourceBackoff::default(),
            busy: 0,
            is_remote: false,
            lost_ownership: false,
            last_message_at: now,
            undelivered_since: now,
            seeds_before: 0,
            max_owners: 0,
        }
    }

    pub(super) fn is_usable(&self, now: Timestamp, max_fetches_per_peer: usize) -> bool {
        self.connected && self.fetching < max_fetches_per_peer && self.backoff.is_over(now)
    }

    pub(super) fn is_silent(&self, now: Timestamp, silence_ms: u64) -> bool {
        now.0.saturating_sub(self.last_message_at.0) > silence_ms
    }
}
