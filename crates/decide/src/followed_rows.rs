//! How old a version may be that a read of the operators' rows brings.
//!
//! Rows carry no time of writing. A waiting read returns a change as it is made; for any
//! other read the age is an assumption. One that is too high takes older versions out of
//! service before their time.

use std::time::Duration;

use cassiawheel_model::{AgeSource, Timestamp};

/// Age that a version is taken to have if this process finds it at its start.
///
/// Zero could let older versions answer for too long; the other entries correct the value.
const FOUND_AGE: Duration = Duration::from_millis(3_500);

/// Longest time until the end of the entries that followed the rows is detected.
const UNNOTICED_TIME: Duration = Duration::from_secs(2);

/// Until when the rows were followed, before the read that is under way.
#[derive(Debug, Clone, Copy, Default)]
pub struct FollowedRows {
    /// Where this entry stands in the history, if it has read the rows.
    pub position: Option<u64>,
    /// The last moment at which this entry or others followed them.
    pub until: Option<Timestamp>,
    /// Whether others did so.
    pub by_others: bool,
}

impl FollowedRows {
    /// How old a version may be that a read brings, and how that is known.
    pub fn version_age(self, now: Timestamp) -> (Duration, AgeSource) {
        let unnoticed = if self.by_others { UNNOTICED_TIME } else { Duration::ZERO };
        match (self.position, self.until) {
            // Changes come as they are made.
            (Some(_), Some(_)) if !self.by_others => (Duration::ZERO, AgeSource::Observed),
            (Some(_), Some(_)) => (unnoticed, AgeSource::Assumed),
            // It was named at some time since.
            (None, Some(until)) => (now.since(until) + unnoticed, AgeSource::Assumed),
            (_, None) => (FOUND_AGE, AgeSource::Assumed),
        }
    }
}
