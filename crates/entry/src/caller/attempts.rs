//! The attempts of one request: route, dispatch, and again where allowed.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use bytes::Bytes;
use cassiawheel_decide::{
    AttemptEnd, EndpointCell, RepeatGuard, RetryStep, RetryTracker, RouteQuery, RouteSnapshot,
};
use cassiawheel_model::{
    Deadline, ForcedPreset, InstanceId, ModelVersion, NotRunReason, PresetRevision, RequestHead,
    RequestOutcome, ServiceKind, Timestamp,
};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::RequestMessage;
use smol::Timer;

use crate::{
    link::{AgentLink, AttemptStream},
    shared::EntryShared,
};

/// When a refused caller should come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// An answer that has begun.
pub(crate) struct BegunAnswer {
    /// The rest of the answer.
    pub(crate) stream: AttemptStream,
    /// HTTP status of the endpoint.
    pub(crate) status: u16,
    /// Media type.
    pub(crate) content_type: Option<String>,
    /// The version that answers.
    pub(crate) version: Option<ModelVersion>,
    /// The preset under which it ran.
    pub(crate) revision: PresetRevision,
    /// Whether it repeats the recorded answer of an earlier run.
    pub(crate) replayed: bool,
    /// Attempts that it took.
    pub(crate) attempts: u32,
    /// Counts the request at its endpoint until the answer ends.
    pub(crate) _load: EndpointLoad,
}

/// A request that got no answer.
pub(crate) struct FailedRequest {
    /// What its caller is told.
    pub(crate) outcome: RequestOutcome,
    /// The preset under which it was routed last.
    pub(crate) revision: PresetRevision,
    /// Attempts made.
    pub(crate) attempts: u32,
}

/// Counts one request at its endpoint and its service.
pub(crate) struct EndpointLoad {
    cell: Arc<EndpointCell>,
    service: Arc<AtomicU32>,
}

impl EndpointLoad {
    fn begin(cell: Arc<EndpointCell>, service: Arc<AtomicU32>) -> Self {
        cell.begin();
        service.fetch_add(1, Ordering::Relaxed);
        Self { cell, service }
    }
}

impl Drop for EndpointLoad {
    fn drop(&mut self) {
        self.cell.end();
        self.service.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Tries until an answer begins or the request is given up.
pub(crate) async fn run_attempts(
    shared: &EntryShared,
    head: &RequestHead,
    body: &Bytes,
) -> Result<BegunAnswer, FailedRequest> {
    let max_attempts = shared.settings.caller.max_attempts;
    let mut tracker = RetryTracker::new(RepeatGuard::of(head), head.deadline, max_attempts);
    let mut excluded = Vec::new();
    let mut revision = PresetRevision::default();
    shared.retries.earn();
    loop {
        let end = match preset_in_force(shared, head) {
            Ok(preset) => {
                revision = preset.revision;
                try_once(shared, head, body, &preset, &mut tracker, &mut excluded).await
            }
            Err(reason) => Err(AttemptEnd::NotRun(reason)),
        };
        let end = match end {
            Ok(begun) => return Ok(begun),
            Err(end) => end,
        };
        let step = tracker.after(end, &shared.retries, Timestamp::now(), &mut rand::rng());
        let next_at = match step {
            RetryStep::Again(next_at) => next_at,
            RetryStep::Reroute(next_at) => {
                excluded.pop();
                next_at
            }
            RetryStep::Stop(end) => {
                let (outcome, attempts) = (final_outcome(end), tracker.attempts());
                return Err(FailedRequest { outcome, revision, attempts });
            }
        };
        Timer::after(next_at.remaining(Timestamp::now())).await;
    }
}

fn preset_in_force(
    shared: &EntryShared,
    head: &RequestHead,
) -> Result<Arc<ForcedPreset>, NotRunReason> {
    if head.deadline.is_past(Timestamp::now()) {
        return Err(NotRunReason::DeadlineTooClose);
    }
    let preset = shared.force.load_full().ok_or(NotRunReason::NotReady)?;
    if !preset.content.services.contains_key(&head.service) {
        return Err(NotRunReason::UnknownService);
    }
    Ok(preset)
}

async fn try_once(
    shared: &EntryShared,
    head: &RequestHead,
    body: &Bytes,
    preset: &ForcedPreset,
    tracker: &mut RetryTracker,
    excluded: &mut Vec<InstanceId>,
) -> Result<BegunAnswer, AttemptEnd> {
    let routes = shared.routes.load();
    let target = preset.content.services.get(&head.service);
    let has_cache = target.is_some_and(|target| target.kind == ServiceKind::Model);
    let query = RouteQuery {
        service: &head.service,
        excluded,
        prefix: head.prefix.filter(|_| has_cache),
        max_in_flight: target.map_or(0, |target| target.max_in_flight),
        now: Timestamp::now(),
    };
    let choice = routes.choose(&query, &mut rand::rng());
    let (Some(choice), Some(service)) = (choice, routes.service(&head.service)) else {
        log::info!(target: "route", request:% = head.id, workspace:% = head.workspace, service:% = head.service, revision = preset.revision.0, excluded = excluded.len(); "No endpoint for a request.");
        return Err(AttemptEnd::NotRun(no_endpoint(&routes, head)));
    };
    let candidate = choice.candidate;
    log::info!(target: "route", request:% = head.id, workspace:% = head.workspace, endpoint:% = candidate.instance, reason = choice.reason.as_str(), cost = choice.cost, candidates = choice.candidates, revision = preset.revision.0, attempt = tracker.attempts() + 1; "Chose an endpoint.");
    let load = EndpointLoad::begin(candidate.cell.clone(), service.in_flight().clone());
    let (instance, version) = (candidate.instance.clone(), candidate.version.clone());
    drop(routes);
    let link = shared.links.load().get(&instance).cloned();
    excluded.push(instance);
    tracker.begin();
    shared.metrics.attempts.inc();
    let routed = RequestHead { revision: preset.revision, version, ..head.clone() };
    let begun = match dispatch(link, &routed, body).await {
        Ok(begun) => begun,
        Err(end) => {
            note_end(shared, &routed, excluded.last(), &load.cell, &end);
            return Err(end);
        }
    };
    load.cell.succeed();
    Ok(BegunAnswer {
        stream: begun.stream,
        status: begun.status,
        content_type: begun.content_type,
        version: begun.version,
        revision: begun.revision,
        replayed: begun.replayed,
        attempts: tracker.attempts(),
        _load: load,
    })
}

async fn dispatch(
    link: Option<Arc<AgentLink>>,
    routed: &RequestHead,
    body: &Bytes,
) -> Result<AnswerHead, AttemptEnd> {
    let link = link.ok_or(AttemptEnd::NotRun(NotRunReason::ConnectFailed))?;
    let sent = link.dispatch(routed.clone(), body).await;
    let stream = sent.map_err(AttemptEnd::NotRun)?;
    await_head(stream, routed).await
}

/// Why no endpoint was found: none serves, or each is at its limit.
fn no_endpoint(routes: &RouteSnapshot, head: &RequestHead) -> NotRunReason {
    match routes.service(&head.service) {
        Some(service) if service.in_flight().load(Ordering::Relaxed) > 0 => {
            NotRunReason::Overloaded
        }
        Some(_) | None => NotRunReason::NoEndpoint,
    }
}

/// Learns from an attempt that gave no answer.
fn note_end(
    shared: &EntryShared,
    head: &RequestHead,
    instance: Option<&InstanceId>,
    cell: &EndpointCell,
    end: &AttemptEnd,
) {
    let now = Timestamp::now();
    // A keyed request can be unknown because of another attempt, which says
    // nothing of this endpoint.
    let is_claimed = RepeatGuard::of(head) == RepeatGuard::Claimed;
    match end {
        AttemptEnd::Unknown(_) if is_claimed => {}
        AttemptEnd::NotRun(NotRunReason::Overloaded) => cell.refuse(now),
        AttemptEnd::NotRun(NotRunReason::ConnectFailed) | AttemptEnd::Unknown(_) => {
            let routes = shared.routes.load();
            let ejected =
                routes.service(&head.service).zip(instance).is_some_and(|(s, i)| s.fail(i, now));
            if let (true, Some(instance)) = (ejected, instance) {
                log::warn!(target: "route", endpoint:% = instance; "Ejected an endpoint that fails.");
            }
        }
        AttemptEnd::NotRun(_) => {}
    }
}

/// The head of an answer and the stream of its rest.
struct AnswerHead {
    stream: AttemptStream,
    status: u16,
    content_type: Option<String>,
    version: Option<ModelVersion>,
    revision: PresetRevision,
    replayed: bool,
}

async fn await_head(
    mut stream: AttemptStream,
    routed: &RequestHead,
) -> Result<AnswerHead, AttemptEnd> {
    let span = routed.deadline.remaining(Timestamp::now());
    let Some(message) = timeout(span, stream.next()).await else {
        return Err(AttemptEnd::Unknown("no answer before the deadline".to_owned()));
    };
    match message {
        Some(RequestMessage::Head {
            request,
            status,
            content_type,
            version,
            revision,
            replayed,
            ..
        }) => {
            // Answers can arrive crossed; one that names another request or
            // version would give its caller somebody else's answer. A recorded
            // answer names the version that gave it, which may have left since.
            if request != routed.id || (!replayed && version != routed.version) {
                return Err(AttemptEnd::Unknown("the answer belongs elsewhere".to_owned()));
            }
            Ok(AnswerHead { stream, status, content_type, version, revision, replayed })
        }
        Some(RequestMessage::Refused { reason, .. }) => Err(AttemptEnd::NotRun(reason)),
        Some(RequestMessage::Failed { detail, .. }) => Err(AttemptEnd::Unknown(detail)),
        Some(_) => Err(AttemptEnd::Unknown("the answer has no head".to_owned())),
        None => Err(AttemptEnd::Unknown("the connection to the endpoint was lost".to_owned())),
    }
}

fn final_outcome(end: AttemptEnd) -> RequestOutcome {
    match end {
        AttemptEnd::NotRun(reason) => RequestOutcome::NotRun {
            reason,
            retry_at: Deadline(Timestamp::now().0 + RETRY_AFTER_MS),
        },
        AttemptEnd::Unknown(detail) => RequestOutcome::Unknown { detail },
    }
}
