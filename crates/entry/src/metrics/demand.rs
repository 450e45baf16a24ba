//! Metrics of the demand for services that are reached directly, and of their slow endpoints.

use std::{collections::BTreeSet, sync::Mutex};

use cassiawheel_decide::DemandShare;
use prometheus::{GaugeVec, IntGaugeVec, Opts, Registry};

/// Gauges by service.
pub(crate) struct DemandMetrics {
    per_second: GaugeVec,
    share: GaugeVec,
    slow: IntGaugeVec,
    /// Services that have gauges.
    services: Mutex<BTreeSet<String>>,
}

impl DemandMetrics {
    /// Creates the metrics and registers them in `registry`.
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let options = |name: &str, help: &str| Opts::new(format!("cassiawheel_entry_{name}"), help);
        let metrics = Self {
            per_second: GaugeVec::new(
                options("demand_per_second", "First-time requests per second at this entry"),
                &["service"],
            )?,
            share: GaugeVec::new(
                options("slot_share", "Share of the free slots, divided by the even share"),
                &["service"],
            )?,
            slow: IntGaugeVec::new(
                options("slow_endpoints", "Endpoints that report that work takes long"),
                &["service"],
            )?,
            services: Mutex::default(),
        };
        registry.register(Box::new(metrics.per_second.clone()))?;
        registry.register(Box::new(metrics.share.clone()))?;
        registry.register(Box::new(metrics.slow.clone()))?;
        Ok(metrics)
    }

    /// Sets the gauges of a service; `slow` is the number of its slow endpoints.
    pub(crate) fn set(&self, service: &str, share: &DemandShare, slow: usize) {
        let mut services = self.services.lock().unwrap_or_else(|poison| poison.into_inner());
        services.insert(service.to_owned());
        self.per_second.with_label_values(&[service]).set(share.own_per_second);
        self.share.with_label_values(&[service]).set(share.factor());
        self.slow.with_label_values(&[service]).set(slow as i64);
    }

    /// Removes the gauges of services for which `is_present` is false.
    pub(crate) fn retain(&self, is_present: impl Fn(&str) -> bool) {
        let mut services = self.services.lock().unwrap_or_else(|poison| poison.into_inner());
        services.retain(|service| {
            let keeps = is_present(service);
            if !keeps {
                // An error means that the gauge has no such label, as intended.
                let _ = self.per_second.remove_label_values(&[service]);
                let _ = self.share.remove_label_values(&[service]);
                let _ = self.slow.remove_label_values(&[service]);
            }
            keeps
        });
    }
}
