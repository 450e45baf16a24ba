//! Endpoints that start again under the name that they had.

use std::collections::HashMap;

use cassiawheel_model::{InstanceId, Timestamp};

/// When the present process of each endpoint started, by its own word.
#[derive(Debug, Clone, Default)]
pub struct RestartDetector {
    started_at: HashMap<InstanceId, Timestamp>,
}

impl RestartDetector {
    /// Notes the start of an endpoint's process; true if a former one ended.
    ///
    /// What was learnt of the former process does not hold for this one: its
    /// failures would keep requests away from an engine that is idle, its loads
    /// would send it more or less than it can take, and its connections are gone.
    pub fn observe_start(&mut self, instance: &InstanceId, started: Option<Timestamp>) -> bool {
        let Some(started) = started else {
            return false;
        };
        let known = self.started_at.entry(instance.clone()).or_insert(started);
        let is_later = *known < started;
        // An older row may come late, and must not end the present life.
        *known = started.max(*known);
        is_later
    }

    /// Forgets the endpoints for which `is_listed` does not hold.
    pub fn keep_only(&mut self, is_listed: impl Fn(&InstanceId) -> bool) {
        self.started_at.retain(|instance, _| is_listed(instance));
    }
}
