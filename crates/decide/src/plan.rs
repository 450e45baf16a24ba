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

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use cassiawheel_model::{
    Deadline, EndpointReport, EndpointState, FailureDomain, ForcedPreset, InstanceId,
    ManifestDigest, ModelVersion, PresetContent, PresetRevision, ServiceName, ServiceTarget,
    Timestamp, label,
};
use macro_rules_attribute::apply;

use crate::{
    fencing::{OrderToken, next_token},
    rank::{rendezvous_weight, subject_of},
};

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
    pub pace: Option<&'a PlanPace>,
}

/// By when endpoints have to serve a version, and which versions no longer count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanPace {
    /// Versions that were named, the oldest first.
    pub versions: Vec<PacedVersion>,
    /// Versions that may not answer any more; their endpoints serve nothing.
    pub barred: Vec<ModelVersion>,
    /// The present moment.
    pub now: Timestamp,
}

/// A named version, and from when on nothing older may answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PacedVersion {
    /// The version.
    pub version: ModelVersion,
    /// Pins its bytes, once known.
    pub manifest: Option<ManifestDigest>,
    /// When the last endpoint with an older one should begin to switch.
    pub alone_from: Deadline,
}

/// Time in which an endpoint that holds nothing of a version comes to serve it, in milliseconds.
///
/// Some four seconds until all have fetched it, and a switch.
const FETCH_AND_SWITCH_MS: u64 = 6_000;

/// Shortest time for which it is worth to serve a version, in milliseconds.
const WORTH_SERVING_MS: u64 = 3_000;

/// Part of a version from which on it is finished though a newer one is named, in percent.
const FINISHED_FROM: u32 = 50;

/// Usual time of a switch, in milliseconds.
///
/// An engine finishes what runs, which took 1.0 to 2.6 s with answers of some
/// 24 events, and loads in 0.3 s.
const SWITCH_MS: u64 = 2_000;

impl PlanPace {
    /// How many endpoints have to switch at a time to keep every time, if those
    /// in `waiting` have not begun and `under_way` have.
    ///
    /// Two versions that are named within seconds have two deadlines. Paced by
    /// the later one only, most endpoints would still serve the oldest version
    /// at the first one, and all of them would switch at once.
    ///
    /// Those under way are half done on the average. Counted in full until the
    /// first of them ends, they made the pace rise with every moment: 21 of 26
    /// engines were out of service at a time where 12 keep the time as well.
    fn at_a_time(&self, waiting: &[&EndpointReport], under_way: usize) -> usize {
        let needed = self.versions.iter().enumerate().map(|(age, paced)| {
            let older = waiting.iter().filter(|report| self.age_of(report) < age).count();
            let halves = (2 * older + under_way) as u64;
            let span = paced.alone_from.remaining(self.now).as_millis() as u64 + SWITCH_MS;
            (halves * SWITCH_MS).div_ceil(2 * span) as usize
        });
        needed.max().unwrap_or(waiting.len())
    }

    fn age_of(&self, report: &EndpointReport) -> usize {
        let EndpointState::Serving { version: Some(version), .. } = &report.state else {
            return 0;
        };
        self.versions.iter().position(|known| known.version == *version).unwrap_or(0)
    }

    /// An older version than the newest that the endpoint should serve meanwhile.
    ///
    /// A version may be superseded while it is nearly there. If all endpoints
    /// turned to the newest at once, none would serve anything between the end
    /// of what they serve now and the arrival of the newest. Those that hold most
    /// of the one between go on with it, if that end is near.
    fn step_between(&self, report: &EndpointReport) -> Option<WantedWeights<'_>> {
        let staged = report.staged.as_ref()?;
        let is_empty = report.state == EndpointState::Empty;
        let mut between = self.versions.windows(2).skip(self.age_of(report) + 1);
        let pair = between.rfind(|pair| pair[0].manifest == Some(staged.manifest))?;
        let weights = WantedWeights { version: &pair[0].version, manifest: staged.manifest };
        let is_nearly_there = held_share(report, weights) >= FINISHED_FROM;
        (is_nearly_there && self.is_worth(&pair[0], &pair[1], is_empty)).then_some(weights)
    }

    /// Whether it is worth to serve `paced` until only `next` may answer.
    fn is_worth(&self, paced: &PacedVersion, next: &PacedVersion, is_empty: bool) -> bool {
        let left_ms = |deadline: Deadline| deadline.remaining(self.now).as_millis() as u64;
        let is_urgent = is_empty || left_ms(paced.alone_from) < FETCH_AND_SWITCH_MS;
        is_urgent && left_ms(next.alone_from) >= WORTH_SERVING_MS
    }

    /// The endpoints that may take a step between: half of all, those first that
    /// have taken it.
    ///
    /// Each step costs an endpoint a switch more. With all of them on two switches
    /// in eight seconds, a third was out of service all the while, and a calm day
    /// earned less than if nobody had taken the step; with half, these serve
    /// while the others turn to the newest.
    fn steppers(&self, chosen: &[&EndpointReport]) -> BTreeSet<InstanceId> {
        let mut ranked = chosen.to_vec();
        let subject = subject_of(&self.versions.len().to_string());
        ranked.sort_by_key(|report| {
            let rank = rendezvous_weight(subject, report.instance.as_str());
            (Reverse(self.age_of(report)), Reverse(rank))
        });
        let half = chosen.len().div_ceil(2);
        ranked.iter().take(half).map(|report| report.instance.clone()).collect()
    }

    fn bars(&self, report: &EndpointReport) -> bool {
        let EndpointState::Serving { version: Some(version), .. } = &report.state else {
            return false;
        };
        self.barred.contains(version)
    }
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
    fn is_turn(&self) -> bool {
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

/// The weights that a service has to serve.
#[derive(Debug, Clone, Copy)]
struct WantedWeights<'a> {
    version: &'a ModelVersion,
    manifest: ManifestDigest,
}

impl<'a> WantedWeights<'a> {
    fn of(target: &'a ServiceTarget) -> Option<Self> {
        Some(Self { version: target.version.as_ref()?, manifest: target.manifest? })
    }
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
            pace: input.pace,
            steppers: match input.pace {
                Some(pace) => pace.steppers(&chosen),
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

/// Share of a version that an endpoint holds when it has all of it.
const HELD_WHOLE: u32 = 100;

/// How much of the wanted version an endpoint holds, in percent.
fn held_share(report: &EndpointReport, wanted: WantedWeights<'_>) -> u32 {
    if serves(report, wanted) {
        return HELD_WHOLE;
    }
    let staged = report.staged.as_ref().filter(|staged| staged.manifest == wanted.manifest);
    staged.map_or(0, |staged| staged.chunks_ready * HELD_WHOLE / staged.chunks_total.max(1))
}

fn is_serving(report: &EndpointReport) -> bool {
    matches!(report.state, EndpointState::Serving { .. })
}

/// Whether the endpoint serves the wanted weights.
///
/// The origin may give a version's name to other bytes later. An endpoint that
/// was ordered to serve another manifest of the name does not serve this one.
fn serves(report: &EndpointReport, wanted: WantedWeights<'_>) -> bool {
    let EndpointState::Serving { version, .. } = &report.state else {
        return false;
    };
    let ordered = report.ordered.filter(|_| OrderToken::read(report.order).serve);
    let other = ordered.is_some_and(|manifest| manifest != wanted.manifest);
    version.as_ref() == Some(wanted.version) && !other
}

fn has_staged(report: &EndpointReport, manifest: ManifestDigest) -> bool {
    report.staged.as_ref().is_some_and(|staged| {
        staged.manifest == manifest && staged.chunks_ready == staged.chunks_total
    })
}

/// Whether the endpoint's newest order is to serve or to stage these weights.
///
/// An order below the engine's token does not count: the agent has started
/// again, got it before it knew the engine's token, and cannot carry it out.
fn is_ordered(report: &EndpointReport, manifest: ManifestDigest, serve: bool) -> bool {
    let current = report.order >= report.engine_fencing;
    current && report.ordered == Some(manifest) && OrderToken::read(report.order).serve == serve
}

struct ServicePlan<'a> {
    revision: PresetRevision,
    wanted: WantedWeights<'a>,
    ahead: Option<WantedWeights<'a>>,
    /// How many may be without service at a time, where no time is set.
    at_a_time: usize,
    pace: Option<&'a PlanPace>,
    chosen: Vec<&'a EndpointReport>,
    /// The endpoints that may serve an older version than the newest meanwhile.
    steppers: BTreeSet<InstanceId>,
}

impl ServicePlan<'_> {
    fn orders(mut self) -> Vec<PlannedOrder> {
        let subject = subject_of(&self.wanted.manifest.to_string());
        let pace = self.pace;
        self.chosen.sort_by_key(|report| {
            let age = pace.map_or(0, |pace| pace.age_of(report));
            (age, Reverse(rendezvous_weight(subject, report.instance.as_str())))
        });
        match pace {
            Some(pace) => self.paced_orders(pace),
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
    fn paced_orders(&self, pace: &PlanPace) -> Vec<PlannedOrder> {
        let mut under_way = self.chosen.iter().filter(|report| self.is_under_way(report)).count();
        let waiting = self.chosen.iter().copied().filter(|report| {
            is_serving(report) && !serves(report, self.wanted) && !self.is_under_way(report)
        });
        let at_a_time = pace.at_a_time(&waiting.collect::<Vec<_>>(), under_way);
        let mut orders = Vec::new();
        for report in &self.chosen {
            let order = self.order_for(report, under_way < at_a_time);
            under_way += usize::from(order.as_ref().is_some_and(PlannedOrder::is_turn));
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
        let step = self.pace.and_then(|pace| pace.step_between(report));
        step.filter(|_| self.steppers.contains(&report.instance)).unwrap_or(self.wanted)
    }

    fn order_for(&self, report: &EndpointReport, may_switch: bool) -> Option<PlannedOrder> {
        let goal = self.goal(report);
        let (weights, serve, reason) = match &report.state {
            EndpointState::Switching | EndpointState::Draining => return None,
            EndpointState::Empty => (goal, true, PlanReason::ServesNothing),
            EndpointState::Serving { .. } if self.pace.is_some_and(|pace| pace.bars(report)) => {
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

/// Which endpoints may switch, in the order of their ranks.
struct SwitchWindow {
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
    fn new(chosen: &[&EndpointReport], at_a_time: usize) -> Self {
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
    fn may_switch(&self) -> bool {
        let alone = self.old == 0 && !self.any_switching;
        alone || self.unfinished + self.out_later < self.at_a_time
    }

    fn pass(&mut self, report: &EndpointReport, serves_wanted: bool) {
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
