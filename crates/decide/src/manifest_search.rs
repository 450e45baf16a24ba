//! Schedules reads of a manifest from the origin and requests for it to peers.
//!
//! All agents of a deployment are ordered to fetch a version within a few
//! milliseconds, and an origin admits few connections. If each agent read the manifest
//! there, most connections would be reset, the others would delay the first chunks, and
//! a power loss at that moment would leave the origin with half-open connections. So a
//! few agents, chosen by rendezvous hashing without coordination, read it, and the others
//! request it from them. Should these few be gone, the other agents try the origin one
//! after another. Entries, which pin the manifest of a version, use the same schedule.

use cassiawheel_model::{Deadline, InstanceId, Timestamp};
use rand::{Rng, seq::IndexedRandom};

use crate::rank::{rendezvous_weight, subject_of};

/// Number of processes, among those that know each other, that read the origin at once.
///
/// A single reader that is gone or slow would delay all others. Agents know only their own
/// region and a few peers in each other one, which results in two to four readers per
/// region.
const READERS: usize = 2;

/// Head start of the readers before any other process tries the origin, in milliseconds.
///
/// A manifest arrives within about 20 ms, and forwarding it to a peer takes 40 ms.
const READER_LEAD_MS: u64 = 300;

/// Time between the first tries of two further processes, in milliseconds.
///
/// A read from an unresponsive origin takes a second, so two or three reads of agents
/// that know each other are in progress at a time.
const RANK_STEP_MS: u64 = 400;

/// Range of the hash-based delay of the first try without known peers, in milliseconds.
///
/// After a power loss all processes start at once and discover each other about 0.3 s
/// later.
const SPREAD_MS: u64 = 400;

/// First backoff after a failure of the origin, in milliseconds; doubled each time.
const BASE_BACKOFF_MS: u64 = 100;

/// Mean interval between the tries of all processes that know each other, in milliseconds.
///
/// A refused connection costs the origin less than a tenth of sending a manifest.
const PROBE_INTERVAL_MS: u64 = 40;

/// Limit of concurrent tries of the processes that know each other.
///
/// An unresponsive origin holds each try until its timeout. Three regions together then
/// have about twelve connections open, a quarter of what an origin with a limit of 48
/// admits, so half-open connections of several power losses do not exhaust it.
const MAX_CONCURRENT_TRIES: u64 = 3;

/// Longest backoff between two tries, in milliseconds.
const MAX_BACKOFF_MS: u64 = 12_000;

/// Delay of the first request to peers, in milliseconds.
const FIRST_REQUEST_MS: u64 = 40;

/// Number of request rounds that are directed at a reader.
const READER_ROUNDS: u32 = 4;

/// Longest interval between requests to peers, in milliseconds; it doubles up to this.
const MAX_REQUEST_MS: u64 = 240;

/// Next action of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchStep {
    /// Read the manifest from the origin.
    Origin,
    /// Request the manifest from these peers in parallel.
    Peers(Vec<InstanceId>),
    /// Do nothing until this deadline.
    Wait(Deadline),
}

/// The search of one process for one manifest.
#[derive(Debug, Clone)]
pub struct ManifestSearch {
    instance: InstanceId,
    /// Hash of the manifest's name, the subject of the rendezvous ranks.
    subject: u64,
    started_at: Timestamp,
    /// Earliest time of the next try at the origin.
    origin_from: Deadline,
    origin_failures: u32,
    /// Earliest time of the next request to peers.
    peers_from: Deadline,
    request_interval_ms: u64,
    rounds: u32,
}

impl ManifestSearch {
    /// Starts the search of `instance` for the manifest of `name`.
    pub fn new(instance: InstanceId, name: &str, now: Timestamp) -> Self {
        Self {
            instance,
            subject: subject_of(name),
            started_at: now,
            origin_from: Deadline(now.0),
            origin_failures: 0,
            peers_from: Deadline(now.0 + FIRST_REQUEST_MS),
            request_interval_ms: FIRST_REQUEST_MS,
            rounds: 0,
        }
    }

    /// Returns the next step; `peers` are the known processes of the same kind.
    pub fn next(&mut self, peers: &[InstanceId], now: Timestamp, rng: &mut impl Rng) -> SearchStep {
        let ranked = self.ranked(peers);
        let origin_from = self.origin_try_at(&ranked);
        if origin_from.is_past(now) {
            return SearchStep::Origin;
        }
        if peers.is_empty() {
            return SearchStep::Wait(origin_from);
        }
        if self.peers_from.is_past(now) {
            self.request_interval_ms = (self.request_interval_ms * 2).min(MAX_REQUEST_MS);
            self.peers_from = Deadline(now.0 + self.request_interval_ms);
            self.rounds += 1;
            return SearchStep::Peers(select_peers(&ranked, self.rounds, rng));
        }
        SearchStep::Wait(self.peers_from.min(origin_from))
    }

    /// Records that a try at the origin, begun at `tried_at`, failed.
    ///
    /// `retry_at` is the time before which the origin refuses further requests, if its
    /// response stated one.
    pub fn origin_failed(
        &mut self,
        tried_at: Timestamp,
        retry_at: Option<Deadline>,
        peers: usize,
        now: Timestamp,
    ) {
        let searching = peers as u64 + 1;
        let backoff_ms =
            (BASE_BACKOFF_MS << self.origin_failures.min(10)).min(PROBE_INTERVAL_MS * searching);
        let took_ms = now.0.saturating_sub(tried_at.0);
        let delay_ms =
            backoff_ms.max(took_ms * searching / MAX_CONCURRENT_TRIES).min(MAX_BACKOFF_MS);
        self.origin_failures += 1;
        self.origin_from = Deadline(now.0 + delay_ms).max(retry_at.unwrap_or(Deadline(0)));
        self.peers_from = Deadline(now.0);
    }

    /// Ranks the peers, and counts those that precede this process.
    fn ranked(&self, peers: &[InstanceId]) -> RankedPeers {
        let weight = |name: &InstanceId| rendezvous_weight(self.subject, name.as_str());
        let mut all: Vec<_> = peers.iter().map(|name| (weight(name), name.clone())).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let own = (weight(&self.instance), &self.instance);
        let preceding = all.iter().filter(|(weight, name)| (*weight, name) > own).count();
        RankedPeers { preceding, peers: all.into_iter().map(|(_, name)| name).collect() }
    }

    fn origin_try_at(&self, ranked: &RankedPeers) -> Deadline {
        // Agents of two regions may have the same rank among their known peers.
        let offset = rendezvous_weight(self.subject, self.instance.as_str());
        if ranked.peers.is_empty() {
            return self.origin_from.max(Deadline(self.started_at.0 + offset % SPREAD_MS));
        }
        let Some(steps) = (ranked.preceding + 1).checked_sub(READERS).filter(|steps| *steps > 0)
        else {
            return self.origin_from;
        };
        let steps_ms = RANK_STEP_MS * (steps as u64 - 1) + offset % RANK_STEP_MS;
        let try_at = self.started_at.0 + READER_LEAD_MS + steps_ms;
        self.origin_from.max(Deadline(try_at))
    }
}

/// Peers in rank order.
struct RankedPeers {
    /// Number of peers that precede this process.
    preceding: usize,
    peers: Vec<InstanceId>,
}

/// Selects two peers for a request: first a reader, which has the manifest before the
/// others, and a random one in case the readers are gone.
///
/// After several rounds both are random. While the origin is down all processes keep
/// requesting, which would overload the readers.
fn select_peers(ranked: &RankedPeers, rounds: u32, rng: &mut impl Rng) -> Vec<InstanceId> {
    let first = if rounds < READER_ROUNDS { READERS } else { ranked.peers.len() };
    let first = ranked.peers[..first.min(ranked.peers.len())].choose(rng);
    let any = ranked.peers.choose(rng).filter(|any| Some(*any) != first);
    first.into_iter().chain(any).cloned().collect()
}
