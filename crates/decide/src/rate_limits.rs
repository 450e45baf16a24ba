//! Rate limits advertised by endpoints, and the share of each entry.
//!
//! An overloaded endpoint advertises the request rate that it accepts from all entries together. A
//! few entries, the holders, send at this rate between them, and all others send nothing. Equal
//! shares would not work: two requests per second among fifteen entries is less than one request of
//! each within the time in which the limit has to hold, so that it would be exceeded or left
//! unused. All entries compute the same holders, in the endpoint's failure domain if it has
//! entries, because those see the requests closest to it.
//!
//! A limit ends when an answer no longer advertises one. All entries then resume together from the
//! limited rate, which doubles every second. Otherwise the idle endpoint would attract the requests
//! of all of them at once.
//!
//! This keeps an endpoint within its limit although each entry sees only its own requests.

use std::{collections::HashMap, time::Duration};

use cassiawheel_model::{LimitRecord, LimitState, NamedLimit, Timestamp};

use crate::{endpoint_tracker::EndpointPace, gossip::LinkId};

/// Maximum number of holders of a limit; each may be half a request ahead of its rate.
const MAX_HOLDERS: usize = 3;

/// Minimum rate per holder, in requests per second; slower limits get fewer holders.
const MIN_HOLDER_RATE: f64 = 1.0;

/// Minimum rate at which an endpoint is sent requests, in requests per second. Without it, the end
/// of a limit of zero would go unnoticed.
const MIN_RATE: f64 = 0.1;

/// Time within which messages can arrive out of order: an answer without a limit this soon after
/// one with a limit may be the older one.
const GRACE_TIME: Duration = Duration::from_millis(250);

/// Interval at which an unchanged limit is sent to the neighbours again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time for the holders to confirm a limit: three refresh intervals.
const MIN_CONFIRM_TIME: Duration = Duration::from_secs(3);

/// Requests that the holders send at least before a limit counts as unconfirmed.
const CONFIRM_REQUESTS: f64 = 4.0;

/// Divisor of a limit: a change above this fraction of it is sent to the neighbours at once.
const CHANGE_DIVISOR: u32 = 20;

/// Time in which the rate doubles after a limit has ended.
const DOUBLING_INTERVAL: Duration = Duration::from_secs(1);

/// Number of doublings after which an endpoint is used without restriction.
const MAX_DOUBLINGS: u32 = 4;

/// Minimum rate from which entries resume after a limit, in requests per second.
const MIN_RECOVERY_RATE: f64 = 1.0;

/// Time for which the limit of an endpoint that is not listed is kept.
const RETENTION_TIME: Duration = Duration::from_secs(60);

/// Maximum number of limits.
const MAX_LIMITS: usize = 16_384;

/// Rate limits by the hash of the endpoint's instance id.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: HashMap<u64, KnownLimit>,
    changes: u64,
}

#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    state: LimitState,
    /// When an answer showed this state, as sent to the neighbours.
    observed_at: Timestamp,
    /// When an answer last showed this state.
    confirmed_at: Timestamp,
    change: u64,
    source: Option<LinkId>,
}

/// Position of an entry among those that may hold a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HolderRank {
    /// Rank of the entry for the endpoint; the lowest ranks are the holders.
    pub rank: usize,
    /// Number of entries that may hold the limit.
    pub candidates: usize,
    /// Number of all entries.
    pub entries: usize,
    /// Fraction of an interval before the first request after a limit has ended, which spreads the
    /// requests of entries that resume at the same time.
    pub phase: f64,
}

impl HolderRank {
    /// Pace of this entry at an endpoint that accepts `rate` requests per second from all entries,
    /// with `extra` holders in addition to the usual ones.
    fn pace(&self, rate: f64, extra: usize) -> EndpointPace {
        let wanted = (rate / MIN_HOLDER_RATE) as usize;
        let holders = wanted.clamp(1, MAX_HOLDERS) + extra;
        let holders = holders.min(self.candidates.max(1));
        if self.rank >= holders {
            return EndpointPace::ZERO;
        }
        let fraction = (self.rank + 1) as f64 / holders as f64;
        EndpointPace::from_rate(rate.max(MIN_RATE) / holders as f64).with_first_delay(fraction)
    }
}

/// Bound on the requests that a cold endpoint gets in one second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Rate that the endpoint tolerates, in requests per second.
    pub rate: f64,
    /// Factor by which one second may exceed the rate.
    pub overshoot: f64,
    /// Requests of one second that are allowed in addition.
    pub slack: f64,
}

impl ColdBound {
    /// Pace of the entry `holder` at a cold endpoint.
    ///
    /// All entries together use at most half of the bound: while the network is partitioned, each
    /// part chooses holders of its own.
    pub fn pace(self, holder: HolderRank) -> EndpointPace {
        let bound = self.rate * self.overshoot + self.slack;
        holder.pace(self.rate.min(bound / 2.0), 0)
    }
}

impl RateLimits {
    /// Whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Number of endpoints that advertise a limit.
    pub fn advertised_count(&self) -> usize {
        let named = |known: &&KnownLimit| matches!(known.state, LimitState::Named(_));
        self.limits.values().filter(named).count()
    }

    /// Whether `endpoint` advertises a limit or did so recently.
    pub fn contains(&self, endpoint: u64) -> bool {
        self.limits.contains_key(&endpoint)
    }

    /// Records the limit in an answer of `endpoint`; true if the neighbours need an update.
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

    /// Merges a row of a neighbour; true if it is newer than the known state.
    pub fn merge(&mut self, row: LimitRecord, source: LinkId, now: Timestamp) -> bool {
        let observed_at = Timestamp(now.0.saturating_sub(u64::from(row.age_ms)));
        let known = self.limits.get(&row.endpoint);
        // Copies over other paths appear a few milliseconds younger or older.
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

    /// Pace at which an entry may send to an endpoint; `None` if it advertises no limit.
    pub fn pace(&self, endpoint: u64, holder: HolderRank, now: Timestamp) -> Option<EndpointPace> {
        let known = self.limits.get(&endpoint)?;
        match known.state {
            LimitState::Named(limit) => {
                let missed = known.missed_confirmations(limit, now);
                Some(holder.pace(limit.rate(), missed))
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

    /// Rows to send over `link`, and the change number up to which it is current afterwards.
    pub fn rows_since(&self, cursor: u64, link: LinkId, now: Timestamp) -> (Vec<LimitRecord>, u64) {
        if cursor == self.changes {
            return (Vec::new(), cursor);
        }
        let is_due = |known: &KnownLimit| known.change > cursor && known.source != Some(link);
        let due = self.limits.iter().filter(|(_, known)| is_due(known));
        let rows = due.map(|(endpoint, known)| LimitRecord {
            endpoint: *endpoint,
            state: known.state,
            age_ms: now.0.saturating_sub(known.observed_at.0) as u32,
        });
        (rows.collect(), self.changes)
    }

    /// Removes limits that ended long ago and those of endpoints that are no longer listed.
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
    /// Number of confirmation periods that have passed without a confirmation by the holders.
    ///
    /// Holders may have lost the connection to the endpoint, so each missed period adds the entry
    /// next in rank as a holder.
    fn missed_confirmations(&self, limit: NamedLimit, now: Timestamp) -> usize {
        let interval = Duration::from_secs_f64(CONFIRM_REQUESTS / limit.rate().max(MIN_RATE));
        let confirm_time = interval.max(MIN_CONFIRM_TIME);
        (now.since(self.observed_at).as_millis() / confirm_time.as_millis()) as usize
    }

    /// Whether `limit` differs little from the one sent to the neighbours.
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
