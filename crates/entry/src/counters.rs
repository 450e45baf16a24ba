//! Request counters of endpoints and services that outlive the route snapshots referring to them.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::AtomicU32},
};

use cassiawheel_decide::{EndpointTracker, RestartDetector};
use cassiawheel_model::{InstanceId, ServiceName};

/// Counters of all endpoints and services.
#[derive(Debug, Default)]
pub(crate) struct CounterRegistry {
    endpoints: HashMap<InstanceId, Arc<EndpointTracker>>,
    /// Endpoint processes that the counters belong to.
    pub(crate) processes: RestartDetector,
    services: HashMap<ServiceName, Arc<AtomicU32>>,
}

impl CounterRegistry {
    /// Returns the counters of an endpoint.
    pub(crate) fn endpoint(&mut self, instance: &InstanceId) -> Arc<EndpointTracker> {
        self.endpoints.entry(instance.clone()).or_default().clone()
    }

    /// Resets the counters of an endpoint.
    pub(crate) fn reset(&mut self, instance: &InstanceId) {
        self.endpoints.remove(instance);
    }

    /// Returns the number of requests that this entry has in progress at a service.
    pub(crate) fn service(&mut self, service: &ServiceName) -> Arc<AtomicU32> {
        self.services.entry(service.clone()).or_default().clone()
    }

    /// Drops counters of endpoints that neither a snapshot nor a request refers to.
    pub(crate) fn drop_unused(&mut self) {
        self.endpoints.retain(|_, cell| Arc::strong_count(cell) > 1);
    }
}
