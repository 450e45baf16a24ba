//! Process infrastructure shared by both binaries.
//!
//! A multi-threaded executor, signal handling and shutdown, structured logs, and
//! HTTP listeners with limits. Nothing here depends on weights or routing.

pub mod dial;
pub mod executor;
pub mod http;
mod interim_heads;
pub mod listener;
pub mod logging;
pub mod pacer;
pub mod probes;
pub mod shutdown;
mod yielding_socket;

pub use dial::{dial, reset_on_close};
pub use executor::{run, spawn, timeout};
pub use interim_heads::InterimWatch;
pub use shutdown::{ProcessSignals, ShutdownOutcome, ShutdownSignal, ShutdownTrigger};
pub use yielding_socket::YieldingSocket;
