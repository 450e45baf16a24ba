//! Lookup of the route of a request and of the workspace of an API key.
//!
//! Built once per preset and read by every request without a lock. The path is cut at its slashes
//! and tried from the longest prefix to the shortest, so that a lookup costs one hash lookup per
//! path segment, independent of the number of routes.

use std::{collections::HashMap, sync::Arc};

use cassiawheel_model::{CallerTable, HomeRegions, RouteRule, ServiceName, WorkspaceId};

use crate::urgency::{RequestUrgency, UrgencyTable};

/// Index of the routes and keys of one preset.
#[derive(Debug, Clone)]
pub struct CallerIndex {
    table: Arc<CallerTable>,
    /// Positions of routes by host and path prefix.
    hosts: HashMap<String, HashMap<String, usize>>,
    urgencies: UrgencyTable,
}

/// Error for a missing or unknown key on a route that requires one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownKey;

impl CallerIndex {
    /// Builds the index of `table`.
    pub fn new(table: Arc<CallerTable>) -> Self {
        let mut hosts: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (position, rule) in table.routes.iter().enumerate() {
            let prefixes = hosts.entry(rule.host.clone()).or_default();
            prefixes.insert(rule.prefix.clone(), position);
        }
        let urgencies = UrgencyTable::new(&table);
        Self { table, hosts, urgencies }
    }

    /// Underlying table of routes and keys.
    pub fn table(&self) -> &CallerTable {
        &self.table
    }

    /// Route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let prefixes = self.hosts.get(host)?;
        let candidates = path.rmatch_indices('/').map(|(slash, _)| &path[..=slash]);
        let position = candidates.into_iter().find_map(|prefix| prefixes.get(prefix))?;
        self.table.routes.get(*position)
    }

    /// Workspace of a request with `key`; `None` if the route needs no key and none is known.
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

    /// Regions in which requests on the route may be served for `workspace`; `None` if the route
    /// and the workspace have no home in common.
    pub fn homes(&self, rule: &RouteRule, workspace: Option<&WorkspaceId>) -> Option<HomeRegions> {
        match workspace.and_then(|workspace| self.table.workspace_homes.get(workspace)) {
            Some(homes) => rule.homes.intersection(homes),
            None => Some(rule.homes.clone()),
        }
    }

    /// Urgency of a request to `service`; none where urgencies are not in use.
    pub fn urgency(
        &self,
        rule: &RouteRule,
        workspace: Option<&WorkspaceId>,
        service: &ServiceName,
    ) -> Option<RequestUrgency> {
        self.urgencies.of_request(&self.table, rule, workspace, service)
    }

    /// Home regions of the routes of `host` that are restricted to some.
    pub fn host_homes(&self, host: &str) -> Vec<&HomeRegions> {
        let positions = self.hosts.get(host).into_iter().flat_map(HashMap::values);
        let homes = positions.filter_map(|position| Some(&self.table.routes.get(*position)?.homes));
        homes.filter(|homes| !homes.is_unrestricted()).collect()
    }
}

/// Picks a service of the route by weight; `point` is a uniform random number.
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
