//! Whether a failed attempt may be followed by another.

use cassiawheel_model::{Deadline, NotRunReason, Repeatability, Timestamp};

/// How an attempt ended without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It is known not to have run.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(String),
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryStep {
    /// Try another endpoint.
    Again,
    /// Tell the caller how the attempt ended.
    Stop(AttemptEnd),
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct RetryTracker {
    repeat: Repeatability,
    deadline: Deadline,
    attempts: u32,
    max_attempts: u32,
    unknown: Option<String>,
}

impl RetryTracker {
    /// A request that has not been tried yet.
    pub fn new(repeat: Repeatability, deadline: Deadline, max_attempts: u32) -> Self {
        Self { repeat, deadline, attempts: 0, max_attempts, unknown: None }
    }

    /// Notes that an attempt starts.
    pub fn begin(&mut self) {
        self.attempts += 1;
    }

    /// Attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Decides after an attempt that gave no whole answer.
    ///
    /// `answer_begun` tells that the caller has already received a part, after
    /// which another endpoint's answer must not be mixed in.
    pub fn after(&mut self, end: AttemptEnd, answer_begun: bool, now: Timestamp) -> RetryStep {
        let may_repeat = match &end {
            AttemptEnd::NotRun(reason) => reason.is_retryable(),
            AttemptEnd::Unknown(detail) => {
                self.unknown = Some(detail.clone());
                self.repeat == Repeatability::Idempotent
            }
        };
        let exhausted = self.attempts >= self.max_attempts || self.deadline.is_past(now);
        if may_repeat && !answer_begun && !exhausted {
            return RetryStep::Again;
        }
        self.stop(end)
    }

    /// The final word when no further attempt is possible.
    pub fn stop(&self, end: AttemptEnd) -> RetryStep {
        // An earlier attempt may have run, so "not run" would be a lie even if
        // the last attempt was refused.
        RetryStep::Stop(match &self.unknown {
            Some(detail) => AttemptEnd::Unknown(detail.clone()),
            None => end,
        })
    }
}
