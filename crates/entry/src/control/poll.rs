//! Reading the preset in force from the table service.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_model::{ForcedPreset, PresetRevision, Timestamp};
use cassiawheel_platform::{StoreError, TableStore};
use rand::Rng;
use smol::Timer;

use super::spread;
use crate::shared::EntryShared;

/// The row of the preset in force.
pub(crate) const FORCE_ROW: &str = "force";

/// The preset in force and the revision of its row.
pub(crate) async fn read_force(
    table: &dyn TableStore,
) -> Result<Option<(ForcedPreset, u64)>, StoreError> {
    let Some(row) = table.read(FORCE_ROW).await? else {
        return Ok(None);
    };
    let preset = serde_json::from_value(row.value)
        .map_err(|error| StoreError::Unknown(format!("the row {FORCE_ROW} is damaged: {error}")))?;
    Ok(Some((preset, row.revision)))
}

/// Reads the preset in force again and again.
pub(crate) async fn poll_force(shared: Arc<EntryShared>) {
    loop {
        shared.metrics.store_reads.inc();
        match read_force(shared.table.as_ref()).await {
            Ok(found) => {
                shared.store_read_at.store(Timestamp::now().0, Ordering::Relaxed);
                if let Some((preset, _)) = found {
                    spread::adopt(&shared, &Arc::new(preset));
                }
            }
            Err(error) => {
                shared.metrics.store_failures.inc();
                let revision = shared.force.load().as_ref().map(|p| p.revision).unwrap_or_default();
                let PresetRevision(revision) = revision;
                log::warn!(target: "preset", revision = revision, cause:% = error; "The table service cannot be read.");
            }
        }
        Timer::after(jittered(shared.settings.control.poll_ms)).await;
    }
}

/// `base_ms` less or more a quarter, so that entries do not poll in step.
fn jittered(base_ms: u64) -> Duration {
    let quarter = base_ms / 4;
    Duration::from_millis(rand::rng().random_range(base_ms - quarter..=base_ms + quarter))
}
