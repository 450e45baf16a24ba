//! Rate limiting of the calls to the table service.

use std::time::Duration;

use cassiawheel_model::Timestamp;

/// Consecutive failures after which the poll interval stops doubling.
const MAX_DOUBLINGS: u32 = 3;

/// Token bucket of calls.
///
/// It keeps a fault in one process, such as a retry loop, from using up the rate limit that all
/// processes share.
#[derive(Debug, Clone)]
pub struct CallBudget {
    per_s: u64,
    /// Available tokens, in thousandths of a call.
    tokens: u64,
    refilled_at: Timestamp,
}

impl CallBudget {
    /// Creates a full bucket that refills at `per_s` calls per second and holds as many.
    pub fn new(per_s: u32, now: Timestamp) -> Self {
        let per_s = u64::from(per_s);
        Self { per_s, tokens: per_s * 1_000, refilled_at: now }
    }

    /// Takes one call, or returns the time until one is available.
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

/// Time until the next poll after `failures` consecutive failures, in milliseconds.
///
/// Without the backoff, a service that recovers from an outage would get the polls of all processes
/// at their full rate, on top of the calls that waited for it.
pub fn poll_backoff_ms(base_ms: u64, failures: u32) -> u64 {
    base_ms << failures.min(MAX_DOUBLINGS)
}
