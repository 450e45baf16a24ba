//! Staging a preset ahead of its being put in force.
//!
//! One row names the preset to stage. Entries read it together with the preset
//! in force; the endpoints stage its weights while they go on serving.

use std::sync::{Arc, atomic::Ordering};

use cassiawheel_edge::{TableGuard, TableRow, TableStore, TableWrite, WriteOutcome};
use cassiawheel_model::{
    OperatorName, PresetContent, PresetName, PresetRevision, Timestamp, record,
};
use macro_rules_attribute::apply;

use super::change::{PresetError, get_preset, to_value};
use crate::shared::EntryShared;

/// The row of the preset to stage; it shares the prefix of the preset in force.
pub(crate) const STAGING_ROW: &str = "force/ahead";

/// A preset to stage ahead.
#[apply(record!)]
pub(crate) struct StagedPreset {
    /// The preset's name.
    pub(crate) preset: PresetName,
    /// Its content when it was staged.
    pub(crate) content: PresetContent,
    /// The revision in force when it was staged; with the next one it ends.
    ///
    /// Without it endpoints would fetch what they have just moved on from.
    pub(crate) base: PresetRevision,
    /// Who staged it.
    pub(crate) operator: OperatorName,
    /// When.
    pub(crate) staged_at: Timestamp,
}

/// The row that names the preset to stage.
pub(crate) struct StagingRow {
    /// The row's revision; a stale read has a lower one.
    row_revision: u64,
    /// The preset.
    pub(crate) staged: StagedPreset,
}

/// The preset that is staged ahead now, if there is one.
pub(crate) fn current_staging(shared: &EntryShared) -> Option<Arc<StagingRow>> {
    let revision = shared.active_preset.load().as_ref().map(|preset| preset.revision);
    shared.staging.load_full().filter(|row| Some(row.staged.base) == revision)
}

/// Has the stored preset `name` staged by all endpoints of its services.
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
    log::info!(target: "preset", preset:% = name, operator:% = operator; "A preset is to be staged.");
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

/// Takes the row that a poll found.
pub(crate) fn apply_row(shared: &EntryShared, row: Option<TableRow>) {
    let Some(row) = row else {
        return;
    };
    let row_revision = row.revision;
    match serde_json::from_value(row.value) {
        Ok(staged) => keep_newest(shared, StagingRow { row_revision, staged }),
        Err(error) => {
            log::error!(target: "preset", cause:% = error; "The preset to stage is damaged.");
        }
    }
}

/// Keeps the newest; a stale read must not bring an earlier one back.
fn keep_newest(shared: &EntryShared, row: StagingRow) {
    let row = Arc::new(row);
    shared.staging.rcu(|known| match known {
        Some(known) if known.row_revision >= row.row_revision => Some(known.clone()),
        _ => Some(row.clone()),
    });
    shared.plan_stale.store(true, Ordering::Release);
}
