//! Whether a failed attempt is followed by another, and what its caller is told.

use cassiawheel_decide::{AttemptFailure, RepeatGuard, RetryBudget, RetryStep, RetryTracker};
use cassiawheel_model::{Deadline, NotRunReason, Timestamp};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000);
const DEADLINE: Deadline = Deadline(9_000);

struct TestRequest {
    tracker: RetryTracker,
    budget: RetryBudget,
    rng: SmallRng,
}

impl TestRequest {
    fn new(guard: RepeatGuard) -> Self {
        let rng = SmallRng::seed_from_u64(1);
        Self { tracker: RetryTracker::new(guard, DEADLINE, 3), budget: RetryBudget::default(), rng }
    }

    fn after(&mut self, end: AttemptFailure) -> RetryStep {
        self.tracker.begin_attempt();
        self.tracker.next_step(end, &self.budget, NOW, &mut self.rng)
    }
}

fn unknown() -> AttemptFailure {
    AttemptFailure::Unknown("the connection was lost".to_owned())
}

fn refused(reason: NotRunReason) -> AttemptFailure {
    AttemptFailure::NotRun(reason)
}

/// A card charge is sent, the connection breaks, and nothing tells whether the
/// card was charged. A second attempt could charge it twice.
#[test]
fn a_request_without_key_is_not_sent_again_after_a_possible_run() {
    let mut request = TestRequest::new(RepeatGuard::None);
    assert_eq!(request.after(unknown()), RetryStep::Stop(unknown()));
}

/// The first attempt may have run; the second was refused. Were the caller told
/// the last word, "not run", it would order again what it already has.
#[rstest]
#[case(NotRunReason::Draining)]
#[case(NotRunReason::NoEndpoint)]
#[case(NotRunReason::StoreUnavailable)]
fn a_refusal_after_a_possible_run_stays_unknown(#[case] reason: NotRunReason) {
    let mut request = TestRequest::new(RepeatGuard::Claimed);
    assert!(matches!(request.after(unknown()), RetryStep::Retry(_)));
    let mut step = request.after(refused(reason));
    while let RetryStep::Retry(_) = step {
        step = request.after(refused(reason));
    }
    assert_eq!(step, RetryStep::Stop(unknown()));
}

/// An agent says that another attempt holds the key. The next agent would find
/// the same row and wait for it as long, and the caller would wait for all.
#[test]
fn a_claim_that_is_held_elsewhere_ends_the_attempts() {
    let mut request = TestRequest::new(RepeatGuard::Claimed);
    let step = request.after(AttemptFailure::Unanswered("held".to_owned()));
    assert!(matches!(step, RetryStep::Stop(AttemptFailure::Unknown(_))));
}

/// The only endpoint is full. "No endpoint" would send the operator to look for
/// a dead process.
#[test]
fn the_last_refusal_is_reported_and_not_that_no_endpoint_is_left() {
    let mut request = TestRequest::new(RepeatGuard::Idempotent);
    assert!(matches!(request.after(refused(NotRunReason::Overloaded)), RetryStep::Retry(_)));
    let step = request.after(refused(NotRunReason::NoEndpoint));
    assert_eq!(step, RetryStep::Stop(refused(NotRunReason::Overloaded)));
}

/// An entry lags behind a change of the preset. The endpoint that refuses is
/// healthy and may be the only one; it is asked again under the newer preset.
#[test]
fn a_stale_revision_is_routed_anew() {
    let mut request = TestRequest::new(RepeatGuard::None);
    let step = request.after(refused(NotRunReason::StaleRevision));
    assert!(matches!(step, RetryStep::Reroute(_)));
}

/// Every endpoint refuses under overload. Unbounded retries would multiply the
/// load; here 10,000 requests make at most 1,100 of them.
#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    let budget = RetryBudget::default();
    let mut rng = SmallRng::seed_from_u64(2);
    let mut attempts = 0;
    for _ in 0..10_000 {
        let mut tracker = RetryTracker::new(RepeatGuard::Idempotent, DEADLINE, 3);
        budget.deposit();
        loop {
            tracker.begin_attempt();
            attempts += 1;
            let end = refused(NotRunReason::Overloaded);
            if let RetryStep::Stop(_) = tracker.next_step(end, &budget, NOW, &mut rng) {
                break;
            }
        }
    }
    assert!((10_500..=11_100).contains(&attempts), "{attempts} attempts");
}

/// Guards against entries that each keep the share that they had when they knew few others.
#[test]
fn the_bursts_of_all_entries_stay_within_the_slack() {
    let (slack, entries) = (654.0, 149);
    let budgets: Vec<_> = (0..entries).map(|_| RetryBudget::new(0.2, slack / 9.0)).collect();
    budgets.iter().for_each(|budget| budget.set_burst(slack / f64::from(entries)));
    let retries = |budget: &RetryBudget| (0..1_000).take_while(|_| budget.withdraw()).count();
    let total: usize = budgets.iter().map(retries).sum();
    assert!(total as f64 <= slack, "{total} retries at once");
    budgets[0].set_burst(slack / 9.0);
    assert_eq!(retries(&budgets[0]), 0, "a larger share is earned and not given");
}
