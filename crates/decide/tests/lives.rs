//! Endpoints that restart under the same name.

use cassiawheel_decide::RestartDetector;
use cassiawheel_model::{InstanceId, Timestamp};

/// Guards against keeping the ejection of a crashed engine after its restart. The new process is
/// idle and healthy and differs only in its start time. A late row of the earlier process must not
/// count as another start.
#[test]
fn a_later_start_under_the_same_name_is_a_restart() {
    let engine = InstanceId::new("engine-1").expect("valid");
    let mut detector = RestartDetector::default();
    assert!(
        !detector.observe_start(&engine, Some(Timestamp(1_000))),
        "the first start replaces none"
    );
    assert!(!detector.observe_start(&engine, Some(Timestamp(1_000))));
    assert!(detector.observe_start(&engine, Some(Timestamp(5_000))));
    assert!(
        !detector.observe_start(&engine, Some(Timestamp(1_000))),
        "a late row of the earlier process"
    );
    assert!(!detector.observe_start(&engine, Some(Timestamp(5_000))));
    assert!(!detector.observe_start(&engine, None), "a row without a start time");
    detector.keep_only(|_| false);
    assert!(
        !detector.observe_start(&engine, Some(Timestamp(9_000))),
        "it was not listed in between"
    );
}
