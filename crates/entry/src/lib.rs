//! The entry process: listeners for callers and operators.
//!
//! A request passes through stages, one file each under [`caller`]: accept, identify, route,
//! dispatch, relay, outcome. `control` distributes presets and heartbeats between entries, `admin`
//! is the operators' API and [`cli`] its command line.

mod admin;
mod caller;
pub mod cli;
mod control;
mod counters;
mod crashes;
mod demand;
mod departures;
mod direct;
mod freshness;
mod inner;
mod limits;
mod link;
mod metrics;
mod overlay;
mod paths;
mod pauses;
mod route_times;
mod routed;
mod serve;
mod shared;
mod shutdown;

pub use routed::RoutedAdapters;

use cassiawheel_model::settings::EntrySettings;

/// Number of executor threads.
const THREADS: usize = 4;

/// Runs an entry until it receives SIGTERM.
pub fn run(settings: EntrySettings) -> anyhow::Result<()> {
    let _log = cassiawheel_runtime::logging::start(&settings.log)?;
    cassiawheel_runtime::run(THREADS, serve::serve(settings, None))?
}

/// Runs an entry that routes callers by a route table until it receives SIGTERM.
pub fn run_routed(settings: EntrySettings, adapters: RoutedAdapters) -> anyhow::Result<()> {
    let _log = cassiawheel_runtime::logging::start(&settings.log)?;
    let threads = adapters.settings.threads;
    cassiawheel_runtime::run(threads, serve::serve(settings, Some(adapters)))?
}
