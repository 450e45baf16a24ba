//! Discovery of other entries through the table service.
//!
//! The addresses in the settings may be out of date. Each entry therefore stores its address and
//! region in a row, and again when the store has returned from a copy that may lack it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cassiawheel_edge::{ENTRY_KEY_PREFIX, EntryRow, StoreError, TableGuard, TableWrite};
use cassiawheel_model::RegionName;
use rand::Rng;
use smol::Timer;

use super::dependency::DependencyMonitor;
use crate::{routed::RoutedState, shared::EntryShared};

/// Random delay before a failed call is retried, in milliseconds; doubled with each failure.
const RETRY_DELAY_MS: std::ops::Range<u64> = 300..900;

/// Maximum number of doublings of that delay.
const MAX_DOUBLINGS: u32 = 3;

/// Interval between checks whether the store has begun another era.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Average time between the writes of two entries that store their rows again.
const REWRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Stores this entry's address, and again in each era of the store; runs until the process ends.
pub(crate) async fn keep_registered(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    register(&shared, &routed).await;
    let mut registered_era = routed.listing().era();
    loop {
        Timer::after(ERA_CHECK_INTERVAL).await;
        let era = routed.listing().era();
        // Before the first read of the list the era is unknown, not another one.
        let is_new_era = registered_era > 0 && era > registered_era;
        registered_era = era;
        if !is_new_era {
            continue;
        }
        let entries = shared.peers().values().count() as u32 + 1;
        let wait = (REWRITE_INTERVAL * entries).mul_f64(rand::rng().random_range(0.0..1.0));
        Timer::after(wait).await;
        log::info!(target: "overlay", era = era; "Storing this entry's address again.");
        write_until_done(&shared).await;
    }
}

/// Writes this entry's row until a write succeeds.
async fn write_until_done(shared: &EntryShared) {
    let mut monitor = DependencyMonitor::new("registry");
    while let Err(error) = write_row(shared, TableGuard::Absent).await {
        monitor.record_failure(&error);
        let wait_ms = rand::rng().random_range(RETRY_DELAY_MS);
        Timer::after(Duration::from_millis(wait_ms)).await;
    }
}

/// Stores this entry's address and records the addresses that other entries have stored.
async fn register(shared: &EntryShared, routed: &RoutedState) {
    let mut monitor = DependencyMonitor::new("registry");
    // All entries write to one partition, which takes a limited number of writes a second.
    let spread_ms = 2 * routed.settings.first_read_ms;
    let first_wait_ms = rand::rng().random_range(0..=spread_ms);
    Timer::after(Duration::from_millis(first_wait_ms)).await;
    let mut doublings = 0;
    loop {
        let is_linked = !routed.overlay.lock().links.is_empty();
        let registered = match spread_ms > 0 && is_linked {
            // The others are known from the gossip of the neighbours.
            true => write_row(shared, TableGuard::Absent).await.map(|()| Vec::new()),
            false => scan_and_write(shared).await,
        };
        match registered {
            Ok(places) => {
                monitor.record_success();
                routed.overlay.lock().add_known_entries(places.into_iter());
                return;
            }
            Err(error) => monitor.record_failure(&error),
        }
        let wait_ms = rand::rng().random_range(RETRY_DELAY_MS) << doublings;
        doublings = (doublings + 1).min(MAX_DOUBLINGS);
        Timer::after(Duration::from_millis(wait_ms)).await;
    }
}

/// Writes this entry's row. A conflict means that the row already exists, so it is no error.
async fn write_row(shared: &EntryShared, guard: TableGuard) -> Result<(), StoreError> {
    let place = &shared.settings.place;
    let inner = shared.settings.listen.inner;
    let (key, value) = EntryRow::encode(inner, &place.instance, &place.region);
    shared.table.write(&[TableWrite { key, guard, value }], true).await?;
    Ok(())
}

async fn scan_and_write(
    shared: &EntryShared,
) -> Result<Vec<(SocketAddr, Option<RegionName>)>, StoreError> {
    let table = shared.table.as_ref();
    let rows = table.scan(ENTRY_KEY_PREFIX).await?;
    let places: Vec<_> =
        rows.iter().filter_map(EntryRow::decode).map(|row| (row.inner_addr, row.region)).collect();
    let inner = shared.settings.listen.inner;
    if places.iter().any(|(addr, region)| *addr == inner && region.is_some()) {
        return Ok(places);
    }
    let place = &shared.settings.place;
    let (key, _) = EntryRow::encode(inner, &place.instance, &place.region);
    let known = rows.iter().find(|row| row.key == key);
    let guard = known.map_or(TableGuard::Absent, |row| TableGuard::Revision(row.revision));
    write_row(shared, guard).await?;
    Ok(places)
}
