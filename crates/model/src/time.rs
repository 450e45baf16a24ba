//! Timestamps and deadlines.
//!
//! Stored values are points in time, never durations, so that a deadline keeps its
//! meaning while a request is queued, forwarded or retried.

use std::{
    sync::LazyLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use macro_rules_attribute::apply;

/// Wall-clock time and monotonic time of the first call of [`Timestamp::now`].
static PROCESS_START: LazyLock<(u64, Instant)> = LazyLock::new(|| {
    let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (wall_clock.as_millis() as u64, Instant::now())
});

/// A point in time, in milliseconds since the Unix epoch.
#[apply(label!)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

/// The time after which a result is of no use, in milliseconds since the Unix epoch.
#[apply(label!)]
#[serde(transparent)]
pub struct Deadline(pub u64);

impl Timestamp {
    /// Returns the current time. Called only by code that performs I/O; decision logic takes the
    /// time as an argument.
    ///
    /// The wall clock is read once, at the first call; later times are derived from the monotonic
    /// clock. Otherwise a wall clock that is set forward would expire all requests at once, and
    /// one that is set back would keep requests past their deadlines: callers would get answers
    /// far too early or too late.
    pub fn now() -> Self {
        let (started_at, started) = *PROCESS_START;
        Self(started_at + started.elapsed().as_millis() as u64)
    }

    /// Returns the deadline `span` after this time.
    pub fn deadline_after(self, span: Duration) -> Deadline {
        Deadline(self.0.saturating_add(span.as_millis() as u64))
    }

    /// Time since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Deadline {
    /// Whether the deadline has been reached.
    pub fn is_past(self, now: Timestamp) -> bool {
        now.0 >= self.0
    }

    /// Time left; zero once the deadline has been reached.
    pub fn remaining(self, now: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(now.0))
    }
}
