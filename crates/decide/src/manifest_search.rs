//! Who reads a manifest from the origin, and when; whom the others ask.
//!
//! All agents of a deployment are ordered to fetch a version within a few
//! milliseconds, and an origin admits few connections. If each agent reads the
//! manifest there, most are reset, those that get through hold up the first
//! chunks, and a loss of power at that moment leaves the origin with connections
//! that nobody will close. So a few agents read it, chosen by rank without talk,
//! and the others ask them. The turns of all others come one after another, in
//! case these few are gone. Entries, which pin what a version consists of, take
//! turns in the same way.

use cassiawheel_model::{Deadline, InstanceId, Timestamp};
use rand::{Rng, seq::IndexedRandom};

use crate::rank::{rendezvous_weight, subject_of};

/// Processes that read the origin at once, among those that know each other.
///
/// One that is gone or slow must not hold up the others, and with agents that
/// know only their region and a few of each other one there are some two to four
/// readers a region.
const READERS: usize = 2;

/// Time that the readers have before anybody else turns to the origin, in milliseconds.
///
/// A manifest is there within some 20 ms, and a further step takes 40 ms.
const READER_LEAD_MS: u64 = 300;

/// Time between the turns of two further processes, in milliseconds.
///
/// A read of an origin that is silent takes a second, so that two or three such
/// reads of agents that know each other are under way at a time.
const TURN_MS: u64 = 400;

/// Time over which processes that know nobody spread their first tries, in milliseconds.
///
/// After a loss of power all start at once, and meet each other some 0.3 s later.
const SPREAD_MS: u64 = 400;

/// First wait after a failure of the origin, in milliseconds; doubled each time.
const FIRST_AGAIN_MS: u64 = 100;

/// Mean time between the tries of all processes that know each other, in milliseconds.
///
/// A refused connection costs the origin less than a tenth of a manifest.
const PROBE_MS: u64 = 40;

/// Tries of the processes that know each other that may be under way at a time.
///
/// An origin that is silent holds each try for as long as it may take. Three
/// regions together then have some twelve open, a quarter of the connections
/// that an origin of 48 admits, so that it survives several losses of power.
const OPEN_TRIES: u64 = 3;

/// Longest wait between two tries, in milliseconds.
const LONGEST_AGAIN_MS: u64 = 12_000;

/// Time after which processes that are no readers ask others first, in milliseconds.
const FIRST_ASK_MS: u64 = 40;

/// Times that others are asked with a reader among them.
const READER_ASKS: u32 = 4;

/// Longest wait before others are asked again, in milliseconds; it doubles up to this.
const LONGEST_ASK_MS: u64 = 240;

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchStep {
    /// Read the origin.
    Origin,
    /// Ask these others at the same time.
    Peers(Vec<InstanceId>),
    /// Nothing before this moment.
    Wait(Deadline),
}

/// The search of one process for one manifest.
#[derive(Debug, Clone)]
pub struct ManifestSearch {
    instance: InstanceId,
    /// What the ranks are drawn for.
    subject: u64,
    begun_at: Timestamp,
    /// The origin is not asked before.
    origin_from: Deadline,
    origin_failures: u32,
    /// Others are not asked before.
    others_from: Deadline,
    ask_wait_ms: u64,
    asks: u32,
}

impl ManifestSearch {
    /// The search of `instance` for the manifest of `name`, wanted from `now` on.
    pub fn new(instance: InstanceId, name: &str, now: Timestamp) -> Self {
        Self {
            instance,
            subject: subject_of(name),
            begun_at: now,
            origin_from: Deadline(now.0),
            origin_failures: 0,
            others_from: Deadline(now.0 + FIRST_ASK_MS),
            ask_wait_ms: FIRST_ASK_MS,
            asks: 0,
        }
    }

    /// The next step, if `others` are the processes of its kind that this one knows.
    pub fn next(
        &mut self,
        others: &[InstanceId],
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> SearchStep {
        let ranked = self.ranked(others);
        let origin_from = self.origin_turn(&ranked);
        if origin_from.is_past(now) {
            return SearchStep::Origin;
        }
        if others.is_empty() {
            return SearchStep::Wait(origin_from);
        }
        if self.others_from.is_past(now) {
            self.ask_wait_ms = (self.ask_wait_ms * 2).min(LONGEST_ASK_MS);
            self.others_from = Deadline(now.0 + self.ask_wait_ms);
            self.asks += 1;
            return SearchStep::Peers(asked(&ranked, self.asks, rng));
        }
        SearchStep::Wait(self.others_from.min(origin_from))
    }

    /// Notes that the origin, asked at `asked_at`, gave no manifest.
    ///
    /// It may have said how long it wants to be left alone.
    pub fn origin_failed(
        &mut self,
        asked_at: Timestamp,
        left_until: Option<Deadline>,
        others: usize,
        now: Timestamp,
    ) {
        let searching = others as u64 + 1;
        let backoff_ms = (FIRST_AGAIN_MS << self.origin_failures.min(10)).min(PROBE_MS * searching);
        let took_ms = now.0.saturating_sub(asked_at.0);
        let wait_ms = backoff_ms.max(took_ms * searching / OPEN_TRIES).min(LONGEST_AGAIN_MS);
        self.origin_failures += 1;
        self.origin_from = Deadline(now.0 + wait_ms).max(left_until.unwrap_or(Deadline(0)));
        self.others_from = Deadline(now.0);
    }

    /// The others, first ones first, and how many of them go before this process.
    fn ranked(&self, others: &[InstanceId]) -> RankedOthers {
        let weight = |name: &InstanceId| rendezvous_weight(self.subject, name.as_str());
        let mut all: Vec<_> = others.iter().map(|name| (weight(name), name.clone())).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let own = (weight(&self.instance), &self.instance);
        let before = all.iter().filter(|(weight, name)| (*weight, name) > own).count();
        RankedOthers { before, others: all.into_iter().map(|(_, name)| name).collect() }
    }

    fn origin_turn(&self, ranked: &RankedOthers) -> Deadline {
        // Agents of two regions may have the same rank among those that they know.
        let part = rendezvous_weight(self.subject, self.instance.as_str());
        if ranked.others.is_empty() {
            return self.origin_from.max(Deadline(self.begun_at.0 + part % SPREAD_MS));
        }
        let Some(turns) = (ranked.before + 1).checked_sub(READERS).filter(|turns| *turns > 0)
        else {
            return self.origin_from;
        };
        let turns_ms = TURN_MS * (turns as u64 - 1) + part % TURN_MS;
        let turn = self.begun_at.0 + READER_LEAD_MS + turns_ms;
        self.origin_from.max(Deadline(turn))
    }
}

/// The others by rank.
struct RankedOthers {
    /// How many go before this process.
    before: usize,
    others: Vec<InstanceId>,
}

/// Two agents to ask: at first a reader, which has the manifest before the others,
/// and any other one in case the readers are gone.
///
/// While the origin is away everybody asks for long; the readers alone would be
/// busy with that.
fn asked(ranked: &RankedOthers, asks: u32, rng: &mut impl Rng) -> Vec<InstanceId> {
    let first = if asks < READER_ASKS { READERS } else { ranked.others.len() };
    let first = ranked.others[..first.min(ranked.others.len())].choose(rng);
    let any = ranked.others.choose(rng).filter(|any| Some(*any) != first);
    first.into_iter().chain(any).cloned().collect()
}
