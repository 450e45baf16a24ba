//! Moving average of the rate of an event, without a lock.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use cassiawheel_model::Timestamp;

/// Length of the windows in which events are counted, in milliseconds.
const WINDOW_MS: u64 = 250;

/// Time constant of the average, in milliseconds.
const AVERAGE_MS: f64 = 1_000.0;

/// Rate of an event, averaged over about a second.
#[derive(Debug, Default)]
pub struct RateMeter {
    window_start: AtomicU64,
    count: AtomicU32,
    /// Average at the start of the window, in events per second, as bits of an `f64`.
    average: AtomicU64,
}

impl RateMeter {
    /// Counts an event.
    pub fn count(&self, now: Timestamp) {
        self.count.fetch_add(1, Ordering::Relaxed);
        self.end_window(now);
    }

    /// Events per second; one that happens now counts from the end of its window.
    pub fn per_s(&self, now: Timestamp) -> f64 {
        self.end_window(now);
        f64::from_bits(self.average.load(Ordering::Relaxed))
    }

    fn end_window(&self, now: Timestamp) {
        let start = self.window_start.load(Ordering::Relaxed);
        let span_ms = now.0.saturating_sub(start);
        if span_ms < WINDOW_MS {
            return;
        }
        let (success, failure) = (Ordering::Relaxed, Ordering::Relaxed);
        if self.window_start.compare_exchange(start, now.0, success, failure).is_err() {
            return;
        }
        let count = self.count.swap(0, Ordering::Relaxed);
        let sample = f64::from(count) * 1_000.0 / span_ms as f64;
        let average = f64::from_bits(self.average.load(Ordering::Relaxed));
        let kept = (-(span_ms as f64) / AVERAGE_MS).exp();
        let average = average * kept + sample * (1.0 - kept);
        self.average.store(average.to_bits(), Ordering::Relaxed);
    }
}
