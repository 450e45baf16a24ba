//! Requests during which endpoints crash: when they are barred and cleared, and how fast all
//! entries learn of it, simulated without a network.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
};

use cassiawheel_decide::{
    BAR_DURATION, CrashTracker, CrashVerdict, EntryLocation, LinkId, links_to_dial,
};
use cassiawheel_model::{
    CrashEvent, CrashRecord, Deadline, InstanceId, PresetRevision, PriorityClass,
    QuarantinedRequest, RegionName, Repeatability, RequestDigest, RequestHead, RequestId,
    ServiceName, Timestamp, WorkspaceId,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);

fn head(workspace: &str, path: &str, id: &str) -> RequestHead {
    RequestHead {
        id: RequestId::new(id).expect("valid"),
        workspace: WorkspaceId::new(workspace).expect("valid"),
        service: ServiceName::new("ledger").expect("valid"),
        priority: PriorityClass::Normal,
        repeat: Repeatability::Idempotent,
        key: None,
        deadline: Deadline(0),
        method: "POST".to_owned(),
        path: path.to_owned(),
        content_type: None,
        headers: Vec::new(),
        prefix: None,
        revision: PresetRevision::default(),
        version: None,
    }
}

fn digest(body: u64) -> RequestDigest {
    RequestDigest::of(&head("booth", "/x", "r"), &body.to_le_bytes())
}

fn row(body: u64, event: CrashEvent, age_ms: u32) -> CrashRecord {
    CrashRecord { digest: digest(body), event, age_ms }
}

fn is_barred(tracker: &CrashTracker, body: u64) -> bool {
    matches!(tracker.verdict(digest(body)), CrashVerdict::Barred { .. })
}

/// Guards against barring a request of one caller because of a request of another.
#[test]
fn a_digest_is_of_caller_path_and_body_and_not_of_the_attempt() {
    let of = |workspace: &str, path: &str, id: &str, body: &[u8]| {
        RequestDigest::of(&head(workspace, path, id), body)
    };
    let own = of("booth", "/x?a=1", "r-1", b"a seat");
    assert_eq!(own, of("booth", "/x?a=1", "r-2", b"a seat"));
    assert_ne!(own, of("boot", "h/x?a=1", "r-1", b"a seat"));
    assert_ne!(own, of("desk", "/x?a=1", "r-1", b"a seat"));
    assert_ne!(own, of("booth", "/x?a=2", "r-1", b"a seat"));
    assert_ne!(own, of("booth", "/x?a=1", "r-1", b"a sea"));
}

/// Guards against too many crashes before a request is barred, and against barring one that was
/// only in flight when others crashed an endpoint.
#[rstest]
#[case(CrashEvent::EndedAtStart, 3)]
#[case(CrashEvent::EndedInAnswer, 6)]
fn crashes_of_different_endpoints_bar_a_request(
    #[case] event: fn(u64) -> CrashEvent,
    #[case] crashes: u64,
) {
    let mut tracker = CrashTracker::default();
    for endpoint in 1..=crashes {
        assert!(!is_barred(&tracker, 7), "barred after {} crashes", endpoint - 1);
        assert!(tracker.record(row(7, event(endpoint), 0), None, NOW));
        assert!(
            !tracker.record(row(7, event(endpoint), 50), Some(1), NOW),
            "one crash counts once"
        );
    }
    assert!(is_barred(&tracker, 7));
    assert!(!is_barred(&tracker, 8));
}

/// Guards against a bar that outlasts its evidence.
#[test]
fn a_bar_expires() {
    let mut tracker = CrashTracker::default();
    for endpoint in 0..3 {
        tracker.record(row(7, CrashEvent::EndedAtStart(endpoint), 0), None, NOW);
    }
    let CrashVerdict::Barred { until } = tracker.verdict(digest(7)) else { panic!("barred") };
    assert_eq!(until, NOW.deadline_after(BAR_DURATION));
    let later = Timestamp(NOW.0 + BAR_DURATION.as_millis() as u64 + 1);
    assert!(tracker.expire(later));
    assert_eq!(tracker.verdict(digest(7)), CrashVerdict::Clear);
}

/// Guards against barring a request that endpoints answer, because some of them crashed.
#[test]
fn a_complete_answer_clears_earlier_crashes() {
    let mut tracker = CrashTracker::default();
    for endpoint in 0..3 {
        tracker.record(row(7, CrashEvent::EndedAtStart(endpoint), 500), None, NOW);
    }
    assert!(tracker.record(row(7, CrashEvent::Answered, 0), Some(2), NOW));
    assert_eq!(tracker.verdict(digest(7)), CrashVerdict::Clear);
    assert!(!tracker.record(row(7, CrashEvent::EndedAtStart(1), 495), Some(3), NOW), "a late copy");
    assert_eq!(tracker.verdict(digest(7)), CrashVerdict::Clear);
    let later = Timestamp(NOW.0 + 100);
    for endpoint in 5..8 {
        tracker.record(row(7, CrashEvent::EndedAtStart(endpoint), 0), None, later);
    }
    assert!(is_barred(&tracker, 7), "crashes after the answer count");
}

/// Guards against a gossip message for each answer to a frequent request.
#[test]
fn only_an_answer_that_clears_something_is_passed_on() {
    let mut tracker = CrashTracker::default();
    tracker.record(row(7, CrashEvent::EndedInAnswer(1), 0), None, NOW);
    let answers = (1..50).filter(|step| {
        let now = Timestamp(NOW.0 + step * 100);
        tracker.record(row(7, CrashEvent::Answered, 0), None, now)
    });
    assert_eq!(answers.count(), 1);
}

/// Guards against a retry that waits for the run that it follows.
#[test]
fn an_own_run_keeps_other_entries_waiting_and_not_this_one() {
    let mut tracker = CrashTracker::default();
    tracker.record(row(7, CrashEvent::EndedAtStart(1), 500), None, NOW);
    tracker.record(row(7, CrashEvent::Begun, 100), None, NOW);
    assert!(tracker.verdict(digest(7)).not_before(0, 15).is_past(NOW));
    let mut other = CrashTracker::default();
    other.record(row(7, CrashEvent::EndedAtStart(1), 500), Some(1), NOW);
    other.record(row(7, CrashEvent::Begun, 100), Some(1), NOW);
    assert!(!other.verdict(digest(7)).not_before(0, 15).is_past(NOW));
}

/// Guards against a caller that fills the memory with different bodies, or evicts its barred
/// requests that way.
#[test]
fn many_bodies_neither_fill_the_memory_nor_free_a_barred_request() {
    let mut tracker = CrashTracker::default();
    for endpoint in 0..3 {
        tracker.record(row(7, CrashEvent::EndedAtStart(endpoint), 0), None, NOW);
    }
    for body in 100..20_000 {
        tracker.record(row(body, CrashEvent::EndedAtStart(body), 0), None, NOW);
    }
    assert!(tracker.verdicts().len() <= 4_096);
    assert!(is_barred(&tracker, 7));
}

/// Guards against bars that are lost, or kept for ever, when all entries lose power.
#[test]
fn persisted_bars_are_restored_until_they_expire() {
    let mut tracker = CrashTracker::default();
    for endpoint in 0..3 {
        tracker.record(row(7, CrashEvent::EndedAtStart(endpoint), 1_000), None, NOW);
        tracker.record(row(8, CrashEvent::EndedInAnswer(endpoint), 0), None, NOW);
    }
    let ended_at = Timestamp(NOW.0 - 1_000);
    let over_at = Timestamp(NOW.0 - BAR_DURATION.as_millis() as u64);
    let over = QuarantinedRequest { digest: digest(9), ended_at: over_at };
    let bars = tracker.bars_to_persist(&[over], NOW).expect("one is to be added");
    assert_eq!(bars, [QuarantinedRequest { digest: digest(7), ended_at }]);
    assert_eq!(tracker.bars_to_persist(&bars, NOW), None);
    let mut started = CrashTracker::default();
    assert!(started.record(row(7, CrashEvent::Barred, 1_000), None, NOW));
    assert_eq!(started.verdict(digest(7)), tracker.verdict(digest(7)));
    assert!(!started.record(
        row(9, CrashEvent::Barred, BAR_DURATION.as_millis() as u32),
        None,
        NOW
    ));
}

/// Guards against an entry that starts or returns and does not get what the others know.
#[test]
fn a_new_link_gets_every_event_and_an_existing_one_only_new_ones() {
    let mut tracker = CrashTracker::default();
    for body in 0..600 {
        tracker.record(row(body, CrashEvent::EndedAtStart(body), 0), Some(4), NOW);
    }
    let mut other = CrashTracker::default();
    let mut cursor = 0;
    for _ in 0..3 {
        let (rows, next) = tracker.rows_since(cursor, 5, NOW);
        assert!(rows.len() <= 256, "a message of bounded size");
        rows.into_iter().for_each(|row| assert!(other.record(row, Some(1), NOW)));
        cursor = next;
    }
    assert_eq!(other.verdicts().len(), 600);
    assert_eq!(tracker.rows_since(cursor, 5, NOW).0, []);
    assert_eq!(tracker.rows_since(0, 4, NOW).0, [], "no row returns over its source link");
}

/// Delay of one message over a link, in milliseconds.
const ROUND_MS: u64 = 25;

/// Time from the arrival of a request at an endpoint until the endpoint crashes, in milliseconds.
const RUN_MS: u64 = 240;

/// Maximum number of endpoints that one caller attempt reaches.
const MAX_ATTEMPTS: u32 = 2;

/// A caller's attempt at one entry.
struct CallerAttempt {
    entry: usize,
    /// Endpoints that the attempt has reached.
    runs: u32,
    /// When the current run crashes its endpoint.
    crashes_at: Option<Timestamp>,
}

/// Entries with their crash trackers, and callers that send one crashing request.
struct CrashSimulation {
    now: Timestamp,
    trackers: Vec<CrashTracker>,
    links: Vec<BTreeMap<usize, u64>>,
    cut: BTreeSet<usize>,
    attempts: Vec<CallerAttempt>,
    crashes: Vec<Timestamp>,
    sends: Vec<Timestamp>,
}

impl CrashSimulation {
    fn new(entries: usize, regions: usize) -> Self {
        let addr = |index: usize| {
            let ip = Ipv4Addr::new(10, 1, (index / 200) as u8, (index % 200) as u8);
            SocketAddr::from((ip, 8_000))
        };
        let region = |index: usize| RegionName::new(&format!("region-{index}")).expect("valid");
        let locations: Vec<_> = (0..entries)
            .map(|index| EntryLocation { inner_addr: addr(index), region: region(index % regions) })
            .collect();
        let mut links = vec![BTreeMap::new(); entries];
        for (index, location) in locations.iter().enumerate() {
            for chosen in links_to_dial(location, &locations) {
                let other = locations.iter().position(|p| p.inner_addr == chosen).expect("known");
                links[index].insert(other, 0);
                links[other].insert(index, 0);
            }
        }
        Self {
            now: NOW,
            trackers: (0..entries).map(|_| CrashTracker::default()).collect(),
            links,
            cut: BTreeSet::new(),
            attempts: Vec::new(),
            crashes: Vec::new(),
            sends: Vec::new(),
        }
    }

    fn arrive(&mut self, entry: usize) {
        self.attempts.push(CallerAttempt { entry, runs: 0, crashes_at: None });
    }

    /// Rank of the entry for the request.
    fn rank(&self, entry: usize) -> usize {
        let weight = |index: usize| {
            let name = InstanceId::new(&format!("entry-{index}")).expect("valid");
            cassiawheel_decide::rank::rendezvous_weight(digest(7).rendezvous_key(), name.as_str())
        };
        let own = weight(entry);
        (0..self.trackers.len()).filter(|index| weight(*index) > own).count()
    }

    fn may_begin(&self, entry: usize) -> bool {
        let others = self.attempts.iter().filter(|a| a.entry == entry && a.crashes_at.is_some());
        match self.trackers[entry].verdict(digest(7)) {
            CrashVerdict::Clear => true,
            CrashVerdict::Barred { .. } => false,
            verdict => {
                let not_before = verdict.not_before(self.rank(entry), self.trackers.len());
                not_before.is_past(self.now) && others.count() == 0
            }
        }
    }

    fn step(&mut self) {
        for index in 0..self.attempts.len() {
            let entry = self.attempts[index].entry;
            if self.attempts[index].crashes_at.is_some_and(|at| self.now >= at) {
                self.attempts[index].crashes_at = None;
                self.crashes.push(self.now);
                let event = CrashEvent::EndedAtStart(self.crashes.len() as u64);
                self.trackers[entry].record(row(7, event, 0), None, self.now);
            }
            let attempt = &self.attempts[index];
            let is_idle = attempt.crashes_at.is_none() && attempt.runs < MAX_ATTEMPTS;
            if is_idle && self.may_begin(entry) {
                let attempt = &mut self.attempts[index];
                attempt.runs += 1;
                attempt.crashes_at = Some(Timestamp(self.now.0 + RUN_MS));
                self.sends.push(self.now);
                self.trackers[entry].record(row(7, CrashEvent::Begun, 0), None, self.now);
            }
        }
        self.deliver();
        self.now = Timestamp(self.now.0 + ROUND_MS);
    }

    fn deliver(&mut self) {
        let mut messages = Vec::new();
        for (index, links) in self.links.iter_mut().enumerate() {
            for (other, cursor) in links {
                if self.cut.contains(&index) || self.cut.contains(other) {
                    continue;
                }
                let (rows, next) =
                    self.trackers[index].rows_since(*cursor, *other as LinkId, self.now);
                *cursor = next;
                messages.extend(rows.into_iter().map(|row| (index, *other, row)));
            }
        }
        for (from, to, row) in messages {
            self.trackers[to].record(row, Some(from as LinkId), self.now);
        }
    }

    fn barred_count(&self) -> usize {
        self.trackers.iter().filter(|tracker| is_barred(tracker, 7)).count()
    }
}

/// Guards against a bar that reaches the entries too late, at any size and from any entry.
#[rstest]
#[case(15, 3)]
#[case(149, 5)]
#[case(370, 2)]
fn a_request_is_not_sent_a_second_after_its_third_crash(
    #[case] entries: usize,
    #[case] regions: usize,
) {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut simulation = CrashSimulation::new(entries, regions);
        for _ in 0..200 {
            if rng.random_bool(0.1) {
                simulation.arrive(rng.random_range(0..entries));
            }
            simulation.step();
        }
        let third = simulation.crashes[2];
        let last = simulation.sends.last().expect("sent").0.saturating_sub(third.0);
        assert!(last <= 1_000, "seed {seed}: sent {last} ms after the third crash");
        let most = if entries == 15 { 6 } else { 7 };
        assert!(
            simulation.crashes.len() <= most,
            "seed {seed}: {} endpoints crashed",
            simulation.crashes.len()
        );
        assert_eq!(simulation.barred_count(), entries, "seed {seed}: known everywhere");
    }
}

/// Guards against a second round of crashes when a request arrives at every entry at once.
#[test]
fn a_request_at_all_entries_at_once_crashes_one_endpoint_each_at_most() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut simulation = CrashSimulation::new(15, 3);
        let mut order: Vec<usize> = (0..15).collect();
        order.shuffle(&mut rng);
        for step in 0..200 {
            if step % 20 == 0 {
                order.iter().for_each(|entry| simulation.arrive(*entry));
            }
            simulation.step();
        }
        assert!(
            simulation.crashes.len() <= 15,
            "seed {seed}: {} endpoints crashed",
            simulation.crashes.len()
        );
        let third = simulation.crashes[2];
        let last = simulation.sends.last().expect("sent").0.saturating_sub(third.0);
        assert!(last <= 1_000, "seed {seed}: sent {last} ms after the third crash");
    }
}

/// Guards against an entry that was cut off and resumes without the known bars.
#[test]
fn an_entry_that_was_cut_off_gets_the_bars_on_its_return() {
    let mut simulation = CrashSimulation::new(15, 3);
    simulation.cut.insert(4);
    for step in 0..80 {
        if step % 10 == 0 {
            simulation.arrive(step % 3);
        }
        simulation.step();
    }
    assert_eq!(simulation.barred_count(), 14);
    simulation.cut.clear();
    simulation.step();
    simulation.step();
    assert_eq!(simulation.barred_count(), 15);
}

/// Guards against an old crash that counts again after it was dropped.
#[test]
fn a_dropped_crash_is_old() {
    let mut tracker = CrashTracker::default();
    let crash =
        |endpoint: u64| row(7, CrashEvent::EndedInAnswer(endpoint), 1_000 - endpoint as u32);
    for endpoint in 1..=9 {
        tracker.record(crash(endpoint), None, NOW);
        // Cleared again and again, so that the request is never barred.
        tracker.record(row(7, CrashEvent::Answered, 999 - endpoint as u32), None, NOW);
    }
    assert!(!tracker.record(crash(1), None, NOW));
}

/// Guards against bars that are written to the store without end once there are too many.
#[test]
fn bars_that_do_not_fit_are_not_written_again() {
    let mut tracker = CrashTracker::default();
    for body in 0..300 {
        for endpoint in 1..=3 {
            let event = CrashEvent::EndedAtStart(body * 10 + endpoint);
            tracker.record(row(body, event, body as u32), None, NOW);
        }
    }
    let bars = tracker.bars_to_persist(&[], NOW).expect("some are to be added");
    assert_eq!(tracker.bars_to_persist(&bars, NOW), None);
}
