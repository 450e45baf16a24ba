//! Who owns the chunks that no reachable peer holds.
//!
//! An owner keeps its chunks while it brings some; one that falls silent or
//! behind the others is left behind, and the agents that rank next own them.

use cassiawheel_model::{Deadline, Timestamp};

use super::{
    ChunkPicker,
    shares::{AgentSlot, OWN_SLOT},
};

/// Time between looks for peers that fell behind, in milliseconds.
const REVIEW_MS: u64 = 20;

/// Rounds of all owners that one may bring nothing.
const OWING_ROUNDS: usize = 3;

/// Chunks that others must have drawn at least before an owner counts as behind.
const OWING_SEEDS: usize = 8;

/// Holders up to which a chunk counts as scarce after a while.
const SCARCE_HOLDERS: u16 = 2;

/// Time that an agent leaves to the one before it in drawing a chunk again, in milliseconds.
const RESCUE_STEP_MS: u64 = 400;

/// Steps without any chunk from the origin before one owner is replaced.
const IDLE_STEPS: u64 = 4;

/// Time after its turn at the origin from which on a chunk is overdue, in milliseconds.
///
/// A chunk is there some 30 to 100 ms after its turn.
const OVERDUE_MS: u64 = 500;

/// Time that an agent leaves to the one before it in drawing an overdue chunk, in milliseconds.
const OVERDUE_STEP_MS: u64 = 150;

impl ChunkPicker {
    /// Whether this agent draws a chunk in place of its owner.
    ///
    /// An owner that was paused or killed a moment ago still counts as an owner
    /// until it has been silent for long. A version would wait for its few
    /// chunks everywhere; one would notice that all agents lack the same ones.
    pub(super) fn is_overdue(&self, index: usize, now: Timestamp) -> bool {
        // Whoever is not served cannot help the owners out.
        if !self.turns.are_known() || self.origin.is_failing() || !self.origin_keeps_up(now) {
            return false;
        }
        let before = self.shares.rank(OWN_SLOT, index).saturating_sub(1) as u64;
        let wait_ms = OVERDUE_MS + OVERDUE_STEP_MS * before;
        Deadline(self.turns.of(index).0 + wait_ms).is_past(now)
    }

    /// Whether most chunks came in their turn; if not, the origin is slow or
    /// away, and asking for more of it would make it worse.
    fn origin_keeps_up(&self, now: Timestamp) -> bool {
        let is_due = |index: &usize| Deadline(self.turns.of(*index).0 + OVERDUE_MS).is_past(now);
        let due: Vec<_> = (0..self.holders.len()).filter(is_due).collect();
        let missing = due.iter().filter(|index| self.unseeded.contains(**index)).count();
        missing * 2 <= due.len()
    }

    /// Counts a peer's chunks as available, if it can be fetched from.
    pub(super) fn count_chunks(&mut self, slot: AgentSlot, now: Timestamp) {
        let view = &mut self.peers[slot - 1];
        if view.counted || !view.connected || view.backoff.is_distrusted() {
            return;
        }
        view.counted = true;
        for index in view.held.iter() {
            self.holders[index] += 1;
            self.imports.gain(index, view.is_remote, now);
            self.unseeded.remove(index);
        }
    }

    /// Counts a peer's chunks as not available.
    pub(super) fn discount_chunks(&mut self, slot: AgentSlot) {
        if !std::mem::replace(&mut self.peers[slot - 1].counted, false) {
            return;
        }
        let is_remote = self.peers[slot - 1].is_remote;
        let held = std::mem::take(&mut self.peers[slot - 1].held);
        for index in held.iter() {
            self.release_holder(index, is_remote);
        }
        self.peers[slot - 1].held = held;
    }

    pub(super) fn join_shares(&mut self, slot: AgentSlot, now: Timestamp) {
        let view = &self.peers[slot - 1];
        if view.counted && !view.behind && !self.shares.takes_part(slot) {
            let is_remote = view.is_remote;
            self.clear_debt(slot, now);
            self.shares.join(slot);
            if !is_remote {
                self.imports.join(slot);
            }
        }
    }

    /// Takes an agent out of all shares.
    pub(super) fn leave_shares(&mut self, slot: AgentSlot) {
        self.shares.leave(slot);
        self.imports.leave(slot);
    }

    /// Notes that the origin has given out a chunk that nobody held.
    ///
    /// After a pause that means that it was away and is back. Each agent would
    /// else end its wait at another time and then draw all that is overdue by
    /// the old turns: one would notice twice as many draws as chunks, and a link
    /// that is busy with copies while every engine waits for the last chunks.
    pub(super) fn note_seed(&mut self, now: Timestamp) {
        if now.0.saturating_sub(self.progress_at.0) > OVERDUE_MS {
            self.turns.begin_again(&self.unseeded, now);
            self.origin.recovered(now);
        }
        self.seeds += 1;
        self.progress_at = now;
    }

    pub(super) fn clear_debt(&mut self, slot: AgentSlot, now: Timestamp) {
        let view = &mut self.peers[slot - 1];
        view.owing_since = now;
        view.seeds_then = self.seeds;
        view.most_owners = 0;
    }

    /// Takes agents that fell silent or behind out of the shares.
    ///
    /// Without this, a paused agent or one whose link to the origin stalls
    /// would keep its chunks from everybody for ever.
    pub(super) fn review_peers(&mut self, now: Timestamp) {
        if !self.next_review.is_past(now) {
            return;
        }
        self.next_review = Deadline(now.0 + REVIEW_MS);
        for slot in 1..=self.peers.len() {
            let view = &self.peers[slot - 1];
            if view.counted && view.is_silent(now, self.settings.stall_ms) {
                self.discount_chunks(slot);
                self.leave_shares(slot);
            }
        }
        self.imports.review(now);
        self.review_scarce(now);
        self.review_debts(now);
    }

    /// Looks for chunks that are stuck with the one or two agents that hold them.
    ///
    /// An agent whose link has narrowed passes a chunk on to one other in the
    /// time in which the rest swap everything else, and a version waits for its
    /// last chunk everywhere. The agents that lack such a chunk draw it again,
    /// one after another in the order of their ranks, until it spreads.
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
            let wait_ms = rescue_ms + RESCUE_STEP_MS * self.rank_among_lacking(index);
            if Deadline(offered_at.0 + wait_ms).is_past(now) {
                self.scarce.insert(index);
            }
        }
    }

    /// Agents without a chunk that go before this one in drawing it again.
    fn rank_among_lacking(&self, index: usize) -> u64 {
        let lacking = self.peers.iter().enumerate();
        let lacking = lacking.filter(|(_, view)| view.connected && !view.held.contains(index));
        let before = lacking.filter(|(at, _)| self.shares.ranks_by_weight(at + 1, OWN_SLOT, index));
        before.count() as u64
    }

    fn review_debts(&mut self, now: Timestamp) {
        let mut owed = vec![0_usize; self.peers.len() + 1];
        for index in self.unseeded.iter() {
            owed[self.shares.owner(index)] += 1;
        }
        let owners = owed.iter().filter(|owed| **owed > 0).count();
        let mut longest: Option<AgentSlot> = None;
        for (slot, owed) in owed.iter().enumerate().skip(1) {
            if !self.shares.takes_part(slot) {
                continue;
            }
            if *owed == 0 {
                self.clear_debt(slot, now);
                continue;
            }
            // The queue at the origin is as long as it was when this one joined
            // it, even if most of the others have been served since.
            let view = &mut self.peers[slot - 1];
            view.most_owners = view.most_owners.max(owners);
            if self.owes_too_long(slot, now) {
                self.leave_behind(slot);
                continue;
            }
            let since = |slot: AgentSlot| self.peers[slot - 1].owing_since;
            if longest.is_none_or(|other| since(slot) < since(other)) {
                longest = Some(slot);
            }
        }
        // With the origin failing here too, the fault is not the owner's.
        let idle_since = |slot: AgentSlot| self.peers[slot - 1].owing_since.max(self.progress_at);
        let patience = self.settings.origin_step_ms * IDLE_STEPS;
        if let Some(slot) = longest
            && !self.origin.is_failing()
            && now.0.saturating_sub(idle_since(slot).0) > patience
        {
            self.leave_behind(slot);
            // One owner at a time: if the origin itself is slow, all of them
            // look alike, and replacing all at once would draw many copies.
            self.progress_at = now;
        }
    }

    fn owes_too_long(&self, slot: AgentSlot, now: Timestamp) -> bool {
        let view = &self.peers[slot - 1];
        let others = self.seeds - view.seeds_then;
        others >= OWING_SEEDS + OWING_ROUNDS * view.most_owners
            && now.0.saturating_sub(view.owing_since.0) > self.settings.origin_step_ms
    }

    fn leave_behind(&mut self, slot: AgentSlot) {
        self.peers[slot - 1].behind = true;
        self.leave_shares(slot);
    }
}
