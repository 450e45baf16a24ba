//! How long work takes at an endpoint at present, and how recently its process started.
//!
//! Both only add to the cost of the endpoint; neither refuses anything. Values are stored in
//! atomics, since requests read them while they choose an endpoint.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cassiawheel_model::Timestamp;

/// Age at which a reported speed stops counting, in milliseconds.
///
/// Endpoints change their speed many times a second, so an older figure says little about the next
/// request.
const SPEED_TTL_MS: u64 = 400;

/// Speed of an endpoint that works as fast as usual, in percent of the usual time.
const USUAL_PERCENT: u32 = 100;

/// Highest valid speed, in percent; higher figures are faults of the endpoint.
const MAX_PERCENT: u32 = 1_000;

/// Speed from which an endpoint counts as slow in the metrics, in percent.
const SLOW_PERCENT: u32 = 150;

/// Cost of an endpoint whose process has just started: four requests.
///
/// A new endpoint gets requests as soon as the others have this many more, a third of the slots of
/// a usual engine, so that it is spared at low load and used in full at high load.
const WARM_UP_COST: u64 = 16;

/// Bits of a packed speed that hold its timestamp; the rest holds the percentage.
const TIME_BITS: u32 = 48;

/// Speed and warm-up of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointSpeed {
    /// Last reported percentage and when it arrived; zero if none has.
    report: AtomicU64,
    /// Time that the process takes to warm up, in milliseconds; zero if it is always warm.
    warm_up_ms: AtomicU64,
    warm_at: AtomicU64,
}

impl EndpointSpeed {
    /// Records a reported speed in percent of the usual time; figures out of range are ignored.
    pub fn record(&self, percent: u32, now: Timestamp) {
        if (1..=MAX_PERCENT).contains(&percent) {
            let measured_at = now.0 & ((1 << TIME_BITS) - 1);
            self.report.store(u64::from(percent) << TIME_BITS | measured_at, Ordering::Relaxed);
        }
    }

    /// Sets from when on the process has warmed up.
    ///
    /// The start time is from the clock of another machine. One in the future counts as now, so
    /// that a wrong clock costs the endpoint one warm-up at most.
    pub fn set_warm_up(&self, born_at: Timestamp, warm_up: Duration, now: Timestamp) {
        let warm_up_ms = warm_up.as_millis() as u64;
        if self.warm_up_ms.load(Ordering::Relaxed) != warm_up_ms {
            let warm_at = born_at.0.min(now.0).saturating_add(warm_up_ms);
            self.warm_at.store(warm_at, Ordering::Relaxed);
            self.warm_up_ms.store(warm_up_ms, Ordering::Relaxed);
        }
    }

    /// Time beyond the usual one that work takes, in percent; decreases to zero with the age of the
    /// report.
    fn extra_percent(&self, now: Timestamp) -> u32 {
        let report = self.report.load(Ordering::Relaxed);
        let percent = (report >> TIME_BITS) as u32;
        let measured_at = report & ((1 << TIME_BITS) - 1);
        let left_ms = SPEED_TTL_MS.saturating_sub(now.0.saturating_sub(measured_at));
        percent.saturating_sub(USUAL_PERCENT) * left_ms as u32 / SPEED_TTL_MS as u32
    }

    /// Whether the endpoint is slow by a recent report.
    pub fn is_slow(&self, now: Timestamp) -> bool {
        self.extra_percent(now) >= SLOW_PERCENT - USUAL_PERCENT
    }

    /// Whether other endpoints are preferred although this one has a free slot: it is slow by a
    /// recent report, or its process has not warmed up.
    pub(crate) fn is_spared(&self, now: Timestamp) -> bool {
        self.is_slow(now) || self.warm_up_cost(now) > 0
    }

    /// Cost of the endpoint in addition to `load_cost`, the cost of its requests and of the one to
    /// place.
    ///
    /// At twice the usual time, an endpoint costs as much as one with twice as many requests.
    pub(crate) fn extra_cost(&self, load_cost: u32, now: Timestamp) -> u32 {
        load_cost * self.extra_percent(now) / USUAL_PERCENT + self.warm_up_cost(now)
    }

    fn warm_up_cost(&self, now: Timestamp) -> u32 {
        let warm_up_ms = self.warm_up_ms.load(Ordering::Relaxed);
        let left_ms = self.warm_at.load(Ordering::Relaxed).saturating_sub(now.0).min(warm_up_ms);
        (WARM_UP_COST * left_ms).checked_div(warm_up_ms).unwrap_or(0) as u32
    }
}
