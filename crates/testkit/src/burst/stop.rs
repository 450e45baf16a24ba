//! Stops a run when this process receives a stop signal.

use std::pin::pin;

use cassiawheel_runtime::shutdown::ProcessSignals;
use futures_util::future::{Either, select};

use super::{BurstOptions, BurstReport, BurstScenario, run_burst};

/// Runs the scenario. On a stop signal the run is dropped, which ends the processes
/// that it started; they would otherwise outlive this process.
pub async fn run_until_stopped(
    scenario: &BurstScenario,
    options: &BurstOptions,
) -> anyhow::Result<BurstReport> {
    let mut signals = ProcessSignals::listen()?;
    let run = pin!(run_burst(scenario, options));
    match select(run, pin!(signals.wait())).await {
        Either::Left((report, _)) => report,
        Either::Right(_) => anyhow::bail!("stopped by a signal before the end of the run"),
    }
}
