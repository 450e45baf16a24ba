//! Backoff that an endpoint has requested from this entry.
//!
//! A refusal may state for how long the endpoint wants no further requests. The latest end that was
//! stated applies. After it, one request probes the endpoint; further ones follow only after an
//! answer that requests no backoff.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use cassiawheel_model::{Deadline, Timestamp};

/// Time after which another request probes an endpoint that has not answered the last probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Divisor of a backoff that gives the longest additional delay of the first probe.
const JITTER_DIVISOR: u32 = 8;

/// Longest additional delay of the first probe.
const MAX_JITTER: Duration = Duration::from_millis(500);

/// Backoff of one endpoint; both deadlines are zero if none was requested.
#[derive(Debug, Default)]
pub struct EndpointBackoff {
    /// Latest end that the endpoint has stated, in milliseconds.
    ends_at: AtomicU64,
    /// When the next request may be sent, in milliseconds.
    next_at: AtomicU64,
    /// Whether a backoff that cannot be parsed has been reported.
    has_invalid: AtomicBool,
}

impl EndpointBackoff {
    /// Starts a backoff of `span`; true unless an earlier one has not ended.
    ///
    /// `jitter` between 0 and 1 delays the first probe, so that entries which were refused at the
    /// same time do not all return at the same time.
    pub fn begin(&self, span: Duration, jitter: f64, now: Timestamp) -> bool {
        let ends_at = now.deadline_after(span);
        let delay = (span / JITTER_DIVISOR).min(MAX_JITTER).mul_f64(jitter);
        let next_at = Timestamp(ends_at.0).deadline_after(delay);
        let before = self.ends_at.fetch_max(ends_at.0, Ordering::Relaxed);
        self.next_at.fetch_max(next_at.0, Ordering::Relaxed);
        before <= now.0
    }

    /// Records an answer that requests no backoff; true if it completes an expired one.
    ///
    /// An answer that arrives before the end belongs to a request sent before the refusal.
    pub fn end(&self, now: Timestamp) -> bool {
        let ends_at = self.ends_at.load(Ordering::Relaxed);
        if ends_at == 0 || now.0 < ends_at {
            return false;
        }
        let ended = self.ends_at.compare_exchange(ends_at, 0, Ordering::Relaxed, Ordering::Relaxed);
        if ended.is_ok() {
            self.next_at.store(0, Ordering::Relaxed);
        }
        ended.is_ok()
    }

    /// Records a backoff that cannot be parsed; true for the first one, which is reported.
    pub fn record_invalid(&self) -> bool {
        !self.has_invalid.swap(true, Ordering::Relaxed)
    }

    /// Whether a backoff was requested and no answer has completed it.
    pub fn is_active(&self) -> bool {
        self.ends_at.load(Ordering::Relaxed) != 0
    }

    /// Whether a request may be sent now.
    pub fn is_due(&self, now: Timestamp) -> bool {
        let next_at = self.next_at.load(Ordering::Relaxed);
        now.0 >= next_at.max(self.ends_at.load(Ordering::Relaxed))
    }

    /// When the next request may be sent; none without a backoff.
    pub fn next_at(&self) -> Option<Deadline> {
        self.is_active().then(|| Deadline(self.next_at.load(Ordering::Relaxed)))
    }

    /// Takes the next request; false if none may be sent now.
    pub fn take(&self, now: Timestamp) -> bool {
        if !self.is_active() {
            return true;
        }
        if !self.is_due(now) {
            return false;
        }
        let next_at = now.deadline_after(PROBE_INTERVAL).0;
        let probe = |due_at: u64| (now.0 >= due_at).then_some(next_at);
        self.next_at.fetch_update(Ordering::Relaxed, Ordering::Relaxed, probe).is_ok()
    }
}
