//! Discovery of other entries through the table service.
//!
//! The addresses in the settings may be out of date. Each entry therefore stores its address and
//! region in a row.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cassiawheel_edge::{ENTRY_KEY_PREFIX, EntryRow, StoreError, TableGuard, TableWrite};
use cassiawheel_model::RegionName;
use rand::Rng;
use smol::Timer;

use super::dependency::DependencyMonitor;
use crate::{routed::RoutedState, shared::EntryShared};

/// Random delay before a failed call is retried, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 300..900;

/// Stores this entry's address and records the addresses that other entries have stored.
pub(crate) async fn register(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    let mut monitor = DependencyMonitor::new("registry");
    loop {
        match scan_and_write(&shared).await {
            Ok(places) => {
                monitor.record_success();
                routed.overlay.lock().add_known_entries(places.into_iter());
                return;
            }
            Err(error) => monitor.record_failure(&error),
        }
        let wait = rand::rng().random_range(RETRY_DELAY_MS);
        Timer::after(Duration::from_millis(wait)).await;
    }
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
    let (key, value) = EntryRow::encode(inner, &place.instance, &place.region);
    let known = rows.iter().find(|row| row.key == key);
    let guard = known.map_or(TableGuard::Absent, |row| TableGuard::Revision(row.revision));
    // A conflict means that the row already exists, so it is no error.
    table.write(&[TableWrite { key, guard, value }], true).await?;
    Ok(places)
}
