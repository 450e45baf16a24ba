//! Prints rounds and origin copies of the chunk selection, compared with the lower bound and
//! two baselines: all agents fetching from the origin, and a fixed tree.

#[path = "../tests/support/rounds.rs"]
mod rounds;

use rounds::{RoundFault, RoundPlan, RoundResult, all_from_origin, fixed_tree, run_rounds};

/// Numbers of agents to run; the first argument is the largest, the third the smallest.
const SIZES: [usize; 4] = [16, 64, 230, 1_000];
/// Default number of chunks of a version; the second argument overrides it.
const CHUNKS: usize = 2_048;

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse::<usize>().ok());
    let most = args.next().unwrap_or(1_000);
    let chunks = args.next().unwrap_or(CHUNKS);
    let least = args.next().unwrap_or(0);
    println!("agents chunks case            rounds  x bound  copies  most draws  ns/selection");
    for agents in SIZES.into_iter().filter(|agents| (least..=most).contains(agents)) {
        let plan = RoundPlan::new(agents, chunks, 1);
        let swarm = run_rounds(&plan);
        print(agents, "bytes mode", &swarm);
        if agents <= 230 {
            let time_mode = RoundPlan { extra_copies: 3.0, ..plan.clone() };
            print(agents, "time mode", &run_rounds(&time_mode));
            print(agents, "faults", &run_rounds(&faulty(&plan)));
            print(agents, "late joiner", &run_rounds(&joined(&plan)));
        }
        for (case, rounds, copies) in [
            ("all from origin", all_from_origin(agents, chunks), agents),
            ("fixed tree", fixed_tree(agents, chunks), rounds::ORIGIN_RATE),
        ] {
            let ratio = rounds as f64 / swarm.bound;
            println!("{agents:6} {chunks:6} {case:15} {rounds:6} {ratio:8.3} {copies:7}.000");
        }
    }
}

/// Two agents fail, one link stalls, one agent lies and one chunk in a hundred is corrupt.
fn faulty(plan: &RoundPlan) -> RoundPlan {
    let early = plan.chunks / 4;
    RoundPlan {
        corrupt: 0.01,
        faults: vec![
            RoundFault::Dies { agent: 1, round: early },
            RoundFault::Dies { agent: 2, round: 2 * early },
            RoundFault::Stalls { agent: 3, round: early },
            RoundFault::Lies { agent: 4 },
        ],
        ..plan.clone()
    }
}

/// One agent joins when the others hold a quarter; its own link alone needs the lower bound.
fn joined(plan: &RoundPlan) -> RoundPlan {
    let faults = vec![RoundFault::Joins { agent: 5, round: plan.chunks / 4 }];
    RoundPlan { faults, ..plan.clone() }
}

fn print(agents: usize, case: &str, result: &RoundResult) {
    let per_selection = result.selection_ns / result.selections.max(1);
    println!(
        "{agents:6} {:6} {case:15} {:6} {:8.3} {:7.3} {:11} {per_selection:13}{}",
        result.chunks,
        result.rounds,
        result.time_ratio(),
        result.origin_copies(),
        result.max_copies,
        if result.complete { "" } else { "  NOT COMPLETE" },
    );
}
