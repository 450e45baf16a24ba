//! Whether a failed attempt may be followed by another.

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use cassiawheel_model::{Deadline, NotRunReason, Repeatability, RequestHead, Timestamp};
use rand::Rng;

/// How an attempt ended without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptFailure {
    /// It is known not to have run.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(String),
    /// It may have run; the connection to the endpoint ended before the answer did.
    Lost(String),
    /// It may have run, and the claim on its key lets no other attempt run.
    Unanswered(String),
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryStep {
    /// Try another endpoint at this moment.
    Retry(Deadline),
    /// Try again under the newer preset; the endpoint itself is fine.
    Reroute(Deadline),
    /// Tell the caller how the attempt ended.
    Stop(AttemptFailure),
}

/// What protects a request from a second run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatGuard {
    /// It may run any number of times.
    Idempotent,
    /// The claim on its key lets one attempt run, whoever sends others.
    Claimed,
    /// Nothing does: it is not sent again after a possible run.
    None,
}

impl RepeatGuard {
    /// The guard of a request.
    pub fn of(head: &RequestHead) -> Self {
        match (head.repeat, &head.key) {
            (Repeatability::Idempotent, _) => Self::Idempotent,
            (Repeatability::AtMostOnce, Some(_)) => Self::Claimed,
            (Repeatability::AtMostOnce, None) => Self::None,
        }
    }
}

/// First wait before another attempt, in milliseconds; doubled each time.
const MIN_BACKOFF_MS: u64 = 10;

/// Longest wait before another attempt, in milliseconds.
const MAX_BACKOFF_MS: u64 = 200;

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct RetryTracker {
    guard: RepeatGuard,
    deadline: Deadline,
    attempts: u32,
    max_attempts: u32,
    unknown: Option<String>,
    refused: Option<NotRunReason>,
}

impl RetryTracker {
    /// A request that has not been tried yet.
    pub fn new(guard: RepeatGuard, deadline: Deadline, max_attempts: u32) -> Self {
        Self { guard, deadline, attempts: 0, max_attempts, unknown: None, refused: None }
    }

    /// Notes that an attempt starts.
    pub fn begin_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Decides after an attempt that gave no whole answer.
    pub fn next_step(
        &mut self,
        end: AttemptFailure,
        budget: &RetryBudget,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> RetryStep {
        let may_repeat = match &end {
            AttemptFailure::NotRun(reason) => reason.is_retryable(),
            AttemptFailure::Unknown(_) | AttemptFailure::Lost(_) => self.guard != RepeatGuard::None,
            AttemptFailure::Unanswered(_) => false,
        };
        let stale = end == AttemptFailure::NotRun(NotRunReason::StaleRevision);
        self.note(end.clone());
        let next_at = self.next_at(now, rng);
        let exhausted = self.attempts >= self.max_attempts || next_at >= self.deadline;
        if !may_repeat || exhausted || !budget.withdraw() {
            return self.stop(end);
        }
        if stale { RetryStep::Reroute(next_at) } else { RetryStep::Retry(next_at) }
    }

    fn note(&mut self, end: AttemptFailure) {
        match end {
            AttemptFailure::Unknown(detail)
            | AttemptFailure::Lost(detail)
            | AttemptFailure::Unanswered(detail) => {
                self.unknown = Some(detail);
            }
            // That no other endpoint is left says less than why the last one
            // refused, which is what its caller can act on.
            AttemptFailure::NotRun(NotRunReason::NoEndpoint) => {}
            AttemptFailure::NotRun(reason) => self.refused = Some(reason),
        }
    }

    fn next_at(&self, now: Timestamp, rng: &mut impl Rng) -> Deadline {
        let doublings = self.attempts.saturating_sub(1).min(8);
        let longest = (MIN_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        // Full jitter: entries that were refused together do not come back together.
        now.deadline_after(Duration::from_millis(rng.random_range(0..=longest)))
    }

    fn stop(&self, end: AttemptFailure) -> RetryStep {
        // An earlier attempt may have run, so "not run" would be a lie even if
        // the last attempt was refused.
        if let Some(detail) = &self.unknown {
            return RetryStep::Stop(AttemptFailure::Unknown(detail.clone()));
        }
        let end = match (end, self.refused) {
            (AttemptFailure::NotRun(NotRunReason::NoEndpoint), Some(reason)) => {
                AttemptFailure::NotRun(reason)
            }
            (end, _) => end,
        };
        RetryStep::Stop(end)
    }
}

/// Price of a retry, in thousandths.
const PRICE: u32 = 1_000;

/// Retries for each request, unless a deployment states another ratio.
const USUAL_RATIO: f64 = 0.1;

/// Retries that an idle entry may make at once, unless a deployment states another number.
const USUAL_SAVINGS: f64 = 100.0;

/// Retries that one entry may make: a share of its requests, and a few at once.
///
/// When most endpoints refuse, retries would multiply the load that made them
/// refuse. One would notice attempts at a multiple of the requests; a budget
/// that requests earn bounds them. In any window of time an entry makes at most
/// its savings and its share of the requests in that window.
#[derive(Debug)]
pub struct RetryBudget {
    /// Share of a retry that each request earns, in thousandths.
    earned: u32,
    /// Most retries that are saved up, in thousandths.
    savings: AtomicU32,
    balance: AtomicU32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(USUAL_RATIO, USUAL_SAVINGS)
    }
}

impl RetryBudget {
    /// A budget of `ratio` retries for each request and `savings` at once.
    pub fn new(ratio: f64, savings: f64) -> Self {
        let savings = (savings * f64::from(PRICE)) as u32;
        Self {
            earned: (ratio * f64::from(PRICE)) as u32,
            savings: AtomicU32::new(savings),
            balance: AtomicU32::new(savings),
        }
    }

    /// Changes the retries that are saved up at most, as entries come and go that share
    /// them with this one. What is saved beyond that is lost.
    pub fn set_burst(&self, savings: f64) {
        let savings = (savings * f64::from(PRICE)) as u32;
        if self.savings.swap(savings, Ordering::Relaxed) > savings {
            self.balance.fetch_min(savings, Ordering::Relaxed);
        }
    }

    /// Notes a request.
    pub fn deposit(&self) {
        let most = self.savings.load(Ordering::Relaxed);
        let earned = |balance: u32| (balance < most).then(|| (balance + self.earned).min(most));
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, earned);
    }

    /// Takes one retry; false if there is none.
    pub fn withdraw(&self) -> bool {
        let pay = |balance: u32| balance.checked_sub(PRICE);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, pay).is_ok()
    }
}
