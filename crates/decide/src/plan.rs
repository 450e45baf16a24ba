//! Rolling rollout of model versions: which weights each endpoint stages and serves.
//!
//! Every entry derives the plan from the preset in force and the endpoints'
//! reports, without coordination or stored state. A change that was accepted just
//! before the table service went down is therefore still rolled out, and no single
//! process has to survive for it.
//!
//! All endpoints stage a new version at once while they serve the old one. They then
//! switch in rendezvous-hash order, limited to as many at a time as leave the
//! configured share serving. If the platform sets a deadline by which a version must
//! be the only one that answers, as many switch at a time as the deadline requires,
//! those with the oldest version first. An entry with stale reports counts fewer
//! endpoints as finished, so it releases fewer switches but never different ones;
//! several entries together therefore keep the same share as each one alone.

mod schedule;
mod service;
mod weights;
mod window;

use std::collections::{BTreeMap, BTreeSet};

use cassiawheel_model::{
    EndpointReport, EndpointState, FailureDomain, ForcedPreset, InstanceId, ManifestDigest,
    ModelVersion, PresetContent, ServiceName, ServiceTarget, label,
};
use macro_rules_attribute::apply;

pub use self::schedule::{RolloutSchedule, ScheduledVersion};
use self::{
    schedule::FleetProgress,
    service::ServicePlan,
    weights::{FULLY_HELD, WantedWeights, held_percent},
};
use crate::layers::resumed_version;
use crate::rank::{rendezvous_weight, subject_of};

/// Input of [`plan_orders`].
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The preset in force.
    pub preset: &'a ForcedPreset,
    /// A preset whose weights are staged before it is put in force, if any.
    pub ahead: Option<&'a PresetContent>,
    /// Reports of the endpoints that are not leaving.
    pub reports: &'a [&'a EndpointReport],
    /// Deadlines of the named versions, if the platform sets any.
    pub rollout: Option<&'a RolloutSchedule>,
}
/// An order to send to one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The endpoint that the order is for.
    pub instance: InstanceId,
    /// The version to stage or serve.
    pub version: ModelVersion,
    /// Digest of the manifest that pins the bytes of the version.
    pub manifest: ManifestDigest,
    /// Fencing token; the agent ignores orders with a lower one than it has seen.
    pub fencing: u64,
    /// Whether to serve the version or only stage it.
    pub serve: bool,
    /// Why the order is sent; logged with it.
    pub reason: PlanReason,
    /// The version that the endpoint serves, if it may not answer any more.
    pub retired: Option<ModelVersion>,
    /// Number of layers of the service's model; zero if engines load whole versions only.
    pub layers: u32,
    /// Whether weights that a former process of the agent has loaded must be loaded again.
    pub distrusts_held: bool,
}

impl PlannedOrder {
    /// Whether a serving endpoint has to switch to other weights.
    pub fn is_switch(&self) -> bool {
        self.reason == PlanReason::TurnToSwitch
    }
}

/// Why an endpoint gets an order.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum PlanReason {
    /// The endpoint serves nothing and serves the version once it is staged.
    ServesNothing,
    /// The endpoint stages the version while it serves another one.
    StageWhileServing,
    /// The endpoint has staged the version and is next to switch.
    TurnToSwitch,
    /// The endpoint serves the version in force and stages the upcoming one.
    StageAhead,
    /// The endpoint serves the version but does not offer its chunks to peers yet.
    OfferServed,
}
/// Returns the orders that are due now.
pub fn plan_orders(input: PlanInput<'_>) -> Vec<PlannedOrder> {
    let mut orders = Vec::new();
    for (service, target) in &input.preset.content.services {
        let Some(wanted) = WantedWeights::of(target) else {
            continue;
        };
        let layers = target.engine.as_ref().map_or(0, |engine| engine.layers);
        let resumed = resumed_reports(service, layers, input.reports);
        let reports =
            input.reports.iter().map(|report| resumed.get(&report.instance).unwrap_or(report));
        let reports: Vec<_> = reports.collect();
        let selected = select_endpoints(service, target, wanted, &reports);
        let ahead = input.ahead.and_then(|content| content.services.get(service));
        let ahead = ahead.and_then(WantedWeights::of);
        let service = ServicePlan {
            revision: input.preset.revision,
            layers: target.engine.as_ref().map_or(0, |engine| engine.layers),
            wanted,
            ahead: ahead.filter(|ahead| ahead.manifest != wanted.manifest),
            max_concurrent: max_concurrent_switches(target, selected.len()),
            schedule: input.rollout,
            fleet: fleet_progress(wanted, input.rollout, &selected),
            selected,
        };
        orders.extend(service.orders());
    }
    orders
}

/// Reports of restarted agents that differ from what their endpoints serve.
///
/// An agent whose engine holds a whole version reports an empty endpoint, because it learns the
/// number of layers with its first order. An order for an empty endpoint would make it switch out of
/// turn. Weights that may be corrupt serve nothing.
fn resumed_reports(
    service: &ServiceName,
    layers: u32,
    reports: &[&EndpointReport],
) -> BTreeMap<InstanceId, EndpointReport> {
    let resumed = reports.iter().filter_map(|report| {
        if report.service != *service {
            return None;
        }
        let state = match &report.state {
            EndpointState::Serving { .. } | EndpointState::Empty if report.is_unproved() => {
                EndpointState::Empty
            }
            EndpointState::Empty => {
                let version = resumed_version(report, layers)?.clone();
                EndpointState::Serving { version: Some(version), generation: 0 }
            }
            EndpointState::Serving { .. } | EndpointState::Switching | EndpointState::Draining => {
                return None;
            }
        };
        let resumed = EndpointReport { state, ..EndpointReport::clone(report) };
        Some((report.instance.clone(), resumed))
    });
    resumed.collect()
}

fn fleet_progress(
    wanted: WantedWeights<'_>,
    rollout: Option<&RolloutSchedule>,
    selected: &[&EndpointReport],
) -> FleetProgress {
    let percents = selected.iter().map(|report| held_percent(report, wanted));
    FleetProgress {
        newest: Some(wanted.manifest),
        newest_percent: percents.max().unwrap_or_default(),
        intermediate: match rollout {
            Some(schedule) => schedule.intermediate_endpoints(selected),
            None => BTreeSet::new(),
        },
    }
}

/// How many of `count` endpoints may be out of service at a time, at least one.
fn max_concurrent_switches(target: &ServiceTarget, count: usize) -> usize {
    let serving = (count as u64 * u64::from(target.serving_percent)).div_ceil(100);
    (count - serving as usize).max(1)
}

/// Selects the endpoints that have to hold the version.
///
/// These are all endpoints of the service unless the preset limits the spares. With
/// a limit, endpoints that already hold the version come first, to keep transfers
/// few; the others are taken from the failure domain with the fewest selected ones.
fn select_endpoints<'a>(
    service: &ServiceName,
    target: &ServiceTarget,
    wanted: WantedWeights<'_>,
    reports: &[&'a EndpointReport],
) -> Vec<&'a EndpointReport> {
    let mut remaining: Vec<_> =
        reports.iter().copied().filter(|report| report.service == *service).collect();
    let limit = match target.spares {
        Some(spares) => target.replicas.saturating_add(spares) as usize,
        None => usize::MAX,
    };
    if limit >= remaining.len() {
        return remaining;
    }
    let subject = subject_of(service.as_str());
    remaining.sort_by_cached_key(|report| {
        let rank = rendezvous_weight(subject, report.instance.as_str());
        (held_percent(report, wanted), rank)
    });
    let mut selected_in: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    let mut selected = Vec::new();
    while selected.len() < limit {
        // `remaining` is sorted with the best endpoint last. The first minimum of the
        // reversed order is the best endpoint of the least used failure domain.
        let best = (0..remaining.len()).rev().min_by_key(|index| {
            let report = remaining[*index];
            let selected_in = selected_in.get(&report.failure_domain).copied().unwrap_or_default();
            (held_percent(report, wanted) < FULLY_HELD, selected_in)
        });
        let Some(best) = best else {
            break;
        };
        let report = remaining.remove(best);
        *selected_in.entry(&report.failure_domain).or_default() += 1;
        selected.push(report);
    }
    selected
}
