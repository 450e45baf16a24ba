//! Reading the platform's list of endpoints in turn, and distributing its changes.

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::ListingUpdate;
use cassiawheel_edge::{FeedError, FeedPage, StoreError};
use cassiawheel_model::{Deadline, InstanceId, ListedRow, StorePosition, Timestamp};
use cassiawheel_wire::{ControlMessage, WireSender};
use rand::Rng;
use smol::{Timer, future::FutureExt};

use super::{dependency::DependencyMonitor, peers};
use crate::{routed::RoutedState, shared::EntryShared};

/// Longest sleep between checks whether it is this entry's turn to read.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between requests for the list while it is unknown.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time after its start in which an entry discovers the others.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Time after which a further read is sent while the store does not answer.
const STAGE_INTERVAL: Duration = Duration::from_millis(500);

/// Random delay before a read that was refused is retried, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 200..500;

/// Follows the list; runs until the process ends.
pub(crate) async fn follow_listing(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    let mut monitor = DependencyMonitor::new("list");
    let first_read = Duration::from_millis(routed.settings.first_read_ms);
    let mut retry_at = Timestamp(shared.incarnation).deadline_after(first_read);
    let mut history_lost = false;
    loop {
        let now = Timestamp::now();
        expire_missing(&shared, &routed, now);
        let next_read_at = match routed.freshness.is_verified(now) {
            true => routed.listing().next_read_at(read_rank(&shared, now)).max(retry_at),
            false => retry_at,
        };
        if !next_read_at.is_past(now) {
            Timer::after(next_read_at.remaining(now).min(expiry_wait(&routed, now))).await;
            continue;
        }
        let (era, base) = {
            let listing = routed.listing();
            (listing.era(), if history_lost { 0 } else { listing.position() })
        };
        let position = StorePosition { era, version: base };
        // A read that is not answered must not prolong grace periods.
        let read = read_staged(&routed, position).or(expire_on_time(&shared, &routed));
        let StagedRead { asked_at, unanswered_at, result } = read.await;
        if let Some(unanswered_at) = unanswered_at {
            record_unanswered(&routed, unanswered_at);
        }
        match result {
            Ok(page) => {
                monitor.record_success();
                history_lost = false;
                apply_page(&shared, &routed, page, base, asked_at);
            }
            Err(FeedError::HistoryLost) => history_lost = true,
            Err(FeedError::Store(error)) => {
                monitor.record_failure(&error);
                // A refusal for the rate of calls is an answer.
                if !matches!(error, StoreError::RateLimited { .. }) {
                    record_unanswered(&routed, asked_at);
                }
                let failed_at = Timestamp::now();
                let wait = match failed_at.since(asked_at) < STAGE_INTERVAL {
                    true => rand::rng().random_range(RETRY_DELAY_MS),
                    false => 0,
                };
                retry_at = failed_at.deadline_after(Duration::from_millis(wait));
            }
        }
    }
}

/// Rank of this entry among those that read the list for all.
///
/// An entry that has just started has no neighbours and would rank itself first. If all entries
/// that start together read again for that reason, each would send the others whatever had
/// registered meanwhile.
fn read_rank(shared: &EntryShared, now: Timestamp) -> u32 {
    let has_others = !shared.settings.peers.is_empty();
    let is_new = now.since(Timestamp(shared.incarnation)) < DISCOVERY_TIME;
    let is_alone = shared.peers().values().next().is_none();
    if has_others && is_new && is_alone { u32::MAX } else { shared.own_rank() }
}

/// A read of the list, and what earlier stages of it show.
struct StagedRead {
    /// When the read that has ended was sent.
    asked_at: Timestamp,
    /// When the last read before it was sent that the store has not answered.
    unanswered_at: Option<Timestamp>,
    result: Result<FeedPage<ListedRow>, FeedError>,
}

/// Reads the list after `position`, or all of it if its version is zero.
///
/// While the store does not answer, further reads are sent before the first has timed out. Otherwise the
/// entry would notice the return of the store too late to limit the time in which expired rows may
/// return.
async fn read_staged(routed: &RoutedState, position: StorePosition) -> StagedRead {
    let stage = async |number: u32| {
        Timer::after(STAGE_INTERVAL * number).await;
        let asked_at = Timestamp::now();
        let unanswered_at = (number > 0)
            .then(|| Timestamp(asked_at.0.saturating_sub(STAGE_INTERVAL.as_millis() as u64)));
        let result = match position.version {
            0 => routed.list.read_all().await,
            _ => routed.list.read_changes(position, Duration::ZERO).await,
        };
        StagedRead { asked_at, unanswered_at, result }
    };
    stage(0).or(stage(1).or(stage(2))).await
}

/// Records an unanswered read as evidence that the store was away, unless the process stood still: its
/// reads time out although they were answered.
fn record_unanswered(routed: &RoutedState, asked_at: Timestamp) {
    if !routed.freshness.pauses.stood_still_since(asked_at, Timestamp::now()) {
        routed.listing().record_unanswered(asked_at);
        routed.freshness.record_verified(asked_at);
    }
}

fn apply_page(
    shared: &EntryShared,
    routed: &RoutedState,
    page: FeedPage<ListedRow>,
    base: u64,
    asked_at: Timestamp,
) {
    let StorePosition { era, version: position } = page.position;
    for _ in page.rows.iter().filter(|row| row.is_unusable) {
        shared.metrics.list.count_unusable("endpoints");
    }
    let (rows, missing) = (page.rows, Vec::new());
    let update = ListingUpdate { rows, base, base_era: era, position, asked_at, era, missing };
    let now = Timestamp::now();
    let mut listing = routed.listing();
    if era < listing.era() {
        log::info!(target: "list", era = era, known = listing.era(); "Ignored a read of an earlier era of the store.");
        drop(listing);
        routed.freshness.record_verified(asked_at);
        return;
    }
    if era > listing.era() && listing.position() > 0 {
        log::warn!(target: "list", era = era, position = position, known_era = listing.era(), known_position = listing.position(); "The store has returned from an older copy.");
    }
    let is_first = listing.position() == 0;
    let before: Vec<_> = listing.endpoints().cloned().collect();
    let in_grace = listing.in_grace();
    let last_asked_at = listing.asked_at();
    let to_send = listing.apply_read(update, now);
    let changed = !listing.endpoints().eq(before.iter());
    let kept: Vec<_> =
        listing.in_grace().into_iter().filter(|instance| !in_grace.contains(instance)).collect();
    routed.freshness.record(&listing);
    drop(listing);
    if !kept.is_empty() {
        let gap_ms = last_asked_at.map_or(0, |last| asked_at.since(last).as_millis() as u64);
        let names: Vec<_> = kept.iter().map(InstanceId::as_str).collect();
        log::warn!(target: "list", endpoints = names.join(","), position = position, gap_ms = gap_ms; "Endpoints without a row are kept for a grace period.");
    }
    // The first read of a process is new only to itself: the others have their own first read or
    // already follow the list. If each of 45 entries that start together sent the whole list, it
    // would fill the links between regions for seconds.
    if !is_first {
        send_changes(shared, to_send);
    }
    if changed {
        log_change(shared, routed, "read");
    }
    routed.freshness.record_verified(asked_at);
}

/// Sends changes to the other entries.
fn send_changes(shared: &EntryShared, update: ListingUpdate) {
    let message = ControlMessage::Listing {
        rows: update.rows,
        base: update.base,
        position: update.position,
        age_ms: Timestamp::now().since(update.asked_at).as_millis() as u64,
        era: Some(update.era),
        base_era: (update.base_era != update.era).then_some(update.base_era),
        missing: times_left(update.missing),
    };
    peers::send_to_peers(shared, &message);
}

/// Time in which each missing endpoint may still return, in milliseconds.
fn times_left(missing: Vec<(InstanceId, Deadline)>) -> Vec<(InstanceId, u64)> {
    let now = Timestamp::now();
    missing
        .into_iter()
        .map(|(name, until)| (name, until.remaining(now).as_millis() as u64))
        .collect()
}

/// Time until the next grace period ends, [`TURN_CHECK_INTERVAL`] at most.
fn expiry_wait(routed: &RoutedState, now: Timestamp) -> Duration {
    let next = routed.listing().next_expiry_at();
    next.map_or(TURN_CHECK_INTERVAL, |next| next.remaining(now).min(TURN_CHECK_INTERVAL))
}

/// Ends grace periods when they are over; never returns.
async fn expire_on_time<T>(shared: &EntryShared, routed: &RoutedState) -> T {
    loop {
        let now = Timestamp::now();
        expire_missing(shared, routed, now);
        Timer::after(expiry_wait(routed, now)).await;
    }
}

fn expire_missing(shared: &EntryShared, routed: &RoutedState, now: Timestamp) {
    let mut listing = routed.listing();
    let expired = listing.expire_missing(now);
    shared.metrics.list.set_in_grace(listing.in_grace().len());
    let (position, asked_at, era) = (listing.position(), listing.asked_at(), listing.era());
    drop(listing);
    let Some(asked_at) = asked_at.filter(|_| !expired.is_empty()) else {
        return;
    };
    let own = expired.into_iter().filter(|expired| expired.is_own);
    let rows: Vec<_> = own.map(|expired| expired.row).collect();
    if !rows.is_empty() {
        let (base, missing) = (position, Vec::new());
        let update = ListingUpdate { rows, base, base_era: era, position, asked_at, era, missing };
        send_changes(shared, update);
    }
    log_change(shared, routed, "not-returned");
}

/// Applies part of the list received from another entry.
pub(crate) fn handle_listing(
    shared: &EntryShared,
    routed: &RoutedState,
    sender: &WireSender,
    update: ListingUpdate,
) {
    let mut listing = routed.listing();
    let before: Vec<_> = listing.endpoints().cloned().collect();
    let is_known = listing.apply_update(&update);
    let changed = !listing.endpoints().eq(before.iter());
    routed.freshness.record(&listing);
    drop(listing);
    if !is_known {
        request_listing(routed, sender);
    }
    if changed {
        log_change(shared, routed, "told");
    }
}

/// Requests the whole list from an entry, unless another entry is expected to send it.
pub(crate) fn request_listing(routed: &RoutedState, sender: &WireSender) {
    if routed.listing().begin_snapshot_request(Timestamp::now()) {
        let _ = sender.try_send(ControlMessage::ListingWanted);
    }
}

/// Requests the whole list from an entry until part of it is known.
///
/// While the table service is unavailable no entry reads, so no change arrives that would trigger a
/// request. This entry would then refuse every request although the others serve.
pub(crate) async fn request_until_known(routed: Arc<RoutedState>, sender: WireSender) {
    while routed.listing().position() == 0 && !sender.is_closed() {
        request_listing(&routed, &sender);
        Timer::after(REQUEST_INTERVAL).await;
    }
}

/// Sends the whole list to an entry that lacks part of it.
pub(crate) fn send_listing(routed: &RoutedState, sender: &WireSender) {
    let Some(whole) = routed.listing().snapshot() else {
        return;
    };
    let age_ms = Timestamp::now().since(whole.asked_at).as_millis() as u64;
    let _ = sender.try_send(ControlMessage::Listing {
        rows: whole.rows,
        base: 0,
        position: whole.position,
        age_ms,
        era: Some(whole.era),
        base_era: None,
        missing: times_left(whole.missing),
    });
}

fn log_change(shared: &EntryShared, routed: &RoutedState, source: &str) {
    let listing = routed.listing();
    let (era, position) = (listing.era(), listing.position());
    let count = listing.endpoints().count();
    let leaving = listing.endpoints().filter(|listed| listed.is_leaving).count();
    drop(listing);
    log::info!(target: "list", position = position, era = era, endpoints = count, leaving = leaving, source = source; "The list of endpoints changed.");
    shared.rebuild_routes();
}
