//! Load generation and fault injection against a whole deployment.
//!
//! `scenario → schedule → drive, operate, faults → records → verdicts, figures`
//!
//! Arrivals are open-loop: their times are fixed before the run, and latency is
//! measured from the scheduled arrival, so that queueing in the system shows.
//! The verdicts are computed from the responses that callers and operators
//! received and from what the stand-ins recorded, never from what the system
//! reports about itself.

pub mod draw;
pub mod drive;
pub mod faults;
pub mod figures;
pub mod operate;
pub mod plot;
pub mod records;
pub mod report;
pub mod run;
pub mod scenario;
pub mod schedule;
pub mod stop;
pub mod verdicts;

pub use records::RunRecords;
pub use report::BurstReport;
pub use run::{BurstOptions, run_burst};
pub use scenario::BurstScenario;
pub use stop::run_until_stopped;
pub use verdicts::{VerdictCounts, VerdictLimits, judge};
