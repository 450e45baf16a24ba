//! Reports of departed endpoints between entries whose links are opened anew.

use std::collections::BTreeMap;

use cassiawheel_decide::gossip::{GossipStore, LinkCursor};
use cassiawheel_model::{
    EndpointReport, EndpointRole, EndpointState, FailureDomain, InstanceId, LoadReport,
    PresetRevision, RegionName, ServiceName, Timestamp,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

/// Time after a departure by which no entry keeps or sends a report of the endpoint.
const QUIET_AFTER_S: u64 = 180;

/// Time for which links are opened anew after a departure.
const SPAN_S: u64 = 600;

fn report(index: usize) -> EndpointReport {
    let addr = "127.0.0.1:7003".parse().expect("valid");
    EndpointReport {
        instance: InstanceId::new(&format!("endpoint-{index}")).expect("valid"),
        incarnation: 1,
        sequence: 1,
        region: RegionName::new("region").expect("valid"),
        failure_domain: FailureDomain::new("domain").expect("valid"),
        service: ServiceName::new("desk").expect("valid"),
        role: EndpointRole::Plain,
        inner_addr: addr,
        endpoint_addr: None,
        state: EndpointState::Empty,
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

/// One end of a link: its number at the sender and at the receiver, and what was sent.
struct LinkEnd {
    number: u64,
    peer_number: u64,
    cursor: LinkCursor,
}

/// Entries in a ring, each of which passes on what is due.
struct Network {
    rng: StdRng,
    stores: Vec<GossipStore>,
    /// Ends by sender and receiver.
    links: BTreeMap<(usize, usize), LinkEnd>,
    opened: u64,
    sent: usize,
}

impl Network {
    fn new(entries: usize) -> Self {
        let stores = (0..entries).map(|_| GossipStore::default()).collect();
        let rng = StdRng::seed_from_u64(entries as u64);
        let mut network = Self { rng, stores, links: BTreeMap::new(), opened: 0, sent: 0 };
        for entry in 0..entries {
            network.open(entry, (entry + 1) % entries);
        }
        network
    }

    /// Opens a link, in place of an older one between the same entries.
    fn open(&mut self, one: usize, other: usize) {
        let (number, peer_number) = (self.opened + 1, self.opened + 2);
        self.opened += 2;
        let cursor = LinkCursor::default();
        self.links.insert((one, other), LinkEnd { number, peer_number, cursor });
        let end = LinkEnd { number: peer_number, peer_number: number, cursor };
        self.links.insert((other, one), end);
    }

    /// Sends what is due until nothing is.
    fn exchange(&mut self, now: Timestamp) {
        let mut is_quiet = false;
        while !is_quiet {
            is_quiet = true;
            for ((sender, receiver), end) in &mut self.links {
                let due = self.stores[*sender].state_since(end.cursor, end.number, |_| true);
                end.cursor = due.cursor;
                for report in due.reports {
                    is_quiet = false;
                    self.sent += 1;
                    self.stores[*receiver].merge_report(report, Some(end.peer_number), now);
                }
            }
        }
    }

    fn holders(&self) -> usize {
        self.stores.iter().filter(|store| !store.is_empty()).count()
    }
}

/// Guards against reports of departed endpoints that entries send each other without end, until
/// there is no room for those of new ones.
#[rstest]
fn a_departed_endpoint_is_forgotten_by_all(#[values(3, 9, 41)] entries: usize) {
    let mut network = Network::new(entries);
    network.stores[0].merge_report(report(1), None, Timestamp(0));
    network.exchange(Timestamp(0));
    assert_eq!(network.holders(), entries);
    for second in 1..SPAN_S {
        let now = Timestamp(second * 1_000);
        // Restarts and cuts of links; more in a larger deployment.
        for _ in 0..entries.div_ceil(9) {
            let entry = network.rng.random_range(0..entries);
            network.open(entry, (entry + 1) % entries);
        }
        for (index, store) in network.stores.iter_mut().enumerate() {
            if (second + index as u64).is_multiple_of(5) {
                store.expire(now, |_| false);
            }
        }
        let before = network.sent;
        network.exchange(now);
        if second > QUIET_AFTER_S {
            assert_eq!(network.holders(), 0, "entries that keep it after {second} s");
            assert_eq!(network.sent, before);
        }
    }
}

/// Guards against a report that a new peer never gets because its process seemed to be gone when
/// the link was opened, and against one that older links get again.
#[rstest]
fn a_process_that_returns_is_sent_to_the_links_that_have_missed_it() {
    let mut store = GossipStore::default();
    store.merge_report(report(1), None, Timestamp(0));
    let older = store.state_since(LinkCursor::default(), 1, |_| true);
    assert_eq!(older.reports.len(), 1);
    store.expire(Timestamp(5_000), |_| false);
    let newer = store.state_since(LinkCursor::default(), 2, |_| true);
    assert_eq!(newer.reports.len(), 0);
    store.expire(Timestamp(10_000), |_| true);
    assert_eq!(store.state_since(older.cursor, 1, |_| true).reports.len(), 0);
    let returned = store.state_since(newer.cursor, 2, |_| true);
    assert_eq!(returned.reports.len(), 1);
    assert_eq!(store.state_since(returned.cursor, 2, |_| true).reports.len(), 0);
}
