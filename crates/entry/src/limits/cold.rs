//! Endpoints that are cold and tolerate a low rate of requests.

use std::time::Duration;

use cassiawheel_decide::{ColdBound, EndpointListing, EvacuationTable};
use cassiawheel_model::{ListedEndpoint, Timestamp};

use crate::routed::RoutedState;

/// Returns the bound on requests to an endpoint that is cold; `None` if it is not.
///
/// The endpoints of an evacuated domain may have become cold before they are used again, and their
/// rows may not show it yet.
pub(crate) fn cold_bound(
    routed: &RoutedState,
    listing: &EndpointListing,
    evacuations: &EvacuationTable,
    listed: &ListedEndpoint,
    now: Timestamp,
) -> Option<ColdBound> {
    let index = routed.index.load();
    let cold = *index.as_ref()?.table().cold_limits.get(&listed.service)?;
    let after_evacuation = evacuations
        .ended_at(&listed.failure_domain)
        .map(|ended_at| ended_at.deadline_after(Duration::from_millis(cold.duration_ms)));
    let until = listing.cold_until(&listed.instance).max(after_evacuation)?;
    let settings = &routed.settings;
    (!until.is_past(now)).then(|| ColdBound {
        rate: cold.limit.rate(),
        overshoot: settings.cold_overshoot,
        slack: settings.cold_slack,
    })
}
