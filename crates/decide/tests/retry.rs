//! Retry decisions and the outcome reported to the caller.

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

/// Guards against a second card charge: the connection breaks, and it is unknown whether the first
/// attempt charged the card.
#[test]
fn a_request_without_key_is_not_sent_again_after_a_possible_run() {
    let mut request = TestRequest::new(RepeatGuard::None);
    assert_eq!(request.after(unknown()), RetryStep::Stop(unknown()));
}

/// Guards against reporting "not run" for the last attempt when an earlier one may have run: the
/// caller would order again what it already has.
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

/// Guards against trying further agents while another attempt holds the claim on the key. Each of
/// them would find the same row and wait as long, and the caller would wait for all.
#[test]
fn a_claim_that_is_held_elsewhere_ends_the_attempts() {
    let mut request = TestRequest::new(RepeatGuard::Claimed);
    let step = request.after(AttemptFailure::Unanswered("held".to_owned()));
    assert!(matches!(step, RetryStep::Stop(AttemptFailure::Unknown(_))));
}

/// Guards against a misleading outcome when the only endpoint is full: "no endpoint" would make the
/// operator search for a dead process.
#[test]
fn the_last_refusal_is_reported_and_not_that_no_endpoint_is_left() {
    let mut request = TestRequest::new(RepeatGuard::Idempotent);
    assert!(matches!(request.after(refused(NotRunReason::Overloaded)), RetryStep::Retry(_)));
    let step = request.after(refused(NotRunReason::NoEndpoint));
    assert_eq!(step, RetryStep::Stop(refused(NotRunReason::Overloaded)));
}

/// Guards against giving up while an entry lags behind a preset change. The endpoint that refuses
/// is healthy and may be the only one; it is tried again under the newer preset.
#[test]
fn a_stale_revision_is_routed_anew() {
    let mut request = TestRequest::new(RepeatGuard::None);
    let step = request.after(refused(NotRunReason::StaleRevision));
    assert!(matches!(step, RetryStep::Reroute(_)));
}

/// Guards against unbounded retries that multiply the load while every endpoint refuses: 10,000
/// requests cause at most 1,100 retries.
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

/// Guards against entries that each keep the burst computed when they knew few other entries.
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

/// Guards against entries that restart, each with a new burst: nine entries are killed three times
/// while every attempt fails.
#[test]
fn restarted_entries_send_no_second_burst() {
    let (ratio, slack, entries, requests) = (0.2, 106.0, 9, 20);
    let mut retries = 0;
    for _ in 0..entries {
        for start in 0..4 {
            let budget = match start {
                0 => RetryBudget::new(ratio, slack / f64::from(entries)),
                _ => RetryBudget::starting(ratio, slack / f64::from(entries)),
            };
            for _ in 0..requests {
                budget.deposit();
                retries += u32::from(budget.withdraw());
            }
        }
    }
    let allowed = ratio * f64::from(entries * 4 * requests) + slack;
    assert!(f64::from(retries) <= allowed, "{retries} retries in one window, allowed {allowed}");
}

/// Guards against an entry that never sends a burst after its start.
#[test]
fn a_started_entry_gets_its_burst_once() {
    let budget = RetryBudget::starting(0.2, 5.0);
    assert!(!budget.withdraw(), "a former process may have used the burst");
    budget.grant_burst();
    budget.grant_burst();
    assert_eq!((0..100).take_while(|_| budget.withdraw()).count(), 5);
    budget.grant_burst();
    assert!(!budget.withdraw(), "the burst was granted before");
}

/// Guards against refusing a request during a rollout although endpoints serve: each attempt meets
/// an endpoint of the wave that has just begun to switch.
#[test]
fn refusals_by_switching_endpoints_use_up_no_attempts() {
    let mut request = TestRequest::new(RepeatGuard::None);
    for _ in 0..6 {
        let step = request.after(refused(NotRunReason::Switching));
        assert!(matches!(step, RetryStep::Reroute(_)), "{step:?}");
    }
    // Other failures still count, and waiting ends at some point.
    assert!(matches!(request.after(refused(NotRunReason::Overloaded)), RetryStep::Retry(_)));
    let mut rest = 0;
    while let RetryStep::Reroute(_) | RetryStep::Retry(_) =
        request.after(refused(NotRunReason::Switching))
    {
        rest += 1;
    }
    assert!(rest <= 20, "{rest} further attempts");
}

/// Guards against requests that are given up, or cost the retry budget, because an endpoint left
/// before anything was sent to it.
#[rstest]
#[case(RepeatGuard::Idempotent)]
#[case(RepeatGuard::None)]
fn a_withdrawn_choice_costs_no_attempt(#[case] guard: RepeatGuard) {
    let mut request = TestRequest::new(guard);
    request.budget = RetryBudget::new(0.0, 0.0);
    assert_eq!(request.after(AttemptFailure::Withdrawn), RetryStep::Reroute(Deadline(NOW.0)));
    assert_eq!(request.tracker.attempts(), 0);
    let withdrawn = |request: &mut TestRequest| request.after(AttemptFailure::Withdrawn);
    let steps: Vec<_> = (0..20).map(|_| withdrawn(&mut request)).collect();
    assert!(matches!(steps.last(), Some(RetryStep::Stop(_))), "the number is bounded: {steps:?}");
}
