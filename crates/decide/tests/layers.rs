//! Choice and order of halves, and the release of loaded layers.

#[path = "support/rounds.rs"]
mod rounds;

use cassiawheel_decide::{
    ChunkPicker, ChunkSource, EngineHolding, LayerHalf, LayerRelease, PATH_RELEASE_MS,
    PeerLocation, PickerSettings,
    layers::{may_load_part, should_give_up_layers},
};
use cassiawheel_model::{
    EndpointState, InstanceId, LayerRange, LoadedLayers, ManifestDigest, ModelVersion, Timestamp,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rounds::{LinkProfile, RoundFault, RoundPlan, all_from_origin, fixed_tree, run_rounds};
use rstest::rstest;

const LAYERS: u32 = 32;
const START: Timestamp = Timestamp(10_000);

fn instance(number: usize) -> InstanceId {
    InstanceId::new(&format!("endpoint-{number}")).expect("a valid name")
}

fn version(name: &str) -> ModelVersion {
    ModelVersion::new(name).expect("a valid version")
}

fn layers(name: &str, from: u32, to: u32) -> LoadedLayers {
    let range = LayerRange::new(from, to).expect("a range with layers");
    LoadedLayers { version: version(name), range }
}

fn serving(name: &str) -> EndpointState {
    EndpointState::Serving { version: Some(version(name)), generation: 1 }
}

fn after(at: Timestamp, ms: u64) -> Timestamp {
    Timestamp(at.0 + ms)
}

/// Number of agents with the lower half, where each knows the agents that `knows` selects.
fn lower_count(agents: usize, seed: u8, mut knows: impl FnMut(usize, usize) -> bool) -> usize {
    let manifest = ManifestDigest::from([seed; 32]);
    let names: Vec<_> = (0..agents).map(instance).collect();
    let mut half = |own: usize| {
        let others = names.iter().enumerate().filter(|(other, _)| knows(own, *other));
        LayerHalf::first_of(manifest, &names[own], others.map(|(_, name)| name))
    };
    (0..agents).filter(|own| half(*own) == LayerHalf::Lower).count()
}

/// Guards against one half with more members than the other, whose members would be left without
/// a partner although all agents know each other.
#[rstest]
fn halves_are_equal_among_agents_that_know_each_other(#[values(2, 3, 16, 27)] agents: usize) {
    for seed in 0..20 {
        let lower = lower_count(agents, seed, |_, _| true);
        assert!(lower.abs_diff(agents - lower) <= 1, "seed {seed}: {lower} of {agents}");
    }
}

/// Guards against agents that all take the same half because they have no list of peers, or one
/// from before the others started: no path would exist.
#[rstest]
#[case::nobody(|_: &mut SmallRng, _, _| false)]
#[case::earlier_ones(|_: &mut SmallRng, own, other| other < own)]
#[case::next_ones(|_: &mut SmallRng, own: usize, other: usize| other.abs_diff(own) <= 2)]
#[case::half_of_them(|rng: &mut SmallRng, _, _| rng.random_bool(0.5))]
#[case::few_of_them(|rng: &mut SmallRng, _, _| rng.random_bool(0.05))]
fn halves_are_balanced_whatever_agents_know(
    #[case] knows: fn(&mut SmallRng, usize, usize) -> bool,
    #[values(27, 230)] agents: usize,
) {
    let mut rng = SmallRng::seed_from_u64(1);
    let counts: Vec<_> = (0..20)
        .map(|seed| lower_count(agents, seed, |own, other| knows(&mut rng, own, other)))
        .collect();
    let mean = counts.iter().sum::<usize>() as f64 / (counts.len() * agents) as f64;
    assert!((0.45..=0.55).contains(&mean), "{mean}: {counts:?}");
    let least = counts.iter().map(|count| (*count).min(agents - count)).min().unwrap_or(0);
    assert!(least * 4 >= agents, "{counts:?}");
}

/// Guards against a gap or an overlap between the halves, and against a part of a model that
/// cannot be divided.
#[rstest]
fn halves_cover_all_layers_once(#[values(2, 3, 31, 32)] count: u32) {
    let range = |half: LayerHalf| half.range(count).expect("a half with layers");
    let (lower, upper) = (range(LayerHalf::Lower), range(LayerHalf::Upper));
    assert_eq!((lower.from(), lower.to(), upper.to()), (0, upper.from(), count));
    for undivided in [0, 1] {
        assert_eq!(LayerHalf::Lower.range(undivided), None);
        assert_eq!(LayerHalf::Upper.range(undivided), None);
    }
}

/// Guards against a preference that costs a second copy from the origin, leaves chunks out, or
/// delays the whole version.
#[rstest]
#[case::wide(16, 512, None)]
#[case::as_on_the_platform(27, 48, Some(LinkProfile {
    round_ms: 40, max_peer_fetches: 4, upload_slots: 4, in_turns: true,
}))]
fn halves_arrive_first_with_one_copy_from_the_origin(
    #[case] agents: usize,
    #[case] chunks: usize,
    #[case] profile: Option<LinkProfile>,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut plan = RoundPlan::new(agents, chunks, seed);
    plan.profile = profile.unwrap_or(plan.profile);
    let whole = run_rounds(&plan);
    let halves = run_rounds(&RoundPlan { layers: LAYERS, ..plan });
    assert!(whole.complete && halves.complete, "{whole:?} {halves:?}");
    assert!(halves.origin_copies() <= 1.05, "{halves:?}");
    assert!(halves.time_ratio() <= whole.time_ratio() + 0.1, "{whole:?} {halves:?}");
    assert!(halves.rounds < fixed_tree(agents, chunks), "{halves:?}");
    assert!(halves.rounds < all_from_origin(agents, chunks), "{halves:?}");
    assert!(halves.first_rounds < halves.half_rounds, "{halves:?}");
}

/// Guards against chunks that no agent fetches because they belong to the half of a failed one.
#[rstest]
#[case::dead(&[RoundFault::Dies { agent: 1, round: 60 }, RoundFault::Dies { agent: 2, round: 90 }])]
#[case::stalled(&[RoundFault::Stalls { agent: 3, round: 60 }])]
#[case::lying(&[RoundFault::Lies { agent: 5 }])]
#[case::joining(&[RoundFault::Joins { agent: 6, round: 300 }])]
fn all_chunks_arrive_although_agents_fail(#[case] faults: &[RoundFault]) {
    let plan = RoundPlan { faults: faults.to_vec(), ..RoundPlan::new(16, 512, 1) };
    let result = run_rounds(&RoundPlan { layers: LAYERS, corrupt: 0.01, ..plan });
    assert!(result.complete, "{result:?}");
    assert!(result.origin_copies() <= 1.25, "{result:?}");
}

fn picker_beside(peer: &InstanceId, place: PeerLocation, chunks: usize) -> ChunkPicker {
    let settings = PickerSettings {
        instance: instance(0),
        stall_ms: 2_000,
        origin_step_ms: 500,
        max_fetches_per_peer: 4,
        rescue_ms: 0,
        max_peer_fetches: 4,
        queue_ms: 0,
        extra_copies: 0.0,
        origin_chunk_ms: 0.0,
        in_origin_region: false,
        max_origin_fetches: 0,
    };
    let mut picker = ChunkPicker::new(settings, chunks, START);
    picker.set_peer_location(peer, place, START);
    picker.peer_connected(peer, START);
    picker.peer_holds(peer, 0..chunks, START);
    picker.peer_inventory_complete(peer);
    picker
}

/// Guards against a half that is complete late because other chunks were fetched first.
#[rstest]
fn chunks_of_the_own_half_are_fetched_first() {
    let peer = instance(1);
    let mut picker = picker_beside(&peer, PeerLocation::default(), 8);
    picker.prefer(4..8);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut first: Vec<_> = (0..4).filter_map(|_| picker.next(START, &mut rng)).collect();
    first.sort_by_key(|order| order.index);
    assert_eq!(first.iter().map(|order| order.index).collect::<Vec<_>>(), [4, 5, 6, 7]);
    first.iter().for_each(|order| picker.fetch_succeeded(order, after(START, 10)));
    let next = picker.next(after(START, 10), &mut rng).expect("the rest follows");
    assert!(next.index < 4, "{next:?}");
}

/// Guards against an importer that delays the chunks of the other half: the agents of its region
/// that load that half wait for them.
#[rstest]
fn imports_for_the_region_are_not_delayed() {
    let place = PeerLocation { is_remote: true, in_origin_region: true };
    let order_of = |preferred: std::ops::Range<usize>| {
        let mut picker = picker_beside(&instance(1), place, 8);
        picker.prefer(preferred);
        let mut rng = SmallRng::seed_from_u64(3);
        (0..4).filter_map(|_| picker.next(START, &mut rng)).map(|o| o.index).collect::<Vec<_>>()
    };
    assert_eq!(order_of(4..8), order_of(0..0));
}

/// Guards against a corrupt chunk that is never fetched again and keeps its range from being
/// loaded for ever.
#[rstest]
fn a_lost_chunk_is_fetched_again() {
    let peer = instance(1);
    let mut picker = picker_beside(&peer, PeerLocation::default(), 2);
    let mut rng = SmallRng::seed_from_u64(1);
    while let Some(order) = picker.next(START, &mut rng) {
        picker.fetch_succeeded(&order, START);
    }
    assert_eq!((picker.missing(), picker.held_of(0..2)), (0, 2));
    picker.mark_lost(1);
    picker.mark_lost(1);
    assert_eq!((picker.missing(), picker.held_of(0..2)), (1, 1));
    let again = picker.next(START, &mut rng).expect("a fetch");
    assert_eq!((again.index, again.source), (1, ChunkSource::Peer(peer)));
}

/// Guards against an endpoint that stops serving an allowed version for a part of another one.
#[rstest]
#[case::empty(EndpointState::Empty, None, true)]
#[case::retired(serving("m:1"), Some("m:1"), true)]
#[case::allowed(serving("m:1"), None, false)]
#[case::switched_since_the_report(serving("m:2"), Some("m:1"), false)]
#[case::switching(EndpointState::Switching, Some("m:1"), false)]
#[case::draining(EndpointState::Draining, None, false)]
fn only_endpoints_that_may_not_answer_load_parts(
    #[case] state: EndpointState,
    #[case] retired: Option<&str>,
    #[case] expected: bool,
) {
    assert_eq!(may_load_part(&state, retired.map(version).as_ref()), expected);
}

/// Guards against an engine with some of the layers that is taken for a whole one, in particular
/// by an agent that has restarted and does not know the number of layers yet.
#[rstest]
#[case::part(Some("m:1"), Some((0, 16)), Some(32), false)]
#[case::upper_part(Some("m:1"), Some((16, 32)), Some(32), false)]
#[case::count_unknown(Some("m:1"), Some((0, 16)), None, false)]
#[case::all(Some("m:1"), Some((0, 32)), Some(32), true)]
#[case::all_of_another(Some("m:2"), Some((0, 32)), Some(32), false)]
#[case::layers_alone(None, Some((0, 32)), Some(32), false)]
#[case::without_layers(Some("m:1"), None, Some(32), true)]
#[case::undivided_model(Some("m:1"), Some((0, 1)), Some(0), true)]
fn parts_are_not_taken_for_whole_versions(
    #[case] models: Option<&str>,
    #[case] range: Option<(u32, u32)>,
    #[case] total: Option<u32>,
    #[case] is_whole: bool,
) {
    let loaded = range.map(|(from, to)| layers("m:1", from, to));
    let holding = EngineHolding::new(models.map(version).as_ref(), loaded.as_ref(), total);
    assert_eq!(holding.whole().is_some(), is_whole, "{holding:?}");
}

/// Guards against a path that reaches a member after it has loaded another version: entries use
/// reported layers for up to 1.5 s.
#[rstest]
fn another_version_is_loaded_only_after_the_release() {
    let mut release = LayerRelease::new(Timestamp(0));
    release.loaded(layers("m:1", 0, 16));
    assert!(release.reports_other(&version("m:2")));
    assert_eq!(release.may_load_at(&version("m:2")), None, "the layers are still reported");
    assert!(release.withdraw(START));
    assert_eq!(release.reported(), None);
    let at = release.may_load_at(&version("m:2")).expect("a time");
    assert!(!at.is_past(after(START, PATH_RELEASE_MS - 1)));
    assert!(at.is_past(after(START, PATH_RELEASE_MS + 1)));
    assert!(!release.withdraw(after(START, 2_000)), "a second call does not restart the wait");
    assert_eq!(release.may_load_at(&version("m:2")), Some(at));
}

/// Guards against a wait before the rest of the same version is loaded, or before layers that an
/// engine lost at its restart are loaded again.
#[rstest]
fn the_same_version_is_loaded_without_a_wait() {
    let mut release = LayerRelease::new(Timestamp(0));
    release.loaded(layers("m:1", 0, 16));
    let is_free = |release: &LayerRelease| {
        release.may_load_at(&version("m:1")).is_some_and(|at| at.is_past(after(START, 1)))
    };
    assert!(is_free(&release));
    let changes = release.changes();
    assert!(release.observe(&EngineHolding::Nothing, changes, START));
    assert_eq!(release.reported(), None, "an engine that has restarted holds nothing");
    assert!(is_free(&release));
}

/// Guards against a version that is loaded whole and replaced at once, while entries still use
/// the layers that were reported before.
#[rstest]
fn the_release_also_counts_after_the_rest_was_loaded() {
    let mut release = LayerRelease::new(Timestamp(0));
    release.loaded(layers("m:1", 16, 32));
    let whole = EngineHolding::Whole(version("m:1"));
    assert!(!release.observe(&whole, release.changes(), START), "the switch withdraws them");
    assert!(release.withdraw(START));
    let at = release.may_load_at(&version("m:2")).expect("a time");
    assert!(!at.is_past(after(START, PATH_RELEASE_MS - 1)));
}

/// Guards against an agent that restarts and does not report its engine's layers, or loads another
/// version although the process before it reported layers a moment ago.
#[rstest]
fn a_restarted_agent_reports_the_engines_layers() {
    let mut release = LayerRelease::new(START);
    let known = layers("m:1", 0, 16);
    assert!(release.observe(&EngineHolding::Part(known.clone()), 0, START));
    assert_eq!(release.reported(), Some(&known));
    assert_eq!(release.may_load_at(&version("m:2")), None);

    let silent = LayerRelease::new(START);
    let at = silent.may_load_at(&version("m:2")).expect("a time");
    assert!(!at.is_past(after(START, PATH_RELEASE_MS - 1)));
}

/// Guards against a status that was read before a change and is handled after it: it would
/// withdraw layers that were just loaded, or report ones that were just withdrawn.
#[rstest]
fn an_outdated_status_changes_nothing() {
    let mut release = LayerRelease::new(Timestamp(0));
    let before = release.changes();
    release.loaded(layers("m:1", 0, 16));
    assert!(!release.observe(&EngineHolding::Nothing, before, START));
    assert!(release.reported().is_some());
    release.withdraw(START);
    let part = EngineHolding::Part(layers("m:1", 0, 16));
    assert!(!release.observe(&part, release.changes(), START));
    assert_eq!(release.reported(), None, "withdrawn layers stay withdrawn");
}

/// Guards against the loss of paths of an older version while the origin is down and the newer
/// version makes no progress.
#[rstest]
fn layers_are_kept_until_a_newer_version_makes_progress() {
    assert!(!should_give_up_layers(0, 24));
    assert!(!should_give_up_layers(11, 24));
    assert!(should_give_up_layers(12, 24));
}

/// Guards against loads that confirm withdrawn layers at an entry that the report has not reached.
#[test]
fn loads_are_withheld_while_entries_may_use_withdrawn_layers() {
    let mut release = LayerRelease::new(START);
    assert!(!release.is_withdrawn_recently(START), "nothing was reported yet");
    release.loaded(layers("v1", 0, 8));
    release.withdraw(after(START, 100));
    assert!(release.is_withdrawn_recently(after(START, 1_500)));
    assert!(!release.is_withdrawn_recently(after(START, 1_600)));
}
