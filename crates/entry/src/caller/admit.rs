//! Admission control: requests above the capacity wait in a queue or are refused.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiawheel_decide::{AdmitTicket, AdmitTier, AdmitVerdict, OutageRecovery, ServiceAdmission};
use cassiawheel_model::{ForcedPreset, NotRunReason, ServiceName, Timestamp};
use cassiawheel_runtime::timeout;
use smol::channel::{Receiver, Sender, bounded};

use super::{identify::IdentifiedRequest, retry_time::RetryState};
use crate::{
    metrics::{ServiceAdmissionMetrics, urgency_label},
    shared::EntryShared,
};

/// Time in milliseconds for which a computed capacity is reused.
const CAPACITY_TTL_MS: u64 = 20;

/// Retry delay of callers that were refused because of overload, where urgencies are not in use.
///
/// A caller that retries has missed its latency target in any case, so the delay costs nothing and
/// lets the overload pass: engines that lost their weights serve again after three to four seconds,
/// and a burst lasts about as long.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(2_000);

/// Admission queue of one service.
#[derive(Debug)]
pub(crate) struct EntryAdmission {
    queue: ServiceAdmission<Sender<AdmitVerdict>>,
    capacity: AtomicU32,
    measured_at: AtomicU64,
    retries: RetryState,
    outage: OutageRecovery,
    metrics: ServiceAdmissionMetrics,
}

/// A refusal by admission.
pub(crate) struct AdmitRefusal {
    /// Why the request was not admitted.
    pub(crate) reason: NotRunReason,
    /// Delay after which the caller is told to retry; none if there is no reason to expect capacity
    /// at any time.
    pub(crate) retry_after: Option<Duration>,
}

/// Admission of one request; frees the slot when dropped.
pub(crate) struct AdmitPermit {
    admission: Arc<EntryAdmission>,
}

/// Slot of a request that waits in the admission queue.
struct QueueSlot {
    admission: Arc<EntryAdmission>,
    verdict: Receiver<AdmitVerdict>,
}

impl EntryAdmission {
    /// Creates a queue in which at most `max_waiting` requests wait.
    pub(crate) fn new(max_waiting: usize, metrics: ServiceAdmissionMetrics) -> Self {
        Self {
            queue: ServiceAdmission::new(max_waiting),
            capacity: AtomicU32::new(0),
            measured_at: AtomicU64::new(0),
            retries: RetryState::default(),
            outage: OutageRecovery::default(),
            metrics,
        }
    }

    /// Number of requests that this entry may have in progress at all endpoints.
    ///
    /// Zero if no endpoint serves: routing reports that case more precisely than the queue could.
    fn refresh_capacity(&self, shared: &EntryShared, service: &ServiceName, now: Timestamp) -> u32 {
        let measured_at = self.measured_at.load(Ordering::Relaxed);
        if now.0 < measured_at + CAPACITY_TTL_MS {
            return self.capacity.load(Ordering::Relaxed);
        }
        let preset = shared.active_preset.load();
        let target = preset.as_ref().and_then(|preset| preset.content.services.get(service));
        let max_in_flight = target.map_or(0, |target| target.max_in_flight);
        let routes = shared.routes.load();
        let routes = routes.service(service);
        let allowed = shared.allowed_versions(service, now);
        if !routes.is_some_and(|routes| routes.serves_any(allowed.as_deref(), now)) {
            self.outage.record_unserved(now);
        }
        let competitor = shared.slot_competitor(service, now);
        let competitor = match self.outage.is_recovering(now) {
            // The rates of the entries are of different ages while all of them rise.
            true => competitor.with_fraction(None).dividing_all(true),
            false => competitor,
        };
        let capacity = routes.map_or(0, |r| r.capacity(max_in_flight, competitor, now));
        self.capacity.store(capacity, Ordering::Relaxed);
        self.measured_at.store(now.0, Ordering::Relaxed);
        capacity
    }

    fn release(&self) {
        let (capacity, now) = (self.capacity.load(Ordering::Relaxed), Timestamp::now());
        self.retries.count_release(now);
        self.queue.release(capacity, now, send_verdict);
    }

    /// Returns the delay after which the caller of a refused request is told to retry.
    fn assign_retry(&self, request: &IdentifiedRequest, capacity: u32, now: Timestamp) -> Duration {
        self.metrics.count_told();
        // Endpoints with a version that may not answer count in the capacity.
        let capacity = if self.outage.is_unserved(now) { 0 } else { capacity };
        self.retries.assign(request, &self.queue, capacity, now)
    }
}

impl Drop for AdmitPermit {
    fn drop(&mut self) {
        self.admission.release();
    }
}

impl Drop for QueueSlot {
    fn drop(&mut self) {
        // The caller may disconnect at the same moment as the request is admitted. Without this
        // check the slot would never be freed.
        self.verdict.close();
        if let Ok(AdmitVerdict::Admitted) = self.verdict.try_recv() {
            self.admission.release();
        }
    }
}

/// Sends a waiting request its verdict; false if the caller has disconnected.
fn send_verdict(waiting: Sender<AdmitVerdict>, verdict: AdmitVerdict) -> bool {
    waiting.try_send(verdict).is_ok()
}

/// Refuses a request whose answer may not be complete when this process ends.
///
/// Another entry can answer it, so its caller need not wait.
pub(crate) fn refuse_in_shutdown(
    shared: &EntryShared,
    request: &IdentifiedRequest,
) -> Result<(), AdmitRefusal> {
    let head = &request.head;
    match shared.shutdown.may_outlast(&request.route, head.deadline, head.repeat) {
        true => {
            Err(AdmitRefusal { reason: NotRunReason::Draining, retry_after: Some(Duration::ZERO) })
        }
        false => Ok(()),
    }
}

/// Waits until the request is admitted; no permit if the service is unknown or has no endpoint.
pub(crate) async fn admit(
    shared: &EntryShared,
    request: &IdentifiedRequest,
) -> Result<Option<AdmitPermit>, AdmitRefusal> {
    let now = Timestamp::now();
    let (head, admit_by) = (&request.head, request.admit_by);
    if !is_known_service(shared, &head.service) {
        return Ok(None);
    }
    if request.tier == AdmitTier::Fresh {
        shared.demand.count(&head.service);
    }
    let admission = shared.admission(&head.service);
    admission.retries.count_arrival(request, now);
    let capacity = admission.refresh_capacity(shared, &head.service, now);
    if capacity == 0 {
        return Ok(None);
    }
    let rank = request.rank();
    if admission.queue.try_admit_ranked(request.tier, rank, capacity) {
        admission.metrics.count_admitted(request.urgency, request.work);
        return Ok(Some(AdmitPermit { admission }));
    }
    let ticket = AdmitTicket {
        workspace: head.workspace.clone(),
        priority: head.priority,
        deadline: admit_by,
        tier: request.tier,
    };
    let (sender, verdict) = bounded(1);
    let slot = QueueSlot { admission: admission.clone(), verdict };
    admission.queue.enqueue_ranked(&ticket, rank, sender, capacity, now, send_verdict);
    let max_wait: Duration = admit_by.remaining(now) / 2;
    let verdict = timeout(max_wait, slot.verdict.recv()).await;
    let refused = match verdict {
        Some(Ok(AdmitVerdict::Admitted)) => {
            admission.metrics.count_admitted(request.urgency, request.work);
            return Ok(Some(AdmitPermit { admission }));
        }
        Some(Ok(AdmitVerdict::Refused(reason))) => reason,
        Some(Err(_)) => NotRunReason::Overloaded,
        None => NotRunReason::DeadlineTooClose,
    };
    admission.metrics.count_refused(request.urgency);
    let now = Timestamp::now();
    let capacity = admission.refresh_capacity(shared, &head.service, now);
    let is_planned = shared.routed.is_some() && request.urgency.is_some();
    let retry_after = is_planned.then(|| admission.assign_retry(request, capacity, now));
    let (active, waiting) = (admission.queue.active(), admission.queue.waiting());
    let retry_ms = retry_after.unwrap_or_default().as_millis() as u64;
    let (urgency, work_ms) = (urgency_label(request.urgency), request.work.as_ms());
    log::info!(target: "admit", request:% = head.id, workspace:% = head.workspace, reason:% = refused, active = active, waiting = waiting, capacity = capacity, urgency:% = urgency, work_ms = work_ms, retry_ms = retry_ms; "Refused a request.");
    Err(AdmitRefusal { reason: refused, retry_after })
}

/// Returns the delay after which the caller of a request that was admitted but not run is told to
/// retry; none if the service is unknown.
pub(crate) fn retry_after(
    shared: &EntryShared,
    request: &IdentifiedRequest,
    reason: NotRunReason,
) -> Option<Duration> {
    let service = &request.head.service;
    if !is_known_service(shared, service) {
        return None;
    }
    if request.urgency.is_none() {
        return Some(OVERLOAD_RETRY_DELAY);
    }
    let admission = shared.admission(service);
    // Slots that admission takes for idle did not help this request, so they do not count.
    let capacity = match reason {
        NotRunReason::NoEndpoint | NotRunReason::ConnectFailed => 0,
        _ => admission.queue.active().max(1),
    };
    Some(admission.assign_retry(request, capacity, Timestamp::now()))
}

/// Whether the preset contains the service. Others get no queue, or callers could exhaust the
/// memory with made-up names.
fn is_known_service(shared: &EntryShared, service: &ServiceName) -> bool {
    let is_known = |preset: &Arc<ForcedPreset>| preset.content.services.contains_key(service);
    shared.active_preset.load().as_ref().is_some_and(is_known)
}
