//! The attempts of one request: route, dispatch, and again where allowed.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use cassiawheel_decide::{
    AttemptFailure, BAR_DURATION, EndpointPath, EndpointTracker, RepeatGuard, RetryBudget,
    RetryStep, RetryTracker, RouteQuery, RouteSnapshot,
};
use cassiawheel_model::{
    Deadline, ForcedPreset, InstanceId, ModelVersion, NotRunReason, PresetRevision, Repeatability,
    RequestHead, RequestOutcome, ServiceKind, Timestamp,
};
use hyper::HeaderMap;
use smol::Timer;

use super::{
    crash_detection::{LostRun, RunTarget, await_turn, record_answered, record_lost_run},
    dispatch::{AttemptStream, DispatchedRequest, ResponseHead, dispatch},
    identify::IdentifiedRequest,
};
use crate::{crashes::SuspectRun, shared::EntryShared};

/// When a refused caller should come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Requests beyond its limit that an endpoint gets to make up for another one.
///
/// An answer that broke off has cost its caller time and an engine work. When
/// an engine dies the others are often full, and refusing would waste both;
/// the requests of one dead engine are one or two for each of the others.
const RETRY_EXTRA_SLOTS: u32 = 4;

/// Lowest status of a failure that is the endpoint's own.
const SERVER_ERROR: u16 = 500;

/// An answer that has begun.
pub(crate) struct StartedResponse {
    /// The rest of the answer.
    pub(crate) stream: AttemptStream,
    /// HTTP status of the endpoint.
    pub(crate) status: u16,
    /// Header fields that pass from end to end.
    pub(crate) headers: HeaderMap,
    /// The version that answers.
    pub(crate) version: Option<ModelVersion>,
    /// The preset under which it ran.
    pub(crate) revision: PresetRevision,
    /// Whether it repeats the recorded answer of an earlier run.
    pub(crate) replayed: bool,
    /// Attempts that it took.
    pub(crate) attempts: u32,
    /// Where it runs.
    target: RunTarget,
    /// Counts the request at its endpoint until the answer ends.
    _load: LoadGuard,
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

impl FailedRequest {
    /// A request that was refused before any attempt.
    pub(crate) fn before_attempts(shared: &EntryShared, reason: NotRunReason) -> Self {
        let revision = shared.active_preset.load().as_ref().map(|preset| preset.revision);
        let outcome = final_outcome(AttemptFailure::NotRun(reason));
        Self { outcome, revision: revision.unwrap_or_default(), attempts: 0 }
    }
}

/// One request's count at its endpoint and its service.
pub(crate) struct LoadGuard {
    cell: Arc<EndpointTracker>,
    service: Arc<AtomicU32>,
}

impl LoadGuard {
    /// Takes over a request that is counted at the endpoint already.
    fn adopt(cell: Arc<EndpointTracker>, service: Arc<AtomicU32>) -> Self {
        service.fetch_add(1, Ordering::Relaxed);
        Self { cell, service }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.cell.release();
        self.service.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The attempts of one request.
pub(crate) struct RequestAttempts {
    shared: Arc<EntryShared>,
    /// The request.
    pub(crate) request: IdentifiedRequest,
    /// The last event that the caller has, for streams that may be resumed.
    pub(crate) last_event: Option<u64>,
    budget: Arc<RetryBudget>,
    tracker: RetryTracker,
    excluded: Vec<InstanceId>,
    /// The only version that may answer, once a part of an answer was sent.
    version: Option<ModelVersion>,
    revision: PresetRevision,
    /// Keeps other runs of a request under which endpoints have ended waiting.
    suspect_run: Option<SuspectRun>,
}

impl RequestAttempts {
    /// A request that has not been tried yet.
    pub(crate) fn new(shared: Arc<EntryShared>, request: IdentifiedRequest) -> Self {
        let head = &request.head;
        let tracker = RetryTracker::new(RepeatGuard::of(head), head.deadline, request.max_attempts);
        let budget = shared.retry_budget(&head.service);
        budget.deposit();
        Self {
            shared,
            last_event: request.last_event,
            request,
            budget,
            tracker,
            excluded: Vec::new(),
            version: None,
            revision: PresetRevision::default(),
            suspect_run: None,
        }
    }

    /// The request's head.
    pub(crate) fn head(&self) -> &RequestHead {
        &self.request.head
    }

    /// Tries until an answer begins or the request is given up.
    pub(crate) async fn begin(&mut self) -> Result<StartedResponse, FailedRequest> {
        loop {
            match self.attempt().await {
                Ok(response) if self.may_retry_elsewhere(&response) => {
                    let end = AttemptFailure::Unknown(format!("answered {}", response.status));
                    if self.await_retry(end).await.is_err() {
                        // The failure is the endpoint's own answer, and the
                        // last one that there will be.
                        return Ok(response);
                    }
                }
                Ok(response) => return Ok(response),
                Err(end) => self.await_retry(end).await?,
            }
        }
    }

    /// Whether an endpoint failed at a request that another one may answer.
    fn may_retry_elsewhere(&self, response: &StartedResponse) -> bool {
        self.request.is_direct()
            && response.status >= SERVER_ERROR
            && self.head().repeat == Repeatability::Idempotent
    }

    /// Tries again after an answer was cut of which a part has been sent.
    ///
    /// The answer begins anew; only `version` may give it.
    pub(crate) async fn retry_cut(
        &mut self,
        cut: &StartedResponse,
        version: Option<ModelVersion>,
        end: AttemptFailure,
    ) -> Result<StartedResponse, FailedRequest> {
        self.version = version;
        let lost_run = LostRun { target: &cut.target, answering: cut.stream.has_data(), end: &end };
        record_lost_run(&self.shared, &self.request, lost_run).await;
        self.suspect_run = None;
        self.await_retry(end).await?;
        self.begin().await
    }

    async fn attempt(&mut self) -> Result<StartedResponse, AttemptFailure> {
        let preset =
            preset_in_force(&self.shared, &self.request.head).map_err(AttemptFailure::NotRun)?;
        self.revision = preset.revision;
        self.suspect_run = None;
        let turn = await_turn(&self.shared, &self.request).await;
        self.suspect_run = turn.map_err(AttemptFailure::NotRun)?;
        self.route_and_dispatch(&preset).await
    }

    /// Notes that the answer was whole.
    pub(crate) fn record_answered(&self) {
        record_answered(&self.shared, &self.request);
    }

    /// Waits until the next attempt, if one is allowed.
    async fn await_retry(&mut self, end: AttemptFailure) -> Result<(), FailedRequest> {
        let now = Timestamp::now();
        let next_at = match self.tracker.next_step(end, &self.budget, now, &mut rand::rng()) {
            RetryStep::Retry(next_at) => next_at,
            RetryStep::Reroute(next_at) => {
                self.excluded.pop();
                next_at
            }
            RetryStep::Stop(end) => {
                let (revision, attempts) = (self.revision, self.tracker.attempts());
                return Err(FailedRequest { outcome: final_outcome(end), revision, attempts });
            }
        };
        Timer::after(next_at.remaining(Timestamp::now())).await;
        Ok(())
    }

    async fn route_and_dispatch(
        &mut self,
        preset: &ForcedPreset,
    ) -> Result<StartedResponse, AttemptFailure> {
        let (shared, head) = (&self.shared, &self.request.head);
        let now = Timestamp::now();
        let allowed = shared.allowed_versions(&head.service, now);
        let routes = shared.routes.load();
        let target = preset.content.services.get(&head.service);
        let has_cache = target.is_some_and(|target| target.kind == ServiceKind::Model);
        let query = RouteQuery {
            service: &head.service,
            excluded: &self.excluded,
            version: self.version.as_ref(),
            allowed: allowed.as_deref(),
            extra_capacity: if self.tracker.attempts() > 0 && self.request.is_direct() {
                RETRY_EXTRA_SLOTS
            } else {
                0
            },
            prefix: head.prefix.filter(|_| has_cache),
            max_in_flight: target.map_or(0, |target| target.max_in_flight),
            now,
        };
        let choice = routes.acquire(&query, &mut rand::rng());
        let (Some(choice), Some(service)) = (choice, routes.service(&head.service)) else {
            log::info!(target: "route", request:% = head.id, workspace:% = head.workspace, service:% = head.service, revision = preset.revision.0, excluded = self.excluded.len(); "No endpoint for a request.");
            return Err(AttemptFailure::NotRun(no_endpoint_reason(&routes, head)));
        };
        let candidate = choice.candidate;
        log::info!(target: "route", request:% = head.id, workspace:% = head.workspace, endpoint:% = candidate.instance, reason = choice.reason.as_str(), cost = choice.cost, near = candidate.is_near, candidates = choice.candidates, revision = preset.revision.0, attempt = self.tracker.attempts() + 1; "Chose an endpoint.");
        let load = LoadGuard::adopt(candidate.tracker.clone(), service.in_flight().clone());
        let (instance, path) = (candidate.instance.clone(), candidate.path);
        let candidate_version = candidate.version.clone();
        let version = match path {
            EndpointPath::Agent => candidate.version.clone(),
            // The endpoint refuses if it holds another one after all.
            EndpointPath::Direct(_) => candidate.version.clone().filter(|_| allowed.is_some()),
        };
        drop(routes);
        self.excluded.push(instance.clone());
        self.tracker.begin_attempt();
        shared.metrics.attempts.inc();
        let routed = RequestHead { revision: preset.revision, version, ..head.clone() };
        let sent = DispatchedRequest {
            instance: &instance,
            head: &routed,
            request: &self.request,
            last_event: self.last_event,
        };
        let start_by = shared.start_by(&head.service, candidate_version.as_ref());
        let response: ResponseHead = match dispatch(shared, path, sent, &load.cell, start_by).await
        {
            Ok(response) => response,
            Err(end) => {
                record_failure(shared, &routed, self.excluded.last(), &load.cell, &end);
                let target = RunTarget { instance, path };
                let lost_run = LostRun { target: &target, answering: false, end: &end };
                record_lost_run(shared, &self.request, lost_run).await;
                return Err(end);
            }
        };
        load.cell.record_success();
        let delay_ms = Timestamp::now().since(now).as_millis() as u64;
        log::info!(target: "answer", request:% = self.request.head.id, endpoint:% = instance, status = response.status, delay_ms = delay_ms; "An answer begins.");
        Ok(StartedResponse {
            stream: response.stream,
            status: response.status,
            headers: response.headers,
            version: response.version,
            revision: response.revision,
            replayed: response.replayed,
            attempts: self.tracker.attempts(),
            target: RunTarget { instance, path },
            _load: load,
        })
    }
}

fn preset_in_force(
    shared: &EntryShared,
    head: &RequestHead,
) -> Result<Arc<ForcedPreset>, NotRunReason> {
    if head.deadline.is_past(Timestamp::now()) {
        return Err(NotRunReason::DeadlineTooClose);
    }
    let preset = shared.active_preset.load_full().ok_or(NotRunReason::NotReady)?;
    if !preset.content.services.contains_key(&head.service) {
        return Err(NotRunReason::UnknownService);
    }
    Ok(preset)
}

/// Why no endpoint was found: none serves, or each is at its limit.
fn no_endpoint_reason(routes: &RouteSnapshot, head: &RequestHead) -> NotRunReason {
    match routes.service(&head.service) {
        Some(service) if service.in_flight().load(Ordering::Relaxed) > 0 => {
            NotRunReason::Overloaded
        }
        Some(_) | None => NotRunReason::NoEndpoint,
    }
}

/// Learns from an attempt that gave no answer.
fn record_failure(
    shared: &EntryShared,
    head: &RequestHead,
    instance: Option<&InstanceId>,
    cell: &EndpointTracker,
    end: &AttemptFailure,
) {
    let now = Timestamp::now();
    match end {
        // Another attempt with the key may be the cause, and not this endpoint.
        AttemptFailure::Unanswered(_) => {}
        AttemptFailure::NotRun(NotRunReason::Overloaded) => cell.record_refusal(now),
        // No version was asked for, so it is the process that is another one.
        // It refuses at once and so seems to be idle; without this look it would
        // draw request after request until its row lapses.
        AttemptFailure::NotRun(NotRunReason::VersionMismatch) if head.version.is_none() => {
            if let Some(instance) = instance {
                shared.drop_listed(instance);
            }
        }
        AttemptFailure::NotRun(NotRunReason::ConnectFailed)
        | AttemptFailure::Unknown(_)
        | AttemptFailure::Lost(_) => {
            let routes = shared.routes.load();
            let ejected = routes
                .service(&head.service)
                .zip(instance)
                .is_some_and(|(s, i)| s.record_failure(i, now));
            if let (true, Some(instance)) = (ejected, instance) {
                log::warn!(target: "route", endpoint:% = instance; "Ejected an endpoint that fails.");
            }
        }
        AttemptFailure::NotRun(_) => {}
    }
}

fn final_outcome(end: AttemptFailure) -> RequestOutcome {
    match end {
        AttemptFailure::NotRun(reason) => RequestOutcome::NotRun {
            reason,
            retry_at: match reason {
                NotRunReason::Quarantined => Timestamp::now().deadline_after(BAR_DURATION),
                _ => Deadline(Timestamp::now().0 + RETRY_AFTER_MS),
            },
        },
        AttemptFailure::Unknown(detail)
        | AttemptFailure::Lost(detail)
        | AttemptFailure::Unanswered(detail) => RequestOutcome::Unknown { detail },
    }
}
