//! Quarantined requests in the table service.
//!
//! Entries exchange barred (quarantined) requests by gossip. The row serves entries that start when
//! no other entry is left.

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::FeedRole;
use cassiawheel_edge::{StoreError, TableGuard, TableStore, TableWrite, WriteOutcome};
use cassiawheel_model::{CrashEvent, CrashRecord, QuarantinedRequest, Timestamp};
use cassiawheel_runtime::timeout;

use crate::{routed::RoutedState, shared::EntryShared};

/// Key of the row with all barred requests.
const BARRED_ROW: &str = "quarantine";

/// Time after the start in which links to other entries are opened.
///
/// After that, only the few entries that follow the operators' rows read the row.
const LINK_SETUP_TIME: Duration = Duration::from_secs(1);

/// Interval between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the barred requests once after the start, adds those found by own runs, and stores all of
/// them again when the store has returned from a copy that may lack them.
pub(crate) async fn sync_barred(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    let read_at = Timestamp::now().deadline_after(LINK_SETUP_TIME);
    let (mut is_read, mut is_due) = (false, false);
    let mut stored_era = 0;
    loop {
        is_due |= timeout(RETRY_INTERVAL, routed.crashes.await_own_barred()).await.is_some();
        let era = routed.listing().era();
        let is_new_era = stored_era > 0 && era > stored_era;
        stored_era = era;
        is_due |=
            is_new_era && !routed.crashes.is_empty() && routed.feed_role() == FeedRole::Follow;
        if !is_read && read_at.is_past(Timestamp::now()) {
            is_read = routed.feed_role() != FeedRole::Follow || read_barred(&shared, &routed).await;
        }
        if is_due {
            is_due = !add_barred(&shared, &routed).await;
        }
    }
}

/// Applies the barred requests from the row; false if it cannot be read.
async fn read_barred(shared: &EntryShared, routed: &RoutedState) -> bool {
    let stored = match stored_barred(shared.table.as_ref()).await {
        Ok((_, stored)) => stored,
        Err(error) => {
            log::warn!(target: "quarantine", cause:% = error; "Cannot read the quarantined requests.");
            return false;
        }
    };
    let now = Timestamp::now();
    let rows = stored.iter().map(|bar| CrashRecord {
        digest: bar.digest,
        event: CrashEvent::Barred,
        age_ms: now.since(bar.ended_at).as_millis() as u32,
    });
    let mut rows: Vec<_> = rows.collect();
    let mut state = routed.overlay.lock();
    rows.retain(|row| state.crashes.record(*row, None, now));
    routed.crashes.apply_rows(&state.crashes, &rows, None);
    drop(state);
    routed.overlay.notify_change();
    true
}

/// Adds barred requests that the row lacks; false if another try is needed.
async fn add_barred(shared: &EntryShared, routed: &RoutedState) -> bool {
    match try_add(shared, routed).await {
        Ok(is_done) => is_done,
        Err(error) => {
            log::warn!(target: "quarantine", cause:% = error; "Cannot store the quarantined requests.");
            false
        }
    }
}

async fn try_add(shared: &EntryShared, routed: &RoutedState) -> Result<bool, StoreError> {
    let table = shared.table.as_ref();
    let (guard, stored) = stored_barred(table).await?;
    let barred = routed.overlay.lock().crashes.bars_to_persist(&stored, Timestamp::now());
    let Some(barred) = barred else {
        return Ok(true);
    };
    let value = serde_json::to_value(&barred).map_err(|e| StoreError::NoEffect(e.to_string()))?;
    let write = TableWrite { key: BARRED_ROW.to_owned(), guard, value };
    let verdict = table.write(&[write], true).await?.pop();
    Ok(matches!(verdict, Some(WriteOutcome::Written(_))))
}

async fn stored_barred(
    table: &dyn TableStore,
) -> Result<(TableGuard, Vec<QuarantinedRequest>), StoreError> {
    let Some(row) = table.read(BARRED_ROW).await? else {
        return Ok((TableGuard::Absent, Vec::new()));
    };
    let barred = serde_json::from_value(row.value).unwrap_or_else(|error| {
        log::error!(target: "quarantine", cause:% = error; "The row of quarantined requests cannot be decoded and will be replaced.");
        Vec::new()
    });
    Ok((TableGuard::Revision(row.revision), barred))
}
