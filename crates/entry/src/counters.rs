//! Trackers of endpoints and request counts of services. They outlive the route snapshots that
//! refer to them.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::AtomicU32},
};

use cassiawheel_decide::{EndpointTracker, RestartDetector};
use cassiawheel_model::{InstanceId, ServiceName, Timestamp};

/// Trackers of all endpoints and request counts of all services.
#[derive(Debug, Default)]
pub(crate) struct CounterRegistry {
    endpoints: HashMap<InstanceId, Arc<EndpointTracker>>,
    /// Endpoint processes that the counters belong to.
    pub(crate) processes: RestartDetector,
    services: HashMap<ServiceName, Arc<AtomicU32>>,
}

impl CounterRegistry {
    /// Returns the tracker of an endpoint.
    pub(crate) fn endpoint(&mut self, instance: &InstanceId) -> Arc<EndpointTracker> {
        self.endpoints.entry(instance.clone()).or_default().clone()
    }

    /// Discards the tracker of an endpoint.
    pub(crate) fn reset(&mut self, instance: &InstanceId) {
        if let Some(tracker) = self.endpoints.remove(instance) {
            tracker.set_withdrawn(true);
        }
    }

    /// Marks the endpoints for which `is_routed` is false as withdrawn.
    pub(crate) fn withdraw_others(&self, is_routed: impl Fn(&InstanceId) -> bool) {
        for (instance, tracker) in &self.endpoints {
            tracker.set_withdrawn(!is_routed(instance));
        }
    }

    /// Returns the number of requests that this entry has in progress at a service.
    pub(crate) fn service(&mut self, service: &ServiceName) -> Arc<AtomicU32> {
        self.services.entry(service.clone()).or_default().clone()
    }

    /// Drops trackers of endpoints that neither a snapshot nor a request refers to.
    ///
    /// An endpoint may be missing from snapshots for a while, for example during a switch of
    /// versions, and a backoff that it has requested still applies afterwards.
    pub(crate) fn drop_unused(&mut self, now: Timestamp) {
        self.endpoints
            .retain(|_, tracker| Arc::strong_count(tracker) > 1 || !tracker.backoff().is_due(now));
    }
}
