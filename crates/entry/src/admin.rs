//! Operators' API: versioned JSON over HTTP with bearer tokens.
//!
//! `authenticate → route → authorize → handle`. Unauthenticated callers cannot find out which paths
//! exist.

mod auth;
pub(crate) mod progress;
mod reply;
mod status;

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::ChangeRequest;
use cassiawheel_model::{
    ChangeId, ForcedPreset, InstanceId, OperatorName, PresetContent, PresetName, record,
    settings::OperatorRole,
};
use cassiawheel_runtime::http::{ReplyBody, error_reply, json_reply};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use macro_rules_attribute::apply;

use crate::{
    control::{
        change::{self, ChangeReply},
        drains, staging,
    },
    shared::EntryShared,
};
use reply::{AdminReply, findings_reply, parse_id, preset_error_reply, read_json};

pub(crate) use status::{EndpointStatus, ServiceStatus, StatusReply};

/// Body of `POST /v1/force`.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub(crate) struct ForceCall {
    /// Name of the preset to activate.
    pub(crate) preset: PresetName,
    /// Id of the change; a retry with the same id does not apply it a second time.
    pub(crate) change: ChangeId,
    /// Whether the operator guarantees that the id was not used before.
    ///
    /// Then a failure is known to have had no effect; otherwise an earlier call with the id may
    /// still take effect.
    #[serde(default)]
    pub(crate) fresh: bool,
}

/// Reply to `PUT /v1/presets/<name>`.
#[apply(record!)]
pub(crate) struct StoredReply {
    /// Name of the preset.
    pub(crate) preset: PresetName,
    /// Revision of the row that holds the preset.
    pub(crate) row_revision: u64,
    /// Stored content, with pinned manifests.
    pub(crate) content: PresetContent,
}

/// Reply to `POST /v1/drain/<instance>`, sent after the drain was requested.
#[apply(record!)]
pub(crate) struct DrainReply {
    /// Instance that has to leave.
    pub(crate) instance: InstanceId,
}

/// Operation that a call requests.
enum AdminRoute<'a> {
    Status,
    ActivePreset,
    History,
    ListPresets,
    GetPreset(&'a str),
    PutPreset(&'a str),
    Force,
    Stage(&'a str),
    Drain(&'a str),
}

impl<'a> AdminRoute<'a> {
    /// Returns the route for `method` and `path`, if there is one.
    fn parse(method: &Method, path: &'a str) -> Option<Self> {
        let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
        let ["v1", rest @ ..] = parts.as_slice() else {
            return None;
        };
        Some(match (method, rest) {
            (&Method::GET, ["status"]) => Self::Status,
            (&Method::GET, ["force"]) => Self::ActivePreset,
            (&Method::GET, ["history"]) => Self::History,
            (&Method::GET, ["presets"]) => Self::ListPresets,
            (&Method::GET, ["presets", name]) => Self::GetPreset(name),
            (&Method::PUT, ["presets", name]) => Self::PutPreset(name),
            (&Method::POST, ["force"]) => Self::Force,
            (&Method::POST, ["stage", name]) => Self::Stage(name),
            (&Method::POST, ["drain", instance]) => Self::Drain(instance),
            _ => return None,
        })
    }

    fn required_role(&self) -> OperatorRole {
        match self {
            Self::Status
            | Self::ActivePreset
            | Self::History
            | Self::ListPresets
            | Self::GetPreset(_) => OperatorRole::View,
            Self::PutPreset(_) | Self::Force | Self::Stage(_) | Self::Drain(_) => {
                OperatorRole::Operate
            }
        }
    }
}

/// Handles one call of an operator.
pub(crate) async fn accept(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let answered = handle(&shared, request).await;
    answered.unwrap_or_else(|refusal| refusal)
}

async fn handle(shared: &EntryShared, request: Request<Incoming>) -> AdminReply {
    let operators = &shared.settings.operators;
    let operator = auth::authenticate(operators, request.headers())
        .inspect_err(|_| shared.metrics.admin_refused.inc())?;
    let (parts, body) = request.into_parts();
    let route = AdminRoute::parse(&parts.method, parts.uri.path()).ok_or_else(|| {
        let message = format!("there is no {} {}", parts.method, parts.uri.path());
        error_reply(StatusCode::NOT_FOUND, "not-found", message)
    })?;
    if operator.role < route.required_role() {
        shared.metrics.admin_refused.inc();
        let message = format!("{} may only view", operator.name);
        return Err(error_reply(StatusCode::FORBIDDEN, "forbidden", message));
    }
    match route {
        AdminRoute::Status => Ok(json_reply(StatusCode::OK, &status::build_status(shared))),
        AdminRoute::ActivePreset => Ok(active_preset(shared)),
        AdminRoute::History => history(shared).await,
        AdminRoute::ListPresets => list_presets(shared).await,
        AdminRoute::GetPreset(name) => get_preset(shared, name).await,
        AdminRoute::PutPreset(name) => put_preset(shared, &operator.name, name, body).await,
        AdminRoute::Force => force(shared, &operator.name, body).await,
        AdminRoute::Stage(name) => stage(shared, &operator.name, name).await,
        AdminRoute::Drain(instance) => drain(shared, &operator.name, instance),
    }
}

fn active_preset(shared: &EntryShared) -> Response<ReplyBody> {
    let preset: Option<Arc<ForcedPreset>> = shared.active_preset.load_full();
    json_reply(StatusCode::OK, &preset)
}

async fn list_presets(shared: &EntryShared) -> AdminReply {
    let rows =
        shared.table.scan("preset/").await.map_err(|error| preset_error_reply(error.into()))?;
    let names: Vec<_> = rows.iter().filter_map(|row| row.key.strip_prefix("preset/")).collect();
    Ok(json_reply(StatusCode::OK, &names))
}

async fn get_preset(shared: &EntryShared, name: &str) -> AdminReply {
    let name: PresetName = parse_id("the preset name", name)?;
    let content =
        change::get_preset(shared.table.as_ref(), &name).await.map_err(preset_error_reply)?;
    Ok(json_reply(StatusCode::OK, &content))
}

async fn put_preset(
    shared: &EntryShared,
    operator: &OperatorName,
    name: &str,
    body: Incoming,
) -> AdminReply {
    let name: PresetName = parse_id("the preset name", name)?;
    let mut content: PresetContent = read_json(body, body_timeout(shared)).await?;
    let findings = content.check(name.as_str());
    if !findings.is_empty() {
        return Err(findings_reply(&findings));
    }
    change::pin_manifests(shared, &mut content).await.map_err(preset_error_reply)?;
    let row_revision = change::put_preset(shared.table.as_ref(), &name, &content)
        .await
        .map_err(preset_error_reply)?;
    log::info!(target: "admin", operator:% = operator, preset:% = name, row_revision = row_revision; "Stored a preset.");
    Ok(json_reply(StatusCode::OK, &StoredReply { preset: name, row_revision, content }))
}

async fn history(shared: &EntryShared) -> AdminReply {
    let changes = change::history(shared.table.as_ref()).await.map_err(preset_error_reply)?;
    Ok(json_reply(StatusCode::OK, &changes))
}

async fn force(shared: &EntryShared, operator: &OperatorName, body: Incoming) -> AdminReply {
    let call: ForceCall = read_json(body, body_timeout(shared)).await?;
    let change = call.change.clone();
    let request = ChangeRequest {
        preset: call.preset,
        change: call.change,
        operator: operator.clone(),
        fresh: call.fresh,
        known: shared.known_revision(),
    };
    let reply = change::force_preset(shared, request).await.map_err(preset_error_reply)?;
    let (status, result) = match &reply {
        ChangeReply::Accepted { .. } => (StatusCode::OK, "accepted"),
        ChangeReply::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
        ChangeReply::NotAccepted { .. } => (StatusCode::SERVICE_UNAVAILABLE, "not-accepted"),
        ChangeReply::Unknown { .. } => (StatusCode::GATEWAY_TIMEOUT, "unknown"),
    };
    log::info!(target: "admin", operator:% = operator, change:% = change, result = result; "Replied to a change request.");
    Ok(json_reply(status, &reply))
}

async fn stage(shared: &EntryShared, operator: &OperatorName, name: &str) -> AdminReply {
    let name = parse_id("the preset name", name)?;
    let staged =
        staging::stage_preset(shared, &name, operator).await.map_err(preset_error_reply)?;
    Ok(json_reply(StatusCode::OK, &staged))
}

fn drain(shared: &EntryShared, operator: &OperatorName, instance: &str) -> AdminReply {
    let instance: InstanceId = parse_id("the instance", instance)?;
    log::info!(target: "admin", operator:% = operator, instance:% = instance; "Requested the drain of an instance.");
    drains::request_drain(shared, &instance);
    Ok(json_reply(StatusCode::ACCEPTED, &DrainReply { instance }))
}

fn body_timeout(shared: &EntryShared) -> Duration {
    Duration::from_millis(shared.settings.limits.body_ms)
}
