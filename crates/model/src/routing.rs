//! How callers reach services: routes by host and path, keys of workspaces.
//!
//! A table belongs to a preset and changes with it, so that a caller never
//! meets the routes of one preset and the keys of another.

use std::collections::BTreeMap;

use macro_rules_attribute::apply;

use crate::{ServiceName, WorkspaceId};

/// What may be done with a request of a route.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Idempotent; answered with one body.
    Idempotent,
    /// Runs at most once; answered with one body.
    AtMostOnce,
    /// Answered with events; runs at most once.
    Stream,
    /// Answered with events; another endpoint may go on after the last event that arrived.
    ResumableStream,
}

/// A part of a route's requests.
#[apply(record!)]
#[derive(Eq)]
pub struct RouteShare {
    /// The service that gets it.
    pub service: ServiceName,
    /// Its weight among the route's shares; the weights need not add up to anything.
    pub weight: u32,
}

/// One route.
#[apply(record!)]
#[derive(Eq)]
pub struct RouteRule {
    /// Its name in logs.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// What paths of the route begin with; begins and ends with a slash.
    pub prefix: String,
    /// Services that its requests go to; at least one.
    pub shares: Vec<RouteShare>,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time until the end of an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer should begin, in milliseconds.
    pub aim_ms: u64,
    /// Endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// What callers may send and how long they may take.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a head, in milliseconds.
    pub head_ms: u64,
    /// Time for which callers may keep an idle connection, in milliseconds.
    pub idle_ms: u64,
}

/// The routes and keys of one preset.
#[apply(record!)]
#[derive(Eq)]
pub struct CallerTable {
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// Workspaces by the keys of their callers.
    pub keys: BTreeMap<String, WorkspaceId>,
    /// Whether callers need a key, but for those of public routes.
    pub needs_key: bool,
    /// Limits of callers.
    pub limits: CallerLimits,
}
