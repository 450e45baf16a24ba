//! Runs randomly generated scenarios one after another; see `docs/soak.md`.

use argh::FromArgs;
use cassiawheel_testkit::burst::{
    BurstOptions, BurstReport, BurstScenario, draw::draw_scenario, run_until_stopped,
};
use serde_json::json;

/// Runs scenarios with random faults and checks the invariants on what callers and engines
/// recorded.
#[derive(FromArgs)]
struct SoakArgs {
    /// first seed; default 1
    #[argh(option, default = "1")]
    seed: u64,
    /// number of consecutive seeds; default 1
    #[argh(option, default = "1")]
    seeds: u64,
    /// time over which requests arrive in each run, in seconds; default 20
    #[argh(option, default = "20.0")]
    seconds: f64,
    /// print one line of JSON per seed
    #[argh(switch)]
    json: bool,
    /// keep the settings and logs of the processes and print their folder
    #[argh(switch)]
    keep_logs: bool,
}

/// Executor threads for the stand-ins and callers.
const THREADS: usize = 4;

fn main() -> anyhow::Result<()> {
    let args: SoakArgs = argh::from_env();
    let mut failed = Vec::new();
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        let scenario = draw_scenario(seed, args.seconds)?;
        let options = BurstOptions { seed, keep_logs: args.keep_logs, progress: false, plot: None };
        let report = cassiawheel_runtime::run(THREADS, run_until_stopped(&scenario, &options))??;
        print(&args, &scenario, &report)?;
        if !report.counts.broken().is_empty() {
            println!("{report}");
            failed.push(seed);
        }
    }
    anyhow::ensure!(failed.is_empty(), "invariants are broken with seeds {failed:?}");
    Ok(())
}

fn print(args: &SoakArgs, scenario: &BurstScenario, report: &BurstReport) -> anyhow::Result<()> {
    let counts = &report.counts;
    if args.json {
        println!("{}", serde_json::to_string(&json!({ "seed": report.seed, "report": report }))?);
        return Ok(());
    }
    println!(
        "| {} | {} | {} | {} | {} | {} | {} | {}/{} | {:?} |",
        report.seed,
        scenario.duration_s,
        scenario.entries + scenario.endpoints(),
        scenario.faults.len(),
        counts.complete,
        counts.not_run,
        counts.unknown,
        report.replicas_ready,
        report.replicas_wanted,
        counts.broken(),
    );
    Ok(())
}
