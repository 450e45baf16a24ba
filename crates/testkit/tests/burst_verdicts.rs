//! The checker detects each broken invariant in hand-written records.

use std::time::Duration;

use cassiawheel_model::{Timestamp, WorkspaceId};
use cassiawheel_testkit::{
    burst::{
        RunRecords, VerdictCounts, VerdictLimits, judge,
        records::{
            AskRecord, CallKind, ChangeRecord, FaultRecord, ForceSample, HistoryRecord,
            LeaveRecord, RequestRecord, RunRecord, ToldChange, ToldOutcome,
        },
        scenario::FaultKind,
        verdicts::plain_answer,
    },
    weights::{answer_text, answer_token},
};
use rstest::rstest;

const TOKENS: u32 = 6;
const OLD: [u8; 32] = [1; 32];
const NEW: [u8; 32] = [2; 32];
const TEXT: &str = "call-1-1";

fn ask(told: ToldOutcome, body: &str) -> AskRecord {
    AskRecord {
        entry: "entry-0".to_owned(),
        request: Some("request-1".to_owned()),
        begun_at: Timestamp(1_000),
        ended_at: Timestamp(1_100),
        told,
        version: Some("new".to_owned()),
        revision: Some(2),
        body: body.to_owned(),
        first_us: None,
        gaps_us: Vec::new(),
        total_us: 100_000,
    }
}

fn request(kind: CallKind, asks: Vec<AskRecord>) -> RequestRecord {
    RequestRecord {
        text: TEXT.to_owned(),
        kind,
        workspace: WorkspaceId::new("schools").expect("a valid name"),
        scheduled_at: Timestamp(1_000),
        deadline: Timestamp(9_000),
        tokens: TOKENS,
        asks,
    }
}

fn run(endpoint: &str, text: Option<&str>, at: u64) -> RunRecord {
    RunRecord {
        endpoint: endpoint.to_owned(),
        request: "request-1".to_owned(),
        text: text.map(str::to_owned),
        begun_at: Timestamp(at),
    }
}

fn records(requests: Vec<RequestRecord>, runs: Vec<RunRecord>) -> RunRecords {
    RunRecords {
        versions: [("old".to_owned(), OLD), ("new".to_owned(), NEW)].into(),
        model_endpoints: vec!["endpoint-0".to_owned(), "endpoint-1".to_owned()],
        app_endpoints: vec!["endpoint-2".to_owned()],
        web_endpoints: vec!["endpoint-3".to_owned()],
        requests,
        runs,
        ..RunRecords::default()
    }
}

fn generated(told: ToldOutcome, body: &str) -> RunRecords {
    let record = request(CallKind::Generate, vec![ask(told, body)]);
    records(vec![record], vec![run("endpoint-0", None, 1_010)])
}

fn sold(asks: Vec<AskRecord>, runs: Vec<RunRecord>) -> RunRecords {
    records(vec![request(CallKind::Keyed, asks)], runs)
}

fn judged(records: &RunRecords) -> VerdictCounts {
    let limits = VerdictLimits { leave: Duration::from_secs(3), converge: Duration::from_secs(5) };
    judge(records, &limits)
}

fn broken(records: &RunRecords) -> Vec<(&'static str, u64)> {
    judged(records).broken()
}

#[rstest]
fn a_whole_answer_breaks_nothing() {
    let whole = answer_text(&NEW, TEXT, TOKENS);
    let counts = judged(&generated(ToldOutcome::Complete, &whole));
    assert_eq!((counts.requests, counts.complete, counts.broken()), (1, 1, vec![]));
    let sale = sold(
        vec![ask(ToldOutcome::Complete, &plain_answer(TEXT))],
        vec![run("endpoint-2", Some(TEXT), 1_010)],
    );
    assert_eq!(broken(&sale), vec![]);
}

/// A stream ends early but carries the end marker, so the caller cannot detect that the answer is
/// incomplete.
#[rstest]
fn a_short_answer_with_an_end_mark_is_truncated() {
    let whole = answer_text(&NEW, TEXT, TOKENS);
    let short = generated(ToldOutcome::Complete, &whole[..whole.len() - 9]);
    assert_eq!(broken(&short), vec![("truncated", 1)]);
}

/// The weights are replaced during a run, or are corrupt. The answer is one that no version of
/// the model would give.
#[rstest]
#[case::two_versions(&[OLD, OLD, OLD, NEW, NEW, NEW])]
#[case::corrupt(&[[9; 32]; 6])]
fn an_answer_of_no_whole_version_is_mixed(
    #[case] weights: &[[u8; 32]],
    #[values(ToldOutcome::Complete, ToldOutcome::Cut)] told: ToldOutcome,
) {
    let tokens = weights.iter().enumerate();
    let body: String =
        tokens.map(|(index, weights)| answer_token(weights, TEXT, index as u32)).collect();
    assert_eq!(judged(&generated(told, &body)).mixed, 1);
}

/// Answers are swapped: a caller gets the complete answer to another request.
#[rstest]
fn the_answer_to_another_request_counts() {
    let other = sold(
        vec![ask(ToldOutcome::Complete, &plain_answer("call-1-2"))],
        vec![run("endpoint-2", Some(TEXT), 1_010)],
    );
    assert_eq!(broken(&other), vec![("wrong", 1)]);
    let old = generated(ToldOutcome::Complete, &answer_text(&OLD, TEXT, TOKENS));
    assert_eq!(broken(&old), vec![("wrong", 1)]);
}

/// A request is answered as complete, but no replica ran it.
#[rstest]
fn a_receipt_without_a_sale_is_wrong() {
    let sale = sold(vec![ask(ToldOutcome::Complete, &plain_answer(TEXT))], vec![]);
    assert_eq!(broken(&sale), vec![("wrong", 1)]);
}

/// A retry runs a request with a key again.
#[rstest]
fn a_second_run_is_a_double() {
    let runs = vec![run("endpoint-2", Some(TEXT), 1_010), run("endpoint-3", Some(TEXT), 1_050)];
    let sale = sold(vec![ask(ToldOutcome::Complete, &plain_answer(TEXT))], runs);
    assert_eq!(broken(&sale), vec![("doubles", 1)]);
}

/// A request is reported as not run, but it ran.
#[rstest]
fn a_run_behind_a_refusal_counts() {
    let sale = sold(vec![ask(ToldOutcome::NotRun, "")], vec![run("endpoint-2", Some(TEXT), 1_200)]);
    assert_eq!(broken(&sale), vec![("not_run_but_ran", 1)]);
}

fn fault(kind: FaultKind, touched: &str, from: u64, until: u64) -> FaultRecord {
    let touched = vec![touched.to_owned()];
    FaultRecord { kind, touched, from: Timestamp(from), until: Timestamp(until) }
}

/// A stream is cut off by a planned stop. Only a fault that affected the entry or the endpoint at
/// that time exempts it.
#[rstest]
#[case::no_fault(None, 1)]
#[case::the_endpoint_was_killed(Some(fault(FaultKind::Kill, "endpoint-0", 1_050, 2_000)), 0)]
#[case::the_entry_was_paused(Some(fault(FaultKind::Pause, "entry-0", 1_050, 2_000)), 0)]
#[case::another_was_killed(Some(fault(FaultKind::Kill, "endpoint-1", 1_050, 2_000)), 1)]
#[case::it_was_over_long_ago(Some(fault(FaultKind::Kill, "endpoint-0", 10, 20)), 0)]
#[case::it_came_later(Some(fault(FaultKind::Kill, "endpoint-0", 1_200, 2_000)), 1)]
#[case::it_was_a_planned_stop(Some(fault(FaultKind::Restart, "endpoint-0", 1_050, 2_000)), 1)]
#[case::the_store_was_down(Some(fault(FaultKind::StoreDown, "", 1_050, 2_000)), 1)]
fn a_cut_without_a_fault_is_cut_off(#[case] fault: Option<FaultRecord>, #[case] cut_off: u64) {
    let whole = answer_text(&NEW, TEXT, TOKENS);
    let mut cut = generated(ToldOutcome::Cut, &whole[..9]);
    cut.faults.extend(fault);
    assert_eq!(judged(&cut).cut_off, cut_off);
}

/// An endpoint was ordered to leave and still starts runs seconds later.
#[rstest]
#[case::at_once(1_500, 0)]
#[case::late(5_500, 1)]
#[case::after_its_return(9_500, 0)]
fn a_run_after_the_leave_is_late(#[case] begun_at: u64, #[case] late: u64) {
    let whole = answer_text(&NEW, TEXT, TOKENS);
    let mut left = generated(ToldOutcome::Complete, &whole);
    left.runs = vec![run("endpoint-0", None, begun_at)];
    left.leaves.push(LeaveRecord {
        endpoint: "endpoint-0".to_owned(),
        from: Timestamp(1_200),
        until: Some(Timestamp(9_000)),
    });
    assert_eq!(judged(&left).late_after_leave, late);
}

fn forced(steps: &[(u64, u64, &str)]) -> RunRecords {
    let samples = steps.iter().map(|(at, revision, change)| ForceSample {
        at: Timestamp(*at),
        revision: *revision,
        change: (*change).to_owned(),
    });
    RunRecords { forced: samples.collect(), ..records(vec![], vec![]) }
}

/// The preset in force reverts, or is replaced by another one of the same revision.
#[rstest]
#[case::forward(&[(0, 1, "a"), (10, 2, "b")], 0)]
#[case::back(&[(0, 1, "a"), (10, 2, "b"), (20, 1, "a")], 1)]
#[case::replaced(&[(0, 1, "a"), (10, 1, "b")], 1)]
fn a_step_back_is_a_revert(#[case] steps: &[(u64, u64, &str)], #[case] reverts: u64) {
    assert_eq!(judged(&forced(steps)).reverts, reverts);
}

fn answered_at(begun_at: u64, revision: u64) -> RequestRecord {
    let whole = answer_text(&NEW, TEXT, TOKENS);
    let (begun_at, ended_at) = (Timestamp(begun_at), Timestamp(begun_at + 10));
    let told = ask(ToldOutcome::Complete, &whole);
    request(
        CallKind::Generate,
        vec![AskRecord { begun_at, ended_at, revision: Some(revision), ..told }],
    )
}

/// An entry answers under a new preset and later under the old one again.
#[rstest]
fn an_entry_that_goes_back_is_a_revert() {
    let both = vec![answered_at(1_000, 2), answered_at(1_100, 1)];
    assert_eq!(judged(&records(both, vec![])).reverts, 1);
    let crossing = vec![answered_at(1_000, 2), answered_at(1_005, 1)];
    assert_eq!(judged(&records(crossing, vec![])).reverts, 0);
}

/// An entry still answers under a preset that was replaced long ago.
#[rstest]
fn an_old_preset_that_still_answers_counts() {
    let mut run = forced(&[(0, 1, "a"), (1_000, 2, "b")]);
    run.requests = vec![answered_at(3_000, 1)];
    let counts = judged(&run);
    assert_eq!((counts.two_in_force, counts.converge_s_max), (0, 2.0));
    run.requests = vec![answered_at(6_500, 1)];
    let counts = judged(&run);
    assert_eq!((counts.two_in_force, counts.converge_s_max), (1, 5.5));
}

/// The result that the operator got contradicts the history.
#[rstest]
#[case::kept("b", ToldChange::Accepted(2), 0)]
#[case::lost("c", ToldChange::Accepted(3), 1)]
#[case::at_another_place("b", ToldChange::Accepted(1), 1)]
#[case::refused("c", ToldChange::Refused, 0)]
#[case::refused_and_yet_made("b", ToldChange::Refused, 1)]
#[case::never_told("c", ToldChange::Unresolved, 1)]
fn a_change_told_wrongly_is_lost(
    #[case] change: &str,
    #[case] told: ToldChange,
    #[case] lost: u64,
) {
    let row = |revision, change: &str| HistoryRecord { revision, change: change.to_owned() };
    let run = RunRecords {
        history: vec![row(1, "a"), row(2, "b")],
        changes: vec![ChangeRecord { change: change.to_owned(), told }],
        ..RunRecords::default()
    };
    assert_eq!(judged(&run).lost_changes, lost);
}

/// A history with a gap or with a duplicate change is not linear.
#[rstest]
#[case(&[(1, "a"), (3, "b")], 1)]
#[case(&[(1, "a"), (2, "a")], 1)]
fn a_history_that_is_not_linear_counts(#[case] rows: &[(u64, &str)], #[case] lost: u64) {
    let rows = rows.iter().map(|(revision, change)| HistoryRecord {
        revision: *revision,
        change: (*change).to_owned(),
    });
    let run = RunRecords { history: rows.collect(), ..RunRecords::default() };
    assert_eq!(judged(&run).lost_changes, lost);
}
