//! Detection of times in which the process stood still.

use std::time::Duration;

use cassiawheel_decide::{PauseDetector, pause_detector::MIN_PAUSE};
use cassiawheel_model::Timestamp;
use rstest::rstest;

const START: Timestamp = Timestamp(50_000);

fn at(ms: u64) -> Timestamp {
    Timestamp(START.0 + ms)
}

/// Guards against decisions by what was known before a pause, also before a tick has noticed it.
#[rstest]
#[case(500)]
#[case(2_000)]
#[case(10_000)]
fn a_pause_is_detected_with_and_without_a_tick(#[case] pause_ms: u64) {
    let pauses = PauseDetector::new(START);
    assert_eq!(pauses.tick(at(100)), None);
    let woken = at(100 + pause_ms);
    assert!(!pauses.stood_still_since(at(1), at(150)));
    assert!(pauses.stood_still_since(at(150), woken), "no tick has run yet");
    assert_eq!(pauses.last_ended_at(woken), woken);
    assert_eq!(pauses.tick(woken), Some(Duration::from_millis(pause_ms)));
    let later = Timestamp(woken.0 + 5);
    assert!(pauses.stood_still_since(at(150), later));
    assert!(!pauses.stood_still_since(later, later), "a read sent afterwards is not affected");
    assert_eq!(pauses.longest(), Duration::from_millis(pause_ms));
}

/// Guards against requests that wait because a timer was a little late.
#[test]
fn late_ticks_are_no_pause() {
    let pauses = PauseDetector::new(START);
    let step = MIN_PAUSE.as_millis() as u64 - 1;
    for number in 1..20 {
        assert_eq!(pauses.tick(at(step * number)), None);
        assert!(!pauses.stood_still_since(START, at(step * number + 10)));
    }
}
