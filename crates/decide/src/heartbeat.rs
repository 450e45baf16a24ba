//! Content of an agent's heartbeats to the entries.
//!
//! A full report has about 400 bytes. While a version is fetched, its progress changes at every
//! heartbeat; sending the full report to every entry each time made up most of the traffic between
//! the regions of a large deployment.

use std::time::Duration;

use cassiawheel_model::{Deadline, EndpointReport, StagedWeights, Timestamp};

/// Minimum time between full reports that differ only in fetch progress.
///
/// Forecasts and the choice among endpoints that hold a part need no finer resolution.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Last full report, and when progress alone justifies another one.
#[derive(Debug, Clone)]
pub struct SentReport {
    report: EndpointReport,
    progress_at: Deadline,
}

impl SentReport {
    /// Creates the state after `report` was sent to every entry.
    pub fn new(report: EndpointReport, now: Timestamp) -> Self {
        Self { report, progress_at: now.deadline_after(PROGRESS_INTERVAL) }
    }

    /// Whether sending the load is enough for now.
    pub fn covers(&self, report: &EndpointReport, now: Timestamp) -> bool {
        let mut sent = EndpointReport { load: report.load, ..self.report.clone() };
        if sent == *report {
            return true;
        }
        if self.progress_at.is_past(now) || !is_under_way(&sent.staged, &report.staged) {
            return false;
        }
        sent.staged.clone_from(&report.staged);
        sent == *report
    }
}

/// Whether both are partial states of the same weights.
fn is_under_way(sent: &Option<StagedWeights>, staged: &Option<StagedWeights>) -> bool {
    let (Some(sent), Some(staged)) = (sent, staged) else {
        return false;
    };
    let is_partial = |staged: &StagedWeights| staged.chunks_ready < staged.chunks_total;
    sent.manifest == staged.manifest && is_partial(sent) && is_partial(staged)
}

/// Schedule of the load reports to one entry.
///
/// Entries of other regions send an endpoint few requests, and messages to them cross a shared
/// link, so they request fewer reports.
#[derive(Debug, Clone, Copy)]
pub struct LoadSchedule {
    every_ms: u64,
    due_at: Deadline,
}

impl LoadSchedule {
    /// One load report per heartbeat.
    pub fn every_heartbeat() -> Self {
        Self { every_ms: 0, due_at: Deadline(0) }
    }

    /// One load report every `every_ms` milliseconds, starting at `now`.
    pub fn every(every_ms: u64, now: Timestamp) -> Self {
        Self { every_ms, due_at: Deadline(now.0 + every_ms) }
    }

    /// Whether a load report is due; starts the next interval if so.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        let is_due = self.due_at.is_past(now);
        if is_due {
            self.due_at = Deadline(now.0 + self.every_ms);
        }
        is_due
    }
}
