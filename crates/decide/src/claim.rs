//! Claims that make a request with an idempotency key run at most once.
//!
//! Before an agent runs a request, it writes `request/<key>` with the nonce of its
//! attempt, provided that no such row exists or that its claim was released. A held claim
//! is never taken over: its holder may be paused and run the request later, so a second
//! run could not be ruled out. Other attempts return the recorded outcome, or report that
//! it is unknown.

use cassiawheel_model::{
    AttemptNonce, Deadline, HeaderField, ModelVersion, PresetRevision, RequestKey, ServiceName,
    Timestamp, WorkspaceId, record,
};
use macro_rules_attribute::apply;

/// Stored row of one keyed request.
#[apply(record!)]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// The attempt that wrote the claim.
    pub nonce: AttemptNonce,
    /// Digest of service, method, path and body; another request must not reuse the key.
    pub fingerprint: String,
    /// State of that attempt.
    pub state: ClaimState,
}

/// State of a claim.
#[apply(record!)]
#[derive(Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The holder may run the request at any time.
    Held,
    /// The holder did not run the request and never will.
    Released,
    /// The request ran; its complete response is recorded.
    Answered(RecordedAnswer),
    /// The request may have run, but no response is recorded.
    Unanswered {
        /// Reason, in a short sentence.
        detail: String,
    },
}

/// A complete recorded response, replayed for the same key.
#[apply(record!)]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct RecordedAnswer {
    /// HTTP status returned by the endpoint.
    pub status: u16,
    /// Value of the `content-type` header, if present.
    pub content_type: Option<String>,
    /// Other header fields.
    #[serde(default)]
    pub headers: Vec<HeaderField>,
    /// The model version that answered.
    pub version: Option<ModelVersion>,
    /// Revision of the preset under which the request ran.
    pub revision: PresetRevision,
    /// The body, hex-encoded.
    pub body: String,
}

/// Precondition of a write of the row (compare-and-set).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimGuard {
    /// The row does not exist.
    Absent,
    /// The row still has this revision, at which its claim was released.
    Revision(u64),
}

/// Result of a call to the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// The write took effect and the row has this revision.
    Written(u64),
    /// The row exists.
    Found {
        /// Content of the row.
        record: ClaimRecord,
        /// Revision of the row.
        revision: u64,
    },
    /// The row does not exist; a write in flight may still create it.
    Absent,
    /// The call failed without taking effect.
    NoEffect,
    /// The response was lost; the call may have taken effect or may still do so.
    Lost,
}

/// Next action of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write the claim with this precondition.
    Write(ClaimGuard),
    /// Read the row again after a pause.
    Poll,
    /// Run the request: this attempt holds the claim, at this revision of the row.
    Run(u64),
    /// Return this recorded response.
    Replay(RecordedAnswer),
    /// Report that the request may have run, for this reason.
    Unknown(String),
    /// Report that the key belongs to a different request.
    Conflict,
    /// Report that the request was not run because the table service is unreachable.
    GiveUp,
}

/// State machine of one attempt to claim a request.
#[derive(Debug, Clone)]
pub struct ClaimTracker {
    own: ClaimRecord,
    give_up_at: Deadline,
    guard: ClaimGuard,
    writing: bool,
    lost_write: bool,
    waits_for_other: bool,
}

impl ClaimTracker {
    /// Creates an attempt that has written nothing and gives up at `give_up_at`.
    pub fn new(nonce: AttemptNonce, fingerprint: String, give_up_at: Deadline) -> Self {
        Self {
            own: ClaimRecord { nonce, fingerprint, state: ClaimState::Held },
            give_up_at,
            guard: ClaimGuard::Absent,
            writing: false,
            lost_write: false,
            waits_for_other: false,
        }
    }

    /// Returns the record that claims the request.
    pub fn record(&self) -> &ClaimRecord {
        &self.own
    }

    /// Returns the record of this attempt with another state.
    pub fn record_as(&self, state: ClaimState) -> ClaimRecord {
        ClaimRecord { state, ..self.own.clone() }
    }

    /// Whether a write of this attempt with an unknown result may still take effect.
    pub fn is_uncertain(&self) -> bool {
        self.writing || self.lost_write
    }

    /// Whether another attempt held the claim when the row was last read.
    pub fn waits_for_other(&self) -> bool {
        self.waits_for_other
    }

    /// Records that a write was sent; its result is unknown until the response.
    pub fn begin_write(&mut self) {
        self.writing = true;
    }

    /// Takes the result of a write or a read and returns the next step.
    pub fn next(&mut self, reply: ClaimReply, now: Timestamp) -> ClaimStep {
        self.lost_write |= self.writing && reply == ClaimReply::Lost;
        self.writing = false;
        let step = match reply {
            ClaimReply::Written(revision) => {
                self.lost_write = false;
                return ClaimStep::Run(revision);
            }
            ClaimReply::Found { record, revision } => self.found(record, revision),
            ClaimReply::Absent => {
                self.guard = ClaimGuard::Absent;
                ClaimStep::Write(self.guard)
            }
            ClaimReply::NoEffect if self.waits_for_other || self.lost_write => ClaimStep::Poll,
            ClaimReply::NoEffect => ClaimStep::Write(self.guard),
            // Only the row can show whether the lost call took effect. Its absence proves
            // nothing, but a second write with the same nonce is harmless.
            ClaimReply::Lost => ClaimStep::Poll,
        };
        let is_unfinished = matches!(step, ClaimStep::Write(_) | ClaimStep::Poll);
        if !is_unfinished || !self.give_up_at.is_past(now) {
            return step;
        }
        if self.waits_for_other {
            let detail = "another attempt with this key has no outcome yet";
            return ClaimStep::Unknown(detail.to_owned());
        }
        // After this report the attempt never runs, even if its write still takes
        // effect.
        ClaimStep::GiveUp
    }

    fn found(&mut self, record: ClaimRecord, revision: u64) -> ClaimStep {
        let is_own = record.nonce == self.own.nonce;
        self.waits_for_other = false;
        match record.state {
            // The response to this attempt's write was lost, but the write took effect.
            ClaimState::Held if is_own => {
                self.lost_write = false;
                ClaimStep::Run(revision)
            }
            ClaimState::Released => {
                self.guard = ClaimGuard::Revision(revision);
                ClaimStep::Write(self.guard)
            }
            _ if record.fingerprint != self.own.fingerprint => ClaimStep::Conflict,
            ClaimState::Held => {
                self.waits_for_other = true;
                ClaimStep::Poll
            }
            ClaimState::Answered(answer) => ClaimStep::Replay(answer),
            ClaimState::Unanswered { detail } => ClaimStep::Unknown(detail),
        }
    }
}

/// Next action of an attempt that will not run and may hold a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseStep {
    /// Write the released record with this precondition.
    Write(ClaimGuard),
    /// Read the row again after a pause.
    Poll,
    /// No claim of this attempt can block another one.
    Done,
}

/// Returns the next step to release the claim of `nonce` after a write or a read.
///
/// An abandoned write can take effect minutes later. It would leave a claim whose request
/// never runs, and every later request with the key would get "unknown" forever. A
/// released record in its place makes the late write fail.
pub fn release_step(nonce: &AttemptNonce, reply: &ClaimReply) -> ReleaseStep {
    match reply {
        ClaimReply::Absent => ReleaseStep::Write(ClaimGuard::Absent),
        ClaimReply::Found { record, revision } => {
            let is_own = record.nonce == *nonce;
            let may_be_own = match record.state {
                ClaimState::Held => is_own,
                // The lost write of this attempt may still replace this revision; writing
                // a newer one makes it fail.
                ClaimState::Released => !is_own,
                ClaimState::Answered(_) | ClaimState::Unanswered { .. } => false,
            };
            if may_be_own {
                ReleaseStep::Write(ClaimGuard::Revision(*revision))
            } else {
                ReleaseStep::Done
            }
        }
        ClaimReply::Written(_) => ReleaseStep::Done,
        ClaimReply::NoEffect | ClaimReply::Lost => ReleaseStep::Poll,
    }
}

/// Key of the row of a keyed request.
pub fn claim_row(workspace: &WorkspaceId, service: &ServiceName, key: &RequestKey) -> String {
    format!("request/{workspace}/{service}/{key}")
}
