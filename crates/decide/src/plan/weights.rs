//! The weights that a service has to serve, and how much of them an endpoint holds.

use cassiawheel_model::{
    EndpointReport, EndpointState, ManifestDigest, ModelVersion, ServiceTarget,
};

use crate::fencing::OrderToken;

/// Version and manifest that a service has to serve.
#[derive(Debug, Clone, Copy)]
pub(super) struct WantedWeights<'a> {
    pub(super) version: &'a ModelVersion,
    pub(super) manifest: ManifestDigest,
}

impl<'a> WantedWeights<'a> {
    pub(super) fn of(target: &'a ServiceTarget) -> Option<Self> {
        Some(Self { version: target.version.as_ref()?, manifest: target.manifest? })
    }
}

/// Percentage of a version that an endpoint with all chunks holds.
pub(super) const FULLY_HELD: u32 = 100;

/// Percentage of the wanted version that an endpoint holds.
pub(super) fn held_percent(report: &EndpointReport, wanted: WantedWeights<'_>) -> u32 {
    if serves(report, wanted) {
        return FULLY_HELD;
    }
    let staged = report.staged.as_ref().filter(|staged| staged.manifest == wanted.manifest);
    staged.map_or(0, |staged| staged.chunks_ready * FULLY_HELD / staged.chunks_total.max(1))
}

pub(super) fn is_serving(report: &EndpointReport) -> bool {
    matches!(report.state, EndpointState::Serving { .. })
}

/// Whether the endpoint serves the wanted weights.
///
/// The origin may publish other bytes under the same version name later. An endpoint
/// that was ordered to serve another manifest of that name does not serve this one.
pub(super) fn serves(report: &EndpointReport, wanted: WantedWeights<'_>) -> bool {
    let EndpointState::Serving { version, .. } = &report.state else {
        return false;
    };
    let ordered = report.ordered.filter(|_| OrderToken::decode(report.order).serve);
    let is_other = ordered.is_some_and(|manifest| manifest != wanted.manifest);
    version.as_ref() == Some(wanted.version) && !is_other
}

pub(super) fn has_staged(report: &EndpointReport, manifest: ManifestDigest) -> bool {
    report.staged.as_ref().is_some_and(|staged| {
        staged.manifest == manifest && staged.chunks_ready == staged.chunks_total
    })
}

/// Whether the endpoint's newest order is to serve or to stage these weights.
///
/// An order with a token below the engine's does not count: a restarted agent accepted
/// it before it had read the engine's token, and cannot execute it.
pub(super) fn is_ordered(report: &EndpointReport, manifest: ManifestDigest, serve: bool) -> bool {
    let is_current = report.order >= report.engine_fencing;
    is_current
        && report.ordered == Some(manifest)
        && OrderToken::decode(report.order).serve == serve
}
