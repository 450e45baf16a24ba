//! Invariants of a history.

use std::collections::BTreeMap;

use cassiawheel_decide::ChangeOutcome;
use todc_utils::{
    linearizability::{WGLChecker, history::Action, history::History},
    specifications::Specification,
};

use super::world::{OperationKind, World};

/// Counts of violated invariants.
#[derive(Debug, Default, Clone)]
pub struct Violations {
    /// A process or an answer reverted to an earlier revision.
    pub reverts: u64,
    /// Two presets with the same revision were in force.
    pub two_in_force: u64,
    /// Accepted changes missing in the history or not in force everywhere at the end.
    pub lost: u64,
    /// Changes that took effect although refused, or took effect twice.
    pub false_answers: u64,
    /// Requests that a restarted entry routed under an older preset than its predecessor.
    /// Agents refuse them, which delays callers slightly.
    pub stale_dispatches: u64,
    /// Changes reported to operators as accepted.
    pub accepted: u64,
}

impl Violations {
    pub fn any(&self) -> bool {
        self.reverts + self.two_in_force + self.lost + self.false_answers > 0
    }

    pub fn add(&mut self, other: &Self) {
        self.reverts += other.reverts;
        self.two_in_force += other.two_in_force;
        self.lost += other.lost;
        self.false_answers += other.false_answers;
        self.stale_dispatches += other.stale_dispatches;
        self.accepted += other.accepted;
    }
}

/// Counts the violated invariants of a completed history.
pub fn violations(world: &World) -> Violations {
    let mut found = Violations {
        reverts: world.reverts,
        two_in_force: world.two_in_force,
        stale_dispatches: world.stale_dispatches,
        ..Violations::default()
    };
    let mut made: BTreeMap<_, u64> = BTreeMap::new();
    for preset in &world.store.effects {
        *made.entry(preset.change.clone()).or_default() += 1;
    }
    found.false_answers += made.values().filter(|count| **count > 1).count() as u64;
    for (change, verdict) in &world.verdicts {
        match verdict {
            ChangeOutcome::Accepted(preset) => {
                found.accepted += 1;
                let kept = world.store.changes.get(&preset.revision);
                found.lost += u64::from(kept.map(|kept| &kept.change) != Some(change));
            }
            ChangeOutcome::Conflict(_) | ChangeOutcome::NotAccepted(_) => {
                found.false_answers += u64::from(made.contains_key(change));
            }
            ChangeOutcome::Unknown(_) => {}
        }
    }
    let last = world.store.force().map(|row| row.preset.revision).unwrap_or_default();
    found.lost += world.revisions().filter(|revision| *revision != last).count() as u64;
    found
}

/// Specification of the preset in force as a register: each change takes the next revision.
struct PresetRegister;

impl Specification for PresetRegister {
    type State = u64;
    type Operation = OperationKind;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &OperationKind, state: &u64) -> (bool, u64) {
        match operation {
            OperationKind::Change(Some(revision)) => (*revision == state + 1, *revision),
            OperationKind::Change(None) => (true, *state),
            OperationKind::Read(revision) => (revision == state, *state),
        }
    }
}

/// Whether some sequential order of the operations explains all reported results.
pub fn is_linearizable(world: &World) -> bool {
    let mut actions = Vec::new();
    for (process, operation) in world.operations.iter().enumerate() {
        // An operation with an unknown outcome may take effect until the end.
        let Some((ended_at, outcome)) = operation.outcome(&world.store) else {
            continue;
        };
        actions.push((operation.began_at, 0, process, Action::Call(outcome)));
        actions.push((ended_at, 1, process, Action::Response(outcome)));
    }
    actions.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    let actions: Vec<_> =
        actions.into_iter().map(|(_, _, process, action)| (process, action)).collect();
    actions.is_empty()
        || WGLChecker::<PresetRegister>::is_linearizable(History::from_actions(actions))
}
