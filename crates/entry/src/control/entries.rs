//! Getting to know the other entries.
//!
//! The settings name some that may have moved since. Each entry leaves its
//! address in a row of the platform's store, and entries tell each other and
//! the agents whom they know.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cassiawheel_edge::{ENTRY_ROWS, StoreError, TableGuard, TableStore, TableWrite};
use cassiawheel_runtime::spawn;
use cassiawheel_wire::ControlMessage;
use rand::Rng;
use smol::Timer;

use super::{dependency::DependencyWatch, spread};
use crate::{routed::RoutedInterface, shared::EntryShared};

/// Waits after a failed call, in milliseconds; drawn anew each time.
const AGAIN_MS: std::ops::Range<u64> = 300..900;

/// Leaves this entry's address in the store and gets to know those that did so before.
pub(crate) async fn register(shared: Arc<EntryShared>, routed: Arc<RoutedInterface>) {
    let seeds = shared.settings.peers.clone();
    meet(&shared, &routed, &seeds);
    let mut watch = DependencyWatch::new("registry");
    loop {
        match write_and_scan(&shared).await {
            Ok(addrs) => {
                watch.regained();
                meet(&shared, &routed, &addrs);
                return;
            }
            Err(error) => watch.lost(&error),
        }
        let wait = rand::rng().random_range(AGAIN_MS);
        Timer::after(Duration::from_millis(wait)).await;
    }
}

async fn write_and_scan(shared: &EntryShared) -> Result<Vec<SocketAddr>, StoreError> {
    let table = shared.table.as_ref();
    let addrs = read_entries(table).await?;
    let inner = shared.settings.listen.inner;
    if addrs.contains(&inner) {
        return Ok(addrs);
    }
    let key = format!("{ENTRY_ROWS}{inner}");
    let value = serde_json::Value::String(shared.settings.place.instance.to_string());
    // A conflict means that the row is there already, which is all that is wanted.
    table.write(&[TableWrite { key, guard: TableGuard::Absent, value }], true).await?;
    Ok(addrs)
}

async fn read_entries(table: &dyn TableStore) -> Result<Vec<SocketAddr>, StoreError> {
    let rows = table.scan(ENTRY_ROWS).await?;
    let keys = rows.iter().filter_map(|row| row.key.strip_prefix(ENTRY_ROWS));
    Ok(keys.filter_map(|addr| addr.parse().ok()).collect())
}

/// Gets to know the entries at `addrs`: connects to them and tells the others.
pub(crate) fn meet(shared: &Arc<EntryShared>, routed: &RoutedInterface, addrs: &[SocketAddr]) {
    let fresh = routed.note_entries(addrs, shared.settings.listen.inner);
    if fresh.is_empty() {
        return;
    }
    for addr in &fresh {
        spawn(spread::keep_peer(shared.clone(), *addr)).detach();
    }
    let message = ControlMessage::Entries(fresh);
    spread::send_to_peers(shared, &message);
    for link in shared.links.load().values() {
        let _ = link.sender.try_send(message.clone());
    }
}
