//! The orders of one service's endpoints.

use std::{cmp::Reverse, collections::BTreeSet};

use cassiawheel_model::{EndpointReport, EndpointState, InstanceId, PresetRevision};

use super::{
    PlanReason, PlannedOrder,
    schedule::RolloutSchedule,
    weights::{WantedWeights, has_staged, is_ordered, is_serving, serves},
    window::SwitchWindow,
};
use crate::{
    fencing::next_token,
    rank::{rendezvous_weight, subject_of},
};

pub(super) struct ServicePlan<'a> {
    pub(super) revision: PresetRevision,
    pub(super) wanted: WantedWeights<'a>,
    pub(super) ahead: Option<WantedWeights<'a>>,
    /// How many may be without service at a time, where no time is set.
    pub(super) at_a_time: usize,
    pub(super) schedule: Option<&'a RolloutSchedule>,
    pub(super) chosen: Vec<&'a EndpointReport>,
    /// The endpoints that may serve an older version than the newest meanwhile.
    pub(super) steppers: BTreeSet<InstanceId>,
}

impl ServicePlan<'_> {
    pub(super) fn orders(mut self) -> Vec<PlannedOrder> {
        let subject = subject_of(&self.wanted.manifest.to_string());
        let schedule = self.schedule;
        self.chosen.sort_by_key(|report| {
            let age = schedule.map_or(0, |schedule| schedule.age_of(report));
            (age, Reverse(rendezvous_weight(subject, report.instance.as_str())))
        });
        match schedule {
            Some(schedule) => self.paced_orders(schedule),
            None => self.shared_orders(),
        }
    }

    /// Orders that keep a share of the endpoints serving.
    fn shared_orders(&self) -> Vec<PlannedOrder> {
        let mut window = SwitchWindow::new(&self.chosen, self.at_a_time);
        let mut orders = Vec::new();
        for report in &self.chosen {
            orders.extend(self.order_for(report, window.may_switch()));
            window.pass(report, serves(report, self.wanted));
        }
        orders
    }

    /// Orders of which so many are carried out at a time that the last one
    /// begins in time.
    ///
    /// Endpoints that serve nothing do not count: new ones come all day, and
    /// the others would wait for them until they may not answer any more.
    fn paced_orders(&self, schedule: &RolloutSchedule) -> Vec<PlannedOrder> {
        let mut under_way = self.chosen.iter().filter(|report| self.is_under_way(report)).count();
        let waiting = self.chosen.iter().copied().filter(|report| {
            is_serving(report) && !serves(report, self.wanted) && !self.is_under_way(report)
        });
        let at_a_time = schedule.at_a_time(&waiting.collect::<Vec<_>>(), under_way);
        let mut orders = Vec::new();
        for report in &self.chosen {
            let order = self.order_for(report, under_way < at_a_time);
            under_way += usize::from(order.as_ref().is_some_and(PlannedOrder::is_switch));
            orders.extend(order);
        }
        orders
    }

    /// Whether the endpoint exchanges its weights, or has been told to.
    fn is_under_way(&self, report: &EndpointReport) -> bool {
        let goal = self.goal(report);
        let is_told = is_ordered(report, goal.manifest, true);
        report.state == EndpointState::Switching
            || is_told && !serves(report, goal) && is_serving(report)
    }

    /// What the endpoint should serve next.
    fn goal(&self, report: &EndpointReport) -> WantedWeights<'_> {
        let step = self.schedule.and_then(|schedule| schedule.step_between(report));
        step.filter(|_| self.steppers.contains(&report.instance)).unwrap_or(self.wanted)
    }

    fn order_for(&self, report: &EndpointReport, may_switch: bool) -> Option<PlannedOrder> {
        let goal = self.goal(report);
        let (weights, serve, reason) = match &report.state {
            EndpointState::Switching | EndpointState::Draining => return None,
            EndpointState::Empty => (goal, true, PlanReason::ServesNothing),
            EndpointState::Serving { .. }
                if self.schedule.is_some_and(|schedule| schedule.is_retired(report)) =>
            {
                (goal, true, PlanReason::ServesNothing)
            }
            EndpointState::Serving { .. } if serves(report, self.wanted) => {
                self.order_while_serving(report)?
            }
            EndpointState::Serving { .. } if is_ordered(report, goal.manifest, true) => {
                return None;
            }
            EndpointState::Serving { .. } if !has_staged(report, goal.manifest) => {
                (goal, false, PlanReason::StageWhileServing)
            }
            EndpointState::Serving { .. } if may_switch => (goal, true, PlanReason::TurnToSwitch),
            EndpointState::Serving { .. } => return None,
        };
        if is_ordered(report, weights.manifest, serve) {
            return None;
        }
        self.order(report, weights, serve, reason)
    }

    /// What an endpoint gets that serves the wanted version.
    ///
    /// An engine that serves callers directly may hold its version from before
    /// its agent was there. Until the agent is told which bytes these are, it
    /// offers them to nobody, and agents that join have to turn to the origin,
    /// which may be away.
    fn order_while_serving(
        &self,
        report: &EndpointReport,
    ) -> Option<(WantedWeights<'_>, bool, PlanReason)> {
        if report.endpoint_addr.is_some() && report.staged.is_none() {
            return Some((self.wanted, true, PlanReason::OfferServed));
        }
        Some((self.ahead?, false, PlanReason::StageAhead))
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
        })
    }
}
