//! Selects the chunks that an agent fetches from other regions.
//!
//! Of the agents of a region, the one with the first rank for a chunk imports it. If it
//! does not, because it failed or its link stalls, the agents with the next ranks may import
//! the chunk, one after another. All of them at once would fill the link between the
//! regions, and the importers of the next chunks would be late as well.

use cassiawheel_model::{Deadline, Timestamp};

use super::{
    ChunkPicker,
    bits::ChunkBits,
    owners::{AgentSlot, ChunkOwners, OWN_SLOT},
};

/// Time after which the importer of a chunk is considered failed, in milliseconds.
///
/// A chunk of 48 KB takes about 40 ms over a slow link, and an importer has a handful of
/// them.
const IMPORT_TIMEOUT_MS: u64 = 700;

/// Additional delay of each further rank in importing a chunk, in milliseconds.
///
/// An import over a link of 7.6 Mbit/s takes 120 to 320 ms.
const IMPORT_STEP_MS: u64 = 300;

/// Imports that may be in progress beside the usual number of fetches from peers.
///
/// The agents of a region wait for a chunk until its importer has it.
const EXTRA_IMPORTS: usize = 1;

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

    /// Marks the chunks that this agent may import because those with earlier ranks are late.
    pub(super) fn review(&mut self, now: Timestamp) {
        for (index, offered_at) in self.offered_at.iter().enumerate() {
            let Some(offered_at) = offered_at.filter(|_| self.local_holders[index] == 0) else {
                continue;
            };
            let first_at = offered_at.0 + IMPORT_TIMEOUT_MS;
            if !Deadline(first_at).is_past(now) || self.overdue.contains(index) {
                continue;
            }
            let before = self.owners.rank(OWN_SLOT, index).saturating_sub(1) as u64;
            if Deadline(first_at + IMPORT_STEP_MS * before).is_past(now) {
                self.overdue.insert(index);
            }
        }
    }
}

impl ChunkPicker {
    /// Returns the slot of a peer in another region and the chunk to import from it.
    ///
    /// Imports precede the chunks that the region has already.
    pub(super) fn select_import(&self, now: Timestamp) -> Option<(AgentSlot, usize)> {
        let importing = self.fetching.values().filter(|order| order.is_import).count();
        let from_peers = self.fetching.len() - self.origin_fetch_count;
        if importing > EXTRA_IMPORTS || from_peers >= self.peer_fetch_limit(now) + EXTRA_IMPORTS {
            return None;
        }
        let remote_peers = self.peers.iter().enumerate().filter(|(_, view)| {
            view.is_remote && view.is_usable(now, self.settings.max_fetches_per_peer)
        });
        let offers = remote_peers.filter_map(|(position, view)| {
            let mut offered = view.held.iter_common(&self.wanted);
            let index = offered.find(|index| self.imports.may_import(*index))?;
            Some((view.fetching, position + 1, index))
        });
        let (_, slot, index) = offers.min()?;
        Some((slot, index))
    }
}
