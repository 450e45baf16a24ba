//! When a version will be ready, judged by its progress so far.

use std::time::Duration;

use cassiawheel_model::{Deadline, Timestamp};

/// Progress of one service towards one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressSample {
    /// When the progress was first seen.
    pub seen_at: Timestamp,
    /// Chunks that the endpoints held then.
    pub chunks: u64,
}

/// When all chunks will be there, if the transfer goes on as it has since `start`.
///
/// None while there is no progress to judge by.
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
    let left_ms = (total - chunks).saturating_mul(elapsed_ms) / gained;
    Some(now.deadline_after(Duration::from_millis(left_ms)))
}
