//! Settings that both binaries share.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::{FailureDomain, FindingList, InstanceId, RegionName};

/// Who the process is and where it stands.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct PlaceSettings {
    /// Name of the instance, unique in the deployment.
    pub instance: InstanceId,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain inside the region.
    pub failure_domain: FailureDomain,
}

/// The platform's services, by IP address and port.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Table service.
    pub table: SocketAddr,
    /// Origin of weights.
    pub origin: SocketAddr,
    /// List of live and leaving instances.
    pub instances: SocketAddr,
    /// Longest wait for an answer, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    2_000
}

/// Layout of log lines.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// `key=value` pairs after a fixed prefix.
    KeyValue,
    /// One JSON object a line.
    Json,
}

/// What is logged and how.
#[apply(record!)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level or `flexi_logger` specification, for example `info`.
    pub level: String,
    /// Layout of the lines.
    pub format: LogFormat,
    /// Most decision lines per second; further ones are counted and summed up.
    pub decisions_per_s: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), format: LogFormat::KeyValue, decisions_per_s: 50_000 }
    }
}

/// Shortest accepted secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Adds a finding for a secret that is too short to protect anything.
pub fn check_secret(findings: &mut FindingList, path: &str, secret: &str) {
    findings.require(
        secret.len() >= MIN_SECRET_BYTES,
        path,
        format_args!("must have at least {MIN_SECRET_BYTES} bytes, has {}", secret.len()),
    );
}

/// Adds a finding for each address that is used twice.
pub fn check_distinct(findings: &mut FindingList, addrs: &[(&str, SocketAddr)]) {
    for (index, (path, addr)) in addrs.iter().enumerate() {
        let earlier = addrs[..index].iter().find(|(_, other)| other == addr && addr.port() != 0);
        if let Some((other, _)) = earlier {
            findings.push(path, format_args!("{addr} is already used by {other}"));
        }
    }
}
