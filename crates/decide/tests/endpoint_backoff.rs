//! Backoff that endpoints request: kept, completed by an answer, and probed afterwards.

use std::time::Duration;

use cassiawheel_decide::{EndpointBackoff, EndpointTracker};
use cassiawheel_model::Timestamp;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);
const SPAN: Duration = Duration::from_millis(3_000);

fn at(ms: u64) -> Timestamp {
    Timestamp(NOW.0 + ms)
}

/// Guards against requests within a backoff, and against more than one before the endpoint answers.
#[test]
fn one_request_follows_a_backoff() {
    let backoff = EndpointBackoff::default();
    assert!(backoff.take(NOW) && backoff.take(NOW), "none was requested");
    assert!(backoff.begin(SPAN, 0.0, NOW));
    let sent: Vec<_> = (0..4_500).filter(|ms| backoff.take(at(*ms))).collect();
    assert_eq!(sent, [3_000, 4_000], "one, and one more as it was not answered");
    assert!(backoff.end(at(4_600)));
    assert!(backoff.take(at(4_600)) && backoff.take(at(4_600)));
}

/// Guards against an answer to an earlier request that ends a backoff, and against a shorter one
/// that replaces a longer one.
#[test]
fn the_latest_end_holds() {
    let backoff = EndpointBackoff::default();
    backoff.begin(SPAN, 0.0, NOW);
    assert!(!backoff.end(at(100)), "an answer that was under way");
    assert!(!backoff.begin(Duration::from_millis(200), 0.0, at(100)));
    assert!(!backoff.is_due(at(2_999)) && backoff.is_due(at(3_000)));
    assert!(backoff.begin(SPAN, 0.0, at(3_100)), "a refused probe");
    assert!(!backoff.is_due(at(6_099)) && backoff.is_due(at(6_100)));
}

/// Guards against a backoff that overflows and then counts as none.
#[test]
fn a_huge_backoff_does_not_overflow() {
    let backoff = EndpointBackoff::default();
    backoff.begin(Duration::from_secs(u64::MAX), 1.0, NOW);
    assert!(!backoff.is_due(at(1 << 50)));
}

/// Guards against entries that were refused together and return in the same moment.
#[test]
fn entries_return_one_after_the_other() {
    let mut rng = SmallRng::seed_from_u64(5);
    let first = |jitter: f64| {
        let backoff = EndpointBackoff::default();
        backoff.begin(SPAN, jitter, NOW);
        (0..5_000).find(|ms| backoff.take(at(*ms))).expect("a probe")
    };
    let mut probes: Vec<_> = (0..370).map(|_| first(rng.random_range(0.0..1.0))).collect();
    probes.sort_unstable();
    assert!(probes[0] >= 3_000 && probes[369] <= 3_500, "{probes:?}");
    let most = probes.windows(40).filter(|window| window[39] - window[0] < 10).count();
    assert_eq!(most, 0, "forty probes within 10 ms");
}

/// Time from which the endpoint sheds no more; the last of its backoffs ends some seconds later.
const CALM_FROM: u64 = 40_000;

/// Most requests within any backoff, counted from half a second after the refusal that requested it.
fn most_in_backoff(arrivals: &[u64], refusals: &[(u64, u64)]) -> usize {
    let within = |(at, span): &(u64, u64)| {
        arrivals.iter().filter(|ms| **ms >= at + 500 && **ms < at + span).count()
    };
    refusals.iter().map(within).max().unwrap_or(0)
}

/// Guards against a backoff that is broken where refusals with different lengths, answers that were
/// under way and lost probes mix.
#[rstest]
fn drawn_refusals_are_kept(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let tracker = EndpointTracker::default();
    tracker.set_hard_limit(16);
    // Requests under way: when they are answered, and with which backoff if they are refused.
    let mut under_way: Vec<(u64, Option<u64>)> = Vec::new();
    let (mut arrivals, mut refusals) = (Vec::new(), Vec::new());
    let mut sheds_until = 0;
    for ms in 0..60_000_u64 {
        if ms < CALM_FROM && rng.random_bool(0.0003) {
            sheds_until = ms + rng.random_range(500..8_000);
        }
        for (_, requested) in under_way.extract_if(.., |(due, _)| *due <= ms) {
            tracker.release();
            match requested {
                Some(span) => {
                    refusals.push((ms, span));
                    let jitter = rng.random_range(0.0..1.0);
                    tracker.begin_backoff(Duration::from_millis(span), jitter, at(ms));
                }
                None => {
                    tracker.record_success();
                    tracker.backoff().end(at(ms));
                }
            }
        }
        if rng.random_bool(0.3) && tracker.try_acquire_paced(16, at(ms)) {
            arrivals.push(ms);
            let sheds = ms < sheds_until;
            let delay = if sheds { rng.random_range(1..5) } else { rng.random_range(20..600) };
            let requested = sheds.then(|| rng.random_range(200..4_000));
            under_way.push((ms + delay, requested));
        }
    }
    assert!(!refusals.is_empty(), "the seed draws refusals");
    let most = most_in_backoff(&arrivals, &refusals);
    assert!(most <= 2, "{most} requests within a backoff");
    assert!(tracker.in_flight() >= 8, "{} in progress: half of the slots", tracker.in_flight());
}

/// The count must see a request that breaks a backoff, or the test above proves nothing.
#[test]
fn the_count_sees_requests_within_a_backoff() {
    assert_eq!(most_in_backoff(&[0, 600, 700, 800], &[(10, 3_000)]), 3);
    assert_eq!(most_in_backoff(&[0, 100, 3_100], &[(10, 3_000)]), 0);
}
