//! Settings of an entry process.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::{
    CheckedSettings, ListenerSettings, LogSettings, PlaceSettings, PlatformSettings,
    common::{
        EXAMPLE_KEY, EXAMPLE_TOKEN, check_distinct, check_listeners, check_millis, check_reachable,
        check_secret, check_target, example_addr, indexed_paths,
    },
};
use crate::{FindingList, OperatorName};

/// Content of an entry's settings file.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Identity and location of the process.
    pub place: PlaceSettings,
    /// Listen addresses.
    pub listen: EntryListen,
    /// Limits of connections and requests.
    #[serde(default)]
    pub limits: ListenerSettings,
    /// Internal addresses of the other entries.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Secret shared by all processes of the deployment; at least 16 bytes.
    pub inner_key: String,
    /// Bearer tokens of the operator API.
    #[serde(default)]
    pub operators: Vec<OperatorToken>,
    /// Limits and defaults of callers' requests.
    #[serde(default)]
    pub caller: CallerSettings,
    /// Intervals and limits of control traffic.
    #[serde(default)]
    pub control: ControlSettings,
    /// Level, format and rate limit of logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Listen addresses of an entry.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// Address for callers, which is also announced to them.
    pub caller: SocketAddr,
    /// Address of the operator API.
    pub admin: SocketAddr,
    /// Address for agents and other entries.
    pub inner: SocketAddr,
    /// Address for metrics and probes.
    pub metrics: SocketAddr,
}

/// Upper limit of `caller.max_body_bytes`.
pub const MAX_BODY_BYTES: usize = 12 << 20;

/// Permissions of an operator token.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// May read.
    View,
    /// May read and change.
    Operate,
}

/// A bearer token of the operator API.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct OperatorToken {
    /// Name of the operator, as shown in the history.
    pub name: OperatorName,
    /// Secret token; at least 16 bytes.
    pub token: String,
    /// Permissions of the token.
    pub role: OperatorRole,
}

/// Limits and defaults of callers' requests.
#[apply(record!)]
#[serde(deny_unknown_fields, default)]
pub struct CallerSettings {
    /// Deadline of a request without one, in milliseconds from its arrival.
    pub default_deadline_ms: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Most open connections from callers.
    pub max_connections: usize,
    /// Time for which callers may cache the addresses of entries, in milliseconds.
    pub advice_ms: u64,
    /// Number of entry addresses returned to a caller.
    pub advice_addresses: usize,
    /// Most attempts per request.
    pub max_attempts: u32,
    /// Length of the admission queue of each service.
    pub queue_length: usize,
    /// Length of the body prefix used for prefix affinity, in bytes: requests with the same prefix
    /// are sent to an engine that has probably cached it. Zero disables prefix affinity.
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
            queue_length: 1_024,
            prefix_bytes: 256,
        }
    }
}

/// Intervals and limits of control traffic.
#[apply(record!)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Poll interval of the preset in force, in milliseconds; jittered by a quarter.
    pub poll_ms: u64,
    /// Time without heartbeats after which a peer or agent counts as gone, in milliseconds.
    pub heartbeat_timeout_ms: u64,
    /// Timeout of a graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Most reads of the table service per second, polls included.
    pub store_reads_per_s: u32,
    /// Most writes to the table service per second.
    pub store_writes_per_s: u32,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            poll_ms: 1_000,
            heartbeat_timeout_ms: 1_500,
            drain_ms: 30_000,
            store_reads_per_s: 50,
            store_writes_per_s: 20,
        }
    }
}

impl CheckedSettings for EntrySettings {
    fn example() -> Self {
        Self {
            place: PlaceSettings::example(),
            listen: EntryListen {
                caller: example_addr(11),
                admin: example_addr(12),
                inner: example_addr(13),
                metrics: example_addr(14),
            },
            limits: ListenerSettings::default(),
            peers: vec![example_addr(15)],
            platform: PlatformSettings::example(),
            inner_key: EXAMPLE_KEY.to_owned(),
            operators: vec![OperatorToken {
                name: OperatorName::example(),
                token: EXAMPLE_TOKEN.to_owned(),
                role: OperatorRole::View,
            }],
            caller: CallerSettings::default(),
            control: ControlSettings::default(),
            log: LogSettings::default(),
        }
    }

    fn check(&self, findings: &mut FindingList) {
        self.check_addrs(findings);
        check_secret(findings, "inner_key", &self.inner_key);
        self.check_operators(findings);
        self.platform.check(findings);
        self.limits.check(findings);
        self.caller.check(findings);
        self.control.check(findings);
        findings.require(
            self.control.drain_ms > self.caller.advice_ms,
            "control.drain_ms",
            "must exceed caller.advice_ms, for which callers still use a leaving entry",
        );
        self.log.check(findings);
    }
}

impl EntrySettings {
    fn check_addrs(&self, findings: &mut FindingList) {
        let listen = &self.listen;
        let listeners = [
            ("listen.caller".to_owned(), listen.caller),
            ("listen.admin".to_owned(), listen.admin),
            ("listen.inner".to_owned(), listen.inner),
            ("listen.metrics".to_owned(), listen.metrics),
        ];
        for (path, addr) in &listeners {
            findings.require(addr.port() != 0, path, format_args!("{addr} has no port"));
        }
        // This address is announced to callers; the other listeners may use 0.0.0.0.
        check_reachable(findings, "listen.caller", listen.caller);
        let peers = indexed_paths("peers", &self.peers);
        for (path, addr) in &peers {
            check_reachable(findings, path, *addr);
        }
        // The platform's services may share an address, so each is compared only with the
        // listeners and peers.
        check_listeners(findings, &listeners);
        check_distinct(findings, &peers);
        for peer in &peers {
            check_target(findings, &listeners, peer.clone());
        }
        let own: Vec<_> = listeners.into_iter().chain(peers).collect();
        for target in self.platform.addrs() {
            check_target(findings, &own, target);
        }
    }

    fn check_operators(&self, findings: &mut FindingList) {
        for (index, operator) in self.operators.iter().enumerate() {
            let path = format!("operators[{index}].token");
            check_secret(findings, &path, &operator.token);
            findings.require(
                operator.token != self.inner_key,
                &path,
                "is the inner_key; an operator must not be able to act as an entry or agent",
            );
            let earlier = &self.operators[..index];
            if let Some(other) = earlier.iter().position(|other| other.token == operator.token) {
                findings.push(&path, format_args!("is already the token of operators[{other}]"));
            }
            if let Some(other) = earlier.iter().position(|other| other.name == operator.name) {
                let path = format!("operators[{index}].name");
                findings.push(path, format_args!("is already the name of operators[{other}]"));
            }
        }
    }
}

impl CallerSettings {
    fn check(&self, findings: &mut FindingList) {
        let positive = [
            ("caller.max_body_bytes", self.max_body_bytes as u64),
            ("caller.max_connections", self.max_connections as u64),
            ("caller.advice_addresses", self.advice_addresses as u64),
            ("caller.queue_length", self.queue_length as u64),
            ("caller.max_attempts", u64::from(self.max_attempts)),
        ];
        for (path, value) in positive {
            findings.require(value > 0, path, "must be at least 1");
        }
        // A body is sent to an agent in one message, whose size is limited.
        findings.require(
            self.max_body_bytes <= MAX_BODY_BYTES,
            "caller.max_body_bytes",
            format_args!("must be at most {MAX_BODY_BYTES}, is {}", self.max_body_bytes),
        );
        let deadline = self.default_deadline_ms;
        check_millis(findings, "caller.default_deadline_ms", deadline, 100..=3_600_000);
        check_millis(findings, "caller.advice_ms", self.advice_ms, 100..=60_000);
    }
}

impl ControlSettings {
    fn check(&self, findings: &mut FindingList) {
        check_millis(findings, "control.poll_ms", self.poll_ms, 50..=10_000);
        findings.require(
            self.store_reads_per_s > 0,
            "control.store_reads_per_s",
            "must be at least 1",
        );
        findings.require(
            self.store_writes_per_s > 0,
            "control.store_writes_per_s",
            "must be at least 1",
        );
        let timeout = self.heartbeat_timeout_ms;
        check_millis(findings, "control.heartbeat_timeout_ms", timeout, 200..=60_000);
        check_millis(findings, "control.drain_ms", self.drain_ms, 100..=3_600_000);
    }
}
