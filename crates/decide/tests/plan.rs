//! Orders to endpoints, planned by several entries with stale reports.

use std::collections::BTreeMap;

use cassiawheel_decide::{
    SwitchStagger,
    fencing::{OrderToken, next_token},
    layers::resumed_version,
    plan::{PlanInput, PlanReason, PlannedOrder, RolloutSchedule, ScheduledVersion, plan_orders},
};
use cassiawheel_model::{
    ChangeId, Deadline, EndpointReport, EndpointRole, EndpointState, EngineProfile, FailureDomain,
    ForcedPreset, InstanceId, LayerRange, LoadReport, LoadedLayers, ManifestDigest, ModelVersion,
    OperatorName, PresetContent, PresetName, PresetRevision, RegionName, ServiceKind, ServiceName,
    ServiceTarget, StagedWeights, Timestamp, WeightsBasis,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const CHUNKS: u32 = 10;

fn version(name: &str) -> ModelVersion {
    ModelVersion::new(name).expect("valid")
}

fn manifest(name: &str) -> ManifestDigest {
    ManifestDigest::of(name.as_bytes())
}

fn content(name: &str, serving_percent: u32, spares: Option<u32>) -> PresetContent {
    let target = ServiceTarget {
        kind: ServiceKind::Model,
        version: Some(version(name)),
        manifest: Some(manifest(name)),
        replicas: 2,
        ready_by: None,
        max_in_flight: 8,
        spares,
        serving_percent,
        engine: None,
    };
    let service = ServiceName::new("desk").expect("valid");
    PresetContent { services: BTreeMap::from([(service, target)]), callers: None }
}

fn preset(revision: u64, content: PresetContent) -> ForcedPreset {
    ForcedPreset {
        revision: PresetRevision(revision),
        preset: PresetName::new("peak").expect("valid"),
        content,
        change: ChangeId::new(&format!("change-{revision}")).expect("valid"),
        operator: OperatorName::new("operator").expect("valid"),
        changed_at: Timestamp(0),
    }
}

fn report(index: usize, state: EndpointState) -> EndpointReport {
    EndpointReport {
        instance: InstanceId::new(&format!("endpoint-{index}")).expect("valid"),
        incarnation: 1,
        sequence: 0,
        region: RegionName::new("region").expect("valid"),
        failure_domain: FailureDomain::new(&format!("domain-{}", index % 3)).expect("valid"),
        service: ServiceName::new("desk").expect("valid"),
        role: EndpointRole::Model,
        inner_addr: "127.0.0.1:7003".parse().expect("valid"),
        endpoint_addr: None,
        state,
        staged: None,
        load: LoadReport { in_flight: 0, queued: 0, measured_at: Timestamp(0) },
        revision: PresetRevision(1),
        order: 0,
        ordered: None,
        engine_fencing: 0,
        limit: 8,
        layers: None,
        basis: Default::default(),
    }
}

fn serving(name: &str) -> EndpointState {
    EndpointState::Serving { version: Some(version(name)), generation: 1 }
}

fn staged(name: &str, chunks_ready: u32) -> Option<StagedWeights> {
    let (version, manifest) = (version(name), manifest(name));
    Some(StagedWeights { version, manifest, chunks_ready, chunks_total: CHUNKS })
}

fn plan(preset: &ForcedPreset, reports: &[EndpointReport]) -> Vec<PlannedOrder> {
    let reports: Vec<_> = reports.iter().collect();
    plan_orders(PlanInput { preset, ahead: None, reports: &reports, rollout: None })
}

/// Model of an endpoint with its agent and engine that executes orders.
struct ModelEndpoint {
    report: EndpointReport,
    newest: Option<PlannedOrder>,
    switch_ends_at: u64,
}

impl ModelEndpoint {
    /// Accepts an order as the agent does: only with a higher token than the last one.
    fn offer(&mut self, order: PlannedOrder) {
        if self.newest.as_ref().is_some_and(|known| known.fencing >= order.fencing) {
            return;
        }
        self.report.order = order.fencing;
        self.report.ordered = Some(order.manifest);
        self.newest = Some(order);
    }

    /// Stages a further chunk at random, and switches once all are staged.
    fn step(&mut self, now: u64, rng: &mut SmallRng) {
        let Some(order) = self.newest.clone() else {
            return;
        };
        let report = &mut self.report;
        if report.state == EndpointState::Switching {
            if now >= self.switch_ends_at {
                let version = Some(order.version.clone());
                report.state = EndpointState::Serving { version, generation: 2 };
                report.engine_fencing = order.fencing;
            }
            return;
        }
        let serves = matches!(&report.state, EndpointState::Serving { version, .. } if version.as_ref() == Some(&order.version));
        let known = report.staged.as_ref().filter(|staged| staged.manifest == order.manifest);
        let ready = known.map_or(0, |staged| staged.chunks_ready);
        let ready = (ready + u32::from(rng.random_bool(0.3))).min(CHUNKS);
        report.staged = staged(order.version.as_str(), ready);
        if order.serve && ready == CHUNKS && !serves {
            report.state = EndpointState::Switching;
            self.switch_ends_at = now + rng.random_range(20..200);
        }
    }

    fn is_serving(&self) -> bool {
        matches!(self.report.state, EndpointState::Serving { .. })
    }

    fn restart_agent(&mut self) {
        self.report.order = 0;
        self.report.ordered = None;
        self.newest = None;
        if self.report.state == EndpointState::Switching {
            self.report.state = EndpointState::Empty;
        }
    }
}

/// Model of an entry with its possibly stale reports.
struct ModelEntry {
    seen: Vec<EndpointReport>,
    paused_until: u64,
}

struct RolloutResult {
    least_serving: usize,
    finished: bool,
}

/// Rolls a version out over `count` endpoints with three entries whose reports and
/// orders are delayed and which pause with orders in their queues.
fn roll_out(seed: u64, count: usize, serving_percent: u32, restarts: bool) -> RolloutResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let preset = preset(2, content("v2", serving_percent, None));
    let mut endpoints: Vec<_> = (0..count)
        .map(|index| ModelEndpoint {
            report: report(index, serving("v1")),
            newest: None,
            switch_ends_at: 0,
        })
        .collect();
    let seen: Vec<_> = endpoints.iter().map(|endpoint| endpoint.report.clone()).collect();
    let mut entries: Vec<_> =
        (0..3).map(|_| ModelEntry { seen: seen.clone(), paused_until: 0 }).collect();
    let mut in_flight: Vec<(u64, PlannedOrder)> = Vec::new();
    let mut result = RolloutResult { least_serving: count, finished: false };
    for now in (0..60_000).step_by(20) {
        for endpoint in &mut endpoints {
            endpoint.step(now, &mut rng);
        }
        if restarts && now < 5_000 && rng.random_bool(0.01) {
            let restarted = rng.random_range(0..count);
            endpoints[restarted].restart_agent();
        }
        for entry in &mut entries {
            if rng.random_bool(0.005) {
                entry.paused_until = now + rng.random_range(200..3_000);
            }
            for (seen, endpoint) in entry.seen.iter_mut().zip(&endpoints) {
                if now >= entry.paused_until && rng.random_bool(0.1) {
                    *seen = endpoint.report.clone();
                }
            }
            // Orders planned before a pause are sent after it.
            for order in plan(&preset, &entry.seen) {
                let at = entry.paused_until.max(now) + rng.random_range(1..300);
                in_flight.push((at, order));
            }
        }
        let (due, later) = in_flight.into_iter().partition(|(at, _)| *at <= now);
        in_flight = later;
        let due: Vec<(u64, PlannedOrder)> = due;
        for (_, order) in due {
            let endpoint = endpoints.iter_mut().find(|e| e.report.instance == order.instance);
            endpoint.expect("the endpoint exists").offer(order);
        }
        let serving = endpoints.iter().filter(|endpoint| endpoint.is_serving()).count();
        result.least_serving = result.least_serving.min(serving);
        let wanted = EndpointState::Serving { version: Some(version("v2")), generation: 2 };
        if endpoints.iter().all(|endpoint| endpoint.report.state == wanted) {
            result.finished = true;
            return result;
        }
    }
    result
}

/// Guards against too many endpoints that switch at once, which refuses callers during a
/// burst. The entries have stale reports and pause with orders in their queues.
#[rstest]
#[case(16, 50)]
#[case(16, 75)]
#[case(5, 50)]
#[case(3, 100)]
fn a_rollout_keeps_the_guaranteed_share(#[case] count: usize, #[case] serving_percent: u32) {
    let guaranteed = (count * serving_percent as usize).div_ceil(100).min(count - 1);
    let mut least = count;
    for seed in 0..250 {
        let result = roll_out(seed, count, serving_percent, false);
        assert!(result.finished, "seed {seed} did not finish");
        assert!(result.least_serving >= guaranteed, "seed {seed}: {}", result.least_serving);
        least = least.min(result.least_serving);
    }
    println!(
        "{count} endpoints, {serving_percent} %: least serving {least}, promised {guaranteed}"
    );
}

/// Guards against endpoints that keep the old version, or stay empty, forever after their
/// agent restarted during a rollout and lost its orders. New orders must have tokens above
/// the engine's.
#[test]
fn a_rollout_finishes_though_agents_restart() {
    for seed in 0..250 {
        assert!(roll_out(seed, 8, 50, true).finished, "seed {seed} did not finish");
    }
}

/// Guards against an order of an older preset, sent late by a paused entry, that overrides
/// one of a newer preset: its token must be lower.
#[test]
fn a_late_order_of_an_older_preset_has_a_lower_token() {
    let mut endpoint = report(0, serving("v1"));
    let mut tokens = Vec::new();
    for revision in 1..50 {
        for serve in [false, true, true, false] {
            let token = next_token(PresetRevision(revision), &endpoint, serve);
            let token = token.expect("the revision has tokens left");
            assert_eq!(
                OrderToken::decode(token),
                OrderToken { revision: PresetRevision(revision), serve }
            );
            endpoint.order = token;
            tokens.push(token);
        }
    }
    assert!(tokens.is_sorted_by(|earlier, later| earlier < later));
}

/// With limited spares, endpoints that already hold the version are kept and the others come
/// from the least used failure domains. Otherwise weights are transferred needlessly, or
/// the loss of one domain takes a service down.
#[test]
fn chosen_endpoints_hold_the_version_and_spread() {
    let preset = preset(2, content("v2", 50, Some(1)));
    let mut reports: Vec<_> = (0..9).map(|index| report(index, EndpointState::Empty)).collect();
    reports[4].state = serving("v2");
    let orders = plan(&preset, &reports);
    let domains: Vec<_> = orders
        .iter()
        .map(|order| {
            let selected = reports.iter().find(|report| report.instance == order.instance);
            selected.expect("it exists").failure_domain.clone()
        })
        .collect();
    assert_eq!(orders.len(), 2, "two replicas and one spare, of which one serves already");
    assert_ne!(domains[0], domains[1]);
    assert!(!domains.contains(&reports[4].failure_domain), "the third domain has one");
}

/// A failed endpoint is replaced by one other and the rest keep their orders. Replanning all
/// of them would transfer weights during a burst.
#[test]
fn a_failed_endpoint_moves_no_other() {
    let preset = preset(2, content("v2", 50, Some(0)));
    let mut reports: Vec<_> = (0..9).map(|index| report(index, EndpointState::Empty)).collect();
    reports[0].state = serving("v2");
    reports[1].state = serving("v2");
    assert_eq!(plan(&preset, &reports), Vec::new());
    reports.remove(0);
    let orders = plan(&preset, &reports);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].reason, PlanReason::ServesNothing);
}

/// An upcoming preset is staged, with a single order, while the current one is served.
#[test]
fn a_preset_is_staged_ahead_while_another_serves() {
    let preset = preset(2, content("v2", 50, None));
    let ahead = content("v3", 50, None);
    let mut endpoint = report(0, serving("v2"));
    let plan = |endpoint: &EndpointReport| {
        plan_orders(PlanInput {
            preset: &preset,
            ahead: Some(&ahead),
            reports: &[endpoint],
            rollout: None,
        })
    };
    let orders = plan(&endpoint);
    assert_eq!(orders.len(), 1);
    assert!(!orders[0].serve);
    assert_eq!(orders[0].version, version("v3"));
    endpoint.order = orders[0].fencing;
    endpoint.ordered = Some(orders[0].manifest);
    assert_eq!(plan(&endpoint), Vec::new());
    endpoint.state = EndpointState::Empty;
    let orders = plan(&endpoint);
    assert!(orders[0].serve, "an engine that lost its weights serves the preset in force again");
    assert_eq!(orders[0].version, version("v2"));
}

/// Guards against a report with an impossible token that stops the plan of the whole
/// service. Only that endpoint gets no order.
#[test]
fn an_invalid_token_stops_no_other_order() {
    let preset = preset(2, content("v2", 50, None));
    let mut reports: Vec<_> = (0..3).map(|index| report(index, EndpointState::Empty)).collect();
    reports[1].order = u64::MAX;
    let ordered: Vec<_> = plan(&preset, &reports).into_iter().map(|order| order.instance).collect();
    assert_eq!(ordered.len(), 2);
    assert!(!ordered.contains(&reports[1].instance));
}

fn schedule(retired: &[&str], left_ms: u64) -> RolloutSchedule {
    schedule_of(retired, [0, left_ms, left_ms])
}

/// A schedule with the remaining time of each version, in milliseconds.
fn schedule_of(retired: &[&str], left_ms: [u64; 3]) -> RolloutSchedule {
    let paced =
        ["v1", "v2", "v3"].into_iter().zip(left_ms).map(|(name, left_ms)| ScheduledVersion {
            version: version(name),
            manifest: Some(manifest(name)),
            exclusive_from: Deadline(10_000 + left_ms),
        });
    RolloutSchedule {
        versions: paced.collect(),
        retired: retired.iter().map(|name| version(name)).collect(),
        copy_ms: 3_000,
        now: Timestamp(10_000),
    }
}

fn paced(reports: &[EndpointReport], schedule: &RolloutSchedule) -> Vec<InstanceId> {
    let preset = preset(1, content("v3", 50, None));
    let reports: Vec<_> = reports.iter().collect();
    let input =
        PlanInput { preset: &preset, ahead: None, reports: &reports, rollout: Some(schedule) };
    let switching = plan_orders(input).into_iter().filter(|order| order.serve);
    switching.map(|order| order.instance).collect()
}

fn ready_report(index: usize, name: &str) -> EndpointReport {
    let state = EndpointState::Serving { version: Some(version(name)), generation: 1 };
    EndpointReport { staged: staged("v3", CHUNKS), ..report(index, state) }
}

/// As few engines as the deadline permits switch at a time while the others keep serving;
/// with less time left, more of them do.
#[test]
fn as_many_switch_at_a_time_as_the_time_needs() {
    let reports: Vec<_> = (0..12).map(|index| ready_report(index, "v2")).collect();
    assert_eq!(paced(&reports, &schedule(&[], 10_000)).len(), 2);
    assert_eq!(paced(&reports, &schedule(&[], 4_000)).len(), 4);
    assert_eq!(paced(&reports, &schedule(&[], 0)).len(), 12);
}

/// Guards against a number of concurrent switches that grows while the first ones are in
/// progress. Twelve engines switch within four seconds, each in two. When the remaining time
/// alone counted, one more engine went out of service every tenth of a second until none
/// was left.
#[test]
fn the_batch_size_is_stable_while_the_first_engines_switch() {
    let mut reports: Vec<_> = (0..12).map(|index| ready_report(index, "v2")).collect();
    let first = paced(&reports, &schedule(&[], 4_000));
    assert_eq!(first.len(), 4);
    for report in reports.iter_mut().filter(|report| first.contains(&report.instance)) {
        report.state = EndpointState::Switching;
    }
    for left_ms in (3_000..=4_000).step_by(50) {
        assert!(paced(&reports, &schedule(&[], left_ms)).is_empty(), "{left_ms} ms are left");
    }
    // Engines that are late nevertheless switch at the deadline.
    assert!(!paced(&reports, &schedule(&[], 0)).is_empty());
}

/// Two versions are named two seconds apart, and all engines still serve the oldest. If only
/// the deadline of the newest counted, all engines would stop serving at the earlier one.
#[test]
fn the_nearest_deadline_sets_the_batch_size() {
    let reports: Vec<_> = (0..12).map(|index| ready_report(index, "v1")).collect();
    assert_eq!(paced(&reports, &schedule_of(&[], [0, 2_000, 4_000])).len(), 6);
    let reports: Vec<_> = (0..12).map(|index| ready_report(index, "v2")).collect();
    assert_eq!(paced(&reports, &schedule_of(&[], [0, 2_000, 4_000])).len(), 4);
}

/// Engines with the oldest version switch first, because their deadline is the earliest.
#[test]
fn the_oldest_version_switches_first() {
    let mut reports: Vec<_> = (0..8).map(|index| ready_report(index, "v2")).collect();
    reports.extend((8..11).map(|index| ready_report(index, "v1")));
    let first = paced(&reports, &schedule(&[], 5_400));
    let old: Vec<_> = reports[8..].iter().map(|report| report.instance.clone()).collect();
    assert_eq!(first.len(), 3);
    assert!(first.iter().all(|instance| old.contains(instance)), "{first:?}");
}

/// Engines whose version must no longer answer switch at once, regardless of the number of
/// switches in progress.
#[test]
fn engines_that_may_not_serve_switch_at_once() {
    let mut reports: Vec<_> = (0..8).map(|index| ready_report(index, "v2")).collect();
    reports.extend((8..12).map(|index| ready_report(index, "v1")));
    let first = paced(&reports, &schedule(&["v1"], 20_000));
    assert!(reports[8..].iter().all(|report| first.contains(&report.instance)), "{first:?}");
}

/// Guards against an order that lets an endpoint give up an allowed version, or names no retired
/// one and so keeps its engine from loading a part early. Layers are those of the service.
#[test]
fn orders_name_the_retired_version_and_the_layers() {
    let mut preset = preset(1, content("v3", 50, None));
    let target = preset.content.services.values_mut().next().expect("a service");
    target.engine = Some(engine(32));
    let mut reports = vec![report(0, serving("v1")), report(1, serving("v2"))];
    reports.push(report(2, EndpointState::Empty));
    let reports: Vec<_> = reports.iter().collect();
    let schedule = schedule(&["v1"], 20_000);
    let rollout = Some(&schedule);
    let orders =
        plan_orders(PlanInput { preset: &preset, ahead: None, reports: &reports, rollout });
    assert_eq!(orders.len(), 3, "{orders:?}");
    for order in orders {
        let is_first = order.instance == reports[0].instance;
        assert_eq!(order.retired, is_first.then(|| version("v1")), "{order:?}");
        assert_eq!(order.layers, 32, "{order:?}");
    }
}

/// Guards against new, still empty engines that count as switching during a rollout and
/// block the others until after their deadline.
#[test]
fn new_engines_delay_no_switch() {
    let mut reports: Vec<_> = (0..8).map(|index| ready_report(index, "v2")).collect();
    let before = paced(&reports, &schedule(&[], 4_000)).len();
    reports.extend((8..18).map(|index| report(index, EndpointState::Empty)));
    let after = paced(&reports, &schedule(&[], 4_000));
    let switching = after.iter().filter(|i| reports[..8].iter().any(|r| r.instance == **i)).count();
    assert!(switching >= before, "{switching} of {before}");
}

/// Guards against agents that do not offer the weights that their engines loaded before the
/// agents started. Without an order that names the manifest, new engines depend on the
/// origin, and callers are refused for lack of capacity while it is down.
#[test]
fn serving_engines_are_ordered_to_offer_their_weights() {
    let endpoint_addr = Some("127.0.0.1:8001".parse().expect("valid"));
    let held = EndpointReport { endpoint_addr, ..report(0, serving("v1")) };
    let orders = plan(&preset(1, content("v1", 50, None)), std::slice::from_ref(&held));
    assert_eq!(orders.len(), 1);
    assert_eq!((orders[0].serve, orders[0].reason), (true, PlanReason::OfferServed));
    let offering =
        EndpointReport { order: orders[0].fencing, ordered: Some(orders[0].manifest), ..held };
    assert!(plan(&preset(1, content("v1", 50, None)), &[offering]).is_empty(), "told once");
}

/// Guards against several entries that each release different switches because their reports
/// arrive at different times. Most engines would be out of service at once.
#[test]
fn one_entry_lets_engines_switch() {
    let early: Vec<_> = (0..12).map(|index| ready_report(index, "v2")).collect();
    let orders = |reports: &[EndpointReport]| {
        let preset = preset(1, content("v3", 50, None));
        let schedule = schedule(&[], 4_000);
        let reports: Vec<_> = reports.iter().collect();
        plan_orders(PlanInput {
            preset: &preset,
            ahead: None,
            reports: &reports,
            rollout: Some(&schedule),
        })
    };
    let first = SwitchStagger::default().release(orders(&early), 0, Timestamp(10_000));
    assert_eq!(first.len(), 4);
    let mut second = SwitchStagger::default();
    assert!(second.release(orders(&early[4..]), 1, Timestamp(10_000)).is_empty());
    assert!(second.release(orders(&early[4..]), 1, Timestamp(10_100)).is_empty());
}

/// If the entry with the first rank is paused, the next one releases the switches after a
/// short delay, before the deadline of the old version.
#[test]
fn the_next_entry_takes_over_after_a_while() {
    let reports: Vec<_> = (0..12).map(|index| ready_report(index, "v2")).collect();
    let preset = preset(1, content("v3", 50, None));
    let schedule = schedule(&[], 4_000);
    let reports: Vec<_> = reports.iter().collect();
    let input =
        PlanInput { preset: &preset, ahead: None, reports: &reports, rollout: Some(&schedule) };
    let mut stagger = SwitchStagger::default();
    assert!(stagger.release(plan_orders(input), 2, Timestamp(10_000)).is_empty());
    assert_eq!(stagger.release(plan_orders(input), 2, Timestamp(10_500)).len(), 4);
}

fn superseded(ready: u32, left_ms: [u64; 3]) -> Vec<PlannedOrder> {
    let held =
        |index| EndpointReport { staged: staged("v2", ready), ..report(index, serving("v1")) };
    let reports: Vec<_> = (0..12).map(held).collect();
    let preset = preset(1, content("v3", 50, None));
    let schedule = schedule_of(&[], left_ms);
    let reports: Vec<_> = reports.iter().collect();
    plan_orders(PlanInput {
        preset: &preset,
        ahead: None,
        reports: &reports,
        rollout: Some(&schedule),
    })
}

/// A version is fully staged everywhere when a newer one is named. If it were dropped, all
/// engines would keep the oldest version until its deadline and then stop together. Half of
/// them serve it in between, a few switching at a time; the others fetch the newest.
#[test]
fn a_complete_version_is_served_until_the_newest_is_staged() {
    let orders = superseded(CHUNKS, [0, 4_800, 8_800]);
    let step: Vec<_> = orders.iter().filter(|order| order.version == version("v2")).collect();
    let newest: Vec<_> = orders.iter().filter(|order| order.version == version("v3")).collect();
    assert_eq!((step.len(), newest.len()), (4, 6));
    assert!(step.iter().all(|order| order.serve) && newest.iter().all(|order| !order.serve));
}

/// A version of which a part is staged when a newer one is named is completed by all endpoints:
/// others would compete with them for the origin. One that has hardly begun is dropped in favour
/// of the newest.
#[rstest]
#[case(CHUNKS * 3 / 4, 12)]
#[case(CHUNKS / 4, 0)]
fn a_mostly_staged_version_is_completed(#[case] ready: u32, #[case] finished: usize) {
    let orders = superseded(ready, [0, 4_800, 8_800]);
    assert_eq!(orders.len(), 12);
    let continues = orders.iter().filter(|order| order.version == version("v2"));
    assert_eq!(continues.count(), finished);
    assert!(orders.iter().all(|order| !order.serve));
}

/// There is time enough to fetch the newest before the oldest may not answer any
/// more, or none in which the one between would be served. A switch to it would
/// cost each engine a second or two for nothing.
#[rstest]
#[case([0, 20_000, 24_000])]
#[case([0, 0, 2_000])]
fn an_intermediate_version_without_benefit_is_skipped(#[case] left_ms: [u64; 3]) {
    let orders = superseded(CHUNKS, left_ms);
    assert!(orders.iter().all(|order| order.version == version("v3")));
}

/// Guards against a switch out of turn. A restarted agent does not know the number of layers and
/// reports an empty endpoint although its engine holds a whole version.
#[rstest]
#[case::whole(0, 16, false)]
#[case::lower_half(0, 8, true)]
#[case::upper_half(8, 16, true)]
fn a_restarted_agent_of_a_whole_engine_stages_first(
    #[case] from: u32,
    #[case] to: u32,
    #[case] serve: bool,
) {
    let mut content = content("v2", 50, None);
    for target in content.services.values_mut() {
        target.engine = Some(engine(16));
    }
    let preset = preset(2, content);
    let range = LayerRange::new(from, to).expect("a range with layers");
    let layers = Some(LoadedLayers { version: version("v1"), range });
    let restarted = EndpointReport { layers, ..report(0, EndpointState::Empty) };
    let orders = plan(&preset, &[restarted, report(1, serving("v1"))]);
    let order = orders.iter().find(|order| order.instance.as_str() == "endpoint-0");
    assert_eq!(order.map(|order| order.serve), Some(serve));
}

fn engine(layers: u32) -> EngineProfile {
    EngineProfile {
        model: "m".to_owned(),
        slots: 12,
        read_per_ms: 20.0,
        step_ms: 9.0,
        stride: 5,
        usual_prompt: 900,
        usual_answer: 98,
        layers,
        origin: None,
    }
}

/// Guards against a whole engine that gets no requests after its agent has restarted, and against
/// requests to an engine with a part as if it were whole.
#[rstest]
#[case::whole(16, 0, 16, true)]
#[case::more_than_named(16, 0, 20, true)]
#[case::lower_half(16, 0, 8, false)]
#[case::upper_half(16, 8, 16, false)]
#[case::layers_not_named(0, 0, 16, false)]
#[case::one_layer(1, 0, 1, false)]
fn a_restarted_agent_of_a_whole_engine_serves(
    #[case] layers: u32,
    #[case] from: u32,
    #[case] to: u32,
    #[case] is_whole: bool,
) {
    let range = LayerRange::new(from, to).expect("a range with layers");
    let held = Some(LoadedLayers { version: version("v1"), range });
    let with_layers = |state| EndpointReport { layers: held.clone(), ..report(0, state) };
    let resumed = with_layers(EndpointState::Empty);
    assert_eq!(resumed_version(&resumed, layers).is_some(), is_whole);
    assert_eq!(resumed_version(&with_layers(EndpointState::Switching), layers), None);
}

/// Guards against an endpoint that is left out of service because its weights are not proved.
#[rstest]
fn unproved_weights_are_ordered_to_be_loaded_again(
    #[values(serving("a"), EndpointState::Empty)] state: EndpointState,
    #[values(WeightsBasis::Adopted, WeightsBasis::Unproved)] basis: WeightsBasis,
) {
    let report = EndpointReport { basis, ..report(0, state) };
    let orders = plan(&preset(1, content("a", 100, None)), &[report]);
    let distrusts = orders.iter().any(|order| order.serve && order.distrusts_held);
    assert_eq!(distrusts, basis == WeightsBasis::Unproved, "{orders:?}");
}
