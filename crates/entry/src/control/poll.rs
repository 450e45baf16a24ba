//! Polling the active preset from the table service.

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::{ForceRow, budget::poll_backoff_ms};
use cassiawheel_edge::{StoreError, TableRow, TableStore};
use cassiawheel_model::PresetRevision;
use rand::Rng;
use smol::Timer;

use super::{
    peers,
    staging::{self, STAGING_ROW},
};
use crate::shared::EntryShared;

/// Key of the row with the active preset.
pub(crate) const FORCE_ROW: &str = "force";

/// Reads the row with the active preset.
pub(crate) async fn read_force(table: &dyn TableStore) -> Result<Option<ForceRow>, StoreError> {
    table.read(FORCE_ROW).await?.map(parse_force).transpose()
}

fn parse_force(row: TableRow) -> Result<ForceRow, StoreError> {
    let preset = serde_json::from_value(row.value)
        .map_err(|error| StoreError::Unknown(format!("cannot decode row {FORCE_ROW}: {error}")))?;
    Ok(ForceRow { preset: Arc::new(preset), row_revision: row.revision })
}

/// Rows that one poll reads.
struct PolledRows {
    force: Option<ForceRow>,
    ahead: Option<TableRow>,
}

async fn read_rows(table: &dyn TableStore) -> Result<PolledRows, StoreError> {
    let mut rows = PolledRows { force: None, ahead: None };
    for row in table.scan(FORCE_ROW).await? {
        match row.key.as_str() {
            FORCE_ROW => rows.force = Some(parse_force(row)?),
            STAGING_ROW => rows.ahead = Some(row),
            _ => {}
        }
    }
    Ok(rows)
}

/// Polls the active preset; runs until the process ends.
pub(crate) async fn poll_force(shared: Arc<EntryShared>) {
    let mut failures = 0;
    loop {
        match read_rows(shared.table.as_ref()).await {
            Ok(rows) => {
                failures = 0;
                staging::apply_row(&shared, rows.ahead);
                if let Some(row) = rows.force {
                    warn_if_older(&shared, row.preset.revision);
                    peers::adopt(&shared, &row.preset);
                }
            }
            Err(error) => {
                failures += 1;
                let revision =
                    shared.active_preset.load().as_ref().map(|p| p.revision).unwrap_or_default();
                let PresetRevision(revision) = revision;
                log::warn!(target: "preset", revision = revision, cause:% = error; "The table service cannot be read.");
            }
        }
        shared.start_hold().mark_answered(shared.settings.platform.table);
        let wait_ms = poll_backoff_ms(shared.settings.control.poll_ms, failures);
        Timer::after(jittered(wait_ms)).await;
    }
}

/// Logs a warning if the table service returned an earlier state.
fn warn_if_older(shared: &EntryShared, stored: PresetRevision) {
    let known = shared.known_revision();
    if stored < known {
        log::warn!(target: "preset", stored = stored.0, known = known.0; "The table service has an older preset than this entry.");
    }
}

/// Varies `base_ms` randomly by up to a quarter, so that entries do not poll in step.
fn jittered(base_ms: u64) -> Duration {
    let quarter = base_ms / 4;
    Duration::from_millis(rand::rng().random_range(base_ms - quarter..=base_ms + quarter))
}
