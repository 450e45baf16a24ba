//! The agent: the one process of cassiawheel at an endpoint instance.
//!
//! It fetches and verifies weights, swaps chunks with other agents, stages
//! them into its engine, and is the gate through which every request of the
//! system reaches that engine.

mod endpoint;
mod entry_choice;
mod entry_link;
mod exchange;
mod keyed;
mod metrics;
mod report;
mod run;
mod serve;
mod transfer;

use cassiawheel_model::settings::AgentSettings;

pub use serve::AgentClients;

/// Executor threads of an agent; small, since one instance has one agent.
const THREADS: usize = 2;

/// Runs an agent until it is asked to stop.
pub fn run(settings: AgentSettings) -> anyhow::Result<()> {
    let clients = AgentClients::from_settings(&settings);
    run_with(settings, clients, THREADS)
}

/// Runs an agent between `clients` on `threads` threads until it is asked to stop.
pub fn run_with(
    settings: AgentSettings,
    clients: AgentClients,
    threads: usize,
) -> anyhow::Result<()> {
    let _log = cassiawheel_runtime::logging::start(&settings.log)?;
    cassiawheel_runtime::run(threads, serve::serve(settings, clients))?
}
