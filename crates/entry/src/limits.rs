//! Limits that endpoints name in their answers, and the pace of this entry.
//!
//! `answer → book → neighbours`, and `book, entries that are present → paces`

use std::{
    collections::HashSet,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiawheel_decide::{
    HolderRank, RateLimits,
    rank::{rendezvous_weight, subject_of},
};
use cassiawheel_model::{
    EntryRecord, FailureDomain, InstanceId, LimitRecord, NamedLimit, Timestamp,
};
use smol::channel::Sender;

use crate::{routed::RoutedState, shared::EntryShared};

/// Shortest time between two looks at the paces of all endpoints.
const PACE_INTERVAL: Duration = Duration::from_millis(100);

/// Limits that endpoints name.
pub(crate) struct LimitTracker {
    book: Mutex<RateLimits>,
    has_limits: AtomicBool,
    /// When paces were set last, in milliseconds.
    paced_at: AtomicU64,
    /// Wakes the task that sends news to neighbours and sets paces.
    waker: Sender<()>,
}

impl LimitTracker {
    /// No limits; `waker` wakes the task that sends news to neighbours.
    pub(crate) fn new(waker: Sender<()>) -> Self {
        Self {
            book: Mutex::default(),
            has_limits: AtomicBool::new(false),
            paced_at: AtomicU64::new(0),
            waker,
        }
    }

    fn notify_change(&self) {
        self.has_limits.store(true, Ordering::Relaxed);
        self.paced_at.store(0, Ordering::Relaxed);
        let _ = self.waker.try_send(());
    }

    /// The limits.
    pub(crate) fn book(&self) -> MutexGuard<'_, RateLimits> {
        self.book.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Takes in the limit of an answer of `instance`.
    pub(crate) fn observe(&self, instance: &InstanceId, limit: Option<NamedLimit>) {
        if limit.is_none() && !self.has_limits.load(Ordering::Relaxed) {
            return;
        }
        let is_new = self.book().observe(subject_of(instance.as_str()), limit, Timestamp::now());
        if is_new {
            self.notify_change();
            match limit {
                Some(limit) => {
                    log::info!(target: "limit", endpoint:% = instance, rate = limit.rate(); "An endpoint names a limit.");
                }
                None => {
                    log::info!(target: "limit", endpoint:% = instance; "An endpoint names its limit no more.");
                }
            }
        }
    }

    /// Takes in a row of a neighbour; true if it is newer than what is known.
    pub(crate) fn merge_row(&self, row: LimitRecord, source: u64, now: Timestamp) -> bool {
        let mut book = self.book();
        let before = book.advertised_count();
        let is_new = book.merge(row, source, now);
        let named = book.advertised_count();
        drop(book);
        if is_new {
            self.notify_change();
        }
        if named != before {
            log::info!(target: "limit", endpoint = row.endpoint, state:? = row.state, age_ms = row.age_ms, named = named; "Learned of a limit.");
        }
        is_new
    }
}

/// Sets the pace of each endpoint that names a limit, or did so a moment ago.
pub(crate) fn update_paces(shared: &EntryShared, routed: &RoutedState, now: Timestamp) {
    let limits = &routed.limits;
    let update_at =
        Timestamp(limits.paced_at.load(Ordering::Relaxed)).deadline_after(PACE_INTERVAL);
    if !limits.has_limits.load(Ordering::Relaxed) || !update_at.is_past(now) {
        return;
    }
    limits.paced_at.store(now.0, Ordering::Relaxed);
    let own = &shared.settings.place.instance;
    let state = routed.overlay.lock();
    let present = state.present(own);
    let present: Vec<_> = present.into_iter().filter(|record| !record.leaving).collect();
    let listing = routed.listing();
    let book = limits.book();
    let routes = shared.routes.load();
    let mut is_change = false;
    for candidate in routes.candidates() {
        let subject = subject_of(candidate.instance.as_str());
        if !book.contains(subject) {
            is_change |= candidate.tracker.is_paced();
            candidate.tracker.set_pace(None, now);
            continue;
        }
        let listed = listing.endpoints().find(|listed| listed.instance == candidate.instance);
        let domain = listed.map(|listed| &listed.failure_domain);
        let place = holder_place(subject, domain, own, &present);
        let pace = book.pace(subject, place, now);
        is_change |= pace.is_some() != candidate.tracker.is_paced();
        candidate.tracker.set_pace(pace, now);
    }
    shared.metrics.limited.set(book.advertised_count() as i64);
    drop((book, listing, state));
    if is_change {
        shared.rebuild_routes();
    }
}

/// Forgets limits of endpoints that are gone.
pub(crate) fn expire(routed: &RoutedState, now: Timestamp) {
    if !routed.limits.has_limits.load(Ordering::Relaxed) {
        return;
    }
    let listing = routed.listing();
    let listed = listing.endpoints().map(|listed| subject_of(listed.instance.as_str()));
    let listed: HashSet<_> = listed.collect();
    drop(listing);
    let mut book = routed.limits.book();
    book.expire(|endpoint| listed.contains(&endpoint), now);
    routed.limits.has_limits.store(!book.is_empty(), Ordering::Relaxed);
}

/// Place of the entry `own` among those that may hold the limit of an endpoint in `domain`.
fn holder_place(
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
