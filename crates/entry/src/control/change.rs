//! Changing presets in the table service.
//!
//! Putting a preset in force writes three rows in one transaction: `force`,
//! guarded by the revision that was read; `change/<revision>`, the history;
//! and `change-id/<id>`, by which a change whose answer was lost is found
//! again and never made twice.

use std::sync::Arc;

use cassiawheel_model::{
    ChangeId, ForcedPreset, OperatorName, PresetContent, PresetName, PresetRevision, Timestamp,
    record,
};
use cassiawheel_platform::{
    StoreError, TableGuard, TableRow, TableStore, TableWrite, WeightError, WriteVerdict,
};
use macro_rules_attribute::apply;

use super::{
    poll::{FORCE_ROW, read_force},
    spread,
};
use crate::shared::EntryShared;

/// What became of a change.
#[apply(record!)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub(crate) enum ChangeReply {
    /// In force as of this revision.
    Accepted {
        /// The change in the history.
        preset: Arc<ForcedPreset>,
    },
    /// Refused: another change won.
    Conflict {
        /// The change that won, if it could be read.
        winner: Option<Arc<ForcedPreset>>,
    },
    /// It took no effect and never will.
    NotAccepted {
        /// Why.
        detail: String,
    },
    /// It may have taken effect; ask again with the same change id.
    Unknown {
        /// The change id to ask again by.
        change: ChangeId,
        /// Why.
        detail: String,
    },
}

/// The row of a stored preset.
pub(crate) fn preset_row(name: &PresetName) -> String {
    format!("preset/{name}")
}

fn change_row(revision: PresetRevision) -> String {
    format!("change/{:020}", revision.0)
}

fn change_id_row(change: &ChangeId) -> String {
    format!("change-id/{change}")
}

/// Why a preset could not be stored or read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PresetError {
    /// The table service failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The version's manifest could not be pinned.
    #[error("services.{service}.version: the manifest of {version} cannot be read: {error}")]
    Manifest {
        /// The service.
        service: String,
        /// The version.
        version: String,
        /// What went wrong.
        error: WeightError,
    },
    /// The row is not a preset.
    #[error("the stored preset is damaged: {0}")]
    Damaged(String),
    /// There is no such preset.
    #[error("there is no preset {0}")]
    Missing(PresetName),
    /// Another operator changed the preset at the same time.
    #[error("another operator changed the preset at the same time; read it and try again")]
    Conflict,
}

/// Pins the manifest of each model version, so that the version's bytes cannot change later.
pub(crate) async fn pin_manifests(
    shared: &EntryShared,
    content: &mut PresetContent,
) -> Result<(), PresetError> {
    for (service, target) in &mut content.services {
        let Some(version) = target.version.as_ref().filter(|_| target.manifest.is_none()) else {
            continue;
        };
        let manifest = shared.origin.manifest(version).await.map_err(|error| {
            let (service, version) = (service.to_string(), version.to_string());
            PresetError::Manifest { service, version, error }
        })?;
        target.manifest = Some(manifest.digest);
    }
    Ok(())
}

/// Stores a preset without putting it in force.
pub(crate) async fn put_preset(
    table: &dyn TableStore,
    name: &PresetName,
    content: &PresetContent,
) -> Result<u64, PresetError> {
    let key = preset_row(name);
    let guard = match table.read(&key).await? {
        Some(row) => TableGuard::Revision(row.revision),
        None => TableGuard::Absent,
    };
    let value = to_value(content)?;
    match table.write(&[TableWrite { key, guard, value }], true).await?.pop() {
        Some(WriteVerdict::Written(revision)) => Ok(revision),
        _ => Err(PresetError::Conflict),
    }
}

/// Reads a stored preset.
pub(crate) async fn get_preset(
    table: &dyn TableStore,
    name: &PresetName,
) -> Result<PresetContent, PresetError> {
    let row = table.read(&preset_row(name)).await?;
    let row = row.ok_or_else(|| PresetError::Missing(name.clone()))?;
    serde_json::from_value(row.value).map_err(|error| PresetError::Damaged(error.to_string()))
}

/// All changes of the preset in force, oldest first.
pub(crate) async fn history(table: &dyn TableStore) -> Result<Vec<ForcedPreset>, PresetError> {
    let rows = table.scan("change/").await?;
    let parse = |row: TableRow| serde_json::from_value(row.value);
    rows.into_iter()
        .map(parse)
        .collect::<Result<_, _>>()
        .map_err(|error| PresetError::Damaged(error.to_string()))
}

/// Puts the stored preset `name` in force.
pub(crate) async fn force_preset(
    shared: &EntryShared,
    name: &PresetName,
    change: &ChangeId,
    operator: &OperatorName,
) -> Result<ChangeReply, PresetError> {
    let table = shared.table.as_ref();
    if let Some(done) = find_change(table, change).await? {
        return Ok(ChangeReply::Accepted { preset: done });
    }
    let content = get_preset(table, name).await?;
    let current = read_force(table).await?;
    let (revision, guard) = match &current {
        Some((preset, row)) => (preset.revision.0 + 1, TableGuard::Revision(*row)),
        None => (1, TableGuard::Absent),
    };
    let preset = Arc::new(ForcedPreset {
        revision: PresetRevision(revision),
        preset: name.clone(),
        content,
        change: change.clone(),
        operator: operator.clone(),
        changed_at: Timestamp::now(),
    });
    let reply = write_change(table, &preset, guard).await?;
    if let ChangeReply::Accepted { preset } = &reply {
        spread::adopt(shared, preset);
    }
    Ok(reply)
}

async fn write_change(
    table: &dyn TableStore,
    preset: &Arc<ForcedPreset>,
    guard: TableGuard,
) -> Result<ChangeReply, PresetError> {
    let value = to_value(preset.as_ref())?;
    let new_row = |key| TableWrite { key, guard: TableGuard::Absent, value: value.clone() };
    let writes = [
        TableWrite { key: FORCE_ROW.to_owned(), guard, value: value.clone() },
        new_row(change_row(preset.revision)),
        new_row(change_id_row(&preset.change)),
    ];
    match table.write(&writes, true).await {
        Ok(verdicts) if verdicts.iter().all(|v| matches!(v, WriteVerdict::Written(_))) => {
            Ok(ChangeReply::Accepted { preset: preset.clone() })
        }
        Ok(_) => conflict_reply(table, preset).await,
        Err(StoreError::Unknown(detail)) => Ok(lost_answer_reply(table, preset, detail).await),
        Err(error) => Ok(ChangeReply::NotAccepted { detail: error.to_string() }),
    }
}

async fn conflict_reply(
    table: &dyn TableStore,
    preset: &ForcedPreset,
) -> Result<ChangeReply, PresetError> {
    if let Some(done) = find_change(table, &preset.change).await? {
        return Ok(ChangeReply::Accepted { preset: done });
    }
    let winner = read_force(table).await?.map(|(winner, _)| Arc::new(winner));
    Ok(ChangeReply::Conflict { winner })
}

/// Looks for a change whose answer was lost.
///
/// Finding it proves that it took effect. Not finding it proves nothing, since
/// the write may still be on its way; the operator asks again by the id.
async fn lost_answer_reply(
    table: &dyn TableStore,
    preset: &ForcedPreset,
    detail: String,
) -> ChangeReply {
    match find_change(table, &preset.change).await {
        Ok(Some(done)) => ChangeReply::Accepted { preset: done },
        Ok(None) | Err(_) => ChangeReply::Unknown { change: preset.change.clone(), detail },
    }
}

async fn find_change(
    table: &dyn TableStore,
    change: &ChangeId,
) -> Result<Option<Arc<ForcedPreset>>, PresetError> {
    let Some(row) = table.read(&change_id_row(change)).await? else {
        return Ok(None);
    };
    let preset = serde_json::from_value(row.value)
        .map_err(|error| PresetError::Damaged(error.to_string()))?;
    Ok(Some(Arc::new(preset)))
}

fn to_value(value: &impl serde::Serialize) -> Result<serde_json::Value, PresetError> {
    serde_json::to_value(value).map_err(|error| PresetError::Damaged(error.to_string()))
}
