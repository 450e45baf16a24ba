//! Chunk selection of the peer-to-peer weight transfer: what to fetch next, from where.
//!
//! From peers: the peer with the fewest fetches in progress, and of its chunks the rarest,
//! with random tie-breaking. From the origin: only chunks that no reachable peer holds and
//! that this agent owns (see [`shares`]). One copy of each chunk from the origin is
//! therefore enough, however long the transfer takes. An owner loses its chunks when it is
//! silent, cannot be fetched from, or delivers nothing while the others do; the agents with
//! the next ranks then own them.
//!
//! Links between regions are shared and costly. A chunk crosses into a region once: the
//! agent there with the first rank for it imports it, and the others wait for that agent
//! (see [`imports`]).

mod bits;
mod imports;
mod orders;
mod origin_fetches;
mod origin_schedule;
mod owners;
mod ownership;
mod peers;
mod requests;
mod settings;

use std::{collections::HashMap, ops::Range};

use cassiawheel_model::{Deadline, InstanceId, Timestamp};
use rand::Rng;

pub use bits::ChunkBits;
use imports::ChunkImports;
pub use orders::{ChunkSource, FetchOrder};
use origin_schedule::OriginSchedule;
use owners::{AgentSlot, ChunkOwners};
pub use peers::FetchFailure;
use peers::{MAX_BACKOFF_MS, PeerView, SourceBackoff};
pub use settings::{PeerLocation, PickerSettings};

/// Selects the fetches of one agent for one manifest.
#[derive(Debug, Clone)]
pub struct ChunkPicker {
    settings: PickerSettings,
    /// Chunks that are neither held nor being fetched.
    wanted: ChunkBits,
    /// Chunks fetched from peers of the region before all others; empty for none.
    preferred: ChunkBits,
    held: ChunkBits,
    missing: usize,
    fetching: HashMap<usize, FetchOrder>,
    origin_fetch_count: usize,
    slots: HashMap<InstanceId, AgentSlot>,
    peers: Vec<PeerView>,
    /// Reachable peers that hold each chunk.
    holders: Vec<u16>,
    /// Chunks not held here that no reachable peer holds.
    unseeded: ChunkBits,
    /// Chunks with too few holders that this agent has to fetch from the origin again.
    scarce: ChunkBits,
    owners: ChunkOwners,
    imports: ChunkImports,
    schedule: OriginSchedule,
    origin: SourceBackoff,
    extra_fetches: usize,
    /// Chunks that the origin has delivered to any agent as their first copy.
    seeds: usize,
    /// When the last of them was delivered, or an owner was replaced.
    progress_at: Timestamp,
    next_review: Deadline,
    peer_latency_ms: u64,
    /// When a peer last delivered a chunk.
    delivered_at: Timestamp,
    origin_latency_ms: u64,
}

/// Longest wait for the chunk inventory of a peer, in milliseconds.
const INVENTORY_TIMEOUT_MS: u64 = 1_000;

/// First backoff after a peer had no free slot, in milliseconds; doubled each time.
///
/// A slot becomes free with each chunk sent, about every 40 ms over a slow link. Agents
/// that retried after 10 ms sent thousands of requests for one chunk with a single holder.
const BUSY_BACKOFF_MS: u64 = 20;

/// Limit of the doublings of that backoff.
const BUSY_DOUBLINGS: u32 = 2;

/// Timeout of a fetch as a multiple of the average latency.
const TIMEOUT_FACTOR: u64 = 8;

impl ChunkPicker {
    /// Creates a picker for `chunks` chunks, none of which is held.
    pub fn new(settings: PickerSettings, chunks: usize, now: Timestamp) -> Self {
        Self {
            owners: ChunkOwners::new(settings.instance.as_str(), chunks, settings.in_origin_region),
            imports: ChunkImports::new(settings.instance.as_str(), chunks),
            schedule: OriginSchedule::new(settings.origin_chunk_ms, chunks, now),
            settings,
            wanted: ChunkBits::full(chunks),
            preferred: ChunkBits::empty(chunks),
            held: ChunkBits::empty(chunks),
            missing: chunks,
            fetching: HashMap::new(),
            origin_fetch_count: 0,
            slots: HashMap::new(),
            peers: Vec::new(),
            holders: vec![0; chunks],
            unseeded: ChunkBits::full(chunks),
            scarce: ChunkBits::empty(chunks),
            origin: SourceBackoff::default(),
            extra_fetches: 0,
            seeds: 0,
            progress_at: now,
            next_review: Deadline(0),
            peer_latency_ms: 0,
            delivered_at: now,
            origin_latency_ms: 0,
        }
    }

    /// Records that this agent holds a verified chunk.
    pub fn mark_held(&mut self, index: usize) {
        if self.held.insert(index) {
            self.wanted.remove(index);
            self.unseeded.remove(index);
            self.missing -= 1;
        }
    }

    /// Fetches the chunks in `indices` before the others, where other agents of the region hold
    /// them.
    ///
    /// Fetches from the origin and from other regions keep their order, so that each chunk still
    /// leaves the origin and crosses into a region once.
    pub fn prefer(&mut self, indices: Range<usize>) {
        indices.for_each(|index| {
            self.preferred.insert(index);
        });
    }

    /// Returns how many of the chunks in `indices` are held.
    pub fn held_of(&self, indices: Range<usize>) -> usize {
        indices.filter(|index| self.held.contains(*index)).count()
    }

    /// Records that a chunk believed to be held is missing or corrupt.
    pub fn mark_lost(&mut self, index: usize) {
        if self.held.remove(index) {
            self.wanted.insert(index);
            self.missing += 1;
            if self.holders[index] == 0 {
                self.unseeded.insert(index);
            }
        }
    }

    /// Records the location of `peer`; without it the peer counts as in the same region.
    pub fn set_peer_location(&mut self, peer: &InstanceId, place: PeerLocation, now: Timestamp) {
        let slot = self.slot_with(peer, place, now);
        self.peers[slot - 1].is_remote = place.is_remote;
    }

    /// Records that the inventory of `peer` is expected.
    ///
    /// Until it arrives or times out, nothing is fetched from the origin: an agent that
    /// joins late would otherwise fetch chunks there that all other agents hold.
    pub fn expect_peer(&mut self, peer: &InstanceId, now: Timestamp) {
        self.slot_of(peer, now);
    }

    /// Records that a connection to `peer` is established.
    pub fn peer_connected(&mut self, peer: &InstanceId, now: Timestamp) {
        let slot = self.slot_of(peer, now);
        let view = &mut self.peers[slot - 1];
        view.connected = true;
        view.last_message_at = now;
        view.inventory_until = Deadline(now.0 + INVENTORY_TIMEOUT_MS);
        self.include_chunks(slot, now);
    }

    /// Records that `peer` has announced all chunks that it holds.
    pub fn peer_inventory_complete(&mut self, peer: &InstanceId) {
        if let Some(slot) = self.slots.get(peer) {
            self.peers[slot - 1].inventory_until = Deadline(0);
        }
    }

    /// Removes a peer's chunks; its fetches in progress may be repeated from other sources.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        let Some(slot) = self.slots.get(peer).copied() else {
            return;
        };
        self.exclude_chunks(slot);
        self.leave_owners(slot);
        let view = &mut self.peers[slot - 1];
        view.held = ChunkBits::empty(self.holders.len());
        view.origin_fetches.clear();
        view.connected = false;
        view.lost_ownership = false;
        view.inventory_until = Deadline(0);
        let source = ChunkSource::Peer(peer.clone());
        let lost: Vec<_> =
            self.fetching.values().filter(|order| order.source == source).cloned().collect();
        for order in &lost {
            self.end_fetch(order);
        }
    }

    /// Records that `peer` has announced these chunks.
    pub fn peer_holds(
        &mut self,
        peer: &InstanceId,
        indices: impl IntoIterator<Item = usize>,
        now: Timestamp,
    ) {
        let Some(slot) = self.slots.get(peer).copied() else {
            return;
        };
        let view = &mut self.peers[slot - 1];
        if !view.connected {
            return;
        }
        view.last_message_at = now;
        let is_included = view.is_included;
        let mut seeded = false;
        for index in indices {
            if !self.peers[slot - 1].held.insert(index) || !is_included {
                continue;
            }
            self.holders[index] += 1;
            self.imports.add_holder(index, self.peers[slot - 1].is_remote, now);
            seeded |= self.unseeded.remove(index);
        }
        if seeded {
            self.record_seed(now);
            self.reset_owner_progress(slot, now);
            self.peers[slot - 1].lost_ownership = false;
        }
        self.include_chunks(slot, now);
        self.join_owners(slot, now);
    }

    /// Records which chunks `peer` is fetching from the origin.
    pub fn set_peer_origin_fetches(
        &mut self,
        peer: &InstanceId,
        indices: Vec<usize>,
        now: Timestamp,
    ) {
        if let Some(slot) = self.slots.get(peer).copied() {
            let view = &mut self.peers[slot - 1];
            view.last_message_at = now;
            view.origin_fetches = indices;
        }
    }

    /// Records that a fetch delivered a verified chunk.
    pub fn fetch_succeeded(&mut self, order: &FetchOrder, now: Timestamp) {
        self.end_fetch(order);
        let latency = now.0.saturating_sub(order.started_at.0);
        match &order.source {
            ChunkSource::Origin => {
                self.origin.succeeded();
                self.origin_latency_ms = moving_average(self.origin_latency_ms, latency);
                if self.unseeded.contains(order.index) {
                    self.record_seed(now);
                }
            }
            ChunkSource::Peer(peer) => {
                self.delivered_at = now;
                self.peer_latency_ms = moving_average(self.peer_latency_ms, latency);
                if let Some(slot) = self.slots.get(peer).copied() {
                    self.peers[slot - 1].backoff.succeeded();
                    self.peers[slot - 1].busy = 0;
                    self.include_chunks(slot, now);
                }
            }
        }
        self.mark_held(order.index);
    }

    /// Records that a fetch failed; the source is backed off.
    pub fn fetch_failed(&mut self, order: &FetchOrder, cause: FetchFailure, now: Timestamp) {
        self.end_fetch(order);
        let ChunkSource::Peer(peer) = &order.source else {
            self.origin.failed(cause, self.max_origin_backoff_ms(), now);
            return;
        };
        let Some(slot) = self.slots.get(peer).copied() else {
            return;
        };
        self.peers[slot - 1].backoff.failed(cause, MAX_BACKOFF_MS, now);
        // If no peer has delivered a chunk meanwhile, this agent's link is congested.
        if cause == FetchFailure::TimedOut && self.delivered_at < order.started_at {
            let waited = now.0.saturating_sub(order.started_at.0);
            self.peer_latency_ms = self.peer_latency_ms.max(waited);
        }
        // A peer that sent corrupt bytes or lacks an announced chunk is not asked for it
        // again until it announces the chunk once more.
        if cause == FetchFailure::Corrupt {
            self.forget_chunk(slot, order.index);
        }
        // If the only copy of a chunk is at a peer that cannot be fetched from, all agents
        // would stall; without that peer the chunk gets a new owner.
        if self.peers[slot - 1].backoff.is_untrusted() {
            self.exclude_chunks(slot);
            self.leave_owners(slot);
        }
    }

    /// Records that the source was busy, which does not count as a failure.
    pub fn fetch_deferred(&mut self, order: &FetchOrder, now: Timestamp) {
        self.end_fetch(order);
        if let ChunkSource::Peer(peer) = &order.source
            && let Some(slot) = self.slots.get(peer)
        {
            let view = &mut self.peers[slot - 1];
            let backoff = BUSY_BACKOFF_MS << view.busy.min(BUSY_DOUBLINGS);
            view.busy += 1;
            view.backoff.avoid(Deadline(now.0 + backoff));
        }
    }

    /// Avoids the origin until the time that it requested.
    pub fn back_off_origin(&mut self, until: Deadline) {
        self.origin.avoid(until);
    }

    /// Returns the next fetch, if one may start now.
    pub fn next(&mut self, now: Timestamp, rng: &mut impl Rng) -> Option<FetchOrder> {
        self.review_peers(now);
        let from_origin = self.owned_chunk(now, rng).or_else(|| self.scarce_chunk(now));
        if let Some(index) = from_origin {
            return Some(self.start(index, ChunkSource::Origin, false, now));
        }
        if let Some((slot, index)) = self.select_from_peers(now, rng) {
            let view = &mut self.peers[slot - 1];
            view.fetching += 1;
            let (source, is_remote) = (ChunkSource::Peer(view.instance.clone()), view.is_remote);
            return Some(self.start(index, source, is_remote, now));
        }
        let index = self.extra_chunk(now, rng)?;
        self.extra_fetches += 1;
        Some(self.start(index, ChunkSource::Origin, false, now))
    }

    /// Returns the number of chunks not held yet.
    pub fn missing(&self) -> usize {
        self.missing
    }

    /// Returns the chunks held.
    pub fn held(&self) -> &ChunkBits {
        &self.held
    }

    /// Returns the chunks being fetched from the origin.
    pub fn origin_fetches(&self) -> Vec<usize> {
        let orders = self.fetching.values();
        let from_origin = orders.filter(|order| order.source == ChunkSource::Origin);
        from_origin.map(|order| order.index).collect()
    }

    fn slot_of(&mut self, peer: &InstanceId, now: Timestamp) -> AgentSlot {
        if let Some(slot) = self.slots.get(peer) {
            return *slot;
        }
        self.slot_with(peer, PeerLocation::default(), now)
    }

    fn slot_with(&mut self, peer: &InstanceId, place: PeerLocation, now: Timestamp) -> AgentSlot {
        if let Some(slot) = self.slots.get(peer) {
            return *slot;
        }
        let slot = self.owners.add(peer.as_str(), place.in_origin_region);
        self.imports.add(peer.as_str());
        let inventory_until = Deadline(now.0 + INVENTORY_TIMEOUT_MS);
        self.peers.push(PeerView::new(peer, self.holders.len(), now, inventory_until));
        self.slots.insert(peer.clone(), slot);
        slot
    }

    fn start(
        &mut self,
        index: usize,
        source: ChunkSource,
        is_import: bool,
        now: Timestamp,
    ) -> FetchOrder {
        let timeout = match source {
            ChunkSource::Origin => self.origin_timeout_ms(),
            ChunkSource::Peer(_) => self.peer_timeout_ms(),
        };
        self.origin_fetch_count += usize::from(source == ChunkSource::Origin);
        self.wanted.remove(index);
        let deadline = Deadline(now.0 + timeout);
        let order = FetchOrder { index, source, started_at: now, deadline, is_import };
        self.fetching.insert(index, order.clone());
        order
    }

    fn end_fetch(&mut self, order: &FetchOrder) {
        if self.fetching.get(&order.index) != Some(order) {
            return;
        }
        self.fetching.remove(&order.index);
        if !self.held.contains(order.index) {
            self.wanted.insert(order.index);
        }
        match &order.source {
            ChunkSource::Origin => self.origin_fetch_count -= 1,
            ChunkSource::Peer(peer) => {
                if let Some(slot) = self.slots.get(peer) {
                    let view = &mut self.peers[slot - 1];
                    view.fetching = view.fetching.saturating_sub(1);
                }
            }
        }
    }

    fn peer_timeout_ms(&self) -> u64 {
        let stall = self.settings.stall_ms;
        match self.peer_latency_ms {
            0 => stall,
            latency => (latency * TIMEOUT_FACTOR).clamp(stall / 2, stall),
        }
    }

    fn forget_chunk(&mut self, slot: AgentSlot, index: usize) {
        let view = &mut self.peers[slot - 1];
        let is_remote = view.is_remote;
        if view.held.remove(index) && view.is_included {
            self.release_holder(index, is_remote);
        }
    }

    fn release_holder(&mut self, index: usize, is_remote: bool) {
        self.holders[index] -= 1;
        self.imports.remove_holder(index, is_remote);
        if self.holders[index] == 0 && !self.held.contains(index) {
            self.unseeded.insert(index);
        }
    }
}

fn moving_average(average: u64, latest: u64) -> u64 {
    if average == 0 { latest } else { (average * 7 + latest) / 8 }
}

fn choose_least(
    candidates: impl Iterator<Item = (usize, u16)>,
    rng: &mut impl Rng,
) -> Option<usize> {
    let mut least = u16::MAX;
    let mut chosen = None;
    let mut ties = 0_u32;
    for (candidate, cost) in candidates {
        if cost < least || chosen.is_none() {
            (least, chosen, ties) = (cost, Some(candidate), 1);
            continue;
        }
        if cost == least {
            ties += 1;
            if rng.random_range(0..ties) == 0 {
                chosen = Some(candidate);
            }
        }
    }
    chosen
}
