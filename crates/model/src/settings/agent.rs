//! Settings of an agent process.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::{
    CheckedSettings, LogSettings, PlaceSettings, PlatformSettings,
    common::{
        EXAMPLE_KEY, check_distinct, check_listeners, check_millis, check_reachable, check_secret,
        check_target, example_addr, indexed_paths,
    },
};
use crate::{EndpointRole, FindingList, ServiceName};

/// Content of an agent's settings file.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Identity and location of the process.
    pub place: PlaceSettings,
    /// Listen address for other agents.
    pub listen_inner: SocketAddr,
    /// Address announced to other agents, if it differs from `listen_inner`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise_inner: Option<SocketAddr>,
    /// Listen address for metrics and probes.
    pub listen_metrics: SocketAddr,
    /// Most open connections from other agents.
    #[serde(default = "default_inner_connections")]
    pub inner_connections: usize,
    /// Internal addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Number of entries that the agent keeps connections to.
    #[serde(default = "default_entry_links")]
    pub entry_links: usize,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Secret shared by all processes of the deployment; at least 16 bytes.
    pub inner_key: String,
    /// The engine or plain service at this instance.
    pub engine: EngineSettings,
    /// Settings of the transfer of weights.
    #[serde(default)]
    pub transfer: TransferSettings,
    /// Heartbeat interval, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Timeout of a graceful shutdown, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Level, format and rate limit of logs.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_inner_connections() -> usize {
    1_024
}

fn default_entry_links() -> usize {
    9
}

fn default_heartbeat_ms() -> u64 {
    250
}

fn default_drain_ms() -> u64 {
    30_000
}

/// The engine or plain service behind an agent.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Model engine or plain service.
    pub role: EndpointRole,
    /// Service that the engine belongs to.
    pub service: ServiceName,
    /// Whether the engine rejects orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Most requests that the agent admits at a time.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
    /// Time between the announcement that the engine accepts no new requests and the switch of its
    /// weights, in milliseconds. Zero if all requests pass through the agent, which then rejects
    /// them itself.
    #[serde(default)]
    pub notice_ms: u64,
}

impl EngineSettings {
    /// Whether entries send requests to the engine without passing through the agent.
    pub fn is_direct(&self) -> bool {
        self.notice_ms > 0
    }
}

fn default_max_in_flight() -> u32 {
    32
}

/// Optimisation goal of the transfer of weights.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum TransferMode {
    /// Minimises the time until the replicas serve.
    Time,
    /// Minimises the bytes read from the origin.
    Bytes,
}

/// Settings of the transfer of weights.
#[apply(record!)]
#[serde(deny_unknown_fields, default)]
pub struct TransferSettings {
    /// Optimisation goal.
    pub mode: TransferMode,
    /// Copies of a version that all agents together may read from the origin.
    pub origin_copies: f64,
    /// Capacity of the instance's link in each direction, in bytes per second; 0 is unlimited.
    pub link_bytes_per_s: u64,
    /// Share of the link reserved for live requests, from 0 to 0.9.
    pub live_share: f64,
    /// Concurrent chunk requests accepted from other agents; further ones are refused as busy.
    pub upload_slots: usize,
    /// Chunks fetched concurrently from other agents.
    pub download_slots: usize,
    /// Timeout after which a chunk is requested from another source, in milliseconds.
    pub stall_ms: u64,
    /// Minimum time without progress after which the chunks that an agent has to read from the
    /// origin are reassigned to other agents, in milliseconds.
    pub origin_step_ms: u64,
    /// Size of the cache of verified chunks for other agents, in bytes.
    pub cache_bytes: u64,
    /// Transfer time of a chunk from another agent above which fewer chunks are requested at a
    /// time, in milliseconds; with 0, `download_slots` are always requested.
    pub queue_ms: u64,
    /// Time after which a chunk that few agents hold is read from the origin again, in
    /// milliseconds; with 0 it is not, so that only one copy is read.
    pub rescue_ms: u64,
    /// Whether an engine that serves nothing loads half of the layers of a version before the rest
    /// is staged, so that it takes part in paths.
    pub partial_loads: bool,
}

impl Default for TransferSettings {
    fn default() -> Self {
        Self {
            mode: TransferMode::Bytes,
            origin_copies: 1.0,
            link_bytes_per_s: 0,
            live_share: 0.2,
            upload_slots: 32,
            download_slots: 8,
            stall_ms: 2_000,
            origin_step_ms: 500,
            cache_bytes: 64 << 20,
            queue_ms: 0,
            rescue_ms: 0,
            partial_loads: false,
        }
    }
}

impl CheckedSettings for AgentSettings {
    fn example() -> Self {
        Self {
            place: PlaceSettings::example(),
            listen_inner: example_addr(21),
            advertise_inner: Some(example_addr(25)),
            listen_metrics: example_addr(22),
            inner_connections: default_inner_connections(),
            entries: vec![example_addr(23)],
            entry_links: default_entry_links(),
            platform: PlatformSettings::example(),
            inner_key: EXAMPLE_KEY.to_owned(),
            engine: EngineSettings {
                addr: example_addr(24),
                role: EndpointRole::Model,
                service: ServiceName::example(),
                checks_fencing: false,
                max_in_flight: default_max_in_flight(),
                notice_ms: 0,
            },
            transfer: TransferSettings::default(),
            heartbeat_ms: default_heartbeat_ms(),
            drain_ms: default_drain_ms(),
            log: LogSettings::default(),
        }
    }

    fn check(&self, findings: &mut FindingList) {
        self.check_addrs(findings);
        check_secret(findings, "inner_key", &self.inner_key);
        findings.require(!self.entries.is_empty(), "entries", "must name at least one entry");
        let positive = [
            ("inner_connections", self.inner_connections),
            ("entry_links", self.entry_links),
            ("engine.max_in_flight", self.engine.max_in_flight as usize),
        ];
        for (path, value) in positive {
            findings.require(value > 0, path, "must be at least 1");
        }
        check_millis(findings, "heartbeat_ms", self.heartbeat_ms, 20..=60_000);
        check_millis(findings, "drain_ms", self.drain_ms, 100..=3_600_000);
        self.platform.check(findings);
        self.transfer.check(findings);
        self.log.check(findings);
    }
}

impl AgentSettings {
    fn check_addrs(&self, findings: &mut FindingList) {
        findings.require(
            self.listen_metrics.port() != 0,
            "listen_metrics",
            format_args!("{} has no port", self.listen_metrics),
        );
        // This address is announced to other agents.
        check_reachable(findings, "listen_inner", self.listen_inner);
        check_reachable(findings, "engine.addr", self.engine.addr);
        let entries = indexed_paths("entries", &self.entries);
        for (path, addr) in &entries {
            check_reachable(findings, path, *addr);
        }
        let listeners = [
            ("listen_inner".to_owned(), self.listen_inner),
            ("listen_metrics".to_owned(), self.listen_metrics),
        ];
        let engine = ("engine.addr".to_owned(), self.engine.addr);
        check_listeners(findings, &listeners);
        check_distinct(findings, &entries);
        let own: Vec<_> = listeners.into_iter().chain([engine.clone()]).collect();
        check_target(findings, &own[..2], engine);
        for entry in &entries {
            check_target(findings, &own, entry.clone());
        }
        let own: Vec<_> = own.into_iter().chain(entries).collect();
        for target in self.platform.addrs() {
            check_target(findings, &own, target);
        }
    }
}

impl TransferSettings {
    fn check(&self, findings: &mut FindingList) {
        findings.require(
            (1.0..=64.0).contains(&self.origin_copies),
            "transfer.origin_copies",
            "must lie between 1 and 64: with less than one copy, a transfer never completes",
        );
        findings.require(
            (0.0..=0.9).contains(&self.live_share),
            "transfer.live_share",
            "must lie between 0 and 0.9",
        );
        let positive = [
            ("transfer.upload_slots", self.upload_slots as u64),
            ("transfer.download_slots", self.download_slots as u64),
            ("transfer.cache_bytes", self.cache_bytes),
        ];
        for (path, value) in positive {
            findings.require(value > 0, path, "must be at least 1");
        }
        check_millis(findings, "transfer.stall_ms", self.stall_ms, 50..=600_000);
        check_millis(findings, "transfer.origin_step_ms", self.origin_step_ms, 20..=600_000);
    }
}
