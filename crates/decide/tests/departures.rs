//! Endpoint processes that leave, as entries tell each other.

use cassiawheel_decide::{DepartureTable, rank::subject_of};
use cassiawheel_model::{DepartureRecord, InstanceId, Timestamp};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);

fn instance() -> InstanceId {
    InstanceId::new("i-7").expect("valid")
}

fn departure(born_at: Option<u64>) -> DepartureRecord {
    let endpoint = subject_of(instance().as_str());
    DepartureRecord { endpoint, born_at: born_at.map(Timestamp) }
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
    let (to_source, cursor) = table.departures_since(0, 1);
    assert!(to_source.is_empty());
    assert!(table.departures_since(cursor, 1).0.is_empty());
    let (to_other, cursor) = table.departures_since(0, 2);
    assert_eq!(to_other, [departure(None)]);
    assert!(table.departures_since(cursor, 2).0.is_empty());
    table.record(departure(Some(9)), Some(2), NOW);
    assert_eq!(table.departures_since(cursor, 1).0, [departure(Some(9))], "a later process");
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
