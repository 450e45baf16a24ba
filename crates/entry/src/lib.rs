//! The entry: where callers and operators reach the system.
//!
//! A request passes small filters, one file each under [`caller`]:
//! accept, identify, route, dispatch, relay, outcome. Presets, heartbeats and
//! the spread between entries live under `control`, the operators' API under
//! `admin`, and its command line under [`cli`].

mod admin;
mod caller;
pub mod cli;
mod control;
mod counters;
mod crashes;
mod direct;
mod inner;
mod limits;
mod link;
mod metrics;
mod overlay;
mod routed;
mod serve;
mod shared;

pub use routed::RoutedAdapters;

use cassiawheel_model::settings::EntrySettings;

/// Executor threads of an entry.
const THREADS: usize = 4;

/// Runs an entry until it is asked to stop.
pub fn run(settings: EntrySettings) -> anyhow::Result<()> {
    let _log = cassiawheel_runtime::logging::start(&settings.log)?;
    cassiawheel_runtime::run(THREADS, serve::serve(settings, None))?
}

/// Runs an entry whose callers are routed by a table until it is asked to stop.
pub fn run_routed(settings: EntrySettings, adapters: RoutedAdapters) -> anyhow::Result<()> {
    let _log = cassiawheel_runtime::logging::start(&settings.log)?;
    let threads = adapters.settings.threads;
    cassiawheel_runtime::run(threads, serve::serve(settings, Some(adapters)))?
}
