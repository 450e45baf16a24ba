//! How often a process may call the table service.

use std::time::Duration;

use cassiawheel_model::Timestamp;

/// Failures in a row after which the wait between polls grows no more.
const MAX_DOUBLINGS: u32 = 3;

/// Calls that may be made now; refilled at a steady rate.
///
/// Without it a fault in one process, such as a loop of retries, would use up
/// the rate that the service grants to all.
#[derive(Debug, Clone)]
pub struct CallBudget {
    per_s: u64,
    /// Thousandths of a call.
    tokens: u64,
    refilled_at: Timestamp,
}

impl CallBudget {
    /// A full budget of `per_s` calls a second, and as many at once.
    pub fn new(per_s: u32, now: Timestamp) -> Self {
        let per_s = u64::from(per_s);
        Self { per_s, tokens: per_s * 1_000, refilled_at: now }
    }

    /// Takes one call; the wait until there is one if there is none.
    pub fn take(&mut self, now: Timestamp) -> Result<(), Duration> {
        let elapsed_ms = now.0.saturating_sub(self.refilled_at.0);
        self.refilled_at = now.max(self.refilled_at);
        self.tokens = (self.tokens + elapsed_ms * self.per_s).min(self.per_s * 1_000);
        if self.tokens >= 1_000 {
            self.tokens -= 1_000;
            return Ok(());
        }
        let missing = 1_000 - self.tokens;
        Err(Duration::from_millis(missing.div_ceil(self.per_s.max(1))))
    }
}

/// The wait until the next poll after `failures` in a row.
///
/// A service that comes back after an outage would otherwise meet the polls of
/// all processes at their full rate, on top of the calls that waited for it.
pub fn poll_backoff_ms(base_ms: u64, failures: u32) -> u64 {
    base_ms << failures.min(MAX_DOUBLINGS)
}
