//! Event streams that are joined from several runs.

use cassiawheel_decide::{EventError, EventSplicer};
use proptest::prelude::*;
use rstest::rstest;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {{\"text\":\"piece {id}\"}}\n\n")
}

fn stream(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

fn push(splicer: &mut EventSplicer, text: &str) -> String {
    String::from_utf8(splicer.push(text.as_bytes()).expect("short events")).expect("text")
}

/// Guards against a partial event in the answer. An endpoint fails in the middle of an event and
/// another one resumes after the last complete event.
#[test]
fn a_broken_event_is_never_passed_on() {
    let mut splicer = EventSplicer::default();
    let first = push(&mut splicer, &(stream(1..=3) + "id: 4\ndata: {\"te"));
    assert_eq!(first, stream(1..=3));
    assert_eq!(splicer.last_id(), Some(3));
    splicer.discard_partial();
    let second = push(&mut splicer, &stream(4..=6));
    assert_eq!(second, stream(4..=6));
    assert_eq!(splicer.finish(), Ok(()));
}

/// Guards against duplicate text: the resuming endpoint may repeat events that the caller already
/// has.
#[test]
fn repeated_events_are_dropped() {
    let mut splicer = EventSplicer::new(Some(2));
    assert_eq!(push(&mut splicer, &stream(1..=4)), stream(3..=4));
}

/// Guards against treating a stream that ends within an event as complete, although its framing is
/// correct.
#[test]
fn a_stream_that_ends_within_an_event_is_not_whole() {
    let mut splicer = EventSplicer::default();
    push(&mut splicer, "id: 1\ndata: x\n");
    assert_eq!(splicer.finish(), Err(EventError::Unfinished));
}

/// Guards against input without event boundaries that fills the memory.
#[test]
fn endless_events_are_refused() {
    let mut splicer = EventSplicer::default();
    let block = vec![b'x'; 256 << 10];
    let ended = (0..8).map(|_| splicer.push(&block)).find(Result::is_err);
    assert_eq!(ended, Some(Err(EventError::TooLong)));
}

/// Both line endings are accepted, a comment has no id, and a version line may precede the id.
#[rstest]
#[case("id: 7\r\ndata: x\r\n\r\n", Some(7))]
#[case(": comment\n\n", None)]
#[case("x-weight-versions: 2\nid: 9\ndata: y\n\n", Some(9))]
fn events_of_every_form_pass(#[case] text: &str, #[case] id: Option<u64>) {
    let mut splicer = EventSplicer::default();
    assert_eq!(push(&mut splicer, text), text);
    assert_eq!(splicer.last_id(), id);
}

proptest! {
    /// The events do not depend on how the network splits the stream.
    #[test]
    fn any_cut_gives_the_same_events(cuts in proptest::collection::vec(1_usize..40, 1..60)) {
        let whole = stream(1..=12);
        let mut splicer = EventSplicer::default();
        let mut passed = String::new();
        let mut rest = whole.as_str();
        for cut in cuts {
            let (part, left) = rest.split_at(cut.min(rest.len()));
            passed += &push(&mut splicer, part);
            rest = left;
        }
        passed += &push(&mut splicer, rest);
        prop_assert_eq!(passed, whole);
        prop_assert_eq!(splicer.finish(), Ok(()));
    }

    /// Runs that break at any point and resume after the last complete event join to one stream.
    #[test]
    fn any_breaks_join_to_one_stream(breaks in proptest::collection::vec(1_usize..90, 0..8)) {
        let mut splicer = EventSplicer::default();
        let mut passed = String::new();
        for length in breaks {
            let next = splicer.last_id().unwrap_or(0) + 1;
            let run = stream(next..=9);
            let cut = &run[..length.min(run.len())];
            passed += &push(&mut splicer, cut);
            splicer.discard_partial();
        }
        let next = splicer.last_id().unwrap_or(0) + 1;
        if next <= 9 {
            passed += &push(&mut splicer, &stream(next..=9));
        }
        prop_assert_eq!(passed, stream(1..=9));
    }
}
