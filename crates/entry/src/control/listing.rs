//! Reading the platform's list of endpoints in turns, and telling the others.

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::ListingUpdate;
use cassiawheel_edge::{FeedError, FeedPage};
use cassiawheel_model::{ListedEndpoint, ListedRow, Timestamp};
use cassiawheel_wire::{ControlMessage, WireSender};
use rand::Rng;
use smol::Timer;

use super::{dependency::DependencyMonitor, peers};
use crate::{routed::RoutedState, shared::EntryShared};

/// Longest sleep between looks whether it is this entry's turn.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between looks whether something is known of the list.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time after its start within which an entry discovers the others.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Waits after a failed read, in milliseconds; drawn anew each time.
const RETRY_DELAY_MS: std::ops::Range<u64> = 200..500;

/// Follows the list for ever.
pub(crate) async fn follow_listing(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    let mut monitor = DependencyMonitor::new("list");
    let mut retry_at = Timestamp::now().deadline_after(Duration::ZERO);
    let mut history_lost = false;
    loop {
        let now = Timestamp::now();
        settle(&shared, &routed, now);
        let next_read_at = routed.listing().next_read_at(read_rank(&shared, now)).max(retry_at);
        if !next_read_at.is_past(now) {
            Timer::after(next_read_at.remaining(now).min(TURN_CHECK_INTERVAL)).await;
            continue;
        }
        let base = if history_lost { 0 } else { routed.listing().position() };
        let read = match base {
            0 => routed.list.read_all().await,
            _ => routed.list.read_changes(base, Duration::ZERO).await,
        };
        match read {
            Ok(page) => {
                monitor.record_success();
                history_lost = false;
                apply_page(&shared, &routed, page, base, now);
            }
            Err(FeedError::HistoryLost) => history_lost = true,
            Err(FeedError::Store(error)) => {
                monitor.record_failure(&error);
                let wait = rand::rng().random_range(RETRY_DELAY_MS);
                retry_at = Timestamp::now().deadline_after(Duration::from_millis(wait));
            }
        }
    }
}

/// Which entry this is in the order of those that read the list for all.
///
/// An entry that has just started has no neighbours and would take itself for the first.
/// If all that start together read again for that reason, each would send the others
/// whatever had registered meanwhile.
fn read_rank(shared: &EntryShared, now: Timestamp) -> u32 {
    let has_others = !shared.settings.peers.is_empty();
    let is_new = now.since(Timestamp(shared.incarnation)) < DISCOVERY_TIME;
    let is_alone = shared.peers().values().next().is_none();
    if has_others && is_new && is_alone { u32::MAX } else { shared.own_rank() }
}

fn apply_page(
    shared: &EntryShared,
    routed: &RoutedState,
    page: FeedPage<ListedRow>,
    base: u64,
    asked_at: Timestamp,
) {
    let news = ListingUpdate { rows: page.rows, base, position: page.position, asked_at };
    let now = Timestamp::now();
    let mut listing = routed.listing();
    let is_first = listing.position() == 0;
    let before: Vec<_> = listing.endpoints().cloned().collect();
    let to_send = listing.apply_read(news, now);
    let changed = !listing.endpoints().eq(before.iter());
    drop(listing);
    // What a process reads at its start is news to itself. The others read at
    // theirs, or follow the list already; told by each of 45 entries that start
    // at once, the whole list fills the links between regions for seconds.
    if !is_first {
        send_changes(shared, to_send, &before);
    }
    if changed {
        log_change(shared, routed, "read");
    }
}

/// Sends the other entries what they have to know; rows that only repeat a heartbeat stay out.
fn send_changes(shared: &EntryShared, news: ListingUpdate, before: &[ListedEndpoint]) {
    let is_news = |row: &ListedRow| match &row.endpoint {
        Some(endpoint) => !before.contains(endpoint),
        None => true,
    };
    let rows = news.rows.into_iter().filter(|row| news.base == 0 || is_news(row)).collect();
    let message = ControlMessage::Listing {
        rows,
        base: news.base,
        position: news.position,
        age_ms: Timestamp::now().since(news.asked_at).as_millis() as u64,
    };
    peers::send_to_peers(shared, &message);
}

fn settle(shared: &EntryShared, routed: &RoutedState, now: Timestamp) {
    let mut listing = routed.listing();
    let rows = listing.expire_missing(now);
    let (position, asked_at) = (listing.position(), listing.asked_at());
    drop(listing);
    let Some(asked_at) = asked_at.filter(|_| !rows.is_empty()) else {
        return;
    };
    send_changes(shared, ListingUpdate { rows, base: position, position, asked_at }, &[]);
    log_change(shared, routed, "not-returned");
}

/// Takes in what another entry tells of the list.
pub(crate) fn handle_listing(
    shared: &EntryShared,
    routed: &RoutedState,
    sender: &WireSender,
    news: ListingUpdate,
) {
    let mut listing = routed.listing();
    let before: Vec<_> = listing.endpoints().cloned().collect();
    let is_known = listing.apply_update(&news);
    let changed = !listing.endpoints().eq(before.iter());
    drop(listing);
    if !is_known {
        request_listing(routed, sender);
    }
    if changed {
        log_change(shared, routed, "told");
    }
}

/// Asks an entry for the whole list, unless another one is about to send it.
pub(crate) fn request_listing(routed: &RoutedState, sender: &WireSender) {
    if routed.listing().begin_snapshot_request(Timestamp::now()) {
        let _ = sender.try_send(ControlMessage::ListingWanted);
    }
}

/// Asks an entry for the whole list until something is known of it.
///
/// While the table service is away nobody reads, so that no word of a change would
/// make this entry ask; it would refuse every request though the others serve.
pub(crate) async fn request_until_known(routed: Arc<RoutedState>, sender: WireSender) {
    while routed.listing().position() == 0 && !sender.is_closed() {
        request_listing(&routed, &sender);
        Timer::after(REQUEST_INTERVAL).await;
    }
}

/// Sends the whole list to an entry that knows too little of it.
pub(crate) fn send_listing(routed: &RoutedState, sender: &WireSender) {
    let Some(whole) = routed.listing().snapshot() else {
        return;
    };
    let age_ms = Timestamp::now().since(whole.asked_at).as_millis() as u64;
    let (rows, position) = (whole.rows, whole.position);
    let _ = sender.try_send(ControlMessage::Listing { rows, base: 0, position, age_ms });
}

fn log_change(shared: &EntryShared, routed: &RoutedState, source: &str) {
    let listing = routed.listing();
    let (position, count) = (listing.position(), listing.endpoints().count());
    let leaving = listing.endpoints().filter(|listed| listed.is_leaving).count();
    drop(listing);
    log::info!(target: "list", position = position, endpoints = count, leaving = leaving, source = source; "The list of endpoints changed.");
    shared.rebuild_routes();
}
