//! Spread of named versions between entries, with simulated links.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use cassiawheel_decide::VersionRegistry;
use cassiawheel_model::{AgeSource, ModelVersion, TargetVersion, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

const SPAN: Duration = Duration::from_secs(8);

/// Messages to one link after which it drops what is sent.
const MAX_QUEUE: usize = 96;

fn named(number: u64) -> TargetVersion {
    TargetVersion {
        model: "m".to_owned(),
        number,
        version: ModelVersion::new(&format!("m:{number}")).expect("a valid name"),
        manifest: None,
        age_ms: 0,
        age_source: AgeSource::Observed,
    }
}

/// Entries in a ring with random shortcuts, which pass on what is new to them.
struct Network {
    rng: StdRng,
    registries: Vec<VersionRegistry>,
    neighbours: Vec<BTreeSet<usize>>,
    /// Receiver, sender and number of each message.
    messages: VecDeque<(usize, usize, u64)>,
    sent: usize,
}

impl Network {
    fn new(entries: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(entries as u64);
        let mut neighbours = vec![BTreeSet::new(); entries];
        for entry in 0..entries {
            for other in [(entry + 1) % entries, rng.random_range(0..entries)] {
                if other != entry {
                    neighbours[entry].insert(other);
                    neighbours[other].insert(entry);
                }
            }
        }
        let registries = vec![VersionRegistry::default(); entries];
        Self { rng, registries, neighbours, messages: VecDeque::new(), sent: 0 }
    }

    fn record(&mut self, entry: usize, number: u64, sender: Option<usize>) {
        if !self.registries[entry].record(&named(number), SPAN, Timestamp(1_000)) {
            return;
        }
        for neighbour in self.neighbours[entry].clone() {
            if Some(neighbour) != sender {
                self.send(neighbour, entry, number);
            }
        }
    }

    fn send(&mut self, receiver: usize, sender: usize, number: u64) {
        let queued =
            self.messages.iter().filter(|(to, from, _)| (*to, *from) == (receiver, sender));
        if queued.count() < MAX_QUEUE {
            self.messages.push_back((receiver, sender, number));
            self.sent += 1;
        }
    }

    /// Delivers messages in random order, some of them not at all, until none is left or `most`
    /// were delivered.
    fn deliver(&mut self, most: usize, loss: f64) {
        for _ in 0..most {
            if self.messages.is_empty() {
                return;
            }
            let index = self.rng.random_range(0..self.messages.len());
            let message = self.messages.swap_remove_back(index);
            let Some((receiver, sender, number)) = message else {
                return;
            };
            if !self.rng.random_bool(loss) {
                self.record(receiver, number, Some(sender));
            }
        }
    }

    /// Sends all that an entry knows to a neighbour, as over a new link.
    fn resend(&mut self, entry: usize) {
        let known = self.registries[entry].named(Timestamp(1_000));
        for neighbour in self.neighbours[entry].clone() {
            for version in &known {
                self.send(neighbour, entry, version.number);
            }
        }
    }
}

/// Guards against entries that send each other a version without end once they have dropped it.
#[rstest]
fn entries_become_quiet_after_the_last_version(#[values(3, 9, 41, 370)] entries: usize) {
    let mut network = Network::new(entries);
    let links: usize = network.neighbours.iter().map(BTreeSet::len).sum();
    for number in 2..40 {
        let entry = network.rng.random_range(0..entries);
        network.record(entry, number, None);
        if number % 3 == 0 {
            // A configuration names the first version again at each entry that reads it.
            let reader = network.rng.random_range(0..entries);
            network.record(reader, 1, None);
        }
        if number % 7 == 0 {
            let restarted = network.rng.random_range(0..entries);
            network.registries[restarted] = VersionRegistry::default();
            network.record(restarted, 1, None);
            let neighbours = network.neighbours[restarted].clone();
            neighbours.into_iter().for_each(|neighbour| network.resend(neighbour));
        }
        network.deliver(links / 2, 0.05);
    }
    network.deliver(100 * links, 0.0);
    assert_eq!(network.messages.len(), 0, "entries still send after the last version");

    network.sent = 0;
    for entry in 0..entries {
        network.record(entry, 1, None);
    }
    network.deliver(100 * links, 0.0);
    assert_eq!(network.sent, 0, "a version that was dropped is sent again");

    network.sent = 0;
    network.record(0, 40, None);
    network.deliver(100 * links, 0.0);
    assert!(network.sent <= links, "{} messages for one version, {links} links", network.sent);
    let is_known = |registry: &VersionRegistry| registry.newest("m").map(|v| v.number) == Some(40);
    assert!(network.registries.iter().all(is_known));
}
