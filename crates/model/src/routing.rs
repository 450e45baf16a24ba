//! Routing of callers' requests: routes by host and path, and API keys of workspaces.
//!
//! A table is part of a preset and is replaced with it, so routes and keys of
//! different presets are never combined.

use std::collections::BTreeMap;

use macro_rules_attribute::apply;

use crate::{HomeRegions, NamedLimit, ServiceName, Urgency, WorkspaceId};

/// Whether requests of a route may be retried, and how they are answered.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Idempotent; answered with a single body.
    Idempotent,
    /// Runs at most once; answered with a single body.
    AtMostOnce,
    /// Runs at most once; answered with an event stream.
    Stream,
    /// Answered with an event stream; another endpoint may resume it after the last event received.
    ResumableStream,
}

/// A service that receives a share of a route's requests.
#[apply(record!)]
#[derive(Eq)]
pub struct RouteShare {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Weight relative to the route's other shares; the weights need no particular sum.
    pub weight: u32,
}

/// A route from host and path prefix to services.
#[apply(record!)]
#[derive(Eq)]
pub struct RouteRule {
    /// Name of the route in logs.
    pub name: String,
    /// Host of matching requests, in lower case.
    pub host: String,
    /// Path prefix of matching requests; begins and ends with a slash.
    pub prefix: String,
    /// Services that receive the requests; at least one.
    pub shares: Vec<RouteShare>,
    /// Whether requests may be retried, and how they are answered.
    pub kind: RouteKind,
    /// Timeout until the end of the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency until the start of the answer, in milliseconds.
    pub aim_ms: u64,
    /// Most endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether the route is open to callers without a key.
    pub is_public: bool,
    /// Regions in which the route's requests may be served.
    #[serde(default)]
    pub homes: HomeRegions,
    /// Urgency of the route's requests, if the route names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgency: Option<Urgency>,
}

/// Size limits and timeouts of callers' connections.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_ms: u64,
    /// Timeout of idle connections, in milliseconds.
    pub idle_ms: u64,
}

/// Load that an endpoint tolerates after its start, from all entries together.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct ColdLimit {
    /// How long an endpoint stays cold, in milliseconds.
    pub duration_ms: u64,
    /// Rate of requests that a cold endpoint tolerates.
    pub limit: NamedLimit,
}

/// Routes, API keys and limits of callers under one preset.
#[apply(record!)]
#[derive(Eq)]
pub struct CallerTable {
    /// Routes; of several matches the one with the longest prefix applies.
    pub routes: Vec<RouteRule>,
    /// Workspaces by the API keys of their callers.
    pub keys: BTreeMap<String, WorkspaceId>,
    /// Home regions of the workspaces that are restricted to some.
    #[serde(default)]
    pub workspace_homes: BTreeMap<WorkspaceId, HomeRegions>,
    /// Urgencies of the workspaces that name one; they take precedence over those of routes.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub workspace_urgencies: BTreeMap<WorkspaceId, Urgency>,
    /// Whether callers of routes that are not public need a key.
    pub needs_key: bool,
    /// Limits of cold endpoints, by service.
    #[serde(default)]
    pub cold_limits: BTreeMap<ServiceName, ColdLimit>,
    /// Times that endpoints take to warm up after their start, in milliseconds, by service.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub warm_up_ms: BTreeMap<ServiceName, u64>,
    /// Limits of callers' connections.
    pub limits: CallerLimits,
}
