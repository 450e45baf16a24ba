//! How current this entry's copy of the list of endpoints is, readable without a lock.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cassiawheel_decide::EndpointListing;
use cassiawheel_model::Timestamp;

/// Age and position of the list of endpoints.
#[derive(Debug, Default)]
pub(crate) struct ListFreshness {
    /// When the read that gave the current state was sent; zero before the first.
    asked_at: AtomicU64,
    position: AtomicU64,
}

impl ListFreshness {
    /// Records the state of the list after a read or an update.
    pub(crate) fn record(&self, listing: &EndpointListing) {
        let asked_at = listing.asked_at().map_or(0, |asked_at| asked_at.0);
        self.asked_at.store(asked_at, Ordering::Relaxed);
        self.position.store(listing.position(), Ordering::Relaxed);
    }

    /// Age of the list; `None` if it is not known yet.
    pub(crate) fn age(&self, now: Timestamp) -> Option<Duration> {
        let asked_at = self.asked_at.load(Ordering::Relaxed);
        (asked_at > 0).then(|| now.since(Timestamp(asked_at)))
    }

    /// Position of the list.
    pub(crate) fn position(&self) -> u64 {
        self.position.load(Ordering::Relaxed)
    }
}
