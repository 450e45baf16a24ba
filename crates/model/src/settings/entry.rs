//! Settings of an entry process.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::{
    CheckedSettings, ListenerSettings, LogSettings, PlaceSettings, PlatformSettings,
    common::{
        EXAMPLE_KEY, EXAMPLE_TOKEN, check_distinct, check_listeners, check_millis, check_reachable,
        check_secret, check_target, example_addr, indexed,
    },
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
    /// Limits of the listeners.
    #[serde(default)]
    pub limits: ListenerSettings,
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

/// Largest body of a caller that the settings may allow, in bytes.
pub const MAX_BODY_BYTES: usize = 12 << 20;

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
    /// Most requests that wait for room at the endpoints of one service.
    pub queue_length: usize,
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
            queue_length: 1_024,
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
    /// Longest graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Most reads of the table service in a second, polls included.
    pub store_reads_per_s: u32,
    /// Most writes to the table service in a second.
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
            "must be more than caller.advice_ms, for which callers still come to a leaving entry",
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
        // Callers are told this address; the other listeners may take any.
        check_reachable(findings, "listen.caller", listen.caller);
        let peers = indexed("peers", &self.peers);
        for (path, addr) in &peers {
            check_reachable(findings, path, *addr);
        }
        // The platform may serve several of its services at one address, so
        // each is compared with the listeners and peers only.
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
                "is the inner_key; an operator must not be able to act as one of our processes",
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
        // A body travels to an agent in one message, which has a largest size.
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
        let silence = self.heartbeat_timeout_ms;
        check_millis(findings, "control.heartbeat_timeout_ms", silence, 200..=60_000);
        check_millis(findings, "control.drain_ms", self.drain_ms, 100..=3_600_000);
    }
}
