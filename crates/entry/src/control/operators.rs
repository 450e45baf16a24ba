//! Following the operators' rows: the preset in force and named versions.
//!
//! Every entry follows them by itself, so that a change reaches it in
//! milliseconds, and hears of what it missed from the heartbeats of the others.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_edge::{FeedError, FeedPage, OperatorRow};
use cassiawheel_model::{AgeSource, NamedVersion, Timestamp};
use cassiawheel_wire::ControlMessage;
use rand::Rng;
use smol::Timer;

use super::{dependency::DependencyWatch, spread};
use crate::{routed::RoutedInterface, shared::EntryShared};

/// Longest wait for a change before the table is asked again.
///
/// Bounds the time in which a connection that has gone silent is not noticed;
/// until then the other entries' heartbeats tell of changes.
const WAIT_TIME: Duration = Duration::from_secs(8);

/// Waits after a failed call, in milliseconds; drawn anew each time.
const AGAIN_MS: std::ops::Range<u64> = 150..400;

/// Age that a version is taken to have if this process finds it at its start.
///
/// Nobody tells when it was named. Taking it for fresh could let older
/// versions answer for too long; the other entries correct the guess.
const FOUND_AGE: Duration = Duration::from_millis(3_500);

/// Follows the operators' rows for ever.
pub(crate) async fn follow_operators(shared: Arc<EntryShared>, routed: Arc<RoutedInterface>) {
    let mut watch = DependencyWatch::new("operators");
    let mut position = None;
    let mut asked_at: Option<Timestamp> = None;
    loop {
        let read = match position {
            Some(position) => routed.operators.read_changes(position, WAIT_TIME).await,
            None => routed.operators.read_all().await,
        };
        match read {
            Ok(page) => {
                watch.regained();
                routed.follows_rows.store(true, Ordering::Relaxed);
                let age = version_age(position, asked_at);
                position = Some(page.position);
                asked_at = Some(Timestamp::now());
                take_page(&shared, &routed, page, age);
                shared.start_hold().heard(shared.settings.platform.table);
            }
            Err(FeedError::HistoryLost) => {
                log::info!(target: "preset", position:? = position; "The history of the operators' rows is gone; reads all of them.");
                position = None;
            }
            Err(FeedError::Store(error)) => {
                watch.lost(&error);
                routed.follows_rows.store(false, Ordering::Relaxed);
                let wait = rand::rng().random_range(AGAIN_MS);
                Timer::after(Duration::from_millis(wait)).await;
            }
        }
    }
}

/// How old a version may be that a read brings, and how that is known.
fn version_age(position: Option<u64>, asked_at: Option<Timestamp>) -> (Duration, AgeSource) {
    match (position, asked_at) {
        // Changes come as they are made.
        (Some(_), _) => (Duration::ZERO, AgeSource::Observed),
        // It was named at some time since the last read.
        (None, Some(asked_at)) => (Timestamp::now().since(asked_at), AgeSource::Assumed),
        (None, None) => (FOUND_AGE, AgeSource::Assumed),
    }
}

fn take_page(
    shared: &EntryShared,
    routed: &RoutedInterface,
    page: FeedPage<OperatorRow>,
    (age, age_source): (Duration, AgeSource),
) {
    for row in page.rows {
        match row {
            OperatorRow::Preset(preset) => spread::adopt(shared, &Arc::new(*preset)),
            OperatorRow::Version(named) => {
                let named = NamedVersion { age_ms: age.as_millis() as u64, age_source, ..named };
                take_version(shared, routed, &named);
            }
            OperatorRow::Damaged(detail) => {
                log::error!(target: "preset", cause:% = detail; "An operator's row cannot be read.");
            }
        }
    }
}

/// Takes in a named version and tells the other entries, if it is new here.
pub(crate) fn take_version(shared: &EntryShared, routed: &RoutedInterface, named: &NamedVersion) {
    if !routed.offer_version(named) {
        return;
    }
    log::info!(target: "preset", version:% = named.version, manifest:? = named.manifest, age_ms = named.age_ms, age_source:? = named.age_source; "A version is named.");
    shared.plan_stale.store(true, Ordering::Release);
    spread::send_to_peers(shared, &ControlMessage::Named(named.clone()));
}
