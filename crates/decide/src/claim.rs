//! The claim on a keyed request that runs at most once.
//!
//! The agent that would run a request first inserts `request/<key>` with its
//! attempt's nonce, if no such row exists. A claim is never taken over: its
//! holder may be paused and still run the request later, so a second run could
//! not be excluded. Others get the recorded outcome, or learn that it is unknown.

use cassiawheel_model::{AttemptNonce, RequestKey, ServiceName, WorkspaceId, record};
use macro_rules_attribute::apply;

/// The row of one keyed request.
#[apply(record!)]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// The attempt that may run the request.
    pub nonce: AttemptNonce,
    /// Digest of service, method, path and body; another request may not use the key.
    pub fingerprint: String,
    /// The answer, once it is whole.
    pub answer: Option<RecordedAnswer>,
}

/// A recorded whole answer.
#[apply(record!)]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct RecordedAnswer {
    /// HTTP status of the endpoint.
    pub status: u16,
    /// Media type.
    pub content_type: Option<String>,
    /// The body as hexadecimal digits.
    pub body: String,
}

/// What a look at the row showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimView {
    /// Our insert took effect.
    Inserted,
    /// The row existed.
    Found(ClaimRecord),
    /// The row does not exist; an insert that is still on its way may yet create it.
    Absent,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Run the request: the claim is ours.
    Run,
    /// Insert the claim, again with the same nonce.
    Insert,
    /// Give this recorded answer.
    Replay(RecordedAnswer),
    /// Another attempt holds the claim and has recorded no answer yet.
    Wait,
    /// The key is bound to another request.
    Conflict,
}

/// The key of the row.
pub fn claim_row(workspace: &WorkspaceId, service: &ServiceName, key: &RequestKey) -> String {
    format!("request/{workspace}/{service}/{key}")
}

/// Decides after a look at the row.
pub fn next_step(nonce: &AttemptNonce, fingerprint: &str, view: ClaimView) -> ClaimStep {
    let record = match view {
        ClaimView::Inserted => return ClaimStep::Run,
        ClaimView::Absent => return ClaimStep::Insert,
        ClaimView::Found(record) => record,
    };
    if record.fingerprint != fingerprint {
        return ClaimStep::Conflict;
    }
    match record.answer {
        Some(answer) => ClaimStep::Replay(answer),
        // The answer to our own insert was lost; the row shows that it took effect.
        None if record.nonce == *nonce => ClaimStep::Run,
        None => ClaimStep::Wait,
    }
}
