//! The agent: cassiawheel's process at an endpoint instance.
//!
//! It fetches and verifies weights, exchanges chunks with other agents and stages them
//! in its engine. Requests that entries dispatch to it reach the engine through its gate,
//! which limits concurrency and drains the engine for a switch of weights.

mod endpoint;
mod entry_link;
mod entry_selection;
mod keyed;
mod layers;
mod metrics;
mod orders;
mod report;
mod run;
mod serve;
mod transfer;

use cassiawheel_model::settings::AgentSettings;

pub use serve::{AgentClients, serve};

/// Executor threads of an agent, which shares its instance with the engine.
const THREADS: usize = 2;

/// Runs an agent until a termination signal arrives.
pub fn run(settings: AgentSettings) -> anyhow::Result<()> {
    let clients = AgentClients::from_settings(&settings);
    run_with(settings, clients, THREADS)
}

/// Runs an agent with the given clients on `threads` threads until a termination signal arrives.
pub fn run_with(
    settings: AgentSettings,
    clients: AgentClients,
    threads: usize,
) -> anyhow::Result<()> {
    let _log = cassiawheel_runtime::logging::start(&settings.log)?;
    cassiawheel_runtime::run(threads, serve::serve(settings, clients))?
}
