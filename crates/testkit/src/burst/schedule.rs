//! The arrivals of a run, drawn before it begins.

use std::time::Duration;

use cassiawheel_model::WorkspaceId;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    records::CallKind,
    scenario::{ArrivalPlan, BurstScenario},
};

/// One scheduled request.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedArrival {
    /// Number of the request, unique in the run.
    pub number: u64,
    /// Time of the arrival, from the start of the arrivals.
    pub at: Duration,
    /// Kind of the request.
    pub kind: CallKind,
    /// Workspace in whose name the request is sent.
    pub workspace: WorkspaceId,
    /// Index of the caller that sends it.
    pub caller: usize,
}

/// Draws the arrivals of `scenario` from `seed`, sorted by time.
pub fn draw_arrivals(scenario: &BurstScenario, seed: u64) -> Vec<PlannedArrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let plan = &scenario.arrivals;
    let mut times = Vec::new();
    for (index, step) in plan.curve.iter().enumerate() {
        let end = plan.curve.get(index + 1).map_or(scenario.duration_s, |next| next.from_s);
        draw_times(&mut times, step.from_s, end.min(scenario.duration_s), step.rps, &mut rng);
    }
    if let Some(burst) = &plan.burst {
        draw_times(&mut times, burst.at_s, burst.at_s + burst.for_s, burst.rps, &mut rng);
    }
    times.sort_by(f64::total_cmp);
    let arrivals = times.into_iter().enumerate();
    arrivals
        .map(|(number, at_s)| PlannedArrival {
            number: number as u64,
            at: Duration::from_secs_f64(at_s),
            kind: draw_kind(plan, &mut rng),
            workspace: draw_workspace(plan, &mut rng),
            caller: rng.random_range(0..plan.callers),
        })
        .collect()
}

/// Draws the times of a Poisson process: the gaps are exponentially distributed.
fn draw_times(times: &mut Vec<f64>, from_s: f64, to_s: f64, rps: f64, rng: &mut SmallRng) {
    if rps <= 0.0 {
        return;
    }
    let mut at_s = from_s;
    loop {
        let uniform: f64 = rng.random();
        at_s += -(1.0 - uniform).ln() / rps;
        if at_s >= to_s {
            return;
        }
        times.push(at_s);
    }
}

fn draw_kind(plan: &ArrivalPlan, rng: &mut SmallRng) -> CallKind {
    let mix = &plan.mix;
    let kinds = [
        (CallKind::Generate, mix.generate),
        (CallKind::Read, mix.read),
        (CallKind::Keyed, mix.keyed),
        (CallKind::Unkeyed, mix.unkeyed),
    ];
    pick(kinds.iter().map(|(kind, share)| (kind, *share)), rng).copied().unwrap_or(CallKind::Read)
}

fn draw_workspace(plan: &ArrivalPlan, rng: &mut SmallRng) -> WorkspaceId {
    let shares = plan.workspaces.iter().map(|workspace| (&workspace.name, workspace.share));
    pick(shares, rng).cloned().unwrap_or_else(|| plan.workspaces[0].name.clone())
}

/// Picks one of `choices` with their shares as probabilities; `None` if rounding leaves none.
fn pick<'a, T>(choices: impl Iterator<Item = (&'a T, f64)>, rng: &mut SmallRng) -> Option<&'a T> {
    let mut remaining: f64 = rng.random();
    for (choice, share) in choices {
        if remaining < share {
            return Some(choice);
        }
        remaining -= share;
    }
    None
}
