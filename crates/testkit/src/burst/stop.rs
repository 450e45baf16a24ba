//! A run that ends with this process.

use std::pin::pin;

use cassiawheel_runtime::shutdown::ProcessSignals;
use futures_util::future::{Either, select};

use super::{BurstOptions, BurstReport, BurstScenario, run_burst};

/// Runs the scenario. When this process is asked to stop, the run is dropped,
/// and with it the processes that it started; otherwise they would live on.
pub async fn run_until_stopped(
    scenario: &BurstScenario,
    options: &BurstOptions,
) -> anyhow::Result<BurstReport> {
    let mut signals = ProcessSignals::listen()?;
    let run = pin!(run_burst(scenario, options));
    match select(run, pin!(signals.wait())).await {
        Either::Left((report, _)) => report,
        Either::Right(_) => anyhow::bail!("stopped before the end"),
    }
}
