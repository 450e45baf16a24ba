//! Metrics of an agent.

use prometheus::{IntCounter, IntGauge, Registry};

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
        })
    }
}
