//! Limits concurrent switches so that the configured share of endpoints keeps serving.

use cassiawheel_model::{EndpointReport, EndpointState};

/// Decides, endpoint by endpoint in rank order, which may switch.
pub(super) struct SwitchWindow {
    max_concurrent: usize,
    /// Endpoints that serve nothing and have not been visited yet.
    idle_ahead: usize,
    /// Whether any endpoint is switching.
    any_switching: bool,
    /// Visited endpoints that do not serve the wanted version.
    unfinished: usize,
    /// Visited endpoints that serve another version.
    serving_old: usize,
}

impl SwitchWindow {
    pub(super) fn new(endpoints: &[&EndpointReport], max_concurrent: usize) -> Self {
        let is_idle =
            |report: &&&EndpointReport| !matches!(report.state, EndpointState::Serving { .. });
        Self {
            max_concurrent,
            idle_ahead: endpoints.iter().filter(is_idle).count(),
            any_switching: endpoints.iter().any(|report| report.state == EndpointState::Switching),
            unfinished: 0,
            serving_old: 0,
        }
    }

    /// Whether the next endpoint may switch if it serves another version.
    ///
    /// Endpoints that serve nothing count against the limit. If they exhaust it, one
    /// endpoint at a time still switches, or a few broken engines would block the
    /// rollout forever.
    pub(super) fn may_switch(&self) -> bool {
        let is_only_switch = self.serving_old == 0 && !self.any_switching;
        is_only_switch || self.unfinished + self.idle_ahead < self.max_concurrent
    }

    /// Moves on to the next endpoint in rank order.
    pub(super) fn visit(&mut self, report: &EndpointReport, serves_wanted: bool) {
        if serves_wanted {
            return;
        }
        self.unfinished += 1;
        match report.state {
            EndpointState::Serving { .. } => self.serving_old += 1,
            EndpointState::Empty | EndpointState::Switching | EndpointState::Draining => {
                self.idle_ahead -= 1;
            }
        }
    }
}
