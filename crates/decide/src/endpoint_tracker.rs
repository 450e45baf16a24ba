//! What one entry knows of one endpoint's load and health, in atomics.
//!
//! Requests read and change it without a lock; it outlives the snapshots that
//! point to it, so that a change of the roster loses nothing.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use cassiawheel_model::{LoadReport, Timestamp};

/// Age up to which a load report counts in full where no gate stands before the
/// endpoint, in milliseconds.
///
/// Under overload what one entry takes for free another takes as well. A report
/// that fades at once lets all of them together send more than fits, and every
/// answer comes late.
const FRESH_MS: u64 = 800;

/// Age at which a load report no longer counts, in milliseconds.
const REPORT_TTL_MS: u64 = 2_000;

/// Weight of a new delay in the mean, as a negative power of two.
const DELAY_SHIFT: u32 = 1;

/// Age at which measured delays no longer count, in milliseconds.
const DELAY_TTL_MS: u64 = 3_000;

/// Time until an answer begins beyond which an endpoint counts as slow, in milliseconds.
///
/// At full load 99 of 100 answers begin within 800 ms. Callers leave after some
/// two seconds, and what waits at a slow endpoint then is work for nobody.
const SLOW_MS: u32 = 1_000;

/// Sixteenths of a request, in which the adaptive limit is kept.
const LIMIT_SCALE: u32 = 16;

/// Time in which refusals lower the limit only once, in milliseconds.
///
/// A full endpoint refuses all that is on its way; one overload counts once.
const CUT_INTERVAL_MS: u64 = 50;

/// Failures in a row after which an endpoint is ejected.
const EJECT_FAILURES: u32 = 3;

/// First time of an ejection, in milliseconds; doubled each time.
const MIN_EJECT_MS: u64 = 1_000;

/// Longest time of an ejection, in milliseconds.
const MAX_EJECT_MS: u64 = 30_000;

/// Time after a request was due from which on it is overdue, in microseconds.
const OVERDUE_US: u64 = 1_000_000;

/// Bits of a packed report that hold its moment.
const TIME_BITS: u32 = 48;

/// How fast an entry may send to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointPace {
    /// Time between two requests, in microseconds.
    interval_us: u64,
    /// Time until the first of an entry that has sent none, in microseconds.
    first_us: u64,
}

impl EndpointPace {
    /// No request at all.
    pub const ZERO: Self = Self { interval_us: u64::MAX, first_us: u64::MAX };

    /// `rate` requests a second.
    pub fn from_rate(rate: f64) -> Self {
        // Conversion saturates: a rate near zero gives no request at all.
        let interval_us = ((1e6 / rate) as u64).max(1);
        Self { interval_us, first_us: interval_us }
    }

    /// The same pace with a first request after `part` of the time between two.
    pub fn with_first_delay(self, part: f64) -> Self {
        Self { first_us: (self.interval_us as f64 * part) as u64, ..self }
    }
}

/// Load and health of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointTracker {
    in_flight: AtomicU32,
    report: AtomicU64,
    hard_limit: AtomicU32,
    limit: AtomicU32,
    cut_at: AtomicU64,
    failures: AtomicU32,
    ejected_until: AtomicU64,
    /// Mean time until an answer begins, in milliseconds.
    delay_ms: AtomicU32,
    delay_updated_at: AtomicU64,
    /// Requests of which no answer has begun yet.
    unanswered: AtomicU32,
    /// When an answer began last, or the first of those requests was sent.
    progress_at: AtomicU64,
    /// Time between two requests, in microseconds; zero if the endpoint names no limit.
    interval_us: AtomicU64,
    /// When the next request may be sent, in microseconds.
    next_at_us: AtomicU64,
}

impl EndpointTracker {
    /// Requests that this entry has in progress there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request.
    pub fn acquire(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request if fewer than `most` are in progress; false if not.
    ///
    /// Looked at and counted in one step: between the two another thread could
    /// take the same last place.
    pub fn try_acquire(&self, max_in_flight: u32) -> bool {
        let next = |count: u32| (count < max_in_flight).then(|| count + 1);
        self.in_flight.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).is_ok()
    }

    /// Counts a request no more.
    pub fn release(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Sets how fast this entry may send; none as fast as there is room.
    ///
    /// An entry that may send from now on waits first: what another one sent until now
    /// counts against the same limit.
    pub fn set_pace(&self, pace: Option<EndpointPace>, now: Timestamp) {
        let (interval_us, first_us) = pace.map_or((0, 0), |p| (p.interval_us, p.first_us));
        let before = self.interval_us.swap(interval_us, Ordering::Relaxed);
        if interval_us == before || interval_us == 0 {
            return;
        }
        let now_us = micros(now);
        let wait_us = match before {
            _ if interval_us == u64::MAX => u64::MAX,
            0 | u64::MAX => first_us,
            // What is left of the wait changes with the pace, and with it the order in
            // which entries send that change theirs at the same moment.
            _ => {
                let left_us = self.next_at_us.load(Ordering::Relaxed).saturating_sub(now_us);
                (left_us as f64 / before as f64 * interval_us as f64) as u64
            }
        };
        self.next_at_us.store(now_us.saturating_add(wait_us), Ordering::Relaxed);
    }

    /// Whether the endpoint names a limit, or did so a moment ago.
    pub fn is_paced(&self) -> bool {
        self.interval_us.load(Ordering::Relaxed) != 0
    }

    /// Whether the pace lets a request be sent now.
    pub fn is_due(&self, now: Timestamp) -> bool {
        !self.is_paced() || micros(now) >= self.next_at_us.load(Ordering::Relaxed)
    }

    /// Whether a request has been due for so long that nobody would learn of the limit's end.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        let next_at_us = self.next_at_us.load(Ordering::Relaxed);
        self.is_paced() && micros(now) >= next_at_us.saturating_add(OVERDUE_US)
    }

    /// Takes the place of a request in the pace; false if it is not due.
    fn take_slot(&self, now: Timestamp) -> bool {
        let interval_us = self.interval_us.load(Ordering::Relaxed);
        if interval_us == 0 {
            return true;
        }
        let now_us = micros(now);
        let next = |next_at_us: u64| {
            // Half an interval late is made up for, or a rate would never be reached.
            let from_us = next_at_us.max(now_us.saturating_sub(interval_us / 2));
            (now_us >= next_at_us).then(|| from_us.saturating_add(interval_us))
        };
        self.next_at_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).is_ok()
    }

    /// Counts a request if fewer than `most` are in progress and the pace lets it be sent;
    /// false if not.
    pub fn try_acquire_paced(&self, max_in_flight: u32, now: Timestamp) -> bool {
        if !self.try_acquire(max_in_flight) {
            return false;
        }
        let is_taken = self.take_slot(now);
        if !is_taken {
            self.release();
        }
        is_taken
    }

    /// Takes the endpoint's own report of its load and the limit of its gate.
    pub fn apply_report(&self, load: &LoadReport, limit: u32) {
        // The report counts our own requests too; what is left is the others'.
        let others = (load.in_flight + load.queued).saturating_sub(self.in_flight());
        let measured_at = load.measured_at.0 & ((1 << TIME_BITS) - 1);
        let others = u64::from(others.min(u32::from(u16::MAX)));
        self.report.store(others << TIME_BITS | measured_at, Ordering::Relaxed);
        self.set_hard_limit(limit);
    }

    /// Most requests that the endpoint takes, as it told.
    pub fn hard_limit(&self) -> u32 {
        self.hard_limit.load(Ordering::Relaxed)
    }

    /// Takes the most requests that the endpoint takes, without a word of its load.
    pub fn set_hard_limit(&self, limit: u32) {
        if self.hard_limit.swap(limit, Ordering::Relaxed) != limit {
            self.limit.store(limit.saturating_mul(LIMIT_SCALE), Ordering::Relaxed);
        }
    }

    /// Requests that this entry may have in progress there.
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed) / LIMIT_SCALE
    }

    /// Own requests, and others' by the last report, discounted by its age.
    pub fn load(&self, now: Timestamp) -> u32 {
        self.in_flight() + self.others_in_flight(now)
    }

    /// Requests of others by the last report, discounted by its age.
    pub fn others_in_flight(&self, now: Timestamp) -> u32 {
        self.weighted_others(now, 0)
    }

    /// Requests of others by the last report, which counts in full while it is fresh.
    pub fn recent_others(&self, now: Timestamp) -> u32 {
        self.weighted_others(now, FRESH_MS)
    }

    fn weighted_others(&self, now: Timestamp, fresh_ms: u64) -> u32 {
        let report = self.report.load(Ordering::Relaxed);
        let measured_at = Timestamp(report & ((1 << TIME_BITS) - 1));
        let age = now.0.saturating_sub(measured_at.0);
        let weight = REPORT_TTL_MS.saturating_sub(age.max(fresh_ms));
        ((report >> TIME_BITS) * weight / (REPORT_TTL_MS - fresh_ms)) as u32
    }

    /// Notes that a request was sent, of which [`Self::record_delay`] tells more.
    pub fn record_sent(&self, now: Timestamp) {
        if self.unanswered.fetch_add(1, Ordering::Relaxed) == 0 {
            self.progress_at.store(now.0, Ordering::Relaxed);
        }
    }

    /// Notes how long a request waited for the beginning of its answer, or has
    /// waited so far when it was given up.
    pub fn record_delay(&self, delay_ms: u64, answered: bool, now: Timestamp) {
        self.unanswered.fetch_sub(1, Ordering::Relaxed);
        if answered {
            self.progress_at.store(now.0, Ordering::Relaxed);
        }
        let before = self.mean_delay(now);
        let delay = u32::try_from(delay_ms).unwrap_or(u32::MAX);
        let mean = match before {
            0 => delay,
            before if delay > before => before + ((delay - before) >> DELAY_SHIFT),
            before => before - ((before - delay) >> DELAY_SHIFT),
        };
        self.delay_ms.store(mean, Ordering::Relaxed);
        self.delay_updated_at.store(now.0, Ordering::Relaxed);
    }

    /// Time until an answer begins here, in milliseconds; zero if not known.
    ///
    /// The mean of late, or the time for which nothing was heard while requests
    /// wait, whichever is longer: an endpoint that fell silent would else get
    /// more and more until the first of them is given up.
    pub fn delay_ms(&self, now: Timestamp) -> u32 {
        let silence_ms = match self.unanswered.load(Ordering::Relaxed) {
            0 => 0,
            _ => now.0.saturating_sub(self.progress_at.load(Ordering::Relaxed)),
        };
        self.mean_delay(now).max(u32::try_from(silence_ms).unwrap_or(u32::MAX))
    }

    /// Whether the endpoint takes so long to answer that others should be asked.
    ///
    /// After a while it gets one request at a time, by which it shows whether it
    /// has recovered.
    pub fn is_slow(&self, now: Timestamp) -> bool {
        if self.delay_ms(now) >= SLOW_MS {
            return true;
        }
        let was_slow = self.delay_ms.load(Ordering::Relaxed) >= SLOW_MS;
        was_slow && self.unanswered.load(Ordering::Relaxed) > 0
    }

    fn mean_delay(&self, now: Timestamp) -> u32 {
        let age = now.0.saturating_sub(self.delay_updated_at.load(Ordering::Relaxed));
        if age > DELAY_TTL_MS { 0 } else { self.delay_ms.load(Ordering::Relaxed) }
    }

    /// Notes an answer: raises the limit by one per round of full use.
    pub fn record_success(&self) {
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
        let limit = self.limit.load(Ordering::Relaxed);
        let max_limit = self.hard_limit.load(Ordering::Relaxed).saturating_mul(LIMIT_SCALE);
        let is_used = self.in_flight() * LIMIT_SCALE * 2 >= limit;
        if is_used && limit < max_limit {
            let step = (LIMIT_SCALE * LIMIT_SCALE / limit.max(1)).max(1);
            self.limit.store((limit + step).min(max_limit), Ordering::Relaxed);
        }
    }

    /// Notes a refusal for overload: lowers the limit by an eighth.
    pub fn record_refusal(&self, now: Timestamp) {
        let cut_at = self.cut_at.load(Ordering::Relaxed);
        if now.0 < cut_at + CUT_INTERVAL_MS {
            return;
        }
        let cut = self.cut_at.compare_exchange(cut_at, now.0, Ordering::Relaxed, Ordering::Relaxed);
        if cut.is_ok() {
            let limit = self.limit.load(Ordering::Relaxed);
            self.limit.store((limit - limit / 8).max(LIMIT_SCALE), Ordering::Relaxed);
        }
    }

    /// Notes a failure; true if there were enough in a row for an ejection.
    pub fn record_failure(&self) -> bool {
        self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= EJECT_FAILURES
    }

    /// Keeps requests away for a while that doubles with each further failure.
    pub fn eject(&self, now: Timestamp) {
        let excess = self.failures.load(Ordering::Relaxed).saturating_sub(EJECT_FAILURES);
        let duration_ms = (MIN_EJECT_MS << excess.min(5)).min(MAX_EJECT_MS);
        self.ejected_until.store(now.0 + duration_ms, Ordering::Relaxed);
    }

    /// Whether requests are kept away.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now.0 < self.ejected_until.load(Ordering::Relaxed)
    }
}

fn micros(now: Timestamp) -> u64 {
    now.0.saturating_mul(1_000)
}
