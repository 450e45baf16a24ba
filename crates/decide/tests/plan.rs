//! Orders to endpoints, derived by several entries whose reports lag.

use std::collections::BTreeMap;

use cassiawheel_decide::{
    SwitchStagger,
    fencing::{OrderToken, next_token},
    plan::{PlanInput, PlanReason, PlannedOrder, RolloutSchedule, ScheduledVersion, plan_orders},
};
use cassiawheel_model::{
    ChangeId, Deadline, EndpointReport, EndpointRole, EndpointState, FailureDomain, ForcedPreset,
    InstanceId, LoadReport, ManifestDigest, ModelVersion, OperatorName, PresetContent, PresetName,
    PresetRevision, RegionName, ServiceKind, ServiceName, ServiceTarget, StagedWeights, Timestamp,
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

/// An endpoint with its agent and engine, reduced to what orders do to it.
struct ModelEndpoint {
    report: EndpointReport,
    newest: Option<PlannedOrder>,
    switch_ends_at: u64,
}

impl ModelEndpoint {
    /// Follows an order as the agent does: only one with a higher token.
    fn offer(&mut self, order: PlannedOrder) {
        if self.newest.as_ref().is_some_and(|known| known.fencing >= order.fencing) {
            return;
        }
        self.report.order = order.fencing;
        self.report.ordered = Some(order.manifest);
        self.newest = Some(order);
    }

    /// Stages a little more, and switches once it is staged as a whole.
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

/// What an entry does to keep track of endpoints.
struct ModelEntry {
    seen: Vec<EndpointReport>,
    paused_until: u64,
}

struct RolloutResult {
    least_serving: usize,
    finished: bool,
}

/// Rolls a version out over `count` endpoints with three entries whose reports
/// and orders are delayed; one entry pauses with orders in its queue.
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
    let mut under_way: Vec<(u64, PlannedOrder)> = Vec::new();
    let mut result = RolloutResult { least_serving: count, finished: false };
    for now in (0..60_000).step_by(20) {
        for endpoint in &mut endpoints {
            endpoint.step(now, &mut rng);
        }
        if restarts && now < 5_000 && rng.random_bool(0.01) {
            let victim = rng.random_range(0..count);
            endpoints[victim].restart_agent();
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
            // Orders planned before a pause leave the process after it.
            for order in plan(&preset, &entry.seen) {
                let at = entry.paused_until.max(now) + rng.random_range(1..300);
                under_way.push((at, order));
            }
        }
        let (due, later) = under_way.into_iter().partition(|(at, _)| *at <= now);
        under_way = later;
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

/// A version is rolled out while callers are served, by entries whose view of
/// the endpoints lags and which pause with orders in their queues. Were too many
/// endpoints switched at once, callers would be refused in the middle of a burst.
#[rstest]
#[case(16, 50)]
#[case(16, 75)]
#[case(5, 50)]
#[case(3, 100)]
fn a_rollout_keeps_the_promised_share(#[case] count: usize, #[case] serving_percent: u32) {
    let promised = (count * serving_percent as usize).div_ceil(100).min(count - 1);
    let mut least = count;
    for seed in 0..250 {
        let result = roll_out(seed, count, serving_percent, false);
        assert!(result.finished, "seed {seed} did not finish");
        assert!(result.least_serving >= promised, "seed {seed}: {}", result.least_serving);
        least = least.min(result.least_serving);
    }
    println!("{count} endpoints, {serving_percent} %: least serving {least}, promised {promised}");
}

/// Agents are replaced in the middle of a rollout and know no order any more.
/// Entries order anew above the engine's token, or the endpoint would stay with
/// the old version, or empty, for ever.
#[test]
fn a_rollout_finishes_though_agents_restart() {
    for seed in 0..250 {
        assert!(roll_out(seed, 8, 50, true).finished, "seed {seed} did not finish");
    }
}

/// An entry that was paused sends an order that it planned under the preset
/// before. Its token is lower than that of any order under the newer preset.
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

/// Only some endpoints are needed. Those that hold the version already are
/// kept, and the others come from the failure domains with the fewest; a poor
/// choice moves weights for nothing or loses a service with one domain.
#[test]
fn chosen_endpoints_hold_the_version_and_spread() {
    let preset = preset(2, content("v2", 50, Some(1)));
    let mut reports: Vec<_> = (0..9).map(|index| report(index, EndpointState::Empty)).collect();
    reports[4].state = serving("v2");
    let orders = plan(&preset, &reports);
    let domains: Vec<_> = orders
        .iter()
        .map(|order| {
            let chosen = reports.iter().find(|report| report.instance == order.instance);
            chosen.expect("it exists").failure_domain.clone()
        })
        .collect();
    assert_eq!(orders.len(), 2, "two replicas and one spare, of which one serves already");
    assert_ne!(domains[0], domains[1]);
    assert!(!domains.contains(&reports[4].failure_domain), "the third domain has one");
}

/// An endpoint dies. The others keep their orders, and one more takes its
/// place; replanning everything would move weights in the middle of a burst.
#[test]
fn a_dead_endpoint_moves_no_other() {
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

/// The next preset is staged ahead while this one is served, once.
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

/// A report claims a token that no order ever had. The endpoint gets no order,
/// and the others get theirs; the plan of a whole service must not end with it.
#[test]
fn a_false_token_stops_no_other_order() {
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

/// A schedule with the time left of each version.
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

/// There is time enough. So few engines switch at a time that the last begins
/// just in time, and the others go on serving; with less time there are more.
#[test]
fn as_many_switch_at_a_time_as_the_time_needs() {
    let reports: Vec<_> = (0..12).map(|index| ready_report(index, "v2")).collect();
    assert_eq!(paced(&reports, &schedule(&[], 10_000)).len(), 2);
    assert_eq!(paced(&reports, &schedule(&[], 4_000)).len(), 4);
    assert_eq!(paced(&reports, &schedule(&[], 0)).len(), 12);
}

/// Twelve engines switch within four seconds, each in two, and none has finished
/// after one second. The number of switches must not rise because the time grows shorter while
/// they are at it: one more would go out of service every tenth of a second, until
/// no engine is left for the callers.
#[test]
fn the_pace_holds_while_the_first_engines_switch() {
    let mut reports: Vec<_> = (0..12).map(|index| ready_report(index, "v2")).collect();
    let first = paced(&reports, &schedule(&[], 4_000));
    assert_eq!(first.len(), 4);
    for report in reports.iter_mut().filter(|report| first.contains(&report.instance)) {
        report.state = EndpointState::Switching;
    }
    for left_ms in (3_000..=4_000).step_by(50) {
        assert!(paced(&reports, &schedule(&[], left_ms)).is_empty(), "{left_ms} ms are left");
    }
    // Those that are late all the same go before the time is over.
    assert!(!paced(&reports, &schedule(&[], 0)).is_empty());
}

/// A version was named two seconds after another one, and both are late. All
/// engines still serve the oldest, whose time is over first. Paced by the newest
/// alone they would all stop at that moment, and callers would get nothing.
#[test]
fn the_nearest_deadline_sets_the_pace() {
    let reports: Vec<_> = (0..12).map(|index| ready_report(index, "v1")).collect();
    assert_eq!(paced(&reports, &schedule_of(&[], [0, 2_000, 4_000])).len(), 6);
    let reports: Vec<_> = (0..12).map(|index| ready_report(index, "v2")).collect();
    assert_eq!(paced(&reports, &schedule_of(&[], [0, 2_000, 4_000])).len(), 4);
}

/// Engines with the oldest version switch first: its time is over first, and
/// they would serve nothing while others still may.
#[test]
fn the_oldest_version_switches_first() {
    let mut reports: Vec<_> = (0..8).map(|index| ready_report(index, "v2")).collect();
    reports.extend((8..11).map(|index| ready_report(index, "v1")));
    let first = paced(&reports, &schedule(&[], 5_400));
    let old: Vec<_> = reports[8..].iter().map(|report| report.instance.clone()).collect();
    assert_eq!(first.len(), 3);
    assert!(first.iter().all(|instance| old.contains(instance)), "{first:?}");
}

/// Engines whose version may not answer any more serve nothing. They switch at
/// once, whoever else is under way.
#[test]
fn engines_that_may_not_answer_switch_at_once() {
    let mut reports: Vec<_> = (0..8).map(|index| ready_report(index, "v2")).collect();
    reports.extend((8..12).map(|index| ready_report(index, "v1")));
    let first = paced(&reports, &schedule(&["v1"], 20_000));
    assert!(reports[8..].iter().all(|report| first.contains(&report.instance)), "{first:?}");
}

/// New engines come while a version is under way and hold nothing yet. The
/// others must not wait for them, or they wait until they may not answer.
#[test]
fn new_engines_hold_up_no_switch() {
    let mut reports: Vec<_> = (0..8).map(|index| ready_report(index, "v2")).collect();
    let before = paced(&reports, &schedule(&[], 4_000)).len();
    reports.extend((8..18).map(|index| report(index, EndpointState::Empty)));
    let after = paced(&reports, &schedule(&[], 4_000));
    let switching = after.iter().filter(|i| reports[..8].iter().any(|r| r.instance == **i)).count();
    assert!(switching >= before, "{switching} of {before}");
}

/// Engines serve a version that they held before their agents were there. New
/// engines join while the origin is away. Nobody has told the agents which bytes
/// their engines hold, so they offer none, and the new engines wait for the
/// origin while callers are refused for want of room.
#[test]
fn engines_that_serve_already_are_told_to_offer_their_weights() {
    let endpoint_addr = Some("127.0.0.1:8001".parse().expect("valid"));
    let held = EndpointReport { endpoint_addr, ..report(0, serving("v1")) };
    let orders = plan(&preset(1, content("v1", 50, None)), std::slice::from_ref(&held));
    assert_eq!(orders.len(), 1);
    assert_eq!((orders[0].serve, orders[0].reason), (true, PlanReason::OfferServed));
    let told =
        EndpointReport { order: orders[0].fencing, ordered: Some(orders[0].manifest), ..held };
    assert!(plan(&preset(1, content("v1", 50, None)), &[told]).is_empty(), "told once");
}

/// Several entries plan from reports that reach each at another moment, and see
/// other engines as the first that are ready. If each let its own choice switch,
/// most engines would be out of service at once and callers would be refused.
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

/// The entry that ranks first is paused. Engines would keep a version that may
/// soon not answer any more; after a short while the next entry lets them switch.
#[test]
fn the_next_entry_takes_over_after_a_while() {
    let reports: Vec<_> = (0..12).map(|index| ready_report(index, "v2")).collect();
    let preset = preset(1, content("v3", 50, None));
    let schedule = schedule(&[], 4_000);
    let reports: Vec<_> = reports.iter().collect();
    let input =
        PlanInput { preset: &preset, ahead: None, reports: &reports, rollout: Some(&schedule) };
    let mut ledger = SwitchStagger::default();
    assert!(ledger.release(plan_orders(input), 2, Timestamp(10_000)).is_empty());
    assert_eq!(ledger.release(plan_orders(input), 2, Timestamp(10_500)).len(), 4);
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

/// A version is whole everywhere when a newer one is named. Thrown away, it would
/// leave every engine with the oldest version until that may not answer any
/// more, and all of them would stop at that moment. Half of them serve it
/// meanwhile, a few switching at a time; the others fetch the newest.
#[test]
fn a_version_that_is_whole_is_served_until_the_newest_is_there() {
    let orders = superseded(CHUNKS, [0, 4_800, 8_800]);
    let step: Vec<_> = orders.iter().filter(|order| order.version == version("v2")).collect();
    let newest: Vec<_> = orders.iter().filter(|order| order.version == version("v3")).collect();
    assert_eq!((step.len(), newest.len()), (4, 6));
    assert!(step.iter().all(|order| order.serve) && newest.iter().all(|order| !order.serve));
}

/// Most of a version has been fetched when a newer one is named; it is finished.
/// Of one that has hardly begun nothing is gained, and the newest is fetched.
#[rstest]
#[case(CHUNKS * 3 / 4, 6)]
#[case(CHUNKS / 4, 0)]
fn a_version_is_finished_if_most_of_it_is_there(#[case] ready: u32, #[case] finished: usize) {
    let orders = superseded(ready, [0, 4_800, 8_800]);
    assert_eq!(orders.len(), 12);
    let goes_on = orders.iter().filter(|order| order.version == version("v2"));
    assert_eq!(goes_on.count(), finished);
    assert!(orders.iter().all(|order| !order.serve));
}

/// There is time enough to fetch the newest before the oldest may not answer any
/// more, or none in which the one between would be served. A switch to it would
/// cost each engine a second or two for nothing.
#[rstest]
#[case([0, 20_000, 24_000])]
#[case([0, 0, 2_000])]
fn a_version_between_is_passed_over_if_it_gains_nothing(#[case] left_ms: [u64; 3]) {
    let orders = superseded(CHUNKS, left_ms);
    assert!(orders.iter().all(|order| order.version == version("v3")));
}
