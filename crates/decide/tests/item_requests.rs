//! Entries that start together exchange their records over several links each.
//!
//! Counts what every entry receives, at sizes up to two thousand entries.

use std::collections::{BTreeSet, VecDeque};

use cassiawheel_decide::{
    DueState, GossipStore, ItemRequests, LinkCursor, gossip::record_version, rank::subject_of,
};
use cassiawheel_model::{
    EntryRecord, FailureDomain, InstanceId, ItemVersion, RegionName, Timestamp,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

/// Number of due items up to which they are sent instead of offered.
const MAX_EAGER_ITEMS: usize = 2;
const ROUND_MS: u64 = 20;
/// Versions that each entry publishes of its record while the fleet starts.
const VERSIONS: u64 = 4;
/// Rounds in which the versions are published.
const START_ROUNDS: u64 = 100;

fn record(index: usize, sequence: u64) -> EntryRecord {
    EntryRecord {
        instance: InstanceId::new(&format!("entry-{index}")).expect("valid"),
        incarnation: 1,
        sequence,
        region: RegionName::new("region").expect("valid"),
        failure_domain: FailureDomain::new("hall").expect("valid"),
        inner_addr: "10.0.0.1:7000".parse().expect("valid"),
        caller_addr: "10.0.0.1:8000".parse().expect("valid"),
        leaving: false,
        advised: true,
        follows_rows: true,
        neighbours: Vec::new(),
        agents: Vec::new(),
    }
}

#[derive(Default)]
struct Message {
    records: Vec<EntryRecord>,
    offers: Vec<ItemVersion>,
    wanted: Vec<u64>,
}

/// A link from one entry to another; the number is its index at the sender.
struct Link {
    peer: usize,
    /// Index of the same link at the peer.
    reverse: u64,
    cursor: LinkCursor,
    requested: Vec<u64>,
    in_flight: VecDeque<(u64, Message)>,
}

#[derive(Default)]
struct Entry {
    store: GossipStore,
    requests: ItemRequests,
    links: Vec<Link>,
    received: usize,
}

/// Entries in a ring with chords to the entries 3, 9, 27, ... positions further.
fn fleet(count: usize) -> Vec<Entry> {
    let mut entries: Vec<Entry> = (0..count).map(|_| Entry::default()).collect();
    let steps = std::iter::successors(Some(1), |step| Some(step * 3));
    for step in steps.take_while(|step| step * 2 <= count) {
        for from in 0..count {
            let to = (from + step) % count;
            let numbers = [entries[from].links.len() as u64, entries[to].links.len() as u64];
            let link = |peer, reverse| Link {
                peer,
                reverse,
                cursor: LinkCursor::default(),
                requested: Vec::new(),
                in_flight: VecDeque::new(),
            };
            entries[from].links.push(link(to, numbers[1]));
            entries[to].links.push(link(from, numbers[0]));
        }
    }
    entries
}

impl Entry {
    fn send(&mut self, link: usize, offers: bool, now: Timestamp) -> Message {
        let number = link as u64;
        let cursor = self.links[link].cursor;
        let is_small = self.store.due_count(cursor, number) <= MAX_EAGER_ITEMS;
        let DueState { mut records, offers, cursor, .. } =
            self.store.state_since(cursor, number, |_| is_small || !offers);
        let requested = std::mem::take(&mut self.links[link].requested);
        records.extend(self.store.items(&requested).0);
        self.links[link].cursor = cursor;
        Message { records, offers, wanted: self.requests.due(number, now) }
    }

    fn receive(&mut self, link: u64, message: Message, now: Timestamp) {
        for offer in message.offers {
            if self.store.lacks(offer, link) {
                self.requests.offer(offer, link);
            }
        }
        self.links[link as usize].requested.extend(message.wanted);
        for record in message.records {
            self.received += 1;
            self.requests.received(record_version(&record));
            self.store.merge_record(record, Some(link), now);
        }
    }
}

/// Plays the start of `count` entries; returns how many records each received on average and the
/// round after which all had the newest record of every other one.
fn play(count: usize, offers: bool, lost_percent: u32, seed: u64) -> (f64, u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut entries = fleet(count);
    let mut published = vec![0_u64; count];
    let mut done = None;
    for round in 0..START_ROUNDS * 4 {
        let now = Timestamp(1_000_000 + round * ROUND_MS);
        for (index, entry) in entries.iter_mut().enumerate() {
            let due = (1 + round * VERSIONS / START_ROUNDS).min(VERSIONS);
            if published[index] < due && rng.random_bool(0.2) {
                published[index] += 1;
                entry.store.merge_record(record(index, published[index]), None, now);
            }
        }
        for entry in &mut entries {
            for link in 0..entry.links.len() {
                let message = entry.send(link, offers, now);
                let delay = rng.random_range(1..3);
                // A link that loses a message breaks; the next one begins with the whole state.
                if rng.random_ratio(lost_percent, 10_000) {
                    entry.links[link].cursor = LinkCursor::default();
                    continue;
                }
                entry.links[link].in_flight.push_back((round + delay, message));
            }
        }
        for from in 0..count {
            for link in 0..entries[from].links.len() {
                let (peer, reverse) =
                    (entries[from].links[link].peer, entries[from].links[link].reverse);
                while entries[from].links[link]
                    .in_flight
                    .front()
                    .is_some_and(|(at, _)| *at <= round)
                {
                    let arrived = entries[from].links[link].in_flight.pop_front();
                    let (_, message) = arrived.expect("a message");
                    entries[peer].receive(reverse, message, now);
                }
            }
        }
        let is_current = |entry: &Entry| {
            let newest = entry.store.records().filter(|record| record.sequence == VERSIONS);
            newest.map(|record| subject_of(record.instance.as_str())).collect::<BTreeSet<_>>().len()
                == count
        };
        if round >= START_ROUNDS && entries.iter().all(is_current) {
            done = Some(round);
            break;
        }
    }
    let received: usize = entries.iter().map(|entry| entry.received).sum();
    (received as f64 / count as f64, done.expect("all entries know all records"))
}

/// Guards against start-ups in which every entry receives each record over all of its links, which
/// fills the links between regions and most of the processor time of large fleets.
#[rstest]
#[case(150)]
#[case(400)]
fn each_record_arrives_about_once(#[case] count: usize) {
    let (received, _) = play(count, true, 0, 1);
    let (received_before, _) = play(count, false, 0, 1);
    let versions = (VERSIONS * count as u64) as f64;
    assert!(received <= 2.0 * versions, "{received} records for {versions} versions");
    assert!(received * 2.0 <= received_before, "{received} and {received_before} records");
}

/// Guards against records that are lost with the link that they were requested over.
#[test]
fn records_arrive_though_links_break() {
    for seed in 0..6 {
        let (_, round) = play(60, true, 30, seed);
        let late_ms = (round - START_ROUNDS) * ROUND_MS;
        assert!(late_ms <= 3_000, "seed {seed}: {late_ms} ms after the last change");
    }
}
