//! Estimates when a version will be fully transferred from its progress so far.

use std::time::Duration;

use cassiawheel_model::{Deadline, Timestamp};

/// First sample of a service's transfer progress for one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressSample {
    /// When the sample was taken.
    pub seen_at: Timestamp,
    /// Chunks that all endpoints of the service together held then.
    pub chunks: u64,
}

/// Estimates when `total` chunks will be held, at the mean rate since `start`.
///
/// Returns `None` while no progress has been made since then.
pub fn forecast(
    start: ProgressSample,
    chunks: u64,
    total: u64,
    now: Timestamp,
) -> Option<Deadline> {
    if chunks >= total {
        return Some(now.deadline_after(Duration::ZERO));
    }
    let gained = chunks.checked_sub(start.chunks).filter(|gained| *gained > 0)?;
    let elapsed_ms = now.0.saturating_sub(start.seen_at.0);
    let remaining_ms = (total - chunks).saturating_mul(elapsed_ms) / gained;
    Some(now.deadline_after(Duration::from_millis(remaining_ms)))
}
