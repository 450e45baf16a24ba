//! Ownership of the chunks that no reachable peer holds.
//!
//! An owner keeps its chunks as long as it delivers some of them. An owner that is silent
//! or lags behind the others loses them to the agents with the next ranks.

use cassiawheel_model::{Deadline, Timestamp};

use super::{
    ChunkPicker,
    owners::{AgentSlot, OWN_SLOT},
};

/// Interval between reviews of the peers, in milliseconds.
const REVIEW_MS: u64 = 20;

/// Number of chunks per owner that may be delivered before an owner without any lags.
const LAG_ROUNDS: usize = 3;

/// Smallest number of chunks that others must have delivered before an owner lags.
const LAG_MIN_SEEDS: usize = 8;

/// Number of holders up to which a chunk becomes scarce after some time.
const SCARCE_HOLDERS: u16 = 2;

/// Additional delay of each rank in fetching a scarce chunk again, in milliseconds.
const REFETCH_STEP_MS: u64 = 400;

/// Multiple of `origin_step_ms` without a chunk from the origin until an owner is replaced.
const IDLE_STEPS: u64 = 4;

/// Time after a chunk is due at the origin until it is overdue, in milliseconds.
///
/// A chunk arrives about 30 to 100 ms after it is due.
const OVERDUE_MS: u64 = 500;

/// Additional delay of each rank in fetching an overdue chunk, in milliseconds.
const OVERDUE_STEP_MS: u64 = 150;

impl ChunkPicker {
    /// Whether this agent fetches a chunk from the origin in place of its owner.
    ///
    /// An owner that was paused or killed keeps its chunks until its silence exceeds the
    /// timeout. Without this rule all agents would wait for the same few chunks until then.
    pub(super) fn is_overdue(&self, index: usize, now: Timestamp) -> bool {
        // An agent that the origin does not serve cannot replace an owner.
        if !self.schedule.is_known() || self.origin.is_failing() || !self.origin_keeps_up(now) {
            return false;
        }
        let before = self.owners.rank(OWN_SLOT, index).saturating_sub(1) as u64;
        let wait_ms = OVERDUE_MS + OVERDUE_STEP_MS * before;
        Deadline(self.schedule.due(index).0 + wait_ms).is_past(now)
    }

    /// Whether most due chunks have been delivered. If not, the origin is slow or down, and
    /// more fetches would add to its load.
    fn origin_keeps_up(&self, now: Timestamp) -> bool {
        let late = |index: &usize| Deadline(self.schedule.due(*index).0 + OVERDUE_MS).is_past(now);
        let due: Vec<_> = (0..self.holders.len()).filter(late).collect();
        let missing = due.iter().filter(|index| self.unseeded.contains(**index)).count();
        missing * 2 <= due.len()
    }

    /// Includes a peer's chunks in the holder counts if it can be fetched from.
    pub(super) fn include_chunks(&mut self, slot: AgentSlot, now: Timestamp) {
        let view = &mut self.peers[slot - 1];
        if view.is_included || !view.connected || view.backoff.is_untrusted() {
            return;
        }
        view.is_included = true;
        for index in view.held.iter() {
            self.holders[index] += 1;
            self.imports.add_holder(index, view.is_remote, now);
            self.unseeded.remove(index);
        }
    }

    /// Excludes a peer's chunks from the holder counts.
    pub(super) fn exclude_chunks(&mut self, slot: AgentSlot) {
        if !std::mem::replace(&mut self.peers[slot - 1].is_included, false) {
            return;
        }
        let is_remote = self.peers[slot - 1].is_remote;
        let held = std::mem::take(&mut self.peers[slot - 1].held);
        for index in held.iter() {
            self.release_holder(index, is_remote);
        }
        self.peers[slot - 1].held = held;
    }

    /// Lets an agent own chunks if its chunks are included and it has not lost ownership.
    pub(super) fn join_owners(&mut self, slot: AgentSlot, now: Timestamp) {
        let view = &self.peers[slot - 1];
        if view.is_included && !view.lost_ownership && !self.owners.is_active(slot) {
            let is_remote = view.is_remote;
            self.reset_owner_progress(slot, now);
            self.owners.join(slot);
            if !is_remote {
                self.imports.join(slot);
            }
        }
    }

    /// Takes all chunks and imports from an agent.
    pub(super) fn leave_owners(&mut self, slot: AgentSlot) {
        self.owners.leave(slot);
        self.imports.leave(slot);
    }

    /// Records that the origin has delivered the first copy of a chunk.
    ///
    /// After a pause this means that the origin has recovered from an outage, so the
    /// schedule restarts and the backoff ends. Otherwise each agent would end its backoff at
    /// another time and fetch all chunks that are overdue by the old schedule. There would be
    /// twice as many fetches as chunks, and duplicates would occupy the link while every
    /// engine waits for the last chunks.
    pub(super) fn record_seed(&mut self, now: Timestamp) {
        if now.0.saturating_sub(self.progress_at.0) > OVERDUE_MS {
            self.schedule.restart(&self.unseeded, now);
            self.origin.recovered(now);
        }
        self.seeds += 1;
        self.progress_at = now;
    }

    /// Starts a new observation period for the deliveries of an owner.
    pub(super) fn reset_owner_progress(&mut self, slot: AgentSlot, now: Timestamp) {
        let view = &mut self.peers[slot - 1];
        view.undelivered_since = now;
        view.seeds_before = self.seeds;
        view.max_owners = 0;
    }

    /// Takes the chunks from owners that are silent or lag.
    ///
    /// Otherwise a paused agent, or one whose link to the origin stalls, would block its
    /// chunks for all agents forever.
    pub(super) fn review_peers(&mut self, now: Timestamp) {
        if !self.next_review.is_past(now) {
            return;
        }
        self.next_review = Deadline(now.0 + REVIEW_MS);
        for slot in 1..=self.peers.len() {
            let view = &self.peers[slot - 1];
            if view.is_included && view.is_silent(now, self.settings.stall_ms) {
                self.exclude_chunks(slot);
                self.leave_owners(slot);
            }
        }
        self.imports.review(now);
        self.review_scarce(now);
        self.review_owners(now);
    }

    /// Marks chunks that do not spread from their one or two holders as scarce.
    ///
    /// An agent with a congested link sends a chunk to one other agent in the time in which
    /// the rest exchange everything else, so all agents wait for the last chunk. The agents
    /// that lack such a chunk fetch it from the origin again, one after another in rank
    /// order, until it spreads.
    fn review_scarce(&mut self, now: Timestamp) {
        let rescue_ms = self.settings.rescue_ms;
        if rescue_ms == 0 {
            return;
        }
        for index in 0..self.holders.len() {
            let few = (1..=SCARCE_HOLDERS).contains(&self.holders[index]);
            let offered_at = self.imports.offered_at(index).filter(|_| few);
            let Some(offered_at) = offered_at.filter(|_| self.wanted.contains(index)) else {
                self.scarce.remove(index);
                continue;
            };
            let wait_ms = rescue_ms + REFETCH_STEP_MS * self.rank_among_lacking(index);
            if Deadline(offered_at.0 + wait_ms).is_past(now) {
                self.scarce.insert(index);
            }
        }
    }

    /// Number of agents that lack a chunk and precede this one in fetching it again.
    fn rank_among_lacking(&self, index: usize) -> u64 {
        let lacking = self.peers.iter().enumerate();
        let lacking = lacking.filter(|(_, view)| view.connected && !view.held.contains(index));
        let before = lacking.filter(|(at, _)| self.owners.ranks_by_weight(at + 1, OWN_SLOT, index));
        before.count() as u64
    }

    /// Takes the chunks from owners that deliver nothing.
    fn review_owners(&mut self, now: Timestamp) {
        let mut missing = vec![0_usize; self.peers.len() + 1];
        for index in self.unseeded.iter() {
            missing[self.owners.owner(index)] += 1;
        }
        let owners = missing.iter().filter(|missing| **missing > 0).count();
        let mut longest: Option<AgentSlot> = None;
        for (slot, missing) in missing.iter().enumerate().skip(1) {
            if !self.owners.is_active(slot) {
                continue;
            }
            if *missing == 0 {
                self.reset_owner_progress(slot, now);
                continue;
            }
            // The fetch of this owner was queued behind those of all owners at that time,
            // even if most of them have been served since.
            let view = &mut self.peers[slot - 1];
            view.max_owners = view.max_owners.max(owners);
            if self.is_lagging(slot, now) {
                self.revoke_ownership(slot);
                continue;
            }
            let since = |slot: AgentSlot| self.peers[slot - 1].undelivered_since;
            if longest.is_none_or(|other| since(slot) < since(other)) {
                longest = Some(slot);
            }
        }
        // If the origin fails for this agent as well, the owner is not at fault.
        let idle_since =
            |slot: AgentSlot| self.peers[slot - 1].undelivered_since.max(self.progress_at);
        let timeout = self.settings.origin_step_ms * IDLE_STEPS;
        if let Some(slot) = longest
            && !self.origin.is_failing()
            && now.0.saturating_sub(idle_since(slot).0) > timeout
        {
            self.revoke_ownership(slot);
            // Replaces one owner at a time: if the origin itself is slow, all owners look
            // alike, and replacing all of them would cause many duplicate fetches.
            self.progress_at = now;
        }
    }

    fn is_lagging(&self, slot: AgentSlot, now: Timestamp) -> bool {
        let view = &self.peers[slot - 1];
        let others = self.seeds - view.seeds_before;
        others >= LAG_MIN_SEEDS + LAG_ROUNDS * view.max_owners
            && now.0.saturating_sub(view.undelivered_since.0) > self.settings.origin_step_ms
    }

    fn revoke_ownership(&mut self, slot: AgentSlot) {
        self.peers[slot - 1].lost_ownership = true;
        self.leave_owners(slot);
    }
}
