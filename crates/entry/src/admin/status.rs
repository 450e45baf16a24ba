//! What operators see.

use std::{collections::BTreeMap, sync::atomic::Ordering};

use cassiawheel_model::{
    EndpointReport, EndpointState, InstanceId, ModelVersion, PresetName, PresetRevision,
    ServiceName, Timestamp, record,
};
use macro_rules_attribute::apply;

use crate::shared::EntryShared;

/// Reply to `GET /v1/status`.
#[apply(record!)]
pub(crate) struct StatusReply {
    /// The preset in force, as this entry knows it.
    pub(crate) preset: Option<PresetName>,
    /// Its revision.
    pub(crate) revision: PresetRevision,
    /// Revision at each entry, this one included.
    pub(crate) entries: BTreeMap<InstanceId, PresetRevision>,
    /// Services of the preset in force.
    pub(crate) services: BTreeMap<ServiceName, ServiceStatus>,
    /// Endpoints that this entry knows.
    pub(crate) endpoints: Vec<EndpointStatus>,
    /// Milliseconds since the table service last answered; none if it never did.
    pub(crate) store_age_ms: Option<u64>,
}

/// One service.
#[apply(record!)]
pub(crate) struct ServiceStatus {
    /// The version wanted.
    pub(crate) version: Option<ModelVersion>,
    /// Replicas wanted.
    pub(crate) replicas_wanted: u32,
    /// Replicas that serve the wanted version.
    pub(crate) replicas_ready: u32,
}

/// One endpoint.
#[apply(record!)]
pub(crate) struct EndpointStatus {
    /// Its last report.
    pub(crate) report: EndpointReport,
    /// Whether it leaves.
    pub(crate) leaving: bool,
}

/// Builds the status as this entry knows it.
pub(crate) fn build_status(shared: &EntryShared) -> StatusReply {
    let force = shared.force.load_full();
    let revision = force.as_ref().map(|preset| preset.revision).unwrap_or_default();
    let endpoints = endpoint_statuses(shared);
    let mut services = BTreeMap::new();
    for (name, target) in force.iter().flat_map(|preset| &preset.content.services) {
        let ready = endpoints.iter().filter(|endpoint| {
            endpoint.report.service == *name
                && !endpoint.leaving
                && serves(&endpoint.report, target.version.as_ref())
        });
        let status = ServiceStatus {
            version: target.version.clone(),
            replicas_wanted: target.replicas,
            replicas_ready: ready.count() as u32,
        };
        services.insert(name.clone(), status);
    }
    let mut entries: BTreeMap<_, _> =
        shared.peers().iter().map(|(name, peer)| (name.clone(), peer.revision)).collect();
    entries.insert(shared.settings.place.instance.clone(), revision);
    let read_at = shared.store_read_at.load(Ordering::Relaxed);
    StatusReply {
        preset: force.map(|preset| preset.preset.clone()),
        revision,
        entries,
        services,
        endpoints,
        store_age_ms: (read_at > 0).then(|| Timestamp::now().0.saturating_sub(read_at)),
    }
}

fn endpoint_statuses(shared: &EntryShared) -> Vec<EndpointStatus> {
    let roster = shared.roster();
    roster
        .members()
        .map(|member| EndpointStatus {
            report: member.report.clone(),
            leaving: roster.is_leaving(member),
        })
        .collect()
}

fn serves(report: &EndpointReport, wanted: Option<&ModelVersion>) -> bool {
    matches!(&report.state, EndpointState::Serving { version, .. } if version.as_ref() == wanted)
}
