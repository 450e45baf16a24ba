//! Orders for the endpoints of one service.

use std::cmp::Reverse;

use cassiawheel_model::{EndpointReport, EndpointState, ModelVersion, PresetRevision};

use super::{
    PlanReason, PlannedOrder,
    schedule::{FleetProgress, RolloutSchedule},
    weights::{WantedWeights, has_staged, is_ordered, is_serving, serves},
    window::SwitchWindow,
};
use crate::{
    fencing::next_token,
    rank::{rendezvous_weight, subject_of},
};

pub(super) struct ServicePlan<'a> {
    pub(super) revision: PresetRevision,
    pub(super) layers: u32,
    pub(super) wanted: WantedWeights<'a>,
    pub(super) ahead: Option<WantedWeights<'a>>,
    /// How many endpoints may be out of service at a time where no deadline is set.
    pub(super) max_concurrent: usize,
    pub(super) schedule: Option<&'a RolloutSchedule>,
    pub(super) selected: Vec<&'a EndpointReport>,
    pub(super) fleet: FleetProgress,
}

impl ServicePlan<'_> {
    pub(super) fn orders(mut self) -> Vec<PlannedOrder> {
        let subject = subject_of(&self.wanted.manifest.to_string());
        let schedule = self.schedule;
        self.selected.sort_by_cached_key(|report| {
            let index = schedule.map_or(0, |schedule| schedule.version_index(report));
            (index, Reverse(rendezvous_weight(subject, report.instance.as_str())))
        });
        match schedule {
            Some(schedule) => self.deadline_orders(schedule),
            None => self.shared_orders(),
        }
    }

    /// Orders that keep the configured share of the endpoints serving.
    fn shared_orders(&self) -> Vec<PlannedOrder> {
        let mut window = SwitchWindow::new(&self.selected, self.max_concurrent);
        let mut orders = Vec::new();
        for report in &self.selected {
            orders.extend(self.order_for(report, window.may_switch()));
            window.visit(report, serves(report, self.wanted));
        }
        orders
    }

    /// Orders with as many concurrent switches as the deadlines require.
    ///
    /// Endpoints that serve nothing do not count as switching: new ones join all the
    /// time, and the others would wait for them until after their deadline.
    fn deadline_orders(&self, schedule: &RolloutSchedule) -> Vec<PlannedOrder> {
        let mut in_progress =
            self.selected.iter().filter(|report| self.is_switching(report)).count();
        let waiting = self.selected.iter().copied().filter(|report| {
            is_serving(report) && !serves(report, self.wanted) && !self.is_switching(report)
        });
        let max_concurrent =
            schedule.required_concurrency(&waiting.collect::<Vec<_>>(), in_progress);
        let mut orders = Vec::new();
        for report in &self.selected {
            let order = self.order_for(report, in_progress < max_concurrent);
            in_progress += usize::from(order.as_ref().is_some_and(PlannedOrder::is_switch));
            orders.extend(order);
        }
        orders
    }

    /// Whether the endpoint is switching or has been ordered to.
    fn is_switching(&self, report: &EndpointReport) -> bool {
        let target = self.target(report);
        let is_ordered_to_serve = is_ordered(report, target.manifest, true);
        report.state == EndpointState::Switching
            || is_ordered_to_serve && !serves(report, target) && is_serving(report)
    }

    /// The weights that the endpoint should serve next.
    fn target(&self, report: &EndpointReport) -> WantedWeights<'_> {
        let schedule = self.schedule;
        let version = schedule.and_then(|s| s.intermediate_version(report, &self.fleet));
        version.unwrap_or(self.wanted)
    }

    fn order_for(&self, report: &EndpointReport, may_switch: bool) -> Option<PlannedOrder> {
        let target = self.target(report);
        let (weights, serve, reason) = match &report.state {
            EndpointState::Switching | EndpointState::Draining => return None,
            EndpointState::Empty => (target, true, PlanReason::ServesNothing),
            EndpointState::Serving { .. }
                if self.schedule.is_some_and(|schedule| schedule.is_retired(report)) =>
            {
                (target, true, PlanReason::ServesNothing)
            }
            EndpointState::Serving { .. } if serves(report, self.wanted) => {
                self.order_while_serving(report)?
            }
            EndpointState::Serving { .. } if is_ordered(report, target.manifest, true) => {
                return None;
            }
            EndpointState::Serving { .. } if !has_staged(report, target.manifest) => {
                (target, false, PlanReason::StageWhileServing)
            }
            EndpointState::Serving { .. } if self.is_held_back(target) => return None,
            EndpointState::Serving { .. } if may_switch => (target, true, PlanReason::TurnToSwitch),
            EndpointState::Serving { .. } => return None,
        };
        if is_ordered(report, weights.manifest, serve) {
            return None;
        }
        self.order(report, weights, serve, reason)
    }

    /// Whether endpoints that hold an intermediate version do not need to serve it yet.
    fn is_held_back(&self, target: WantedWeights<'_>) -> bool {
        target.manifest != self.wanted.manifest
            && self.schedule.is_some_and(|s| !s.is_bridge_due(target.manifest, &self.fleet))
    }

    /// Order for an endpoint that serves the wanted version.
    ///
    /// An engine that serves callers directly may have loaded its version before its
    /// agent started. Without an order that names the manifest, the agent does not offer
    /// these chunks to peers, and joining agents depend on the origin, which may be down.
    fn order_while_serving(
        &self,
        report: &EndpointReport,
    ) -> Option<(WantedWeights<'_>, bool, PlanReason)> {
        if report.endpoint_addr.is_some() && report.staged.is_none() {
            return Some((self.wanted, true, PlanReason::OfferServed));
        }
        Some((self.ahead?, false, PlanReason::StageAhead))
    }

    /// The version that the endpoint serves, if it may not answer any more.
    fn retired_version<'a>(&self, report: &'a EndpointReport) -> Option<&'a ModelVersion> {
        let EndpointState::Serving { version, .. } = &report.state else {
            return None;
        };
        version.as_ref().filter(|_| self.schedule.is_some_and(|s| s.is_retired(report)))
    }

    fn order(
        &self,
        report: &EndpointReport,
        weights: WantedWeights<'_>,
        serve: bool,
        reason: PlanReason,
    ) -> Option<PlannedOrder> {
        Some(PlannedOrder {
            instance: report.instance.clone(),
            version: weights.version.clone(),
            manifest: weights.manifest,
            fencing: next_token(self.revision, report, serve)?,
            serve,
            reason,
            retired: self.retired_version(report).cloned(),
            layers: self.layers,
            distrusts_held: report.is_unproved(),
        })
    }
}
