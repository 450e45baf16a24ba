//! An in-memory table service that keeps old states, so that reads can be stale.

use std::{collections::BTreeMap, sync::Arc};

use cassiawheel_decide::{ChangeAnswer, ChangeRecord, ForceRow};
use cassiawheel_model::{ChangeId, ForcedPreset, PresetContent, PresetRevision};
use rand::{Rng, rngs::SmallRng};

use super::Guard;

/// A call to the table service.
#[derive(Debug, Clone)]
pub enum StoreCall {
    Record(ChangeId),
    Preset,
    Force,
    Write { preset: Arc<ForcedPreset>, guard: Option<u64> },
    Refuse { change: ChangeId, record: ChangeRecord },
}

/// Rows that concern presets.
#[derive(Debug, Default)]
pub struct ModelStore {
    force: Option<ForceRow>,
    past: Vec<ForceRow>,
    records: BTreeMap<ChangeId, ChangeRecord>,
    pub changes: BTreeMap<PresetRevision, Arc<ForcedPreset>>,
    /// Changes that took effect, in order, including those that a disabled guard admitted.
    pub effects: Vec<Arc<ForcedPreset>>,
}

impl ModelStore {
    pub fn force(&self) -> Option<&ForceRow> {
        self.force.as_ref()
    }

    /// Executes a call.
    pub fn carry_out(
        &mut self,
        call: StoreCall,
        stale: Option<&mut SmallRng>,
        off: Option<Guard>,
    ) -> ChangeAnswer {
        match call {
            StoreCall::Preset => ChangeAnswer::Preset(PresetContent::default()),
            StoreCall::Force => ChangeAnswer::Force(match stale {
                Some(rng) if !self.past.is_empty() => {
                    Some(self.past[rng.random_range(0..self.past.len())].clone())
                }
                _ => self.force.clone(),
            }),
            StoreCall::Record(change) => ChangeAnswer::Record(match stale {
                Some(_) => None,
                None => self.records.get(&change).cloned(),
            }),
            StoreCall::Refuse { .. } if off == Some(Guard::RefusalRecord) => ChangeAnswer::Written,
            StoreCall::Refuse { change, record } => match self.records.get(&change) {
                Some(known) => ChangeAnswer::Blocked { record: Some(known.clone()), winner: None },
                None => {
                    self.records.insert(change, record);
                    ChangeAnswer::Written
                }
            },
            StoreCall::Write { preset, guard } => self.write(preset, guard, off),
        }
    }

    fn write(
        &mut self,
        preset: Arc<ForcedPreset>,
        guard: Option<u64>,
        off: Option<Guard>,
    ) -> ChangeAnswer {
        let row_revision = self.force.as_ref().map(|row| row.row_revision);
        let guard_fails = row_revision != guard && off != Some(Guard::ForceRevision);
        let known = self.records.get(&preset.change).filter(|_| off != Some(Guard::ChangeRecord));
        if guard_fails || known.is_some() {
            let winner = self.force.as_ref().filter(|_| guard_fails);
            return ChangeAnswer::Blocked {
                record: known.cloned(),
                winner: winner.map(|row| row.preset.clone()),
            };
        }
        let row =
            ForceRow { preset: preset.clone(), row_revision: row_revision.unwrap_or_default() + 1 };
        self.past.extend(self.force.replace(row));
        self.records.insert(preset.change.clone(), ChangeRecord::Made(preset.clone()));
        self.changes.insert(preset.revision, preset.clone());
        self.effects.push(preset);
        ChangeAnswer::Written
    }
}
