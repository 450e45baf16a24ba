//! Detection of times in which this process stood still.
//!
//! A paused process or one that gets no processor time sees others fall silent, calls time out and
//! its knowledge age, although nothing has happened to any of them. A task calls
//! [`PauseDetector::tick`] at a short interval; a tick that comes late shows the pause. Where a
//! decision depends on it, [`PauseDetector::stood_still_since`] also detects a pause whose late tick
//! has not run yet.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cassiawheel_model::Timestamp;

/// Interval between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two ticks from which the process counts as paused.
pub const MIN_PAUSE: Duration = Duration::from_millis(400);

/// Detects that the process stood still, from late ticks.
#[derive(Debug)]
pub struct PauseDetector {
    last_tick: AtomicU64,
    /// When the end of the last pause was noticed; zero before the first.
    ended_at: AtomicU64,
    longest_ms: AtomicU64,
}

impl PauseDetector {
    /// Creates the detector of a process that runs at `now`.
    pub fn new(now: Timestamp) -> Self {
        Self {
            last_tick: AtomicU64::new(now.0),
            ended_at: AtomicU64::new(0),
            longest_ms: AtomicU64::new(0),
        }
    }

    /// Records that the process runs; returns the length of the pause that has just ended, if any.
    pub fn tick(&self, now: Timestamp) -> Option<Duration> {
        let last = Timestamp(self.last_tick.load(Ordering::Acquire));
        let span = now.since(last);
        let is_pause = span >= MIN_PAUSE;
        if is_pause {
            // Before the tick, so that no reader sees neither the old tick nor the pause.
            self.ended_at.store(now.0, Ordering::Release);
            self.longest_ms.fetch_max(span.as_millis() as u64, Ordering::Relaxed);
        }
        self.last_tick.store(now.0, Ordering::Release);
        is_pause.then_some(span)
    }

    /// Whether a pause has ended since `since`, also if no tick has noticed it yet.
    pub fn stood_still_since(&self, since: Timestamp, now: Timestamp) -> bool {
        let last = Timestamp(self.last_tick.load(Ordering::Acquire));
        now.since(last) >= MIN_PAUSE || self.ended_at.load(Ordering::Acquire) >= since.0
    }

    /// When the end of the last pause was noticed, which is `now` if no tick has noticed it yet.
    pub fn last_ended_at(&self, now: Timestamp) -> Timestamp {
        let last = Timestamp(self.last_tick.load(Ordering::Acquire));
        match now.since(last) >= MIN_PAUSE {
            true => now,
            false => Timestamp(self.ended_at.load(Ordering::Acquire)),
        }
    }

    /// Length of the longest pause.
    pub fn longest(&self) -> Duration {
        Duration::from_millis(self.longest_ms.load(Ordering::Relaxed))
    }
}
