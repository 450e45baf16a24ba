//! What callers and operators were told and what the stand-ins did.

use std::collections::BTreeMap;

use cassiawheel_model::{Timestamp, WorkspaceId, label};
use macro_rules_attribute::apply;

use super::scenario::FaultKind;

/// What a request asks for.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A generation; idempotent.
    Generate,
    /// A call of the other web service; idempotent.
    Read,
    /// A call of the application with an idempotency key.
    Keyed,
    /// A call of the application that may not be repeated and has no key.
    Unkeyed,
}

impl CallKind {
    /// Whether a caller may ask again after an unknown outcome.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Generate | Self::Read | Self::Keyed => true,
            Self::Unkeyed => false,
        }
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Generate | Self::Read)
    }
}

/// What a caller was told of one ask.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum ToldOutcome {
    /// The answer is whole.
    Complete,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// Nothing, or an answer without its end mark.
    Cut,
    /// No connection: the caller itself knows that it sent nothing.
    NotSent,
}

/// One ask of a request.
#[derive(Debug, Clone)]
pub struct AskRecord {
    /// The entry that was asked, as `entry-N`.
    pub entry: String,
    /// The request id that the entry told.
    pub request: Option<String>,
    /// When it was sent.
    pub begun_at: Timestamp,
    /// When its outcome was known.
    pub ended_at: Timestamp,
    /// What the caller was told.
    pub told: ToldOutcome,
    /// The version that was named.
    pub version: Option<String>,
    /// The revision that was named.
    pub revision: Option<u64>,
    /// What arrived of the body, of an answer that has begun.
    pub body: String,
    /// Microseconds from the scheduled arrival to the first byte of the body.
    pub first_us: Option<u64>,
    /// Microseconds between further parts of the body.
    pub gaps_us: Vec<u64>,
    /// Microseconds from the scheduled arrival to the end.
    pub total_us: u64,
}

/// One request of a caller, with all its asks.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The request's text, unique in the run: the prompt or the body.
    pub text: String,
    /// What it asks for.
    pub kind: CallKind,
    /// Who asks.
    pub workspace: WorkspaceId,
    /// When it was to arrive.
    pub scheduled_at: Timestamp,
    /// When its answer is of no more use.
    pub deadline: Timestamp,
    /// Tokens of a whole generated answer.
    pub tokens: u32,
    /// The asks, in order.
    pub asks: Vec<AskRecord>,
}

/// One run that a stand-in began.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The endpoint, as `endpoint-N`.
    pub endpoint: String,
    /// The request id that came with it.
    pub request: String,
    /// The request's text, of plain services.
    pub text: Option<String>,
    /// When it began.
    pub begun_at: Timestamp,
}

/// One planned stop of an endpoint.
#[derive(Debug, Clone)]
pub struct LeaveRecord {
    /// The endpoint.
    pub endpoint: String,
    /// When it was told to leave.
    pub from: Timestamp,
    /// When it was started again.
    pub until: Option<Timestamp>,
}

/// One fault.
#[derive(Debug, Clone)]
pub struct FaultRecord {
    /// What happened.
    pub kind: FaultKind,
    /// The processes that it touched.
    pub touched: Vec<String>,
    /// When it began.
    pub from: Timestamp,
    /// When it ended.
    pub until: Timestamp,
}

/// What an operator was told of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ToldChange {
    /// In force as of this revision.
    Accepted(u64),
    /// Another change won, or it took no effect.
    Refused,
    /// Nothing definite, however often it was asked for.
    Unresolved,
}

/// One change that an operator asked for.
#[derive(Debug, Clone)]
pub struct ChangeRecord {
    /// Its id.
    pub change: String,
    /// What the operator was told in the end.
    pub told: ToldChange,
}

/// The row of the preset in force, when it was seen to differ from before.
#[derive(Debug, Clone)]
pub struct ForceSample {
    /// When it was seen.
    pub at: Timestamp,
    /// Its revision.
    pub revision: u64,
    /// Its change id.
    pub change: String,
}

/// A row of the history at the end.
#[derive(Debug, Clone)]
pub struct HistoryRecord {
    /// Its revision.
    pub revision: u64,
    /// Its change id.
    pub change: String,
}

/// Everything that a run is judged by.
#[derive(Debug, Clone, Default)]
pub struct RunRecords {
    /// Digests from which the versions' answers follow.
    pub versions: BTreeMap<String, [u8; 32]>,
    /// Endpoints of each service: `endpoint-N`.
    pub model_endpoints: Vec<String>,
    /// Endpoints of the application.
    pub app_endpoints: Vec<String>,
    /// Endpoints of the other web service.
    pub web_endpoints: Vec<String>,
    /// The requests.
    pub requests: Vec<RequestRecord>,
    /// The runs.
    pub runs: Vec<RunRecord>,
    /// The planned stops.
    pub leaves: Vec<LeaveRecord>,
    /// The faults.
    pub faults: Vec<FaultRecord>,
    /// The changes.
    pub changes: Vec<ChangeRecord>,
    /// The preset in force over time.
    pub forced: Vec<ForceSample>,
    /// The history at the end, oldest first.
    pub history: Vec<HistoryRecord>,
}
