//! Gossip with neighbours: entry records, endpoint reports and loads.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_decide::{
    DueState, LinkId,
    gossip::{record_version, report_version},
    rank::subject_of,
};
use cassiawheel_model::{
    Deadline, EndpointReport, EntryRecord, GossipDelta, InstanceId, LoadRecord, LoadReport,
    PresetRevision, RegionName, Timestamp,
};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::ControlMessage;
use smol::Timer;

use super::{
    derived::{derive_stale_state, refresh_membership},
    operators,
};
use crate::{
    demand::update_shares,
    limits::update_paces,
    overlay::{OverlayState, is_in_other_region},
    paths::refresh_paths,
    routed::RoutedState,
    shared::EntryShared,
};

/// Shortest time between two messages over a link; batches bursts of changes.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest time to the next message after a large one.
///
/// When many entries start together, neighbours receive most of these items over other links in
/// this time.
const LARGE_SEND_INTERVAL: Duration = Duration::from_millis(80);

/// Number of records and reports above which a message is large.
const LARGE_MESSAGE_ITEMS: usize = 12;

/// Number of due records and reports up to which they are sent at once instead of offered.
///
/// Single changes arrive without a further round trip; a burst of them arrives once instead of
/// over every link.
const MAX_EAGER_ITEMS: usize = 2;

/// Interval between messages with loads to an entry in the same region.
const LOCAL_LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between messages with loads to an entry in another region.
///
/// Two messages may be lost before the link counts as silent.
const REMOTE_LOAD_INTERVAL: Duration = Duration::from_millis(600);

/// Age difference in milliseconds below which two loads count as the same measurement.
const LOCAL_AGE_TOLERANCE_MS: u64 = 60;

/// The same tolerance for loads from another region, in milliseconds.
///
/// Several links deliver the same load; one copy within this time is enough.
const REMOTE_AGE_TOLERANCE_MS: u64 = 900;

/// Interval between checks whether this entry's record has changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between two versions of this entry's record that only add to it.
///
/// Processes that start together connect to each other within a second; publishing a version for
/// each connection would send each of them to every entry.
const ADDITION_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest time between two versions of this entry's record.
const RECORD_INTERVAL: Duration = Duration::from_millis(100);

/// Load below which an entry does not publish its requests in progress, because it does not affect
/// the others.
const MIN_PUBLISHED_LOAD: u32 = 16;

/// Number of steps in which staging progress of a version is published.
const PROGRESS_STEPS: u32 = 4;

/// Sends changes to the neighbours; runs until the process ends.
pub(crate) async fn send_changes(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    loop {
        timeout(CHECK_INTERVAL, routed.overlay.changed()).await;
        derive_stale_state(&shared, &routed);
        refresh_own_record(&shared, &routed);
        update_paces(&shared, &routed, Timestamp::now());
        refresh_paths(&shared, &routed, Timestamp::now());
        update_shares(&shared, Timestamp::now());
        let sent = send_updates(&shared, &routed, Timestamp::now());
        let span = if sent > LARGE_MESSAGE_ITEMS { LARGE_SEND_INTERVAL } else { MIN_SEND_INTERVAL };
        Timer::after(span).await;
    }
}

/// Sends each neighbour the items that it lacks; returns the largest number of records and reports
/// in one message.
fn send_updates(shared: &EntryShared, routed: &RoutedState, now: Timestamp) -> usize {
    let revision = shared.active_preset.load().as_ref().map(|p| p.revision).unwrap_or_default();
    let load = shared.in_flight.load(Ordering::Relaxed);
    let mut state = routed.overlay.lock();
    if load >= MIN_PUBLISHED_LOAD {
        let instance_hash = subject_of(shared.settings.place.instance.as_str());
        let row = LoadRecord { instance_hash, load, age_ms: 0 };
        state.store.merge_load(row, REMOTE_AGE_TOLERANCE_MS, None, now);
    }
    let own_region = &shared.settings.place.region;
    let OverlayState { store, crashes, links, item_requests, .. } = &mut *state;
    let mut max_items = 0;
    // What is not sent now is merged with later changes, and leaves room for other messages.
    for link in links.iter_mut().filter(|link| !link.sender.is_congested()) {
        let is_in_other_region = is_in_other_region(store, &link.instance, own_region);
        // While many processes start together, or where another path is shorter, the other end
        // probably has an item already.
        let is_small = store.due_count(link.cursor, link.number) <= MAX_EAGER_ITEMS;
        let is_eager =
            |region: &RegionName| is_small && (!is_in_other_region || region == own_region);
        let DueState { mut records, mut reports, offers, mut cursor } =
            store.state_since(link.cursor, link.number, is_eager);
        let (more_records, more_reports) = store.items(&link.requested);
        records.extend(more_records);
        reports.extend(more_reports);
        let wanted = item_requests.due(link.number, now);
        let loads_are_due = link.loads_at.is_past(now);
        let (rows, crash_cursor) = crashes.rows_since(link.crash_cursor, link.number, now);
        let (limits, limit_cursor) =
            routed.limits.rate_limits().rows_since(link.limit_cursor, link.number, now);
        let (evacuations, evacuation_cursor) =
            routed.evacuations().orders_since(link.evacuation_cursor, link.number);
        let (departures, departure_cursor) =
            routed.departures.table().departures_since(link.departure_cursor, link.number, now);
        max_items = max_items.max(records.len() + reports.len());
        if records.is_empty()
            && reports.is_empty()
            && rows.is_empty()
            && limits.is_empty()
            && offers.is_empty()
            && wanted.is_empty()
            && evacuations.is_empty()
            && departures.is_empty()
            && !loads_are_due
        {
            link.cursor = cursor;
            link.crash_cursor = crash_cursor;
            link.limit_cursor = limit_cursor;
            link.evacuation_cursor = evacuation_cursor;
            link.departure_cursor = departure_cursor;
            continue;
        }
        let mut delta = GossipDelta {
            revision,
            records,
            reports,
            loads: Vec::new(),
            crashes: rows,
            limits,
            offers,
            wanted,
            evacuations,
            departures,
            demands: Vec::new(),
        };
        let (mut loads_at, mut demand_cursor) = (link.loads_at, link.demand_cursor);
        if loads_are_due {
            (delta.demands, demand_cursor) =
                shared.demand.rows_since(demand_cursor, link.number, now);
            (delta.loads, cursor) = store.loads_since(cursor, link.number, now);
            let span = if is_in_other_region { REMOTE_LOAD_INTERVAL } else { LOCAL_LOAD_INTERVAL };
            loads_at = now.deadline_after(span);
        }
        // If the queue is full, the items are sent with the next message.
        if let Ok(true) = link.sender.try_send(ControlMessage::Gossip(Box::new(delta))) {
            link.cursor = cursor;
            link.requested.clear();
            link.crash_cursor = crash_cursor;
            link.limit_cursor = limit_cursor;
            link.evacuation_cursor = evacuation_cursor;
            link.departure_cursor = departure_cursor;
            link.demand_cursor = demand_cursor;
            link.loads_at = loads_at;
        }
    }
    max_items
}

/// Sends the current revision to every neighbour, before other gossip.
pub(crate) fn announce_revision(routed: &RoutedState, revision: PresetRevision) {
    let delta = GossipDelta { revision, ..GossipDelta::default() };
    for link in &mut routed.overlay.lock().links {
        let _ = link.sender.try_send(ControlMessage::Gossip(Box::new(delta.clone())));
        // Repeats it where the queue is full.
        link.loads_at = Deadline(0);
    }
    routed.overlay.notify_change();
}

/// Publishes a new version of this entry's record if its content has changed.
pub(crate) fn refresh_own_record(shared: &EntryShared, routed: &RoutedState) {
    let settings = &shared.settings;
    let links = shared.links.load();
    let mut agents: Vec<InstanceId> = links.keys().cloned().collect();
    agents.sort_unstable();
    let advised = shared.is_advised();
    let mut state = routed.overlay.lock();
    let known = state.store.record(&settings.place.instance);
    let record = EntryRecord {
        instance: settings.place.instance.clone(),
        incarnation: shared.incarnation,
        sequence: known.map_or(0, |known| known.sequence),
        region: settings.place.region.clone(),
        failure_domain: settings.place.failure_domain.clone(),
        inner_addr: settings.listen.inner,
        caller_addr: settings.listen.caller,
        leaving: shared.is_leaving(),
        advised,
        follows_rows: routed.follows_rows.load(Ordering::Relaxed),
        neighbours: state.neighbours(),
        agents,
    };
    if known == Some(&record) {
        return;
    }
    let now = Timestamp::now();
    let span = known.map_or(Duration::ZERO, |known| min_record_interval(known, &record));
    if state.renewed_at.is_none_or(|renewed_at| now.since(renewed_at) >= span) {
        let record = EntryRecord { sequence: record.sequence + 1, ..record };
        state.store.merge_record(record, None, now);
        state.renewed_at = Some(now);
        routed.overlay.notify_change();
    }
    drop(state);
    refresh_membership(shared, routed);
}

/// Minimum age of `known` before `record` replaces it.
fn min_record_interval(known: &EntryRecord, record: &EntryRecord) -> Duration {
    let retains_all =
        |old: &[InstanceId], new: &[InstanceId]| old.iter().all(|name| new.contains(name));
    let only_adds = known.leaving == record.leaving
        && known.follows_rows == record.follows_rows
        && retains_all(&known.neighbours, &record.neighbours)
        && retains_all(&known.agents, &record.agents);
    if only_adds { ADDITION_INTERVAL } else { RECORD_INTERVAL }
}

/// Merges gossip received over the link `source`.
pub(crate) fn merge_gossip(
    shared: &Arc<EntryShared>,
    routed: &Arc<RoutedState>,
    source: LinkId,
    delta: GossipDelta,
) {
    let own = &shared.settings.place.instance;
    let now = Timestamp::now();
    let mut state = routed.overlay.lock();
    let mut membership_changed = false;
    let has_requests = !delta.offers.is_empty() || !delta.wanted.is_empty();
    for offer in delta.offers {
        if state.store.lacks(offer, source) {
            state.item_requests.offer(offer, source);
        }
    }
    if let Some(link) = state.links.iter_mut().find(|link| link.number == source) {
        link.requested.extend(delta.wanted);
    }
    for record in delta.records.into_iter().filter(|record| record.instance != *own) {
        state.item_requests.received(record_version(&record));
        let place = (record.inner_addr, Some(record.region.clone()));
        if state.store.merge_record(record, Some(source), now) {
            state.add_known_entries(std::iter::once(place));
            membership_changed = true;
        }
    }
    let mut reports = Vec::new();
    for report in delta.reports {
        state.item_requests.received(report_version(&report));
        if state.store.merge_report(report.clone(), Some(source), now) {
            reports.push(report);
        }
    }
    let is_in_other_region = state.is_in_other_region(source, &shared.settings.place.region);
    let tolerance_ms =
        if is_in_other_region { REMOTE_AGE_TOLERANCE_MS } else { LOCAL_AGE_TOLERANCE_MS };
    let mut loads = delta.loads;
    loads.retain(|row| state.store.merge_load(*row, tolerance_ms, Some(source), now));
    let mut crashes = delta.crashes;
    crashes.retain(|row| state.crashes.record(*row, Some(source), now));
    routed.crashes.add_known_answers(&mut state.crashes, &crashes, now);
    routed.crashes.apply_rows(&state.crashes, &crashes, Some(source));
    drop(state);
    routed.departures.merge(&delta.departures, source, now);
    shared.demand.merge(&delta.demands, source, now);
    for order in delta.evacuations {
        operators::apply_evacuation(shared, routed, order, Some(source));
    }
    let mut limits = delta.limits;
    limits.retain(|row| routed.limits.merge_row(*row, source, now));
    let has_updates = !reports.is_empty() || !crashes.is_empty() || !limits.is_empty();
    apply_reports(shared, routed, reports, now);
    if membership_changed {
        routed.overlay.membership_stale.store(true, Ordering::Release);
    }
    derive_stale_state(shared, routed);
    if membership_changed || has_updates || has_requests {
        routed.overlay.notify_change();
    }
    apply_loads(routed, &loads, now);
}

fn apply_reports(
    shared: &EntryShared,
    routed: &RoutedState,
    reports: Vec<EndpointReport>,
    now: Timestamp,
) {
    if reports.is_empty() {
        return;
    }
    let mut roster = shared.roster();
    let mut changed = false;
    for mut report in reports {
        roster.check_basis(&mut report);
        let known = roster.member(&report.instance).map(|member| &member.report);
        let is_change = known.is_none_or(|known| !known.routes_alike(&report));
        changed |= roster.apply_report(report, now) && is_change;
    }
    drop(roster);
    shared.plan_stale.store(true, Ordering::Release);
    if changed {
        routed.overlay.routes_stale.store(true, Ordering::Release);
    }
}

/// Updates the load counters of the endpoints that the rows name.
fn apply_loads(routed: &RoutedState, rows: &[LoadRecord], now: Timestamp) {
    let counters = routed.counters_by_agent.load();
    for row in rows {
        if let Some(tracker) = counters.get(&row.instance_hash) {
            let measured_at = Timestamp(now.0.saturating_sub(u64::from(row.age_ms)));
            let load = LoadReport { in_flight: row.load, queued: 0, measured_at };
            tracker.apply_report(&load, tracker.hard_limit());
            tracker.record_heard(measured_at);
        }
    }
}

/// Publishes the load of an endpoint whose agent is connected to this entry.
pub(crate) fn publish_load(routed: &RoutedState, instance: &InstanceId, load: &LoadReport) {
    let row = LoadRecord {
        instance_hash: subject_of(instance.as_str()),
        load: load.in_flight + load.queued,
        age_ms: 0,
    };
    routed.overlay.lock().store.merge_load(row, LOCAL_AGE_TOLERANCE_MS, None, Timestamp::now());
}

/// Publishes the report of an agent connected to this entry if it has changed significantly.
pub(crate) fn publish_report(routed: &RoutedState, report: &EndpointReport) {
    let mut state = routed.overlay.lock();
    if !state.store.report(&report.instance).is_none_or(|known| is_significant(known, report)) {
        return;
    }
    if state.store.merge_report(report.clone(), None, Timestamp::now()) {
        drop(state);
        routed.overlay.notify_change();
    }
}

/// Whether two reports differ by more than load, sequence and less than one progress step.
fn is_significant(known: &EndpointReport, report: &EndpointReport) -> bool {
    let progress_step = |report: &EndpointReport| {
        let staged = report.staged.as_ref()?;
        let progress_step = staged.chunks_ready * PROGRESS_STEPS / staged.chunks_total.max(1);
        Some((staged.manifest, progress_step))
    };
    let expected = EndpointReport {
        load: report.load,
        sequence: report.sequence,
        staged: report.staged.clone(),
        ..known.clone()
    };
    expected != *report || progress_step(known) != progress_step(report)
}
