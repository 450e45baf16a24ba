//! Settings of an entry process.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::{
    CheckedSettings, LogSettings, PlaceSettings, PlatformSettings,
    common::{check_distinct, check_secret},
};
use crate::{FindingList, OperatorName};

/// Everything an entry process is told.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Who it is and where it stands.
    pub place: PlaceSettings,
    /// Where it listens.
    pub listen: EntryListen,
    /// Inner addresses of the other entries.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Key that our own processes share; at least 16 bytes.
    pub inner_key: String,
    /// Tokens of the operator API.
    #[serde(default)]
    pub operators: Vec<OperatorToken>,
    /// Treatment of callers.
    #[serde(default)]
    pub caller: CallerSettings,
    /// Control traffic.
    #[serde(default)]
    pub control: ControlSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses an entry listens on.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// Callers.
    pub caller: SocketAddr,
    /// Operators.
    pub admin: SocketAddr,
    /// Our own processes.
    pub inner: SocketAddr,
    /// Metrics and probes.
    pub metrics: SocketAddr,
}

/// What a token's holder may do.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// Read only.
    View,
    /// Read and change.
    Operate,
}

/// A bearer token of the operator API.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct OperatorToken {
    /// Name that the history shows.
    pub name: OperatorName,
    /// The token; at least 16 bytes.
    pub token: String,
    /// What it permits.
    pub role: OperatorRole,
}

/// Treatment of callers.
#[apply(record!)]
#[serde(deny_unknown_fields, default)]
pub struct CallerSettings {
    /// Deadline of a request that names none, in milliseconds from its arrival.
    pub default_deadline_ms: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Most open connections.
    pub max_connections: usize,
    /// How long an address answer may be kept, in milliseconds.
    pub advice_ms: u64,
    /// Addresses in an address answer.
    pub advice_addresses: usize,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Leading bytes of a body by which requests with a common prefix are told,
    /// to be sent where an engine has probably cached it; zero turns it off.
    pub prefix_bytes: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            default_deadline_ms: 30_000,
            max_body_bytes: 4 << 20,
            max_connections: 4_096,
            advice_ms: 2_000,
            advice_addresses: 3,
            max_attempts: 3,
            prefix_bytes: 256,
        }
    }
}

/// Control traffic.
#[apply(record!)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Time between reads of the preset in force, in milliseconds; jittered by a quarter.
    pub poll_ms: u64,
    /// Heartbeats without which a peer or agent counts as gone, in milliseconds.
    pub heartbeat_timeout_ms: u64,
    /// Life of the planner's lease, in milliseconds.
    pub lease_ms: u64,
    /// Longest graceful shutdown, in milliseconds.
    pub drain_ms: u64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self { poll_ms: 1_000, heartbeat_timeout_ms: 1_500, lease_ms: 3_000, drain_ms: 30_000 }
    }
}

impl CheckedSettings for EntrySettings {
    fn check(&self, findings: &mut FindingList) {
        let listen = &self.listen;
        check_distinct(
            findings,
            &[
                ("listen.caller", listen.caller),
                ("listen.admin", listen.admin),
                ("listen.inner", listen.inner),
                ("listen.metrics", listen.metrics),
            ],
        );
        check_secret(findings, "inner_key", &self.inner_key);
        for (index, operator) in self.operators.iter().enumerate() {
            check_secret(findings, &format!("operators[{index}].token"), &operator.token);
        }
        for (index, peer) in self.peers.iter().enumerate() {
            findings.require(
                *peer != listen.inner,
                format_args!("peers[{index}]"),
                "an entry is not its own peer",
            );
        }
        self.caller.check(findings);
        self.control.check(findings);
    }
}

impl CallerSettings {
    fn check(&self, findings: &mut FindingList) {
        let positive = [
            ("caller.default_deadline_ms", self.default_deadline_ms),
            ("caller.max_body_bytes", self.max_body_bytes as u64),
            ("caller.max_connections", self.max_connections as u64),
            ("caller.advice_ms", self.advice_ms),
            ("caller.advice_addresses", self.advice_addresses as u64),
            ("caller.max_attempts", u64::from(self.max_attempts)),
        ];
        for (path, value) in positive {
            findings.require(value > 0, path, "must be at least 1");
        }
    }
}

impl ControlSettings {
    fn check(&self, findings: &mut FindingList) {
        findings.require(
            (50..=10_000).contains(&self.poll_ms),
            "control.poll_ms",
            "must lie between 50 and 10000 milliseconds",
        );
        findings.require(
            self.lease_ms >= 2 * self.poll_ms,
            "control.lease_ms",
            "must be at least twice control.poll_ms, or the planner loses its lease between renewals",
        );
        findings.require(
            self.heartbeat_timeout_ms >= 200,
            "control.heartbeat_timeout_ms",
            "must be at least 200 milliseconds",
        );
        findings.require(self.drain_ms > 0, "control.drain_ms", "must be at least 1");
    }
}
