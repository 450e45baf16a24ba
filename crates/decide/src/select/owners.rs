//! Assigns each chunk to the agent that fetches it from the origin.
//!
//! Every chunk has one owner: the active agent with the highest rendezvous hash for it.
//! All agents compute the same owners from the same names, without coordination. When an
//! agent leaves or lags it becomes inactive, and only its chunks get new owners. Agents in
//! the origin's region precede all others, since a chunk that leaves that region and comes
//! back would cross between regions twice.

use crate::rank::{chunk_salt, name_salt, salted_weight};

/// Index of an agent among the candidates of a picker.
pub(super) type AgentSlot = usize;

/// Slot of the agent itself.
pub(super) const OWN_SLOT: AgentSlot = 0;

#[derive(Debug, Clone)]
struct OwnerCandidate {
    salt: u64,
    name: String,
    is_preferred: bool,
    is_active: bool,
}

/// The owner of each chunk of one manifest.
#[derive(Debug, Clone)]
pub(super) struct ChunkOwners {
    chunk_salts: Vec<u64>,
    candidates: Vec<OwnerCandidate>,
    owners: Vec<AgentSlot>,
}

impl ChunkOwners {
    /// Creates an assignment in which `own` owns all `chunks` chunks.
    pub(super) fn new(own: &str, chunks: usize, is_preferred: bool) -> Self {
        let (salt, name) = (name_salt(own), own.to_owned());
        let own = OwnerCandidate { salt, name, is_preferred, is_active: true };
        Self {
            chunk_salts: (0..chunks as u64).map(chunk_salt).collect(),
            candidates: vec![own],
            owners: vec![OWN_SLOT; chunks],
        }
    }

    /// Adds an inactive agent and returns its slot.
    pub(super) fn add(&mut self, name: &str, is_preferred: bool) -> AgentSlot {
        let (salt, name) = (name_salt(name), name.to_owned());
        self.candidates.push(OwnerCandidate { salt, name, is_preferred, is_active: false });
        self.candidates.len() - 1
    }

    /// Returns the owner of a chunk.
    pub(super) fn owner(&self, index: usize) -> AgentSlot {
        self.owners[index]
    }

    /// Whether an agent may own chunks.
    pub(super) fn is_active(&self, slot: AgentSlot) -> bool {
        self.candidates[slot].is_active
    }

    /// Returns the number of active agents.
    pub(super) fn active_count(&self) -> usize {
        self.candidates.iter().filter(|candidate| candidate.is_active).count()
    }

    /// Activates an agent, which then owns the chunks for which it ranks first.
    pub(super) fn join(&mut self, slot: AgentSlot) {
        if std::mem::replace(&mut self.candidates[slot].is_active, true) {
            return;
        }
        for index in 0..self.owners.len() {
            if self.ranks_before(slot, self.owners[index], index) {
                self.owners[index] = slot;
            }
        }
    }

    /// Deactivates an agent; its chunks go to the agents with the next ranks.
    pub(super) fn leave(&mut self, slot: AgentSlot) {
        if !std::mem::replace(&mut self.candidates[slot].is_active, false) {
            return;
        }
        for index in 0..self.owners.len() {
            if self.owners[index] == slot {
                self.owners[index] = self.first_ranked(index);
            }
        }
    }

    /// Returns the number of active agents that precede `slot` for a chunk.
    pub(super) fn rank(&self, slot: AgentSlot, index: usize) -> usize {
        let others = (0..self.candidates.len()).filter(|other| *other != slot);
        let active_slots = others.filter(|other| self.candidates[*other].is_active);
        active_slots.filter(|other| self.ranks_before(*other, slot, index)).count()
    }

    fn first_ranked(&self, index: usize) -> AgentSlot {
        let active_slots =
            (0..self.candidates.len()).filter(|slot| self.candidates[*slot].is_active);
        let first = active_slots
            .reduce(|first, slot| if self.ranks_before(slot, first, index) { slot } else { first });
        first.unwrap_or(OWN_SLOT)
    }

    /// Whether one agent precedes another for a chunk, regardless of their regions.
    pub(super) fn ranks_by_weight(&self, slot: AgentSlot, other: AgentSlot, index: usize) -> bool {
        let (own, other) = (&self.candidates[slot], &self.candidates[other]);
        let salt = self.chunk_salts[index];
        (salted_weight(salt, own.salt), &own.name) > (salted_weight(salt, other.salt), &other.name)
    }

    fn ranks_before(&self, slot: AgentSlot, other: AgentSlot, index: usize) -> bool {
        let (own, other) = (&self.candidates[slot], &self.candidates[other]);
        let salt = self.chunk_salts[index];
        let rank = |agent: &OwnerCandidate| (agent.is_preferred, salted_weight(salt, agent.salt));
        (rank(own), &own.name) > (rank(other), &other.name)
    }
}
