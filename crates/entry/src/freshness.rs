//! How current this entry's copy of the list of endpoints is, readable without a lock.
//!
//! A process that stood still knows what was true before. Messages that waited for it are as old as
//! the pause, whatever age they state. Only a read that it sends afterwards shows which endpoints have
//! left meanwhile, so requests wait for the end of that read, for a short time at most.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cassiawheel_decide::{EndpointListing, PauseDetector};
use cassiawheel_model::Timestamp;
use smol::Timer;

/// Longest time after a pause for which requests wait for a read of the list.
///
/// A read takes some milliseconds. If none ends within this time, the table service is slow or away,
/// and requests are served by the list from before.
const MAX_HOLD_TIME: Duration = Duration::from_millis(500);

/// Interval at which a waiting request checks the list.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Age and position of the list of endpoints, and whether it was read since the process stood still.
#[derive(Debug)]
pub(crate) struct ListFreshness {
    /// When the read that gave the current state was sent; zero before the first.
    asked_at: AtomicU64,
    position: AtomicU64,
    /// When the last read of this entry was sent that has ended, and not because of a pause.
    verified_at: AtomicU64,
    /// Detects that the process stood still.
    pub(crate) pauses: PauseDetector,
}

impl ListFreshness {
    /// Creates the state of a process that starts at `now`, without a list.
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            asked_at: AtomicU64::new(0),
            position: AtomicU64::new(0),
            verified_at: AtomicU64::new(now.0),
            pauses: PauseDetector::new(now),
        }
    }

    /// Records the state of the list after a read or an update.
    pub(crate) fn record(&self, listing: &EndpointListing) {
        let asked_at = listing.asked_at().map_or(0, |asked_at| asked_at.0);
        self.asked_at.store(asked_at, Ordering::Relaxed);
        self.position.store(listing.position(), Ordering::Relaxed);
    }

    /// Records that a read of this entry has ended and routes were derived from it.
    pub(crate) fn record_verified(&self, asked_at: Timestamp) {
        self.verified_at.fetch_max(asked_at.0, Ordering::Release);
    }

    /// Whether the list has been read since the process last stood still.
    pub(crate) fn is_verified(&self, now: Timestamp) -> bool {
        let verified_at = Timestamp(self.verified_at.load(Ordering::Acquire));
        !self.pauses.stood_still_since(verified_at, now)
    }

    /// Whether requests have to wait for a read of the list.
    pub(crate) fn must_hold(&self, now: Timestamp) -> bool {
        !self.is_verified(now) && now.since(self.pauses.last_ended_at(now)) < MAX_HOLD_TIME
    }

    /// Waits while requests have to wait for a read of the list.
    pub(crate) async fn hold(&self) {
        while self.must_hold(Timestamp::now()) {
            Timer::after(HOLD_CHECK_INTERVAL).await;
        }
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
