//! Schedule on which an agent resends its full chunk list to a peer.
//!
//! Each chunk that an agent gains is announced at once. The full list is resent for two reasons
//! only: a full queue may have dropped an announcement, and an agent that sends nothing counts as
//! gone. Resending it to every peer at every heartbeat saturated the links between the regions of a
//! hundred agents, because the traffic grows with the square of their number.

use std::time::Duration;

use cassiawheel_model::{Deadline, Timestamp};

/// Time between resends to a peer that has missed nothing.
///
/// A third of the two seconds after which a silent agent counts as gone.
const RESYNC_INTERVAL: Duration = Duration::from_millis(650);

/// Resend state of one peer.
#[derive(Debug, Clone, Copy)]
pub struct ResyncSchedule {
    has_dropped: bool,
    resync_at: Deadline,
}

impl ResyncSchedule {
    /// Creates the state of a peer that has just received the full list.
    pub fn new(now: Timestamp) -> Self {
        Self { has_dropped: false, resync_at: now.deadline_after(RESYNC_INTERVAL) }
    }

    /// Records whether a message to the peer was queued or dropped by a full queue.
    pub fn record_send(&mut self, queued: bool) {
        self.has_dropped |= !queued;
    }

    /// Whether the full list is due; starts the next interval if so.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        if !self.has_dropped && !self.resync_at.is_past(now) {
            return false;
        }
        *self = Self::new(now);
        true
    }
}
