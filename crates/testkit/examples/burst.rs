//! Runs load and faults against a whole deployment; see `docs/burst.md`.

use std::path::PathBuf;

use anyhow::Context;
use argh::FromArgs;
use cassiawheel_model::settings::parse_settings;
use cassiawheel_testkit::burst::{BurstOptions, BurstScenario, run_until_stopped};

/// Runs a scenario against a whole deployment and checks the invariants.
#[derive(FromArgs)]
struct BurstArgs {
    /// path of the scenario, a JSON file
    #[argh(option)]
    scenario: PathBuf,
    /// seed of the arrivals and weights; default 1
    #[argh(option, default = "1")]
    seed: u64,
    /// print the report as one line of JSON at the end
    #[argh(switch)]
    json: bool,
    /// plot replicas, latency and outcomes over time to this SVG file
    #[argh(option)]
    plot: Option<PathBuf>,
    /// keep the settings and logs of the processes and print their path
    #[argh(switch)]
    keep_logs: bool,
}

/// Threads of the executor that runs the stand-ins and callers.
const THREADS: usize = 4;

fn main() -> anyhow::Result<()> {
    let args: BurstArgs = argh::from_env();
    let source = args.scenario.display().to_string();
    let text =
        std::fs::read_to_string(&args.scenario).with_context(|| format!("cannot read {source}"))?;
    let scenario: BurstScenario = parse_settings(&source, &text)?;
    let options = BurstOptions {
        seed: args.seed,
        keep_logs: args.keep_logs,
        progress: true,
        plot: args.plot,
    };
    let report = cassiawheel_runtime::run(THREADS, run_until_stopped(&scenario, &options))??;
    print!("{report}");
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    let broken = report.counts.broken();
    anyhow::ensure!(broken.is_empty(), "invariants are broken: {broken:?}");
    Ok(())
}
