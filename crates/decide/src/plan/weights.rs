//! The weights that a service has to serve, and what an endpoint has of them.

use cassiawheel_model::{
    EndpointReport, EndpointState, ManifestDigest, ModelVersion, ServiceTarget,
};

use crate::fencing::OrderToken;

/// The weights that a service has to serve.
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

/// Share of a version that an endpoint holds when it has all of it.
pub(super) const HELD_WHOLE: u32 = 100;

/// How much of the wanted version an endpoint holds, in percent.
pub(super) fn held_share(report: &EndpointReport, wanted: WantedWeights<'_>) -> u32 {
    if serves(report, wanted) {
        return HELD_WHOLE;
    }
    let staged = report.staged.as_ref().filter(|staged| staged.manifest == wanted.manifest);
    staged.map_or(0, |staged| staged.chunks_ready * HELD_WHOLE / staged.chunks_total.max(1))
}

pub(super) fn is_serving(report: &EndpointReport) -> bool {
    matches!(report.state, EndpointState::Serving { .. })
}

/// Whether the endpoint serves the wanted weights.
///
/// The origin may give a version's name to other bytes later. An endpoint that
/// was ordered to serve another manifest of the name does not serve this one.
pub(super) fn serves(report: &EndpointReport, wanted: WantedWeights<'_>) -> bool {
    let EndpointState::Serving { version, .. } = &report.state else {
        return false;
    };
    let ordered = report.ordered.filter(|_| OrderToken::decode(report.order).serve);
    let other = ordered.is_some_and(|manifest| manifest != wanted.manifest);
    version.as_ref() == Some(wanted.version) && !other
}

pub(super) fn has_staged(report: &EndpointReport, manifest: ManifestDigest) -> bool {
    report.staged.as_ref().is_some_and(|staged| {
        staged.manifest == manifest && staged.chunks_ready == staged.chunks_total
    })
}

/// Whether the endpoint's newest order is to serve or to stage these weights.
///
/// An order below the engine's token does not count: the agent has started
/// again, got it before it knew the engine's token, and cannot carry it out.
pub(super) fn is_ordered(report: &EndpointReport, manifest: ManifestDigest, serve: bool) -> bool {
    let current = report.order >= report.engine_fencing;
    current && report.ordered == Some(manifest) && OrderToken::decode(report.order).serve == serve
}
