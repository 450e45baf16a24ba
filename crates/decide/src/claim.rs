//! The claim on a keyed request that runs at most once.
//!
//! The agent that would run a request first writes `request/<key>` with its
//! attempt's nonce, if no such row exists or the row's claim was released. A
//! held claim is never taken over: its holder may be paused and still run the
//! request later, so a second run could not be excluded. Others get the
//! recorded outcome, or learn that it is unknown.

use cassiawheel_model::{
    AttemptNonce, Deadline, HeaderField, ModelVersion, PresetRevision, RequestKey, ServiceName,
    Timestamp, WorkspaceId, record,
};
use macro_rules_attribute::apply;

/// The row of one keyed request.
#[apply(record!)]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// The attempt that wrote the claim.
    pub nonce: AttemptNonce,
    /// Digest of service, method, path and body; another request may not use the key.
    pub fingerprint: String,
    /// How far the attempt got.
    pub state: ClaimState,
}

/// How far the holder of a claim got.
#[apply(record!)]
#[derive(Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The holder may run the request, now or later.
    Held,
    /// The holder did not run the request and never will.
    Released,
    /// The request ran and this is its whole answer.
    Answered(RecordedAnswer),
    /// The request may have run; there is no answer to repeat.
    Unanswered {
        /// Why, in a short sentence.
        detail: String,
    },
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
    /// Further header fields.
    #[serde(default)]
    pub headers: Vec<HeaderField>,
    /// The version that answered.
    pub version: Option<ModelVersion>,
    /// The preset under which it ran.
    pub revision: PresetRevision,
    /// The body as hexadecimal digits.
    pub body: String,
}

/// What must hold of the row for a claim to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimGuard {
    /// There is no row.
    Absent,
    /// The row still has the revision in which its claim was released.
    Revision(u64),
}

/// What the table service said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// Our write took effect and gave the row this revision.
    Written(u64),
    /// The row is this.
    Found {
        /// Its content.
        record: ClaimRecord,
        /// Its revision.
        revision: u64,
    },
    /// The row does not exist; a write that is still on its way may yet create it.
    Absent,
    /// The call took no effect.
    NoEffect,
    /// The call may have taken effect, or may yet do so.
    Lost,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write the claim under this guard.
    Write(ClaimGuard),
    /// Look at the row after a pause.
    Poll,
    /// Run the request: the claim is ours and the row has this revision.
    Run(u64),
    /// Give this recorded answer.
    Replay(RecordedAnswer),
    /// Tell that the request may have run.
    Unknown(String),
    /// The key is bound to another request.
    Conflict,
    /// Tell that the request was not run: the table service cannot be reached.
    GiveUp,
}

/// The claim of one attempt.
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
    /// An attempt that has written nothing and gives up at `give_up_at`.
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

    /// The record that claims the request.
    pub fn record(&self) -> &ClaimRecord {
        &self.own
    }

    /// The same record in another state.
    pub fn record_as(&self, state: ClaimState) -> ClaimRecord {
        ClaimRecord { state, ..self.own.clone() }
    }

    /// Whether a write of this attempt may take effect that is not known to have.
    pub fn is_uncertain(&self) -> bool {
        self.writing || self.lost_write
    }

    /// Whether another attempt holds the claim, as far as is known.
    pub fn waits_for_other(&self) -> bool {
        self.waits_for_other
    }

    /// Notes that a write was sent; until its answer it may take effect.
    pub fn begin_write(&mut self) {
        self.writing = true;
    }

    /// Decides after the answer to a write or a look.
    pub fn next(&mut self, view: ClaimReply, now: Timestamp) -> ClaimStep {
        self.lost_write |= self.writing && view == ClaimReply::Lost;
        self.writing = false;
        let step = match view {
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
            // The answer is lost, so only the row can tell; its absence does
            // not, but a second write with the same nonce does no harm.
            ClaimReply::Lost => ClaimStep::Poll,
        };
        let goes_on = matches!(step, ClaimStep::Write(_) | ClaimStep::Poll);
        if !goes_on || !self.give_up_at.is_past(now) {
            return step;
        }
        if self.waits_for_other {
            let detail = "another attempt with this key has no outcome yet";
            return ClaimStep::Unknown(detail.to_owned());
        }
        // This nonce never runs once the caller has been told so, whether or
        // not its write still takes effect.
        ClaimStep::GiveUp
    }

    fn found(&mut self, record: ClaimRecord, revision: u64) -> ClaimStep {
        let ours = record.nonce == self.own.nonce;
        self.waits_for_other = false;
        match record.state {
            // The answer to our own write was lost; the row shows its effect.
            ClaimState::Held if ours => {
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

/// What an attempt that will not run does about a claim that it may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseStep {
    /// Write the released record under this guard.
    Write(ClaimGuard),
    /// Look at the row after a pause.
    Poll,
    /// Nothing of this attempt stands in the way of another.
    Done,
}

/// Decides about the release of `nonce`'s claim after the answer to a write or a look.
///
/// A write that was given up on can take effect minutes later. It would leave
/// a claim that nobody runs, and every later arrival of the key would be told
/// "unknown" for ever. A released record in its place makes the late write fail.
pub fn release_step(nonce: &AttemptNonce, view: &ClaimReply) -> ReleaseStep {
    match view {
        ClaimReply::Absent => ReleaseStep::Write(ClaimGuard::Absent),
        ClaimReply::Found { record, revision } => {
            let ours = record.nonce == *nonce;
            let may_be_ours = match record.state {
                ClaimState::Held => ours,
                // Our lost write may still replace this revision; a newer one
                // makes it fail.
                ClaimState::Released => !ours,
                ClaimState::Answered(_) | ClaimState::Unanswered { .. } => false,
            };
            if may_be_ours {
                ReleaseStep::Write(ClaimGuard::Revision(*revision))
            } else {
                ReleaseStep::Done
            }
        }
        ClaimReply::Written(_) => ReleaseStep::Done,
        ClaimReply::NoEffect | ClaimReply::Lost => ReleaseStep::Poll,
    }
}

/// The key of the row.
pub fn claim_row(workspace: &WorkspaceId, service: &ServiceName, key: &RequestKey) -> String {
    format!("request/{workspace}/{service}/{key}")
}
