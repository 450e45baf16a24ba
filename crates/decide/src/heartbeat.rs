//! What an agent tells the entries at a heartbeat.
//!
//! A whole report is some four hundred bytes. While a version is fetched its
//! progress changes at every heartbeat; told as a whole to every entry each
//! time, it was most of the traffic between regions of a large deployment.

use std::time::Duration;

use cassiawheel_model::{Deadline, EndpointReport, StagedWeights, Timestamp};

/// Time between whole reports that tell nothing but progress.
///
/// Forecasts and the choice among endpoints that hold a part need no more.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The last whole report, and when progress alone is worth another one.
#[derive(Debug, Clone)]
pub struct SentReport {
    report: EndpointReport,
    progress_at: Deadline,
}

impl SentReport {
    /// A report that every entry has got.
    pub fn new(report: EndpointReport, now: Timestamp) -> Self {
        Self { report, progress_at: now.deadline_after(PROGRESS_INTERVAL) }
    }

    /// Whether a load is all that has to be told now.
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

/// Whether both are parts of the same weights.
fn is_under_way(sent: &Option<StagedWeights>, staged: &Option<StagedWeights>) -> bool {
    let (Some(sent), Some(staged)) = (sent, staged) else {
        return false;
    };
    let is_partial = |staged: &StagedWeights| staged.chunks_ready < staged.chunks_total;
    sent.manifest == staged.manifest && is_partial(sent) && is_partial(staged)
}

/// When an entry wants to hear the load.
///
/// Entries of other regions send an endpoint little, and each word to them
/// crosses a shared link; they ask for fewer.
#[derive(Debug, Clone, Copy)]
pub struct LoadSchedule {
    every_ms: u64,
    due_at: Deadline,
}

impl LoadSchedule {
    /// A load with every heartbeat.
    pub fn every_heartbeat() -> Self {
        Self { every_ms: 0, due_at: Deadline(0) }
    }

    /// A load every `every_ms` milliseconds, from `now` on.
    pub fn every(every_ms: u64, now: Timestamp) -> Self {
        Self { every_ms, due_at: Deadline(now.0 + every_ms) }
    }

    /// Whether a load is due; starts the next span if so.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        let is_due = self.due_at.is_past(now);
        if is_due {
            self.due_at = Deadline(now.0 + self.every_ms);
        }
        is_due
    }
}
