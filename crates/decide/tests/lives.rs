//! Endpoints that start again under the name that they had.

use cassiawheel_decide::RestartDetector;
use cassiawheel_model::{InstanceId, Timestamp};

/// An engine fails so often that it gets no requests for half a minute, crashes
/// and starts again under its name. It is idle and sound; that it is another
/// process shows in its start alone. A late word of the former process must not
/// count as one more start.
#[test]
fn a_later_start_under_the_same_name_is_a_restart() {
    let engine = InstanceId::new("engine-1").expect("valid");
    let mut detector = RestartDetector::default();
    assert!(!detector.observe_start(&engine, Some(Timestamp(1_000))), "the first life ends none");
    assert!(!detector.observe_start(&engine, Some(Timestamp(1_000))));
    assert!(detector.observe_start(&engine, Some(Timestamp(5_000))));
    assert!(
        !detector.observe_start(&engine, Some(Timestamp(1_000))),
        "a late word of the former life"
    );
    assert!(!detector.observe_start(&engine, Some(Timestamp(5_000))));
    assert!(!detector.observe_start(&engine, None), "a list that tells no start");
    detector.keep_only(|_| false);
    assert!(
        !detector.observe_start(&engine, Some(Timestamp(9_000))),
        "it was not listed in between"
    );
}
