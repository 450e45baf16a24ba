//! Which chunk to ask of which other agent now, if any.

use cassiawheel_model::Timestamp;
use rand::Rng;

use super::{ChunkPicker, ChunkSource, peers::PeerView, pick_least, shares::AgentSlot};

/// Random peers looked at before all are.
const PROBES: usize = 8;

impl ChunkPicker {
    pub(super) fn chunk_of_peer(
        &self,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<(AgentSlot, usize)> {
        if self.fetching.len() - self.origin_fetch_count >= self.open_slots(now) {
            return None;
        }
        let position = self.idle_peer(now, rng).or_else(|| self.least_asked_peer(now, rng))?;
        let view = &self.peers[position];
        let offered = view.held.iter_common(&self.wanted);
        let offered = offered.filter(|index| !view.is_remote || self.imports.may_import(*index));
        let index = pick_least(offered.map(|index| (index, self.holders[index])), rng)?;
        Some((position + 1, index))
    }

    /// Fetches from peers that may be in progress now.
    ///
    /// Over a link that has narrowed, chunks queue for as long as many are asked
    /// for, and whatever else the instance receives waits behind them.
    fn open_slots(&self, now: Timestamp) -> usize {
        let slots = self.settings.max_peer_fetches;
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
        if !view.is_usable(now, self.settings.max_fetches_per_peer) {
            return false;
        }
        match view.is_remote {
            false => view.held.intersects(&self.wanted),
            true => {
                let mut offered = view.held.iter_common(&self.wanted);
                offered.any(|index| self.imports.may_import(index))
            }
        }
    }
}
