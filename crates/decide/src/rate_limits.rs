//! Limits that endpoints name, and each entry's part of them.
//!
//! An endpoint in need names the requests a second that it takes from all entries
//! together. A few entries, the same by everybody's reckoning, send it that much between
//! them, and all others nothing: a limit of two a second among fifteen entries is less
//! than a request of each in the time in which it has to hold, so that equal parts would
//! either break it or leave it unused. The holders stand in the endpoint's failure domain
//! where entries do, so that they see the requests that are nearest to it.
//!
//! A limit ends when an answer names none any more. All entries then return together,
//! from the limit on, at twice the rate every second: an endpoint that has been idle
//! would else draw the requests of all of them.
//!
//! Answers load: more requests than an endpoint takes, from entries of which each sees
//! only its own.

use std::{collections::HashMap, time::Duration};

use cassiawheel_model::{LimitRow, LimitState, NamedLimit, Timestamp};

use crate::{endpoint_tracker::EndpointPace, gossip::LinkId};

/// Most entries that share a limit: each may be half a request ahead of its rate.
const MAX_HOLDERS: usize = 3;

/// Requests a second of a limit for each of its holders at least.
const MIN_HOLDER_RATE: f64 = 1.0;

/// Requests a second that an endpoint gets at least, or the end of its limit would not be
/// noticed.
const MIN_RATE: f64 = 0.1;

/// Time after the last answer with a limit within which one without it may be older.
const GRACE_TIME: Duration = Duration::from_millis(250);

/// Time after which neighbours are sent a limit again that still holds.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which holders confirm a limit; three of their repeats.
const MIN_CONFIRM_TIME: Duration = Duration::from_secs(3);

/// Requests that holders send in that time at least.
const CONFIRM_REQUESTS: f64 = 4.0;

/// Relative change of a limit that neighbours are sent at once, as a divisor.
const CHANGE_DIVISOR: u32 = 20;

/// Time in which the rate doubles after a limit has ended.
const DOUBLING_INTERVAL: Duration = Duration::from_secs(1);

/// Doublings after which an endpoint is used as before.
const MAX_DOUBLINGS: u32 = 4;

/// Rate from which entries return to an endpoint that took nothing, in requests a second.
const MIN_RECOVERY_RATE: f64 = 1.0;

/// Time for which a limit is kept of an endpoint that is not listed.
const RETENTION_TIME: Duration = Duration::from_secs(60);

/// Most limits that are kept.
const MAX_LIMITS: usize = 16_384;

/// Limits by the hash of the endpoint's process.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: HashMap<u64, KnownLimit>,
    changes: u64,
}

#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    state: LimitState,
    /// When an answer showed this, as neighbours know it.
    observed_at: Timestamp,
    /// When an answer showed it last.
    confirmed_at: Timestamp,
    change: u64,
    source: Option<LinkId>,
}

/// An entry's place among those that may hold a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HolderRank {
    /// Rank for the endpoint; zero goes first.
    pub rank: usize,
    /// Entries that may hold it.
    pub candidates: usize,
    /// All entries.
    pub entries: usize,
    /// Part of the time between two requests after which it begins; entries that begin at
    /// the same moment would else send at the same moments.
    pub phase: f64,
}

impl RateLimits {
    /// Whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Endpoints that name a limit.
    pub fn advertised_count(&self) -> usize {
        let named = |known: &&KnownLimit| matches!(known.state, LimitState::Named(_));
        self.limits.values().filter(named).count()
    }

    /// Whether `endpoint` names a limit, or did so a moment ago.
    pub fn contains(&self, endpoint: u64) -> bool {
        self.limits.contains_key(&endpoint)
    }

    /// Takes in the limit of an answer; true if neighbours have to be sent it.
    pub fn observe(&mut self, endpoint: u64, limit: Option<NamedLimit>, now: Timestamp) -> bool {
        let state = match (limit, self.limits.get_mut(&endpoint)) {
            (None, None) => return false,
            (None, Some(known)) => {
                let LimitState::Named(limit) = known.state else {
                    return false;
                };
                if !known.confirmed_at.deadline_after(GRACE_TIME).is_past(now) {
                    return false;
                }
                LimitState::Ended(limit)
            }
            (Some(limit), Some(known)) if known.is_close_to(limit) => {
                known.confirmed_at = now;
                if !known.observed_at.deadline_after(REFRESH_INTERVAL).is_past(now) {
                    return false;
                }
                LimitState::Named(limit)
            }
            (Some(limit), _) => LimitState::Named(limit),
        };
        self.insert(endpoint, state, now, None)
    }

    /// Takes in a row of a neighbour; true if it is newer than what is known.
    pub fn merge(&mut self, row: LimitRow, source: LinkId, now: Timestamp) -> bool {
        let observed_at = Timestamp(now.0.saturating_sub(u64::from(row.age_ms)));
        let known = self.limits.get(&row.endpoint);
        // Copies that come another way seem to be some milliseconds younger or older.
        let is_later = known
            .is_none_or(|known| known.observed_at.deadline_after(GRACE_TIME).is_past(observed_at));
        let is_different = known.is_none_or(|known| known.state != row.state);
        let is_new =
            is_later || is_different && known.is_some_and(|known| observed_at > known.observed_at);
        is_new && self.insert(row.endpoint, row.state, observed_at, Some(source))
    }

    fn insert(
        &mut self,
        endpoint: u64,
        state: LimitState,
        observed_at: Timestamp,
        source: Option<LinkId>,
    ) -> bool {
        let has_room = self.limits.contains_key(&endpoint) || self.limits.len() < MAX_LIMITS;
        if has_room {
            self.changes += 1;
            let change = self.changes;
            let known =
                KnownLimit { state, observed_at, confirmed_at: observed_at, change, source };
            self.limits.insert(endpoint, known);
        }
        has_room
    }

    /// How fast an entry may send to an endpoint; none if it names no limit.
    pub fn pace(&self, endpoint: u64, holder: HolderRank, now: Timestamp) -> Option<EndpointPace> {
        let known = self.limits.get(&endpoint)?;
        match known.state {
            LimitState::Named(limit) => {
                let wanted = (limit.rate() / MIN_HOLDER_RATE) as usize;
                let holders = wanted.clamp(1, MAX_HOLDERS) + known.missed_confirmations(limit, now);
                let holders = holders.min(holder.candidates.max(1));
                Some(match holder.rank < holders {
                    true => {
                        let rate = limit.rate().max(MIN_RATE) / holders as f64;
                        let fraction = (holder.rank + 1) as f64 / holders as f64;
                        EndpointPace::from_rate(rate).with_first_delay(fraction)
                    }
                    false => EndpointPace::ZERO,
                })
            }
            LimitState::Ended(limit) => {
                let doublings = doublings(known.observed_at, now);
                let factor = f64::from(1_u32 << doublings.min(MAX_DOUBLINGS));
                let rate = limit.rate().max(MIN_RECOVERY_RATE) * factor;
                let pace = EndpointPace::from_rate(rate / holder.entries.max(1) as f64);
                (doublings < MAX_DOUBLINGS).then(|| pace.with_first_delay(holder.phase))
            }
        }
    }

    /// Limits that `link` has to be sent, and up to which change it has all of them then.
    pub fn rows_since(&self, cursor: u64, link: LinkId, now: Timestamp) -> (Vec<LimitRow>, u64) {
        if cursor == self.changes {
            return (Vec::new(), cursor);
        }
        let is_due = |known: &KnownLimit| known.change > cursor && known.source != Some(link);
        let due = self.limits.iter().filter(|(_, known)| is_due(known));
        let rows = due.map(|(endpoint, known)| LimitRow {
            endpoint: *endpoint,
            state: known.state,
            age_ms: now.0.saturating_sub(known.observed_at.0) as u32,
        });
        (rows.collect(), self.changes)
    }

    /// Forgets limits that have ended long ago, and those of endpoints that are gone.
    pub fn expire(&mut self, is_listed: impl Fn(u64) -> bool, now: Timestamp) {
        self.limits.retain(|endpoint, known| {
            let is_old = known.confirmed_at.deadline_after(RETENTION_TIME).is_past(now);
            match known.state {
                LimitState::Named(_) => is_listed(*endpoint) || !is_old,
                LimitState::Ended(_) => !is_old,
            }
        });
    }
}

impl KnownLimit {
    /// How often the holders have had time to confirm the limit, and did not.
    ///
    /// They may have lost the connection to the endpoint; the next in rank then use it too.
    fn missed_confirmations(&self, limit: NamedLimit, now: Timestamp) -> usize {
        let interval = Duration::from_secs_f64(CONFIRM_REQUESTS / limit.rate().max(MIN_RATE));
        let confirm_time = interval.max(MIN_CONFIRM_TIME);
        (now.since(self.observed_at).as_millis() / confirm_time.as_millis()) as usize
    }

    /// Whether `limit` differs little from the one that neighbours know.
    fn is_close_to(&self, limit: NamedLimit) -> bool {
        let LimitState::Named(known) = self.state else {
            return false;
        };
        known.0.abs_diff(limit.0) <= known.0 / CHANGE_DIVISOR
    }
}

fn doublings(ended_at: Timestamp, now: Timestamp) -> u32 {
    (now.since(ended_at).as_millis() / DOUBLING_INTERVAL.as_millis()) as u32
}
