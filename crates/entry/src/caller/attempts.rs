//! The attempts of one request: route, dispatch, and again where allowed.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use bytes::Bytes;
use cassiawheel_decide::{AttemptEnd, RepeatGuard, RetryStep, RetryTracker};
use cassiawheel_model::{
    Deadline, ForcedPreset, InstanceId, ModelVersion, NotRunReason, PresetRevision, RequestHead,
    RequestOutcome, Timestamp,
};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::RequestMessage;
use smol::Timer;

use crate::{link::AttemptStream, shared::EntryShared};

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

/// Counts one request at its endpoint.
pub(crate) struct EndpointLoad {
    in_flight: Arc<AtomicU32>,
}

impl EndpointLoad {
    fn begin(in_flight: Arc<AtomicU32>) -> Self {
        in_flight.fetch_add(1, Ordering::Relaxed);
        Self { in_flight }
    }
}

impl Drop for EndpointLoad {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
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
    let choice = routes.choose(&head.service, excluded, Timestamp::now(), &mut rand::rng());
    let Some(choice) = choice else {
        log::info!(target: "route", request:% = head.id, workspace:% = head.workspace, service:% = head.service, revision = preset.revision.0, excluded = excluded.len(); "No endpoint for a request.");
        return Err(AttemptEnd::NotRun(NotRunReason::NoEndpoint));
    };
    let candidate = choice.candidate;
    log::info!(target: "route", request:% = head.id, workspace:% = head.workspace, endpoint:% = candidate.instance, reason = "least-cost", cost = choice.cost, candidates = choice.candidates, revision = preset.revision.0, attempt = tracker.attempts() + 1; "Chose an endpoint.");
    let load = EndpointLoad::begin(candidate.in_flight.clone());
    let (instance, version) = (candidate.instance.clone(), candidate.version.clone());
    drop(routes);
    let link = shared.links.load().get(&instance).cloned();
    excluded.push(instance);
    tracker.begin();
    shared.metrics.attempts.inc();
    let routed = RequestHead { revision: preset.revision, version, ..head.clone() };
    let link = link.ok_or(AttemptEnd::NotRun(NotRunReason::ConnectFailed))?;
    let sent = link.dispatch(routed.clone(), body).await;
    let stream = sent.map_err(AttemptEnd::NotRun)?;
    let begun = await_head(stream, &routed).await?;
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
