//! Which chunk to draw from the origin now, if any.

use cassiawheel_model::Timestamp;
use rand::Rng;

use super::{
    ChunkPicker, LATE_FACTOR,
    peers::{LONGEST_BACKOFF_MS, PeerView},
    pick_least,
    shares::OWN_SLOT,
};

/// Mean time between two tries of all agents together to reach an origin that
/// fails, in milliseconds.
///
/// A refused connection costs the origin less than a hundredth of a chunk.
const ORIGIN_PROBE_MS: u64 = 12;

/// Longest wait for the origin in the smallest groups, in milliseconds.
const SHORTEST_ORIGIN_WAIT_MS: u64 = 200;

/// Agents up to which each may keep two fetches at the origin.
const SMALL_GROUP: usize = 64;

impl ChunkPicker {
    /// Every agent may have a fetch in the origin's queue, so the wait grows with their number.
    pub(super) fn origin_wait_ms(&self) -> u64 {
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
    pub(super) fn longest_origin_wait_ms(&self) -> u64 {
        (ORIGIN_PROBE_MS * self.shares.participants() as u64)
            .clamp(SHORTEST_ORIGIN_WAIT_MS, LONGEST_BACKOFF_MS)
    }

    pub(super) fn owned_chunk(&self, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
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
    pub(super) fn scarce_chunk(&self, now: Timestamp) -> Option<usize> {
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
        self.origin_fetch_count < most
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
        if self.settings.max_origin_fetches == 0 {
            return true;
        }
        let heard =
            |view: &&PeerView| view.connected && !view.is_silent(now, self.settings.stall_ms);
        let others: usize = self.peers.iter().filter(heard).map(|view| view.drawing.len()).sum();
        others + self.origin_fetch_count < self.settings.max_origin_fetches
    }

    pub(super) fn extra_chunk(&self, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        let total = self.settings.extra_copies * self.holders.len() as f64;
        let own_part = total / self.shares.participants().max(1) as f64;
        let allowed = self.unseeded.is_empty() && (self.extra_draws as f64) < own_part;
        // Among many agents the origin's queue is long; a chunk that waits
        // there until peers have sent all others would be the last to arrive.
        let peers_take = self.missing as u64 * self.peer_latency_ms
            / self.settings.max_peer_fetches.max(1) as u64;
        if peers_take < 2 * self.origin_latency_ms {
            return None;
        }
        if !allowed || !self.may_draw(now) {
            return None;
        }
        pick_least(self.wanted.iter().map(|index| (index, self.holders[index])), rng)
    }
}
