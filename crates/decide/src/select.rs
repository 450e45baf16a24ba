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
mod imports;
mod ownership;
mod peers;
mod shares;
mod turns;

use std::collections::HashMap;

use cassiawheel_model::{Deadline, InstanceId, Timestamp};
use rand::Rng;

pub use bits::ChunkBits;
use imports::ChunkImports;
pub use peers::FetchFailure;
use peers::{LONGEST_BACKOFF_MS, PeerView, SourceBackoff};
use shares::{AgentSlot, OWN_SLOT, OriginShares};
use turns::OriginTurns;

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
    /// When it was given.
    pub started_at: Timestamp,
    /// When to give up on the source.
    pub deadline: Deadline,
    /// Whether the chunk comes from another region, for all agents of this one.
    pub is_import: bool,
}

/// Settings of a picker.
#[derive(Debug, Clone)]
pub struct PickerSettings {
    /// This agent.
    pub instance: InstanceId,
    /// Longest wait before a chunk is asked of another source, in milliseconds.
    pub stall_ms: u64,
    /// Shortest time before an owner that brings nothing loses its chunks, in milliseconds.
    pub origin_step_ms: u64,
    /// Fetches at one peer at a time.
    pub per_peer: usize,
    /// Time after which a chunk that hardly anyone holds is drawn from the origin again, in
    /// milliseconds; zero for never.
    pub rescue_ms: u64,
    /// Fetches from peers at a time.
    pub peer_slots: usize,
    /// Time of a fetch from a peer beyond which there are fewer at a time, in milliseconds;
    /// zero for no limit.
    pub queue_ms: u64,
    /// Copies that all agents together may draw beyond the first to save time.
    pub extra_copies: f64,
    /// Time in which the origin sends one chunk, in milliseconds; zero if not known.
    ///
    /// An origin that serves all agents at once finishes all chunks at the same
    /// late moment. Agents that ask one after another have something to swap
    /// from the start.
    pub origin_chunk_ms: f64,
    /// Whether this agent stands in the origin's region.
    pub is_near_origin: bool,
    /// Draws from the origin by the agents that know each other that may be under way at a
    /// time; zero for no limit.
    pub most_draws: usize,
}

/// Where another agent stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerPlace {
    /// Whether it stands in another region than this agent.
    pub is_far: bool,
    /// Whether it stands in the origin's region.
    pub is_near_origin: bool,
}

/// Chooses fetches for one manifest at one agent.
#[derive(Debug, Clone)]
pub struct ChunkPicker {
    settings: PickerSettings,
    /// Chunks that are neither held nor being fetched.
    wanted: ChunkBits,
    held: ChunkBits,
    missing: usize,
    fetching: HashMap<usize, FetchOrder>,
    origin_fetches: usize,
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

/// Mean time between two tries of all agents together to reach an origin that
/// fails, in milliseconds.
///
/// A refused connection costs the origin less than a hundredth of a chunk.
const ORIGIN_PROBE_MS: u64 = 12;

/// Longest wait for the origin in the smallest groups, in milliseconds.
const SHORTEST_ORIGIN_WAIT_MS: u64 = 200;

/// A fetch may take this many times the usual time.
const LATE_FACTOR: u64 = 8;

/// Random peers looked at before all are.
const PROBES: usize = 8;

/// Agents up to which each may keep two fetches at the origin.
const SMALL_GROUP: usize = 64;

impl ChunkPicker {
    /// A picker for `chunks` chunks, none of which is held.
    pub fn new(settings: PickerSettings, chunks: usize, now: Timestamp) -> Self {
        Self {
            shares: OriginShares::new(settings.instance.as_str(), chunks, settings.is_near_origin),
            imports: ChunkImports::new(settings.instance.as_str(), chunks),
            turns: OriginTurns::new(settings.origin_chunk_ms, chunks, now),
            settings,
            wanted: ChunkBits::full(chunks),
            held: ChunkBits::empty(chunks),
            missing: chunks,
            fetching: HashMap::new(),
            origin_fetches: 0,
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
    pub fn place_peer(&mut self, peer: &InstanceId, place: PeerPlace, now: Timestamp) {
        let slot = self.slot_with(peer, place, now);
        self.peers[slot - 1].is_far = place.is_far;
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
    pub fn peer_told_all(&mut self, peer: &InstanceId) {
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
            self.imports.gain(index, self.peers[slot - 1].is_far, now);
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
    pub fn peer_draws(&mut self, peer: &InstanceId, indices: Vec<usize>, now: Timestamp) {
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
        if cause == FetchFailure::Late && self.brought_at < order.started_at {
            let waited = now.0.saturating_sub(order.started_at.0);
            self.peer_latency_ms = self.peer_latency_ms.max(waited);
        }
        // A peer that lied or sent corrupt bytes is not asked for this chunk
        // again before it repeats that it holds it.
        if cause == FetchFailure::Damaged {
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
    pub fn avoid_origin(&mut self, until: Deadline) {
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
            let (source, is_far) = (ChunkSource::Peer(view.instance.clone()), view.is_far);
            return Some(self.start(index, source, is_far, now));
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
    pub fn drawing(&self) -> Vec<usize> {
        let orders = self.fetching.values();
        let drawn = orders.filter(|order| order.source == ChunkSource::Origin);
        drawn.map(|order| order.index).collect()
    }

    fn slot_of(&mut self, peer: &InstanceId, now: Timestamp) -> AgentSlot {
        if let Some(slot) = self.slots.get(peer) {
            return *slot;
        }
        self.slot_with(peer, PeerPlace::default(), now)
    }

    fn slot_with(&mut self, peer: &InstanceId, place: PeerPlace, now: Timestamp) -> AgentSlot {
        if let Some(slot) = self.slots.get(peer) {
            return *slot;
        }
        let slot = self.shares.add(peer.as_str(), place.is_near_origin);
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
        self.origin_fetches += usize::from(source == ChunkSource::Origin);
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
            ChunkSource::Origin => self.origin_fetches -= 1,
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

    /// Every agent may have a fetch in the origin's queue, so the wait grows with their number.
    fn origin_wait_ms(&self) -> u64 {
        let queue = self.settings.stall_ms * (1 + self.shares.participants() as u64 / 16);
        queue.max(self.origin_latency_ms * LATE_FACTOR)
    }

    /// Longest wait after a failure of the origin.
    ///
    /// When the origin goes away, all agents fail at the same moments and, with
    /// waits that double, all wait for seconds at the same time. One would notice
    /// that nobody asks for a second and more after it has returned, while no
    /// engine serves. Together the agents ask some eighty times a second, in
    /// groups of any size; the first that is served tells the others.
    fn longest_origin_wait_ms(&self) -> u64 {
        (ORIGIN_PROBE_MS * self.shares.participants() as u64)
            .clamp(SHORTEST_ORIGIN_WAIT_MS, LONGEST_BACKOFF_MS)
    }

    fn owned_chunk(&self, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        if self.unseeded.is_empty() || !self.may_draw(now) {
            return None;
        }
        let mut unclaimed = self.unseeded.clone();
        for (position, view) in self.peers.iter().enumerate() {
            if self.shares.takes_part(position + 1) {
                // That an owner draws its own chunk keeps nobody else from it
                // once it is overdue.
                let claimed =
                    view.drawing.iter().filter(|index| self.shares.owner(**index) != position + 1);
                for index in claimed {
                    unclaimed.remove(*index);
                }
            }
        }
        let owned =
            unclaimed.iter_common(&self.wanted).filter(|index| match self.shares.owner(*index) {
                OWN_SLOT => self.turns.of(*index).is_past(now),
                _ => self.is_overdue(*index, now),
            });
        pick_least(owned.map(|index| (index, 0)), rng)
    }

    /// A chunk that is to be drawn again, since those who hold it cannot pass it on.
    fn scarce_chunk(&self, now: Timestamp) -> Option<usize> {
        if self.scarce.is_empty() || !self.may_draw(now) {
            return None;
        }
        self.scarce.iter_common(&self.wanted).next()
    }

    fn may_draw(&self, now: Timestamp) -> bool {
        // The origin sends a chunk as a whole. Where links may be narrow, a second
        // one behind it would hold up what the instance receives beside it, and
        // where the origin is asked in turns it would bring nothing forward.
        let is_one = self.shares.participants() > SMALL_GROUP || self.settings.queue_ms > 0;
        let most = if is_one { 1 } else { 2 };
        self.origin_fetches < most
            && self.origin.is_over(now)
            && self.peers.iter().all(|view| view.awaited_until.is_past(now))
            && self.is_room_at_origin(now)
    }

    /// Whether the origin's connections allow one more draw.
    ///
    /// Turns come at the pace of the origin's link. If it stands still or is silent,
    /// every owner would hold a connection before long, and new ones would be reset;
    /// instances that lose power then leave the origin full for everybody. One would
    /// notice that all calls of the origin fail after connecting.
    fn is_room_at_origin(&self, now: Timestamp) -> bool {
        if self.settings.most_draws == 0 {
            return true;
        }
        let heard =
            |view: &&PeerView| view.connected && !view.is_silent(now, self.settings.stall_ms);
        let others: usize = self.peers.iter().filter(heard).map(|view| view.drawing.len()).sum();
        others + self.origin_fetches < self.settings.most_draws
    }

    fn extra_chunk(&self, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        let total = self.settings.extra_copies * self.holders.len() as f64;
        let own_part = total / self.shares.participants().max(1) as f64;
        let allowed = self.unseeded.is_empty() && (self.extra_draws as f64) < own_part;
        // Among many agents the origin's queue is long; a chunk that waits
        // there until peers have sent all others would be the last to arrive.
        let peers_take =
            self.missing as u64 * self.peer_latency_ms / self.settings.peer_slots.max(1) as u64;
        if peers_take < 2 * self.origin_latency_ms {
            return None;
        }
        if !allowed || !self.may_draw(now) {
            return None;
        }
        pick_least(self.wanted.iter().map(|index| (index, self.holders[index])), rng)
    }

    fn chunk_of_peer(&self, now: Timestamp, rng: &mut impl Rng) -> Option<(AgentSlot, usize)> {
        if self.fetching.len() - self.origin_fetches >= self.open_slots(now) {
            return None;
        }
        let position = self.idle_peer(now, rng).or_else(|| self.least_asked_peer(now, rng))?;
        let view = &self.peers[position];
        let offered = view.held.iter_common(&self.wanted);
        let offered = offered.filter(|index| !view.is_far || self.imports.may_import(*index));
        let index = pick_least(offered.map(|index| (index, self.holders[index])), rng)?;
        Some((position + 1, index))
    }

    /// Fetches from peers that may be in progress now.
    ///
    /// Over a link that has narrowed, chunks queue for as long as many are asked
    /// for, and whatever else the instance receives waits behind them.
    fn open_slots(&self, now: Timestamp) -> usize {
        let slots = self.settings.peer_slots;
        let goal = self.settings.queue_ms;
        if goal == 0 {
            return slots;
        }
        // What is still on its way tells of a link that has just narrowed.
        let from_peers = self.fetching.values().filter(|f| f.source != ChunkSource::Origin);
        let waited = from_peers.map(|f| now.0.saturating_sub(f.started_at.0)).max();
        let latency = self.peer_latency_ms.max(waited.unwrap_or(0));
        if latency <= goal {
            return slots;
        }
        ((slots as u64 * goal / latency) as usize).max(1)
    }

    /// A peer that is not asked at present, found by a few random probes.
    ///
    /// Among hundreds of peers most are idle; looking at all of them for each
    /// chunk would cost more than the choice is worth.
    fn idle_peer(&self, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        if self.peers.is_empty() {
            return None;
        }
        let mut probes = (0..PROBES).map(|_| rng.random_range(0..self.peers.len()));
        probes.find(|position| {
            let view = &self.peers[*position];
            view.fetching == 0 && self.offers_something(view, now)
        })
    }

    fn least_asked_peer(&self, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        let peers = self.peers.iter().enumerate();
        let usable = peers.filter(|(_, view)| self.offers_something(view, now));
        pick_least(usable.map(|(position, view)| (position, view.fetching as u16)), rng)
    }

    fn offers_something(&self, view: &PeerView, now: Timestamp) -> bool {
        if !view.is_usable(now, self.settings.per_peer) {
            return false;
        }
        match view.is_far {
            false => view.held.intersects(&self.wanted),
            true => {
                let mut offered = view.held.iter_common(&self.wanted);
                offered.any(|index| self.imports.may_import(index))
            }
        }
    }

    fn forget_chunk(&mut self, slot: AgentSlot, index: usize) {
        let view = &mut self.peers[slot - 1];
        let is_far = view.is_far;
        if view.held.remove(index) && view.counted {
            self.release_holder(index, is_far);
        }
    }

    fn release_holder(&mut self, index: usize, is_far: bool) {
        self.holders[index] -= 1;
        self.imports.lose(index, is_far);
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
