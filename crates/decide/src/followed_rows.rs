//! Estimates the age of a version that a read of the operators' rows returns.
//!
//! Rows carry no time of writing. A blocking read (long poll) returns a change as it is
//! made; for any other read the age is an assumption. An age that is too high takes older
//! versions out of service too early.

use std::time::Duration;

use cassiawheel_model::{AgeSource, StorePosition, Timestamp};

/// Assumed age of a version that this process reads when it starts.
///
/// With zero, older versions could answer for too long; the other entries correct it.
const STARTUP_AGE: Duration = Duration::from_millis(3_500);

/// Longest time until a failure of the entries that followed the rows is detected.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// How far and until when the rows were followed before the current read.
#[derive(Debug, Clone, Copy, Default)]
pub struct FollowedRows {
    /// Position of this entry in the change history, if it has read the rows.
    pub position: Option<StorePosition>,
    /// The last time at which this entry or others followed them.
    pub until: Option<Timestamp>,
    /// Whether other entries followed them until then.
    pub by_others: bool,
}

impl FollowedRows {
    /// Returns the age of a version that the current read returns, and its source.
    pub fn version_age(self, now: Timestamp) -> (Duration, AgeSource) {
        let detection = if self.by_others { DETECTION_TIME } else { Duration::ZERO };
        match (self.position, self.until) {
            // A blocking read returns changes as they are made.
            (Some(_), Some(_)) if !self.by_others => (Duration::ZERO, AgeSource::Observed),
            (Some(_), Some(_)) => (detection, AgeSource::Assumed),
            // The version was named at an unknown time since then.
            (None, Some(until)) => (now.since(until) + detection, AgeSource::Assumed),
            (_, None) => (STARTUP_AGE, AgeSource::Assumed),
        }
    }
}
