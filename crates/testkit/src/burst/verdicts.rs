//! Checks the records of a run against the invariants and counts violations.
//!
//! `docs/burst.md` gives the rule behind each count.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    time::Duration,
};

use cassiawheel_model::{Timestamp, record};
use macro_rules_attribute::apply;

use super::records::{
    AskRecord, CallKind, FaultRecord, ForceSample, RequestRecord, RunRecords, ToldChange,
    ToldOutcome,
};
use crate::weights::{answer_text, answer_token};

/// How long after its end a fault still explains a cut: the other processes
/// need this time to detect the end of the fault and to reconnect.
const FAULT_GRACE: Duration = Duration::from_secs(2);

/// Time limits that the invariants allow.
#[derive(Debug, Clone, Copy)]
pub struct VerdictLimits {
    /// Time after the start of a planned stop from which the endpoint may begin no run.
    pub leave: Duration,
    /// Time after a change of the preset from which no answer may name an older one.
    pub converge: Duration,
}

/// Final outcomes of the requests of one kind.
#[apply(record!)]
#[derive(Default)]
pub struct KindCounts {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests with a complete answer.
    pub complete: u64,
    /// Requests reported as not run, or that were never sent.
    pub not_run: u64,
    /// Requests with an unknown outcome, which may have run.
    pub unknown: u64,
}

/// Outcomes and invariant violations of a run.
#[apply(record!)]
#[derive(Default)]
pub struct VerdictCounts {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that ended with a complete answer.
    pub complete: u64,
    /// Requests that ended as not run, or that were never sent.
    pub not_run: u64,
    /// Requests that ended with an unknown outcome, which may have run.
    pub unknown: u64,
    /// Answers that differ from the expected one, and answers whose run no stand-in recorded.
    pub wrong: u64,
    /// Answers marked complete that lack their end.
    pub truncated: u64,
    /// Answers generated from the weights of several versions, or from partial or corrupt ones.
    pub mixed: u64,
    /// Runs of non-idempotent requests beyond the first.
    pub doubles: u64,
    /// Attempts reported as not-run that a stand-in ran.
    pub not_run_but_ran: u64,
    /// Attempts that were cut or reported as unknown without a fault that explains it.
    pub cut_off: u64,
    /// Runs that an endpoint began later than the limit after its planned stop started.
    pub late_after_leave: u64,
    /// Returns to an older preset, in the stored row or in the answers of one entry.
    pub reverts: u64,
    /// Answers under a preset that had been replaced longer ago than the limit.
    pub two_in_force: u64,
    /// Changes whose reported result contradicts the history, and gaps in the history.
    pub lost_changes: u64,
    /// Longest time for which answers still named a replaced preset, in seconds.
    pub converge_s_max: f64,
    /// Attempts cut or unknown at their deadline; not an invariant.
    pub deadline_cuts: u64,
    /// Keyed attempts reported as not-run after the key had run; not an invariant.
    pub refused_after_run: u64,
    /// Final outcomes by kind of request.
    pub by_kind: BTreeMap<CallKind, KindCounts>,
}

impl VerdictCounts {
    /// Names and counts of the violated invariants.
    pub fn broken(&self) -> Vec<(&'static str, u64)> {
        let counts = [
            ("wrong", self.wrong),
            ("truncated", self.truncated),
            ("mixed", self.mixed),
            ("doubles", self.doubles),
            ("not_run_but_ran", self.not_run_but_ran),
            ("cut_off", self.cut_off),
            ("late_after_leave", self.late_after_leave),
            ("reverts", self.reverts),
            ("two_in_force", self.two_in_force),
            ("lost_changes", self.lost_changes),
        ];
        counts.into_iter().filter(|(_, count)| *count > 0).collect()
    }
}

/// Checks the records of a run and counts outcomes and violations.
pub fn judge(records: &RunRecords, limits: &VerdictLimits) -> VerdictCounts {
    let mut counts = VerdictCounts::default();
    let index = RunIndex::build(records);
    for request in &records.requests {
        count_outcome(&mut counts, request);
        for ask in &request.asks {
            count_answer(&mut counts, records, &index, request, ask);
            count_attempt(&mut counts, records, &index, request, ask);
        }
    }
    let sum = |of: fn(&KindCounts) -> u64| counts.by_kind.values().map(of).sum();
    counts.requests = sum(|kind| kind.requests);
    counts.complete = sum(|kind| kind.complete);
    counts.not_run = sum(|kind| kind.not_run);
    counts.unknown = sum(|kind| kind.unknown);
    counts.doubles = count_doubles(records, &index);
    counts.late_after_leave = count_late_runs(records, limits.leave);
    counts.reverts = count_reverts(records);
    count_convergence(&mut counts, records, limits.converge);
    counts.lost_changes = count_lost_changes(records);
    counts
}

/// Runs of the stand-ins, indexed by request id and by text.
struct RunIndex<'a> {
    /// Endpoints that ran each request id.
    endpoints: HashMap<&'a str, Vec<&'a str>>,
    /// Start times of the runs of each text.
    by_text: HashMap<&'a str, Vec<Timestamp>>,
}

impl<'a> RunIndex<'a> {
    fn build(records: &'a RunRecords) -> Self {
        let mut endpoints: HashMap<_, Vec<_>> = HashMap::new();
        let mut by_text: HashMap<_, Vec<_>> = HashMap::new();
        for run in &records.runs {
            endpoints.entry(run.request.as_str()).or_default().push(run.endpoint.as_str());
            if let Some(text) = &run.text {
                by_text.entry(text.as_str()).or_default().push(run.begun_at);
            }
        }
        Self { endpoints, by_text }
    }

    /// Endpoints that ran the attempt; empty if its request id is unknown.
    fn endpoints(&self, ask: &AskRecord) -> &[&'a str] {
        let id = ask.request.as_deref().unwrap_or_default();
        self.endpoints.get(id).map_or(&[], Vec::as_slice)
    }

    fn times(&self, text: &str) -> &[Timestamp] {
        self.by_text.get(text).map_or(&[], Vec::as_slice)
    }
}

fn count_outcome(counts: &mut VerdictCounts, request: &RequestRecord) {
    let kind = counts.by_kind.entry(request.kind).or_default();
    kind.requests += 1;
    match request.asks.last().map(|ask| ask.told) {
        Some(ToldOutcome::Complete) => kind.complete += 1,
        Some(ToldOutcome::NotRun | ToldOutcome::NotSent) | None => kind.not_run += 1,
        Some(ToldOutcome::Unknown | ToldOutcome::Cut) => kind.unknown += 1,
    }
}

/// Compares the received body with the expected answer to the request.
fn count_answer(
    counts: &mut VerdictCounts,
    records: &RunRecords,
    index: &RunIndex<'_>,
    request: &RequestRecord,
    ask: &AskRecord,
) {
    let is_complete = ask.told == ToldOutcome::Complete;
    if !is_complete && ask.told != ToldOutcome::Cut {
        return;
    }
    match request.kind {
        CallKind::Generate => count_generated(counts, records, request, ask),
        CallKind::Read | CallKind::Keyed | CallKind::Unkeyed => {
            let expected = plain_answer(&request.text);
            if is_complete && ask.body != expected {
                count_mismatch(counts, &expected, &ask.body);
            }
            // The call was reported as complete, but no stand-in ran it.
            if is_complete && index.times(&request.text).is_empty() {
                counts.wrong += 1;
            }
        }
    }
}

/// Expected answer of a plain service to `text`.
pub fn plain_answer(text: &str) -> String {
    format!("done {text} ")
}

fn count_generated(
    counts: &mut VerdictCounts,
    records: &RunRecords,
    request: &RequestRecord,
    ask: &AskRecord,
) {
    let is_complete = ask.told == ToldOutcome::Complete;
    if !is_complete && ask.version.is_none() {
        // Without a version, the body is an error text and not part of an answer.
        return;
    }
    let named = ask.version.as_deref().and_then(|version| records.versions.get(version));
    if let Some(expected) = named.map(|w| answer_text(w, &request.text, request.tokens)) {
        if ask.body == expected {
            return;
        }
        if expected.starts_with(&ask.body) {
            counts.truncated += u64::from(is_complete);
            return;
        }
    }
    // The part that arrived before a cut counts too: the caller has already read it.
    match is_mixed(records, request, &ask.body) {
        true => counts.mixed += 1,
        false => counts.wrong += 1,
    }
}

/// Whether the tokens do not all come from the weights of one version.
fn is_mixed(records: &RunRecords, request: &RequestRecord, body: &str) -> bool {
    let mut versions = BTreeSet::new();
    let mut unmatched = 0_usize;
    for (index, token) in body.split_inclusive(' ').enumerate() {
        let matching = records
            .versions
            .iter()
            .find(|(_, weights)| answer_token(weights, &request.text, index as u32) == token);
        match matching {
            Some((version, _)) => _ = versions.insert(version),
            None => unmatched += 1,
        }
    }
    // Tokens that match no version come from partial or corrupt weights; the
    // caller cannot distinguish them from a correct answer.
    versions.len() > 1 || unmatched > 0
}

fn count_mismatch(counts: &mut VerdictCounts, expected: &str, body: &str) {
    match expected.starts_with(body) {
        true => counts.truncated += 1,
        false => counts.wrong += 1,
    }
}

/// Compares the reported outcome of an attempt with the runs of the stand-ins.
fn count_attempt(
    counts: &mut VerdictCounts,
    records: &RunRecords,
    index: &RunIndex<'_>,
    request: &RequestRecord,
    ask: &AskRecord,
) {
    match ask.told {
        ToldOutcome::Complete | ToldOutcome::NotSent => {}
        ToldOutcome::NotRun => {
            counts.not_run_but_ran += u64::from(!index.endpoints(ask).is_empty());
            let ran_before =
                index.times(&request.text).iter().any(|begun_at| *begun_at < ask.ended_at);
            let is_keyed = request.kind == CallKind::Keyed;
            counts.refused_after_run += u64::from(is_keyed && ran_before);
        }
        ToldOutcome::Unknown | ToldOutcome::Cut => {
            if ask.ended_at >= request.deadline {
                counts.deadline_cuts += 1;
            } else if !records.faults.iter().any(|f| can_explain(f, records, index, request, ask)) {
                counts.cut_off += 1;
            }
        }
    }
}

/// Whether `fault` can have cut `ask`: they overlap in time, and the fault
/// affected the entry that received it, the endpoint that ran it (any endpoint of
/// its service if no stand-in recorded its id), or the store that a keyed request
/// needs.
fn can_explain(
    fault: &FaultRecord,
    records: &RunRecords,
    index: &RunIndex<'_>,
    request: &RequestRecord,
    ask: &AskRecord,
) -> bool {
    let until = Timestamp(fault.until.0 + FAULT_GRACE.as_millis() as u64);
    if ask.begun_at > until || ask.ended_at < fault.from {
        return false;
    }
    if fault.kind.affects_store() {
        return request.kind == CallKind::Keyed;
    }
    if !fault.kind.is_disruptive() {
        return false;
    }
    let touches = |name: &str| fault.touched.iter().any(|touched| touched == name);
    let ran_at = index.endpoints(ask);
    let endpoint = match ran_at.is_empty() {
        true => service_endpoints(records, request.kind).iter().any(|name| touches(name)),
        false => ran_at.iter().any(|name| touches(name)),
    };
    touches(&ask.entry) || endpoint
}

fn service_endpoints(records: &RunRecords, kind: CallKind) -> &[String] {
    match kind {
        CallKind::Generate => &records.model_endpoints,
        CallKind::Read => &records.web_endpoints,
        CallKind::Keyed | CallKind::Unkeyed => &records.app_endpoints,
    }
}

fn count_doubles(records: &RunRecords, index: &RunIndex<'_>) -> u64 {
    let once = records.requests.iter().filter(|request| !request.kind.is_idempotent());
    once.map(|request| index.times(&request.text).len().saturating_sub(1) as u64).sum()
}

fn count_late_runs(records: &RunRecords, limit: Duration) -> u64 {
    let is_late = |run: &&super::records::RunRecord| {
        records.leaves.iter().any(|leave| {
            let bound = Timestamp(leave.from.0 + limit.as_millis() as u64);
            let before = leave.until.is_none_or(|until| run.begun_at < until);
            leave.endpoint == run.endpoint && run.begun_at > bound && before
        })
    };
    records.runs.iter().filter(is_late).count() as u64
}

/// Counts decreases of the revision, in the stored row and in the answers of one
/// entry: an attempt that began after another had ended must not be answered under
/// an older preset.
fn count_reverts(records: &RunRecords) -> u64 {
    let mut reverts = 0;
    for pair in records.forced.windows(2) {
        let (earlier, later) = (&pair[0], &pair[1]);
        let other_change = later.revision == earlier.revision && later.change != earlier.change;
        reverts += u64::from(later.revision < earlier.revision || other_change);
    }
    let mut by_entry: BTreeMap<&str, Vec<(Timestamp, Timestamp, u64)>> = BTreeMap::new();
    for (ask, revision) in answered(records) {
        let told = (ask.begun_at, ask.ended_at, revision);
        by_entry.entry(ask.entry.as_str()).or_default().push(told);
    }
    reverts + by_entry.into_values().map(count_decreases).sum::<u64>()
}

/// Counts the answers whose revision is lower than one that had ended before they began.
fn count_decreases(mut told: Vec<(Timestamp, Timestamp, u64)>) -> u64 {
    let mut by_end = told.clone();
    by_end.sort_by_key(|(_, ended_at, _)| *ended_at);
    told.sort_by_key(|(begun_at, _, _)| *begun_at);
    let mut ended = by_end.into_iter().peekable();
    let mut highest = 0;
    let mut decreases = 0;
    for (begun_at, _, revision) in told {
        while let Some((_, _, earlier)) = ended.next_if(|(_, ended_at, _)| *ended_at < begun_at) {
            highest = highest.max(earlier);
        }
        decreases += u64::from(revision < highest);
    }
    decreases
}

/// Attempts with a complete answer, and the revision that the answer named.
fn answered(records: &RunRecords) -> impl Iterator<Item = (&AskRecord, u64)> {
    let asks = records.requests.iter().flat_map(|request| &request.asks);
    asks.filter(|ask| ask.told == ToldOutcome::Complete)
        .filter_map(|ask| Some((ask, ask.revision?)))
}

/// Measures how long answers named a replaced preset, and counts those beyond `limit`.
fn count_convergence(counts: &mut VerdictCounts, records: &RunRecords, limit: Duration) {
    let mut longest = Duration::ZERO;
    for (ask, revision) in answered(records) {
        let replaced = records.forced.iter().find(|sample| sample.revision > revision);
        let Some(ForceSample { at, .. }) = replaced else {
            continue;
        };
        let lag = ask.begun_at.since(*at);
        longest = longest.max(lag);
        counts.two_in_force += u64::from(lag > limit);
    }
    counts.converge_s_max = longest.as_secs_f64();
}

/// Compares the results that operators received with the history, whose revisions
/// must be consecutive and whose change ids must be distinct.
fn count_lost_changes(records: &RunRecords) -> u64 {
    let mut lost = 0;
    for (index, row) in records.history.iter().enumerate() {
        lost += u64::from(row.revision != index as u64 + 1);
    }
    let distinct: HashSet<_> = records.history.iter().map(|row| &row.change).collect();
    lost += (records.history.len() - distinct.len()) as u64;
    for change in &records.changes {
        let found = records.history.iter().find(|row| row.change == change.change);
        let holds = match change.told {
            ToldChange::Accepted(revision) => found.is_some_and(|row| row.revision == revision),
            ToldChange::Refused => found.is_none(),
            ToldChange::Unresolved => false,
        };
        lost += u64::from(!holds);
    }
    lost
}
