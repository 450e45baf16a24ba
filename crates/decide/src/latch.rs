//! Whether an attempt has begun its run or was cancelled before.
//!
//! The cancel and the beginning of the run race on two threads. Exactly one of
//! them wins, so an attempt that was told apart as cancelled never runs.

use std::sync::atomic::{AtomicU8, Ordering};

const WAITING: u8 = 0;
const RUNNING: u8 = 1;
const CANCELLED: u8 = 2;

/// The latch of one attempt.
#[derive(Debug, Default)]
pub struct RunLatch {
    state: AtomicU8,
}

impl RunLatch {
    /// Begins the run; false if the attempt was cancelled before.
    pub fn begin(&self) -> bool {
        self.transition(RUNNING)
    }

    /// Cancels the attempt; false if its run has begun.
    pub fn cancel(&self) -> bool {
        self.transition(CANCELLED)
    }

    /// Whether the attempt was cancelled before its run.
    pub fn is_cancelled(&self) -> bool {
        self.state.load(Ordering::Acquire) == CANCELLED
    }

    fn transition(&self, next: u8) -> bool {
        let changed =
            self.state.compare_exchange(WAITING, next, Ordering::AcqRel, Ordering::Acquire);
        changed.is_ok()
    }
}
