//! Handling of callers' requests.
//!
//! `accept → identify → admit → attempts (route → dispatch) → relay → outcome`
//!
//! Callers name a service in the request path or, where the preset has a route table, use a host
//! and path that the table maps to a service ([`routed`]). The stages after `identify` are the same
//! for both; only the format of the reported outcome differs.

mod admit;
mod attempts;
mod crash_detection;
mod dispatch;
mod events;
mod identify;
mod outcome;
mod passthrough;
mod path_attempt;
mod progress;
mod relay;
mod reserved_body;
mod retry_time;
mod routed;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cassiawheel_decide::{CallerLocation, advice::EntryCandidate, advise};
use cassiawheel_model::{OutcomeKind, Timestamp};
use cassiawheel_runtime::http::{ReplyBody, error_reply, json_reply};
use hyper::{Request, Response, StatusCode, body::Incoming};

pub(crate) use admit::EntryAdmission;
pub(crate) use path_attempt::PathAttempt;
pub(crate) use progress::{RequestProgress, RequestStage};
pub(crate) use routed::{accept as accept_routed, answer_advice, answer_ready};

use self::{
    admit::AdmitPermit,
    attempts::{FailedRequest, RequestAttempts},
    identify::IdentifiedRequest,
};
use crate::shared::EntryShared;

/// Path that returns the entries a caller should connect to.
const ADVICE_PATH: &str = "/v1/entries";

/// Path prefix of service requests.
const SERVICE_PATH: &str = "/v1/services/";

/// Handles one request that names its service in the path.
pub(crate) async fn accept(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
    _remote: SocketAddr,
) -> Response<ReplyBody> {
    let path = request.uri().path();
    if path == ADVICE_PATH {
        return advice_reply(&shared);
    }
    if !path.starts_with(SERVICE_PATH) {
        let message = format!("unknown path {path}; services are under {SERVICE_PATH}NAME/");
        return error_reply(StatusCode::NOT_FOUND, "not-found", message);
    }
    let identified = match identify::identify(&shared, request).await {
        Ok(identified) => identified,
        Err(error) => return error.reply(),
    };
    let mut guard = RequestGuard::begin(shared.clone(), &identified);
    let admitted = match admit::refuse_in_shutdown(&shared, &identified) {
        Ok(()) => admit::admit(&shared, &identified).await,
        Err(refusal) => Err(refusal),
    };
    match admitted {
        Ok(permit) => guard.permit = permit,
        Err(refusal) => {
            guard.count_outcome(OutcomeKind::NotRun);
            let failed = FailedRequest::before_attempts(&shared, refusal.reason);
            return outcome::failure_reply(&identified.head, &failed);
        }
    }
    let mut attempts = RequestAttempts::new(shared, identified, guard.progress());
    match attempts.begin().await {
        Ok(response) => relay::relay_reply(guard, attempts, response).await,
        Err(failed) => {
            guard.count_outcome(failed.outcome.kind());
            outcome::failure_reply(attempts.head(), &failed)
        }
    }
}

fn advice_reply(shared: &EntryShared) -> Response<ReplyBody> {
    let settings = &shared.settings;
    let entries = advice_candidates(shared);
    let span = Duration::from_millis(settings.caller.advice_ms);
    let valid_until = Timestamp::now().deadline_after(span);
    let count = settings.caller.advice_addresses;
    let place = &settings.place;
    let location = CallerLocation {
        failure_domain: &place.failure_domain,
        region: Some(&place.region),
        homes: &[],
    };
    json_reply(StatusCode::OK, &advise(&entries, location, count, valid_until, &mut rand::rng()))
}

/// This entry and its known peers, as input for the advice to callers.
fn advice_candidates(shared: &EntryShared) -> Vec<EntryCandidate> {
    let settings = &shared.settings;
    let own = EntryCandidate {
        caller_addr: settings.listen.caller,
        failure_domain: settings.place.failure_domain.clone(),
        region: Some(settings.place.region.clone()),
        in_flight: shared.in_flight.load(Ordering::Relaxed),
        leaving: shared.leaving.load(Ordering::Acquire) || !shared.is_advised(),
    };
    let mut entries = vec![own];
    let Some(routed) = &shared.routed else {
        entries.extend(shared.peers().values().map(|peer| peer.advice.clone()));
        return entries;
    };
    let peers: Vec<_> = shared
        .peers()
        .iter()
        .map(|(instance, peer)| (instance.clone(), peer.advice.clone()))
        .collect();
    let now = Timestamp::now();
    let state = routed.overlay.lock();
    let others = peers.into_iter().map(|(instance, advice)| {
        let in_flight = state.store.load_of(&instance, now).unwrap_or_default();
        EntryCandidate { in_flight, ..advice }
    });
    entries.extend(others);
    entries
}

/// Counts a request as in progress until its response is complete or given up.
pub(crate) struct RequestGuard {
    shared: Arc<EntryShared>,
    permit: Option<AdmitPermit>,
    /// Name of the request's route.
    route: String,
    progress: Arc<RequestProgress>,
    has_outcome: AtomicBool,
}

impl RequestGuard {
    fn begin(shared: Arc<EntryShared>, request: &IdentifiedRequest) -> Self {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        shared.metrics.in_flight.inc();
        let progress = Arc::new(RequestProgress::new(request.head.id.clone(), Timestamp::now()));
        let route = request.route.clone();
        Self { shared, permit: None, route, progress, has_outcome: AtomicBool::new(false) }
    }

    /// Progress of the request.
    pub(crate) fn progress(&self) -> Arc<RequestProgress> {
        self.progress.clone()
    }

    /// Records the outcome of the request in the metrics.
    pub(crate) fn count_outcome(&self, kind: OutcomeKind) {
        self.has_outcome.store(true, Ordering::Relaxed);
        if kind == OutcomeKind::Complete {
            let span = Timestamp::now().since(self.progress.began_at());
            self.shared.shutdown.record_answer(&self.route, span);
        }
        self.shared.metrics.count_outcome(kind);
    }

    /// Records that the caller has disconnected before the request had an outcome.
    fn record_abandoned(&self) {
        let stage = self.progress.stage();
        self.shared.metrics.count_abandoned(stage);
        let after_ms = Timestamp::now().since(self.progress.began_at()).as_millis() as u64;
        log::info!(target: "outcome", request:% = self.progress.request(), stage = stage.as_str(), after_ms = after_ms; "The caller of a request has disconnected.");
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.has_outcome.load(Ordering::Relaxed) {
            self.record_abandoned();
        }
        drop(self.permit.take());
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.shared.metrics.in_flight.dec();
    }
}
