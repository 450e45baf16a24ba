//! Which chunk to fetch next, and from whom.
//!
//! From peers: one of the least asked, and of its chunks the rarest, with
//! random ties. From the origin: only chunks that no reachable peer holds, and
//! only those that this agent owns (see [`shares`]). One copy from the origin
//! so suffices, however long the transfer takes. An owner loses its chunks when
//! it falls silent, cannot be fetched from, or brings nothing while the others
//! do; the agents that rank next then own them.
//!
//! Links between regions are shared and dear. A chunk crosses to a region once:
//! the agent there that ranks first for it fetches it from afar, and the others
//! wait for that one (see [`imports`]).

mod bits;
mod draws;
mod imports;
mod orders;
mod ownership;
mod peers;
mod requests;
mod settings;
mod shares;
mod turns;

use std::collections::HashMap;

use cassiawheel_model::{Deadline, InstanceId, Timestamp};
use rand::Rng;

pub use bits::ChunkBits;
use imports::ChunkImports;
pub use orders::{ChunkSource, FetchOrder};
pub use peers::FetchFailure;
use peers::{LONGEST_BACKOFF_MS, PeerView, SourceBackoff};
pub use settings::{PeerLocation, PickerSettings};
use shares::{AgentSlot, OriginShares};
use turns::OriginTurns;

/// Chooses fetches for one manifest at one agent.
#[derive(Debug, Clone)]
pub struct ChunkPicker {
    settings: PickerSettings,
    /// Chunks that are neither held nor being fetched.
    wanted: ChunkBits,
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
    /// Chunks that this agent has to draw again from the origin.
    scarce: ChunkBits,
    shares: OriginShares,
    imports: ChunkImports,
    turns: OriginTurns,
    origin: SourceBackoff,
    extra_draws: usize,
    seeds: usize,
    progress_at: Timestamp,
    next_review: Deadline,
    peer_latency_ms: u64,
    /// When a peer brought a chunk last.
    brought_at: Timestamp,
    origin_latency_ms: u64,
}

/// Longest wait for the list of chunks of a peer, in milliseconds.
const INVENTORY_MS: u64 = 1_000;

/// First wait after a peer had no free slot, in milliseconds; doubled each time.
///
/// A slot comes free with every chunk that has been sent, some 40 ms apart over
/// a small link. Agents that asked again after 10 ms asked thousands of times
/// for one chunk while it had a single holder.
const BUSY_MS: u64 = 20;

/// Doublings of that wait.
const BUSY_DOUBLINGS: u32 = 2;

/// A fetch may take this many times the usual time.
const LATE_FACTOR: u64 = 8;

impl ChunkPicker {
    /// A picker for `chunks` chunks, none of which is held.
    pub fn new(settings: PickerSettings, chunks: usize, now: Timestamp) -> Self {
        Self {
            shares: OriginShares::new(
                settings.instance.as_str(),
                chunks,
                settings.in_origin_region,
            ),
            imports: ChunkImports::new(settings.instance.as_str(), chunks),
            turns: OriginTurns::new(settings.origin_chunk_ms, chunks, now),
            settings,
            wanted: ChunkBits::full(chunks),
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
            extra_draws: 0,
            seeds: 0,
            progress_at: now,
            next_review: Deadline(0),
            peer_latency_ms: 0,
            brought_at: now,
            origin_latency_ms: 0,
        }
    }

    /// Notes that a verified chunk is held here.
    pub fn mark_held(&mut self, index: usize) {
        if self.held.insert(index) {
            self.wanted.remove(index);
            self.unseeded.remove(index);
            self.missing -= 1;
        }
    }

    /// Notes where `peer` stands; one that nobody tells of stands near.
    pub fn set_peer_location(&mut self, peer: &InstanceId, place: PeerLocation, now: Timestamp) {
        let slot = self.slot_with(peer, place, now);
        self.peers[slot - 1].is_remote = place.is_remote;
    }

    /// Expects to hear soon what `peer` holds.
    ///
    /// Until it tells, or takes too long, nothing is drawn from the origin: an
    /// agent that joins late would else draw what all the others hold.
    pub fn expect_peer(&mut self, peer: &InstanceId, now: Timestamp) {
        self.slot_of(peer, now);
    }

    /// Notes that a connection to `peer` is up.
    pub fn peer_connected(&mut self, peer: &InstanceId, now: Timestamp) {
        let slot = self.slot_of(peer, now);
        let view = &mut self.peers[slot - 1];
        view.connected = true;
        view.heard_at = now;
        view.awaited_until = Deadline(now.0 + INVENTORY_MS);
        self.count_chunks(slot, now);
    }

    /// Notes that `peer` has told all it holds.
    pub fn peer_inventory_complete(&mut self, peer: &InstanceId) {
        if let Some(slot) = self.slots.get(peer) {
            self.peers[slot - 1].awaited_until = Deadline(0);
        }
    }

    /// Forgets what a peer holds; fetches from it are free to go elsewhere.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        let Some(slot) = self.slots.get(peer).copied() else {
            return;
        };
        self.discount_chunks(slot);
        self.leave_shares(slot);
        let view = &mut self.peers[slot - 1];
        view.held = ChunkBits::empty(self.holders.len());
        view.drawing.clear();
        view.connected = false;
        view.behind = false;
        view.awaited_until = Deadline(0);
        let source = ChunkSource::Peer(peer.clone());
        let lost: Vec<_> =
            self.fetching.values().filter(|order| order.source == source).cloned().collect();
        for order in &lost {
            self.fetching_ends(order);
        }
    }

    /// Notes that `peer` says it holds these chunks.
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
        view.heard_at = now;
        let counted = view.counted;
        let mut seeded = false;
        for index in indices {
            if !self.peers[slot - 1].held.insert(index) || !counted {
                continue;
            }
            self.holders[index] += 1;
            self.imports.gain(index, self.peers[slot - 1].is_remote, now);
            seeded |= self.unseeded.remove(index);
        }
        if seeded {
            self.note_seed(now);
            self.clear_debt(slot, now);
            self.peers[slot - 1].behind = false;
        }
        self.count_chunks(slot, now);
        self.join_shares(slot, now);
    }

    /// Notes which chunks `peer` draws from the origin at present.
    pub fn set_peer_origin_fetches(
        &mut self,
        peer: &InstanceId,
        indices: Vec<usize>,
        now: Timestamp,
    ) {
        if let Some(slot) = self.slots.get(peer).copied() {
            let view = &mut self.peers[slot - 1];
            view.heard_at = now;
            view.drawing = indices;
        }
    }

    /// Notes that a fetch brought a verified chunk.
    pub fn fetch_succeeded(&mut self, order: &FetchOrder, now: Timestamp) {
        self.fetching_ends(order);
        let latency = now.0.saturating_sub(order.started_at.0);
        match &order.source {
            ChunkSource::Origin => {
                self.origin.succeeded();
                self.origin_latency_ms = smoothed(self.origin_latency_ms, latency);
                if self.unseeded.contains(order.index) {
                    self.note_seed(now);
                }
            }
            ChunkSource::Peer(peer) => {
                self.brought_at = now;
                self.peer_latency_ms = smoothed(self.peer_latency_ms, latency);
                if let Some(slot) = self.slots.get(peer).copied() {
                    self.peers[slot - 1].backoff.succeeded();
                    self.peers[slot - 1].busy = 0;
                    self.count_chunks(slot, now);
                }
            }
        }
        self.mark_held(order.index);
    }

    /// Notes that a fetch failed; the source is avoided for a while.
    pub fn fetch_failed(&mut self, order: &FetchOrder, cause: FetchFailure, now: Timestamp) {
        self.fetching_ends(order);
        let ChunkSource::Peer(peer) = &order.source else {
            self.origin.failed(cause, self.longest_origin_wait_ms(), now);
            return;
        };
        let Some(slot) = self.slots.get(peer).copied() else {
            return;
        };
        self.peers[slot - 1].backoff.failed(cause, LONGEST_BACKOFF_MS, now);
        // If nothing else came meanwhile either, the own link has narrowed.
        if cause == FetchFailure::TimedOut && self.brought_at < order.started_at {
            let waited = now.0.saturating_sub(order.started_at.0);
            self.peer_latency_ms = self.peer_latency_ms.max(waited);
        }
        // A peer that lied or sent corrupt bytes is not asked for this chunk
        // again before it repeats that it holds it.
        if cause == FetchFailure::Corrupt {
            self.forget_chunk(slot, order.index);
        }
        // The only copy of a chunk at a peer that cannot be fetched from would
        // hold everybody up; without that peer the chunk gets a new owner.
        if self.peers[slot - 1].backoff.is_distrusted() {
            self.discount_chunks(slot);
            self.leave_shares(slot);
        }
    }

    /// Notes that the source was busy; nothing is held against it.
    pub fn fetch_deferred(&mut self, order: &FetchOrder, now: Timestamp) {
        self.fetching_ends(order);
        if let ChunkSource::Peer(peer) = &order.source
            && let Some(slot) = self.slots.get(peer)
        {
            let view = &mut self.peers[slot - 1];
            let wait = BUSY_MS << view.busy.min(BUSY_DOUBLINGS);
            view.busy += 1;
            view.backoff.avoid(Deadline(now.0 + wait));
        }
    }

    /// Notes that the origin asks to come back later.
    pub fn back_off_origin(&mut self, until: Deadline) {
        self.origin.avoid(until);
    }

    /// The next fetch, if one may start now.
    pub fn next(&mut self, now: Timestamp, rng: &mut impl Rng) -> Option<FetchOrder> {
        self.review_peers(now);
        let drawn = self.owned_chunk(now, rng).or_else(|| self.scarce_chunk(now));
        if let Some(index) = drawn {
            return Some(self.start(index, ChunkSource::Origin, false, now));
        }
        if let Some((slot, index)) = self.chunk_of_peer(now, rng) {
            let view = &mut self.peers[slot - 1];
            view.fetching += 1;
            let (source, is_remote) = (ChunkSource::Peer(view.instance.clone()), view.is_remote);
            return Some(self.start(index, source, is_remote, now));
        }
        let index = self.extra_chunk(now, rng)?;
        self.extra_draws += 1;
        Some(self.start(index, ChunkSource::Origin, false, now))
    }

    /// Chunks still missing.
    pub fn missing(&self) -> usize {
        self.missing
    }

    /// Which chunks are held.
    pub fn held(&self) -> &ChunkBits {
        &self.held
    }

    /// Chunks that are being drawn from the origin.
    pub fn origin_fetches(&self) -> Vec<usize> {
        let orders = self.fetching.values();
        let drawn = orders.filter(|order| order.source == ChunkSource::Origin);
        drawn.map(|order| order.index).collect()
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
        let slot = self.shares.add(peer.as_str(), place.in_origin_region);
        self.imports.add(peer.as_str());
        let awaited_until = Deadline(now.0 + INVENTORY_MS);
        self.peers.push(PeerView::new(peer, self.holders.len(), now, awaited_until));
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
        let wait = match source {
            ChunkSource::Origin => self.origin_wait_ms(),
            ChunkSource::Peer(_) => self.peer_wait_ms(),
        };
        self.origin_fetch_count += usize::from(source == ChunkSource::Origin);
        self.wanted.remove(index);
        let deadline = Deadline(now.0 + wait);
        let order = FetchOrder { index, source, started_at: now, deadline, is_import };
        self.fetching.insert(index, order.clone());
        order
    }

    fn fetching_ends(&mut self, order: &FetchOrder) {
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

    fn peer_wait_ms(&self) -> u64 {
        let stall = self.settings.stall_ms;
        match self.peer_latency_ms {
            0 => stall,
            latency => (latency * LATE_FACTOR).clamp(stall / 2, stall),
        }
    }

    fn forget_chunk(&mut self, slot: AgentSlot, index: usize) {
        let view = &mut self.peers[slot - 1];
        let is_remote = view.is_remote;
        if view.held.remove(index) && view.counted {
            self.release_holder(index, is_remote);
        }
    }

    fn release_holder(&mut self, index: usize, is_remote: bool) {
        self.holders[index] -= 1;
        self.imports.lose(index, is_remote);
        if self.holders[index] == 0 && !self.held.contains(index) {
            self.unseeded.insert(index);
        }
    }
}

fn smoothed(average: u64, latest: u64) -> u64 {
    if average == 0 { latest } else { (average * 7 + latest) / 8 }
}

fn pick_least(candidates: impl Iterator<Item = (usize, u16)>, rng: &mut impl Rng) -> Option<usize> {
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
