//! What a picker knows of one other agent.

use cassiawheel_model::{Deadline, InstanceId, Timestamp};

use super::bits::ChunkBits;

/// Wait after a first failure, in milliseconds; doubles with every further one.
const FIRST_BACKOFF_MS: u64 = 100;

/// Longest wait after a failure of another agent, in milliseconds.
pub(super) const LONGEST_BACKOFF_MS: u64 = 5_000;

/// Blame in a row after which a peer's chunks no longer count as available.
const DISTRUSTED_BLAME: u32 = 4;

/// Blame for bytes that are damaged or refused although they were announced.
const DAMAGE_BLAME: u32 = 2;

/// Blame for a late answer; a peer with a long queue may be late and honest.
const LATE_BLAME: u32 = 1;

/// How a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchFailure {
    /// The bytes were corrupt, or refused although they had been announced.
    Corrupt,
    /// Nothing came before the deadline.
    TimedOut,
}

/// Back-off of one source.
#[derive(Debug, Clone, Copy)]
pub(super) struct SourceBackoff {
    failures: u32,
    blame: u32,
    avoided_until: Deadline,
}

impl Default for SourceBackoff {
    fn default() -> Self {
        Self { failures: 0, blame: 0, avoided_until: Deadline(0) }
    }
}

impl SourceBackoff {
    /// Fetches that fail together count as one failure; waits at most `longest_ms`.
    pub(super) fn failed(&mut self, cause: FetchFailure, longest_ms: u64, now: Timestamp) {
        if !self.is_over(now) {
            return;
        }
        let doublings = self.failures.min(16);
        self.failures += 1;
        self.blame += match cause {
            FetchFailure::Corrupt => DAMAGE_BLAME,
            FetchFailure::TimedOut => LATE_BLAME,
        };
        let wait = (FIRST_BACKOFF_MS << doublings).min(longest_ms);
        self.avoid(Deadline(now.0 + wait));
    }

    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.blame = 0;
    }

    pub(super) fn avoid(&mut self, until: Deadline) {
        self.avoided_until = self.avoided_until.max(until);
    }

    /// Ends the wait, as another agent has just been served.
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

    pub(super) fn is_distrusted(&self) -> bool {
        self.blame >= DISTRUSTED_BLAME
    }
}

/// One other agent as far as it is known.
#[derive(Debug, Clone)]
pub(super) struct PeerView {
    pub(super) instance: InstanceId,
    /// Chunks that it says it holds.
    pub(super) held: ChunkBits,
    /// Chunks that it says it draws from the origin.
    pub(super) drawing: Vec<usize>,
    /// Fetches from it in progress.
    pub(super) fetching: usize,
    pub(super) connected: bool,
    /// Until when its list of chunks is waited for.
    pub(super) awaited_until: Deadline,
    /// Whether its chunks count as available.
    pub(super) counted: bool,
    pub(super) backoff: SourceBackoff,
    /// Times in a row that it had no free slot.
    pub(super) busy: u32,
    /// Whether it stands in another region.
    pub(super) is_remote: bool,
    /// Whether it lost its chunks because it brought none of them.
    pub(super) behind: bool,
    pub(super) heard_at: Timestamp,
    /// Since when it has owed chunks without bringing one.
    pub(super) owing_since: Timestamp,
    /// Chunks that all agents had drawn at that time.
    pub(super) seeds_then: usize,
    /// Most agents that have owed chunks since that time.
    pub(super) most_owners: usize,
}

impl PeerView {
    pub(super) fn new(
        instance: &InstanceId,
        chunks: usize,
        now: Timestamp,
        awaited_until: Deadline,
    ) -> Self {
        Self {
            instance: instance.clone(),
            held: ChunkBits::empty(chunks),
            drawing: Vec::new(),
            fetching: 0,
            connected: false,
            awaited_until,
            counted: false,
            backoff: SourceBackoff::default(),
            busy: 0,
            is_remote: false,
            behind: false,
            heard_at: now,
            owing_since: now,
            seeds_then: 0,
            most_owners: 0,
        }
    }

    pub(super) fn is_usable(&self, now: Timestamp, max_fetches_per_peer: usize) -> bool {
        self.connected && self.fetching < max_fetches_per_peer && self.backoff.is_over(now)
    }

    pub(super) fn is_silent(&self, now: Timestamp, silence_ms: u64) -> bool {
        now.0.saturating_sub(self.heard_at.0) > silence_ms
    }
}
