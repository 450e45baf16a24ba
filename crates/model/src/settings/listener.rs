//! Limits of an entry's listeners.

use macro_rules_attribute::apply;

use super::common::check_millis;
use crate::FindingList;

/// Limits of the listeners, so that a slow or greedy client occupies at most one connection.
#[apply(record!)]
#[derive(Copy)]
#[serde(deny_unknown_fields, default)]
pub struct ListenerSettings {
    /// Most open connections to the operator API.
    pub admin_connections: usize,
    /// Most open connections from agents and other entries.
    pub inner_connections: usize,
    /// Most open connections to the listener for metrics and probes.
    pub metrics_connections: usize,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Timeout for receiving a request head and for idle connections, in milliseconds.
    pub head_ms: u64,
    /// Timeout for receiving a request body, in milliseconds.
    pub body_ms: u64,
    /// Most bytes of callers' request bodies in memory, in MiB.
    pub buffer_mb: usize,
    /// Timeout for writes to a client that reads nothing of its answer, in milliseconds.
    pub write_ms: u64,
}

impl Default for ListenerSettings {
    fn default() -> Self {
        Self {
            admin_connections: 128,
            inner_connections: 4_096,
            metrics_connections: 32,
            head_bytes: 32 << 10,
            head_ms: 10_000,
            body_ms: 10_000,
            buffer_mb: 128,
            write_ms: 30_000,
        }
    }
}

impl ListenerSettings {
    /// Adds a finding for each invalid value.
    pub(super) fn check(&self, findings: &mut FindingList) {
        let positive = [
            ("limits.admin_connections", self.admin_connections),
            ("limits.inner_connections", self.inner_connections),
            ("limits.metrics_connections", self.metrics_connections),
        ];
        for (path, value) in positive {
            findings.require(value > 0, path, "must be at least 1");
        }
        findings.require(
            (8 << 10..=1 << 20).contains(&self.head_bytes),
            "limits.head_bytes",
            format_args!("must lie between 8192 and 1048576 bytes, is {}", self.head_bytes),
        );
        check_millis(findings, "limits.head_ms", self.head_ms, 100..=300_000);
        check_millis(findings, "limits.body_ms", self.body_ms, 100..=300_000);
        findings.require(
            (1..=1 << 20).contains(&self.buffer_mb),
            "limits.buffer_mb",
            format_args!("must lie between 1 and 1048576 MiB, is {}", self.buffer_mb),
        );
        check_millis(findings, "limits.write_ms", self.write_ms, 100..=600_000);
    }
}
