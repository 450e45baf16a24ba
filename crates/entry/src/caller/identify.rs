//! Parsing a request: workspace, service, priority, repeatability and deadline.

use std::{sync::OnceLock, time::Duration};

use bytes::Bytes;
use cassiawheel_decide::{
    AdmitRank, AdmitTier, ByteReservation, RequestUrgency, RequestWork, affinity::prefix_digest,
    idempotency::repeatability,
};
use cassiawheel_edge::engine_http::end_to_end_headers;
use cassiawheel_model::{
    Deadline, HomeRegions, OutcomeKind, PresetRevision, PriorityClass, RequestDigest, RequestHead,
    RequestKey, ServiceName, Timestamp, WorkspaceId,
};
use cassiawheel_runtime::http::{BodyError, ReplyBody, error_reply, read_body_reserved};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};

use super::{
    SERVICE_PATH,
    outcome::{OUTCOME_HEADER, no_room_delay, outcome_text},
};
use crate::shared::EntryShared;

/// Minimum time to read a body, so that a request whose deadline has nearly passed still gets a
/// reply that reports it.
const MIN_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Header that names the caller's workspace.
pub(crate) const WORKSPACE_HEADER: &str = "cassiawheel-workspace";
/// Header with the priority: `low`, `normal` or `high`.
pub(crate) const PRIORITY_HEADER: &str = "cassiawheel-priority";
/// Header with the absolute deadline, in milliseconds since the Unix epoch.
pub(crate) const DEADLINE_HEADER: &str = "cassiawheel-deadline";
/// Header that states whether the request may be repeated: `true` or `false`.
pub(crate) const IDEMPOTENT_HEADER: &str = "cassiawheel-idempotent";
/// Header with the caller's idempotency key.
pub(crate) const KEY_HEADER: &str = "idempotency-key";

/// Workspace of callers that do not name one.
const DEFAULT_WORKSPACE: &str = "default";

/// A request whose head and body have been read.
pub(crate) struct IdentifiedRequest {
    /// Routing data.
    pub(crate) head: RequestHead,
    /// Name of the route, or of the service where callers name it.
    pub(crate) route: String,
    /// Request body.
    pub(crate) body: Bytes,
    /// Memory reserved for the body.
    pub(crate) _reservation: ByteReservation,
    /// Digest for crash detection, computed when first needed.
    pub(crate) digest: OnceLock<RequestDigest>,
    /// Parts of the prompt that other requests may share.
    pub(crate) shared_parts: Vec<PromptPart>,
    /// Further header fields, used when endpoints are reached directly.
    pub(crate) fields: HeaderMap,
    /// Workspace that is sent to endpoints.
    pub(crate) workspace: Option<WorkspaceId>,
    /// Regions in which the request may be served.
    pub(crate) homes: HomeRegions,
    /// Maximum number of endpoints that the request is sent to.
    pub(crate) max_attempts: u32,
    /// Time by which the request should be admitted; bounds the wait in the admission queue.
    pub(crate) admit_by: Deadline,
    /// Format of the response to the caller.
    pub(crate) form: ResponseForm,
    /// Id of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
    /// Whether this appears to be the caller's first attempt.
    pub(crate) tier: AdmitTier,
    /// Urgency; none where urgencies are not in use.
    pub(crate) urgency: Option<RequestUrgency>,
    /// Expected work at an endpoint.
    pub(crate) work: RequestWork,
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone)]
pub(crate) struct PromptPart {
    /// Id of the part, as the caller names it.
    pub(crate) id: String,
    /// Digest for crash detection.
    pub(crate) digest: RequestDigest,
}

/// Format in which a response is sent to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseForm {
    /// With the outcome in `cassiawheel-*` headers and trailers.
    WithOutcome,
    /// As received from the endpoint.
    Passthrough,
    /// As received from the endpoint, event by event.
    Events,
}

impl IdentifiedRequest {
    /// Digest of the request; the same for each attempt of its caller.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| RequestDigest::of(&self.head, &self.body))
    }

    /// Ids of the shared parts of the prompt, for logs.
    pub(crate) fn shared_part_ids(&self) -> String {
        let ids: Vec<_> = self.shared_parts.iter().map(|part| part.id.as_str()).collect();
        ids.join(",")
    }

    /// Rank of the request in admission.
    pub(crate) fn rank(&self) -> AdmitRank {
        match self.urgency {
            Some(urgency) => urgency.rank(self.work),
            None => AdmitRank { work: self.work, ..AdmitRank::default() },
        }
    }

    /// Whether the response is a stream of events.
    pub(crate) fn has_events(&self) -> bool {
        self.form == ResponseForm::Events
    }

    /// Whether endpoints are reached directly instead of through an agent.
    pub(crate) fn is_direct(&self) -> bool {
        self.form != ResponseForm::WithOutcome
    }
}

/// A request that could not be parsed, and why.
pub(crate) struct BadRequest {
    status: StatusCode,
    message: String,
}

impl BadRequest {
    fn new(place: &str, message: impl std::fmt::Display) -> Self {
        Self { status: StatusCode::BAD_REQUEST, message: format!("{place}: {message}") }
    }

    /// Error reply for the caller.
    pub(crate) fn reply(self) -> Response<ReplyBody> {
        if self.status != StatusCode::SERVICE_UNAVAILABLE {
            return error_reply(self.status, "bad-request", self.message);
        }
        let mut reply = error_reply(self.status, "no-room", self.message);
        let outcome = HeaderValue::from_static(outcome_text(OutcomeKind::NotRun));
        reply.headers_mut().insert(OUTCOME_HEADER, outcome);
        reply.headers_mut().insert(RETRY_AFTER, no_room_delay());
        reply
    }
}

/// Reads the head and body of a request.
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
    // Without this limit, a caller that stalls in the middle of its body could hold a connection
    // indefinitely.
    let limit = Duration::from_millis(shared.settings.limits.body_ms);
    let span = limit.min(head.deadline.remaining(Timestamp::now()).max(MIN_BODY_TIMEOUT));
    let mut reservation = shared.buffered.begin();
    let reserve = |bytes| reservation.grow(bytes);
    let most = settings.max_body_bytes.min(shared.buffered.largest_body());
    let body = read_body_reserved(body, most, span, reserve).await;
    let body = body.map_err(|error| match error {
        BodyError::TooLong => BadRequest {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            message: format!("body: longer than {most} bytes"),
        },
        BodyError::Truncated => BadRequest::new("body", "ended early"),
        BodyError::TimedOut => BadRequest {
            status: StatusCode::REQUEST_TIMEOUT,
            message: format!("body: did not arrive within {span:?}"),
        },
        BodyError::NoRoom => BadRequest {
            status: StatusCode::SERVICE_UNAVAILABLE,
            message: "body: there is no room for it in memory".to_owned(),
        },
    })?;
    head.prefix = prefix_digest(&body, settings.prefix_bytes);
    Ok(IdentifiedRequest {
        workspace: Some(head.workspace.clone()),
        admit_by: head.deadline,
        route: head.service.to_string(),
        head,
        body,
        _reservation: reservation,
        digest: OnceLock::new(),
        shared_parts: Vec::new(),
        fields: HeaderMap::new(),
        homes: HomeRegions::default(),
        max_attempts: settings.max_attempts,
        form: ResponseForm::WithOutcome,
        last_event: None,
        tier: AdmitTier::Fresh,
        urgency: None,
        work: RequestWork::UNIT,
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
