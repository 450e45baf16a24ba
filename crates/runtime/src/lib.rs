//! What both binaries need of their process.
//!
//! An executor on several threads, shutdown signals, structured logs, and HTTP
//! listeners with limits. Nothing here knows about weights or requests.

pub mod dial;
pub mod executor;
pub mod http;
pub mod listener;
pub mod logging;
pub mod pacer;
pub mod probes;
pub mod shutdown;

pub use dial::{dial, reset_on_close};
pub use executor::{run, spawn, timeout};
pub use shutdown::{ProcessSignals, ShutdownOutcome, ShutdownSignal, ShutdownTrigger};
