//! The lower bound on the duration of a rollout.

use std::time::Duration;

use cassiawheel_testkit::bound::RolloutBound;
use rstest::rstest;

const BOUND: RolloutBound = RolloutBound {
    model_bytes: 32 << 20,
    agents: 8,
    link_bytes_per_s: Some(8 << 20),
    origin_bytes_per_s: 16 << 20,
};

/// The quickstart once reported 0.572 of the lower bound: the bound counted the agents' links,
/// although nothing limits them while the agents serve no requests. Only the origin's rate limits
/// such agents.
#[rstest]
#[case(BOUND, 4_000)]
#[case(RolloutBound { link_bytes_per_s: None, ..BOUND }, 2_000)]
#[case(RolloutBound { origin_bytes_per_s: 4 << 20, ..BOUND }, 8_000)]
fn the_slowest_link_that_holds_bounds_the_time(#[case] bound: RolloutBound, #[case] ms: u64) {
    assert_eq!(bound.span(), Duration::from_millis(ms));
}

#[rstest]
fn a_time_below_the_least_is_an_error() {
    assert!(BOUND.ratio(Duration::from_millis(3_999)).is_err());
    assert_eq!(BOUND.ratio(Duration::from_millis(5_000)).expect("possible"), 1.25);
}
