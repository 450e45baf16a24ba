//! Settings shared by both binaries, and checks of addresses, secrets and times.

use std::{net::SocketAddr, ops::RangeInclusive};

use macro_rules_attribute::apply;

use crate::{FailureDomain, FindingList, InstanceId, RegionName, ids::check_id};

/// Identity and location of the process.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct PlaceSettings {
    /// Instance name, unique in the deployment.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: RegionName,
    /// Failure domain of the instance inside the region.
    pub failure_domain: FailureDomain,
}

/// Addresses of the platform's services.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the origin of weights.
    pub origin: SocketAddr,
    /// Address of the list of live and leaving instances.
    pub instances: SocketAddr,
    /// Timeout for an answer of the platform, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    2_000
}

/// Format of log lines.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// `key=value` pairs after a fixed prefix.
    KeyValue,
    /// One JSON object per line.
    Json,
}

/// Level, format and rate limit of logs.
#[apply(record!)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level or `flexi_logger` specification, for example `info, route=warn`.
    pub level: String,
    /// Format of the lines.
    pub format: LogFormat,
    /// Most decision lines per second; further ones are counted and reported in one line.
    pub decisions_per_s: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), format: LogFormat::KeyValue, decisions_per_s: 50_000 }
    }
}

/// Placeholder secret of example settings.
pub(super) const EXAMPLE_KEY: &str = "example-key-of-our-processes";
/// Placeholder operator token of example settings.
pub(super) const EXAMPLE_TOKEN: &str = "example-token-of-an-operator";

/// An address from the range reserved for documentation, so that it does not collide with an
/// address in a settings file.
pub(super) fn example_addr(host: u8) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, host], 7000))
}

impl PlaceSettings {
    /// Placeholder for example settings.
    pub(super) fn example() -> Self {
        Self {
            instance: InstanceId::example(),
            region: RegionName::example(),
            failure_domain: FailureDomain::example(),
        }
    }
}

impl PlatformSettings {
    /// Placeholder for example settings.
    pub(super) fn example() -> Self {
        Self {
            table: example_addr(1),
            origin: example_addr(2),
            instances: example_addr(3),
            timeout_ms: default_timeout_ms(),
        }
    }

    /// Paths and values of the services' addresses.
    pub(super) fn addrs(&self) -> [(String, SocketAddr); 3] {
        [
            ("platform.table".to_owned(), self.table),
            ("platform.origin".to_owned(), self.origin),
            ("platform.instances".to_owned(), self.instances),
        ]
    }

    /// Adds a finding for each invalid value.
    pub(super) fn check(&self, findings: &mut FindingList) {
        check_millis(findings, "platform.timeout_ms", self.timeout_ms, 50..=60_000);
        for (path, addr) in self.addrs() {
            check_reachable(findings, &path, addr);
        }
    }
}

/// Levels that are accepted in a log specification.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

impl LogSettings {
    /// Adds a finding for each invalid value.
    pub fn check(&self, findings: &mut FindingList) {
        for item in self.level.split(',') {
            let (part, level) = match item.split_once('=') {
                Some((part, level)) => (Some(part.trim()), level.trim()),
                None => (None, item.trim()),
            };
            findings.require(
                LOG_LEVELS.contains(&level.to_ascii_lowercase().as_str()),
                "log.level",
                format_args!("{level:?} is not a level; levels are {}", LOG_LEVELS.join(", ")),
            );
            findings.require(
                part.is_none_or(|part| check_id(part).is_ok()),
                "log.level",
                format_args!("{:?} is not a part; write PART=LEVEL", part.unwrap_or_default()),
            );
        }
        findings.require(
            self.decisions_per_s > 0,
            "log.decisions_per_s",
            "must be at least 1; switch decision lines off with log.level, as in \"info, route=off\"",
        );
    }
}

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Adds a finding for a secret that is too short or cannot be sent in a header.
pub fn check_secret(findings: &mut FindingList, path: &str, secret: &str) {
    findings.require(
        secret.len() >= MIN_SECRET_BYTES,
        path,
        format_args!("must have at least {MIN_SECRET_BYTES} bytes, has {}", secret.len()),
    );
    findings.require(
        secret.chars().all(|c| c.is_ascii_graphic()),
        path,
        "must consist of visible ASCII characters without spaces, since it is sent in a header",
    );
}

/// Adds a finding for a time outside `range`, in milliseconds.
///
/// Most wrong times are given in seconds instead of milliseconds and lie below the range, in
/// which case the message asks about the unit.
pub fn check_millis(
    findings: &mut FindingList,
    path: &str,
    value: u64,
    range: RangeInclusive<u64>,
) {
    if range.contains(&value) {
        return;
    }
    let (least, most) = range.into_inner();
    let hint = if (1..least).contains(&value) { "; are these seconds?" } else { "" };
    findings.push(
        path,
        format_args!("must lie between {least} and {most} milliseconds, is {value}{hint}"),
    );
}

/// Adds a finding for an address that other processes cannot connect to.
pub fn check_reachable(findings: &mut FindingList, path: &str, addr: SocketAddr) {
    findings.require(addr.port() != 0, path, format_args!("{addr} has no port"));
    findings.require(
        !addr.ip().is_unspecified(),
        path,
        format_args!("other processes cannot connect to {addr}"),
    );
}

/// Adds a finding for each listener whose address overlaps with that of an earlier one.
pub fn check_listeners(findings: &mut FindingList, listeners: &[(String, SocketAddr)]) {
    check_pairs(findings, listeners, |one, other| {
        let any = one.ip().is_unspecified() || other.ip().is_unspecified();
        one.port() == other.port() && one.port() != 0 && (any || one.ip() == other.ip())
    });
}

/// Adds a finding for each address that is used twice.
pub fn check_distinct(findings: &mut FindingList, addrs: &[(String, SocketAddr)]) {
    check_pairs(findings, addrs, |one, other| one == other && one.port() != 0);
}

fn check_pairs(
    findings: &mut FindingList,
    addrs: &[(String, SocketAddr)],
    overlaps: impl Fn(SocketAddr, SocketAddr) -> bool,
) {
    for (index, (path, addr)) in addrs.iter().enumerate() {
        let earlier = addrs[..index].iter().find(|(_, other)| overlaps(*addr, *other));
        if let Some((other, _)) = earlier {
            findings.push(path, format_args!("{addr} is already used by {other}"));
        }
    }
}

/// Adds a finding if `target` is one of the process's own or its peers' addresses.
pub(super) fn check_target(
    findings: &mut FindingList,
    own: &[(String, SocketAddr)],
    (path, target): (String, SocketAddr),
) {
    if let Some((other, _)) = own.iter().find(|(_, addr)| target == *addr && target.port() != 0) {
        findings.push(path, format_args!("{target} is already used by {other}"));
    }
}

/// Pairs each address of a list with the path of its item.
pub(super) fn indexed_paths(path: &str, addrs: &[SocketAddr]) -> Vec<(String, SocketAddr)> {
    addrs.iter().enumerate().map(|(index, addr)| (format!("{path}[{index}]"), *addr)).collect()
}
