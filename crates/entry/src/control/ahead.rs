//! Staging a preset ahead of its being put in force.
//!
//! One row names the preset to stage. Entries read it together with the preset
//! in force; the endpoints stage its weights while they go on serving.

use std::sync::Arc;

use cassiawheel_model::{OperatorName, PresetContent, PresetName, Timestamp, record};
use cassiawheel_platform::{TableGuard, TableRow, TableStore, TableWrite, WriteVerdict};
use macro_rules_attribute::apply;

use super::change::{PresetError, get_preset, to_value};
use crate::shared::EntryShared;

/// The row of the preset to stage; it shares the prefix of the preset in force.
pub(crate) const AHEAD_ROW: &str = "force/ahead";

/// A preset to stage ahead.
#[apply(record!)]
pub(crate) struct StagedPreset {
    /// The preset's name.
    pub(crate) preset: PresetName,
    /// Its content when it was staged.
    pub(crate) content: PresetContent,
    /// Who staged it.
    pub(crate) operator: OperatorName,
    /// When.
    pub(crate) staged_at: Timestamp,
}

/// Has the stored preset `name` staged by all endpoints of its services.
pub(crate) async fn stage_preset(
    shared: &EntryShared,
    name: &PresetName,
    operator: &OperatorName,
) -> Result<Arc<StagedPreset>, PresetError> {
    let table = shared.table.as_ref();
    let content = get_preset(table, name).await?;
    let staged = Arc::new(StagedPreset {
        preset: name.clone(),
        content,
        operator: operator.clone(),
        staged_at: Timestamp::now(),
    });
    write_row(table, &staged).await?;
    log::info!(target: "preset", preset:% = name, operator:% = operator; "A preset is to be staged.");
    take(shared, Some(staged.clone()));
    Ok(staged)
}

async fn write_row(table: &dyn TableStore, staged: &StagedPreset) -> Result<(), PresetError> {
    let guard = match table.read(AHEAD_ROW).await? {
        Some(row) => TableGuard::Revision(row.revision),
        None => TableGuard::Absent,
    };
    let write = TableWrite { key: AHEAD_ROW.to_owned(), guard, value: to_value(staged)? };
    match table.write(&[write], true).await?.pop() {
        Some(WriteVerdict::Written(_)) => Ok(()),
        _ => Err(PresetError::Conflict),
    }
}

/// Takes the row that a poll found.
pub(crate) fn take_row(shared: &EntryShared, row: Option<TableRow>) {
    let Some(row) = row else {
        return;
    };
    match serde_json::from_value(row.value) {
        Ok(staged) => take(shared, Some(Arc::new(staged))),
        Err(error) => {
            log::error!(target: "preset", cause:% = error; "The preset to stage is damaged.");
        }
    }
}

/// Keeps the newest; a stale read must not bring an earlier one back.
fn take(shared: &EntryShared, staged: Option<Arc<StagedPreset>>) {
    let known = shared.ahead.load_full().map(|known| known.staged_at);
    if staged.as_ref().map(|staged| staged.staged_at) > known {
        shared.ahead.store(staged);
        shared.plan_stale.store(true, std::sync::atomic::Ordering::Release);
    }
}
