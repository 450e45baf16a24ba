//! Status of the deployment as reported to operators.

use std::collections::BTreeMap;

use cassiawheel_model::{
    EndpointReport, EndpointState, InstanceId, ModelVersion, PresetName, PresetRevision,
    ServiceName, ServiceTarget, Timestamp, record,
};
use macro_rules_attribute::apply;

use super::progress::{StageProgress, stage_progress};
use crate::{
    control::{staging::current_staging, store::StoreHealth},
    shared::EntryShared,
};

/// Reply to `GET /v1/status`.
#[apply(record!)]
pub(crate) struct StatusReply {
    /// Active preset of this entry.
    pub(crate) preset: Option<PresetName>,
    /// Revision of the active preset.
    pub(crate) revision: PresetRevision,
    /// Revision at each entry, including this one.
    pub(crate) entries: BTreeMap<InstanceId, PresetRevision>,
    /// Services of the active preset.
    pub(crate) services: BTreeMap<ServiceName, ServiceStatus>,
    /// Endpoints in the roster of this entry.
    pub(crate) endpoints: Vec<EndpointStatus>,
    /// Entries and endpoints that have not adopted the revision yet.
    pub(crate) behind: Vec<InstanceId>,
    /// The preset that is staged ahead of its activation, if there is one.
    pub(crate) ahead: Option<StagingStatus>,
    /// Milliseconds since the table service last responded; none if it never did.
    pub(crate) store_age_ms: Option<u64>,
    /// Recent responses of the table service.
    pub(crate) store: StoreHealth,
}

/// Status of a preset that is staged ahead of its activation.
#[apply(record!)]
pub(crate) struct StagingStatus {
    /// Name of the preset.
    pub(crate) preset: PresetName,
    /// When staging was requested.
    pub(crate) staged_at: Timestamp,
    /// Progress of the preset's model services.
    pub(crate) services: BTreeMap<ServiceName, StageProgress>,
}

/// Status of one service.
#[apply(record!)]
pub(crate) struct ServiceStatus {
    /// Version that the active preset names.
    pub(crate) version: Option<ModelVersion>,
    /// Number of replicas that the active preset names.
    pub(crate) replicas_wanted: u32,
    /// Number of replicas that serve that version.
    pub(crate) replicas_ready: u32,
    /// Progress towards the version; none for plain services.
    pub(crate) progress: Option<StageProgress>,
}

/// Status of one endpoint.
#[apply(record!)]
pub(crate) struct EndpointStatus {
    /// Last report of the endpoint's agent.
    pub(crate) report: EndpointReport,
    /// Whether the endpoint is leaving.
    pub(crate) leaving: bool,
}

/// Builds the status from the state of this entry.
pub(crate) fn build_status(shared: &EntryShared) -> StatusReply {
    let active = shared.active_preset.load_full();
    let revision = active.as_ref().map(|preset| preset.revision).unwrap_or_default();
    let endpoints = endpoint_statuses(shared);
    let mut services = BTreeMap::new();
    for (name, target) in active.iter().flat_map(|preset| &preset.content.services) {
        let ready = endpoints.iter().filter(|endpoint| {
            endpoint.report.service == *name
                && !endpoint.leaving
                && serves(&endpoint.report, target.version.as_ref())
        });
        let replicas_ready = ready.count() as u32;
        let status = ServiceStatus {
            version: target.version.clone(),
            replicas_wanted: target.replicas,
            replicas_ready,
            progress: service_progress(shared, name, target, &endpoints),
        };
        services.insert(name.clone(), status);
    }
    let mut entries: BTreeMap<_, _> =
        shared.peers().iter().map(|(name, peer)| (name.clone(), peer.revision)).collect();
    entries.insert(shared.settings.place.instance.clone(), revision);
    let store = shared.store.health().clone();
    let answered_at = store.answered_at;
    StatusReply {
        preset: active.map(|preset| preset.preset.clone()),
        revision,
        behind: outdated_instances(revision, &entries, &endpoints),
        ahead: staging_status(shared, &endpoints),
        entries,
        services,
        endpoints,
        store_age_ms: answered_at.map(|at| Timestamp::now().0.saturating_sub(at.0)),
        store,
    }
}

fn outdated_instances(
    revision: PresetRevision,
    entries: &BTreeMap<InstanceId, PresetRevision>,
    endpoints: &[EndpointStatus],
) -> Vec<InstanceId> {
    let entries = entries.iter().map(|(instance, known)| (instance, *known));
    let endpoints =
        endpoints.iter().map(|endpoint| (&endpoint.report.instance, endpoint.report.revision));
    let older = entries.chain(endpoints).filter(|(_, known)| *known < revision);
    older.map(|(instance, _)| instance.clone()).collect()
}

fn staging_status(shared: &EntryShared, endpoints: &[EndpointStatus]) -> Option<StagingStatus> {
    let staged = &current_staging(shared)?.staged;
    let services = staged.content.services.iter().filter_map(|(name, target)| {
        Some((name.clone(), service_progress(shared, name, target, endpoints)?))
    });
    let (preset, staged_at) = (staged.preset.clone(), staged.staged_at);
    Some(StagingStatus { preset, staged_at, services: services.collect() })
}

fn service_progress(
    shared: &EntryShared,
    service: &ServiceName,
    target: &ServiceTarget,
    endpoints: &[EndpointStatus],
) -> Option<StageProgress> {
    let reports: Vec<_> = endpoints
        .iter()
        .filter(|endpoint| endpoint.report.service == *service && !endpoint.leaving)
        .map(|endpoint| &endpoint.report)
        .collect();
    let mut samples = shared.progress.lock().unwrap_or_else(|poison| poison.into_inner());
    stage_progress(&mut samples, service, target, &reports, Timestamp::now())
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
