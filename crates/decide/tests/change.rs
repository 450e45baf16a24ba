//! The state machine of a change, one response of the table service at a time.

use std::sync::Arc;

use cassiawheel_decide::{
    ChangeAnswer, ChangeOutcome, ChangeRecord, ChangeRequest, ChangeStep, ChangeWriter, ForceRow,
};
use cassiawheel_model::{
    ChangeId, ForcedPreset, OperatorName, PresetContent, PresetName, PresetRevision, Timestamp,
};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000);

fn forced(preset: &str, revision: u64) -> Arc<ForcedPreset> {
    Arc::new(ForcedPreset {
        revision: PresetRevision(revision),
        preset: PresetName::new(preset).expect("valid"),
        content: PresetContent::default(),
        change: ChangeId::new("change").expect("valid"),
        operator: OperatorName::new("operator").expect("valid"),
        changed_at: NOW,
    })
}

fn request(fresh: bool, known: u64) -> ChangeRequest {
    ChangeRequest {
        preset: PresetName::new("peak").expect("valid"),
        change: ChangeId::new("change").expect("valid"),
        operator: OperatorName::new("operator").expect("valid"),
        fresh,
        known: PresetRevision(known),
    }
}

/// Advances a writer to its first write, with `stored` in force in the table.
fn to_write(request: ChangeRequest, stored: u64) -> (ChangeWriter, Arc<ForcedPreset>) {
    let (mut writer, step) = ChangeWriter::start(request);
    assert!(matches!(step, ChangeStep::FindRecord));
    writer.next(ChangeAnswer::Record(None), NOW);
    writer.next(ChangeAnswer::Preset(PresetContent::default()), NOW);
    let row = ForceRow { preset: forced("ordinary", stored), row_revision: stored };
    let step = writer.next(ChangeAnswer::Force(Some(row)), NOW);
    let ChangeStep::Write { preset, guard } = step else {
        panic!("a write was due, not {step:?}");
    };
    assert_eq!(guard, Some(stored));
    (writer, preset)
}

/// Guards against reusing a revision that processes have already seen, after the table was
/// restored to an earlier state. They would ignore it, and the change would never take effect.
#[test]
fn a_change_after_a_table_rollback_exceeds_every_known_revision() {
    let (_, preset) = to_write(request(true, 9), 4);
    assert_eq!(preset.revision, PresetRevision(10));
}

/// After losing to another change, the refusal has to be recorded before it is reported if
/// an earlier write with the same id may still be in flight.
#[rstest]
#[case(true)]
#[case(false)]
fn a_refusal_is_recorded_unless_nothing_can_follow(#[case] fresh: bool) {
    let (mut writer, _) = to_write(request(fresh, 4), 4);
    let winner = forced("ordinary", 5);
    let blocked = ChangeAnswer::Blocked { record: None, winner: Some(winner.clone()) };
    let step = writer.next(blocked, NOW);
    match step {
        ChangeStep::Done(verdict) if fresh => {
            assert_eq!(verdict, ChangeOutcome::Conflict(Some(winner)));
        }
        ChangeStep::Refuse(_) if !fresh => {
            let step = writer.next(ChangeAnswer::Lost("cut".to_owned()), NOW);
            assert!(matches!(step, ChangeStep::Done(ChangeOutcome::Unknown(_))));
        }
        other => panic!("fresh {fresh}: {other:?}"),
    }
}

/// If the response to a write is lost but its record exists, the change is reported as
/// accepted.
#[test]
fn a_lost_answer_is_found_by_its_record() {
    let (mut writer, preset) = to_write(request(true, 4), 4);
    let step = writer.next(ChangeAnswer::Lost("cut".to_owned()), NOW);
    assert!(matches!(step, ChangeStep::FindRecord));
    let record = ChangeRecord::Made(preset.clone());
    let step = writer.next(ChangeAnswer::Record(Some(record)), NOW);
    let ChangeStep::Done(verdict) = step else {
        panic!("a verdict was due, not {step:?}");
    };
    assert_eq!(verdict, ChangeOutcome::Accepted(preset));
}

/// Guards against a wrong "not accepted" for a repeated change while the table is down: this
/// attempt wrote nothing, but an earlier one may have.
#[rstest]
#[case(true)]
#[case(false)]
fn in_an_outage_only_a_first_request_is_reported_not_accepted(#[case] fresh: bool) {
    let (mut writer, _) = ChangeWriter::start(request(fresh, 4));
    let step = writer.next(ChangeAnswer::NoEffect("refused".to_owned()), NOW);
    match step {
        ChangeStep::Done(ChangeOutcome::NotAccepted(_)) => assert!(fresh),
        ChangeStep::Done(ChangeOutcome::Unknown(_)) => assert!(!fresh),
        other => panic!("{other:?}"),
    }
}

/// Guards against reporting "accepted" for an id that was used for another preset.
#[test]
fn an_id_names_one_change() {
    let (mut writer, _) = ChangeWriter::start(request(false, 4));
    let record = ChangeRecord::Made(forced("ordinary", 3));
    let step = writer.next(ChangeAnswer::Record(Some(record)), NOW);
    assert!(matches!(step, ChangeStep::Done(ChangeOutcome::NotAccepted(_))));
}
