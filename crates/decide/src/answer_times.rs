//! How long requests of a kind take, to decide which of them a leaving process still accepts and which
//! may go to an endpoint with an older version.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cassiawheel_model::{Deadline, Repeatability, Timestamp};

/// Time after which the longest answer of a window is forgotten, in milliseconds.
const WINDOW_MS: u64 = 30_000;

/// Time added to the longest recorded one, in milliseconds.
const MARGIN_MS: u64 = 100;

/// Divisor of the longest recorded time for the part of it that is added.
const MARGIN_DIVISOR: u32 = 8;

/// Longest answer of the current and of the former window.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    window: AtomicU64,
    current_ms: AtomicU64,
    former_ms: AtomicU64,
}

impl AnswerTimes {
    /// Records an answer that was complete `span` after its request.
    pub fn record(&self, span: Duration, now: Timestamp) {
        let window = now.0 / WINDOW_MS + 1;
        let former = self.window.fetch_max(window, Ordering::Relaxed);
        if former < window {
            let longest_ms = self.current_ms.swap(0, Ordering::Relaxed);
            let longest_ms = if former + 1 == window { longest_ms } else { 0 };
            self.former_ms.store(longest_ms, Ordering::Relaxed);
        }
        self.current_ms.fetch_max(span.as_millis() as u64, Ordering::Relaxed);
    }

    /// Longest recorded answer; `None` before the first.
    ///
    /// Counts the last windows in which there was one, as the last answers may lie far back.
    pub fn longest(&self) -> Option<Duration> {
        let is_known = self.window.load(Ordering::Relaxed) > 0;
        let current_ms = self.current_ms.load(Ordering::Relaxed);
        let longest_ms = current_ms.max(self.former_ms.load(Ordering::Relaxed));
        is_known.then(|| Duration::from_millis(longest_ms))
    }
}

/// When a process was told to stop, and when it ends.
#[derive(Debug, Clone, Copy)]
pub struct StopSpan {
    /// Time of the signal.
    pub began_at: Timestamp,
    /// Time at which requests in progress are aborted.
    pub ends_at: Deadline,
}

/// Whether the answer to a request may not be complete when the process ends.
///
/// A request whose deadline comes first is never cut off. Of one with a later deadline, the longest
/// answer to such requests tells. If there was none yet, it may take all of its time; a repeatable one
/// is accepted all the same in the first half, as callers may not know of the stop yet.
pub fn may_outlast(
    stop: StopSpan,
    deadline: Deadline,
    repeat: Repeatability,
    longest: Option<Duration>,
    now: Timestamp,
) -> bool {
    let left = stop.ends_at.remaining(now);
    if deadline.remaining(now) <= left {
        return false;
    }
    match (longest, repeat) {
        (Some(longest), _) => with_margin(longest) > left,
        (None, Repeatability::Idempotent) => left < stop.ends_at.remaining(stop.began_at) / 2,
        (None, Repeatability::AtMostOnce) => true,
    }
}

/// Time by which a request may begin later than is tolerated, by the longest recent start.
pub fn excess_start(longest: Option<Duration>, tolerated: Duration) -> Duration {
    longest.map_or(Duration::ZERO, |longest| with_margin(longest).saturating_sub(tolerated))
}

fn with_margin(longest: Duration) -> Duration {
    longest + longest / MARGIN_DIVISOR + Duration::from_millis(MARGIN_MS)
}
