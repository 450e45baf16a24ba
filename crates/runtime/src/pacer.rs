//! Pacing of transfers to the bandwidth of a link.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// Limits transfers to a rate; a rate of zero is unlimited.
#[derive(Debug)]
pub struct RatePacer {
    bytes_per_s: u64,
    free_at: Mutex<Instant>,
}

impl RatePacer {
    /// Creates a pacer with a rate of `bytes_per_s`.
    pub fn new(bytes_per_s: u64) -> Self {
        Self { bytes_per_s, free_at: Mutex::new(Instant::now()) }
    }

    /// Reserves `bytes` and waits until the link has sent all bytes reserved before.
    ///
    /// The wait does not include the time for `bytes` themselves: on an idle link each chunk would
    /// be delayed by its own transfer time, and chunks exchanged one after another would take
    /// twice as long.
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
