//! Following the operators' rows: the active preset and named versions.
//!
//! Every entry reads them when it starts. After that, some entries follow them on behalf of all and
//! send changes to their neighbours.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_decide::{FeedRole, FollowedRows, LinkId};
use cassiawheel_edge::{FeedError, FeedPage, OperatorRow};
use cassiawheel_model::{
    AgeSource, Deadline, EvacuationOrder, PresetRevision, TargetVersion, Timestamp,
};
use cassiawheel_wire::{ControlMessage, WireSender};
use rand::Rng;
use smol::Timer;

use super::{dependency::DependencyMonitor, peers};
use crate::{routed::RoutedState, shared::EntryShared};

/// Longest wait of a long poll for changes.
///
/// Bounds the time in which a dead connection goes unnoticed; until then, heartbeats of other
/// entries announce changes.
const MAX_POLL_WAIT: Duration = Duration::from_secs(3);

/// Interval between calls while the table service rejects this entry but not others.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks whether this entry has to follow the rows.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Random delay before a failed call is retried, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 150..400;

/// Follows the operators' rows; runs until the process ends.
pub(crate) async fn follow_operators(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    let mut monitor = DependencyMonitor::new("operators");
    let mut followed = FollowedRows::default();
    let mut probe_at = Deadline(0);
    loop {
        let started_at = Timestamp::now();
        let is_due = match routed.feed_role() {
            FeedRole::Follow => true,
            FeedRole::Probe => probe_at.is_past(started_at),
            FeedRole::Standby => followed.position.is_none() && !has_copy(&shared, &routed),
        };
        let is_due = is_due && !awaits_copy(&shared, &routed, started_at);
        if !is_due {
            followed = FollowedRows { until: Some(started_at), by_others: true, ..followed };
            Timer::after(DUTY_CHECK_INTERVAL).await;
            continue;
        }
        // Without a long poll, a dead connection is detected sooner.
        let is_answered = routed.follows_rows.load(Ordering::Relaxed);
        let wait = if is_answered { MAX_POLL_WAIT } else { Duration::ZERO };
        let read = match followed.position {
            Some(position) => routed.operators.read_changes(position, wait).await,
            None => routed.operators.read_all().await,
        };
        match read {
            Ok(page) => {
                monitor.record_success();
                routed.follows_rows.store(true, Ordering::Relaxed);
                let now = Timestamp::now();
                let age = followed.version_age(now);
                if followed.position.is_none() {
                    end_missing_evacuations(&shared, &routed, &page);
                }
                let ended = routed.evacuations().ended_holds(page.position, now);
                for order in ended {
                    apply_evacuation(&shared, &routed, order, None);
                }
                let position = Some(page.position);
                followed = FollowedRows { position, until: Some(now), by_others: false };
                apply_page(&shared, &routed, page, age);
                shared.start_hold().mark_answered(shared.settings.platform.table);
            }
            Err(FeedError::HistoryLost) => {
                log::info!(target: "preset", position:? = followed.position; "The history of the operators' rows is gone; reading all rows.");
                followed.position = None;
            }
            Err(FeedError::Store(error)) => {
                monitor.record_failure(&error);
                routed.follows_rows.store(false, Ordering::Relaxed);
                probe_at = Timestamp::now().deadline_after(PROBE_INTERVAL);
                let wait = rand::rng().random_range(RETRY_DELAY_MS);
                Timer::after(Duration::from_millis(wait)).await;
            }
        }
    }
}

/// Whether another entry has sent the preset, at the first start of the system.
fn has_copy(shared: &EntryShared, routed: &RoutedState) -> bool {
    routed.settings.first_read_ms > 0 && shared.known_revision() > PresetRevision::default()
}

/// Whether this entry still waits for another one to send the preset.
fn awaits_copy(shared: &EntryShared, routed: &RoutedState, now: Timestamp) -> bool {
    let wait = Duration::from_millis(routed.settings.first_read_ms);
    let read_at = Timestamp(shared.incarnation).deadline_after(wait);
    !read_at.is_past(now) && shared.known_revision() == PresetRevision::default()
}

fn apply_page(
    shared: &EntryShared,
    routed: &RoutedState,
    page: FeedPage<OperatorRow>,
    (age, age_source): (Duration, AgeSource),
) {
    for row in page.rows {
        match row {
            OperatorRow::Preset(preset) => peers::adopt(shared, &Arc::new(*preset)),
            OperatorRow::Version(named) => {
                let named = TargetVersion { age_ms: age.as_millis() as u64, age_source, ..named };
                apply_version(shared, routed, &named, None);
            }
            OperatorRow::Evacuation(order) => apply_evacuation(shared, routed, order, None),
            OperatorRow::Invalid(detail) => {
                shared.metrics.list.count_unusable("operators");
                log::error!(target: "preset", cause:% = detail; "Cannot use an operator's row or a part of it.");
            }
        }
    }
}

/// Ends the evacuations whose rows a read of all rows no longer contains.
fn end_missing_evacuations(
    shared: &EntryShared,
    routed: &RoutedState,
    page: &FeedPage<OperatorRow>,
) {
    let listed = page.rows.iter().filter_map(|row| match row {
        OperatorRow::Evacuation(order) => Some(order.failure_domain.clone()),
        OperatorRow::Preset(_) | OperatorRow::Version(_) | OperatorRow::Invalid(_) => None,
    });
    let listed: Vec<_> = listed.collect();
    let ended = routed.evacuations().ended_by(&listed, page.position, Timestamp::now());
    for order in ended {
        apply_evacuation(shared, routed, order, None);
    }
}

/// Applies an evacuation or its end and, if it is new, sends it to the neighbours.
pub(crate) fn apply_evacuation(
    shared: &EntryShared,
    routed: &RoutedState,
    order: EvacuationOrder,
    source: Option<LinkId>,
) {
    if !routed.evacuations().merge(order.clone(), source, Timestamp::now()) {
        return;
    }
    log::info!(target: "preset", domain:% = order.failure_domain, position = order.position, active = order.is_active; "The evacuation of a failure domain changed.");
    shared.rebuild_routes();
    routed.overlay.notify_change();
}

/// Adds a named version and, if it is new, sends it to the neighbours other than `source`.
pub(crate) fn apply_version(
    shared: &EntryShared,
    routed: &RoutedState,
    named: &TargetVersion,
    source: Option<&WireSender>,
) {
    if !routed.add_version(named) {
        return;
    }
    log::info!(target: "preset", version:% = named.version, manifest:? = named.manifest, age_ms = named.age_ms, age_source:? = named.age_source; "A version is named.");
    shared.plan_stale.store(true, Ordering::Release);
    routed.overlay.send_to_neighbours(&ControlMessage::Named(named.clone()), source);
}
