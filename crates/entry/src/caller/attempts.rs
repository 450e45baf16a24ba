//! The attempts of one request: route, dispatch and, where allowed, retry.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use cassiawheel_decide::{
    AttemptFailure, BAR_DURATION, EndpointPath, EndpointTracker, PathCandidate, RepeatGuard,
    RetryBudget, RetryStep, RetryTracker, RouteChoice, RouteQuery, RouteSnapshot,
    byte_budget::ByteReservation,
};
use cassiawheel_model::{
    Deadline, ForcedPreset, InstanceId, ModelVersion, NotRunReason, PresetRevision, Repeatability,
    RequestHead, RequestOutcome, ServiceKind, Timestamp,
};
use hyper::HeaderMap;
use rand::Rng;
use smol::Timer;

use super::{
    admit,
    crash_detection::{LostRun, RunTarget, await_turn, record_answered, record_lost_run},
    dispatch::{AttemptStream, DispatchedRequest, ResponseHead, dispatch},
    identify::IdentifiedRequest,
    path_attempt::PathAttempt,
    progress::{RequestProgress, RequestStage},
};
use crate::{crashes::SuspectRun, shared::EntryShared};

/// Retry delay that a refused caller is given, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Requests above its limit that an endpoint accepts as retries of failed attempts.
///
/// A response that broke off has cost the caller time and an engine work, and refusing the retry
/// would waste both. When an engine fails, the others are often full; its requests amount to one or
/// two for each of them.
const RETRY_EXTRA_SLOTS: u32 = 4;

/// Divisor of the time until the first endpoint's backoff ends that gives the range of the jitter
/// added to a caller's retry delay.
const JITTER_DIVISOR: u32 = 2;

/// Longest jitter added to a caller's retry delay.
const MAX_JITTER: Duration = Duration::from_millis(500);

/// Time that a request may take on a full link to another region.
///
/// A request that is withdrawn meanwhile still arrives, so a version that may not answer by then
/// gets no requests from other regions.
const FAR_TRANSIT_TIME: Duration = Duration::from_millis(900);

/// Lowest status code that is treated as a failure of the endpoint.
const SERVER_ERROR: u16 = 500;

/// A response whose head has arrived.
pub(crate) struct StartedResponse {
    /// The rest of the response.
    pub(crate) stream: AttemptStream,
    /// HTTP status from the endpoint.
    pub(crate) status: u16,
    /// End-to-end header fields.
    pub(crate) headers: HeaderMap,
    /// Model version that produced the response.
    pub(crate) version: Option<ModelVersion>,
    /// Revision of the preset under which the request ran.
    pub(crate) revision: PresetRevision,
    /// Whether this is the recorded response of an earlier run.
    pub(crate) replayed: bool,
    /// Whether the response has a length or chunks, and does not end with its connection.
    is_delimited: bool,
    /// Number of attempts made.
    pub(crate) attempts: u32,
    /// Endpoint that produces the response.
    target: RunTarget,
    /// Counts the request at its endpoint until the response ends.
    _load: LoadGuard,
}

/// A request that ended without a response.
pub(crate) struct FailedRequest {
    /// Outcome that is reported to the caller.
    pub(crate) outcome: RequestOutcome,
    /// Revision of the preset under which the request was last routed.
    pub(crate) revision: PresetRevision,
    /// Number of attempts made.
    pub(crate) attempts: u32,
}

impl FailedRequest {
    /// Creates the result of a request that was refused before any attempt.
    pub(crate) fn before_attempts(shared: &EntryShared, reason: NotRunReason) -> Self {
        let revision = shared.active_preset.load().as_ref().map(|preset| preset.revision);
        let outcome = final_outcome(AttemptFailure::NotRun(reason));
        Self { outcome, revision: revision.unwrap_or_default(), attempts: 0 }
    }
}

/// Counts one request at its endpoint or path and its service until dropped.
pub(crate) struct LoadGuard {
    tracker: Arc<EndpointTracker>,
    /// Path of which the endpoint is the first member, if the request is sent on one.
    path: Option<Arc<PathCandidate>>,
    service: Arc<AtomicU32>,
}

impl LoadGuard {
    /// Takes over a request that the counters of the choice already include.
    fn adopt(choice: &RouteChoice<'_>, service: Arc<AtomicU32>) -> Self {
        service.fetch_add(1, Ordering::Relaxed);
        let path = choice.layer_path.cloned();
        Self { tracker: choice.candidate.tracker.clone(), path, service }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.tracker.release();
        if let Some(path) = &self.path {
            path.other_trackers().for_each(|tracker| tracker.release());
        }
        self.service.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State of one request across its attempts.
pub(crate) struct RequestAttempts {
    shared: Arc<EntryShared>,
    /// The request to send.
    pub(crate) request: IdentifiedRequest,
    /// Id of the last event that the caller has received, for resumable streams.
    pub(crate) last_event: Option<u64>,
    budget: Arc<RetryBudget>,
    tracker: RetryTracker,
    excluded: Vec<InstanceId>,
    /// The only version that may respond, once part of a response was sent.
    version: Option<ModelVersion>,
    revision: PresetRevision,
    /// Delays other runs of a suspect request, one during which endpoints have crashed.
    suspect_run: Option<SuspectRun>,
    progress: Arc<RequestProgress>,
}

impl RequestAttempts {
    /// Prepares the attempts of a request and adds it to the retry budget.
    pub(crate) fn new(
        shared: Arc<EntryShared>,
        request: IdentifiedRequest,
        progress: Arc<RequestProgress>,
    ) -> Self {
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
            progress,
        }
    }

    /// Begins to buffer a response.
    pub(crate) fn begin_buffering(&self) -> ByteReservation {
        self.shared.buffered_answers.begin()
    }

    /// Routing data of the request.
    pub(crate) fn head(&self) -> &RequestHead {
        &self.request.head
    }

    /// Makes attempts until a response starts or the request is given up.
    pub(crate) async fn begin(&mut self) -> Result<StartedResponse, FailedRequest> {
        loop {
            match self.attempt().await {
                Ok(response) if self.may_retry_elsewhere(&response) => {
                    let end = AttemptFailure::Unknown(format!("answered {}", response.status));
                    if self.await_retry(end).await.is_err() {
                        // No retry is allowed, so the endpoint's own error response is passed on.
                        return Ok(response);
                    }
                }
                Ok(response) => return Ok(response),
                Err(end) => {
                    self.refuse_in_shutdown(&end)?;
                    self.await_retry(end).await?;
                }
            }
        }
    }

    /// Gives up a request that has not run and may not be answered before this process ends.
    fn refuse_in_shutdown(&self, end: &AttemptFailure) -> Result<(), FailedRequest> {
        let has_run =
            self.head().repeat == Repeatability::Idempotent && self.tracker.attempts() > 1;
        let is_not_run = matches!(end, AttemptFailure::NotRun(_) | AttemptFailure::Withdrawn);
        if !is_not_run || has_run {
            return Ok(());
        }
        match admit::refuse_in_shutdown(&self.shared, &self.request) {
            Ok(()) => Ok(()),
            Err(refusal) => Err(FailedRequest {
                outcome: final_outcome(AttemptFailure::NotRun(refusal.reason)),
                revision: self.revision,
                attempts: self.tracker.attempts(),
            }),
        }
    }

    /// Whether another endpoint may succeed where this one reported a server error.
    fn may_retry_elsewhere(&self, response: &StartedResponse) -> bool {
        self.request.is_direct()
            && response.status >= SERVER_ERROR
            && self.head().repeat == Repeatability::Idempotent
    }

    /// Retries after a response was cut off that had been sent in part.
    ///
    /// The new response starts from the beginning; only `version` may produce it.
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
        if let Some(routed) = &self.shared.routed {
            routed.freshness.hold().await;
        }
        let preset =
            preset_in_force(&self.shared, &self.request.head).map_err(AttemptFailure::NotRun)?;
        self.revision = preset.revision;
        self.progress.enter(RequestStage::Pending);
        self.suspect_run = None;
        let admitted = await_turn(&self.shared, &self.request).await;
        self.suspect_run = admitted.map_err(AttemptFailure::NotRun)?;
        self.route_and_dispatch(&preset).await
    }

    /// Records that the response was complete.
    pub(crate) fn record_answered(&self, response: &StartedResponse) {
        // A response that ends with its connection may have been cut off by a crash.
        if response.is_delimited {
            record_answered(&self.shared, &self.request);
        }
    }

    /// Waits for the next attempt, or fails if no retry is allowed.
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
                let outcome = self.backed_off(&end).unwrap_or_else(|| final_outcome(end));
                return Err(FailedRequest { outcome, revision, attempts });
            }
        };
        Timer::after(next_at.remaining(Timestamp::now())).await;
        Ok(())
    }

    /// Outcome of a refused request if every endpoint has requested backoff.
    fn backed_off(&self, end: &AttemptFailure) -> Option<RequestOutcome> {
        let AttemptFailure::NotRun(NotRunReason::Overloaded | NotRunReason::NoEndpoint) = end
        else {
            return None;
        };
        let now = Timestamp::now();
        let routes = self.shared.routes.load();
        let backoff_end = routes.service(&self.head().service)?.backoff_end(now)?;
        // Callers that are refused at the same time must not all return at the same time.
        let max_jitter = (backoff_end.remaining(now) / JITTER_DIVISOR).min(MAX_JITTER);
        let jitter = max_jitter.mul_f64(rand::rng().random_range(0.0..1.0));
        let retry_at = Timestamp(backoff_end.0).deadline_after(jitter);
        Some(RequestOutcome::NotRun { reason: NotRunReason::BackedOff, retry_at })
    }

    async fn route_and_dispatch(
        &mut self,
        preset: &ForcedPreset,
    ) -> Result<StartedResponse, AttemptFailure> {
        let (shared, head) = (&self.shared, &self.request.head);
        let now = Timestamp::now();
        let begins_at = shared.begins_at(&self.request.route, head.repeat, now);
        let allowed = shared.allowed_versions(&head.service, begins_at);
        let arrives_at = begins_at.deadline_after(FAR_TRANSIT_TIME);
        let allowed_far = shared.allowed_versions(&head.service, Timestamp(arrives_at.0));
        let routes = shared.routes.load();
        let target = preset.content.services.get(&head.service);
        let has_cache = target.is_some_and(|target| target.kind == ServiceKind::Model);
        let query = RouteQuery {
            service: &head.service,
            excluded: &self.excluded,
            version: self.version.as_ref(),
            allowed: allowed.as_deref(),
            allowed_far: allowed_far.as_deref(),
            homes: &self.request.homes,
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
        let (candidate, layer_path) = (choice.candidate, choice.layer_path);
        let path_text = layer_path.map(|path| path.path().to_string()).unwrap_or_default();
        let (list_age_ms, list_position) = observe_list(shared, now);
        log::info!(target: "route", request:% = head.id, workspace:% = head.workspace, endpoint:% = candidate.instance, path = path_text, reason = choice.reason.as_str(), cost = choice.cost, near = candidate.is_near, candidates = choice.candidates, list_age_ms = list_age_ms, list_position = list_position, revision = preset.revision.0, attempt = self.tracker.attempts() + 1; "Chose an endpoint.");
        let load = LoadGuard::adopt(&choice, service.in_flight().clone());
        let path_attempt = layer_path.map(|path| PathAttempt::new(path.clone()));
        let (instance, path) = (candidate.instance.clone(), candidate.path);
        let born_at = candidate.born_at;
        let candidate_version = candidate.version.clone();
        let version = match path {
            EndpointPath::Agent => candidate.version.clone(),
            // A member that has loaded another version since must not compute its layers.
            EndpointPath::Direct(_) if path_attempt.is_some() => candidate.version.clone(),
            // The endpoint refuses the request if it serves another version after all.
            EndpointPath::Direct(_) => candidate.version.clone().filter(|_| allowed_far.is_some()),
        };
        drop(routes);
        self.excluded.push(instance.clone());
        self.tracker.begin_attempt();
        shared.metrics.attempts.inc();
        shared.metrics.path_attempts.inc_by(u64::from(path_attempt.is_some()));
        let routed = RequestHead { revision: preset.revision, version, ..head.clone() };
        let sent = DispatchedRequest {
            instance: &instance,
            born_at,
            head: &routed,
            request: &self.request,
            last_event: self.last_event,
            progress: &self.progress,
            path: path_attempt.as_ref(),
        };
        let start_by = shared.start_by(&head.service, candidate_version.as_ref());
        let response: ResponseHead = match dispatch(shared, path, sent, &load.tracker, start_by)
            .await
        {
            Ok(response) => {
                if head.repeat == Repeatability::AtMostOnce {
                    shared.starts.record(&self.request.route, Timestamp::now().since(now));
                }
                response
            }
            Err(end) => {
                match &path_attempt {
                    // A timeout after a pause says nothing of the endpoint.
                    _ if is_lost(&end) && shared.stood_still_since(now) => {}
                    None => {
                        record_failure(shared, &routed, self.excluded.last(), &load.tracker, &end)
                    }
                    Some(attempt) => {
                        record_path_failure(attempt, &load.tracker, &end);
                        if let Some(member) = attempt.refused_member() {
                            self.excluded.pop();
                            self.excluded.push(member.clone());
                        }
                    }
                }
                let target = RunTarget { instance, path };
                let lost_run = LostRun { target: &target, answering: false, end: &end };
                record_lost_run(shared, &self.request, lost_run).await;
                return Err(end);
            }
        };
        load.tracker.record_success();
        self.progress.enter(RequestStage::Relaying);
        let delay_ms = Timestamp::now().since(now).as_millis() as u64;
        log::info!(target: "answer", request:% = self.request.head.id, endpoint:% = instance, status = response.status, delay_ms = delay_ms, speed = response.speed.unwrap_or(0); "An answer begins.");
        Ok(StartedResponse {
            stream: response.stream,
            status: response.status,
            headers: response.headers,
            version: response.version,
            revision: response.revision,
            replayed: response.replayed,
            is_delimited: response.is_delimited,
            attempts: self.tracker.attempts(),
            target: RunTarget { instance, path },
            _load: load,
        })
    }
}

/// Observes how current the list of endpoints is for a choice; returns its age and position.
fn observe_list(shared: &EntryShared, now: Timestamp) -> (u64, u64) {
    let Some(routed) = &shared.routed else {
        return (0, 0);
    };
    let age = routed.freshness.age(now).unwrap_or_default();
    shared.metrics.list.observe_age(age);
    (age.as_millis() as u64, routed.freshness.position())
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

/// Distinguishes a service without endpoints from one whose endpoints are all at their limits.
fn no_endpoint_reason(routes: &RouteSnapshot, head: &RequestHead) -> NotRunReason {
    match routes.service(&head.service) {
        Some(service) if service.in_flight().load(Ordering::Relaxed) > 0 => {
            NotRunReason::Overloaded
        }
        Some(_) | None => NotRunReason::NoEndpoint,
    }
}

/// Whether the endpoint gave no answer, as far as this process knows.
fn is_lost(end: &AttemptFailure) -> bool {
    match end {
        AttemptFailure::NotRun(NotRunReason::ConnectFailed)
        | AttemptFailure::Unknown(_)
        | AttemptFailure::Lost(_) => true,
        AttemptFailure::NotRun(_) | AttemptFailure::Unanswered(_) | AttemptFailure::Withdrawn => {
            false
        }
    }
}

/// Updates the state of the endpoint after an attempt without a response.
fn record_failure(
    shared: &EntryShared,
    head: &RequestHead,
    instance: Option<&InstanceId>,
    tracker: &EndpointTracker,
    end: &AttemptFailure,
) {
    let now = Timestamp::now();
    match end {
        // Another attempt with the same idempotency key may be the cause, so it is not counted as a
        // failure of the endpoint.
        AttemptFailure::Unanswered(_) => {}
        AttemptFailure::Withdrawn => {
            shared.metrics.list.count_withdrawn();
            log::info!(target: "route", request:% = head.id, endpoint = instance.map_or("", InstanceId::as_str); "An endpoint was withdrawn before a request was sent.");
        }
        AttemptFailure::NotRun(NotRunReason::Overloaded) => tracker.record_refusal(now),
        // The request named no version, so another process answers at this address. It refuses at
        // once and therefore looks idle; unless it is dropped here, it would attract further
        // requests until its row expires.
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

/// Updates the state of a path's members after an attempt without a response.
fn record_path_failure(attempt: &PathAttempt, first: &EndpointTracker, end: &AttemptFailure) {
    let now = Timestamp::now();
    match end {
        // The member that is named is already out of the paths.
        _ if attempt.refused_member().is_some() => {}
        AttemptFailure::NotRun(NotRunReason::Overloaded) => first.record_refusal(now),
        AttemptFailure::NotRun(NotRunReason::ConnectFailed)
        | AttemptFailure::Unknown(_)
        | AttemptFailure::Lost(_) => {
            if attempt.record_failure(now) {
                log::warn!(target: "path", endpoint:% = attempt.path().first().instance, path:% = attempt.path(); "Ejected the first endpoint of a path that fails.");
            }
        }
        AttemptFailure::NotRun(_) | AttemptFailure::Unanswered(_) | AttemptFailure::Withdrawn => {}
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
        AttemptFailure::Withdrawn => {
            final_outcome(AttemptFailure::NotRun(NotRunReason::NoEndpoint))
        }
        AttemptFailure::Unknown(detail)
        | AttemptFailure::Lost(detail)
        | AttemptFailure::Unanswered(detail) => RequestOutcome::Unknown { detail },
    }
}
