//! Progress of each service towards the version that it has to serve.

use std::collections::BTreeMap;

use cassiawheel_decide::forecast::{ProgressSample, forecast};
use cassiawheel_model::{
    Deadline, EndpointReport, ManifestDigest, ServiceName, ServiceTarget, Timestamp, record,
};
use macro_rules_attribute::apply;

/// Marks that are kept; more would mean versions that nobody asks for any more.
const MAX_MARKS: usize = 64;

/// Progress as it was first seen, by service and manifest.
pub(crate) type ProgressMarks = BTreeMap<(ServiceName, ManifestDigest), ProgressSample>;

/// How far a service's endpoints are in staging a version.
#[apply(record!)]
#[derive(Default)]
pub(crate) struct StageProgress {
    /// Endpoints that hold the whole version, staged or serving.
    pub(crate) whole: u32,
    /// Chunks that the endpoints hold.
    pub(crate) chunks_ready: u64,
    /// Chunks that they have to hold.
    pub(crate) chunks_total: u64,
    /// When all are expected to hold it; none while that cannot be told.
    pub(crate) forecast: Option<Deadline>,
    /// Whether the forecast lies after the preset's `ready_by`.
    pub(crate) late: bool,
}

/// Counts what `reports` hold of the target's version, and forecasts the rest.
pub(super) fn stage_progress(
    marks: &mut ProgressMarks,
    service: &ServiceName,
    target: &ServiceTarget,
    reports: &[&EndpointReport],
    now: Timestamp,
) -> Option<StageProgress> {
    let manifest = target.manifest?;
    let mut progress = StageProgress::default();
    for report in reports {
        let Some(staged) = report.staged.as_ref().filter(|staged| staged.manifest == manifest)
        else {
            continue;
        };
        progress.whole += u32::from(staged.chunks_ready == staged.chunks_total);
        progress.chunks_ready += u64::from(staged.chunks_ready);
        progress.chunks_total = progress.chunks_total.max(u64::from(staged.chunks_total));
    }
    progress.chunks_total *= reports.len().min(target.replicas as usize) as u64;
    if marks.len() > MAX_MARKS {
        marks.clear();
    }
    let first = ProgressSample { seen_at: now, chunks: progress.chunks_ready };
    let mark = *marks.entry((service.clone(), manifest)).or_insert(first);
    if progress.chunks_total > 0 {
        progress.forecast = forecast(mark, progress.chunks_ready, progress.chunks_total, now);
    }
    progress.late = match (progress.forecast, target.ready_by) {
        (Some(forecast), Some(ready_by)) => forecast > ready_by,
        (None, Some(ready_by)) => ready_by.is_past(now),
        (_, None) => false,
    };
    Some(progress)
}
