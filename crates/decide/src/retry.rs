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
        self.record(end.clone());
        let next_at = self.next_at(now, rng);
        let exhausted = self.attempts >= self.max_attempts || next_at >= self.deadline;
        if !may_repeat || exhausted || !budget.withdraw() {
            return self.stop(end);
        }
        if stale { RetryStep::Reroute(next_at) } else { RetryStep::Retry(next_at) }
    }

    fn record(&mut self, end: AttemptFailure) {
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
        let max_wait_ms = (MIN_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        // Full jitter: entries that were refused together do not come back together.
        now.deadline_after(Duration::from_millis(rng.random_range(0..=max_wait_ms)))
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
const RETRY_COST: u32 = 1_000;

/// Retries for each request, unless a deployment states another ratio.
const DEFAULT_RATIO: f64 = 0.1;

/// Retries that an idle entry may make at once, unless a deployment states another number.
const DEFAULT_BURST: f64 = 100.0;

/// Retries that one entry may make: a share of its requests, and a few at once.
///
/// When most endpoints refuse, retries would multiply the load that made them
/// refuse. One would notice attempts at a multiple of the requests; a budget
/// that requests earn bounds them. In any window of time an entry makes at most
/// its savings and its share of the requests in that window.
#[derive(Debug)]
pub struct RetryBudget {
    /// Share of a retry that each request earns, in thousandths.
    deposit: u32,
    /// Most retries that are saved up, in thousandths.
    burst: AtomicU32,
    balance: AtomicU32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(DEFAULT_RATIO, DEFAULT_BURST)
    }
}

impl RetryBudget {
    /// A budget of `ratio` retries for each request and `savings` at once.
    pub fn new(ratio: f64, burst: f64) -> Self {
        let burst = (burst * f64::from(RETRY_COST)) as u32;
        Self {
            deposit: (ratio * f64::from(RETRY_COST)) as u32,
            burst: AtomicU32::new(burst),
            balance: AtomicU32::new(burst),
        }
    }

    /// Changes the retries that are saved up at most, as entries come and go that share
    /// them with this one. What is saved beyond that is lost.
    pub fn set_burst(&self, burst: f64) {
        let burst = (burst * f64::from(RETRY_COST)) as u32;
        if self.burst.swap(burst, Ordering::Relaxed) > burst {
            self.balance.fetch_min(burst, Ordering::Relaxed);
        }
    }

    /// Notes a request.
    pub fn deposit(&self) {
        let limit = self.burst.load(Ordering::Relaxed);
        let next = |balance: u32| (balance < limit).then(|| (balance + self.deposit).min(limit));
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }

    /// Takes one retry; false if there is none.
    pub fn withdraw(&self) -> bool {
        let next = |balance: u32| balance.checked_sub(RETRY_COST);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).is_ok()
    }
}
