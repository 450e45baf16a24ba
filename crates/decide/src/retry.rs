//! Retry policy: whether and when a failed attempt is followed by another.

use std::{
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    time::Duration,
};

use cassiawheel_model::{Deadline, NotRunReason, Repeatability, RequestHead, Timestamp};
use rand::Rng;

/// How an attempt failed to give a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The request certainly did not run.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(String),
    /// The request may have run; the connection to the endpoint broke before the answer was
    /// complete.
    Lost(String),
    /// The request may have run, and the claim on its key blocks all other attempts.
    Unanswered(String),
    /// Nothing was sent: the endpoint left the routes between its choice and the first byte.
    Withdrawn,
}

/// Next step after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryStep {
    /// Try another endpoint at this time.
    Retry(Deadline),
    /// Try again at this time, also at the same endpoint: it switches weights, or it knows a newer
    /// preset.
    Reroute(Deadline),
    /// Give up and report this failure to the caller.
    Stop(AttemptFailure),
}

/// Protection of a request against a second run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatGuard {
    /// The request may run any number of times.
    Idempotent,
    /// The claim on the request's key lets only one attempt run, whichever process sends others.
    Claimed,
    /// No protection: the request is not sent again if it may have run.
    None,
}

impl RepeatGuard {
    /// Guard that applies to a request.
    pub fn of(head: &RequestHead) -> Self {
        match (head.repeat, &head.key) {
            (Repeatability::Idempotent, _) => Self::Idempotent,
            (Repeatability::AtMostOnce, Some(_)) => Self::Claimed,
            (Repeatability::AtMostOnce, None) => Self::None,
        }
    }
}

/// Maximum of the first backoff, in milliseconds; doubles with each attempt.
const MIN_BACKOFF_MS: u64 = 10;

/// Upper bound of the backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 200;

/// Refusals by endpoints that switch weights which do not count as attempts.
///
/// Endpoints switch in waves, so an attempt may meet the next wave just after the last one has
/// finished. With the backoff, this many refusals span about a second.
const MAX_SWITCHING_REFUSALS: u32 = 12;

/// Choices that may be withdrawn before a request is given up.
const MAX_WITHDRAWALS: u32 = 8;

/// Retry state of one request.
#[derive(Debug, Clone)]
pub struct RetryTracker {
    guard: RepeatGuard,
    deadline: Deadline,
    attempts: u32,
    switching_refusals: u32,
    withdrawals: u32,
    max_attempts: u32,
    unknown: Option<String>,
    refused: Option<NotRunReason>,
}

impl RetryTracker {
    /// Creates the state of a request without attempts.
    pub fn new(guard: RepeatGuard, deadline: Deadline, max_attempts: u32) -> Self {
        Self {
            guard,
            deadline,
            attempts: 0,
            switching_refusals: 0,
            withdrawals: 0,
            max_attempts,
            unknown: None,
            refused: None,
        }
    }

    /// Counts the start of an attempt.
    pub fn begin_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Decides how to continue after a failed attempt.
    pub fn next_step(
        &mut self,
        end: AttemptFailure,
        budget: &RetryBudget,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> RetryStep {
        if end == AttemptFailure::Withdrawn && self.withdrawals < MAX_WITHDRAWALS {
            self.withdrawals += 1;
            self.attempts = self.attempts.saturating_sub(1);
            return RetryStep::Reroute(Deadline(now.0));
        }
        let may_repeat = match &end {
            AttemptFailure::NotRun(reason) => reason.is_retryable(),
            AttemptFailure::Unknown(_) | AttemptFailure::Lost(_) => self.guard != RepeatGuard::None,
            AttemptFailure::Unanswered(_) | AttemptFailure::Withdrawn => false,
        };
        let stale = end == AttemptFailure::NotRun(NotRunReason::StaleRevision);
        let switching = end == AttemptFailure::NotRun(NotRunReason::Switching)
            && self.switching_refusals < MAX_SWITCHING_REFUSALS;
        self.switching_refusals += u32::from(switching);
        self.record(end.clone());
        let next_at = self.next_at(now, rng);
        let counted = self.attempts.saturating_sub(self.switching_refusals);
        let exhausted = counted >= self.max_attempts || next_at >= self.deadline;
        if !may_repeat || exhausted || !budget.withdraw() {
            return self.stop(end);
        }
        if stale || switching { RetryStep::Reroute(next_at) } else { RetryStep::Retry(next_at) }
    }

    fn record(&mut self, end: AttemptFailure) {
        match end {
            AttemptFailure::Unknown(detail)
            | AttemptFailure::Lost(detail)
            | AttemptFailure::Unanswered(detail) => {
                self.unknown = Some(detail);
            }
            // "No endpoint left" is less useful to the caller than the reason of the last refusal,
            // so it does not replace that one.
            AttemptFailure::NotRun(NotRunReason::NoEndpoint) | AttemptFailure::Withdrawn => {}
            AttemptFailure::NotRun(reason) => self.refused = Some(reason),
        }
    }

    fn next_at(&self, now: Timestamp, rng: &mut impl Rng) -> Deadline {
        let doublings = self.attempts.saturating_sub(1).min(8);
        let max_wait_ms = (MIN_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        // Full jitter keeps entries that were refused together from retrying together.
        now.deadline_after(Duration::from_millis(rng.random_range(0..=max_wait_ms)))
    }

    fn stop(&self, end: AttemptFailure) -> RetryStep {
        // If an earlier attempt may have run, the outcome stays unknown even if the last attempt
        // was refused.
        if let Some(detail) = &self.unknown {
            return RetryStep::Stop(AttemptFailure::Unknown(detail.clone()));
        }
        let end = match (end, self.refused) {
            (
                AttemptFailure::NotRun(NotRunReason::NoEndpoint) | AttemptFailure::Withdrawn,
                Some(reason),
            ) => AttemptFailure::NotRun(reason),
            (end, _) => end,
        };
        RetryStep::Stop(end)
    }
}

/// Cost of a retry, in thousandths of a token.
const RETRY_COST: u32 = 1_000;

/// Default number of retries that each request earns.
const DEFAULT_RATIO: f64 = 0.1;

/// Default number of retries that an idle entry may send at once.
const DEFAULT_BURST: f64 = 100.0;

/// Retry budget of one entry: a token bucket that requests fill.
///
/// When most endpoints refuse, unbounded retries would multiply the load that made them refuse. In
/// any period, an entry sends at most its burst plus a fixed ratio of its requests as retries.
///
/// The burst belongs to the place of an entry, not to its process: a former process there may just
/// have used it. A process that starts has none until the period is over.
#[derive(Debug)]
pub struct RetryBudget {
    /// Tokens that each request adds, in thousandths.
    deposit: u32,
    /// Maximum number of saved tokens, in thousandths.
    burst: AtomicU32,
    balance: AtomicU32,
    /// Whether the first burst was added.
    has_burst: AtomicBool,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(DEFAULT_RATIO, DEFAULT_BURST)
    }
}

impl RetryBudget {
    /// Creates a full budget of `ratio` retries per request and at most `burst` at once.
    pub fn new(ratio: f64, burst: f64) -> Self {
        let budget = Self::starting(ratio, burst);
        budget.grant_burst();
        budget
    }

    /// Creates the budget of a process that has just started, without a burst.
    pub fn starting(ratio: f64, burst: f64) -> Self {
        Self {
            deposit: (ratio * f64::from(RETRY_COST)) as u32,
            burst: AtomicU32::new((burst * f64::from(RETRY_COST)) as u32),
            balance: AtomicU32::new(0),
            has_burst: AtomicBool::new(false),
        }
    }

    /// Fills the budget, the first time only.
    pub fn grant_burst(&self) {
        if !self.has_burst.swap(true, Ordering::Relaxed) {
            self.balance.fetch_max(self.burst.load(Ordering::Relaxed), Ordering::Relaxed);
        }
    }

    /// Changes the maximum number of saved retries, which entries share and which is adjusted as
    /// their number changes. Tokens above it are lost.
    pub fn set_burst(&self, burst: f64) {
        let burst = (burst * f64::from(RETRY_COST)) as u32;
        if self.burst.swap(burst, Ordering::Relaxed) > burst {
            self.balance.fetch_min(burst, Ordering::Relaxed);
        }
    }

    /// Adds the tokens of one request.
    pub fn deposit(&self) {
        let limit = self.burst.load(Ordering::Relaxed);
        let next = |balance: u32| (balance < limit).then(|| (balance + self.deposit).min(limit));
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }

    /// Takes one retry; false if the budget is exhausted.
    pub fn withdraw(&self) -> bool {
        let next = |balance: u32| balance.checked_sub(RETRY_COST);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).is_ok()
    }
}
