//! Metrics of an entry.

mod admission;
mod demand;
mod list;

use cassiawheel_model::OutcomeKind;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use self::admission::AdmissionMetrics;
pub(crate) use self::admission::{ServiceAdmissionMetrics, urgency_label};
use self::{demand::DemandMetrics, list::ListMetrics};
use crate::caller::RequestStage;

/// Counters and gauges of an entry.
pub(crate) struct EntryMetrics {
    outcomes: IntCounterVec,
    abandoned: IntCounterVec,
    /// Admission by service and urgency.
    pub(crate) admission: AdmissionMetrics,
    /// Number of attempts sent to endpoints.
    pub(crate) attempts: IntCounter,
    /// Requests refused because endpoints crashed while running the same request.
    pub(crate) quarantined: IntCounter,
    /// Number of endpoints that advertise a rate limit.
    pub(crate) limited: IntGauge,
    /// Number of endpoints that get no requests because they have requested backoff.
    pub(crate) backed_off: IntGauge,
    /// Number of paths of endpoints that accept requests.
    pub(crate) paths: IntGauge,
    /// Attempts sent on a path of endpoints.
    pub(crate) path_attempts: IntCounter,
    /// Number of requests in progress.
    pub(crate) in_flight: IntGauge,
    /// Revision of the active preset.
    pub(crate) revision: IntGauge,
    /// Number of reads of the table service.
    pub(crate) store_reads: IntCounter,
    /// Number of writes to the table service.
    pub(crate) store_writes: IntCounter,
    /// Number of failed calls of the table service.
    pub(crate) store_failures: IntCounter,
    /// Calls of the operators' API that were refused because of a missing token or role.
    pub(crate) admin_refused: IntCounter,
    /// Demand for services and shares of their slots.
    pub(crate) demand: DemandMetrics,
    /// How current the list of endpoints is.
    pub(crate) list: ListMetrics,
}

impl EntryMetrics {
    /// Creates the metrics and registers them in `registry`.
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let name = |name: &str| format!("cassiawheel_entry_{name}");
        let metrics = Self {
            outcomes: IntCounterVec::new(
                Opts::new(name("outcomes_total"), "Requests by outcome"),
                &["outcome"],
            )?,
            abandoned: IntCounterVec::new(
                Opts::new(name("abandoned_total"), "Requests whose caller disconnected, by stage"),
                &["stage"],
            )?,
            admission: AdmissionMetrics::register(registry)?,
            attempts: IntCounter::new(name("attempts_total"), "Attempts sent to endpoints")?,
            quarantined: IntCounter::new(
                name("quarantined_total"),
                "Requests refused since several endpoints have ended under the same request",
            )?,
            limited: IntGauge::new(name("limited_endpoints"), "Endpoints that name a limit")?,
            backed_off: IntGauge::new(
                name("backed_off_endpoints"),
                "Endpoints that get no requests since they have requested backoff",
            )?,
            paths: IntGauge::new(
                name("layer_paths"),
                "Paths of endpoints with a part of the layers each that accept requests",
            )?,
            path_attempts: IntCounter::new(
                name("layer_path_attempts_total"),
                "Attempts sent on a path of endpoints with a part of the layers each",
            )?,
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
            demand: DemandMetrics::register(registry)?,
            list: ListMetrics::register(registry)?,
        };
        registry.register(Box::new(metrics.admin_refused.clone()))?;
        registry.register(Box::new(metrics.quarantined.clone()))?;
        registry.register(Box::new(metrics.limited.clone()))?;
        registry.register(Box::new(metrics.backed_off.clone()))?;
        registry.register(Box::new(metrics.outcomes.clone()))?;
        registry.register(Box::new(metrics.abandoned.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.paths.clone()))?;
        registry.register(Box::new(metrics.path_attempts.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        registry.register(Box::new(metrics.revision.clone()))?;
        registry.register(Box::new(metrics.store_reads.clone()))?;
        registry.register(Box::new(metrics.store_writes.clone()))?;
        registry.register(Box::new(metrics.store_failures.clone()))?;
        Ok(metrics)
    }

    /// Counts the outcome of a request.
    pub(crate) fn count_outcome(&self, kind: OutcomeKind) {
        let label = match kind {
            OutcomeKind::Complete => "complete",
            OutcomeKind::NotRun => "not-run",
            OutcomeKind::Unknown => "unknown",
        };
        self.outcomes.with_label_values(&[label]).inc();
    }

    /// Counts a request whose caller disconnected at `stage`.
    pub(crate) fn count_abandoned(&self, stage: RequestStage) {
        self.abandoned.with_label_values(&[stage.as_str()]).inc();
    }
}
