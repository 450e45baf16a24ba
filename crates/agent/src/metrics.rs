//! Metrics of an agent.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntGauge, Registry};

/// Bounds of the histograms of the age of checks, in seconds.
const CHECK_AGE_BOUNDS: [f64; 8] = [0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// Counters and gauges of an agent.
pub(crate) struct AgentMetrics {
    /// Requests admitted by the gate.
    pub(crate) admitted: IntCounter,
    /// Requests refused by the gate.
    pub(crate) refused: IntCounter,
    /// Bytes of chunks fetched from other agents.
    pub(crate) peer_bytes: IntCounter,
    /// Bytes of chunks fetched from the origin.
    pub(crate) origin_bytes: IntCounter,
    /// Bytes of chunks sent to other agents.
    pub(crate) sent_bytes: IntCounter,
    /// Chunks that arrived corrupt.
    pub(crate) corrupt_chunks: IntCounter,
    /// Chunks copied from another version that the agent holds.
    pub(crate) reused_chunks: IntCounter,
    /// Chunks still missing of the weights being fetched.
    pub(crate) missing_chunks: IntGauge,
    /// Layers that the engine has loaded of a version that it does not hold completely.
    pub(crate) loaded_layers: IntGauge,
    /// Loads of a part of the layers.
    pub(crate) partial_loads: IntCounter,
    /// Failed tries to load a part of the layers.
    pub(crate) failed_partial_loads: IntCounter,
    /// Loads that the engine had to drop, as it may have taken corrupt chunks.
    pub(crate) unproved_loads: IntCounter,
    /// Age of the check of the staged chunks when the order to load was sent, in seconds.
    pub(crate) check_age_at_order: Histogram,
    /// Age of that check when the order was answered, in seconds.
    pub(crate) check_age_at_answer: Histogram,
}

impl AgentMetrics {
    /// Creates the metrics and registers them in `registry`.
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let counter = IntCounter::new(format!("cassiawheel_agent_{name}"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::new(format!("cassiawheel_agent_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let ages = |name: &str, help: &str| -> prometheus::Result<Histogram> {
            let options = HistogramOpts::new(format!("cassiawheel_agent_{name}"), help);
            let ages = Histogram::with_opts(options.buckets(CHECK_AGE_BOUNDS.to_vec()))?;
            registry.register(Box::new(ages.clone()))?;
            Ok(ages)
        };
        Ok(Self {
            admitted: counter("admitted_total", "Requests admitted by the gate")?,
            refused: counter("refused_total", "Requests refused by the gate")?,
            peer_bytes: counter("peer_bytes_total", "Chunk bytes fetched from other agents")?,
            origin_bytes: counter("origin_bytes_total", "Chunk bytes fetched from the origin")?,
            sent_bytes: counter("sent_bytes_total", "Chunk bytes sent to other agents")?,
            corrupt_chunks: counter("corrupt_chunks_total", "Chunks that arrived corrupt")?,
            reused_chunks: counter(
                "reused_chunks_total",
                "Chunks taken over from another version",
            )?,
            missing_chunks: gauge(
                "missing_chunks",
                "Chunks still missing of the weights being fetched",
            )?,
            loaded_layers: gauge(
                "loaded_layers",
                "Layers loaded of a version that the engine does not hold completely",
            )?,
            partial_loads: counter("partial_loads_total", "Loads of a part of the layers")?,
            failed_partial_loads: counter(
                "failed_partial_loads_total",
                "Failed tries to load a part of the layers",
            )?,
            unproved_loads: counter(
                "unproved_loads_total",
                "Loads that may have taken corrupt chunks and were dropped",
            )?,
            check_age_at_order: ages(
                "check_age_at_order_seconds",
                "Age of the check of the staged chunks when the order to load was sent",
            )?,
            check_age_at_answer: ages(
                "check_age_at_answer_seconds",
                "Age of the check of the staged chunks when the order was answered",
            )?,
        })
    }
}
