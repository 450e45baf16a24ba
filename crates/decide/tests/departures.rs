//! Endpoint processes that leave, as entries tell each other.

use cassiawheel_decide::{DepartureTable, rank::subject_of};
use cassiawheel_model::{DepartureRecord, InstanceId, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);

fn instance() -> InstanceId {
    InstanceId::new("i-7").expect("valid")
}

fn departure(born_at: Option<u64>) -> DepartureRecord {
    let endpoint = subject_of(instance().as_str());
    DepartureRecord { endpoint, born_at: born_at.map(Timestamp), unlisted_s: 0 }
}

/// Guards against a departure that an older statement takes back, or that outlives its process.
#[rstest]
#[case(None, None, true)]
#[case(Some(5), Some(5), true)]
#[case(Some(5), Some(4), true)]
#[case(Some(5), None, true)]
#[case(Some(5), Some(6), false)]
#[case(None, Some(6), false)]
fn a_departure_holds_for_its_process(
    #[case] recorded: Option<u64>,
    #[case] listed: Option<u64>,
    #[case] is_leaving: bool,
) {
    let mut table = DepartureTable::default();
    assert!(table.record(departure(recorded), None, NOW));
    assert_eq!(table.is_leaving(&instance(), listed.map(Timestamp)), is_leaving);
    assert!(!table.record(departure(recorded), Some(1), NOW), "known");
}

/// Guards against a departure that a new link misses, or that goes back to where it came from.
#[test]
fn every_link_gets_a_departure_once() {
    let mut table = DepartureTable::default();
    table.record(departure(None), Some(1), NOW);
    let (to_source, cursor) = table.departures_since(0, 1, NOW);
    assert!(to_source.is_empty());
    assert!(table.departures_since(cursor, 1, NOW).0.is_empty());
    let (to_other, cursor) = table.departures_since(0, 2, NOW);
    assert_eq!(to_other, [departure(None)]);
    assert!(table.departures_since(cursor, 2, NOW).0.is_empty());
    table.record(departure(Some(9)), Some(2), NOW);
    assert_eq!(table.departures_since(cursor, 1, NOW).0, [departure(Some(9))], "a later process");
}

/// Guards against a departure that lapses while its endpoint is listed, and against a table that
/// grows for ever.
#[test]
fn a_departure_is_kept_while_its_endpoint_is_listed() {
    let mut table = DepartureTable::default();
    table.record(departure(None), None, NOW);
    let hours = |hours: u64| Timestamp(NOW.0 + hours * 3_600_000);
    table.expire(|_| true, hours(5));
    assert!(table.is_leaving(&instance(), None));
    table.expire(|_| false, Timestamp(hours(5).0 + 60_000));
    assert!(table.is_leaving(&instance(), None), "a late row may still arrive");
    table.expire(|_| false, hours(6));
    assert!(table.is_empty());
}

/// Guards against departures that entries send each other without end as some of them restart, until
/// there is no room for those of other endpoints.
#[rstest]
fn a_departure_is_forgotten_by_all(#[values(3, 9, 41)] entries: usize) {
    let mut rng = StdRng::seed_from_u64(entries as u64);
    let mut tables: Vec<_> = (0..entries).map(|_| DepartureTable::default()).collect();
    for table in &mut tables {
        table.record(departure(None), None, NOW);
    }
    for second in 1..3_600 {
        let now = Timestamp(NOW.0 + second * 1_000);
        let (from, to) = (rng.random_range(0..entries), rng.random_range(0..entries));
        let (sent, _) = tables[from].departures_since(0, second, now);
        let link = second + 10_000;
        sent.into_iter().for_each(|departure| {
            tables[to].record(departure, Some(link), now);
        });
        if second % 50 == 0 {
            tables[rng.random_range(0..entries)] = DepartureTable::default();
        }
        for table in &mut tables {
            table.expire(|_| false, now);
        }
    }
    assert!(tables.iter().all(DepartureTable::is_empty));
}
