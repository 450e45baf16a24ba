//! Which weights each endpoint has to hold.

use cassiawheel_model::{EndpointReport, ForcedPreset, ManifestDigest, ModelVersion};

/// Weights that an endpoint has to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedWeights {
    /// The version.
    pub version: ModelVersion,
    /// Pins its bytes.
    pub manifest: ManifestDigest,
    /// Fencing token of the order.
    pub fencing: u64,
}

/// What the preset in force wants at the endpoint that sent `report`.
///
/// Every endpoint of a service holds the service's version.
pub fn planned_weights(preset: &ForcedPreset, report: &EndpointReport) -> Option<PlannedWeights> {
    let target = preset.content.services.get(&report.service)?;
    Some(PlannedWeights {
        version: target.version.clone()?,
        manifest: target.manifest?,
        fencing: preset.revision.0,
    })
}
