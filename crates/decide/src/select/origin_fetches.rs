//! Selects the next chunk to fetch from the origin.

use cassiawheel_model::Timestamp;
use rand::Rng;

use super::{
    ChunkPicker, TIMEOUT_FACTOR, choose_least,
    owners::OWN_SLOT,
    peers::{MAX_BACKOFF_MS, PeerView},
};

/// Mean interval between the tries of all agents together at a failing origin, in
/// milliseconds.
///
/// A refused connection costs the origin less than a hundredth of sending a chunk.
const PROBE_INTERVAL_MS: u64 = 12;

/// Lower bound of the longest origin backoff, for small groups, in milliseconds.
const MIN_ORIGIN_BACKOFF_MS: u64 = 200;

/// Number of agents up to which each may have two fetches from the origin in progress.
const SMALL_GROUP: usize = 64;

impl ChunkPicker {
    /// Timeout of a fetch from the origin.
    ///
    /// Each agent may have a fetch queued at the origin, so it grows with their number.
    pub(super) fn origin_timeout_ms(&self) -> u64 {
        let queue = self.settings.stall_ms * (1 + self.owners.active_count() as u64 / 16);
        queue.max(self.origin_latency_ms * TIMEOUT_FACTOR)
    }

    /// Longest backoff after a failure of the origin.
    ///
    /// When the origin goes down, all agents fail at the same time. With a plain exponential
    /// backoff all of them would wait for seconds together, and no agent would try for a
    /// second or more after the origin has recovered, while no engine serves. With this
    /// limit the agents together try about eighty times a second, in groups of any size,
    /// and the first successful one announces its chunk to the others.
    pub(super) fn max_origin_backoff_ms(&self) -> u64 {
        (PROBE_INTERVAL_MS * self.owners.active_count() as u64)
            .clamp(MIN_ORIGIN_BACKOFF_MS, MAX_BACKOFF_MS)
    }

    /// Returns a chunk that is due and owned by this agent, or overdue at its owner.
    pub(super) fn owned_chunk(&self, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        if self.unseeded.is_empty() || !self.may_fetch_from_origin(now) {
            return None;
        }
        let mut available = self.unseeded.clone();
        for (position, view) in self.peers.iter().enumerate() {
            if self.owners.is_active(position + 1) {
                // A fetch by the owner itself does not keep others from the chunk once
                // it is overdue.
                let fetched = view
                    .origin_fetches
                    .iter()
                    .filter(|index| self.owners.owner(**index) != position + 1);
                for index in fetched {
                    available.remove(*index);
                }
            }
        }
        let owned =
            available.iter_common(&self.wanted).filter(|index| match self.owners.owner(*index) {
                OWN_SLOT => self.schedule.due(*index).is_past(now),
                _ => self.is_overdue(*index, now),
            });
        choose_least(owned.map(|index| (index, 0)), rng)
    }

    /// Returns a chunk to fetch again because its few holders do not pass it on.
    pub(super) fn scarce_chunk(&self, now: Timestamp) -> Option<usize> {
        if self.scarce.is_empty() || !self.may_fetch_from_origin(now) {
            return None;
        }
        self.scarce.iter_common(&self.wanted).next()
    }

    /// Whether a fetch from the origin may start now.
    fn may_fetch_from_origin(&self, now: Timestamp) -> bool {
        // The origin sends each chunk in one piece. On a slow link a second fetch would
        // delay everything else that the instance receives, and with scheduled fetches it
        // would not speed anything up.
        let is_single = self.owners.active_count() > SMALL_GROUP || self.settings.queue_ms > 0;
        let limit = if is_single { 1 } else { 2 };
        self.origin_fetch_count < limit
            && self.origin.is_over(now)
            && self.peers.iter().all(|view| view.inventory_until.is_past(now))
            && self.has_origin_capacity(now)
    }

    /// Whether the origin's connection limit allows one more fetch.
    ///
    /// Chunks become due at the speed of the origin's link. If the link stalls or the
    /// origin is unresponsive, every owner would soon hold a connection, and new ones would
    /// be reset. Instances that lose power would then leave the limit exhausted, and all
    /// calls of the origin would fail after connecting.
    fn has_origin_capacity(&self, now: Timestamp) -> bool {
        if self.settings.max_origin_fetches == 0 {
            return true;
        }
        let is_live =
            |view: &&PeerView| view.connected && !view.is_silent(now, self.settings.stall_ms);
        let others: usize =
            self.peers.iter().filter(is_live).map(|view| view.origin_fetches.len()).sum();
        others + self.origin_fetch_count < self.settings.max_origin_fetches
    }

    /// Returns a chunk for an additional copy, if it saves time and the budget allows it.
    pub(super) fn extra_chunk(&self, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        let total = self.settings.extra_copies * self.holders.len() as f64;
        let own_share = total / self.owners.active_count().max(1) as f64;
        let allowed = self.unseeded.is_empty() && (self.extra_fetches as f64) < own_share;
        // With many agents the origin's queue is long; a chunk queued there until peers
        // have sent all others would be the last to arrive.
        let peers_need_ms = self.missing as u64 * self.peer_latency_ms
            / self.settings.max_peer_fetches.max(1) as u64;
        if peers_need_ms < 2 * self.origin_latency_ms {
            return None;
        }
        if !allowed || !self.may_fetch_from_origin(now) {
            return None;
        }
        choose_least(self.wanted.iter().map(|index| (index, self.holders[index])), rng)
    }
}
