//! Which chunks an agent fetches from other regions.
//!
//! Of the agents of a region the one that ranks first for a chunk imports it.
//! If it does not, as when it dies or its link stalls, a chunk that has been
//! held anywhere for a while is fetched by whoever wants it.

use cassiawheel_model::{Deadline, Timestamp};

use super::{
    bits::ChunkBits,
    shares::{AgentSlot, OWN_SLOT, OriginShares},
};

/// Time that the importer of a chunk has, in milliseconds.
///
/// A chunk of 48 KB takes some 40 ms over a small link, and an importer has
/// a handful of them.
const PATIENCE_MS: u64 = 700;

/// The imports of one manifest at one agent.
#[derive(Debug, Clone)]
pub(super) struct ChunkImports {
    shares: OriginShares,
    /// Reachable holders of each chunk in the own region.
    near: Vec<u16>,
    /// When each chunk was first held by another agent.
    offered_at: Vec<Option<Timestamp>>,
    /// Chunks for which the importer had its time.
    overdue: ChunkBits,
}

impl ChunkImports {
    /// Imports of `own`, which knows no other agent yet.
    pub(super) fn new(own: &str, chunks: usize) -> Self {
        Self {
            shares: OriginShares::new(own, chunks, false),
            near: vec![0; chunks],
            offered_at: vec![None; chunks],
            overdue: ChunkBits::empty(chunks),
        }
    }

    /// Adds an agent; slots are those of the picker.
    pub(super) fn add(&mut self, name: &str) {
        self.shares.add(name, false);
    }

    /// Lets an agent of the own region import the chunks for which it ranks first.
    pub(super) fn join(&mut self, slot: AgentSlot) {
        self.shares.join(slot);
    }

    /// Takes an agent out.
    pub(super) fn leave(&mut self, slot: AgentSlot) {
        self.shares.leave(slot);
    }

    /// Notes a further holder of a chunk.
    pub(super) fn gain(&mut self, index: usize, is_remote: bool, now: Timestamp) {
        self.offered_at[index].get_or_insert(now);
        if !is_remote {
            self.near[index] += 1;
        }
    }

    /// Notes that a holder of a chunk is gone.
    pub(super) fn lose(&mut self, index: usize, is_remote: bool) {
        if !is_remote {
            self.near[index] = self.near[index].saturating_sub(1);
        }
    }

    /// Whether this agent may fetch a chunk from another region.
    pub(super) fn may_import(&self, index: usize) -> bool {
        // Once one agent of the region has it, the others fetch it from that one;
        // overdue chunks crossed four times as often as they had to.
        let is_lacking = self.near[index] == 0;
        is_lacking && (self.overdue.contains(index) || self.shares.owner(index) == OWN_SLOT)
    }

    /// When a chunk was first held by another agent.
    pub(super) fn offered_at(&self, index: usize) -> Option<Timestamp> {
        self.offered_at[index]
    }

    /// Looks for chunks whose importer had its time.
    pub(super) fn review(&mut self, now: Timestamp) {
        for (index, offered_at) in self.offered_at.iter().enumerate() {
            let until = offered_at.map(|at| Deadline(at.0 + PATIENCE_MS));
            if self.near[index] == 0 && until.is_some_and(|until| until.is_past(now)) {
                self.overdue.insert(index);
            }
        }
    }
}
