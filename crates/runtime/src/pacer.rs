//! Pacing of bytes to the rate of a link.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// Spreads bytes over time; a rate of zero is unlimited.
#[derive(Debug)]
pub struct RatePacer {
    bytes_per_s: u64,
    free_at: Mutex<Instant>,
}

impl RatePacer {
    /// A pacer of `bytes_per_s`.
    pub fn new(bytes_per_s: u64) -> Self {
        Self { bytes_per_s, free_at: Mutex::new(Instant::now()) }
    }

    /// Waits until the link has room for `bytes` more.
    ///
    /// What passed before is waited for, and not the bytes themselves: an idle
    /// link would else keep each chunk for as long again as it takes to send,
    /// and chunks that are swapped one after another took twice the time.
    pub async fn acquire(&self, bytes: usize) {
        if self.bytes_per_s == 0 {
            return;
        }
        smol::Timer::at(self.reserve(bytes)).await;
    }

    fn reserve(&self, bytes: usize) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(|poison| poison.into_inner());
        let span = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s as f64);
        let start = (*free_at).max(Instant::now());
        *free_at = start + span;
        start
    }
}
