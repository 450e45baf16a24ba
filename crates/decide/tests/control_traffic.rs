//! Volume and frequency of the messages from agents to entries and to each other.

use std::collections::{BTreeMap, BTreeSet};

use cassiawheel_decide::{AgentLocation, LoadSchedule, ResyncSchedule, SentReport, chunk_peers};
use cassiawheel_model::{
    EndpointReport, EndpointRole, EndpointState, FailureDomain, InstanceId, LoadReport,
    ManifestDigest, ModelVersion, PresetRevision, RegionName, ServiceName, StagedWeights,
    Timestamp,
};
use rstest::rstest;

const START: Timestamp = Timestamp(1_000_000);

fn at(ms: u64) -> Timestamp {
    Timestamp(START.0 + ms)
}

fn staged(ready: u32) -> StagedWeights {
    StagedWeights {
        version: ModelVersion::new("v2").expect("valid"),
        manifest: ManifestDigest::of(b"wanted"),
        chunks_ready: ready,
        chunks_total: 48,
    }
}

fn report(ready: u32, in_flight: u32) -> EndpointReport {
    EndpointReport {
        instance: InstanceId::new("endpoint-1").expect("valid"),
        incarnation: 1,
        sequence: 0,
        region: RegionName::new("region").expect("valid"),
        failure_domain: FailureDomain::new("domain").expect("valid"),
        service: ServiceName::new("desk").expect("valid"),
        role: EndpointRole::Model,
        inner_addr: "127.0.0.1:7003".parse().expect("valid"),
        endpoint_addr: None,
        state: EndpointState::Empty,
        staged: Some(staged(ready)),
        load: LoadReport { in_flight, queued: 0, measured_at: START },
        revision: PresetRevision(1),
        order: 3,
        ordered: None,
        engine_fencing: 0,
        limit: 8,
        layers: None,
        basis: Default::default(),
    }
}

/// Guards against full reports at every heartbeat while a version is fetched and the number of
/// chunks changes each time. From a hundred endpoints they saturate the links that also carry the
/// chunks, and callers see slow answers.
#[test]
fn progress_alone_is_sent_once_a_second() {
    let sent = SentReport::new(report(3, 0), START);
    assert!(sent.covers(&report(9, 5), at(200)));
    assert!(sent.covers(&report(40, 5), at(900)));
    assert!(!sent.covers(&report(44, 5), at(1_001)));
}

/// Guards against late reports of the last chunk or of a state change. Entries plan and route by
/// them, so they are sent at the next heartbeat.
#[test]
fn changes_that_entries_act_on_are_sent_at_once() {
    let sent = SentReport::new(report(47, 0), START);
    assert!(!sent.covers(&report(48, 0), at(200)));
    let state = EndpointState::Switching;
    assert!(!sent.covers(&EndpointReport { state, ..report(47, 0) }, at(200)));
    assert!(!sent.covers(&EndpointReport { order: 4, ..report(47, 0) }, at(200)));
    let other = StagedWeights { manifest: ManifestDigest::of(b"other"), ..staged(2) };
    assert!(!sent.covers(&EndpointReport { staged: Some(other), ..report(47, 0) }, at(200)));
}

/// A load changes at every heartbeat and never requires a full report.
#[test]
fn a_load_alone_needs_no_whole_report() {
    let sent = SentReport::new(report(48, 0), START);
    assert!(sent.covers(&report(48, 7), at(60_000)));
}

/// An entry of another region requests fewer load reports; by default, one is sent with every
/// heartbeat.
#[rstest]
#[case(LoadSchedule::every_heartbeat(), 10)]
#[case(LoadSchedule::every(600, START), 3)]
fn loads_follow_the_schedule_of_the_entry(
    #[case] mut schedule: LoadSchedule,
    #[case] expected: usize,
) {
    let heartbeats = (1..=10).map(|beat| at(beat * 200));
    assert_eq!(heartbeats.filter(|now| schedule.take_due(*now)).count(), expected);
}

/// Guards against full lists at every heartbeat: a hundred agents would send ten thousand lists.
/// Two resends within two seconds are enough to count as alive.
#[test]
fn a_list_is_repeated_now_and_then_if_nothing_was_missed() {
    let mut schedule = ResyncSchedule::new(START);
    schedule.record_send(true);
    let heartbeats = (1..=10).map(|beat| at(beat * 200));
    assert_eq!(heartbeats.filter(|now| schedule.take_due(*now)).count(), 2);
}

/// Guards against a chunk announcement dropped by a full queue. Until the list is resent, no peer
/// fetches the chunk there, and if it is the only copy, the version is blocked everywhere.
#[test]
fn a_list_is_repeated_at_once_after_a_full_queue() {
    let mut schedule = ResyncSchedule::new(START);
    schedule.record_send(false);
    schedule.record_send(true);
    assert!(schedule.take_due(at(1)));
    assert!(!schedule.take_due(at(2)));
}

struct Fleet {
    agents: Vec<(String, RegionName)>,
}

impl Fleet {
    fn new(per_region: usize, regions: usize) -> Self {
        let name = |region: usize| RegionName::new(&format!("region-{region}")).expect("valid");
        let agents = (0..regions).flat_map(|region| {
            (0..per_region).map(move |index| (format!("agent-{region}-{index}"), name(region)))
        });
        Self { agents: agents.collect() }
    }

    fn locations(&self) -> Vec<AgentLocation<'_>> {
        let location = |(instance, region)| AgentLocation { instance, region };
        self.agents.iter().map(|(instance, region)| location((instance.as_str(), region))).collect()
    }
}

/// Guards against agents of a region that know different names. Each agent computes from them which
/// agent fetches a chunk from the origin or imports it; with different names, both or neither would
/// fetch it.
#[test]
fn all_agents_of_a_region_are_peers() {
    let fleet = Fleet::new(33, 3);
    let agents = fleet.locations();
    for agent in &agents {
        let peers: BTreeSet<_> = chunk_peers(*agent, &agents).into_iter().collect();
        let near = agents.iter().filter(|other| other.region == agent.region);
        for other in near.filter(|other| other.instance != agent.instance) {
            assert!(peers.contains(other.instance));
        }
        assert!(!peers.contains(agent.instance));
    }
}

/// Guards against traffic between regions that grows with the square of the number of agents, and
/// against agents that are peers of none or of all agents of other regions.
#[test]
fn few_agents_of_other_regions_are_peers() {
    let fleet = Fleet::new(33, 3);
    let agents = fleet.locations();
    let mut known_by: BTreeMap<&str, usize> = BTreeMap::new();
    for agent in &agents {
        let peers = chunk_peers(*agent, &agents);
        let far = peers
            .iter()
            .filter(|name| agents.iter().any(|p| p.instance == **name && p.region != agent.region));
        let far: Vec<_> = far.collect();
        assert_eq!(far.len(), 12);
        for name in far {
            *known_by.entry(name).or_default() += 1;
        }
    }
    assert_eq!(known_by.len(), agents.len());
    assert!(known_by.values().all(|count| *count <= 30), "{known_by:?}");
}
