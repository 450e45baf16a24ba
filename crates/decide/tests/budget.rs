//! Budget of calls to the table service.

use std::time::Duration;

use cassiawheel_decide::budget::{CallBudget, poll_backoff_ms};
use cassiawheel_model::Timestamp;

/// Guards against a process that calls the table service in a loop and exceeds its share, so that
/// other processes would be rejected.
#[test]
fn a_loop_of_calls_is_held_to_its_rate() {
    let mut budget = CallBudget::new(20, Timestamp(0));
    let made = (0..10_000).filter(|now| budget.take(Timestamp(*now)).is_ok()).count();
    assert_eq!(made, 20 + 199);
    assert_eq!(budget.take(Timestamp(9_999)), Err(Duration::from_millis(1)));
    assert!(budget.take(Timestamp(10_000)).is_ok());
}

/// Guards against a clock that steps back: the budget neither grows nor blocks for ever.
#[test]
fn a_clock_that_steps_back_adds_nothing() {
    let mut budget = CallBudget::new(1, Timestamp(50_000));
    assert!(budget.take(Timestamp(50_000)).is_ok());
    assert!(budget.take(Timestamp(10_000)).is_err());
    assert!(budget.take(Timestamp(51_000)).is_ok());
}

/// Guards against polls that overload or miss a recovering table service: while it is down they
/// become rare, but stay frequent enough to notice its return within seconds.
#[test]
fn polls_back_off_to_eight_times_their_interval() {
    let waits: Vec<_> = (0..6).map(|failures| poll_backoff_ms(1_000, failures)).collect();
    assert_eq!(waits, [1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
}
