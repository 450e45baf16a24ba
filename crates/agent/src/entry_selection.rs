//! Finds candidate entries and keeps connections to the chosen ones.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use cassiawheel_decide::{rank::subject_of, same_region_or_all};
use cassiawheel_edge::{ENTRY_KEY_PREFIX, EntryRow, StoreError};
use cassiawheel_model::Timestamp;
use cassiawheel_runtime::{spawn, timeout};
use cassiawheel_wire::{ControlMessage, WireMessage, connect};
use rand::{Rng, seq::SliceRandom};
use smol::{Task, Timer};

use crate::{endpoint::EndpointShared, entry_link::maintain_connection};

/// Interval at which the choice is checked even without a signal of a change.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a query for the candidates known to one entry.
const QUERY_TIMEOUT: Duration = Duration::from_millis(600);

/// Range of the random delay before the seeds are queried again, in milliseconds.
const RETRY_MS: std::ops::Range<u64> = 50..150;

/// Rounds of queries to the seeds after which the table service is read instead.
const SEED_ROUNDS: u32 = 3;

/// Keeps connections to the chosen entries open; never returns.
pub(crate) async fn maintain_connections(shared: Arc<EndpointShared>) {
    let subject = subject_of(shared.settings.place.instance.as_str());
    let mut kept: BTreeMap<SocketAddr, Task<()>> = BTreeMap::new();
    loop {
        if shared.entry_selector().is_empty() {
            find_entries(&shared).await;
        }
        let count = shared.settings.entry_links;
        let chosen = shared.entry_selector().select(subject, count, Timestamp::now());
        if chosen.is_empty() {
            // No candidate can be reached; look for new ones.
            shared.entry_selector().clear();
            continue;
        }
        for addr in &chosen {
            let is_kept = kept.get(addr).is_some_and(|task| !task.is_finished());
            if !is_kept {
                kept.insert(*addr, spawn(maintain_connection(shared.clone(), *addr)));
            }
        }
        // Surplus connections are closed only once a chosen entry is connected.
        let connected = open_addrs(&shared);
        if chosen.iter().any(|addr| connected.contains(addr)) {
            let surplus: Vec<_> =
                kept.keys().copied().filter(|addr| !chosen.contains(addr)).collect();
            for addr in surplus {
                kept.remove(&addr);
                disconnect(&shared, addr);
            }
        }
        timeout(CHECK_INTERVAL, shared.entries_changed()).await;
    }
}

fn open_addrs(shared: &EndpointShared) -> Vec<SocketAddr> {
    let entries = shared.entries();
    let open = entries.iter().filter(|entry| !entry.sender.is_closed());
    open.map(|entry| entry.addr).collect()
}

fn disconnect(shared: &EndpointShared, addr: SocketAddr) {
    shared.entries().retain(|entry| {
        let stays = entry.addr != addr;
        if !stays {
            entry.sender.close();
        }
        stays
    });
    shared.transfer.remove_peers_from(addr);
}

/// Sets the candidates from the first seed that answers, else from the table service.
async fn find_entries(shared: &Arc<EndpointShared>) {
    for _ in 0..SEED_ROUNDS {
        let mut seeds = shared.settings.entries.clone();
        seeds.shuffle(&mut rand::rng());
        for seed in seeds {
            let addrs = timeout(QUERY_TIMEOUT, query_entry(shared, seed)).await.flatten();
            if let Some(addrs) = addrs.filter(|addrs| !addrs.is_empty()) {
                shared.entry_selector().set_candidates(addrs);
                return;
            }
        }
        let wait = rand::rng().random_range(RETRY_MS);
        Timer::after(Duration::from_millis(wait)).await;
    }
    match read_entry_rows(shared).await {
        Ok(addrs) => {
            log::info!(target: "link", entries = addrs.len(); "Looked entries up.");
            shared.entry_selector().set_candidates(addrs);
        }
        Err(error) => {
            log::warn!(target: "link", cause:% = error; "Entries cannot be looked up.");
        }
    }
}

/// Addresses of the registered entries in this agent's region; of all entries if it has none.
async fn read_entry_rows(shared: &EndpointShared) -> Result<Vec<SocketAddr>, StoreError> {
    let rows = shared.table.scan(ENTRY_KEY_PREFIX).await?;
    let rows: Vec<_> = rows.iter().filter_map(EntryRow::decode).collect();
    let places = rows.iter().map(|row| (row.inner_addr, row.region.as_ref()));
    Ok(same_region_or_all(&shared.settings.place.region, places))
}

async fn query_entry(shared: &EndpointShared, addr: SocketAddr) -> Option<Vec<SocketAddr>> {
    let local = Some(shared.settings.listen_inner.ip());
    let (sender, mut receiver) = connect(addr, &shared.settings.inner_key, local).await.ok()?;
    sender.send(shared.hello()).await.ok()?;
    let region = shared.settings.place.region.clone();
    sender.send(ControlMessage::EntriesWanted { region }).await.ok()?;
    let mut candidates = None;
    while let Ok(message) = receiver.recv().await {
        if let WireMessage::Control(ControlMessage::Entries(addrs)) = message {
            candidates = Some(addrs);
            break;
        }
    }
    sender.close();
    candidates
}
