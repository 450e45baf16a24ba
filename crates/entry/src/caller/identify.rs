//! Identifying a request: workspace, service, priority, repeatability, deadline.

use std::{sync::OnceLock, time::Duration};

use bytes::Bytes;
use cassiawheel_decide::{AdmitTier, affinity::prefix_digest, idempotency::repeatability};
use cassiawheel_edge::engine_http::end_to_end_headers;
use cassiawheel_model::{
    Deadline, PresetRevision, PriorityClass, RequestDigest, RequestHead, RequestKey, ServiceName,
    Timestamp, WorkspaceId,
};
use cassiawheel_runtime::http::{BodyError, ReplyBody, error_reply, read_body_within};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};

use super::SERVICE_PATH;
use crate::shared::EntryShared;

/// Time for a body whose deadline is past or near; its caller is then told so.
const MIN_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Header that names the caller's workspace.
pub(crate) const WORKSPACE_HEADER: &str = "cassiawheel-workspace";
/// Header with the priority: `low`, `normal` or `high`.
pub(crate) const PRIORITY_HEADER: &str = "cassiawheel-priority";
/// Header with the absolute deadline, in milliseconds since the Unix epoch.
pub(crate) const DEADLINE_HEADER: &str = "cassiawheel-deadline";
/// Header that says whether the request may be repeated: `true` or `false`.
pub(crate) const IDEMPOTENT_HEADER: &str = "cassiawheel-idempotent";
/// Header with the caller's idempotency key.
pub(crate) const KEY_HEADER: &str = "idempotency-key";

/// Workspace of callers that name none.
const DEFAULT_WORKSPACE: &str = "default";

/// A request that has been identified.
pub(crate) struct IdentifiedRequest {
    /// What routing needs to know.
    pub(crate) head: RequestHead,
    /// The body.
    pub(crate) body: Bytes,
    /// Made for the first look whether endpoints have ended under the request.
    pub(crate) digest: OnceLock<RequestDigest>,
    /// Further header fields, where endpoints are reached directly.
    pub(crate) fields: HeaderMap,
    /// The workspace that endpoints are told.
    pub(crate) workspace: Option<WorkspaceId>,
    /// Endpoints that it may be sent to.
    pub(crate) max_attempts: u32,
    /// Until when an answer should begin, which bounds the wait for admission.
    pub(crate) admit_by: Deadline,
    /// How its answer goes to the caller.
    pub(crate) form: ResponseForm,
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
    /// Whether its caller asks for the first time, as far as that shows.
    pub(crate) turn: AdmitTier,
}

/// How an answer goes to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseForm {
    /// With its outcome in fields of ours.
    WithOutcome,
    /// As the endpoint gave it.
    Passthrough,
    /// As the endpoint gave it, event by event.
    Events,
}

impl IdentifiedRequest {
    /// Digest of the request, the same for each attempt of its caller.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| RequestDigest::of(&self.head, &self.body))
    }

    /// Whether endpoints are reached without an agent between.
    pub(crate) fn is_direct(&self) -> bool {
        self.form != ResponseForm::WithOutcome
    }
}

/// Why a request was not understood.
pub(crate) struct BadRequest {
    status: StatusCode,
    message: String,
}

impl BadRequest {
    fn new(place: &str, message: impl std::fmt::Display) -> Self {
        Self { status: StatusCode::BAD_REQUEST, message: format!("{place}: {message}") }
    }

    /// The reply to the caller.
    pub(crate) fn reply(self) -> Response<ReplyBody> {
        error_reply(self.status, "bad-request", self.message)
    }
}

/// Reads head and body of a request.
pub(crate) async fn identify(
    shared: &EntryShared,
    request: Request<Incoming>,
) -> Result<IdentifiedRequest, BadRequest> {
    let settings = &shared.settings.caller;
    let (parts, body) = request.into_parts();
    let now = Timestamp::now();
    let (service, path) = split_path(&parts.uri)?;
    let idempotent = parse(&parts.headers, IDEMPOTENT_HEADER)?;
    let default_deadline = now.deadline_after(Duration::from_millis(settings.default_deadline_ms));
    let workspace = match parse::<WorkspaceId>(&parts.headers, WORKSPACE_HEADER)? {
        Some(workspace) => workspace,
        None => WorkspaceId::new(DEFAULT_WORKSPACE)
            .map_err(|error| BadRequest::new(WORKSPACE_HEADER, error))?,
    };
    let mut head = RequestHead {
        id: shared.next_request_id().map_err(|error| BadRequest::new("request", error))?,
        workspace,
        service,
        priority: priority(&parts.headers)?,
        repeat: repeatability(parts.method.as_str(), idempotent),
        key: parse::<RequestKey>(&parts.headers, KEY_HEADER)?,
        deadline: parse(&parts.headers, DEADLINE_HEADER)?.map_or(default_deadline, Deadline),
        method: parts.method.to_string(),
        path,
        content_type: parse(&parts.headers, CONTENT_TYPE.as_str())?,
        headers: end_to_end_headers(&parts.headers),
        prefix: None,
        revision: PresetRevision::default(),
        version: None,
    };
    // A caller that stalls in the middle of its body would hold its connection
    // for as long as it likes.
    let limit = Duration::from_millis(shared.settings.limits.body_ms);
    let span = limit.min(head.deadline.remaining(Timestamp::now()).max(MIN_BODY_TIMEOUT));
    let body = read_body_within(body, settings.max_body_bytes, span).await;
    let body = body.map_err(|error| match error {
        BodyError::TooLong => BadRequest {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            message: format!("body: longer than {} bytes", settings.max_body_bytes),
        },
        BodyError::Truncated => BadRequest::new("body", "ended early"),
        BodyError::TimedOut => BadRequest {
            status: StatusCode::REQUEST_TIMEOUT,
            message: format!("body: did not arrive within {span:?}"),
        },
    })?;
    head.prefix = prefix_digest(&body, settings.prefix_bytes);
    Ok(IdentifiedRequest {
        workspace: Some(head.workspace.clone()),
        admit_by: head.deadline,
        head,
        body,
        digest: OnceLock::new(),
        fields: HeaderMap::new(),
        max_attempts: settings.max_attempts,
        form: ResponseForm::WithOutcome,
        last_event: None,
        turn: AdmitTier::Fresh,
    })
}

fn split_path(uri: &hyper::Uri) -> Result<(ServiceName, String), BadRequest> {
    let path = uri.path_and_query().map_or(uri.path(), |whole| whole.as_str());
    let rest = path.strip_prefix(SERVICE_PATH).unwrap_or_default();
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let service = ServiceName::new(name)
        .map_err(|error| BadRequest::new("path", format_args!("the service name {error}")))?;
    Ok((service, format!("/{rest}")))
}

fn priority(headers: &HeaderMap) -> Result<PriorityClass, BadRequest> {
    match text(headers, PRIORITY_HEADER)? {
        None | Some("normal") => Ok(PriorityClass::Normal),
        Some("low") => Ok(PriorityClass::Low),
        Some("high") => Ok(PriorityClass::High),
        Some(other) => Err(BadRequest::new(
            PRIORITY_HEADER,
            format_args!("must be low, normal or high, is {other:?}"),
        )),
    }
}

fn parse<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, BadRequest>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|error| BadRequest::new(name, error))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| BadRequest::new(name, "is not plain text"))
}
