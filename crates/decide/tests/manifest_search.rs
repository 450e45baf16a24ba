//! Agents that search for a manifest, with an origin that admits few connections.

use std::collections::BTreeMap;

use cassiawheel_decide::{AgentLocation, ManifestSearch, SearchStep, chunk_peers};
use cassiawheel_model::{Deadline, InstanceId, RegionName, Timestamp};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

const START: u64 = 1_000_000;

/// Connection limit of the origin.
const MAX_CONNECTIONS: usize = 48;

/// Duration of a read from an idle origin, in milliseconds.
const READ_MS: u64 = 20;

/// Transmission time of a manifest on the origin's link, in milliseconds.
const SEND_MS: u64 = 3;

/// Timeout of a read from an unresponsive origin, in milliseconds.
const READ_LIMIT_MS: u64 = 1_000;

/// Duration of a request to another agent, with its connection, in milliseconds.
const PEER_REQUEST_MS: u64 = 10;

/// Timeout of a request to an unresponsive agent, in milliseconds.
const PEER_REQUEST_LIMIT_MS: u64 = 500;

/// Time until entries remove a silent agent from the list, in milliseconds.
const EXPIRY_MS: u64 = 1_500;

/// Fault of the origin, until it recovers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OriginFault {
    None,
    /// The origin refuses connections.
    Away,
    /// The origin accepts connections and sends nothing.
    Silent,
}

/// Current activity of an agent.
enum Activity {
    Idle(u64),
    Reading { began: u64, ends: u64, succeeds: bool, holds_connection: bool },
    Asking { ends: u64, others: Vec<InstanceId> },
}

struct Simulation {
    fault: OriginFault,
    /// When the fault ends.
    until: u64,
    /// Agents that never respond.
    failed: Vec<usize>,
    /// When the agents discover each other.
    discovered_at: u64,
    link_free_at: u64,
    reads: usize,
    rejected: usize,
    most_open: usize,
}

/// Result of a simulation.
struct Outcome {
    /// When each agent received the manifest, in milliseconds after the order.
    found_ms: Vec<u64>,
    reads: usize,
    rejected: usize,
    most_open: usize,
}

fn name(index: usize) -> InstanceId {
    InstanceId::new(&format!("side-{index}")).expect("valid")
}

/// The peers known to each agent, in regions of equal size.
fn known(agents: usize, regions: usize) -> Vec<Vec<InstanceId>> {
    let names: Vec<_> = (0..agents).map(name).collect();
    let regions: Vec<_> =
        (0..regions).map(|r| RegionName::new(&format!("region-{r}")).expect("valid")).collect();
    let location = |index: usize| AgentLocation {
        instance: names[index].as_str(),
        region: &regions[index % regions.len()],
    };
    let all: Vec<_> = (0..agents).map(location).collect();
    let of = |index: usize| {
        let chosen = chunk_peers(location(index), &all).into_iter();
        chosen.map(|name| InstanceId::new(name).expect("valid")).collect()
    };
    (0..agents).map(of).collect()
}

fn play(agents: usize, seed: u64, mut play: Simulation) -> Outcome {
    let known = known(agents, 3);
    let index_of: BTreeMap<_, _> = (0..agents).map(|index| (name(index), index)).collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let search = |index| ManifestSearch::new(name(index), "a-digest", Timestamp(START));
    let mut searches: Vec<_> = (0..agents).map(search).collect();
    let mut activities: Vec<_> = (0..agents).map(|_| Activity::Idle(0)).collect();
    let mut found: Vec<Option<u64>> = vec![None; agents];
    let alive: Vec<_> = (0..agents).filter(|index| !play.failed.contains(index)).collect();
    let mut listed = vec![Vec::new(); agents];
    for ms in 0..60_000 {
        if ms == play.discovered_at {
            listed.clone_from(&known);
        }
        if ms == EXPIRY_MS {
            let is_alive = |other: &InstanceId| !play.failed.contains(&index_of[other]);
            listed.iter_mut().for_each(|known| known.retain(is_alive));
        }
        let now = Timestamp(START + ms);
        for index in alive.iter().copied() {
            let ended = match &activities[index] {
                Activity::Idle(until) | Activity::Reading { ends: until, .. } => ms >= *until,
                Activity::Asking { ends, .. } => ms >= *ends,
            };
            if found[index].is_some() || !ended {
                continue;
            }
            match std::mem::replace(&mut activities[index], Activity::Idle(0)) {
                Activity::Idle(_) => {}
                Activity::Reading { succeeds: true, .. } => found[index] = Some(ms),
                Activity::Reading { began, .. } => {
                    let asked_at = Timestamp(START + began);
                    searches[index].origin_failed(asked_at, None, listed[index].len(), now);
                }
                Activity::Asking { others, .. } => {
                    let holds = |other: &InstanceId| found[index_of[other]].is_some();
                    found[index] = others.iter().any(holds).then_some(ms);
                }
            }
            if found[index].is_some() {
                continue;
            }
            activities[index] = match searches[index].next(&listed[index], now, &mut rng) {
                SearchStep::Origin => play.read(ms, &activities),
                SearchStep::Peers(others) => {
                    let has_failed = |other: &InstanceId| play.failed.contains(&index_of[other]);
                    let holds = |other: &InstanceId| found[index_of[other]].is_some();
                    let is_slow = others.iter().any(has_failed) && !others.iter().any(holds);
                    let ends = ms + if is_slow { PEER_REQUEST_LIMIT_MS } else { PEER_REQUEST_MS };
                    Activity::Asking { ends, others }
                }
                SearchStep::Wait(until) => Activity::Idle((until.0 - START).max(ms + 1)),
            };
        }
        if alive.iter().all(|index| found[*index].is_some()) {
            break;
        }
    }
    Outcome {
        found_ms: alive.iter().map(|index| found[*index].expect("found in time")).collect(),
        reads: play.reads,
        rejected: play.rejected,
        most_open: play.most_open,
    }
}

impl Simulation {
    fn new(fault: OriginFault, until: u64, failed: Vec<usize>) -> Self {
        let (link_free_at, reads, rejected, most_open) = (0, 0, 0, 0);
        Self { fault, until, failed, discovered_at: 0, link_free_at, reads, rejected, most_open }
    }

    fn read(&mut self, ms: u64, activities: &[Activity]) -> Activity {
        self.reads += 1;
        let holds = |one: &&Activity| matches!(one, Activity::Reading { holds_connection: true, ends, .. } if *ends > ms);
        let open = activities.iter().filter(holds).count() + 1;
        let fault = if ms < self.until { self.fault } else { OriginFault::None };
        if fault == OriginFault::Away || open > MAX_CONNECTIONS {
            self.rejected += usize::from(open > MAX_CONNECTIONS);
            return Activity::Reading {
                began: ms,
                ends: ms + 2,
                succeeds: false,
                holds_connection: false,
            };
        }
        self.most_open = self.most_open.max(open);
        if fault == OriginFault::Silent {
            return Activity::Reading {
                began: ms,
                ends: ms + READ_LIMIT_MS,
                succeeds: false,
                holds_connection: true,
            };
        }
        self.link_free_at = self.link_free_at.max(ms) + SEND_MS;
        let ends = self.link_free_at + READ_MS;
        Activity::Reading { began: ms, ends, succeeds: true, holds_connection: true }
    }
}

/// Guards against all agents reading the manifest at once. An origin with 48 connections
/// reset 52 of 99 agents, and the others occupied its link for 0.3 s before the first chunk.
/// At most a quarter of the connections may be in use, so that three power losses with
/// half-open connections do not exhaust them.
#[rstest]
#[case(99, 1)]
#[case(99, 2)]
#[case(300, 3)]
fn a_few_agents_read_and_serve_the_others(#[case] agents: usize, #[case] seed: u64) {
    let outcome = play(agents, seed, Simulation::new(OriginFault::None, 0, Vec::new()));
    assert!(outcome.reads <= MAX_CONNECTIONS / 4, "{} reads", outcome.reads);
    assert!(outcome.most_open <= MAX_CONNECTIONS / 4, "{} connections", outcome.most_open);
    let last = outcome.found_ms.iter().max().expect("agents");
    assert!(*last <= 600, "the last agent has the manifest after {last} ms");
}

/// Guards against agents that exhaust the connections of an origin that is down or
/// unresponsive, so that most are reset after its recovery while engines serve nothing.
#[rstest]
#[case(OriginFault::Away, 4)]
#[case(OriginFault::Silent, 5)]
#[case(OriginFault::Silent, 6)]
fn an_unavailable_origin_is_not_overloaded(#[case] fault: OriginFault, #[case] seed: u64) {
    let until = 6_000;
    let outcome = play(99, seed, Simulation::new(fault, until, Vec::new()));
    assert!(outcome.most_open <= MAX_CONNECTIONS / 4, "{} connections", outcome.most_open);
    assert_eq!(outcome.rejected, 0);
    let last = outcome.found_ms.iter().max().expect("agents");
    assert!(*last <= until + 2_000, "the last agent has the manifest after {last} ms");
}

/// If the agents with the first ranks are gone but still listed, the others read the origin
/// one after another following a short wait.
#[test]
fn the_next_agents_read_when_the_first_have_failed() {
    let mut ranked: Vec<_> = (0..99).collect();
    let subject = cassiawheel_decide::rank::subject_of("a-digest");
    let weight =
        |index: &usize| cassiawheel_decide::rank::rendezvous_weight(subject, name(*index).as_str());
    ranked.sort_by_key(|index| std::cmp::Reverse(weight(index)));
    ranked.truncate(20);
    let outcome = play(99, 7, Simulation::new(OriginFault::None, 0, ranked));
    let last = outcome.found_ms.iter().max().expect("agents");
    assert!(*last <= 2_500, "the last agent has the manifest after {last} ms");
    assert!(outcome.most_open <= MAX_CONNECTIONS / 4, "{} connections", outcome.most_open);
}

/// Guards against simultaneous reads of all processes that restart after a power loss and do
/// not know each other yet. A second power loss would leave that many half-open connections.
#[rstest]
#[case(45, 8)]
#[case(99, 9)]
fn processes_without_peers_spread_their_reads(#[case] agents: usize, #[case] seed: u64) {
    let mut start = Simulation::new(OriginFault::None, 0, Vec::new());
    start.discovered_at = 300;
    let outcome = play(agents, seed, start);
    assert!(outcome.most_open <= MAX_CONNECTIONS / 4, "{} connections", outcome.most_open);
    let last = outcome.found_ms.iter().max().expect("agents");
    assert!(*last <= 1_000, "the last one has the manifest after {last} ms");
}

/// A process without peers reads the origin soon, and honours the time that the origin asks
/// it to wait.
#[test]
fn a_process_alone_reads_the_origin() {
    let mut rng = SmallRng::seed_from_u64(8);
    let mut search = ManifestSearch::new(name(0), "a-digest", Timestamp(START));
    let now = Timestamp(START + 400);
    assert_eq!(search.next(&[], now, &mut rng), SearchStep::Origin);
    let until = Deadline(START + 5_000);
    search.origin_failed(now, Some(until), 0, now);
    assert_eq!(search.next(&[], now, &mut rng), SearchStep::Wait(until));
}
