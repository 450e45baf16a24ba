//! Admission control: requests above the capacity wait in a queue or are refused.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiawheel_decide::{AdmitTicket, AdmitVerdict, ServiceAdmission};
use cassiawheel_model::{ForcedPreset, NotRunReason, ServiceName, Timestamp};
use cassiawheel_runtime::timeout;
use smol::channel::{Receiver, Sender, bounded};

use super::identify::IdentifiedRequest;
use crate::shared::EntryShared;

/// Time in milliseconds for which a computed capacity is reused.
const CAPACITY_TTL_MS: u64 = 20;

/// Admission queue of one service.
#[derive(Debug)]
pub(crate) struct EntryAdmission {
    queue: ServiceAdmission<Sender<AdmitVerdict>>,
    capacity: AtomicU32,
    measured_at: AtomicU64,
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
    pub(crate) fn new(max_waiting: usize) -> Self {
        Self {
            queue: ServiceAdmission::new(max_waiting),
            capacity: AtomicU32::new(0),
            measured_at: AtomicU64::new(0),
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
        let competitor = shared.slot_competitor(now);
        let routes = shared.routes.load();
        let routes = routes.service(service);
        let capacity = routes.map_or(0, |r| r.capacity(max_in_flight, competitor, now));
        self.capacity.store(capacity, Ordering::Relaxed);
        self.measured_at.store(now.0, Ordering::Relaxed);
        capacity
    }

    fn release(&self) {
        let capacity = self.capacity.load(Ordering::Relaxed);
        self.queue.release(capacity, Timestamp::now(), send_verdict);
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

/// Waits until the request is admitted; no permit if the service is unknown or has no endpoint.
pub(crate) async fn admit(
    shared: &EntryShared,
    request: &IdentifiedRequest,
) -> Result<Option<AdmitPermit>, NotRunReason> {
    let now = Timestamp::now();
    let (head, admit_by) = (&request.head, request.admit_by);
    // Services that the preset does not contain get no queue. Otherwise callers could exhaust the
    // memory with made-up names.
    let is_known = |preset: &Arc<ForcedPreset>| preset.content.services.contains_key(&head.service);
    if !shared.active_preset.load().as_ref().is_some_and(is_known) {
        return Ok(None);
    }
    let admission = shared.admission(&head.service);
    let capacity = admission.refresh_capacity(shared, &head.service, now);
    if capacity == 0 {
        return Ok(None);
    }
    let rank = request.rank();
    if admission.queue.try_admit_ranked(request.tier, rank, capacity) {
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
        Some(Ok(AdmitVerdict::Admitted)) => return Ok(Some(AdmitPermit { admission })),
        Some(Ok(AdmitVerdict::Refused(reason))) => reason,
        Some(Err(_)) => NotRunReason::Overloaded,
        None => NotRunReason::DeadlineTooClose,
    };
    let (active, waiting) = (admission.queue.active(), admission.queue.waiting());
    log::info!(target: "admit", request:% = head.id, workspace:% = head.workspace, reason:% = refused, active = active, waiting = waiting, capacity = capacity; "Refused a request.");
    Err(refused)
}
