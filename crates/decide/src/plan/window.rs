//! Which endpoints may switch where a share of them has to go on serving.

use cassiawheel_model::{EndpointReport, EndpointState};

/// Which endpoints may switch, in the order of their ranks.
pub(super) struct SwitchWindow {
    at_a_time: usize,
    /// Endpoints that serve nothing and have not been passed yet.
    out_later: usize,
    /// Whether any endpoint exchanges its weights right now.
    any_switching: bool,
    /// Passed endpoints that do not serve the wanted version.
    unfinished: usize,
    /// Passed endpoints that serve another version.
    old: usize,
}

impl SwitchWindow {
    pub(super) fn new(chosen: &[&EndpointReport], at_a_time: usize) -> Self {
        let out =
            |report: &&&EndpointReport| !matches!(report.state, EndpointState::Serving { .. });
        Self {
            at_a_time,
            out_later: chosen.iter().filter(out).count(),
            any_switching: chosen.iter().any(|report| report.state == EndpointState::Switching),
            unfinished: 0,
            old: 0,
        }
    }

    /// Whether the next endpoint may switch, if it serves another version.
    ///
    /// Endpoints that serve nothing take up their share of the places. If none
    /// is left, one endpoint at a time goes on, or some broken engines would
    /// hold up the others for ever.
    pub(super) fn may_switch(&self) -> bool {
        let alone = self.old == 0 && !self.any_switching;
        alone || self.unfinished + self.out_later < self.at_a_time
    }

    pub(super) fn pass(&mut self, report: &EndpointReport, serves_wanted: bool) {
        if serves_wanted {
            return;
        }
        self.unfinished += 1;
        match report.state {
            EndpointState::Serving { .. } => self.old += 1,
            EndpointState::Empty | EndpointState::Switching | EndpointState::Draining => {
                self.out_later -= 1;
            }
        }
    }
}
