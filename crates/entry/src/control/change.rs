//! Storing presets and activating them through the table service.
//!
//! Activating a preset writes three rows in one transaction: `force`, guarded by the revision that
//! was read; `change/<revision>`, the history; and `change-id/<id>`, which identifies a change
//! whose response was lost, so that a retry does not apply it twice. `ChangeWriter` decides the
//! next step after each response of the table service.

use std::sync::Arc;

use cassiawheel_decide::{
    ChangeAnswer, ChangeOutcome, ChangeRecord, ChangeRequest, ChangeStep, ChangeWriter,
};
use cassiawheel_edge::{
    StoreError, TableGuard, TableRow, TableStore, TableWrite, WeightError, WriteOutcome,
};
use cassiawheel_model::{
    ChangeId, ForcedPreset, ManifestDigest, ModelVersion, PresetContent, PresetName,
    PresetRevision, ServiceName, Timestamp, record,
};
use macro_rules_attribute::apply;

use super::{
    peers,
    poll::{FORCE_ROW, read_force},
};
use crate::shared::EntryShared;

/// Key prefix of the rows that record changes by id.
const CHANGE_ID_PREFIX: &str = "change-id/";

/// Result of a change.
#[apply(record!)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub(crate) enum ChangeReply {
    /// The preset is active as of this revision.
    Accepted {
        /// The change as recorded in the history.
        preset: Arc<ForcedPreset>,
    },
    /// Refused because another change was applied first.
    Conflict {
        /// The change that was applied, if it could be read.
        winner: Option<Arc<ForcedPreset>>,
    },
    /// The change had no effect and never will.
    NotAccepted {
        /// Cause of the failure.
        detail: String,
    },
    /// The change may have taken effect; retry with the same change id.
    Unknown {
        /// Change id to retry with.
        change: ChangeId,
        /// Why the result is unknown.
        detail: String,
    },
}

/// Key of the row of a stored preset.
pub(crate) fn preset_row(name: &PresetName) -> String {
    format!("preset/{name}")
}

fn change_row(revision: PresetRevision) -> String {
    format!("change/{:020}", revision.0)
}

fn change_id_row(change: &ChangeId) -> String {
    format!("{CHANGE_ID_PREFIX}{change}")
}

/// Error while storing or reading a preset.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PresetError {
    /// The call of the table service failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The manifest of a version could not be read from the origin.
    #[error("services.{service}.version: the manifest of {version} cannot be read: {error}")]
    Manifest {
        /// Service that names the version.
        service: String,
        /// Version whose manifest is missing.
        version: String,
        /// Cause of the failure.
        error: WeightError,
    },
    /// The version name is already bound to a different manifest.
    #[error(
        "services.{service}.version: {version} stands for other bytes since it was first stored; publish them under a new name"
    )]
    VersionBound {
        /// Service that names the version.
        service: String,
        /// Version that is bound already.
        version: String,
    },
    /// The row does not contain a valid preset.
    #[error("the stored preset cannot be decoded: {0}")]
    Damaged(String),
    /// No preset with this name is stored.
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
        let Some(version) = &target.version else {
            continue;
        };
        let manifest = match target.manifest {
            Some(manifest) => manifest,
            None => origin_manifest(shared, service, version).await?,
        };
        if !bind_version(shared.table.as_ref(), version, manifest).await? {
            let (service, version) = (service.to_string(), version.to_string());
            return Err(PresetError::VersionBound { service, version });
        }
        target.manifest = Some(manifest);
    }
    Ok(())
}

async fn origin_manifest(
    shared: &EntryShared,
    service: &ServiceName,
    version: &ModelVersion,
) -> Result<ManifestDigest, PresetError> {
    let manifest = shared.origin.manifest(version).await.map_err(|error| {
        let (service, version) = (service.to_string(), version.to_string());
        PresetError::Manifest { service, version, error }
    })?;
    Ok(manifest.digest)
}

/// Binds `version` to `manifest` permanently; false if it is bound to another manifest.
///
/// Responses, requests and reports name a version, not its bytes. If one name were used for two
/// sets of bytes, an endpoint with the old bytes would count as ready, and a response would not
/// show which of them produced it.
async fn bind_version(
    table: &dyn TableStore,
    version: &ModelVersion,
    manifest: ManifestDigest,
) -> Result<bool, PresetError> {
    let key = format!("version/{version}");
    let value = to_value(&manifest)?;
    if let Some(row) = table.read(&key).await? {
        return Ok(row.value == value);
    }
    let write = TableWrite { key, guard: TableGuard::Absent, value: value.clone() };
    match table.write(&[write], true).await?.pop() {
        Some(WriteOutcome::Written(_)) => Ok(true),
        Some(WriteOutcome::Conflict(Some(row))) => Ok(row.value == value),
        _ => Err(PresetError::Conflict),
    }
}

/// Stores a preset without activating it.
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
        Some(WriteOutcome::Written(revision)) => Ok(revision),
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

/// Returns all changes of the active preset, oldest first.
pub(crate) async fn history(table: &dyn TableStore) -> Result<Vec<ForcedPreset>, PresetError> {
    let rows = table.scan("change/").await?;
    let parse = |row: TableRow| serde_json::from_value(row.value);
    rows.into_iter()
        .map(parse)
        .collect::<Result<_, _>>()
        .map_err(|error| PresetError::Damaged(error.to_string()))
}

/// Activates a stored preset, executing the steps that `ChangeWriter` requests.
pub(crate) async fn force_preset(
    shared: &EntryShared,
    request: ChangeRequest,
) -> Result<ChangeReply, PresetError> {
    let change = request.change.clone();
    let preset = request.preset.clone();
    let (mut writer, mut step) = ChangeWriter::start(request);
    let verdict = loop {
        let answer = match step {
            ChangeStep::Done(verdict) => break verdict,
            ChangeStep::FindRecord => find_record(shared, &change).await?,
            ChangeStep::ReadPreset => read_preset(shared, &preset).await?,
            ChangeStep::ReadForce => find_force(shared).await,
            ChangeStep::Write { preset, guard } => write_change(shared, &preset, guard).await?,
            ChangeStep::Refuse(record) => write_refusal(shared, &change, &record).await?,
        };
        step = writer.next(answer, Timestamp::now());
    };
    log::info!(target: "preset", change:% = change, verdict:? = verdict; "A change was completed.");
    Ok(change_reply(shared, change, verdict))
}

fn change_reply(shared: &EntryShared, change: ChangeId, verdict: ChangeOutcome) -> ChangeReply {
    match verdict {
        ChangeOutcome::Accepted(preset) => {
            peers::adopt(shared, &preset);
            ChangeReply::Accepted { preset }
        }
        ChangeOutcome::Conflict(winner) => ChangeReply::Conflict { winner },
        ChangeOutcome::NotAccepted(detail) => ChangeReply::NotAccepted { detail },
        ChangeOutcome::Unknown(detail) => ChangeReply::Unknown { change, detail },
    }
}

fn store_failure(error: StoreError) -> ChangeAnswer {
    match error {
        StoreError::Unknown(_) => ChangeAnswer::Lost(error.to_string()),
        StoreError::NoEffect(_) | StoreError::RateLimited { .. } => {
            ChangeAnswer::NoEffect(error.to_string())
        }
    }
}

async fn find_record(shared: &EntryShared, change: &ChangeId) -> Result<ChangeAnswer, PresetError> {
    match shared.table.read(&change_id_row(change)).await {
        Ok(row) => Ok(ChangeAnswer::Record(row.map(parse_record).transpose()?)),
        Err(error) => Ok(store_failure(error)),
    }
}

async fn read_preset(shared: &EntryShared, name: &PresetName) -> Result<ChangeAnswer, PresetError> {
    match get_preset(shared.table.as_ref(), name).await {
        Ok(content) => Ok(ChangeAnswer::Preset(content)),
        Err(PresetError::Store(error)) => Ok(store_failure(error)),
        Err(error) => Err(error),
    }
}

async fn find_force(shared: &EntryShared) -> ChangeAnswer {
    match read_force(shared.table.as_ref()).await {
        Ok(row) => ChangeAnswer::Force(row),
        Err(error) => store_failure(error),
    }
}

async fn write_change(
    shared: &EntryShared,
    preset: &Arc<ForcedPreset>,
    guard: Option<u64>,
) -> Result<ChangeAnswer, PresetError> {
    let value = to_value(preset.as_ref())?;
    let record = to_value(&ChangeRecord::Made(preset.clone()))?;
    let guard = guard.map_or(TableGuard::Absent, TableGuard::Revision);
    let new_row = |key, value| TableWrite { key, guard: TableGuard::Absent, value };
    let writes = [
        TableWrite { key: FORCE_ROW.to_owned(), guard, value: value.clone() },
        new_row(change_id_row(&preset.change), record),
        new_row(change_row(preset.revision), value),
    ];
    match shared.table.write(&writes, true).await {
        Ok(verdicts) => write_answer(&verdicts),
        Err(error) => Ok(store_failure(error)),
    }
}

async fn write_refusal(
    shared: &EntryShared,
    change: &ChangeId,
    record: &ChangeRecord,
) -> Result<ChangeAnswer, PresetError> {
    let key = change_id_row(change);
    let write = TableWrite { key, guard: TableGuard::Absent, value: to_value(record)? };
    match shared.table.write(&[write], true).await {
        Ok(verdicts) => write_answer(&verdicts),
        Err(error) => Ok(store_failure(error)),
    }
}

/// Takes the conflicting rows from the response to the write itself.
///
/// A read after the write could be served from an earlier state and miss them.
fn write_answer(verdicts: &[WriteOutcome]) -> Result<ChangeAnswer, PresetError> {
    if verdicts.iter().all(|verdict| matches!(verdict, WriteOutcome::Written(_))) {
        return Ok(ChangeAnswer::Written);
    }
    let mut record = None;
    let mut winner = None;
    for verdict in verdicts {
        let WriteOutcome::Conflict(Some(row)) = verdict else {
            continue;
        };
        if row.key.starts_with(CHANGE_ID_PREFIX) {
            record = Some(parse_record(row.clone())?);
        } else {
            winner = Some(parse_preset(row)?);
        }
    }
    Ok(ChangeAnswer::Blocked { record, winner })
}

fn parse_record(row: TableRow) -> Result<ChangeRecord, PresetError> {
    serde_json::from_value(row.value).map_err(|error| PresetError::Damaged(error.to_string()))
}

fn parse_preset(row: &TableRow) -> Result<Arc<ForcedPreset>, PresetError> {
    let preset = serde_json::from_value(row.value.clone());
    preset.map(Arc::new).map_err(|error| PresetError::Damaged(error.to_string()))
}

pub(super) fn to_value(value: &impl serde::Serialize) -> Result<serde_json::Value, PresetError> {
    serde_json::to_value(value).map_err(|error| PresetError::Damaged(error.to_string()))
}
