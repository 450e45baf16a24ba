//! Metrics of an entry.

use cassiawheel_model::OutcomeKind;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Counters and gauges of an entry.
pub(crate) struct EntryMetrics {
    outcomes: IntCounterVec,
    /// Attempts sent to endpoints.
    pub(crate) attempts: IntCounter,
    /// Requests refused since endpoints have ended under the same request.
    pub(crate) quarantined: IntCounter,
    /// Endpoints that name a limit.
    pub(crate) limited: IntGauge,
    /// Requests in progress.
    pub(crate) in_flight: IntGauge,
    /// Revision of the preset in force.
    pub(crate) revision: IntGauge,
    /// Reads of the table service.
    pub(crate) store_reads: IntCounter,
    /// Writes to the table service.
    pub(crate) store_writes: IntCounter,
    /// Reads of the table service that failed.
    pub(crate) store_failures: IntCounter,
    /// Calls of the operators' API that were refused for want of a token or role.
    pub(crate) admin_refused: IntCounter,
}

impl EntryMetrics {
    /// Metrics registered in `registry`.
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let name = |name: &str| format!("cassiawheel_entry_{name}");
        let metrics = Self {
            outcomes: IntCounterVec::new(
                Opts::new(name("outcomes_total"), "Requests by outcome"),
                &["outcome"],
            )?,
            attempts: IntCounter::new(name("attempts_total"), "Attempts sent to endpoints")?,
            quarantined: IntCounter::new(
                name("quarantined_total"),
                "Requests refused since several endpoints have ended under the same request",
            )?,
            limited: IntGauge::new(name("limited_endpoints"), "Endpoints that name a limit")?,
            in_flight: IntGauge::new(name("in_flight"), "Requests in progress")?,
            revision: IntGauge::new(name("revision"), "Revision of the preset in force")?,
            store_reads: IntCounter::new(name("store_reads_total"), "Reads of the table service")?,
            store_writes: IntCounter::new(
                name("store_writes_total"),
                "Writes to the table service",
            )?,
            admin_refused: IntCounter::new(
                name("admin_refused_total"),
                "Calls of the operators' API refused for want of a token or role",
            )?,
            store_failures: IntCounter::new(
                name("store_failures_total"),
                "Reads of the table service that failed",
            )?,
        };
        registry.register(Box::new(metrics.admin_refused.clone()))?;
        registry.register(Box::new(metrics.quarantined.clone()))?;
        registry.register(Box::new(metrics.limited.clone()))?;
        registry.register(Box::new(metrics.outcomes.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        registry.register(Box::new(metrics.revision.clone()))?;
        registry.register(Box::new(metrics.store_reads.clone()))?;
        registry.register(Box::new(metrics.store_writes.clone()))?;
        registry.register(Box::new(metrics.store_failures.clone()))?;
        Ok(metrics)
    }

    /// Counts a request's outcome.
    pub(crate) fn count_outcome(&self, kind: OutcomeKind) {
        let label = match kind {
            OutcomeKind::Complete => "complete",
            OutcomeKind::NotRun => "not-run",
            OutcomeKind::Unknown => "unknown",
        };
        self.outcomes.with_label_values(&[label]).inc();
    }
}
