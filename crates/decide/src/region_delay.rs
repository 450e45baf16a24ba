//! Delay of the answers from one region, over all its endpoints.
//!
//! A slow link between two regions delays the answers of every endpoint behind it. An entry that
//! measured each endpoint for itself would have to send a request to each of them to learn that,
//! and would have forgotten the first before it reached the last.
//!
//! What counts is the share of late answers, compared with the entry's own region: a few slow
//! endpoints are no slow link, and when all are late no link is to blame.

use std::sync::{
    Arc,
    atomic::{AtomicU32, AtomicU64, Ordering},
};

use cassiawheel_model::Timestamp;

/// Weight of a new sample in the moving average of the delay: two to the power of minus this.
const DELAY_SHIFT: u32 = 2;

/// Age at which measured delays stop counting, in milliseconds.
const DELAY_TTL_MS: u64 = 2_000;

/// Delay above that of the entry's own region from which an answer of another one is late, in
/// milliseconds.
const LATE_EXTRA_MS: u32 = 400;

/// Fixed-point scale of the share of late answers.
const SHARE_SCALE: u32 = 1_024;

/// Share of late answers from which a region is slow: three in a row.
const SLOW_SHARE: u32 = SHARE_SCALE * 5 / 8;

/// Divisor of the rest by which a late answer raises the share.
const LATE_DIVISOR: u32 = 3;

/// Unanswered requests from which the time without any answer counts.
const MIN_SILENT: u32 = 2;

/// Time until the answers of one region begin, as one entry sees it.
#[derive(Debug, Default)]
pub struct RegionDelay {
    mean_ms: AtomicU32,
    late_share: AtomicU32,
    updated_at: AtomicU64,
    unanswered: AtomicU32,
    /// When an answer last began, or when a request was sent while none was unanswered.
    progress_at: AtomicU64,
}

/// Delays of an endpoint's region and, for an endpoint of another region, of the entry's own.
#[derive(Debug, Clone)]
pub struct RegionDelays {
    region: Arc<RegionDelay>,
    own: Option<Arc<RegionDelay>>,
}

impl RegionDelay {
    fn record_sent(&self, now: Timestamp) {
        if self.unanswered.fetch_add(1, Ordering::Relaxed) == 0 {
            self.progress_at.store(now.0, Ordering::Relaxed);
        }
    }

    fn record_delay(&self, delay_ms: u32, answered: bool, is_late: bool, now: Timestamp) {
        self.unanswered.fetch_sub(1, Ordering::Relaxed);
        if answered {
            self.progress_at.store(now.0, Ordering::Relaxed);
        }
        let mean = match self.mean_ms(now) {
            0 => delay_ms,
            mean if delay_ms > mean => mean + ((delay_ms - mean) >> DELAY_SHIFT),
            mean => mean - ((mean - delay_ms) >> DELAY_SHIFT),
        };
        self.mean_ms.store(mean, Ordering::Relaxed);
        let share = self.late_share.load(Ordering::Relaxed);
        let share = match is_late {
            true => share + (SHARE_SCALE - share) / LATE_DIVISOR,
            false => share / 2,
        };
        self.late_share.store(share, Ordering::Relaxed);
        self.updated_at.store(now.0, Ordering::Relaxed);
    }

    fn is_recent(&self, now: Timestamp) -> bool {
        now.0.saturating_sub(self.updated_at.load(Ordering::Relaxed)) <= DELAY_TTL_MS
    }

    /// Moving average of the delay; zero if none was measured recently.
    fn mean_ms(&self, now: Timestamp) -> u32 {
        if self.is_recent(now) { self.mean_ms.load(Ordering::Relaxed) } else { 0 }
    }

    /// Time without any answer while requests wait for one.
    fn silence_ms(&self, now: Timestamp) -> u64 {
        match self.unanswered.load(Ordering::Relaxed) {
            ..MIN_SILENT => 0,
            _ => now.0.saturating_sub(self.progress_at.load(Ordering::Relaxed)),
        }
    }
}

impl RegionDelays {
    /// Delays for the endpoints of `region`; `own` is the entry's region if that is another one.
    pub fn new(region: Arc<RegionDelay>, own: Option<Arc<RegionDelay>>) -> Self {
        Self { region, own }
    }

    /// Delay from which an answer is late; `None` for the own region, and without recent answers
    /// from there, as there is nothing to compare with.
    fn late_ms(&self, now: Timestamp) -> Option<u32> {
        let own_ms = self.own.as_ref()?.mean_ms(now);
        (own_ms > 0).then_some(own_ms + LATE_EXTRA_MS)
    }

    /// Records that a request was sent. [`Self::record_delay`] must follow.
    pub(crate) fn record_sent(&self, now: Timestamp) {
        self.region.record_sent(now);
    }

    /// Records how long a request waited until its answer began, or until it was abandoned.
    pub(crate) fn record_delay(&self, delay_ms: u32, answered: bool, now: Timestamp) {
        let is_late = self.late_ms(now).is_some_and(|late_ms| delay_ms >= late_ms);
        self.region.record_delay(delay_ms, answered, is_late, now);
    }

    /// Whether most answers from the region are late.
    ///
    /// Once the measured delay has expired, the region counts as slow again while a request is
    /// unanswered. That lets one request at a time probe whether it has recovered.
    pub(crate) fn is_slow(&self, now: Timestamp) -> bool {
        let Some(late_ms) = self.late_ms(now) else {
            return false;
        };
        if self.region.silence_ms(now) >= u64::from(late_ms) {
            return true;
        }
        let is_share_slow = self.region.late_share.load(Ordering::Relaxed) >= SLOW_SHARE;
        let has_unanswered = self.region.unanswered.load(Ordering::Relaxed) > 0;
        is_share_slow && (self.region.is_recent(now) || has_unanswered)
    }
}
