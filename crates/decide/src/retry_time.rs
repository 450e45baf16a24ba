//! When a refused caller is told to retry.
//!
//! Clients retry once. A caller that returns while the service is still full is refused for good,
//! which costs more than a later answer. An entry therefore tells each refused caller the earliest
//! time at which it expects capacity that is not needed by first-time requests or by callers that
//! it has told to return at that time. Callers are spread evenly over the entries of their
//! location, so that the plan of an entry for its own callers also holds at the others.

use std::{collections::BTreeMap, time::Duration};

use cassiawheel_model::{Timestamp, Urgency};

use crate::{admit::AdmitTier, urgency_queue::GUARANTEED_FRACTION};

/// Length of the intervals in which the plan counts capacity and callers, in milliseconds.
const INTERVAL_MS: u64 = 100;

/// Shortest time after which a caller is told to retry.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Divisor of a caller's remaining time that gives the longest delay that it honours.
const REMAINING_DIVISOR: u32 = 3;

/// Longest delay; bounds the memory of the plan and the search for capacity.
const MAX_DELAY: Duration = Duration::from_secs(20);

/// Start of the part of the interval over which callers are spread if there is no capacity.
const FULL_START: f64 = 0.5;

/// The same while no endpoint serves the service.
const UNSERVED_START: f64 = 0.75;

/// Spacing of consecutive callers within an interval; the golden ratio spreads them evenly.
const SPREAD_STEP: f64 = 0.618_033_988_749_895;

/// Number of urgencies.
const URGENCIES: usize = 10;

/// Number of positions in the order of callers: by urgency, then by whether they have waited longer.
const POSITIONS: usize = 2 * URGENCIES;

/// What an entry knows of a service when it refuses a caller.
#[derive(Debug, Clone, Copy)]
pub struct RetryOutlook {
    /// Whether an endpoint serves the service.
    pub is_served: bool,
    /// Slots of this entry that become free per second.
    pub slots_per_s: f64,
    /// First-time requests per second, by urgency.
    pub fresh_per_s: [f64; URGENCIES],
    /// Requests that wait for admission.
    pub waiting: u32,
}

/// A refused caller.
#[derive(Debug, Clone, Copy)]
pub struct RefusedCaller {
    /// Time left until its deadline.
    pub remaining: Duration,
    /// Urgency of its request.
    pub urgency: Urgency,
    /// Whether it was refused before.
    pub tier: AdmitTier,
}

/// Callers of one service that an entry has told to retry, and when.
#[derive(Debug, Default)]
pub struct RetryPlan {
    /// Callers by the interval in which they return and their position in the order.
    told: BTreeMap<u64, [u32; POSITIONS]>,
    /// Place of the next caller within its interval, from 0 to 1.
    phase: f64,
}

impl RefusedCaller {
    /// Position in the order of callers; a caller that was refused before has waited longer.
    fn position(self) -> usize {
        let urgency = usize::from(self.urgency.rank()).min(URGENCIES - 1);
        2 * urgency + usize::from(self.tier == AdmitTier::Fresh)
    }
}

impl RetryOutlook {
    /// Free slots per interval that remain for returning callers of `urgency`.
    fn spare(&self, urgency: Urgency) -> f64 {
        let rank = usize::from(urgency.rank()).min(URGENCIES - 1);
        let ahead: f64 = self.fresh_per_s[..=rank].iter().sum();
        // Less urgent requests yield to the caller, except for their guaranteed share.
        let behind: f64 = self.fresh_per_s[rank + 1..].iter().sum();
        let spare = self.slots_per_s - ahead - GUARANTEED_FRACTION * behind;
        spare.max(0.0) * INTERVAL_MS as f64 / 1_000.0
    }
}

impl RetryPlan {
    /// Returns the delay after which the caller is told to retry, and counts it in the plan.
    pub fn assign(
        &mut self,
        caller: RefusedCaller,
        outlook: &RetryOutlook,
        now: Timestamp,
    ) -> Duration {
        let current = now.0 / INTERVAL_MS;
        self.told = self.told.split_off(&current);
        self.phase = (self.phase + SPREAD_STEP).fract();
        let longest = (caller.remaining / REMAINING_DIVISOR).clamp(MIN_DELAY, MAX_DELAY);
        let last = (now.0 + longest.as_millis() as u64) / INTERVAL_MS;
        let delay = match outlook.is_served {
            true => self
                .first_with_capacity(caller, outlook, now, last)
                .unwrap_or_else(|| longest.mul_f64(FULL_START + (1.0 - FULL_START) * self.phase)),
            false => longest.mul_f64(UNSERVED_START + (1.0 - UNSERVED_START) * self.phase),
        };
        let delay = delay.clamp(MIN_DELAY, longest);
        let returns_at = (now.0 + delay.as_millis() as u64) / INTERVAL_MS;
        // Clients retry once, so a caller that was refused before does not return.
        if caller.tier == AdmitTier::Fresh {
            self.told.entry(returns_at).or_insert([0; POSITIONS])[caller.position()] += 1;
        }
        delay
    }

    /// Number of callers that are expected to return.
    pub fn expected(&self, now: Timestamp) -> u32 {
        let intervals = self.told.range(now.0 / INTERVAL_MS..);
        intervals.map(|(_, told)| told.iter().sum::<u32>()).sum()
    }

    /// Delay until the first interval up to `last` with capacity for the caller.
    fn first_with_capacity(
        &self,
        caller: RefusedCaller,
        outlook: &RetryOutlook,
        now: Timestamp,
        last: u64,
    ) -> Option<Duration> {
        let spare = outlook.spare(caller.urgency);
        if spare <= 0.0 {
            return None;
        }
        // The requests that wait now get the first slots.
        let mut room = -f64::from(outlook.waiting);
        for interval in now.0 / INTERVAL_MS + 1..=last {
            // Capacity that is not used is lost, except for fractions of a slot.
            room = (room + spare).min(spare.max(1.0));
            let told =
                self.told.get(&interval).map_or(0, |told| told[..=caller.position()].iter().sum());
            room -= f64::from(told);
            if room >= 1.0 {
                let starts_at = (interval * INTERVAL_MS).saturating_sub(now.0);
                let offset = INTERVAL_MS as f64 * self.phase;
                return Some(Duration::from_millis(starts_at + offset as u64));
            }
        }
        None
    }
}
