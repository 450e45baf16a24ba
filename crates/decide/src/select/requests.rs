//! Selects the next chunk to fetch from a peer.

use cassiawheel_model::Timestamp;
use rand::Rng;

use super::{ChunkPicker, ChunkSource, choose_least, owners::AgentSlot, peers::PeerView};

/// Number of random peers that are tried before all of them are scanned.
const PROBES: usize = 8;

/// The chunks among which the next fetch is selected.
///
/// Chunks that this agent imports are part of both sets, since its whole region waits for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerChunks {
    /// Those that are fetched before the others.
    Preferred,
    /// All wanted ones.
    All,
}

impl ChunkPicker {
    /// Returns the slot of a peer and the chunk to fetch from it.
    pub(super) fn select_from_peers(
        &self,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<(AgentSlot, usize)> {
        if let Some(import) = self.select_import(now) {
            return Some(import);
        }
        if self.fetching.len() - self.origin_fetch_count >= self.peer_fetch_limit(now) {
            return None;
        }
        let preferred = self.wanted.intersects(&self.preferred);
        let selected = preferred.then(|| self.select_among(PeerChunks::Preferred, now, rng));
        selected.flatten().or_else(|| self.select_among(PeerChunks::All, now, rng))
    }

    fn select_among(
        &self,
        chunks: PeerChunks,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<(AgentSlot, usize)> {
        let idle = self.idle_peer(chunks, now, rng);
        let position = idle.or_else(|| self.least_loaded_peer(chunks, now, rng))?;
        let view = &self.peers[position];
        let offered = view.held.iter_common(&self.wanted).filter(|index| match view.is_remote {
            true => self.imports.may_import(*index),
            false => chunks == PeerChunks::All || self.preferred.contains(*index),
        });
        let index = choose_least(offered.map(|index| (index, self.holders[index])), rng)?;
        Some((position + 1, index))
    }

    /// Returns the number of fetches from peers that may be in progress now.
    ///
    /// On a congested link many concurrent fetches build up a queue that delays everything
    /// else that the instance receives, so the number decreases as the latency exceeds
    /// `queue_ms`.
    pub(super) fn peer_fetch_limit(&self, now: Timestamp) -> usize {
        let limit = self.settings.max_peer_fetches;
        let target_ms = self.settings.queue_ms;
        if target_ms == 0 {
            return limit;
        }
        // The age of the fetches in progress shows congestion before any of them ends.
        let from_peers = self.fetching.values().filter(|f| f.source != ChunkSource::Origin);
        let oldest_ms = from_peers.map(|f| now.0.saturating_sub(f.started_at.0)).max();
        let latency = self.peer_latency_ms.max(oldest_ms.unwrap_or(0));
        if latency <= target_ms {
            return limit;
        }
        ((limit as u64 * target_ms / latency) as usize).max(1)
    }

    /// Returns a peer without fetches in progress, found by a few random probes.
    ///
    /// Among hundreds of peers most are idle; a scan of all of them for each chunk would
    /// cost more than a better choice gains.
    fn idle_peer(&self, chunks: PeerChunks, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        if self.peers.is_empty() {
            return None;
        }
        let mut probes = (0..PROBES).map(|_| rng.random_range(0..self.peers.len()));
        probes.find(|position| {
            let view = &self.peers[*position];
            view.fetching == 0 && self.has_wanted_chunk(view, chunks, now)
        })
    }

    fn least_loaded_peer(
        &self,
        chunks: PeerChunks,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let peers = self.peers.iter().enumerate();
        let usable = peers.filter(|(_, view)| self.has_wanted_chunk(view, chunks, now));
        choose_least(usable.map(|(position, view)| (position, view.fetching as u16)), rng)
    }

    fn has_wanted_chunk(&self, view: &PeerView, chunks: PeerChunks, now: Timestamp) -> bool {
        if !view.is_usable(now, self.settings.max_fetches_per_peer) {
            return false;
        }
        match view.is_remote {
            false if chunks == PeerChunks::Preferred => {
                view.held.intersects_both(&self.wanted, &self.preferred)
            }
            false => view.held.intersects(&self.wanted),
            true => {
                let mut offered = view.held.iter_common(&self.wanted);
                offered.any(|index| self.imports.may_import(index))
            }
        }
    }
}
