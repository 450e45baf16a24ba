//! Recovery of a service after a time in which no endpoint could serve its requests.
//!
//! All entries have refused callers by then, and these return within seconds. If each entry used
//! the slots that it sees as free, they would together send a multiple of what fits, and the
//! answers would be late until the excess has been served.

use std::sync::atomic::{AtomicU64, Ordering};

use cassiawheel_model::Timestamp;

/// Time from the last request without an endpoint until the service counts as recovered, in
/// milliseconds.
///
/// Callers with a timeout of 6 s return at most a third of it after their refusal.
const RECOVERY_MS: u64 = 2_000;

/// Time from the last request without an endpoint for which a service counts as unserved, in
/// milliseconds.
const UNSERVED_MS: u64 = 100;

/// When a service last had no endpoint for a request; read and written without a lock.
#[derive(Debug, Default)]
pub struct OutageRecovery {
    unserved_at: AtomicU64,
}

impl OutageRecovery {
    /// Records that no endpoint can serve requests now.
    pub fn record_unserved(&self, now: Timestamp) {
        self.unserved_at.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Whether no endpoint served requests just before.
    pub fn is_unserved(&self, now: Timestamp) -> bool {
        self.age_ms(now) < UNSERVED_MS
    }

    /// Whether callers that were refused during an outage are still expected to return.
    pub fn is_recovering(&self, now: Timestamp) -> bool {
        self.age_ms(now) < RECOVERY_MS
    }

    fn age_ms(&self, now: Timestamp) -> u64 {
        now.0.saturating_sub(self.unserved_at.load(Ordering::Relaxed))
    }
}
