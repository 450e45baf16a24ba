//! Reading the preset in force from the table service.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_decide::ForceRow;
use cassiawheel_model::{PresetRevision, Timestamp};
use cassiawheel_platform::{StoreError, TableStore};
use rand::Rng;
use smol::Timer;

use super::spread;
use crate::shared::EntryShared;

/// The row of the preset in force.
pub(crate) const FORCE_ROW: &str = "force";

/// The row of the preset in force.
pub(crate) async fn read_force(table: &dyn TableStore) -> Result<Option<ForceRow>, StoreError> {
    let Some(row) = table.read(FORCE_ROW).await? else {
        return Ok(None);
    };
    let preset = serde_json::from_value(row.value)
        .map_err(|error| StoreError::Unknown(format!("the row {FORCE_ROW} is damaged: {error}")))?;
    Ok(Some(ForceRow { preset: Arc::new(preset), row_revision: row.revision }))
}

/// Reads the preset in force again and again.
pub(crate) async fn poll_force(shared: Arc<EntryShared>) {
    loop {
        shared.metrics.store_reads.inc();
        match read_force(shared.table.as_ref()).await {
            Ok(found) => {
                shared.store_read_at.store(Timestamp::now().0, Ordering::Relaxed);
                if let Some(row) = found {
                    warn_of_older(&shared, row.preset.revision);
                    spread::adopt(&shared, &row.preset);
                }
            }
            Err(error) => {
                shared.metrics.store_failures.inc();
                let revision = shared.force.load().as_ref().map(|p| p.revision).unwrap_or_default();
                let PresetRevision(revision) = revision;
                log::warn!(target: "preset", revision = revision, cause:% = error; "The table service cannot be read.");
            }
        }
        shared.start_hold().heard(shared.settings.platform.table);
        Timer::after(jittered(shared.settings.control.poll_ms)).await;
    }
}

/// Tells operators that the table service answers from an earlier state.
fn warn_of_older(shared: &EntryShared, stored: PresetRevision) {
    let known = shared.known_revision();
    if stored < known {
        log::warn!(target: "preset", stored = stored.0, known = known.0; "The table service has an older preset than this entry.");
    }
}

/// `base_ms` less or more a quarter, so that entries do not poll in step.
fn jittered(base_ms: u64) -> Duration {
    let quarter = base_ms / 4;
    Duration::from_millis(rand::rng().random_range(base_ms - quarter..=base_ms + quarter))
}
