//! Detection of endpoints that crash while they run a request.
//!
//! `lost run → has the endpoint crashed → crash tracker`
//!
//! A connection also ends for other reasons: a reset link, a corrupt response or a planned stop. An
//! endpoint counts as crashed only if it was not leaving and its address refuses connections.

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

/// Longest wait for an address, also in another region, to refuse a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which a waiting suspect request checks whether it may run.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Endpoint that runs a request.
pub(super) struct RunTarget {
    /// Instance of the endpoint.
    pub(super) instance: InstanceId,
    /// How the endpoint is reached.
    pub(super) path: EndpointPath,
}

/// A run that ended without a complete response.
pub(super) struct LostRun<'a> {
    /// Endpoint that ran the request.
    pub(super) target: &'a RunTarget,
    /// Whether part of the response body had arrived.
    pub(super) answering: bool,
    /// How the attempt ended.
    pub(super) end: &'a AttemptFailure,
}

/// Records a crash if the run ended because its endpoint crashed.
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
    let parts = request.shared_part_ids();
    log::info!(target: "direct", request:% = request.head.id, digest:% = digest, parts:% = parts, endpoint:% = instance, answering = lost.answering, ended = has_ended, cause:% = cause; "Lost an endpoint while it ran a request.");
    if has_ended {
        let endpoint = subject_of(instance.as_str());
        let event = match lost.answering {
            true => CrashEvent::EndedInAnswer(endpoint),
            false => CrashEvent::EndedAtStart(endpoint),
        };
        record(routed, digest, event, ended_at);
        for part in &request.shared_parts {
            record(routed, part.digest, event, ended_at);
            if let Some(CrashVerdict::Barred { .. }) = routed.crashes.verdict(part.digest) {
                log::warn!(target: "quarantine", request:% = request.head.id, part:% = part.id, digest:% = part.digest; "Endpoints crash while answering prompts with this part.");
            }
        }
    }
}

/// Records that a request was answered completely, which clears it and the parts of its prompt.
pub(super) fn record_answered(shared: &EntryShared, request: &IdentifiedRequest) {
    let Some(routed) = &shared.routed else {
        return;
    };
    let now = Timestamp::now();
    for part in &request.shared_parts {
        routed.crashes.answered_parts().record(part.digest, now);
    }
    if routed.crashes.is_empty() {
        return;
    }
    if routed.crashes.verdict(request.digest()).is_some() {
        record(routed, request.digest(), CrashEvent::Answered, now);
    }
    for part in &request.shared_parts {
        // Popular parts are answered all the time, and one answer clears a part.
        match routed.crashes.verdict(part.digest) {
            None | Some(CrashVerdict::Clear) => {}
            Some(CrashVerdict::Suspect { .. } | CrashVerdict::Barred { .. }) => {
                record(routed, part.digest, CrashEvent::Answered, now);
            }
        }
    }
}

fn record(routed: &RoutedState, digest: RequestDigest, event: CrashEvent, at: Timestamp) {
    let now = Timestamp::now();
    let row = CrashRecord { digest, event, age_ms: now.since(at).as_millis() as u32 };
    let mut state = routed.overlay.lock();
    if state.crashes.record(row, None, now) {
        routed.crashes.add_known_answers(&mut state.crashes, &[row], now);
        routed.crashes.apply_rows(&state.crashes, &[row], None);
        drop(state);
        routed.overlay.notify_change();
    }
}

/// Whether an endpoint is leaving as planned or has already left.
fn has_left(routed: &RoutedState, instance: &InstanceId) -> bool {
    let listing = routed.listing();
    let departures = routed.departures.table();
    !listing.endpoints().any(|listed| {
        let is_leaving =
            listed.is_leaving || departures.is_leaving(&listed.instance, listed.born_at);
        listed.instance == *instance && !is_leaving
    })
}

/// Whether `addr` refuses connections; false if it does not respond within the timeout.
async fn refuses_connections(addr: SocketAddr) -> bool {
    let dialled = timeout(PROBE_TIMEOUT, dial(addr, None)).await;
    matches!(dialled, Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Refuses a request that is quarantined, or a part of its prompt, because endpoints crashed while
/// running it.
pub(super) fn refuse_barred(
    shared: &EntryShared,
    request: &IdentifiedRequest,
) -> Result<(), NotRunReason> {
    let Some(routed) = shared.routed.as_ref().filter(|routed| !routed.crashes.is_empty()) else {
        return Ok(());
    };
    let now = Timestamp::now();
    let is_barred = |digest: RequestDigest| match routed.crashes.verdict(digest) {
        Some(CrashVerdict::Barred { until }) => !until.is_past(now),
        Some(CrashVerdict::Clear | CrashVerdict::Suspect { .. }) | None => false,
    };
    let digest = request.digest();
    let part = request.shared_parts.iter().find(|part| is_barred(part.digest));
    if part.is_none() && !is_barred(digest) {
        return Ok(());
    }
    shared.metrics.quarantined.inc();
    let part = part.map_or("", |part| part.id.as_str());
    log::info!(target: "quarantine", request:% = request.head.id, digest:% = digest, part = part; "Refused a quarantined request.");
    Err(NotRunReason::Quarantined)
}

/// Waits until a suspect request may run.
///
/// An entry makes only one run of a suspect request at a time.
pub(super) async fn await_turn(
    shared: &EntryShared,
    request: &IdentifiedRequest,
) -> Result<Option<SuspectRun>, NotRunReason> {
    let Some(routed) = shared.routed.as_ref().filter(|routed| !routed.crashes.is_empty()) else {
        return Ok(None);
    };
    refuse_barred(shared, request)?;
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
        // A part of the prompt may be barred while the request waits.
        refuse_barred(shared, request)?;
        match routed.crashes.verdict(digest) {
            None | Some(CrashVerdict::Clear | CrashVerdict::Barred { .. }) => return Ok(None),
            Some(verdict) if verdict.not_before(rank, entries).is_past(now) => {
                if let Some(run) = routed.crashes.begin_suspect_run(digest) {
                    record(routed, digest, CrashEvent::Begun, now);
                    return Ok(Some(run));
                }
            }
            Some(_) => {}
        }
        Timer::after(TURN_CHECK_INTERVAL).await;
    }
}
