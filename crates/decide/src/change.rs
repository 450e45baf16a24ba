//! State machine of a change that puts a stored preset in force.
//!
//! The writer performs no I/O: it returns the next step and takes the response of the
//! table service to it. The same code therefore runs at an entry and in seeded
//! simulations.
//!
//! A change writes three rows in one transaction: `force`, guarded by the revision that
//! was read, the history, and a record under the change's id. The record makes the change
//! idempotent: of all concurrent attempts with the same id only one can insert it.

use std::sync::Arc;

use cassiawheel_model::{
    ChangeId, ForcedPreset, OperatorName, PresetContent, PresetName, PresetRevision, Timestamp,
    record,
};
use macro_rules_attribute::apply;

/// Write attempts after which the outcome of a change is reported as unknown.
const MAX_WRITES: u32 = 2;

/// A change requested by an operator.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    /// The stored preset to put in force.
    pub preset: PresetName,
    /// Id of the change, the key of its idempotency record.
    pub change: ChangeId,
    /// The operator that requests the change.
    pub operator: OperatorName,
    /// Whether the operator guarantees that the id has never been used before.
    pub fresh: bool,
    /// The highest revision that the writing process has adopted.
    pub known: PresetRevision,
}

/// The idempotency record, stored under the change's id.
#[apply(record!)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeRecord {
    /// The change was made.
    Made(Arc<ForcedPreset>),
    /// The change was refused and can never be made.
    Refused {
        /// The preset put in force by a competing change, if there was one.
        winner: Option<Arc<ForcedPreset>>,
        /// Reason, shown to the operator.
        detail: String,
    },
}

/// The `force` row, which holds the preset in force.
#[derive(Debug, Clone)]
pub struct ForceRow {
    /// The preset in force.
    pub preset: Arc<ForcedPreset>,
    /// Revision of the row, the guard of the next write.
    pub row_revision: u64,
}

/// Next action of a change.
#[derive(Debug, Clone)]
pub enum ChangeStep {
    /// Read the record of the change's id.
    FindRecord,
    /// Read the stored preset.
    ReadPreset,
    /// Read the row of the preset in force.
    ReadForce,
    /// Write `force`, the history and the record in one transaction.
    Write {
        /// The preset to put in force.
        preset: Arc<ForcedPreset>,
        /// The revision that the row of the preset in force must have; none if it must be absent.
        guard: Option<u64>,
    },
    /// Insert the record of a refusal, unless the id has a record.
    Refuse(ChangeRecord),
    /// The change has ended with this outcome.
    Done(ChangeOutcome),
}

/// Response of the table service to a step.
#[derive(Debug, Clone)]
pub enum ChangeAnswer {
    /// The record of the id, if there is one.
    Record(Option<ChangeRecord>),
    /// The stored preset.
    Preset(PresetContent),
    /// The preset in force, if there is one.
    Force(Option<ForceRow>),
    /// The write took effect.
    Written,
    /// The write took no effect because its guard failed.
    Blocked {
        /// The record of the id, if it exists already.
        record: Option<ChangeRecord>,
        /// The preset in force, if another change has replaced the one that was read.
        winner: Option<Arc<ForcedPreset>>,
    },
    /// The call failed without taking effect.
    NoEffect(String),
    /// The response was lost, so it is unknown whether the call took effect.
    Lost(String),
}

/// Outcome reported to the operator.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeOutcome {
    /// The change took effect with this preset and revision.
    Accepted(Arc<ForcedPreset>),
    /// A competing change took effect instead; this one never will.
    Conflict(Option<Arc<ForcedPreset>>),
    /// The change took no effect and never will.
    NotAccepted(String),
    /// The change may have taken effect or may still do so.
    Unknown(String),
}

#[derive(Debug, Clone)]
enum WriterStage {
    Finding,
    ReadingPreset,
    ReadingForce(PresetContent),
    Writing { preset: Arc<ForcedPreset>, guard: Option<u64> },
    Checking { preset: Arc<ForcedPreset>, guard: Option<u64>, detail: String },
    Refusing(ChangeRecord),
    Ended,
}

/// State machine of one change.
#[derive(Debug, Clone)]
pub struct ChangeWriter {
    request: ChangeRequest,
    stage: WriterStage,
    writes: u32,
    // Whether an earlier write with this id may still take effect.
    may_be_pending: bool,
}

impl ChangeWriter {
    /// Creates a writer and returns it with its first step.
    pub fn start(request: ChangeRequest) -> (Self, ChangeStep) {
        let may_be_pending = !request.fresh;
        let writer = Self { request, stage: WriterStage::Finding, writes: 0, may_be_pending };
        (writer, ChangeStep::FindRecord)
    }

    /// Takes the response to the last step and returns the next step.
    pub fn next(&mut self, answer: ChangeAnswer, now: Timestamp) -> ChangeStep {
        match std::mem::replace(&mut self.stage, WriterStage::Ended) {
            WriterStage::Finding => self.found(answer),
            WriterStage::ReadingPreset => self.read_preset(answer),
            WriterStage::ReadingForce(content) => self.read_force(content, answer, now),
            WriterStage::Writing { preset, guard } => self.written(preset, guard, answer),
            WriterStage::Checking { preset, guard, detail } => {
                self.checked(preset, guard, detail, answer)
            }
            WriterStage::Refusing(record) => self.refused(record, answer),
            WriterStage::Ended => unknown("the change has ended"),
        }
    }

    fn found(&mut self, answer: ChangeAnswer) -> ChangeStep {
        match answer {
            ChangeAnswer::Record(Some(record)) => self.settled(record),
            ChangeAnswer::Record(None) => {
                self.stage = WriterStage::ReadingPreset;
                ChangeStep::ReadPreset
            }
            other => self.end_unwritten(other),
        }
    }

    fn read_preset(&mut self, answer: ChangeAnswer) -> ChangeStep {
        match answer {
            ChangeAnswer::Preset(content) => {
                self.stage = WriterStage::ReadingForce(content);
                ChangeStep::ReadForce
            }
            other => self.end_unwritten(other),
        }
    }

    fn read_force(
        &mut self,
        content: PresetContent,
        answer: ChangeAnswer,
        now: Timestamp,
    ) -> ChangeStep {
        let ChangeAnswer::Force(row) = answer else {
            return self.end_unwritten(answer);
        };
        let stored = row.as_ref().map(|row| row.preset.revision).unwrap_or_default();
        // A table restored to an earlier state would yield a revision that processes
        // have already seen. They would ignore it, and the operator would see an
        // accepted change that never takes effect.
        let PresetRevision(highest) = stored.max(self.request.known);
        let preset = Arc::new(ForcedPreset {
            revision: PresetRevision(highest + 1),
            preset: self.request.preset.clone(),
            content,
            change: self.request.change.clone(),
            operator: self.request.operator.clone(),
            changed_at: now,
        });
        self.write(preset, row.map(|row| row.row_revision))
    }

    fn write(&mut self, preset: Arc<ForcedPreset>, guard: Option<u64>) -> ChangeStep {
        self.writes += 1;
        self.stage = WriterStage::Writing { preset: preset.clone(), guard };
        ChangeStep::Write { preset, guard }
    }

    fn written(
        &mut self,
        preset: Arc<ForcedPreset>,
        guard: Option<u64>,
        answer: ChangeAnswer,
    ) -> ChangeStep {
        match answer {
            ChangeAnswer::Written => ChangeStep::Done(ChangeOutcome::Accepted(preset)),
            ChangeAnswer::Blocked { record: Some(record), .. } => self.settled(record),
            ChangeAnswer::Blocked { record: None, winner } => {
                let detail = "another change came first".to_owned();
                self.refuse(ChangeRecord::Refused { winner, detail })
            }
            ChangeAnswer::NoEffect(detail) => {
                self.refuse(ChangeRecord::Refused { winner: None, detail })
            }
            ChangeAnswer::Lost(detail) => {
                self.may_be_pending = true;
                self.stage = WriterStage::Checking { preset, guard, detail };
                ChangeStep::FindRecord
            }
            ChangeAnswer::Record(_) | ChangeAnswer::Preset(_) | ChangeAnswer::Force(_) => {
                unknown("the table service gave another answer than asked for")
            }
        }
    }

    /// Handles the record lookup after a lost response.
    ///
    /// A record proves the outcome; its absence proves nothing, since the write may still
    /// be in flight. The next write has the same guards, so at most one of the two takes
    /// effect.
    fn checked(
        &mut self,
        preset: Arc<ForcedPreset>,
        guard: Option<u64>,
        detail: String,
        answer: ChangeAnswer,
    ) -> ChangeStep {
        match answer {
            ChangeAnswer::Record(Some(record)) => self.settled(record),
            ChangeAnswer::Record(None) if self.writes < MAX_WRITES => self.write(preset, guard),
            _ => unknown(&detail),
        }
    }

    /// Refuses the change permanently.
    ///
    /// While another write of the id may be in flight, the refusal could turn out to be
    /// wrong: the operator would get "not accepted" and see the change take effect a moment
    /// later. The record of the refusal occupies the key that such a write has to insert,
    /// which makes it fail.
    fn refuse(&mut self, record: ChangeRecord) -> ChangeStep {
        if !self.may_be_pending {
            return self.settled(record);
        }
        self.stage = WriterStage::Refusing(record.clone());
        ChangeStep::Refuse(record)
    }

    fn refused(&mut self, record: ChangeRecord, answer: ChangeAnswer) -> ChangeStep {
        match answer {
            ChangeAnswer::Written => self.settled(record),
            ChangeAnswer::Blocked { record: Some(record), .. } => self.settled(record),
            _ => unknown("cannot determine whether an earlier attempt took effect"),
        }
    }

    /// Ends an attempt that wrote nothing; an earlier one with the same id may have.
    fn end_unwritten(&self, answer: ChangeAnswer) -> ChangeStep {
        let detail = match answer {
            ChangeAnswer::NoEffect(detail) | ChangeAnswer::Lost(detail) => detail,
            _ => "the table service gave another answer than asked for".to_owned(),
        };
        if self.may_be_pending {
            return unknown(&detail);
        }
        ChangeStep::Done(ChangeOutcome::NotAccepted(detail))
    }

    fn settled(&self, record: ChangeRecord) -> ChangeStep {
        ChangeStep::Done(match record {
            ChangeRecord::Made(made) if made.preset == self.request.preset => {
                ChangeOutcome::Accepted(made)
            }
            ChangeRecord::Made(made) => ChangeOutcome::NotAccepted(format!(
                "the change id belongs to the change to {} at revision {}",
                made.preset, made.revision.0
            )),
            ChangeRecord::Refused { winner: Some(winner), .. } => {
                ChangeOutcome::Conflict(Some(winner))
            }
            ChangeRecord::Refused { winner: None, detail } => ChangeOutcome::NotAccepted(detail),
        })
    }
}

fn unknown(detail: &str) -> ChangeStep {
    ChangeStep::Done(ChangeOutcome::Unknown(detail.to_owned()))
}
