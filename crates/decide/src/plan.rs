//! Which weights each endpoint has to stage and to serve.
//!
//! Every entry derives the plan from the preset in force and the endpoints'
//! reports; nothing is agreed or stored for it. So a change that was accepted
//! just before the table service went down still rolls out, and no process has
//! to live for it.
//!
//! A new version is staged everywhere at once while the old one serves. Then
//! the endpoints switch in the order of their rendezvous ranks, so many at a
//! time that the promised share goes on serving. Where the platform sets a time
//! by which a version has to be the only one, as many switch at a time as it
//! takes to keep it, those with the oldest version first. An entry whose reports lag
//! takes fewer endpoints for finished and so releases fewer, never others:
//! several entries together keep the share that each of them keeps.

mod schedule;
mod service;
mod weights;
mod window;

use std::collections::{BTreeMap, BTreeSet};

use cassiawheel_model::{
    EndpointReport, FailureDomain, ForcedPreset, InstanceId, ManifestDigest, ModelVersion,
    PresetContent, ServiceName, ServiceTarget, label,
};
use macro_rules_attribute::apply;

pub use self::schedule::{RolloutSchedule, ScheduledVersion};
use self::{
    service::ServicePlan,
    weights::{HELD_WHOLE, WantedWeights, held_share},
};
use crate::rank::{rendezvous_weight, subject_of};

/// What the plan follows from.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The preset in force.
    pub preset: &'a ForcedPreset,
    /// A preset to stage ahead, if there is one.
    pub ahead: Option<&'a PresetContent>,
    /// Reports of the endpoints that do not leave.
    pub reports: &'a [&'a EndpointReport],
    /// What the platform asks of versions, if it does.
    pub rollout: Option<&'a RolloutSchedule>,
}
/// An order that an endpoint has to get.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The endpoint.
    pub instance: InstanceId,
    /// The version.
    pub version: ModelVersion,
    /// Pins its bytes.
    pub manifest: ManifestDigest,
    /// Fencing token of the order.
    pub fencing: u64,
    /// Whether to serve the version, or only to stage it.
    pub serve: bool,
    /// Why.
    pub reason: PlanReason,
}

impl PlannedOrder {
    /// Whether the endpoint is to exchange its weights while it serves others.
    pub fn is_switch(&self) -> bool {
        self.reason == PlanReason::TurnToSwitch
    }
}

/// Why an endpoint gets an order.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum PlanReason {
    /// It serves nothing, so it serves the version as soon as it has it.
    ServesNothing,
    /// It serves another version and stages this one meanwhile.
    StageWhileServing,
    /// It has the version staged and its turn to switch has come.
    TurnToSwitch,
    /// It serves what is in force and stages what comes next.
    StageAhead,
    /// It serves the version and does not tell others yet that it holds it.
    OfferServed,
}
/// The orders that are due now.
pub fn plan_orders(input: PlanInput<'_>) -> Vec<PlannedOrder> {
    let mut orders = Vec::new();
    for (service, target) in &input.preset.content.services {
        let Some(wanted) = WantedWeights::of(target) else {
            continue;
        };
        let chosen = choose_endpoints(service, target, wanted, input.reports);
        let ahead = input.ahead.and_then(|content| content.services.get(service));
        let ahead = ahead.and_then(WantedWeights::of);
        let service = ServicePlan {
            revision: input.preset.revision,
            wanted,
            ahead: ahead.filter(|ahead| ahead.manifest != wanted.manifest),
            at_a_time: switches_at_a_time(target, chosen.len()),
            schedule: input.rollout,
            steppers: match input.rollout {
                Some(schedule) => schedule.steppers(&chosen),
                None => BTreeSet::new(),
            },
            chosen,
        };
        orders.extend(service.orders());
    }
    orders
}

/// How many of `count` endpoints may be without service at a time.
fn switches_at_a_time(target: &ServiceTarget, count: usize) -> usize {
    let kept = (count as u64 * u64::from(target.serving_percent)).div_ceil(100);
    (count - kept as usize).max(1)
}

/// The endpoints that have to hold the version.
///
/// All of the service's, unless the preset limits the spares. Then those that
/// hold the version already come first, so that few have to move, and the rest
/// is taken from the failure domain with the fewest.
fn choose_endpoints<'a>(
    service: &ServiceName,
    target: &ServiceTarget,
    wanted: WantedWeights<'_>,
    reports: &[&'a EndpointReport],
) -> Vec<&'a EndpointReport> {
    let mut left: Vec<_> =
        reports.iter().copied().filter(|report| report.service == *service).collect();
    let limit = match target.spares {
        Some(spares) => target.replicas.saturating_add(spares) as usize,
        None => left.len(),
    };
    let subject = subject_of(service.as_str());
    left.sort_by_key(|report| {
        let rank = rendezvous_weight(subject, report.instance.as_str());
        (held_share(report, wanted), rank)
    });
    let mut taken: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    let mut chosen = Vec::new();
    while chosen.len() < limit {
        // The last one is the best; a stable minimum over the domains then
        // keeps the domains level.
        let best = (0..left.len()).rev().min_by_key(|index| {
            let report = left[*index];
            let taken = taken.get(&report.failure_domain).copied().unwrap_or_default();
            (held_share(report, wanted) < HELD_WHOLE, taken)
        });
        let Some(best) = best else {
            break;
        };
        let report = left.remove(best);
        *taken.entry(&report.failure_domain).or_default() += 1;
        chosen.push(report);
    }
    chosen
}
