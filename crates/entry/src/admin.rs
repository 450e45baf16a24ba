//! The operators' API: versioned JSON over HTTP with bearer tokens.

mod auth;
mod status;

use std::sync::Arc;

use cassiawheel_decide::ChangeRequest;
use cassiawheel_model::{
    ChangeId, InstanceId, OperatorName, PresetContent, PresetName, record, settings::OperatorRole,
};
use cassiawheel_runtime::http::{BodyError, ReplyBody, error_reply, json_reply, read_body};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use macro_rules_attribute::apply;
use serde::de::DeserializeOwned;

use crate::{
    control::{
        change::{self, ChangeReply, PresetError},
        drains,
    },
    shared::EntryShared,
};

/// Largest body of an operator's call, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Body of `POST /v1/force`.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub(crate) struct ForceCall {
    /// The preset to put in force.
    pub(crate) preset: PresetName,
    /// Names the change; asking again with the same id never makes a second one.
    pub(crate) change: ChangeId,
    /// Whether the operator promises that nobody asked by this id before.
    ///
    /// A failure can then be known to be one; otherwise an earlier ask by the
    /// id may still take effect.
    #[serde(default)]
    pub(crate) fresh: bool,
}

/// Reply to a stored preset.
#[apply(record!)]
pub(crate) struct StoredReply {
    /// The preset.
    pub(crate) preset: PresetName,
    /// Revision of its row.
    pub(crate) row_revision: u64,
    /// The content with pinned manifests.
    pub(crate) content: PresetContent,
}

/// Reply to `POST /v1/drain/<instance>`: the instance's process was asked to leave.
#[apply(record!)]
pub(crate) struct DrainReply {
    /// Who has to leave.
    pub(crate) instance: InstanceId,
}

/// Answers one call of an operator.
pub(crate) async fn accept(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let operator = match auth::authenticate(&shared.settings.operators, request.headers()) {
        Ok(operator) => operator.clone(),
        Err(reply) => return reply,
    };
    let (parts, body) = request.into_parts();
    let needed = match parts.method {
        Method::GET => OperatorRole::View,
        _ => OperatorRole::Operate,
    };
    if operator.role < needed {
        let message = format!("{} may only view", operator.name);
        return error_reply(StatusCode::FORBIDDEN, "forbidden", message);
    }
    let path: Vec<_> = parts.uri.path().trim_start_matches('/').split('/').collect();
    let reply = match (&parts.method, path.as_slice()) {
        (&Method::GET, ["v1", "status"]) => {
            Ok(json_reply(StatusCode::OK, &status::build_status(&shared)))
        }
        (&Method::GET, ["v1", "presets"]) => list_presets(&shared).await,
        (&Method::GET, ["v1", "presets", name]) => get_preset(&shared, name).await,
        (&Method::PUT, ["v1", "presets", name]) => put_preset(&shared, name, body).await,
        (&Method::GET, ["v1", "history"]) => history(&shared).await,
        (&Method::POST, ["v1", "force"]) => force(&shared, &operator.name, body).await,
        (&Method::POST, ["v1", "drain", instance]) => drain(&shared, instance),
        _ => Err(error_reply(StatusCode::NOT_FOUND, "not-found", parts.uri.path())),
    };
    reply.unwrap_or_else(|error| error)
}

type AdminReply = Result<Response<ReplyBody>, Response<ReplyBody>>;

async fn list_presets(shared: &EntryShared) -> AdminReply {
    let rows = shared.table.scan("preset/").await.map_err(|error| failed(error.into()))?;
    let names: Vec<_> = rows.iter().filter_map(|row| row.key.strip_prefix("preset/")).collect();
    Ok(json_reply(StatusCode::OK, &names))
}

async fn get_preset(shared: &EntryShared, name: &str) -> AdminReply {
    let name = preset_name(name)?;
    let content = change::get_preset(shared.table.as_ref(), &name).await.map_err(failed)?;
    Ok(json_reply(StatusCode::OK, &content))
}

async fn put_preset(shared: &EntryShared, name: &str, body: Incoming) -> AdminReply {
    let name = preset_name(name)?;
    let mut content: PresetContent = read_json(body).await?;
    let findings = content.check(name.as_str());
    if !findings.is_empty() {
        return Err(json_reply(StatusCode::UNPROCESSABLE_ENTITY, &findings));
    }
    change::pin_manifests(shared, &mut content).await.map_err(failed)?;
    let row_revision =
        change::put_preset(shared.table.as_ref(), &name, &content).await.map_err(failed)?;
    Ok(json_reply(StatusCode::OK, &StoredReply { preset: name, row_revision, content }))
}

async fn history(shared: &EntryShared) -> AdminReply {
    let changes = change::history(shared.table.as_ref()).await.map_err(failed)?;
    Ok(json_reply(StatusCode::OK, &changes))
}

async fn force(shared: &EntryShared, operator: &OperatorName, body: Incoming) -> AdminReply {
    let call: ForceCall = read_json(body).await?;
    let request = ChangeRequest {
        preset: call.preset,
        change: call.change,
        operator: operator.clone(),
        fresh: call.fresh,
        known: shared.known_revision(),
    };
    let reply = change::force_preset(shared, request).await.map_err(failed)?;
    let status = match &reply {
        ChangeReply::Accepted { .. } => StatusCode::OK,
        ChangeReply::Conflict { .. } => StatusCode::CONFLICT,
        ChangeReply::NotAccepted { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ChangeReply::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    Ok(json_reply(status, &reply))
}

fn drain(shared: &EntryShared, instance: &str) -> AdminReply {
    let instance = InstanceId::new(instance).map_err(|error| {
        error_reply(StatusCode::BAD_REQUEST, "bad-request", format!("the instance {error}"))
    })?;
    drains::drain_anywhere(shared, &instance);
    Ok(json_reply(StatusCode::ACCEPTED, &DrainReply { instance }))
}

fn preset_name(name: &str) -> Result<PresetName, Response<ReplyBody>> {
    PresetName::new(name).map_err(|error| {
        error_reply(StatusCode::BAD_REQUEST, "bad-request", format!("the preset name {error}"))
    })
}

async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Response<ReplyBody>> {
    let bytes = read_body(body, MAX_BODY_BYTES).await.map_err(|error| match error {
        BodyError::TooLong => {
            error_reply(StatusCode::PAYLOAD_TOO_LARGE, "too-long", "the body is too long")
        }
        BodyError::Cut => error_reply(StatusCode::BAD_REQUEST, "cut", "the body ended early"),
        BodyError::Slow => {
            error_reply(StatusCode::REQUEST_TIMEOUT, "slow", "the body took too long")
        }
    })?;
    serde_json::from_slice(&bytes)
        .map_err(|error| error_reply(StatusCode::BAD_REQUEST, "bad-request", error.to_string()))
}

fn failed(error: PresetError) -> Response<ReplyBody> {
    let (status, code) = match &error {
        PresetError::Store(_) => (StatusCode::SERVICE_UNAVAILABLE, "store"),
        PresetError::Manifest { .. } => (StatusCode::UNPROCESSABLE_ENTITY, "manifest"),
        PresetError::Damaged(_) => (StatusCode::INTERNAL_SERVER_ERROR, "damaged"),
        PresetError::Missing(_) => (StatusCode::NOT_FOUND, "missing"),
        PresetError::Conflict => (StatusCode::CONFLICT, "conflict"),
    };
    error_reply(status, code, error.to_string())
}
