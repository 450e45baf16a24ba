//! Requests that are routed by the route table of the active preset.
//!
//! `identify` determines route, service and workspace. The outcome is reported by the status code
//! alone; codes such as 429 and 503 guarantee that the request was not run.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use cassiawheel_decide::{
    AdmitTier, CallerIndex, CallerLocation, RequestWork, advise, pick_service,
};
use cassiawheel_edge::CallerHead;
use cassiawheel_model::{
    GenerationSize, NotRunReason, OutcomeKind, PresetRevision, PriorityClass, Repeatability,
    RequestDigest, RequestHead, RequestOutcome, RouteKind, RouteRule, ServiceName, Timestamp,
    WorkspaceId,
};
use cassiawheel_runtime::http::{BodyError, ReplyBody, error_reply, full_body, read_body_reserved};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use rand::Rng;

use super::{
    RequestGuard, admit,
    admit::AdmitRefusal,
    advice_candidates,
    attempts::{FailedRequest, RequestAttempts, StartedResponse},
    crash_detection, events,
    identify::{IdentifiedRequest, PromptPart, ResponseForm},
    outcome,
    outcome::no_room_delay,
    passthrough,
};
use crate::{routed::RoutedState, shared::EntryShared};

/// Workspace of requests without an API key.
const PUBLIC_WORKSPACE: &str = "public";

/// Divisor of a route's latency target that gives the time by which a request has to be admitted.
///
/// The wait in the queue is at most half of that time, a quarter of the target. A busy engine takes
/// 130 to 250 ms to start a response and targets are 300 to 400 ms, so a quarter is what remains.
const AIM_DIVISOR: u64 = 2;

/// Retry delay while the entry has no preset yet, in seconds.
const START_RETRY_S: &str = "0.3";

/// Reason why a request is answered without being routed.
enum CallerRefusal {
    /// The entry has no preset yet.
    NotReady,
    /// No route matches the host and path.
    NoRoute,
    /// The route leads to no service that is known.
    NoDestination,
    /// The API key is not valid for the route.
    UnknownKey,
    /// No region is a home of both the route and the workspace.
    NoHome,
    /// There is no room in memory for the body.
    NoRoom,
    /// The head or body is invalid.
    Bad(StatusCode, String),
}

/// Handles one request that is routed by host and path.
pub(crate) async fn accept(
    shared: Arc<EntryShared>,
    routed: Arc<RoutedState>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let mut reply = match identify(&shared, &routed, request).await {
        Ok(identified) => answer(shared.clone(), identified).await,
        Err(refusal) => refusal.reply(),
    };
    if shared.is_leaving() {
        // Callers that keep the connection open would otherwise see it closed during a later
        // request.
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn answer(shared: Arc<EntryShared>, request: IdentifiedRequest) -> Response<ReplyBody> {
    let mut guard = RequestGuard::begin(shared.clone(), &request);
    if let Some(routed) = &shared.routed {
        // Admission counts the free slots of endpoints that may have left.
        routed.freshness.hold().await;
    }
    // A quarantined request is refused before admission because it would use a slot for nothing.
    let accepted = admit::refuse_in_shutdown(&shared, &request).and_then(|()| {
        crash_detection::refuse_barred(&shared, &request)
            .map_err(|reason| AdmitRefusal { reason, retry_after: None })
    });
    let admitted = match accepted {
        Ok(()) => admit::admit(&shared, &request).await,
        Err(refusal) => Err(refusal),
    };
    match admitted {
        Ok(permit) => guard.permit = permit,
        Err(refusal) => {
            guard.count_outcome(OutcomeKind::NotRun);
            let failed = FailedRequest::before_attempts(&shared, refusal.reason);
            return failure_reply(&guard, &request, &failed, refusal.retry_after);
        }
    }
    let mut attempts = RequestAttempts::new(shared, request, guard.progress());
    match attempts.begin().await {
        Ok(response) => relay_reply(guard, attempts, response).await,
        Err(failed) => {
            guard.count_outcome(failed.outcome.kind());
            failure_reply(&guard, &attempts.request, &failed, None)
        }
    }
}

async fn relay_reply(
    guard: RequestGuard,
    attempts: RequestAttempts,
    response: StartedResponse,
) -> Response<ReplyBody> {
    let is_success = StatusCode::from_u16(response.status).is_ok_and(|status| status.is_success());
    match attempts.request.form {
        ResponseForm::Events if is_success => events::stream_reply(guard, attempts, response),
        ResponseForm::Events | ResponseForm::Passthrough | ResponseForm::WithOutcome => {
            passthrough::whole_reply(guard, attempts, response).await
        }
    }
}

/// Returns the entries that a caller should connect to.
pub(crate) async fn answer_advice(
    shared: Arc<EntryShared>,
    routed: Arc<RoutedState>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let (parts, _) = request.into_parts();
    let Some(query) = routed.callers.read_advice(&parts) else {
        let message = format!("unknown path {}", parts.uri.path());
        return error_reply(StatusCode::NOT_FOUND, "not-found", message);
    };
    let settings = &shared.settings.caller;
    let entries = advice_candidates(&shared);
    let own = &shared.settings.place.failure_domain;
    let requested = query.failure_domain.and_then(|name| name.parse().ok());
    let domain = requested.as_ref().unwrap_or(own);
    let region = query.region.and_then(|name| name.parse().ok());
    let index = routed.index.load();
    let host = query.host.map(|host| host.to_ascii_lowercase());
    let homes = index.as_ref().zip(host).map(|(index, host)| index.host_homes(&host));
    let homes = homes.unwrap_or_default();
    let location =
        CallerLocation { failure_domain: domain, region: region.as_ref(), homes: &homes };
    let ttl = Duration::from_millis(settings.advice_ms);
    let valid_until = Timestamp::now().deadline_after(ttl);
    let advice =
        advise(&entries, location, settings.advice_addresses, valid_until, &mut rand::rng());
    let near = entries.iter().filter(|e| e.failure_domain == *domain && !e.leaving).count();
    let count = if near > 0 { near } else { advice.addresses.len() };
    let addresses = &advice.addresses[..count.min(advice.addresses.len())];
    let mut reply = Response::new(full_body(routed.callers.advice_body(addresses, ttl)));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// Handles the platform's readiness probe.
pub(crate) async fn answer_ready(
    shared: Arc<EntryShared>,
    routed: Arc<RoutedState>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let (parts, _) = request.into_parts();
    if !routed.callers.is_readiness_probe(&parts) {
        let message = format!("unknown path {}", parts.uri.path());
        return error_reply(StatusCode::NOT_FOUND, "not-found", message);
    }
    if shared.is_advised() && !shared.is_leaving() {
        return Response::new(full_body("ready\n"));
    }
    error_reply(StatusCode::SERVICE_UNAVAILABLE, "not-ready", "not ready")
}

async fn identify(
    shared: &EntryShared,
    routed: &RoutedState,
    request: Request<Incoming>,
) -> Result<IdentifiedRequest, CallerRefusal> {
    let now = Timestamp::now();
    let (parts, body) = request.into_parts();
    let index = routed.index.load_full().ok_or(CallerRefusal::NotReady)?;
    let caller = routed
        .callers
        .read_head(&parts)
        .map_err(|error| CallerRefusal::Bad(StatusCode::BAD_REQUEST, error.to_string()))?;
    let rule = find_route(&index, &parts).ok_or(CallerRefusal::NoRoute)?;
    let workspace = index
        .workspace(rule, caller.key.as_deref())
        .map_err(|_| CallerRefusal::UnknownKey)?
        .cloned();
    let homes = index.homes(rule, workspace.as_ref()).ok_or(CallerRefusal::NoHome)?;
    let head = request_head(&parts, &caller, rule, workspace.as_ref(), now)?;
    let urgency = index.urgency(rule, workspace.as_ref(), &head.service);
    let wait_aim_ms = urgency.map_or(rule.aim_ms, |urgency| urgency.wait_aim_ms(rule.aim_ms));
    let work = request_work(shared, &head.service, caller.generation_size);
    let shared_parts = caller
        .shared_parts
        .into_iter()
        .map(|id| PromptPart { digest: RequestDigest::of_prompt_part(&head.service, &id), id });
    let shared_parts = shared_parts.collect();
    let is_first =
        caller.timeout.is_none_or(|caller_timeout| routed.is_first_try(&rule.name, caller_timeout));
    let limits = index.table().limits;
    let span = Duration::from_millis(shared.settings.limits.body_ms)
        .min(head.deadline.remaining(Timestamp::now()));
    let mut reservation = shared.buffered.begin();
    let reserve = |bytes| reservation.grow(bytes);
    let most = limits.body_bytes.min(shared.buffered.largest_body());
    let body = read_body_reserved(body, most, span, reserve).await;
    let body = body.map_err(|error| body_refusal(&head, error))?;
    Ok(IdentifiedRequest {
        head,
        route: rule.name.clone(),
        body,
        _reservation: reservation,
        digest: OnceLock::new(),
        shared_parts,
        fields: routed.callers.end_to_end(&parts.headers),
        workspace,
        homes,
        max_attempts: rule.max_attempts.max(1),
        admit_by: now.deadline_after(Duration::from_millis(wait_aim_ms / AIM_DIVISOR)),
        form: match rule.kind {
            RouteKind::Idempotent | RouteKind::AtMostOnce => ResponseForm::Passthrough,
            RouteKind::Stream | RouteKind::ResumableStream => ResponseForm::Events,
        },
        last_event: caller.last_event,
        tier: if is_first { AdmitTier::Fresh } else { AdmitTier::Returned },
        urgency,
        work,
    })
}

fn request_work(
    shared: &EntryShared,
    service: &ServiceName,
    size: Option<GenerationSize>,
) -> RequestWork {
    let preset = shared.active_preset.load();
    let target = preset.as_ref().and_then(|preset| preset.content.services.get(service));
    RequestWork::of(target.and_then(|target| target.engine.as_ref()), size)
}

fn find_route<'a>(index: &'a CallerIndex, parts: &Parts) -> Option<&'a RouteRule> {
    let host = parts.headers.get(HOST)?.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    index.route(&name.to_ascii_lowercase(), parts.uri.path())
}

fn request_head(
    parts: &Parts,
    caller: &CallerHead,
    rule: &RouteRule,
    workspace: Option<&WorkspaceId>,
    now: Timestamp,
) -> Result<RequestHead, CallerRefusal> {
    let internal_error = |error: &dyn std::fmt::Display| {
        CallerRefusal::Bad(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
    };
    let workspace = match workspace {
        Some(workspace) => workspace.clone(),
        None => WorkspaceId::new(PUBLIC_WORKSPACE).map_err(|error| internal_error(&error))?,
    };
    let service = pick_service(rule, rand::rng().random()).ok_or(CallerRefusal::NoDestination)?;
    let timeout = Duration::from_millis(rule.timeout_ms);
    let caller_timeout =
        caller.timeout.map_or(timeout, |caller_timeout| caller_timeout.min(timeout));
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(RequestHead {
        id: caller.id.clone(),
        workspace,
        service: service.clone(),
        priority: PriorityClass::Normal,
        repeat: match rule.kind {
            RouteKind::Idempotent | RouteKind::ResumableStream => Repeatability::Idempotent,
            RouteKind::AtMostOnce | RouteKind::Stream => Repeatability::AtMostOnce,
        },
        key: None,
        deadline: now.deadline_after(caller_timeout),
        method: parts.method.to_string(),
        path: path.to_owned(),
        content_type: None,
        headers: Vec::new(),
        prefix: None,
        revision: PresetRevision::default(),
        version: None,
    })
}

fn body_refusal(head: &RequestHead, error: BodyError) -> CallerRefusal {
    match error {
        BodyError::NoRoom => {
            log::info!(target: "outcome", request:% = head.id; "Refused a request: there is no room for its body.");
            CallerRefusal::NoRoom
        }
        BodyError::TooLong => {
            CallerRefusal::Bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long".to_owned())
        }
        BodyError::Truncated => {
            CallerRefusal::Bad(StatusCode::BAD_REQUEST, "the body ended early".to_owned())
        }
        BodyError::TimedOut => {
            CallerRefusal::Bad(StatusCode::REQUEST_TIMEOUT, "reading the body timed out".to_owned())
        }
    }
}

impl CallerRefusal {
    fn reply(self) -> Response<ReplyBody> {
        match self {
            Self::NotReady => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let mut reply = error_reply(status, "not-ready", "no preset is known yet");
                reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(START_RETRY_S));
                reply
            }
            Self::NoRoute => error_reply(StatusCode::NOT_FOUND, "no-route", "no matching route"),
            Self::NoDestination => {
                let message = "the route leads to no known service";
                error_reply(StatusCode::SERVICE_UNAVAILABLE, "no-destination", message)
            }
            Self::UnknownKey => {
                error_reply(StatusCode::UNAUTHORIZED, "unknown-key", "the key is not valid")
            }
            Self::NoHome => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let message = "the route and the workspace have no home region in common";
                error_reply(status, NotRunReason::NoHome.code(), message)
            }
            Self::NoRoom => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let mut reply = error_reply(status, "no-room", "no room for the body");
                reply.headers_mut().insert(RETRY_AFTER, no_room_delay());
                reply
            }
            Self::Bad(status, message) => error_reply(status, "bad-request", message),
        }
    }
}

/// Reply to a request that failed before any part of a response was sent. `retry_after` is the
/// delay that admission has already assigned to the caller.
pub(super) fn failure_reply(
    guard: &RequestGuard,
    request: &IdentifiedRequest,
    failed: &FailedRequest,
    retry_after: Option<Duration>,
) -> Response<ReplyBody> {
    let (status, error, message, wait_ms) = outcome::describe(&failed.outcome);
    let status = match &failed.outcome {
        RequestOutcome::NotRun { reason, .. } => not_run_status(*reason),
        _ => status,
    };
    let wait = match (retry_after, wait_ms, &failed.outcome) {
        (Some(wait), ..) => Some(wait),
        (None, Some(wait_ms), RequestOutcome::NotRun { reason, .. }) => match reason {
            NotRunReason::Quarantined | NotRunReason::BackedOff => {
                Some(Duration::from_millis(wait_ms))
            }
            _ => admit::retry_after(&guard.shared, request, *reason),
        },
        (None, ..) => None,
    };
    let retry_ms = wait.unwrap_or_default().as_millis() as u64;
    log::info!(target: "outcome", request:% = request.head.id, status = status.as_u16(), error = error, attempts = failed.attempts, retry_ms = retry_ms, cause:% = message; "A request failed.");
    let mut reply = error_reply(status, error, message);
    if let Some(wait) = wait {
        let wait_s = format!("{:.3}", wait.as_secs_f64());
        if let Ok(wait_s) = HeaderValue::from_str(&wait_s) {
            reply.headers_mut().insert(RETRY_AFTER, wait_s);
        }
    }
    reply
}

/// Status of a refusal; each of these codes guarantees that the request was not run.
fn not_run_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
