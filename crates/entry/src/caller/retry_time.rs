//! Retry times of refused callers of one service.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use cassiawheel_decide::{
    AdmitTier, RateMeter, RefusedCaller, RetryOutlook, RetryPlan, ServiceAdmission,
};
use cassiawheel_model::Timestamp;

use super::identify::IdentifiedRequest;

/// Bound of the factor from the rate of releases to the rate if all slots were in use. With few slots
/// in use, the rate of their releases says little about the others.
const MAX_IDLE_FACTOR: f64 = 4.0;

/// What an entry knows about the callers of a service that it has refused.
///
/// An entry that has just started knows nothing and spreads callers as if there were no capacity.
#[derive(Debug, Default)]
pub(crate) struct RetryState {
    releases: RateMeter,
    /// First-time requests by urgency.
    fresh: [RateMeter; 10],
    /// Locked for refused callers only.
    plan: Mutex<RetryPlan>,
}

impl RetryState {
    /// Counts a request that arrives.
    pub(crate) fn count_arrival(&self, request: &IdentifiedRequest, now: Timestamp) {
        if request.tier == AdmitTier::Fresh {
            self.fresh[usize::from(request.rank().urgency.rank())].count(now);
        }
    }

    /// Counts a slot that becomes free.
    pub(crate) fn count_release(&self, now: Timestamp) {
        self.releases.count(now);
    }

    /// Returns the delay after which the caller of a refused request is told to retry.
    pub(crate) fn assign<T>(
        &self,
        request: &IdentifiedRequest,
        queue: &ServiceAdmission<T>,
        capacity: u32,
        now: Timestamp,
    ) -> Duration {
        // Slots that are idle now become free as fast as those in use.
        let idle_factor = f64::from(capacity) / f64::from(queue.active().max(1));
        let slots_per_s = self.releases.per_s(now) * idle_factor.clamp(1.0, MAX_IDLE_FACTOR);
        let outlook = RetryOutlook {
            is_served: capacity > 0,
            slots_per_s,
            fresh_per_s: std::array::from_fn(|rank| self.fresh[rank].per_s(now)),
            waiting: queue.waiting(),
        };
        let caller = RefusedCaller {
            remaining: request.head.deadline.remaining(now),
            urgency: request.rank().urgency,
            tier: request.tier,
        };
        let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        plan.assign(caller, &outlook, now)
    }
}
