//! The list of endpoints, which entries read in turns and tell each other.

use std::net::SocketAddr;

use cassiawheel_decide::{EndpointListing, ListingUpdate};
use cassiawheel_model::{
    Deadline, FailureDomain, InstanceId, ListedEndpoint, ListedRow, ServiceName, Timestamp,
};

const HEARTBEAT_MS: u64 = 1_200;
const START: Timestamp = Timestamp(1_000_000);

fn at(ms: u64) -> Timestamp {
    Timestamp(START.0 + ms)
}

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name).expect("valid")
}

fn endpoint(name: &str, is_leaving: bool) -> ListedEndpoint {
    ListedEndpoint {
        instance: instance(name),
        service: ServiceName::new("desk").expect("valid"),
        addr: SocketAddr::from(([10, 0, 0, name.as_bytes()[0]], 8_001)),
        failure_domain: FailureDomain::new("hall").expect("valid"),
        slots: 16,
        is_leaving,
        born_at: None,
        version: None,
    }
}

fn row(name: &str, position: u64) -> ListedRow {
    let endpoint = Some(endpoint(name, false));
    ListedRow { instance: instance(name), position, endpoint, is_unusable: false }
}

fn gone(name: &str, position: u64) -> ListedRow {
    ListedRow { instance: instance(name), position, endpoint: None, is_unusable: false }
}

fn news(rows: Vec<ListedRow>, base: u64, position: u64, asked_at: Timestamp) -> ListingUpdate {
    ListingUpdate { rows, base, position, asked_at }
}

fn names(listing: &EndpointListing) -> Vec<String> {
    listing.endpoints().map(|endpoint| endpoint.instance.to_string()).collect()
}

fn read(rows: Vec<ListedRow>, position: u64) -> EndpointListing {
    let mut listing = EndpointListing::new(HEARTBEAT_MS);
    listing.apply_read(news(rows, 0, position, START), START);
    listing
}

/// An endpoint leaves without a word: its row vanishes while the list answers.
/// It gets nothing new from the moment at which that is read.
#[test]
fn a_row_that_vanishes_while_the_list_answers_is_gone_at_once() {
    let mut listing = read(vec![row("a", 1), row("b", 2)], 2);
    let told = listing.apply_read(news(vec![gone("a", 3)], 2, 3, at(500)), at(505));
    assert_eq!(names(&listing), ["b"]);
    assert_eq!(told.rows, [gone("a", 3)]);
}

/// The platform's store was away for seconds and endpoints could not renew
/// their rows. Taking them all for gone would refuse every caller although the
/// endpoints live; those that are not back in time are gone after all.
#[test]
fn rows_that_lapsed_in_an_outage_may_come_back() {
    let mut listing = read(vec![row("a", 1), row("b", 2)], 2);
    let back_at = at(6_000);
    let told = listing.apply_read(news(vec![gone("a", 3), gone("b", 4)], 2, 4, back_at), back_at);
    assert_eq!(names(&listing), ["a", "b"]);
    assert!(told.rows.is_empty(), "the others must not drop them either: {told:?}");
    listing.apply_read(news(vec![row("a", 5)], 4, 5, at(6_500)), at(6_500));
    assert!(listing.expire_missing(at(7_500)).is_empty());
    let removed = listing.expire_missing(at(8_400));
    assert_eq!(names(&listing), ["a"]);
    assert_eq!(removed.iter().map(|row| &row.instance).collect::<Vec<_>>(), [&instance("b")]);
}

/// The history was dropped, so the whole list is read again. A row that is not
/// in it was removed in between.
#[test]
fn a_whole_read_shows_what_was_removed() {
    let mut listing = read(vec![row("a", 1), row("b", 2)], 2);
    let told = listing.apply_read(news(vec![row("b", 2)], 0, 7, at(500)), at(500));
    assert_eq!(names(&listing), ["b"]);
    assert!(told.rows.contains(&gone("a", 7)));
}

/// Two entries tell the same in different orders, one of them late. The older
/// row must not bring an endpoint back that has left.
#[test]
fn an_older_row_changes_nothing() {
    let mut listing = read(vec![row("a", 1)], 1);
    assert!(listing.apply_update(&news(vec![gone("a", 5)], 1, 5, at(600))));
    assert!(listing.apply_update(&news(vec![row("a", 3)], 1, 3, at(300))));
    assert!(names(&listing).is_empty());
    assert_eq!(listing.position(), 5);
}

/// An entry missed some news, as when a queue was full. News that build on them
/// are not enough, and it has to ask for the whole list.
#[test]
fn news_with_a_gap_are_not_taken() {
    let mut listing = read(vec![row("a", 1)], 1);
    assert!(!listing.apply_update(&news(vec![row("c", 9)], 8, 9, at(900))));
    assert_eq!(names(&listing), ["a"]);
    assert!(listing.apply_update(&news(vec![row("b", 4), row("c", 9)], 0, 9, at(900))));
    assert_eq!(names(&listing), ["b", "c"]);
}

/// The entry that reads dies. The next one reads a step later by itself, and the
/// word of a leaving endpoint still arrives in time.
#[test]
fn the_next_rank_reads_when_the_first_falls_silent() {
    let listing = read(vec![row("a", 1)], 1);
    assert_eq!(listing.next_read_at(0), Deadline(at(500).0));
    assert_eq!(listing.next_read_at(1), Deadline(at(750).0));
    assert!(listing.next_read_at(400).0 <= at(2_000).0, "a leaving endpoint has two seconds");
}

/// All instances lose power. Their engines start again at the same addresses
/// under new names, while the rows of the former ones stay for seconds. Requests
/// go to the new ones only, or half of the callers are refused meanwhile.
#[test]
fn the_newest_process_at_an_address_is_the_present_one() {
    let mut listing = read(vec![row("a", 1), row("b", 2)], 2);
    let mut restarted = endpoint("z", false);
    restarted.addr = endpoint("a", false).addr;
    let restarted = ListedRow { endpoint: Some(restarted), ..row("z", 5) };
    listing.apply_read(news(vec![restarted], 2, 5, at(500)), at(500));
    let present = |listing: &EndpointListing| -> Vec<String> {
        let present = listing.latest_per_addr(|_| true);
        present.iter().map(|endpoint| endpoint.instance.to_string()).collect()
    };
    assert_eq!(present(&listing), ["b", "z"]);
    let service = ServiceName::new("desk").expect("valid");
    let at_address = listing.latest_at(&service, endpoint("a", false).addr);
    assert_eq!(at_address.map(|endpoint| &endpoint.instance), Some(&instance("z")));
    // A row of a service that nobody knows is somebody else's and hides none.
    assert!(listing.latest_per_addr(|service| service.as_str() == "other").is_empty());
}

/// An entry learns that another process answers at an endpoint's address. A word
/// that was on its way with the same row must not bring the endpoint back.
#[test]
fn a_forgotten_endpoint_does_not_come_back_with_an_old_row() {
    let mut listing = read(vec![row("a", 1), row("b", 2)], 2);
    assert!(listing.forget(&instance("a")));
    assert!(!listing.forget(&instance("a")));
    assert!(listing.apply_update(&news(vec![row("a", 1)], 2, 2, at(300))));
    assert_eq!(names(&listing), ["b"]);
    assert!(listing.apply_update(&news(vec![row("a", 3)], 2, 3, at(400))));
    assert_eq!(names(&listing), ["a", "b"]);
}

/// Another writer overwrites the row of a sound endpoint with something that
/// names none, right after an outage of the list. Rows that lapsed then are kept
/// for a while, but this one did not lapse: requests must not go on to an
/// endpoint that no row names.
#[test]
fn an_unusable_row_ends_its_endpoint_also_after_an_outage() {
    let mut listing = read(vec![row("a", 1), row("b", 2)], 2);
    let unusable = ListedRow { is_unusable: true, ..gone("a", 3) };
    listing.apply_read(news(vec![unusable, gone("b", 4)], 2, 4, at(6_000)), at(6_000));
    assert_eq!(names(&listing), ["b"]);
    assert!(listing.apply_update(&news(vec![row("a", 5)], 4, 5, at(6_500))));
    assert_eq!(names(&listing), ["a", "b"]);
}

/// An entry that has just started meets many others at once, and each of them knows more
/// of the list. Asked of all of them it comes as many times, over links that carry the
/// callers' answers. One is asked, and the next one once that one should have answered.
#[test]
fn one_entry_at_a_time_is_asked_for_the_whole_list() {
    let mut listing = EndpointListing::new(1_200);
    assert!(listing.begin_snapshot_request(Timestamp(1_000)));
    assert!(!listing.begin_snapshot_request(Timestamp(1_001)));
    assert!(!listing.begin_snapshot_request(Timestamp(1_200)));
    assert!(listing.begin_snapshot_request(Timestamp(1_250)));
}
