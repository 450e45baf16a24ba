//! Points in time.
//!
//! Stored values are always points, never durations: a deadline that was
//! computed once keeps its meaning while it is queued, forwarded or retried.

use std::{
    sync::LazyLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use macro_rules_attribute::apply;

/// The time of day and the steady clock at the first look at the clock.
static PROCESS_START: LazyLock<(u64, Instant)> = LazyLock::new(|| {
    let of_day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (of_day.as_millis() as u64, Instant::now())
});

/// A moment, in milliseconds since the Unix epoch.
#[apply(label!)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

/// The moment after which a result is of no use, in milliseconds since the Unix epoch.
#[apply(label!)]
#[serde(transparent)]
pub struct Deadline(pub u64);

impl Timestamp {
    /// Reads the clock of the process. Only called at the edge of a process.
    ///
    /// The time of day is read once, at the first call; from then on the steady
    /// clock counts. A time of day that is set forward would else end every
    /// request at once, and one set back would keep requests past their
    /// deadlines; callers would notice answers that come far too early or late.
    pub fn now() -> Self {
        let (started_at, started) = *PROCESS_START;
        Self(started_at + started.elapsed().as_millis() as u64)
    }

    /// The deadline `span` after this moment.
    pub fn deadline_after(self, span: Duration) -> Deadline {
        Deadline(self.0.saturating_add(span.as_millis() as u64))
    }

    /// Time since `earlier`; zero if `earlier` lies in the future.
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
