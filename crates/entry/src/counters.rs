//! Counts of endpoints and services that outlive the snapshots which point to them.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::AtomicU32},
};

use cassiawheel_decide::{EndpointTracker, RestartDetector};
use cassiawheel_model::{InstanceId, ServiceName};

/// The counts that an entry keeps.
#[derive(Debug, Default)]
pub(crate) struct CounterRegistry {
    endpoints: HashMap<InstanceId, Arc<EndpointTracker>>,
    /// The processes whose counts the cells hold.
    pub(crate) processes: RestartDetector,
    services: HashMap<ServiceName, Arc<AtomicU32>>,
}

impl CounterRegistry {
    /// The counts of an endpoint.
    pub(crate) fn endpoint(&mut self, instance: &InstanceId) -> Arc<EndpointTracker> {
        self.endpoints.entry(instance.clone()).or_default().clone()
    }

    /// Starts the counts of an endpoint anew.
    pub(crate) fn reset(&mut self, instance: &InstanceId) {
        self.endpoints.remove(instance);
    }

    /// Requests of this entry at all endpoints of a service.
    pub(crate) fn service(&mut self, service: &ServiceName) -> Arc<AtomicU32> {
        self.services.entry(service.clone()).or_default().clone()
    }

    /// Drops the cells of endpoints that neither a snapshot nor a request uses.
    pub(crate) fn drop_unused(&mut self) {
        self.endpoints.retain(|_, cell| Arc::strong_count(cell) > 1);
    }
}
