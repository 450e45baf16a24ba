//! Who draws which chunk from the origin.
//!
//! Every chunk has one owner: the agent that ranks first for it by rendezvous
//! hash among those that take part. All agents compute the same owners from
//! the same names, without talk. An agent that leaves or falls behind is taken
//! out, and just its chunks get new owners. Agents in the origin's region go
//! before all others, since a chunk that leaves that region and comes back
//! crosses between regions twice.

use crate::rank::{chunk_salt, name_salt, salted_weight};

/// Position of an agent in the shares of a picker.
pub(super) type AgentSlot = usize;

/// The slot of the agent itself.
pub(super) const OWN_SLOT: AgentSlot = 0;

#[derive(Debug, Clone)]
struct ShareHolder {
    salt: u64,
    name: String,
    is_preferred: bool,
    taking_part: bool,
}

/// Owners of all chunks of one manifest.
#[derive(Debug, Clone)]
pub(super) struct OriginShares {
    chunk_salts: Vec<u64>,
    holders: Vec<ShareHolder>,
    owners: Vec<AgentSlot>,
}

impl OriginShares {
    /// Shares in which `own` owns all `chunks` chunks.
    pub(super) fn new(own: &str, chunks: usize, is_preferred: bool) -> Self {
        let (salt, name) = (name_salt(own), own.to_owned());
        let own = ShareHolder { salt, name, is_preferred, taking_part: true };
        Self {
            chunk_salts: (0..chunks as u64).map(chunk_salt).collect(),
            holders: vec![own],
            owners: vec![OWN_SLOT; chunks],
        }
    }

    /// Adds an agent that does not take part yet.
    pub(super) fn add(&mut self, name: &str, is_preferred: bool) -> AgentSlot {
        let (salt, name) = (name_salt(name), name.to_owned());
        self.holders.push(ShareHolder { salt, name, is_preferred, taking_part: false });
        self.holders.len() - 1
    }

    /// The owner of a chunk.
    pub(super) fn owner(&self, index: usize) -> AgentSlot {
        self.owners[index]
    }

    /// Whether an agent takes part.
    pub(super) fn takes_part(&self, slot: AgentSlot) -> bool {
        self.holders[slot].taking_part
    }

    /// Agents that take part.
    pub(super) fn participants(&self) -> usize {
        self.holders.iter().filter(|holder| holder.taking_part).count()
    }

    /// Lets an agent own the chunks for which it ranks first.
    pub(super) fn join(&mut self, slot: AgentSlot) {
        if std::mem::replace(&mut self.holders[slot].taking_part, true) {
            return;
        }
        for index in 0..self.owners.len() {
            if self.ranks_before(slot, self.owners[index], index) {
                self.owners[index] = slot;
            }
        }
    }

    /// Gives an agent's chunks to those that rank next.
    pub(super) fn leave(&mut self, slot: AgentSlot) {
        if !std::mem::replace(&mut self.holders[slot].taking_part, false) {
            return;
        }
        for index in 0..self.owners.len() {
            if self.owners[index] == slot {
                self.owners[index] = self.first_ranked(index);
            }
        }
    }

    /// Agents that take part and go before `slot` for a chunk.
    pub(super) fn rank(&self, slot: AgentSlot, index: usize) -> usize {
        let others = (0..self.holders.len()).filter(|other| *other != slot);
        let taking_part = others.filter(|other| self.holders[*other].taking_part);
        taking_part.filter(|other| self.ranks_before(*other, slot, index)).count()
    }

    fn first_ranked(&self, index: usize) -> AgentSlot {
        let taking_part = (0..self.holders.len()).filter(|slot| self.holders[*slot].taking_part);
        let first = taking_part
            .reduce(|first, slot| if self.ranks_before(slot, first, index) { slot } else { first });
        first.unwrap_or(OWN_SLOT)
    }

    /// Whether one agent goes before another for a chunk wherever both stand.
    pub(super) fn ranks_by_weight(&self, slot: AgentSlot, other: AgentSlot, index: usize) -> bool {
        let (own, other) = (&self.holders[slot], &self.holders[other]);
        let salt = self.chunk_salts[index];
        (salted_weight(salt, own.salt), &own.name) > (salted_weight(salt, other.salt), &other.name)
    }

    fn ranks_before(&self, slot: AgentSlot, other: AgentSlot, index: usize) -> bool {
        let (own, other) = (&self.holders[slot], &self.holders[other]);
        let salt = self.chunk_salts[index];
        let rank = |holder: &ShareHolder| (holder.is_preferred, salted_weight(salt, holder.salt));
        (rank(own), &own.name) > (rank(other), &other.name)
    }
}
