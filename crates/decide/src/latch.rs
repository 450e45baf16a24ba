//! Arbitration between the start of a run and its cancellation.
//!
//! Start and cancellation race on two threads, and exactly one of them succeeds. An attempt that
//! was reported as cancelled therefore never runs.

use std::sync::atomic::{AtomicU8, Ordering};

const WAITING: u8 = 0;
const RUNNING: u8 = 1;
const CANCELLED: u8 = 2;

/// State of one attempt: waiting, running or cancelled.
#[derive(Debug, Default)]
pub struct RunLatch {
    state: AtomicU8,
}

impl RunLatch {
    /// Starts the run; false if the attempt was cancelled before.
    pub fn begin(&self) -> bool {
        self.transition(RUNNING)
    }

    /// Cancels the attempt; false if its run has started.
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
