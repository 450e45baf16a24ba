//! Which requests a leaving entry still accepts.
//!
//! A request that is cut off when the process ends may have run, and its caller does not know. One that
//! is refused before it is sent can be made again at another entry at once.

use std::{sync::OnceLock, time::Duration};

use cassiawheel_decide::answer_times::{StopSpan, may_outlast};
use cassiawheel_model::{Deadline, Repeatability, Timestamp};

use crate::route_times::RouteTimes;

/// Stop of the process, and how long answers take.
#[derive(Debug, Default)]
pub(crate) struct ShutdownPlan {
    /// Set once the process is told to stop.
    stop: OnceLock<StopSpan>,
    /// Times of answers by route.
    answers: RouteTimes,
}

impl ShutdownPlan {
    /// Records that the process is told to stop at `began_at` and ends at `ends_at`.
    pub(crate) fn begin(&self, began_at: Timestamp, ends_at: Deadline) {
        self.stop.get_or_init(|| StopSpan { began_at, ends_at });
    }

    /// Records that a request on `route` was answered whole after `span`.
    pub(crate) fn record_answer(&self, route: &str, span: Duration) {
        self.answers.record(route, span);
    }

    /// Whether a request on `route` that is sent now may not be answered before the process ends.
    pub(crate) fn may_outlast(
        &self,
        route: &str,
        deadline: Deadline,
        repeat: Repeatability,
    ) -> bool {
        let Some(stop) = self.stop.get() else {
            return false;
        };
        may_outlast(*stop, deadline, repeat, self.answers.longest(route), Timestamp::now())
    }
}
