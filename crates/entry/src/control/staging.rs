//! Staging a preset before it is activated.
//!
//! One row names the preset to stage. Entries read it together with the active preset; endpoints
//! stage its weights while they continue to serve.

use std::sync::{Arc, atomic::Ordering};

use cassiawheel_edge::{TableGuard, TableRow, TableStore, TableWrite, WriteOutcome};
use cassiawheel_model::{
    OperatorName, PresetContent, PresetName, PresetRevision, Timestamp, record,
};
use macro_rules_attribute::apply;

use super::change::{PresetError, get_preset, to_value};
use crate::shared::EntryShared;

/// Key of the row with the preset to stage; it shares its prefix with the active preset's row.
pub(crate) const STAGING_ROW: &str = "force/ahead";

/// A preset to stage ahead of its activation.
#[apply(record!)]
pub(crate) struct StagedPreset {
    /// Name of the preset.
    pub(crate) preset: PresetName,
    /// Content of the preset when it was staged.
    pub(crate) content: PresetContent,
    /// Revision that was active when the preset was staged; staging ends with the next revision.
    ///
    /// Otherwise endpoints would fetch the versions that they have just replaced.
    pub(crate) base: PresetRevision,
    /// Operator who staged it.
    pub(crate) operator: OperatorName,
    /// Time at which it was staged.
    pub(crate) staged_at: Timestamp,
}

/// The row that names the preset to stage.
pub(crate) struct StagingRow {
    /// Revision of the row; a stale read has a lower one.
    row_revision: u64,
    /// The preset to stage.
    pub(crate) staged: StagedPreset,
}

/// Returns the preset to stage while its base revision is active.
pub(crate) fn current_staging(shared: &EntryShared) -> Option<Arc<StagingRow>> {
    let revision = shared.active_preset.load().as_ref().map(|preset| preset.revision);
    shared.staging.load_full().filter(|row| Some(row.staged.base) == revision)
}

/// Requests that all endpoints of its services stage the stored preset `name`.
pub(crate) async fn stage_preset(
    shared: &EntryShared,
    name: &PresetName,
    operator: &OperatorName,
) -> Result<StagedPreset, PresetError> {
    let table = shared.table.as_ref();
    let content = get_preset(table, name).await?;
    let staged = StagedPreset {
        preset: name.clone(),
        content,
        base: shared.known_revision(),
        operator: operator.clone(),
        staged_at: Timestamp::now(),
    };
    let row_revision = write_row(table, &staged).await?;
    log::info!(target: "preset", preset:% = name, operator:% = operator; "Staging a preset.");
    keep_newest(shared, StagingRow { row_revision, staged: staged.clone() });
    Ok(staged)
}

async fn write_row(table: &dyn TableStore, staged: &StagedPreset) -> Result<u64, PresetError> {
    let guard = match table.read(STAGING_ROW).await? {
        Some(row) => TableGuard::Revision(row.revision),
        None => TableGuard::Absent,
    };
    let write = TableWrite { key: STAGING_ROW.to_owned(), guard, value: to_value(staged)? };
    match table.write(&[write], true).await?.pop() {
        Some(WriteOutcome::Written(revision)) => Ok(revision),
        _ => Err(PresetError::Conflict),
    }
}

/// Applies the row that a poll has read.
pub(crate) fn apply_row(shared: &EntryShared, row: Option<TableRow>) {
    let Some(row) = row else {
        return;
    };
    let row_revision = row.revision;
    match serde_json::from_value(row.value) {
        Ok(staged) => keep_newest(shared, StagingRow { row_revision, staged }),
        Err(error) => {
            log::error!(target: "preset", cause:% = error; "Cannot decode the preset to stage.");
        }
    }
}

/// Keeps the newer row, so that a stale read does not restore an earlier one.
fn keep_newest(shared: &EntryShared, row: StagingRow) {
    let row = Arc::new(row);
    shared.staging.rcu(|known| match known {
        Some(known) if known.row_revision >= row.row_revision => Some(known.clone()),
        _ => Some(row.clone()),
    });
    shared.plan_stale.store(true, Ordering::Release);
}
