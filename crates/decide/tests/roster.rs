//! Membership as one entry sees it, tested against a reference model.

use std::{
    collections::{BTreeMap, HashSet},
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

use cassiawheel_decide::{EndpointRoster, EntryRoster, PeerEntry, advice::EntryCandidate};
use cassiawheel_model::{
    EndpointReport, EndpointRole, EndpointState, FailureDomain, InstanceId, LoadReport,
    PresetRevision, RegionName, ServiceName, Timestamp, WeightsBasis,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;

fn instance(index: u8) -> InstanceId {
    InstanceId::new(&format!("endpoint-{index}")).expect("a valid id")
}

fn addr() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_001)
}

fn report(index: u8, incarnation: u64) -> EndpointReport {
    EndpointReport {
        instance: instance(index),
        incarnation,
        sequence: 0,
        region: RegionName::new("region").expect("valid"),
        failure_domain: FailureDomain::new("domain").expect("valid"),
        service: ServiceName::new("desk").expect("valid"),
        role: EndpointRole::Plain,
        inner_addr: addr(),
        endpoint_addr: None,
        state: EndpointState::Serving { version: None, generation: 1 },
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

/// Transition of a roster.
#[derive(Debug, Clone)]
enum RosterStep {
    Report { index: u8, incarnation: u64 },
    Leave { index: u8, incarnation: u64 },
    Remove { index: u8, incarnation: u64 },
    PlatformList(Vec<u8>),
    Expire,
}

/// Expected state of a roster: known processes, leave notices and the platform's list.
#[derive(Debug, Clone, Default)]
struct RosterReference {
    members: BTreeMap<u8, u64>,
    left: BTreeMap<u8, u64>,
    listed: HashSet<u8>,
}

impl ReferenceStateMachine for RosterReference {
    type State = Self;
    type Transition = RosterStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<RosterStep> {
        let process = (0_u8..3, 1_u64..4);
        prop_oneof![
            4 => process.clone().prop_map(|(index, incarnation)| RosterStep::Report { index, incarnation }),
            2 => process.clone().prop_map(|(index, incarnation)| RosterStep::Leave { index, incarnation }),
            1 => process.prop_map(|(index, incarnation)| RosterStep::Remove { index, incarnation }),
            1 => prop::collection::vec(0_u8..3, 0..3).prop_map(RosterStep::PlatformList),
            1 => Just(RosterStep::Expire),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &RosterStep) -> Self {
        match step {
            RosterStep::Report { index, incarnation } => {
                let known = state.members.entry(*index).or_default();
                *known = (*known).max(*incarnation);
            }
            RosterStep::Leave { index, incarnation } => {
                let left = state.left.entry(*index).or_default();
                *left = (*left).max(*incarnation);
            }
            RosterStep::Remove { index, incarnation } => {
                if state.members.get(index) == Some(incarnation) {
                    state.members.remove(index);
                }
            }
            RosterStep::PlatformList(listed) => state.listed = listed.iter().copied().collect(),
            RosterStep::Expire => state.members.clear(),
        }
        state
    }
}

/// Roster under test and the time, which advances with each step.
struct RosterTest {
    roster: EndpointRoster,
    now: Timestamp,
}

impl StateMachineTest for RosterTest {
    type SystemUnderTest = Self;
    type Reference = RosterReference;

    fn init_test(_: &RosterReference) -> Self {
        Self { roster: EndpointRoster::default(), now: Timestamp(1_000) }
    }

    fn apply(mut test: Self, reference: &RosterReference, step: RosterStep) -> Self {
        test.now = Timestamp(test.now.0 + 10);
        match step {
            RosterStep::Report { index, incarnation } => {
                test.roster.apply_report(report(index, incarnation), test.now);
            }
            RosterStep::Leave { index, incarnation } => {
                test.roster.mark_leaving(&instance(index), incarnation, test.now);
            }
            RosterStep::Remove { index, incarnation } => {
                test.roster.remove(&instance(index), incarnation);
            }
            RosterStep::PlatformList(listed) => {
                test.roster.set_platform_leaving(listed.into_iter().map(instance).collect());
            }
            RosterStep::Expire => {
                test.roster.expire(Timestamp(test.now.0 + 1), test.now);
            }
        }
        let actual: BTreeMap<_, _> = test
            .roster
            .members()
            .map(|member| {
                let report = &member.report;
                let leaving = test.roster.is_leaving(member);
                (report.instance.clone(), (report.incarnation, leaving))
            })
            .collect();
        let expected: BTreeMap<_, _> = reference
            .members
            .iter()
            .map(|(index, incarnation)| {
                let left = reference.left.get(index).is_some_and(|left| left >= incarnation);
                let leaving = left || reference.listed.contains(index);
                (instance(*index), (*incarnation, leaving))
            })
            .collect();
        assert_eq!(actual, expected);
        test
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..Config::default()
    })]

    /// Guards against leave notices that are lost or outlast their process, while notices overtake
    /// heartbeats, connections end and return, and processes restart. A leaving process would get
    /// new work, or a restarted one none.
    #[test]
    fn leaving_wins_and_ends_with_the_process(sequential 1..40 => RosterTest);
}

fn peer(incarnation: u64, leaving: bool, last_seen: u64) -> PeerEntry {
    let failure_domain = FailureDomain::new("domain").expect("valid");
    let advice =
        EntryCandidate { caller_addr: addr(), failure_domain, region: None, in_flight: 0, leaving };
    let last_seen = Timestamp(last_seen);
    PeerEntry { advice, incarnation, revision: PresetRevision(1), advised: true, last_seen }
}

fn is_advised(roster: &EntryRoster) -> bool {
    roster.values().any(|peer| !peer.advice.leaving)
}

/// Guards against a leave notice that outlasts its process: after a drain and restart, callers
/// would never be advised to use the entry again.
#[test]
fn a_restarted_entry_is_advised_again() {
    let mut roster = EntryRoster::default();
    let entry = instance(0);
    roster.apply_heartbeat(&entry, peer(1, false, 10));
    roster.mark_leaving(&entry, 1, Timestamp(20));
    assert!(!is_advised(&roster));
    roster.apply_heartbeat(&entry, peer(1, false, 30));
    assert!(!is_advised(&roster), "a reordered heartbeat restored the entry");
    roster.apply_heartbeat(&entry, peer(2, false, 40));
    assert!(is_advised(&roster));
}

/// Guards against a leave notice lost in a full queue: the next heartbeat repeats it, or callers
/// would be sent to an entry that is about to stop.
#[test]
fn a_heartbeat_repeats_the_leave_notice() {
    let mut roster = EntryRoster::default();
    roster.apply_heartbeat(&instance(0), peer(1, true, 10));
    assert!(!is_advised(&roster));
}

/// Guards against advising callers to use an entry that has just started and has no preset yet; it
/// would refuse them.
#[test]
fn an_entry_that_is_not_ready_is_not_advised() {
    let mut roster = EntryRoster::default();
    roster.apply_heartbeat(&instance(0), PeerEntry { advised: false, ..peer(1, false, 10) });
    assert!(!is_advised(&roster));
    roster.apply_heartbeat(&instance(0), peer(1, false, 20));
    assert!(is_advised(&roster));
}

/// Guards against routing to an endpoint of unknown state: it was dropped after a silence, and its
/// next heartbeat carries only a load.
#[test]
fn a_load_heartbeat_alone_makes_no_member() {
    let mut roster = EndpointRoster::default();
    let load = LoadReport { in_flight: 3, queued: 1, measured_at: Timestamp(5) };
    assert!(roster.apply_load(&instance(0), 1, load, Timestamp(5)).is_none());
    roster.apply_report(report(0, 1), Timestamp(6));
    assert!(roster.apply_load(&instance(0), 2, load, Timestamp(7)).is_none());
    let known = roster.apply_load(&instance(0), 1, load, Timestamp(8)).map(|report| report.load);
    assert_eq!(known, Some(load));
}

/// Guards against dropping an endpoint that sends load heartbeats but no full report.
#[test]
fn load_heartbeats_keep_a_member() {
    let mut roster = EndpointRoster::default();
    roster.apply_report(report(0, 1), Timestamp(0));
    let load = LoadReport { in_flight: 0, queued: 0, measured_at: Timestamp(50) };
    roster.apply_load(&instance(0), 1, load, Timestamp(50));
    assert!(roster.expire(Timestamp(40), Timestamp(60)).is_empty());
    assert_eq!(roster.expire(Timestamp(51), Timestamp(61)), [instance(0)]);
}

/// Guards against advising callers from outdated data: a frozen entry was dropped, and its next
/// short heartbeat carries neither its address nor its revision.
#[test]
fn a_short_heartbeat_alone_makes_no_entry() {
    let mut roster = EntryRoster::default();
    assert_eq!(roster.touch(&instance(0), 1, 4, Timestamp(5)), None);
    roster.apply_heartbeat(&instance(0), peer(2, false, 10));
    assert_eq!(roster.touch(&instance(0), 1, 4, Timestamp(20)), None);
    assert_eq!(roster.touch(&instance(0), 2, 4, Timestamp(30)), Some(PresetRevision(1)));
    roster.expire(Timestamp(25), Timestamp(40));
    assert_eq!(roster.values().map(|peer| peer.advice.in_flight).collect::<Vec<_>>(), [4]);
}

/// Guards against endpoints that stay in the roster for ever after their agents are gone, and
/// against ignoring one whose agent is connected to another entry.
#[test]
fn an_endpoint_counts_while_its_agent_is_connected_to_some_entry() {
    let mut roster = EndpointRoster::default();
    let names = |roster: &EndpointRoster| -> Vec<_> {
        roster.members().map(|member| member.report.instance.clone()).collect()
    };
    assert!(roster.apply_report(report(0, 1), Timestamp(10)));
    assert!(roster.apply_report(report(1, 1), Timestamp(10)));
    assert!(roster.set_attached(HashSet::from([instance(0)])));
    assert_eq!(names(&roster), [instance(0)]);
    assert!(!roster.set_attached(HashSet::from([instance(0)])), "no change");
    assert!(roster.set_attached(HashSet::from([instance(0), instance(1)])));
    assert_eq!(names(&roster), [instance(0), instance(1)], "its report was kept");
    roster.keep_only(|name| *name == instance(1), |_| false, Timestamp(20));
    assert_eq!(names(&roster), [instance(1)]);
}

/// Guards against weights of a load that was cut short with the agent's process.
#[rstest]
#[case::while_switching(EndpointState::Switching, WeightsBasis::Loaded, true)]
#[case::unproved(EndpointState::Empty, WeightsBasis::Unproved, true)]
#[case::serving(EndpointState::Serving { version: None, generation: 1 }, WeightsBasis::Loaded, false)]
#[case::waiting(EndpointState::Empty, WeightsBasis::Loaded, false)]
fn adopted_weights_are_unproved_after_a_load_that_was_cut_short(
    #[case] state: EndpointState,
    #[case] basis: WeightsBasis,
    #[case] is_unproved: bool,
) {
    let mut roster = EndpointRoster::default();
    roster.apply_report(EndpointReport { state, basis, ..report(0, 1) }, Timestamp(1));
    roster.set_attached(HashSet::new());
    let remembered = roster.routing_reports().count();
    assert_eq!(remembered, usize::from(is_unproved), "the agent is lost");

    let adopted = EndpointReport { basis: WeightsBasis::Adopted, ..report(0, 2) };
    for sequence in 1..3 {
        roster.apply_report(EndpointReport { sequence, ..adopted.clone() }, Timestamp(2));
        roster.set_attached([instance(0)].into());
        let known = roster.member(&instance(0)).map(|member| member.report.is_unproved());
        assert_eq!(known, Some(is_unproved));
    }
    roster.apply_report(EndpointReport { sequence: 3, ..report(0, 2) }, Timestamp(3));
    assert!(roster.member(&instance(0)).is_some_and(|member| !member.report.is_unproved()));
}

/// Guards against a load that was cut short and is forgotten while its engine still runs.
#[rstest]
fn a_lost_agent_is_remembered_during_a_load_while_its_engine_is_listed(
    #[values(true, false)] is_loading: bool,
    #[values(true, false)] is_listed: bool,
) {
    let mut roster = EndpointRoster::default();
    let basis = if is_loading { WeightsBasis::Unproved } else { WeightsBasis::Loaded };
    let last = EndpointReport { basis, endpoint_addr: Some(addr()), ..report(0, 1) };
    roster.apply_report(last, Timestamp(1));
    roster.set_attached(HashSet::new());
    roster.keep_only(|_| false, |listed| is_listed && listed == addr(), Timestamp(200_000));
    assert_eq!(roster.routing_reports().count() == 1, is_loading && is_listed);
}
