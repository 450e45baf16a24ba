//! Admission after an outage of a service, when all entries have waiting callers.

use cassiawheel_decide::{OutageRecovery, SlotCompetitor, SlotShare};
use cassiawheel_model::Timestamp;
use rstest::rstest;

const ENTRIES: usize = 32;
const ENDPOINTS: u32 = 58;
const SLOTS: u32 = 12;
const END: Timestamp = Timestamp(1_000_000);

fn after(ms: u64) -> Timestamp {
    Timestamp(END.0 + ms)
}

/// Slots of all entries together while `ready` endpoints are idle.
fn capacity_of_all(recovery: &OutageRecovery, ready: u32, now: Timestamp) -> u32 {
    let of_entry = |entry: usize| {
        let hash = (u64::MAX / ENTRIES as u64) * entry as u64;
        let competitor = SlotCompetitor::new(ENTRIES, hash, now);
        let mut slots = SlotShare::new(competitor.dividing_all(recovery.is_recovering(now)));
        (0..ready).for_each(|_| slots.add_endpoint(SLOTS, 0, 0));
        slots.capacity()
    };
    (0..ENTRIES).map(of_entry).sum()
}

/// Guards against answers that are late for seconds after an outage. Each entry used the idle
/// slots that it saw, so that all together sent a multiple of what fits.
#[rstest]
#[case::first_endpoints(6)]
#[case::half(29)]
#[case::all(ENDPOINTS)]
fn entries_divide_the_slots_after_an_outage(#[case] ready: u32) {
    let recovery = OutageRecovery::default();
    recovery.record_unserved(END);
    for ms in [0, 500, 1_900] {
        let admitted = capacity_of_all(&recovery, ready, after(ms));
        let limit = (ready * SLOTS).max(ENTRIES as u32);
        assert!(admitted <= limit, "{admitted} requests for {limit} slots after {ms} ms");
        assert!(admitted * 10 >= limit * 8, "{admitted} of {limit} slots after {ms} ms");
    }
}

/// Guards against refusals at a single entry with many callers long after an outage.
#[test]
fn free_slots_are_open_again_once_callers_have_returned() {
    let recovery = OutageRecovery::default();
    recovery.record_unserved(END);
    let open = capacity_of_all(&OutageRecovery::default(), ENDPOINTS, END);
    assert!(open > 4 * ENDPOINTS * SLOTS);
    assert_eq!(capacity_of_all(&recovery, ENDPOINTS, after(2_000)), open);
}

/// Guards against callers who are told to return at once although nothing serves them.
#[test]
fn a_service_counts_as_unserved_until_requests_find_an_endpoint() {
    let recovery = OutageRecovery::default();
    assert!(!recovery.is_unserved(END));
    recovery.record_unserved(END);
    recovery.record_unserved(Timestamp(END.0 - 50));
    assert!(recovery.is_unserved(after(99)));
    assert!(!recovery.is_unserved(after(100)));
}
