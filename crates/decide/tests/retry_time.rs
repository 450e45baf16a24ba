//! When refused callers are told to retry.

use std::time::Duration;

use cassiawheel_decide::{AdmitTier, RefusedCaller, RetryOutlook, RetryPlan};
use cassiawheel_model::{Timestamp, Urgency};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);
const LEFT: Duration = Duration::from_secs(6);

fn caller(urgency: u8, tier: AdmitTier) -> RefusedCaller {
    RefusedCaller { remaining: LEFT, urgency: Urgency::from(urgency), tier }
}

fn outlook(slots_per_s: f64, fresh_per_s: f64) -> RetryOutlook {
    let mut fresh = [0.0; 10];
    fresh[5] = fresh_per_s;
    RetryOutlook { is_served: true, slots_per_s, fresh_per_s: fresh, waiting: 0 }
}

/// Seconds that `count` equal callers are told at the same time.
fn told(count: usize, outlook: &RetryOutlook) -> Vec<f64> {
    let mut plan = RetryPlan::default();
    let mut assign =
        || plan.assign(caller(5, AdmitTier::Fresh), outlook, NOW).as_millis() as f64 / 1_000.0;
    (0..count).map(|_| assign()).collect()
}

/// Guards against callers that return together, before there is room, or later than they honour:
/// with room they fill it in order, without any they spread over the last half of their interval,
/// and while nothing serves over its last quarter.
#[rstest]
#[case::room(outlook(60.0, 40.0), 10, 0.1..=0.7)]
#[case::more_than_the_room(outlook(60.0, 40.0), 60, 0.1..=2.0)]
#[case::full(outlook(40.0, 60.0), 10, 1.0..=2.0)]
#[case::restarted_entry(outlook(0.0, 0.0), 10, 1.0..=2.0)]
#[case::unserved(RetryOutlook { is_served: false, ..outlook(60.0, 0.0) }, 10, 1.5..=2.0)]
fn callers_return_when_there_is_room(
    #[case] outlook: RetryOutlook,
    #[case] count: usize,
    #[case] expected: std::ops::RangeInclusive<f64>,
) {
    let told = told(count, &outlook);
    assert!(told.iter().all(|told_s| expected.contains(told_s)), "{told:?}");
    let middle = (expected.start() + expected.end()) / 2.0;
    let early = told.iter().filter(|told_s| **told_s < middle).count();
    assert!((count * 3 / 10..=count * 7 / 10).contains(&early), "{told:?}");
}

/// Guards against a delay that a caller with little time left does not honour.
#[test]
fn a_delay_is_at_most_a_third_of_the_time_left() {
    let mut plan = RetryPlan::default();
    for (left_ms, most_ms) in [(6_000, 2_000), (900, 300), (60, 100)] {
        for slots_per_s in [0.0, 100.0] {
            let remaining = Duration::from_millis(left_ms);
            let caller = RefusedCaller { remaining, ..caller(5, AdmitTier::Fresh) };
            let delay = plan.assign(caller, &outlook(slots_per_s, 0.0), NOW);
            assert!((100..=most_ms).contains(&delay.as_millis()), "{delay:?} of {left_ms}");
        }
    }
}

/// Guards against urgent or long-waiting callers that are told to return behind the others.
#[test]
fn more_urgent_and_longer_waiting_callers_return_earlier() {
    let mut plan = RetryPlan::default();
    let outlook = outlook(10.0, 0.0);
    let mut assign = |urgency, tier| plan.assign(caller(urgency, tier), &outlook, NOW);
    let last_fresh = (0..10).map(|_| assign(2, AdmitTier::Fresh)).last();
    let returned = assign(2, AdmitTier::Returned);
    let urgent = assign(0, AdmitTier::Fresh);
    assert!(Some(returned) < last_fresh && urgent < Duration::from_millis(300), "{urgent:?}");
}

/// Guards against intervals that are kept for callers who do not return: clients retry once.
#[test]
fn callers_that_were_refused_twice_take_no_room() {
    let mut plan = RetryPlan::default();
    let outlook = outlook(60.0, 40.0);
    for _ in 0..60 {
        plan.assign(caller(5, AdmitTier::Returned), &outlook, NOW);
    }
    assert_eq!(plan.expected(NOW), 0);
    let delay = plan.assign(caller(5, AdmitTier::Fresh), &outlook, NOW);
    assert!(delay < Duration::from_millis(300), "{delay:?}");
}
