//! Rate limits that endpoints advertise in their responses, and this entry's share of them.
//!
//! `response → rate limits → neighbours`, and `rate limits, present entries → paces`

mod cold;

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiawheel_decide::{
    EndpointPace, HolderRank, RateLimits,
    rank::{rendezvous_weight, subject_of},
};
use cassiawheel_model::{
    EntryRecord, FailureDomain, InstanceId, LimitRecord, NamedLimit, Timestamp,
};
use smol::channel::Sender;

pub(crate) use self::cold::cold_bound;
use crate::{routed::RoutedState, shared::EntryShared};

/// Shortest time between two updates of the paces of all endpoints.
const PACE_INTERVAL: Duration = Duration::from_millis(100);

/// Tracks the rate limits that endpoints advertise.
pub(crate) struct LimitTracker {
    rate_limits: Mutex<RateLimits>,
    has_limits: AtomicBool,
    /// Whether an endpoint is cold.
    has_cold: AtomicBool,
    /// Time at which the paces were last updated, in milliseconds.
    paced_at: AtomicU64,
    /// Wakes the task that sends changes to neighbours and updates the paces.
    waker: Sender<()>,
}

impl LimitTracker {
    /// Creates a tracker without limits; `waker` wakes the task that sends changes to neighbours.
    pub(crate) fn new(waker: Sender<()>) -> Self {
        Self {
            rate_limits: Mutex::default(),
            has_limits: AtomicBool::new(false),
            has_cold: AtomicBool::new(false),
            paced_at: AtomicU64::new(0),
            waker,
        }
    }

    fn notify_change(&self) {
        self.has_limits.store(true, Ordering::Relaxed);
        self.paced_at.store(0, Ordering::Relaxed);
        let _ = self.waker.try_send(());
    }

    /// Records that an endpoint is cold, so that its pace has to be determined.
    pub(crate) fn notify_cold(&self) {
        self.has_cold.store(true, Ordering::Relaxed);
        self.paced_at.store(0, Ordering::Relaxed);
        let _ = self.waker.try_send(());
    }

    /// Locks the advertised rate limits.
    pub(crate) fn rate_limits(&self) -> MutexGuard<'_, RateLimits> {
        self.rate_limits.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Records the limit advertised in a response of `instance`, or that there is none.
    pub(crate) fn observe(&self, instance: &InstanceId, limit: Option<NamedLimit>) {
        if limit.is_none() && !self.has_limits.load(Ordering::Relaxed) {
            return;
        }
        let is_new =
            self.rate_limits().observe(subject_of(instance.as_str()), limit, Timestamp::now());
        if is_new {
            self.notify_change();
            match limit {
                Some(limit) => {
                    log::info!(target: "limit", endpoint:% = instance, rate = limit.rate(); "An endpoint advertises a rate limit.");
                }
                None => {
                    log::info!(target: "limit", endpoint:% = instance; "An endpoint no longer advertises a rate limit.");
                }
            }
        }
    }

    /// Merges a row from a neighbour; true if it is newer than the known one.
    pub(crate) fn merge_row(&self, row: LimitRecord, source: u64, now: Timestamp) -> bool {
        let mut rate_limits = self.rate_limits();
        let before = rate_limits.advertised_count();
        let is_new = rate_limits.merge(row, source, now);
        let named = rate_limits.advertised_count();
        drop(rate_limits);
        if is_new {
            self.notify_change();
        }
        if named != before {
            log::info!(target: "limit", endpoint = row.endpoint, state:? = row.state, age_ms = row.age_ms, named = named; "Received a rate limit from a neighbour.");
        }
        is_new
    }
}

/// Updates the pace of each endpoint that is cold, advertises a limit or recently did.
pub(crate) fn update_paces(shared: &EntryShared, routed: &RoutedState, now: Timestamp) {
    let limits = &routed.limits;
    let update_at =
        Timestamp(limits.paced_at.load(Ordering::Relaxed)).deadline_after(PACE_INTERVAL);
    let has_cold = limits.has_cold.load(Ordering::Relaxed);
    if !has_cold && !limits.has_limits.load(Ordering::Relaxed) || !update_at.is_past(now) {
        return;
    }
    limits.paced_at.store(now.0, Ordering::Relaxed);
    let own = &shared.settings.place.instance;
    let state = routed.overlay.lock();
    let present = state.present(own);
    let present: Vec<_> = present.into_iter().filter(|record| !record.leaving).collect();
    let listing = routed.listing();
    let evacuations = routed.evacuations();
    let rate_limits = limits.rate_limits();
    let routes = shared.routes.load();
    let listed: HashMap<_, _> =
        listing.endpoints().map(|listed| (&listed.instance, listed)).collect();
    let mut is_change = false;
    let cold: HashMap<_, _> = listing
        .endpoints()
        .filter_map(|listed| {
            let bound = cold_bound(routed, &listing, &evacuations, listed, now)?;
            Some((&listed.instance, bound))
        })
        .collect();
    for candidate in routes.candidates() {
        let subject = subject_of(candidate.instance.as_str());
        let listed = listed.get(&candidate.instance).copied();
        let cold = cold.get(&candidate.instance);
        if cold.is_none() && !rate_limits.contains(subject) {
            is_change |= candidate.tracker.is_paced();
            candidate.tracker.set_pace(None, now);
            continue;
        }
        let domain = listed.map(|listed| &listed.failure_domain);
        let rank = holder_rank(subject, domain, own, &present);
        let paces = [rate_limits.pace(subject, rank, now), cold.map(|bound| bound.pace(rank))];
        let pace = paces.into_iter().flatten().reduce(EndpointPace::slower);
        is_change |= pace.is_some() != candidate.tracker.is_paced();
        candidate.tracker.set_pace(pace, now);
    }
    shared.metrics.limited.set(rate_limits.advertised_count() as i64);
    limits.has_cold.store(!cold.is_empty(), Ordering::Relaxed);
    drop((cold, listed));
    drop((rate_limits, evacuations, listing, state));
    if is_change {
        shared.rebuild_routes();
    }
}

/// Drops the limits of endpoints that are no longer listed.
pub(crate) fn expire(routed: &RoutedState, now: Timestamp) {
    if !routed.limits.has_limits.load(Ordering::Relaxed) {
        return;
    }
    let listing = routed.listing();
    let listed = listing.endpoints().map(|listed| subject_of(listed.instance.as_str()));
    let listed: HashSet<_> = listed.collect();
    drop(listing);
    let mut rate_limits = routed.limits.rate_limits();
    rate_limits.expire(|endpoint| listed.contains(&endpoint), now);
    routed.limits.has_limits.store(!rate_limits.is_empty(), Ordering::Relaxed);
}

/// Rank of the entry `own` among the entries that may use the limit of an endpoint in `domain`.
fn holder_rank(
    subject: u64,
    domain: Option<&FailureDomain>,
    own: &InstanceId,
    present: &[&EntryRecord],
) -> HolderRank {
    let is_in_domain = |record: &&&EntryRecord| Some(&record.failure_domain) == domain;
    let has_domain_entry = present.iter().any(|record| is_in_domain(&record));
    let candidates = present.iter().filter(|record| !has_domain_entry || is_in_domain(record));
    let candidates: Vec<_> = candidates.collect();
    let weight = |name: &InstanceId| rendezvous_weight(subject, name.as_str());
    let own_weight = weight(own);
    let rank = match candidates.iter().any(|record| record.instance == *own) {
        true => candidates.iter().filter(|r| weight(&r.instance) > own_weight).count(),
        false => usize::MAX,
    };
    let phase = own_weight as f64 / u64::MAX as f64;
    HolderRank { rank, candidates: candidates.len(), entries: present.len(), phase }
}
