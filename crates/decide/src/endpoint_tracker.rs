//! Load and health of one endpoint as one entry sees them, in atomics.
//!
//! Requests read and update a tracker without a lock. It outlives the route snapshots that refer to
//! it, so that a membership change keeps the measured state.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiawheel_model::{LoadReport, Timestamp};

use crate::{
    endpoint_backoff::EndpointBackoff, endpoint_speed::EndpointSpeed, region_delay::RegionDelays,
};

/// Age up to which a load report counts in full where no gate protects the endpoint, in
/// milliseconds.
///
/// Under overload, all entries take the capacity that one of them sees as free. If the weight of a
/// report decayed at once, they would together send more than fits, and every answer would be late.
const FRESH_MS: u64 = 800;

/// Age at which a load report stops counting, in milliseconds.
const REPORT_TTL_MS: u64 = 2_000;

/// Weight of a new sample in the moving average of the delay: two to the power of minus this.
const DELAY_SHIFT: u32 = 1;

/// Age at which measured delays stop counting, in milliseconds.
const DELAY_TTL_MS: u64 = 3_000;

/// Time until an answer begins from which an endpoint counts as slow, in milliseconds.
///
/// At full load, 99 of 100 answers begin within 800 ms. Callers give up after about two seconds, so
/// requests queued at a slow endpoint are wasted work.
const SLOW_MS: u32 = 1_000;

/// Fixed-point scale of the adaptive limit: it is stored in sixteenths of a request.
const LIMIT_SCALE: u32 = 16;

/// Minimum time between two decreases of the limit, in milliseconds.
///
/// A full endpoint refuses all requests that are on the way; one overload counts once.
const CUT_INTERVAL_MS: u64 = 50;

/// Consecutive failures after which an endpoint is ejected.
const EJECT_FAILURES: u32 = 3;

/// Duration of the first ejection, in milliseconds; each further one doubles it.
const MIN_EJECT_MS: u64 = 1_000;

/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECT_MS: u64 = 30_000;

/// Time past its due time at which a request counts as overdue, in microseconds.
const OVERDUE_US: u64 = 1_000_000;

/// Age of the last load report of its agent from which an endpoint is no member of a path, in
/// milliseconds.
///
/// Loads arrive every 200 to 600 ms, so one or two may be lost. An agent loads another version only
/// 2,500 ms after it has reported that it holds no layers, so that an entry which hears nothing more
/// of it has stopped using the former ones.
pub const PATH_TTL_MS: u64 = 1_500;

/// Bits of a packed report that hold its timestamp; the rest holds the request count.
const TIME_BITS: u32 = 48;

/// Interval at which an entry may send to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointPace {
    /// Time between two requests, in microseconds.
    interval_us: u64,
    /// Delay of the first request of an entry that has not sent yet, in microseconds.
    first_us: u64,
}

impl EndpointPace {
    /// Allows no request.
    pub const ZERO: Self = Self { interval_us: u64::MAX, first_us: u64::MAX };

    /// Returns the slower of two paces.
    pub fn slower(self, other: Self) -> Self {
        if other.interval_us > self.interval_us { other } else { self }
    }

    /// Pace of `rate` requests per second.
    pub fn from_rate(rate: f64) -> Self {
        // The cast saturates: a rate close to zero allows no request.
        let interval_us = ((1e6 / rate) as u64).max(1);
        Self { interval_us, first_us: interval_us }
    }

    /// The same pace, with the first request after `part` of an interval.
    pub fn with_first_delay(self, part: f64) -> Self {
        Self { first_us: (self.interval_us as f64 * part) as u64, ..self }
    }
}

/// Load and health of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointTracker {
    in_flight: AtomicU32,
    report: AtomicU64,
    /// When the endpoint's agent last reported its load; zero before.
    heard_at: AtomicU64,
    /// Until when the endpoint is no member of a path since it has refused to be one.
    off_paths_until: AtomicU64,
    /// Requests of this entry in flight when the last report arrived.
    own_at_report: AtomicU32,
    hard_limit: AtomicU32,
    limit: AtomicU32,
    cut_at: AtomicU64,
    failures: AtomicU32,
    ejected_until: AtomicU64,
    /// Moving average of the time until an answer begins, in milliseconds.
    delay_ms: AtomicU32,
    delay_updated_at: AtomicU64,
    /// Requests whose answer has not begun.
    unanswered: AtomicU32,
    /// When an answer last began, or when a request was sent while none was unanswered.
    progress_at: AtomicU64,
    /// Time between two requests, in microseconds; zero if the endpoint advertises no rate limit.
    interval_us: AtomicU64,
    /// When the next request may be sent, in microseconds.
    next_at_us: AtomicU64,
    /// Whether requests may no longer be sent to the endpoint.
    withdrawn: AtomicBool,
    backoff: EndpointBackoff,
    speed: EndpointSpeed,
    /// Delays of the endpoint's region; not set if the region is not known.
    region: OnceLock<RegionDelays>,
}

impl EndpointTracker {
    /// Sets the delays of the endpoint's region, the first time only.
    pub fn set_region(&self, delays: RegionDelays) {
        // An endpoint does not move, so a later value is the same.
        self.region.get_or_init(|| delays);
    }

    /// Sets whether requests may no longer be sent to the endpoint.
    pub fn set_withdrawn(&self, is_withdrawn: bool) {
        self.withdrawn.store(is_withdrawn, Ordering::Release);
    }

    /// Whether the endpoint has left the routes since it was chosen from a snapshot.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.load(Ordering::Acquire)
    }

    /// Requests that this entry has in flight at the endpoint.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request unconditionally.
    pub fn acquire(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request if fewer than `max_in_flight` are in flight; false if not.
    ///
    /// Check and increment are one atomic step, or two threads could take the same last slot.
    pub fn try_acquire(&self, max_in_flight: u32) -> bool {
        let next = |count: u32| (count < max_in_flight).then(|| count + 1);
        self.in_flight.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).is_ok()
    }

    /// Ends the count of one request.
    pub fn release(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Sets the interval at which this entry may send; `None` lifts the restriction.
    ///
    /// An entry that starts to send waits first, because requests that another entry has just sent
    /// count against the same limit.
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
            // The remaining wait is scaled with the interval, which keeps the send order of entries
            // whose pace changes at the same time.
            _ => {
                let left_us = self.next_at_us.load(Ordering::Relaxed).saturating_sub(now_us);
                (left_us as f64 / before as f64 * interval_us as f64) as u64
            }
        };
        self.next_at_us.store(now_us.saturating_add(wait_us), Ordering::Relaxed);
    }

    /// Whether the entry's rate is restricted: the endpoint advertises a rate limit or did so
    /// recently.
    pub fn is_paced(&self) -> bool {
        self.interval_us.load(Ordering::Relaxed) != 0
    }

    /// Whether the pace allows a request now.
    pub fn is_due(&self, now: Timestamp) -> bool {
        !self.is_paced() || micros(now) >= self.next_at_us.load(Ordering::Relaxed)
    }

    /// Whether a request has been due for so long that one has to be sent to detect the end of the
    /// limit.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        let next_at_us = self.next_at_us.load(Ordering::Relaxed);
        self.is_paced() && micros(now) >= next_at_us.saturating_add(OVERDUE_US)
    }

    /// Takes the next send slot of the pace; false if it is not due.
    fn take_slot(&self, now: Timestamp) -> bool {
        let interval_us = self.interval_us.load(Ordering::Relaxed);
        if interval_us == 0 {
            return true;
        }
        let now_us = micros(now);
        let next = |next_at_us: u64| {
            // Up to half an interval of lateness is carried over, or the configured rate would
            // never be reached.
            let from_us = next_at_us.max(now_us.saturating_sub(interval_us / 2));
            (now_us >= next_at_us).then(|| from_us.saturating_add(interval_us))
        };
        self.next_at_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).is_ok()
    }

    /// Backoff that the endpoint has requested.
    pub fn backoff(&self) -> &EndpointBackoff {
        &self.backoff
    }

    /// Speed and warm-up of the endpoint.
    pub fn speed(&self) -> &EndpointSpeed {
        &self.speed
    }

    /// Starts a backoff as [`EndpointBackoff::begin`] does.
    ///
    /// The adaptive limit is reset, so that requests return to the endpoint gradually.
    pub fn begin_backoff(&self, span: Duration, jitter: f64, now: Timestamp) -> bool {
        self.limit.store(LIMIT_SCALE, Ordering::Relaxed);
        self.backoff.begin(span, jitter, now)
    }

    /// Counts a request if fewer than `max_in_flight` are in flight, and pace and backoff allow it;
    /// false if not.
    pub fn try_acquire_paced(&self, max_in_flight: u32, now: Timestamp) -> bool {
        if !self.try_acquire(max_in_flight) {
            return false;
        }
        let is_taken = self.backoff.take(now) && self.take_slot(now);
        if !is_taken {
            self.release();
        }
        is_taken
    }

    /// Applies a load report of the endpoint and the limit of its gate.
    pub fn apply_report(&self, load: &LoadReport, limit: u32) {
        // The report includes this entry's requests; the rest belongs to other entries.
        let own = self.in_flight();
        let others = (load.in_flight + load.queued).saturating_sub(own);
        self.own_at_report.store(own, Ordering::Relaxed);
        let measured_at = load.measured_at.0 & ((1 << TIME_BITS) - 1);
        let others = u64::from(others.min(u32::from(u16::MAX)));
        self.report.store(others << TIME_BITS | measured_at, Ordering::Relaxed);
        self.set_hard_limit(limit);
    }

    /// Records that the endpoint's agent measured the load at `measured_at`.
    ///
    /// Answers carry loads as well, but only the agent reports which layers the engine holds.
    pub fn record_heard(&self, measured_at: Timestamp) {
        self.heard_at.fetch_max(measured_at.0, Ordering::Relaxed);
    }

    /// When the endpoint's agent last reported its load; zero before.
    pub fn heard_at(&self) -> Timestamp {
        Timestamp(self.heard_at.load(Ordering::Relaxed))
    }

    /// Records that the endpoint does not hold the layers of a path or cannot compute them.
    ///
    /// It may be used again after as long as its reported layers count, since it has then reported
    /// them anew.
    pub fn leave_paths(&self, now: Timestamp) {
        self.off_paths_until.fetch_max(now.0 + PATH_TTL_MS, Ordering::Relaxed);
    }

    /// Whether the endpoint's agent has reported recently enough for its layers to count.
    pub fn is_heard(&self, now: Timestamp) -> bool {
        now.0 < self.heard_at().0 + PATH_TTL_MS
    }

    /// Whether the layers that the endpoint has reported may be used.
    pub fn may_join_path(&self, now: Timestamp) -> bool {
        self.is_heard(now) && now.0 >= self.off_paths_until.load(Ordering::Relaxed)
    }

    /// Requests of this entry that were in flight when the last report arrived.
    pub fn own_at_report(&self) -> u32 {
        self.own_at_report.load(Ordering::Relaxed)
    }

    /// Maximum of requests that the endpoint accepts, by its own report.
    pub fn hard_limit(&self) -> u32 {
        self.hard_limit.load(Ordering::Relaxed)
    }

    /// Sets the maximum of requests that the endpoint accepts, without a load report.
    pub fn set_hard_limit(&self, limit: u32) {
        if self.hard_limit.swap(limit, Ordering::Relaxed) != limit {
            self.limit.store(limit.saturating_mul(LIMIT_SCALE), Ordering::Relaxed);
        }
    }

    /// Adaptive limit of the requests that this entry may have in flight at the endpoint.
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed) / LIMIT_SCALE
    }

    /// Requests of this entry plus those of others by the last report, weighted by its age.
    pub fn load(&self, now: Timestamp) -> u32 {
        self.in_flight() + self.others_in_flight(now)
    }

    /// Requests of other entries by the last report, weighted by its age.
    pub fn others_in_flight(&self, now: Timestamp) -> u32 {
        self.weighted_others(now, 0)
    }

    /// Requests of other entries by the last report, which counts in full while it is fresh.
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

    /// Records that a request was sent. [`Self::record_delay`] must follow.
    pub fn record_sent(&self, now: Timestamp) {
        if self.unanswered.fetch_add(1, Ordering::Relaxed) == 0 {
            self.progress_at.store(now.0, Ordering::Relaxed);
        }
        if let Some(region) = self.region.get() {
            region.record_sent(now);
        }
    }

    /// Records how long a request waited until its answer began, or until it was abandoned.
    pub fn record_delay(&self, delay_ms: u64, answered: bool, now: Timestamp) {
        self.unanswered.fetch_sub(1, Ordering::Relaxed);
        if answered {
            self.progress_at.store(now.0, Ordering::Relaxed);
        }
        let before = self.mean_delay(now);
        let delay = u32::try_from(delay_ms).unwrap_or(u32::MAX);
        if let Some(region) = self.region.get() {
            region.record_delay(delay, answered, now);
        }
        let mean = match before {
            0 => delay,
            before if delay > before => before + ((delay - before) >> DELAY_SHIFT),
            before => before - ((before - delay) >> DELAY_SHIFT),
        };
        self.delay_ms.store(mean, Ordering::Relaxed);
        self.delay_updated_at.store(now.0, Ordering::Relaxed);
    }

    /// Expected time until an answer begins, in milliseconds; zero if unknown.
    ///
    /// This is the longer of the moving average and the time without any answer while requests are
    /// pending. Otherwise an endpoint that stops answering would get more and more requests until
    /// the first of them timed out.
    pub fn delay_ms(&self, now: Timestamp) -> u32 {
        let silence_ms = match self.unanswered.load(Ordering::Relaxed) {
            0 => 0,
            _ => now.0.saturating_sub(self.progress_at.load(Ordering::Relaxed)),
        };
        self.mean_delay(now).max(u32::try_from(silence_ms).unwrap_or(u32::MAX))
    }

    /// Whether the endpoint answers so slowly that other endpoints are preferred.
    ///
    /// Once the measured delay has expired, the endpoint counts as slow again while a request is
    /// unanswered. That lets one request at a time probe whether it has recovered.
    pub fn is_slow(&self, now: Timestamp) -> bool {
        if self.delay_ms(now) >= SLOW_MS || self.region.get().is_some_and(|r| r.is_slow(now)) {
            return true;
        }
        let was_slow = self.delay_ms.load(Ordering::Relaxed) >= SLOW_MS;
        was_slow && self.unanswered.load(Ordering::Relaxed) > 0
    }

    fn mean_delay(&self, now: Timestamp) -> u32 {
        let age = now.0.saturating_sub(self.delay_updated_at.load(Ordering::Relaxed));
        if age > DELAY_TTL_MS { 0 } else { self.delay_ms.load(Ordering::Relaxed) }
    }

    /// Records an answer: additive increase of the limit by one per round of full use.
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

    /// Records a refusal for overload: multiplicative decrease of the limit by an eighth.
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

    /// Records a failure; true if enough consecutive ones make an ejection due.
    pub fn record_failure(&self) -> bool {
        self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= EJECT_FAILURES
    }

    /// Ejects the endpoint; the duration doubles with each further failure.
    pub fn eject(&self, now: Timestamp) {
        let excess = self.failures.load(Ordering::Relaxed).saturating_sub(EJECT_FAILURES);
        let duration_ms = (MIN_EJECT_MS << excess.min(5)).min(MAX_EJECT_MS);
        self.ejected_until.store(now.0 + duration_ms, Ordering::Relaxed);
    }

    /// Whether the endpoint is ejected and gets no requests.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now.0 < self.ejected_until.load(Ordering::Relaxed)
    }
}

fn micros(now: Timestamp) -> u64 {
    now.0.saturating_mul(1_000)
}
