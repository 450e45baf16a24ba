//! Runs whose connection to the endpoint ended before the answer did.
//!
//! `lost run → has the endpoint ended → book of requests under which endpoints end`
//!
//! A connection also ends for other reasons: a reset link, a spoilt answer, a planned
//! stop. Only where nobody listens any more at the address of an endpoint that did not
//! leave has the endpoint ended by itself.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use cassiawheel_decide::{AttemptFailure, CrashVerdict, EndpointPath, rank::subject_of};
use cassiawheel_model::{
    CrashEvent, CrashRecord, InstanceId, NotRunReason, RequestDigest, Timestamp,
};
use cassiawheel_runtime::{dial, timeout};
use smol::Timer;

use super::identify::IdentifiedRequest;
use crate::{
    crashes::{SuspectRun, suspect_rank},
    routed::RoutedState,
    shared::EntryShared,
};

/// Time in which an address of another region refuses a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between looks whether the run of a suspect may begin.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Where a request runs.
pub(super) struct RunTarget {
    /// The endpoint.
    pub(super) instance: InstanceId,
    /// How it is reached.
    pub(super) path: EndpointPath,
}

/// A run that ended without a whole answer.
pub(super) struct LostRun<'a> {
    /// Where it ran.
    pub(super) target: &'a RunTarget,
    /// Whether some bytes of the answer had come.
    pub(super) answering: bool,
    /// How it ended.
    pub(super) end: &'a AttemptFailure,
}

/// Notes that an endpoint ended under a request, if that is how the run ended.
pub(super) async fn record_lost_run(
    shared: &EntryShared,
    request: &IdentifiedRequest,
    lost: LostRun<'_>,
) {
    let (AttemptFailure::Lost(cause), EndpointPath::Direct(addr)) = (lost.end, lost.target.path)
    else {
        return;
    };
    let Some(routed) = &shared.routed else {
        return;
    };
    let ended_at = Timestamp::now();
    let instance = &lost.target.instance;
    let digest = request.digest();
    let has_ended = !has_left(routed, instance) && refuses_connections(addr).await;
    log::info!(target: "direct", request:% = request.head.id, digest:% = digest, endpoint:% = instance, answering = lost.answering, ended = has_ended, cause:% = cause; "An endpoint was lost under a request.");
    if has_ended {
        let endpoint = subject_of(instance.as_str());
        let event = match lost.answering {
            true => CrashEvent::EndedInAnswer(endpoint),
            false => CrashEvent::EndedAtStart(endpoint),
        };
        note(routed, digest, event, ended_at);
    }
}

/// Notes that a request was answered whole, if endpoints have ended under it.
pub(super) fn record_answered(shared: &EntryShared, request: &IdentifiedRequest) {
    let Some(routed) = shared.routed.as_ref().filter(|routed| !routed.crashes.is_empty()) else {
        return;
    };
    let digest = request.digest();
    if routed.crashes.verdict(digest).is_some() {
        note(routed, digest, CrashEvent::Answered, Timestamp::now());
    }
}

fn note(routed: &RoutedState, digest: RequestDigest, event: CrashEvent, at: Timestamp) {
    let now = Timestamp::now();
    let row = CrashRecord { digest, event, age_ms: now.since(at).as_millis() as u32 };
    let mut state = routed.overlay.lock();
    if state.crashes.record(row, None, now) {
        routed.crashes.apply_rows(&state.crashes, &[row], None);
        drop(state);
        routed.overlay.notify_change();
    }
}

/// Whether an endpoint leaves as planned, or has left.
fn has_left(routed: &RoutedState, instance: &InstanceId) -> bool {
    let listing = routed.listing();
    !listing.endpoints().any(|listed| listed.instance == *instance && !listed.is_leaving)
}

/// Whether `addr` refuses connections; false if it does not answer in time.
async fn refuses_connections(addr: SocketAddr) -> bool {
    let dialled = timeout(PROBE_TIMEOUT, dial(addr, None)).await;
    matches!(dialled, Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Refuses a request under which too many endpoints have ended.
pub(super) fn refuse_barred(
    shared: &EntryShared,
    request: &IdentifiedRequest,
) -> Result<(), NotRunReason> {
    let Some(routed) = shared.routed.as_ref().filter(|routed| !routed.crashes.is_empty()) else {
        return Ok(());
    };
    let digest = request.digest();
    let Some(CrashVerdict::Barred { until }) = routed.crashes.verdict(digest) else {
        return Ok(());
    };
    if until.is_past(Timestamp::now()) {
        return Ok(());
    }
    shared.metrics.quarantined.inc();
    log::info!(target: "quarantine", request:% = request.head.id, digest:% = digest; "Refused a barred request.");
    Err(NotRunReason::Quarantined)
}

/// Waits until the request may run as far as ends of endpoints under it tell.
///
/// A suspect gets the only run of its kind at this entry.
pub(super) async fn await_turn(
    shared: &EntryShared,
    request: &IdentifiedRequest,
) -> Result<Option<SuspectRun>, NotRunReason> {
    let Some(routed) = shared.routed.as_ref().filter(|routed| !routed.crashes.is_empty()) else {
        return Ok(None);
    };
    let digest = request.digest();
    if routed.crashes.verdict(digest).is_none() {
        return Ok(None);
    }
    let own = &shared.settings.place.instance;
    let (rank, entries) =
        suspect_rank(digest, own, shared.peers().iter().map(|(instance, _)| instance));
    loop {
        let now = Timestamp::now();
        if request.head.deadline.is_past(now) {
            return Err(NotRunReason::DeadlineTooClose);
        }
        match routed.crashes.verdict(digest) {
            None | Some(CrashVerdict::Clear) => return Ok(None),
            Some(CrashVerdict::Barred { .. }) => {
                refuse_barred(shared, request)?;
                return Ok(None);
            }
            Some(verdict) if verdict.not_before(rank, entries).is_past(now) => {
                if let Some(run) = routed.crashes.begin_suspect_run(digest) {
                    note(routed, digest, CrashEvent::Begun, now);
                    return Ok(Some(run));
                }
            }
            Some(_) => {}
        }
        Timer::after(TURN_CHECK_INTERVAL).await;
    }
}
