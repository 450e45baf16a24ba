//! Staging progress of each service towards the version that it has to serve.

use std::collections::BTreeMap;

use cassiawheel_decide::forecast::{ProgressSample, forecast};
use cassiawheel_model::{
    Deadline, EndpointReport, ManifestDigest, ServiceName, ServiceTarget, Timestamp, record,
};
use macro_rules_attribute::apply;

/// Maximum number of marks; more would belong to versions that are no longer wanted.
const MAX_MARKS: usize = 64;

/// First observed progress by service and manifest.
pub(crate) type ProgressMarks = BTreeMap<(ServiceName, ManifestDigest), ProgressSample>;

/// Progress of a service's endpoints in staging a version.
#[apply(record!)]
#[derive(Default)]
pub(crate) struct StageProgress {
    /// Endpoints that hold the whole version, staged or serving.
    pub(crate) whole: u32,
    /// Chunks that the endpoints hold.
    pub(crate) chunks_ready: u64,
    /// Chunks that the endpoints have to hold.
    pub(crate) chunks_total: u64,
    /// When staging is expected to finish; none while that cannot be predicted.
    pub(crate) forecast: Option<Deadline>,
    /// Whether staging is forecast to finish after the preset's `ready_by`.
    pub(crate) late: bool,
}

/// Adds up the progress in `reports` towards the target's version and forecasts the rest.
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
