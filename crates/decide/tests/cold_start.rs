//! Endpoints that are cold get no more requests than they tolerate, from all entries together.

use cassiawheel_decide::{ColdBound, EndpointListing, EndpointTracker, HolderRank, ListingUpdate};
use cassiawheel_model::{
    Deadline, FailureDomain, InstanceId, ListedEndpoint, ListedRow, ServiceName, Timestamp,
};
use rstest::rstest;

const START: Timestamp = Timestamp(1_000_000);

/// Requests that a cold endpoint gets from `groups` parts of a partitioned network, each of which
/// has `entries` entries with work at any time; one timestamp each.
fn sent(bound: ColdBound, entries: usize, groups: usize, span_ms: u64) -> Vec<u64> {
    let trackers: Vec<_> = (0..groups)
        .flat_map(|_| (0..entries).map(|rank| (rank, EndpointTracker::default())))
        .collect();
    for (rank, tracker) in &trackers {
        let holder = HolderRank { rank: *rank, candidates: entries, entries, phase: 0.5 };
        tracker.set_pace(Some(bound.pace(holder)), START);
    }
    let mut sent = Vec::new();
    for now in START.0..START.0 + span_ms {
        for (_, tracker) in &trackers {
            if tracker.try_acquire_paced(u32::MAX, Timestamp(now)) {
                tracker.release();
                sent.push(now);
            }
        }
    }
    sent
}

/// Guards against entries that together overrun a cold endpoint, also in a partitioned network.
#[rstest]
fn a_cold_endpoint_gets_no_more_than_its_bound(
    #[values(1, 2, 11, 161)] entries: usize,
    #[values(1, 2)] groups: usize,
    #[values((26.0, 1.5, 5.0), (4.0, 1.5, 5.0), (200.0, 1.0, 0.0))] figures: (f64, f64, f64),
) {
    let (rate, overshoot, slack) = figures;
    let bound = ColdBound { rate, overshoot, slack };
    let sent = sent(bound, entries, groups, 4_000);
    let most =
        sent.iter().map(|from| sent.iter().filter(|at| (*from..from + 1_000).contains(at)).count());
    let most = most.max().unwrap_or_default() as f64;
    // Each of at most three holders in a group may be half a request ahead.
    let ahead = 1.5 * groups as f64;
    assert!(most <= rate * overshoot + slack + ahead, "{most}");
    // Half of the tolerated rate is used from one group alone.
    assert!(sent.len() as f64 >= 4.0 * rate.min((rate * overshoot + slack) / 2.0) * 0.8 - 3.0);
}

fn row(position: u64, cold_ms: u64) -> ListedRow {
    let instance = InstanceId::new("i-1").expect("valid");
    let endpoint = ListedEndpoint {
        instance: instance.clone(),
        service: ServiceName::new("desk").expect("valid"),
        addr: "10.0.0.1:8001".parse().expect("valid"),
        failure_domain: FailureDomain::new("hall").expect("valid"),
        slots: 12,
        is_leaving: false,
        cold_ms,
        born_at: None,
        version: None,
    };
    ListedRow { instance, position, endpoint: Some(endpoint), is_unusable: false }
}

/// Guards against a time of coldness that starts anew with each copy of the same row.
#[test]
fn a_repeated_row_does_not_prolong_the_time_of_coldness() {
    let instance = InstanceId::new("i-1").expect("valid");
    let mut listing = EndpointListing::new(1_200);
    let read = |row: ListedRow, base: u64, asked_at: u64| ListingUpdate {
        position: row.position,
        rows: vec![row],
        base,
        asked_at: Timestamp(asked_at),
        era: 0,
        base_era: 0,
        missing: Vec::new(),
    };
    listing.apply_read(read(row(5, 3_000), 0, 10_000), Timestamp(10_010));
    assert_eq!(listing.cold_until(&instance), Some(Deadline(13_000)));
    listing.apply_update(&read(row(5, 3_000), 0, 11_000));
    assert_eq!(listing.cold_until(&instance), Some(Deadline(13_000)));
    listing.apply_read(read(row(6, 2_500), 5, 11_500), Timestamp(11_510));
    assert_eq!(listing.cold_until(&instance), Some(Deadline(14_000)));
    listing.apply_read(read(row(7, 0), 6, 12_000), Timestamp(12_010));
    assert_eq!(listing.cold_until(&instance), None);
}
