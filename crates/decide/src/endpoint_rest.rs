//! Rest that an endpoint has asked this entry for.
//!
//! A refusal may ask for no more requests for some time. The latest end that was stated applies.
//! When it has passed, one request probes the endpoint; the next ones follow only after an answer
//! that is no such refusal.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use cassiawheel_model::{Deadline, Timestamp};

/// Time after which another request probes an endpoint that has not answered the last probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Divisor of a rest that gives the longest additional delay of the first probe.
const SPREAD_DIVISOR: u32 = 8;

/// Longest additional delay of the first probe.
const MAX_SPREAD: Duration = Duration::from_millis(500);

/// Rest of one endpoint; zero deadlines mean that it has asked for none.
#[derive(Debug, Default)]
pub struct EndpointRest {
    /// End of the rest that the endpoint stated last, in milliseconds.
    ends_at: AtomicU64,
    /// When the next request may be sent, in milliseconds.
    next_at: AtomicU64,
    /// Whether a rest that cannot be parsed has been reported.
    has_invalid: AtomicBool,
}

impl EndpointRest {
    /// Records that the endpoint asked for `span` of rest; true if no earlier rest is under way.
    ///
    /// `spread` between 0 and 1 delays the first probe, so that entries which were refused together
    /// do not return together.
    pub fn begin(&self, span: Duration, spread: f64, now: Timestamp) -> bool {
        let ends_at = now.deadline_after(span);
        let delay = (span / SPREAD_DIVISOR).min(MAX_SPREAD).mul_f64(spread);
        let next_at = Timestamp(ends_at.0).deadline_after(delay);
        let before = self.ends_at.fetch_max(ends_at.0, Ordering::Relaxed);
        self.next_at.fetch_max(next_at.0, Ordering::Relaxed);
        before <= now.0
    }

    /// Records an answer that asks for no rest; true if it ended the rest.
    ///
    /// Answers to requests that were sent before the refusal arrive during the rest and do not end
    /// it.
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

    /// Records a rest that cannot be parsed; true for the first one, which is reported.
    pub fn record_invalid(&self) -> bool {
        !self.has_invalid.swap(true, Ordering::Relaxed)
    }

    /// Whether the endpoint has asked for rest and has not answered a request since its end.
    pub fn is_active(&self) -> bool {
        self.ends_at.load(Ordering::Relaxed) != 0
    }

    /// Whether a request may be sent now.
    pub fn is_due(&self, now: Timestamp) -> bool {
        let next_at = self.next_at.load(Ordering::Relaxed);
        now.0 >= next_at.max(self.ends_at.load(Ordering::Relaxed))
    }

    /// When the next request may be sent, if the endpoint has asked for rest.
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
