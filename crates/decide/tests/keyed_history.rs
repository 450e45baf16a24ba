//! Seeded histories of keyed requests under pairs of faults.

#[path = "keyed_history/world.rs"]
mod world;

use cassiawheel_model::NotRunReason;
use todc_utils::{
    Specification,
    linearizability::{
        WGLChecker,
        history::{Action, History},
    },
};
use world::{AGENTS, CallerResponse, Fault, KEYS, MissingGuard, World, expected_answer};

const SEEDS: u64 = 8_000;

/// Violations counted over a set of histories.
#[derive(Debug, Default, PartialEq, Eq)]
struct Violations {
    second_runs: u32,
    ran_though_reported_not_run: u32,
    wrong_answers: u32,
    late_runs: u32,
    ran_though_cancelled: u32,
    not_linearizable: u32,
    stuck_keys: u32,
    permits_kept: u32,
    unsettled: u32,
}

/// Cycles through all pairs of faults, then no fault.
fn faults(seed: u64) -> Vec<Fault> {
    let agent = (seed / 64) as usize % AGENTS;
    let kinds = [
        None,
        Some(Fault::KillAgent(agent)),
        Some(Fault::PauseAgent((agent + 1) % AGENTS)),
        Some(Fault::DrainAgent((agent + 2) % AGENTS)),
        Some(Fault::StoreDown),
        Some(Fault::StoreSlow),
        Some(Fault::AnswersLost),
        Some(Fault::EntryGone(seed as usize / 7)),
    ];
    let pair = [kinds[seed as usize % 8], kinds[seed as usize / 8 % 8]];
    pair.into_iter().flatten().collect()
}

fn observe(missing: MissingGuard) -> Violations {
    let mut seen = Violations::default();
    for seed in 0..SEEDS {
        let mut world = World::new(seed, missing, &faults(seed));
        seen.unsettled += u32::from(!world.run());
        count_runs(&world, &mut seen);
        count_linear(&world, &mut seen);
        seen.permits_kept += world.permits_left();
        if !world.killed {
            count_stuck_keys(&mut world, &mut seen);
        }
    }
    seen
}

fn count_runs(world: &World, seen: &mut Violations) {
    for key in 0..KEYS {
        let of_key = world.attempts.iter().filter(|a| world.requests[a.request].key == key);
        let runs: u32 = of_key.map(|attempt| attempt.effects).sum();
        seen.second_runs += runs.saturating_sub(1);
    }
    for request in &world.requests {
        let (response, _) = request.response.as_ref().expect("every caller is told something");
        let mut attempts = request.attempts.iter().map(|index| &world.attempts[*index]);
        if let CallerResponse::NotRun(_) = response {
            seen.ran_though_reported_not_run +=
                u32::from(attempts.any(|attempt| attempt.effects > 0));
        }
        if let CallerResponse::Complete(answer) = response {
            let is_own = |(index, attempt): (usize, &world::Attempt)| {
                attempt.effects == 1
                    && world.requests[attempt.request].key == request.key
                    && expected_answer(request.key, index) == *answer
            };
            let own = world.attempts.iter().enumerate().any(is_own);
            seen.wrong_answers += u32::from(!own);
        }
    }
    for attempt in &world.attempts {
        let request = &world.requests[attempt.request];
        let deadline = request.called_at + 400;
        seen.late_runs += u32::from(attempt.began_at.is_some_and(|at| at >= deadline));
        let cancelled = attempt.latch.is_cancelled() && attempt.began_at.is_some();
        seen.ran_though_cancelled += u32::from(cancelled);
    }
}

/// After all faults have ended, a repeated request must run or get the recorded answer: an
/// attempt that never ran must not block its key.
fn count_stuck_keys(world: &mut World, seen: &mut Violations) {
    for key in 0..KEYS {
        let was_run = world
            .attempts
            .iter()
            .any(|a| a.began_at.is_some() && world.requests[a.request].key == key);
        if was_run {
            continue;
        }
        let last = world.arrive(key, world.now + 10_000);
        seen.unsettled += u32::from(!world.run());
        let (response, _) = world.requests[last].response.clone().expect("an answer");
        let began = world.attempts.iter().any(|a| a.request == last && a.began_at.is_some());
        let refused = response == CallerResponse::NotRun(NotRunReason::ConnectFailed);
        seen.stuck_keys += u32::from(!began && !refused);
    }
}

/// Specification of the sale of one key: the first run determines all answers.
#[derive(Debug, Clone)]
struct SaleSpec;

/// Effect of one caller's request, from the service's log and the caller's response.
#[derive(Debug, Clone)]
struct Sale {
    ran: Option<String>,
    response: Option<String>,
}

impl Specification for SaleSpec {
    type State = Option<String>;
    type Operation = Sale;

    fn init() -> Option<String> {
        None
    }

    fn apply(sale: &Sale, state: &Option<String>) -> (bool, Option<String>) {
        let next = match (state, &sale.ran) {
            (Some(_), Some(_)) => return (false, state.clone()),
            (None, Some(answer)) => Some(answer.clone()),
            (state, None) => state.clone(),
        };
        let is_consistent = sale.response.is_none() || sale.response == next;
        (is_consistent, if is_consistent { next } else { state.clone() })
    }
}

fn count_linear(world: &World, seen: &mut Violations) {
    for key in 0..KEYS {
        let mut actions = Vec::new();
        let requests = world.requests.iter().enumerate().filter(|(_, r)| r.key == key);
        for (process, (index, request)) in requests.enumerate() {
            let (response, responded_at) = request.response.clone().expect("an answer");
            let ran = world.attempts.iter().position(|a| a.request == index && a.effects > 0);
            let ran = ran.map(|attempt| expected_answer(key, attempt));
            // A run reported as "unknown" may take effect at any later time.
            let (answer, end) = match response {
                CallerResponse::Complete(answer) => (Some(answer), responded_at),
                CallerResponse::NotRun(_) => (None, responded_at),
                CallerResponse::Unknown | CallerResponse::Gone => (None, u64::MAX),
            };
            let sale = Sale { ran, response: answer };
            actions.push((request.called_at, 0, (process, Action::Call(sale.clone()))));
            actions.push((end, 1, (process, Action::Response(sale))));
        }
        actions.sort_by_key(|(at, order, _)| (*at, *order));
        let actions: Vec<_> = actions.into_iter().map(|(_, _, action)| action).collect();
        if !actions.is_empty() {
            let linear = WGLChecker::<SaleSpec>::is_linearizable(History::from_actions(actions));
            seen.not_linearizable += u32::from(!linear);
        }
    }
}

/// Guards against a request that runs twice, is reported as not run although it ran, returns
/// another request's answer, or blocks its key forever. Two concurrent faults at a time:
/// agents that fail before, during or after a run, pauses, drains, a table service that is
/// down, slow or loses responses, and callers that disconnect.
#[test]
fn keyed_requests_run_at_most_once_and_answers_are_accurate() {
    assert_eq!(observe(MissingGuard::None), Violations::default());
}

/// Verifies the checks themselves: with each guard disabled, the violation that it prevents
/// must be counted.
#[test]
fn a_missing_guard_is_detected() {
    let claim = observe(MissingGuard::Claim);
    assert!(claim.second_runs > 100 && claim.not_linearizable > 100, "{claim:?}");
    let held = observe(MissingGuard::HeldClaimStays);
    assert!(held.second_runs > 100, "{held:?}");
    let late = observe(MissingGuard::DeadlineBeforeRun);
    assert!(late.late_runs > 10, "{late:?}");
    let latch = observe(MissingGuard::LatchBeforeRun);
    assert!(latch.ran_though_cancelled > 5, "{latch:?}");
    let unknown = observe(MissingGuard::UnknownStays);
    assert!(unknown.ran_though_reported_not_run > 5, "{unknown:?}");
    let release = observe(MissingGuard::LateRelease);
    assert!(release.stuck_keys > 5, "{release:?}");
    println!("{claim:?}\n{held:?}\n{late:?}\n{latch:?}\n{unknown:?}\n{release:?}");
}
