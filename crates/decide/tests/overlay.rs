//! Gossip over a bounded number of links, simulated in rounds without a network.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
};

use cassiawheel_decide::{
    EntryLocation, EntrySelector, FeedRole, FloodFilter, GossipStore, LinkCursor, LinkId,
    far_link_rank, feed_role, links_to_dial, rank::subject_of, reachable_entries,
};
use cassiawheel_model::{
    EntryRecord, FailureDomain, InstanceId, LoadRecord, RegionName, Timestamp,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use rstest::rstest;

/// Delay of one message over a link, in milliseconds.
const ROUND_MS: u64 = 25;
/// Number of rounds within which a change reaches all entries.
const KNOWN_ROUNDS: usize = 12;
/// Number of regions in the large deployments.
const REGIONS: usize = 5;

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, (index / 200) as u8, (index % 200) as u8), 8_000))
}

fn name(index: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{index}")).expect("valid")
}

fn region(index: usize) -> RegionName {
    RegionName::new(&format!("region-{index}")).expect("valid")
}

/// An entry with its links by the peer's index.
struct Process {
    store: GossipStore,
    links: BTreeMap<usize, LinkCursor>,
    sequence: u64,
    sent: u64,
}

/// All entries and the state of the simulation.
struct Fleet {
    locations: Vec<EntryLocation>,
    processes: Vec<Process>,
    dead: BTreeSet<usize>,
    now: Timestamp,
    rng: SmallRng,
    /// Probability that a queue is full and the message is sent with the next one.
    full: f64,
}

impl Fleet {
    fn new(entries: usize, regions: usize, seed: u64) -> Self {
        let location =
            |index| EntryLocation { inner_addr: addr(index), region: region(index % regions) };
        let process = |_| Process {
            store: GossipStore::default(),
            links: BTreeMap::new(),
            sequence: 0,
            sent: 0,
        };
        let mut fleet = Self {
            locations: (0..entries).map(location).collect(),
            processes: (0..entries).map(process).collect(),
            dead: BTreeSet::new(),
            now: Timestamp(10_000),
            rng: SmallRng::seed_from_u64(seed),
            full: 0.05,
        };
        fleet.relink();
        fleet
    }

    /// Creates the links that the live entries choose once all of them know each other.
    fn relink(&mut self) {
        let living: Vec<_> =
            (0..self.locations.len()).filter(|index| !self.dead.contains(index)).collect();
        let locations: Vec<_> = living.iter().map(|index| self.locations[*index].clone()).collect();
        for index in living {
            for chosen in links_to_dial(&self.locations[index], &locations) {
                let other =
                    self.locations.iter().position(|p| p.inner_addr == chosen).expect("known");
                self.processes[index].links.entry(other).or_default();
                self.processes[other].links.entry(index).or_default();
            }
        }
        self.refresh_records();
    }

    fn refresh_records(&mut self) {
        for index in 0..self.processes.len() {
            if !self.dead.contains(&index) {
                self.refresh_record(index);
            }
        }
    }

    fn refresh_record(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.sequence += 1;
        let record = EntryRecord {
            instance: name(index),
            incarnation: 1,
            sequence: process.sequence,
            region: self.locations[index].region.clone(),
            failure_domain: FailureDomain::new("hall").expect("valid"),
            inner_addr: addr(index),
            caller_addr: addr(index),
            leaving: false,
            advised: true,
            follows_rows: true,
            neighbours: process.links.keys().map(|other| name(*other)).collect(),
            agents: Vec::new(),
        };
        process.store.merge_record(record, None, self.now);
    }

    /// Every live entry sends its changes to each neighbour.
    fn round(&mut self) {
        let mut messages = Vec::new();
        for index in 0..self.processes.len() {
            if self.dead.contains(&index) {
                continue;
            }
            let full = self.full;
            let process = &mut self.processes[index];
            for (other, cursor) in &mut process.links {
                let link = *other as LinkId;
                let due = process.store.state_since(*cursor, link, |_| true);
                let (records, next) = (due.records, due.cursor);
                let (loads, next) = process.store.loads_since(next, link, self.now);
                if self.rng.random_bool(full) {
                    continue;
                }
                *cursor = next;
                if !records.is_empty() || !loads.is_empty() {
                    process.sent += 1;
                    messages.push((index, *other, records, loads));
                }
            }
        }
        self.now = Timestamp(self.now.0 + ROUND_MS);
        for (from, to, records, loads) in messages {
            if self.dead.contains(&to) {
                continue;
            }
            let store = &mut self.processes[to].store;
            for record in records {
                store.merge_record(record, Some(from as LinkId), self.now);
            }
            for row in loads {
                let row = LoadRecord { age_ms: row.age_ms + ROUND_MS as u32, ..row };
                store.merge_load(row, ROUND_MS, Some(from as LinkId), self.now);
            }
        }
    }

    /// Entries that the one at `index` sees as present.
    fn present(&self, index: usize) -> BTreeSet<InstanceId> {
        let own = name(index);
        reachable_entries(&own, self.processes[index].store.records())
            .into_iter()
            .cloned()
            .collect()
    }

    /// Stops processes; their neighbours notice.
    fn kill(&mut self, killed: &[usize]) {
        self.dead.extend(killed);
        for index in 0..self.processes.len() {
            let dead = &self.dead;
            self.processes[index].links.retain(|other, _| !dead.contains(other));
        }
        self.refresh_records();
    }

    fn degrees(&self) -> impl Iterator<Item = usize> {
        self.processes.iter().map(|process| process.links.len())
    }

    fn living(&self) -> BTreeSet<InstanceId> {
        (0..self.locations.len()).filter(|index| !self.dead.contains(index)).map(name).collect()
    }

    fn assert_all_see(&self, living: &BTreeSet<InstanceId>) {
        for index in (0..self.processes.len()).filter(|index| !self.dead.contains(index)) {
            assert_eq!(&self.present(index), living, "as entry {index} sees it");
        }
    }
}

/// Guards against entries that remain unknown to some others, and against links that grow with the
/// number of entries.
#[rstest]
#[case::one_region(9, 1, 4)]
#[case::small(9, 3, 8)]
#[case::grown(45, 3, 8)]
#[case::large(149, REGIONS, 10)]
#[case::target(370, 2, 12)]
fn every_entry_is_seen_by_all_over_few_links(
    #[case] entries: usize,
    #[case] regions: usize,
    #[case] most_links: usize,
) {
    for seed in 0..3 {
        let mut fleet = Fleet::new(entries, regions, seed);
        let most = fleet.degrees().max().expect("some");
        assert!(most <= most_links, "{most} links at one of {entries} entries");
        (0..KNOWN_ROUNDS).for_each(|_| fleet.round());
        fleet.assert_all_see(&fleet.living());
    }
}

/// Guards against advising callers to use entries that died together with most of their neighbours.
#[rstest]
#[case::a_sixth(6)]
#[case::half(2)]
fn dead_entries_are_gone_and_the_rest_stays_connected(#[case] one_in: usize) {
    for seed in 0..8 {
        let mut fleet = Fleet::new(149, REGIONS, seed);
        (0..KNOWN_ROUNDS).for_each(|_| fleet.round());
        let mut rng = SmallRng::seed_from_u64(seed);
        let killed = (0..149).choose_multiple(&mut rng, 149 / one_in);
        fleet.kill(&killed);
        fleet.relink();
        (0..KNOWN_ROUNDS).for_each(|_| fleet.round());
        fleet.assert_all_see(&fleet.living());
    }
}

/// Guards against a region that is cut off but still counts as present, or that does not rejoin.
#[test]
fn a_region_that_is_cut_off_is_absent_until_it_returns() {
    let mut fleet = Fleet::new(45, 3, 1);
    (0..KNOWN_ROUNDS).for_each(|_| fleet.round());
    let cut = |index: usize| index % 3 == 2;
    for index in 0..45 {
        fleet.processes[index].links.retain(|other, _| cut(*other) == cut(index));
    }
    fleet.refresh_records();
    (0..KNOWN_ROUNDS).for_each(|_| fleet.round());
    for index in 0..45 {
        let side = (0..45).filter(|other| cut(*other) == cut(index)).map(name).collect();
        assert_eq!(fleet.present(index), side, "as entry {index} sees it");
    }
    fleet.relink();
    (0..KNOWN_ROUNDS).for_each(|_| fleet.round());
    fleet.assert_all_see(&fleet.living());
}

/// Guards against control messages that grow with the number of processes.
#[test]
fn messages_for_loads_stay_flat_from_100_to_370_entries() {
    let sent_each = |entries: usize, regions: usize| {
        let mut fleet = Fleet::new(entries, regions, 7);
        (0..KNOWN_ROUNDS).for_each(|_| fleet.round());
        let before: u64 = fleet.processes.iter().map(|process| process.sent).sum();
        for step in 0..40 {
            for index in 0..entries {
                let instance_hash = subject_of(name(index).as_str());
                let row = LoadRecord { instance_hash, load: step, age_ms: 0 };
                let now = fleet.now;
                fleet.processes[index].store.merge_load(row, 0, None, now);
            }
            fleet.round();
        }
        let after: u64 = fleet.processes.iter().map(|process| process.sent).sum();
        (after - before) as f64 / entries as f64
    };
    let (hundred, large) = (sent_each(100, REGIONS), sent_each(149, REGIONS));
    assert!(large <= hundred * 1.2, "{hundred:.0} messages each at 100 entries, {large:.0} at 149");
    let target = sent_each(370, 2);
    assert!(
        target <= hundred * 2.0,
        "{hundred:.0} messages each at 100 entries, {target:.0} at 370"
    );
}

/// Guards against a message that is forwarded for ever, and against a message of an earlier process
/// that counts as one of the current process.
#[test]
fn a_message_is_passed_on_once() {
    let origin = name(1);
    let mut filter = FloodFilter::default();
    assert!(filter.insert(&origin, 5, 10));
    assert!(!filter.insert(&origin, 5, 10), "a repetition");
    assert!(filter.insert(&origin, 5, 8), "overtaken by a later one");
    assert!(!filter.insert(&origin, 5, 8));
    assert!(!filter.insert(&origin, 4, 11), "of an earlier process");
    assert!(filter.insert(&origin, 5, 200));
    assert!(!filter.insert(&origin, 5, 12), "older than the window");
    assert!(filter.insert(&origin, 6, 1), "of a later process");
}

/// Guards against a load that returns over another path and counts as new.
#[test]
fn an_older_load_does_not_replace_a_newer_one() {
    let mut store = GossipStore::default();
    let instance_hash = subject_of(name(1).as_str());
    let row = |load, age_ms| LoadRecord { instance_hash, load, age_ms };
    assert!(store.merge_load(row(3, 0), 40, None, Timestamp(1_000)));
    assert!(!store.merge_load(row(9, 60), 40, Some(2), Timestamp(1_050)), "measured before");
    assert!(!store.merge_load(row(9, 30), 40, Some(2), Timestamp(1_050)), "the same one");
    assert_eq!(store.load_of(&name(1), Timestamp(1_050)), Some(3));
    assert!(store.merge_load(row(5, 0), 40, Some(2), Timestamp(1_200)));
    assert_eq!(store.load_of(&name(1), Timestamp(1_250)), Some(5));
    assert_eq!(store.load_of(&name(1), Timestamp(9_000)), None, "the load is outdated");
}

/// Guards against agents that all connect to the same entries, or keep choosing unreachable ones.
#[test]
fn agents_spread_over_the_entries_and_pass_lost_ones_over() {
    let mut agent_counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for agent in 0..300 {
        let subject = subject_of(&format!("agent-{agent}"));
        let mut selector = EntrySelector::default();
        selector.set_candidates((0..30).map(addr).collect());
        let chosen = selector.select(subject, 4, Timestamp(0));
        assert_eq!(chosen.len(), 4);
        selector.avoid(chosen[0], Timestamp(0));
        let next = selector.select(subject, 4, Timestamp(10));
        assert_eq!(next[..3], chosen[1..], "the next in rank takes its place");
        assert_eq!(selector.select(subject, 4, Timestamp(9_000)), chosen, "it is tried again");
        chosen.into_iter().for_each(|addr| *agent_counts.entry(addr).or_default() += 1);
    }
    let most = agent_counts.values().max().expect("some");
    assert!(agent_counts.len() == 30 && *most <= 80, "{most} of 300 agents at one entry");
}

/// Guards against entries that all call the table service, and against rows that no entry reads
/// while the service rejects some or all entries.
#[test]
fn a_few_entries_follow_the_rows_for_all() {
    let mut fleet = Fleet::new(45, 3, 1);
    (0..KNOWN_ROUNDS).for_each(|_| fleet.round());
    let mut records: Vec<_> = fleet.processes[0].store.records().cloned().collect();
    let roles = |records: &[EntryRecord]| -> Vec<_> {
        let present: Vec<_> = records.iter().collect();
        records.iter().map(|record| feed_role(&record.instance, &present)).collect()
    };
    let count = |roles: &[FeedRole], role| roles.iter().filter(|other| **other == role).count();
    let initial = roles(&records);
    assert!((3..=5).contains(&count(&initial, FeedRole::Follow)), "{initial:?}");
    let first = initial.iter().position(|role| *role == FeedRole::Follow).expect("one");
    records[first].follows_rows = false;
    let rejected = roles(&records);
    assert_eq!(rejected[first], FeedRole::Probe);
    assert!((3..=5).contains(&count(&rejected, FeedRole::Follow)), "{rejected:?}");
    records.iter_mut().for_each(|record| record.follows_rows = false);
    assert_eq!(roles(&records), initial, "with all rejected, the same entries continue");
}

/// Guards against an entry that waits for others of its region before it requests a preset from
/// another region, although they have no link there.
#[test]
fn only_entries_with_a_link_to_another_region_rank_for_it() {
    let record = |(index, region, neighbours): (usize, &str, &[usize])| EntryRecord {
        instance: name(index),
        incarnation: 1,
        sequence: 1,
        region: RegionName::new(region).expect("valid"),
        failure_domain: FailureDomain::new("hall").expect("valid"),
        inner_addr: addr(index),
        caller_addr: addr(index),
        leaving: false,
        advised: true,
        follows_rows: true,
        neighbours: neighbours.iter().map(|other| name(*other)).collect(),
        agents: Vec::new(),
    };
    let west =
        [(0, "west", &[1][..]), (1, "west", &[0, 2]), (2, "west", &[1, 4]), (3, "west", &[4])];
    let records: Vec<_> = west.into_iter().chain([(4, "east", &[2, 3][..])]).map(record).collect();
    let present: Vec<_> = records.iter().collect();
    let ranks: Vec<_> = (0..5).map(|index| far_link_rank(&name(index), &present)).collect();
    assert_eq!(ranks, [0, 0, 0, 1, 0]);
}
