//! Evacuations spread among entries that learn of them in any order.

use cassiawheel_decide::EvacuationTable;
use cassiawheel_model::{EvacuationOrder, FailureDomain, StorePosition, Timestamp};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

const NOW: Timestamp = Timestamp(1_000_000);
const ENTRIES: usize = 6;

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).expect("valid")
}

fn order(name: &str, position: u64, is_active: bool) -> EvacuationOrder {
    EvacuationOrder { failure_domain: domain(name), era: 1, position, is_active }
}

fn position(era: u64, version: u64) -> StorePosition {
    StorePosition { era, version }
}

/// Entries in a ring, each with the cursors of its links to both neighbours.
struct Ring {
    tables: Vec<EvacuationTable>,
    cursors: Vec<[u64; 2]>,
}

impl Ring {
    fn new() -> Self {
        let tables = (0..ENTRIES).map(|_| EvacuationTable::default()).collect();
        Self { tables, cursors: vec![[0; 2]; ENTRIES] }
    }

    /// Sends the changes of one entry over one of its links; `is_lost` if the link breaks, after
    /// which a new one starts from the beginning.
    fn send(&mut self, from: usize, side: usize, is_lost: bool) {
        let cursor = self.cursors[from][side];
        let (orders, next) = self.tables[from].orders_since(cursor, side as u64);
        if is_lost {
            self.cursors[from][side] = 0;
            return;
        }
        self.cursors[from][side] = next;
        let to = (from + [ENTRIES - 1, 1][side]) % ENTRIES;
        for order in orders {
            self.tables[to].merge(order, Some(1 - side as u64), NOW);
        }
    }

    fn settle(&mut self) {
        for _ in 0..ENTRIES {
            for from in 0..ENTRIES {
                self.send(from, 0, false);
                self.send(from, 1, false);
            }
        }
    }
}

/// Guards against a late copy of an order that ends or restores an evacuation.
#[test]
fn every_entry_ends_with_the_newest_order() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(1..8_u64);
        let mut orders: Vec<_> = (1..=count).map(|n| order("hall", n * 3, n % 2 == 1)).collect();
        orders.shuffle(&mut rng);
        let mut ring = Ring::new();
        for order in orders {
            ring.tables[rng.random_range(0..ENTRIES)].merge(order, None, NOW);
            for _ in 0..rng.random_range(0..10) {
                let (from, side) = (rng.random_range(0..ENTRIES), rng.random_range(0..2));
                ring.send(from, side, rng.random_bool(0.2));
            }
        }
        ring.settle();
        for table in &ring.tables {
            assert_eq!(table.is_evacuated(&domain("hall")), count % 2 == 1, "seed {seed}");
        }
    }
}

/// Guards against an evacuation that lasts forever because its end was lost with the history.
#[test]
fn a_read_of_all_rows_ends_evacuations_that_are_gone() {
    let mut table = EvacuationTable::default();
    for (name, position) in [("gone", 5), ("kept", 6), ("newer", 12)] {
        table.merge(order(name, position, true), None, NOW);
    }
    let ended = table.ended_by(&[domain("kept")], position(1, 10), NOW);
    assert_eq!(ended, [order("gone", 10, false)]);
    for order in ended {
        assert!(table.merge(order, None, NOW));
    }
    assert!(!table.is_evacuated(&domain("gone")));
    assert_eq!(table.ended_at(&domain("gone")), Some(NOW));
    assert!(table.is_evacuated(&domain("kept")) && table.is_evacuated(&domain("newer")));
    // A copy of the order that was ended arrives late.
    assert!(!table.merge(order("gone", 5, true), None, NOW));
}

/// Guards against an evacuation that is undone because the store's copy is older than it, and
/// against one that nobody ends because its end was lost as well.
#[test]
fn an_evacuation_that_the_copy_lacks_holds_for_a_while() {
    let mut table = EvacuationTable::default();
    table.merge(order("hall", 50, true), None, NOW);
    assert!(table.ended_by(&[], position(2, 41), NOW).is_empty());
    assert!(table.ended_holds(position(2, 42), NOW).is_empty());
    assert!(table.is_evacuated(&domain("hall")));
    let later = Timestamp(NOW.0 + 60_000);
    let ended = table.ended_holds(position(2, 90), later);
    assert_eq!(ended, [EvacuationOrder { era: 2, ..order("hall", 90, false) }]);
    // The operators have written it again meanwhile.
    table.merge(EvacuationOrder { era: 2, ..order("hall", 43, true) }, None, NOW);
    assert!(table.ended_holds(position(2, 90), later).is_empty());
    assert!(table.is_evacuated(&domain("hall")));
}

/// Guards against an evacuation that has ended and returns with the store's copy, and against a new
/// one that is ignored because its position is lower than that of the end.
#[test]
fn an_ended_evacuation_does_not_return_with_the_copy() {
    let mut table = EvacuationTable::default();
    table.merge(order("hall", 30, true), None, NOW);
    table.merge(order("hall", 50, false), None, NOW);
    let copy = EvacuationOrder { era: 2, ..order("hall", 30, true) };
    assert!(!table.merge(copy, None, NOW));
    assert!(!table.is_evacuated(&domain("hall")));
    assert!(table.merge(EvacuationOrder { era: 2, ..order("hall", 42, true) }, None, NOW));
    assert!(table.is_evacuated(&domain("hall")));
}
