//! When an agent repeats to another one what it holds.
//!
//! Each chunk that an agent gains is told at once. The whole list is repeated
//! for two reasons only: a full queue may have swallowed a word, and an agent of
//! which nothing is heard counts as gone. A repeat to every other agent at every
//! heartbeat filled the links between regions of a hundred agents: their number
//! enters as its square.

use std::time::Duration;

use cassiawheel_model::{Deadline, Timestamp};

/// Time between repeats to an agent that has missed nothing.
///
/// A third of the two seconds after which a silent agent counts as gone.
const RESYNC_INTERVAL: Duration = Duration::from_millis(650);

/// What one other agent has been told.
#[derive(Debug, Clone, Copy)]
pub struct ResyncSchedule {
    has_dropped: bool,
    resync_at: Deadline,
}

impl ResyncSchedule {
    /// An agent that has just been told everything.
    pub fn new(now: Timestamp) -> Self {
        Self { has_dropped: false, resync_at: now.deadline_after(RESYNC_INTERVAL) }
    }

    /// Notes that a word to it went out, or that its queue was full.
    pub fn record_send(&mut self, queued: bool) {
        self.has_dropped |= !queued;
    }

    /// Whether all has to be repeated now; starts the next span if so.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        if !self.has_dropped && !self.resync_at.is_past(now) {
            return false;
        }
        *self = Self::new(now);
        true
    }
}
