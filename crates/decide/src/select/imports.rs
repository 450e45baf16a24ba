//! Selects the chunks that an agent fetches from other regions.
//!
//! Of the agents of a region, the one with the first rank for a chunk imports it. If it
//! does not, because it failed or its link stalls, any agent of the region may import a
//! chunk that another agent has held for some time.

use cassiawheel_model::{Deadline, Timestamp};

use super::{
    bits::ChunkBits,
    owners::{AgentSlot, ChunkOwners, OWN_SLOT},
};

/// Time after which the importer of a chunk is considered failed, in milliseconds.
///
/// A chunk of 48 KB takes about 40 ms over a slow link, and an importer has a handful of
/// them.
const IMPORT_TIMEOUT_MS: u64 = 700;

/// Tracks which chunks of one manifest an agent may import.
#[derive(Debug, Clone)]
pub(super) struct ChunkImports {
    owners: ChunkOwners,
    /// Number of reachable holders of each chunk in this agent's region.
    local_holders: Vec<u16>,
    /// When each chunk was first held by another agent.
    offered_at: Vec<Option<Timestamp>>,
    /// Chunks whose importer has timed out.
    overdue: ChunkBits,
}

impl ChunkImports {
    /// Creates the imports of the agent `own`, without other agents.
    pub(super) fn new(own: &str, chunks: usize) -> Self {
        Self {
            owners: ChunkOwners::new(own, chunks, false),
            local_holders: vec![0; chunks],
            offered_at: vec![None; chunks],
            overdue: ChunkBits::empty(chunks),
        }
    }

    /// Adds an agent, in the slot order of the picker.
    pub(super) fn add(&mut self, name: &str) {
        self.owners.add(name, false);
    }

    /// Lets an agent of the same region import the chunks for which it ranks first.
    pub(super) fn join(&mut self, slot: AgentSlot) {
        self.owners.join(slot);
    }

    /// Gives the chunks of an agent to the agents with the next ranks.
    pub(super) fn leave(&mut self, slot: AgentSlot) {
        self.owners.leave(slot);
    }

    /// Records a further holder of a chunk.
    pub(super) fn add_holder(&mut self, index: usize, is_remote: bool, now: Timestamp) {
        self.offered_at[index].get_or_insert(now);
        if !is_remote {
            self.local_holders[index] += 1;
        }
    }

    /// Records that a holder of a chunk is gone.
    pub(super) fn remove_holder(&mut self, index: usize, is_remote: bool) {
        if !is_remote {
            self.local_holders[index] = self.local_holders[index].saturating_sub(1);
        }
    }

    /// Whether this agent may fetch a chunk from another region.
    pub(super) fn may_import(&self, index: usize) -> bool {
        // Once one agent of the region holds the chunk, the others fetch it from that one.
        // Without this check overdue chunks crossed between regions four times as often
        // as necessary.
        let is_missing = self.local_holders[index] == 0;
        is_missing && (self.overdue.contains(index) || self.owners.owner(index) == OWN_SLOT)
    }

    /// Returns when another agent first held a chunk.
    pub(super) fn offered_at(&self, index: usize) -> Option<Timestamp> {
        self.offered_at[index]
    }

    /// Marks the chunks whose importer has timed out.
    pub(super) fn review(&mut self, now: Timestamp) {
        for (index, offered_at) in self.offered_at.iter().enumerate() {
            let until = offered_at.map(|at| Deadline(at.0 + IMPORT_TIMEOUT_MS));
            if self.local_holders[index] == 0 && until.is_some_and(|until| until.is_past(now)) {
                self.overdue.insert(index);
            }
        }
    }
}
