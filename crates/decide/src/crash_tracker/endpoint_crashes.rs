//! Recent crashes of endpoints, whatever they ran.

use std::collections::VecDeque;

use cassiawheel_model::Timestamp;

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 64;

/// Number of endpoints that crash within [`COMMON_SPAN_MS`] of each other by a common cause.
const COMMON_CRASHES: usize = 3;

/// Time between crashes that have a common cause, in milliseconds, including the time of a message.
const COMMON_SPAN_MS: u64 = 75;

/// The last crashes, each endpoint process once.
#[derive(Debug, Default)]
pub(super) struct EndpointCrashes {
    crashes: VecDeque<(u64, Timestamp)>,
}

impl EndpointCrashes {
    /// Records a crash; false if it is known.
    pub(super) fn record(&mut self, endpoint: u64, at: Timestamp) -> bool {
        if self.crashes.iter().any(|(known, _)| *known == endpoint) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back((endpoint, at));
        true
    }

    /// Whether several endpoints crashed about `at`.
    pub(super) fn has_common_cause(&self, at: Timestamp) -> bool {
        let is_near = |other: &Timestamp| at.0.abs_diff(other.0) <= COMMON_SPAN_MS;
        self.crashes.iter().filter(|(_, other)| is_near(other)).count() >= COMMON_CRASHES
    }

    /// Number of crashes from `from` to `to` that have no common cause with others.
    pub(super) fn count_single(&self, from: Timestamp, to: Timestamp) -> usize {
        let between = self.crashes.iter().filter(|(_, at)| (from..=to).contains(at));
        between.filter(|(_, at)| !self.has_common_cause(*at)).count()
    }
}
