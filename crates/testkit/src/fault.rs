//! Fault injection for a stand-in.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

/// Faults that can be switched on and off while a stand-in runs.
#[derive(Debug, Default)]
pub struct FaultSwitches {
    down: AtomicBool,
    lose_answers: AtomicBool,
    corrupt: AtomicBool,
    delay_ms: AtomicU64,
}

impl FaultSwitches {
    /// Answers every request with 503.
    pub fn set_down(&self, on: bool) {
        self.down.store(on, Ordering::SeqCst);
    }

    /// Carries out requests, then closes the connection instead of answering.
    pub fn set_lose_answers(&self, on: bool) {
        self.lose_answers.store(on, Ordering::SeqCst);
    }

    /// Flips a bit in every chunk that is sent.
    pub fn set_corrupt(&self, on: bool) {
        self.corrupt.store(on, Ordering::SeqCst);
    }

    /// Delays the handling of each request by `span`.
    pub fn set_delay(&self, span: Duration) {
        self.delay_ms.store(span.as_millis() as u64, Ordering::SeqCst);
    }

    /// Whether the stand-in is down.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Whether answers are lost.
    pub fn loses_answers(&self) -> bool {
        self.lose_answers.load(Ordering::SeqCst)
    }

    /// Whether chunks are corrupted.
    pub fn corrupts(&self) -> bool {
        self.corrupt.load(Ordering::SeqCst)
    }

    /// Delay before each request is handled.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }
}
