//! Finding the route of a request and the workspace of a key.
//!
//! Built once for each preset and read by every request without a lock. A path
//! is cut at its slashes, from the longest prefix to the shortest, so that a
//! search costs as many look-ups as the path has parts, however many routes
//! there are.

use std::{collections::HashMap, sync::Arc};

use cassiawheel_model::{CallerTable, RouteRule, ServiceName, WorkspaceId};

/// The routes and keys of one preset.
#[derive(Debug, Clone)]
pub struct CallerIndex {
    table: Arc<CallerTable>,
    /// Positions of routes by host and prefix.
    hosts: HashMap<String, HashMap<String, usize>>,
}

/// Why a key opens nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownKey;

impl CallerIndex {
    /// An index of `table`.
    pub fn new(table: Arc<CallerTable>) -> Self {
        let mut hosts: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (position, rule) in table.routes.iter().enumerate() {
            let prefixes = hosts.entry(rule.host.clone()).or_default();
            prefixes.insert(rule.prefix.clone(), position);
        }
        Self { table, hosts }
    }

    /// The table itself.
    pub fn table(&self) -> &CallerTable {
        &self.table
    }

    /// The route with the longest prefix of `path` at `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let prefixes = self.hosts.get(host)?;
        let candidates = path.rmatch_indices('/').map(|(slash, _)| &path[..=slash]);
        let position = candidates.into_iter().find_map(|prefix| prefixes.get(prefix))?;
        self.table.routes.get(*position)
    }

    /// The workspace of a request with `key`; none where callers need no key.
    pub fn workspace(
        &self,
        rule: &RouteRule,
        key: Option<&str>,
    ) -> Result<Option<&WorkspaceId>, UnknownKey> {
        let known = key.and_then(|key| self.table.keys.get(key));
        if known.is_none() && self.table.needs_key && !rule.is_public {
            return Err(UnknownKey);
        }
        Ok(known)
    }
}

/// The service that a request of the route goes to; `point` is a random number.
pub fn pick_service(rule: &RouteRule, point: u32) -> Option<&ServiceName> {
    let total: u64 = rule.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut remaining = u64::from(point) % total.max(1);
    let chosen = rule.shares.iter().find(|share| {
        let weight = u64::from(share.weight);
        let is_chosen = remaining < weight;
        remaining = remaining.saturating_sub(weight);
        is_chosen
    });
    chosen.or(rule.shares.first()).map(|share| &share.service)
}
