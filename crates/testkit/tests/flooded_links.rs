//! Presets between entries whose links are kept full of other messages, without a network.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use cassiawheel_decide::{
    EntryLocation, PeerRevision, PresetPull, PullStep, PullView, far_link_rank, links_to_dial,
};
use cassiawheel_model::{
    AgeSource, ChangeId, EntryRecord, FailureDomain, ForcedPreset, GossipDelta, InstanceId,
    ModelVersion, OperatorName, PresetContent, PresetName, PresetRevision, RegionName,
    TargetVersion, Timestamp,
};
use cassiawheel_wire::{
    ControlMessage, WireMessage,
    lanes::{LaneConfirmer, LaneReceiver, LaneSender, WriteItem, message_lanes},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const REGIONS: usize = 3;

/// Time in which a change must be in force everywhere, in milliseconds.
const APPLY_MS: u64 = 2_000;

const CHANGES: u64 = 5;
const START_MS: u64 = 1_000_000;
const STEP_MS: u64 = 5;

/// Time in which the table service sends a change to those that follow it, in milliseconds.
const FEED_MS: u64 = 100;

/// Intervals of gossip within and between regions, in milliseconds.
const NEAR_GOSSIP_MS: u64 = 200;
const FAR_GOSSIP_MS: u64 = 600;

/// Interval of gossip while the state of many processes changes, in milliseconds.
const CHURN_GOSSIP_MS: u64 = 20;

/// One-way delays within and between regions, in milliseconds.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 12;

/// Bandwidth within a region and of a narrow link between two, in bytes per millisecond.
const NEAR_RATE: u64 = 1_000;
const FAR_RATE: u64 = 150;

/// Bytes of a connection that wait in the buffers of the system, where nothing overtakes them.
const BUFFER_BYTES: u64 = 1 << 20;

const PRESET_BYTES: u64 = 20_000;
const ORDINARY_BYTES: u64 = 2_000;
const URGENT_BYTES: u64 = 300;
const ITEM_BYTES: u64 = 8;

/// Items in a message of gossip meanwhile: more than a narrow link transmits in its interval.
const CHURN_ITEMS: usize = 400;
const FRAME_BYTES: u64 = 10;

/// Probability in which a message is lost on the way and sent again after a while.
const LOSS: f64 = 0.01;
const RESEND_MS: u64 = 200;

enum Frame {
    Item(WriteItem),
    Pong,
}

struct FloodedLink {
    from: usize,
    to: usize,
    is_near: bool,
    sender: LaneSender,
    receiver: LaneReceiver,
    confirmer: LaneConfirmer,
    free_at: u64,
    /// What is on the way, with the arrival times.
    on_the_way: VecDeque<(u64, Frame)>,
    gossip_at: u64,
}

struct PlayedEntry {
    preset: Option<Arc<ForcedPreset>>,
    pull: PresetPull<usize>,
    is_pulling: bool,
    pull_at: u64,
}

struct Deployment {
    rng: SmallRng,
    now: u64,
    entries: Vec<PlayedEntry>,
    links: Vec<FloodedLink>,
    /// Ranks of the entries for requests to other regions.
    ranks: Vec<u32>,
    /// Whether the state of many processes changes.
    has_churn: bool,
    dropped: BTreeMap<&'static str, usize>,
    presets_sent: usize,
}

fn region_of(entry: usize, entries: usize) -> usize {
    entry * REGIONS / entries
}

fn instance(entry: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{entry:03}")).expect("valid")
}

fn region_name(entry: usize, entries: usize) -> RegionName {
    RegionName::new(&format!("region-{}", region_of(entry, entries))).expect("valid")
}

fn addr(entry: usize) -> SocketAddr {
    ([10, 0, 0, entry as u8], 7700).into()
}

fn preset(revision: u64) -> Arc<ForcedPreset> {
    Arc::new(ForcedPreset {
        revision: PresetRevision(revision),
        preset: PresetName::new("p").expect("valid"),
        content: PresetContent { services: BTreeMap::new(), callers: None },
        change: ChangeId::new("c").expect("valid"),
        operator: OperatorName::new("o").expect("valid"),
        changed_at: Timestamp(0),
    })
}

fn ordinary() -> WireMessage {
    let version = ModelVersion::new("m:1").expect("valid");
    let (age_ms, age_source) = (0, AgeSource::Observed);
    let model = "m".to_owned();
    let named = TargetVersion { model, number: 1, version, manifest: None, age_ms, age_source };
    ControlMessage::Named(named).into()
}

fn bytes(message: &WireMessage) -> u64 {
    match message {
        WireMessage::Control(ControlMessage::Force(_)) => PRESET_BYTES,
        WireMessage::Control(ControlMessage::Named(_)) => ORDINARY_BYTES,
        WireMessage::Control(ControlMessage::Gossip(delta)) => {
            URGENT_BYTES + ITEM_BYTES * delta.wanted.len() as u64
        }
        _ => URGENT_BYTES,
    }
}

/// Both directions of each link that `count` entries keep.
fn links_of(count: usize) -> Vec<FloodedLink> {
    let place =
        |entry: usize| EntryLocation { inner_addr: addr(entry), region: region_name(entry, count) };
    let places: Vec<_> = (0..count).map(place).collect();
    let mut pairs = Vec::new();
    for (from, own) in places.iter().enumerate() {
        for addr in links_to_dial(own, &places) {
            let to = places.iter().position(|other| other.inner_addr == addr).expect("is known");
            pairs.extend([(from, to), (to, from)]);
        }
    }
    let link = |(from, to)| {
        let (sender, receiver) = message_lanes();
        let confirmer = sender.confirmer();
        let is_near = region_of(from, count) == region_of(to, count);
        let (free_at, gossip_at) = (START_MS, START_MS);
        let on_the_way = VecDeque::new();
        FloodedLink {
            from,
            to,
            is_near,
            sender,
            receiver,
            confirmer,
            free_at,
            on_the_way,
            gossip_at,
        }
    };
    pairs.into_iter().map(link).collect()
}

fn ranks(links: &[FloodedLink], count: usize) -> Vec<u32> {
    let record = |entry: usize| EntryRecord {
        instance: instance(entry),
        incarnation: 1,
        sequence: 1,
        region: region_name(entry, count),
        failure_domain: FailureDomain::new("hall").expect("valid"),
        inner_addr: addr(entry),
        caller_addr: addr(entry),
        leaving: false,
        advised: true,
        follows_rows: true,
        neighbours: links.iter().filter(|l| l.from == entry).map(|l| instance(l.to)).collect(),
        agents: Vec::new(),
    };
    let records: Vec<_> = (0..count).map(record).collect();
    let present: Vec<_> = records.iter().collect();
    (0..count).map(|entry| far_link_rank(&instance(entry), &present)).collect()
}

impl FloodedLink {
    /// Writes what is due while the buffers of the system have room.
    fn write(&mut self, now: u64, rng: &mut SmallRng) {
        let rate = if self.is_near { NEAR_RATE } else { FAR_RATE };
        while self.free_at.saturating_sub(now) * rate < BUFFER_BYTES {
            let Some(item) = self.receiver.try_recv() else {
                return;
            };
            let size = match &item {
                WriteItem::Message(message) => bytes(message),
                WriteItem::Ping => FRAME_BYTES,
            };
            if let WriteItem::Message(message) = &item {
                self.receiver.record_sent(message, size as usize);
            }
            self.transmit(Frame::Item(item), size, now, rng);
        }
    }

    fn transmit(&mut self, frame: Frame, size: u64, now: u64, rng: &mut SmallRng) {
        let (rate, delay) = if self.is_near { (NEAR_RATE, NEAR_MS) } else { (FAR_RATE, FAR_MS) };
        let resend = if rng.random_bool(LOSS) { RESEND_MS } else { 0 };
        self.free_at = self.free_at.max(now) + resend + size / rate;
        self.on_the_way.push_back((self.free_at + delay, frame));
    }

    fn arrived(&mut self, now: u64) -> Option<Frame> {
        let is_due = self.on_the_way.front().is_some_and(|(at, _)| *at <= now);
        is_due.then(|| self.on_the_way.pop_front()).flatten().map(|(_, frame)| frame)
    }
}

impl PlayedEntry {
    fn revision(&self) -> PresetRevision {
        self.preset.as_ref().map(|preset| preset.revision).unwrap_or_default()
    }
}

impl Deployment {
    fn new(count: usize, has_churn: bool, seed: u64) -> Self {
        let entry = |_| PlayedEntry {
            preset: Some(preset(1)),
            pull: PresetPull::default(),
            is_pulling: false,
            pull_at: 0,
        };
        let links = links_of(count);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: START_MS,
            entries: (0..count).map(entry).collect(),
            ranks: ranks(&links, count),
            links,
            has_churn,
            dropped: BTreeMap::new(),
            presets_sent: 0,
        }
    }

    /// Sends a message over a link; false if its queue was full.
    fn send(&mut self, link: usize, message: impl Into<WireMessage>) -> bool {
        let message = message.into();
        let kind = message.kind();
        let is_queued = self.links[link].sender.try_send(message).is_ok();
        if !is_queued {
            *self.dropped.entry(kind).or_default() += 1;
        }
        is_queued
    }

    fn adopt(&mut self, entry: usize, preset: Arc<ForcedPreset>) {
        if preset.revision > self.entries[entry].revision() {
            self.entries[entry].preset = Some(preset);
            self.announce(entry);
        }
    }

    /// Announces the preset of an entry to its neighbours.
    fn announce(&mut self, entry: usize) {
        let revision = self.entries[entry].revision();
        let delta = GossipDelta { revision, ..GossipDelta::default() };
        for link in 0..self.links.len() {
            if self.links[link].from == entry {
                self.send(link, ControlMessage::Gossip(Box::new(delta.clone())));
                self.links[link].gossip_at = 0;
            }
        }
    }

    fn step(&mut self) {
        for link in 0..self.links.len() {
            self.gossip(link);
            while self.send(link, ordinary()) {}
            self.links[link].write(self.now, &mut self.rng);
            while let Some(frame) = self.links[link].arrived(self.now) {
                self.receive(link, frame);
            }
        }
        for entry in 0..self.entries.len() {
            self.pull(entry);
        }
        self.now += STEP_MS;
    }

    fn gossip(&mut self, link: usize) {
        let FloodedLink { from, is_near, gossip_at, .. } = self.links[link];
        if gossip_at > self.now || self.links[link].sender.is_congested() {
            return;
        }
        let (interval, items) = match (self.has_churn, is_near) {
            (true, _) => (CHURN_GOSSIP_MS, CHURN_ITEMS),
            (false, true) => (NEAR_GOSSIP_MS, 0),
            (false, false) => (FAR_GOSSIP_MS, 0),
        };
        let revision = self.entries[from].revision();
        let delta = GossipDelta { revision, wanted: vec![0; items], ..GossipDelta::default() };
        if self.send(link, ControlMessage::Gossip(Box::new(delta))) {
            self.links[link].gossip_at = self.now + interval;
        }
    }

    fn receive(&mut self, link: usize, frame: Frame) {
        let FloodedLink { from, to, is_near, .. } = self.links[link];
        let back = self.links.iter().position(|back| (back.from, back.to) == (to, from));
        let back = back.expect("links have two directions");
        let message = match frame {
            Frame::Item(WriteItem::Message(message)) => message,
            Frame::Item(WriteItem::Ping) => {
                return self.links[back].transmit(
                    Frame::Pong,
                    FRAME_BYTES,
                    self.now,
                    &mut self.rng,
                );
            }
            Frame::Pong => return self.links[back].confirmer.confirm(),
        };
        match message {
            WireMessage::Control(ControlMessage::Gossip(delta)) => {
                let revision = delta.revision;
                let peer =
                    PeerRevision { instance: instance(from), revision, is_near, handle: back };
                let entry = &mut self.entries[to];
                let known = entry.revision();
                entry.is_pulling |= entry.pull.observe(peer, known, Timestamp(self.now));
            }
            WireMessage::Control(ControlMessage::PresetWanted) => {
                let preset = self.entries[to].preset.clone().expect("is known");
                self.presets_sent += 1;
                self.send(back, ControlMessage::Force(preset));
            }
            WireMessage::Control(ControlMessage::Force(preset)) => self.adopt(to, preset),
            _ => {}
        }
    }

    /// Plays the pull of an entry, as its task does.
    fn pull(&mut self, entry: usize) {
        let now = Timestamp(self.now);
        let near_rank = self.ranks[entry];
        let played = &mut self.entries[entry];
        if !played.is_pulling || played.pull_at > self.now {
            return;
        }
        let view = PullView { known: played.revision(), follows_rows: false, near_rank, now };
        match played.pull.step(view, |_| true, &mut self.rng) {
            PullStep::Done => played.is_pulling = false,
            PullStep::Wait(_) => {}
            PullStep::Request { handle, is_near } => {
                if !self.send(handle, ControlMessage::PresetWanted) {
                    self.entries[entry].pull.discard_request(is_near);
                    self.entries[entry].pull_at = self.now + 50;
                }
            }
        }
    }

    /// Makes a change that the table service sends to `followers`; returns the time until it is in
    /// force everywhere, in milliseconds.
    fn change(&mut self, revision: u64, followers: &[usize]) -> u64 {
        let changed_at = self.now;
        while self.entries.iter().any(|entry| entry.revision().0 < revision) {
            let passed = self.now - changed_at;
            assert!(passed < 20 * APPLY_MS, "revision {revision} does not arrive");
            if passed >= FEED_MS {
                followers.iter().for_each(|follower| self.adopt(*follower, preset(revision)));
            }
            self.step();
        }
        self.now - changed_at
    }
}

/// Guards against changes that are late because links are full of other messages, as when entries
/// sent a dropped version to each other without end. The table service rejects one region.
#[rstest]
fn changes_are_in_force_in_time_over_full_links(
    #[values(9, 41)] count: usize,
    #[values(false, true)] has_churn: bool,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut deployment = Deployment::new(count, has_churn, seed);
    let first_of = |region| (0..count).find(|entry| region_of(*entry, count) == region);
    let followers: Vec<_> = (0..REGIONS - 1).filter_map(first_of).collect();
    let took: Vec<_> = (2..2 + CHANGES)
        .map(|revision| {
            let took = deployment.change(revision, &followers);
            (0..1_000 / STEP_MS).for_each(|_| deployment.step());
            took
        })
        .collect();
    println!("{took:?} ms, dropped {:?}", deployment.dropped);
    assert!(took.iter().all(|took| *took <= APPLY_MS), "{took:?}");
    assert_eq!(deployment.dropped.keys().collect::<Vec<_>>(), [&"version"]);
    // Presets are sent only to entries that lack them.
    assert!(deployment.presets_sent <= 2 * count * CHANGES as usize);
}
