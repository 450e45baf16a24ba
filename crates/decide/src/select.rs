//! Which chunk to fetch next, and from whom.
//!
//! Rarest first with random ties, from a peer that holds it; the origin only
//! for chunks that no peer holds, and there only by rank: the agent that ranks
//! first for a chunk may go at once, the next one step later, and so on. One
//! copy so suffices without any talk, and a dead first agent costs one step.

use std::collections::HashMap;

use cassiawheel_model::{Deadline, InstanceId, Timestamp};
use rand::{Rng, seq::IndexedRandom};

use crate::rank::rank_among;

/// Where a chunk is fetched.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ChunkSource {
    /// The origin of weights.
    Origin,
    /// Another agent.
    Peer(InstanceId),
}

/// One fetch to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchOrder {
    /// The chunk.
    pub index: usize,
    /// Where.
    pub source: ChunkSource,
    /// When to give up on the source.
    pub deadline: Deadline,
}

/// Settings of a picker.
#[derive(Debug, Clone)]
pub struct PickerSettings {
    /// This agent.
    pub instance: InstanceId,
    /// Wait before a chunk is asked of another source, in milliseconds.
    pub stall_ms: u64,
    /// One step of the wait for the origin, in milliseconds.
    pub origin_step_ms: u64,
    /// Fetches at one peer at a time.
    pub per_peer: usize,
}

#[derive(Debug, Clone)]
struct PeerView {
    held: Vec<bool>,
    fetching: usize,
    avoided_until: Deadline,
}

/// Chooses fetches for one manifest at one agent.
#[derive(Debug, Clone)]
pub struct ChunkPicker {
    settings: PickerSettings,
    started_at: Timestamp,
    held: Vec<bool>,
    missing: usize,
    fetching: HashMap<usize, FetchOrder>,
    peers: HashMap<InstanceId, PeerView>,
    holders: Vec<u32>,
    origin_avoided_until: Deadline,
}

/// How long a source is avoided after it failed, in milliseconds.
const AVOID_MS: u64 = 1_000;

impl ChunkPicker {
    /// A picker for `chunks` chunks, none of which is held.
    pub fn new(settings: PickerSettings, chunks: usize, now: Timestamp) -> Self {
        Self {
            settings,
            started_at: now,
            held: vec![false; chunks],
            missing: chunks,
            fetching: HashMap::new(),
            peers: HashMap::new(),
            holders: vec![0; chunks],
            origin_avoided_until: Deadline(0),
        }
    }

    /// Notes that a verified chunk is held here.
    pub fn mark_held(&mut self, index: usize) {
        self.fetching_ends(index);
        if let Some(held) = self.held.get_mut(index).filter(|held| !**held) {
            *held = true;
            self.missing -= 1;
        }
    }

    /// Adds a peer that holds nothing as far as is known.
    pub fn add_peer(&mut self, peer: &InstanceId) {
        let held = vec![false; self.held.len()];
        self.peers.entry(peer.clone()).or_insert(PeerView {
            held,
            fetching: 0,
            avoided_until: Deadline(0),
        });
    }

    /// Forgets a peer; fetches from it are free to go elsewhere.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        let Some(view) = self.peers.remove(peer) else {
            return;
        };
        for (index, _) in view.held.iter().enumerate().filter(|(_, held)| **held) {
            self.holders[index] -= 1;
        }
        self.fetching.retain(|_, order| order.source != ChunkSource::Peer(peer.clone()));
    }

    /// Notes that `peer` says it holds the chunk.
    pub fn peer_holds(&mut self, peer: &InstanceId, index: usize) {
        let Some(view) = self.peers.get_mut(peer) else {
            return;
        };
        if let Some(held) = view.held.get_mut(index).filter(|held| !**held) {
            *held = true;
            self.holders[index] += 1;
        }
    }

    /// Notes that a fetch failed; the source is avoided for a while.
    pub fn fetch_failed(&mut self, order: &FetchOrder, now: Timestamp) {
        if self.fetching.get(&order.index) == Some(order) {
            self.fetching_ends(order.index);
        }
        let until = Deadline(now.0 + AVOID_MS);
        match &order.source {
            ChunkSource::Origin => self.origin_avoided_until = until,
            ChunkSource::Peer(peer) => {
                let Some(view) = self.peers.get_mut(peer) else {
                    return;
                };
                view.avoided_until = until;
                // A peer that lied or sent corrupt bytes is not asked again
                // for this chunk, or the chunk might never arrive.
                if std::mem::take(&mut view.held[order.index]) {
                    self.holders[order.index] -= 1;
                }
            }
        }
    }

    /// Notes that the source was busy; nothing is held against it.
    pub fn fetch_deferred(&mut self, order: &FetchOrder) {
        if self.fetching.get(&order.index) == Some(order) {
            self.fetching_ends(order.index);
        }
    }

    /// Notes that the origin asks to come back later.
    pub fn avoid_origin(&mut self, until: Deadline) {
        self.origin_avoided_until = self.origin_avoided_until.max(until);
    }

    /// The next fetch, if one may start now.
    pub fn next(&mut self, now: Timestamp, rng: &mut impl Rng) -> Option<FetchOrder> {
        let index =
            self.rarest_from_peers(now, rng).or_else(|| self.allowed_at_origin(now, rng))?;
        let source = match self.holder_of(index, now, rng) {
            Some(peer) => ChunkSource::Peer(peer),
            None => ChunkSource::Origin,
        };
        let deadline = Deadline(now.0 + self.settings.stall_ms);
        if let ChunkSource::Peer(peer) = &source
            && let Some(view) = self.peers.get_mut(peer)
        {
            view.fetching += 1;
        }
        let order = FetchOrder { index, source, deadline };
        self.fetching.insert(index, order.clone());
        Some(order)
    }

    /// Chunks still missing.
    pub fn missing(&self) -> usize {
        self.missing
    }

    /// Which chunks are held.
    pub fn held(&self) -> &[bool] {
        &self.held
    }

    fn wanted(&self) -> impl Iterator<Item = usize> {
        (0..self.held.len())
            .filter(|index| !self.held[*index] && !self.fetching.contains_key(index))
    }

    fn usable_peers(&self, now: Timestamp) -> impl Iterator<Item = (&InstanceId, &PeerView)> {
        let per_peer = self.settings.per_peer;
        self.peers
            .iter()
            .filter(move |(_, view)| view.avoided_until.is_past(now) && view.fetching < per_peer)
    }

    fn rarest_from_peers(&self, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        let peers: Vec<_> = self.usable_peers(now).map(|(_, view)| view).collect();
        let offered = self
            .wanted()
            .filter(|index| self.holders[*index] > 0 && peers.iter().any(|view| view.held[*index]));
        pick_least(offered, |index| self.holders[index], rng)
    }

    fn allowed_at_origin(&self, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        if !self.origin_avoided_until.is_past(now) {
            return None;
        }
        let waited = now.since(self.started_at).as_millis() as u64;
        let allowed_rank = (waited / self.settings.origin_step_ms.max(1)) as usize;
        let unheld = self.wanted().filter(|index| self.holders[*index] == 0);
        let allowed: Vec<_> = unheld
            .map(|index| (index, self.rank_of(index)))
            .filter(|(_, rank)| *rank <= allowed_rank)
            .collect();
        pick_least(
            allowed.iter().map(|(index, _)| *index),
            |index| {
                allowed
                    .iter()
                    .find(|(other, _)| *other == index)
                    .map_or(u32::MAX, |(_, r)| *r as u32)
            },
            rng,
        )
    }

    fn rank_of(&self, index: usize) -> usize {
        let others = self.peers.keys().map(InstanceId::as_str);
        rank_among(index as u64, self.settings.instance.as_str(), others)
    }

    fn holder_of(&self, index: usize, now: Timestamp, rng: &mut impl Rng) -> Option<InstanceId> {
        let holders: Vec<_> = self.usable_peers(now).filter(|(_, view)| view.held[index]).collect();
        let least = holders.iter().map(|(_, view)| view.fetching).min()?;
        let idle: Vec<_> = holders.iter().filter(|(_, view)| view.fetching == least).collect();
        idle.choose(rng).map(|(peer, _)| (*peer).clone())
    }

    fn fetching_ends(&mut self, index: usize) {
        let Some(order) = self.fetching.remove(&index) else {
            return;
        };
        if let ChunkSource::Peer(peer) = &order.source
            && let Some(view) = self.peers.get_mut(peer)
        {
            view.fetching = view.fetching.saturating_sub(1);
        }
    }
}

fn pick_least(
    candidates: impl Iterator<Item = usize>,
    cost: impl Fn(usize) -> u32,
    rng: &mut impl Rng,
) -> Option<usize> {
    let mut least = u32::MAX;
    let mut ties = Vec::new();
    for index in candidates {
        let value = cost(index);
        if value < least {
            least = value;
            ties.clear();
        }
        if value == least {
            ties.push(index);
        }
    }
    ties.choose(rng).copied()
}
