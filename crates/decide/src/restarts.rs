//! Detection of endpoints that restarted under the same name.

use std::collections::HashMap;

use cassiawheel_model::{InstanceId, Timestamp};

/// Start time of the current process of each endpoint, as the endpoint reports it.
#[derive(Debug, Clone, Default)]
pub struct RestartDetector {
    started_at: HashMap<InstanceId, Timestamp>,
}

impl RestartDetector {
    /// Records the start time of an endpoint's process; true if it replaces an earlier process.
    ///
    /// State learned from the earlier process is then invalid: its failures would keep requests
    /// away from an idle engine, its loads would misdirect requests, and its connections are
    /// closed.
    pub fn observe_start(&mut self, instance: &InstanceId, started: Option<Timestamp>) -> bool {
        let Some(started) = started else {
            return false;
        };
        let known = self.started_at.entry(instance.clone()).or_insert(started);
        let is_later = *known < started;
        // A row may arrive late and must not replace a newer start time.
        *known = started.max(*known);
        is_later
    }

    /// Keeps only the endpoints for which `is_listed` is true.
    pub fn keep_only(&mut self, is_listed: impl Fn(&InstanceId) -> bool) {
        self.started_at.retain(|instance, _| is_listed(instance));
    }
}
