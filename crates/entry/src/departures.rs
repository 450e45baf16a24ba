//! Endpoints that leave, by their rows, their answers or a neighbour.

use std::{
    collections::HashSet,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
};

use cassiawheel_decide::{DepartureTable, EndpointListing, LinkId, rank::subject_of};
use cassiawheel_model::{DepartureRecord, InstanceId, Timestamp};
use smol::channel::Sender;

use crate::routed::RoutedState;

/// Tracks the endpoints that leave.
pub(crate) struct DepartureMonitor {
    table: Mutex<DepartureTable>,
    /// Whether routes have to be derived since a departure became known.
    is_stale: AtomicBool,
    /// Wakes the task that sends changes to neighbours and derives routes.
    waker: Sender<()>,
}

impl DepartureMonitor {
    /// Creates a monitor; `waker` wakes the task that sends changes and derives routes.
    pub(crate) fn new(waker: Sender<()>) -> Self {
        Self { table: Mutex::default(), is_stale: AtomicBool::new(false), waker }
    }

    /// Locks the known departures.
    pub(crate) fn table(&self) -> MutexGuard<'_, DepartureTable> {
        self.table.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Whether routes have to be derived; resets the mark.
    pub(crate) fn take_stale(&self) -> bool {
        self.is_stale.swap(false, Ordering::AcqRel)
    }

    /// Records that an answer of the endpoint states that it leaves.
    pub(crate) fn observe_answer(&self, instance: &InstanceId, born_at: Option<Timestamp>) {
        let departure =
            DepartureRecord { endpoint: subject_of(instance.as_str()), born_at, unlisted_s: 0 };
        if self.table().record(departure, None, Timestamp::now()) {
            log::info!(target: "list", endpoint:% = instance, source = "answer"; "An endpoint leaves.");
            self.notify_change();
        }
    }

    /// Records the departures that a neighbour knows.
    pub(crate) fn merge(&self, departures: &[DepartureRecord], source: LinkId, now: Timestamp) {
        let mut table = self.table();
        let is_new = |departure: &&DepartureRecord| table.record(**departure, Some(source), now);
        let added = departures.iter().filter(is_new).count();
        drop(table);
        if added > 0 {
            log::info!(target: "list", endpoints = added, source = "neighbour"; "Endpoints leave.");
            self.notify_change();
        }
    }

    /// Records the departures that rows of the list state.
    ///
    /// The routes are derived from the same rows, so they do not become stale.
    pub(crate) fn observe_rows(&self, listing: &EndpointListing, now: Timestamp) {
        let mut table = self.table();
        for listed in listing.endpoints().filter(|listed| listed.is_leaving) {
            let endpoint = subject_of(listed.instance.as_str());
            let departure = DepartureRecord { endpoint, born_at: listed.born_at, unlisted_s: 0 };
            if table.record(departure, None, now) {
                let _ = self.waker.try_send(());
            }
        }
    }

    fn notify_change(&self) {
        self.is_stale.store(true, Ordering::Release);
        let _ = self.waker.try_send(());
    }
}

/// Drops the departures of endpoints that have not been listed for long.
pub(crate) fn expire(routed: &RoutedState, now: Timestamp) {
    if routed.departures.table().is_empty() {
        return;
    }
    let listing = routed.listing();
    let listed = listing.endpoints().map(|listed| subject_of(listed.instance.as_str()));
    let listed: HashSet<_> = listed.collect();
    drop(listing);
    routed.departures.table().expire(|endpoint| listed.contains(&endpoint), now);
}
