//! Responses that callers and operators received, and what the stand-ins recorded.

use std::collections::BTreeMap;

use cassiawheel_model::{Timestamp, WorkspaceId, label};
use macro_rules_attribute::apply;

use super::scenario::FaultKind;

/// The kind of a request, which decides whether it may be repeated.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A text generation by the model service; idempotent.
    Generate,
    /// A call of the other web service; idempotent.
    Read,
    /// A call of the application with an idempotency key.
    Keyed,
    /// A call of the application that may not be repeated and has no key.
    Unkeyed,
}

impl CallKind {
    /// Whether a caller may retry after an unknown outcome.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Generate | Self::Read | Self::Keyed => true,
            Self::Unkeyed => false,
        }
    }

    /// Whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Generate | Self::Read)
    }
}

/// Outcome of one attempt, as reported to the caller.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum ToldOutcome {
    /// The answer arrived with its end marker.
    Complete,
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// No answer, or one without its end marker.
    Cut,
    /// The connection failed, so that nothing was sent.
    NotSent,
}

/// One attempt of a request.
#[derive(Debug, Clone)]
pub struct AskRecord {
    /// The entry that received the attempt, as `entry-N`.
    pub entry: String,
    /// The request id in the entry's response.
    pub request: Option<String>,
    /// When the attempt was sent.
    pub begun_at: Timestamp,
    /// When the attempt ended.
    pub ended_at: Timestamp,
    /// The reported outcome.
    pub told: ToldOutcome,
    /// The model version in the response header.
    pub version: Option<String>,
    /// The revision of the preset in the response header.
    pub revision: Option<u64>,
    /// The part of the response body that arrived.
    pub body: String,
    /// Microseconds from the scheduled arrival to the first byte of the body.
    pub first_us: Option<u64>,
    /// Microseconds between successive parts of the body.
    pub gaps_us: Vec<u64>,
    /// Microseconds from the scheduled arrival to the end of the attempt.
    pub total_us: u64,
}

/// One request of a caller with all its attempts.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The prompt or body, unique in the run.
    pub text: String,
    /// Kind of the request.
    pub kind: CallKind,
    /// Workspace in whose name the request is sent.
    pub workspace: WorkspaceId,
    /// The scheduled arrival.
    pub scheduled_at: Timestamp,
    /// When the request expires.
    pub deadline: Timestamp,
    /// Tokens of a complete generated answer; 0 for other kinds.
    pub tokens: u32,
    /// The attempts, in order.
    pub asks: Vec<AskRecord>,
}

/// One execution of a request by a stand-in.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The endpoint that ran the request, as `endpoint-N`.
    pub endpoint: String,
    /// The request id that the stand-in received.
    pub request: String,
    /// The request's text; only recorded by plain services.
    pub text: Option<String>,
    /// When the run began.
    pub begun_at: Timestamp,
}

/// One planned stop of an endpoint.
#[derive(Debug, Clone)]
pub struct LeaveRecord {
    /// The stopped endpoint, as `endpoint-N`.
    pub endpoint: String,
    /// When the stop was requested.
    pub from: Timestamp,
    /// When the endpoint was started again.
    pub until: Option<Timestamp>,
}

/// One injected fault.
#[derive(Debug, Clone)]
pub struct FaultRecord {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Names of the affected processes.
    pub touched: Vec<String>,
    /// When the fault began.
    pub from: Timestamp,
    /// When the fault ended.
    pub until: Timestamp,
}

/// Result of a change, as reported to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ToldChange {
    /// In force as of this revision.
    Accepted(u64),
    /// Another change took precedence, or this one took no effect.
    Refused,
    /// No definite result, in spite of retries.
    Unresolved,
}

/// One change that an operator requested.
#[derive(Debug, Clone)]
pub struct ChangeRecord {
    /// The change id.
    pub change: String,
    /// The last reported result.
    pub told: ToldChange,
}

/// The stored row of the preset in force, sampled when it differs from the last sample.
#[derive(Debug, Clone)]
pub struct ForceSample {
    /// When the row was sampled.
    pub at: Timestamp,
    /// Revision of the preset.
    pub revision: u64,
    /// Id of the change that put the preset in force.
    pub change: String,
}

/// A row of the change history at the end of the run.
#[derive(Debug, Clone)]
pub struct HistoryRecord {
    /// Revision of the preset.
    pub revision: u64,
    /// Id of the change that made the revision.
    pub change: String,
}

/// Everything from which the verdicts of a run are computed.
#[derive(Debug, Clone, Default)]
pub struct RunRecords {
    /// Digest of each version's weights, from which its expected answers are derived.
    pub versions: BTreeMap<String, [u8; 32]>,
    /// Endpoints of the model service, as `endpoint-N`.
    pub model_endpoints: Vec<String>,
    /// Endpoints of the application.
    pub app_endpoints: Vec<String>,
    /// Endpoints of the other web service.
    pub web_endpoints: Vec<String>,
    /// Requests of all callers.
    pub requests: Vec<RequestRecord>,
    /// Runs of all stand-ins.
    pub runs: Vec<RunRecord>,
    /// Planned stops of endpoints.
    pub leaves: Vec<LeaveRecord>,
    /// Injected faults.
    pub faults: Vec<FaultRecord>,
    /// Changes that operators requested.
    pub changes: Vec<ChangeRecord>,
    /// Samples of the preset in force, oldest first.
    pub forced: Vec<ForceSample>,
    /// The change history at the end of the run, oldest first.
    pub history: Vec<HistoryRecord>,
}
