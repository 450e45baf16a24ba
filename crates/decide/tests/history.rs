//! Seeded histories of changes of the preset in force.
//!
//! Entries, agents, operators and a table service exchange messages that are delayed, lost
//! and reordered, with two concurrent faults. The decision logic is the production code;
//! only the messages are modelled. Each guard can be disabled to verify that the checks
//! detect its absence.

#[path = "history/check.rs"]
mod check;
#[path = "history/store.rs"]
mod store;
#[path = "history/world.rs"]
mod world;

use check::{Violations, is_linearizable};
use rstest::rstest;
use world::{FaultKind, World};

/// Number of histories of the main run.
const HISTORIES: u64 = 5_000;

/// Number of histories for each disabled guard.
const HISTORIES_WITHOUT_GUARD: u64 = 1_500;

/// A guard that can be disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// The write of `force` is conditional on the revision that was read.
    ForceRevision,
    /// The record of a change's id can be inserted only once.
    ChangeRecord,
    /// A refusal is recorded if another write may be in flight.
    RefusalRecord,
    /// A lost response is not treated as a failure.
    LostAnswer,
    /// A process adopts only a higher revision.
    HigherOnly,
    /// An agent refuses requests of an older revision.
    GateRevision,
    /// A starting process waits for its sources before it serves.
    StartHold,
    /// Heartbeats repair lost pushes.
    Heartbeats,
}

fn run(seed: u64, faults: [FaultKind; 2], off: Option<Guard>) -> (Violations, bool) {
    let mut world = World::new(seed, faults, off);
    world.run();
    (check::violations(&world), is_linearizable(&world))
}

/// Guards against changes that are reverted, two presets in force at once, and accepted
/// changes that never take effect. Two operators race under any two of: lost responses, an
/// outage or stale reads of the table service, paused or restarted entries, restarted agents,
/// broken links and slow messages.
#[test]
fn changes_never_revert_under_pairs_of_faults() {
    let mut total = Violations::default();
    let mut accepted = 0;
    let mut not_linearizable = Vec::new();
    for seed in 0..HISTORIES {
        let (violations, linearizable) = run(seed, FaultKind::pair(seed), None);
        if violations.any() {
            println!("seed {seed}: {:?} {violations:?}", FaultKind::pair(seed));
        }
        if !linearizable {
            not_linearizable.push(seed);
        }
        accepted += violations.accepted;
        total.add(&violations);
    }
    println!("{HISTORIES} histories, {accepted} accepted changes: {total:?}");
    assert!(!total.any(), "{total:?}");
    assert_eq!(not_linearizable, Vec::<u64>::new());
    assert!(accepted > HISTORIES, "the histories hold too few changes to prove anything");
}

/// Histories of the two faults against which a precaution stands, with and
/// without it. If the count of violations did not rise, either the precaution
/// or the check would be idle.
#[rstest]
#[case(Guard::ForceRevision, [FaultKind::SlowMessages, FaultKind::StaleReads])]
#[case(Guard::ChangeRecord, [FaultKind::LostAnswers, FaultKind::StaleReads])]
#[case(Guard::RefusalRecord, [FaultKind::SlowMessages, FaultKind::StaleReads])]
#[case(Guard::LostAnswer, [FaultKind::LostAnswers, FaultKind::Outage])]
#[case(Guard::HigherOnly, [FaultKind::StaleReads, FaultKind::SlowMessages])]
#[case(Guard::GateRevision, [FaultKind::PausedEntry, FaultKind::SlowMessages])]
#[case(Guard::StartHold, [FaultKind::RestartedEntry, FaultKind::SlowMessages])]
#[case(Guard::Heartbeats, [FaultKind::CutLinks, FaultKind::RestartedEntry])]
fn a_missing_guard_is_detected(#[case] guard: Guard, #[case] faults: [FaultKind; 2]) {
    let count = |off| {
        let mut total = Violations::default();
        let mut not_linearizable = 0;
        for seed in 0..HISTORIES_WITHOUT_GUARD {
            let (violations, linearizable) = run(seed, faults, off);
            total.add(&violations);
            not_linearizable += u64::from(!linearizable);
        }
        (total, not_linearizable)
    };
    let (guarded, not_linearizable) = count(None);
    assert!(!guarded.any() && not_linearizable == 0, "{guarded:?}");
    let (total, not_linearizable) = count(Some(guard));
    println!("with {guard:?}: {guarded:?}");
    println!("without {guard:?}: {total:?}, {not_linearizable} not linearizable");
    let stale = total.stale_dispatches > guarded.stale_dispatches;
    assert!(total.any() || not_linearizable > 0 || stale, "leaving {guard:?} out changes nothing");
}
