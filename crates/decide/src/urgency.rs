//! Urgencies of the routes and workspaces that can reach a service.
//!
//! Urgencies are in use for a service when at least two different ones are named for it.
//! Otherwise requests to it are admitted as if there were none.

use std::collections::{BTreeMap, BTreeSet};

use cassiawheel_model::{CallerTable, RouteRule, ServiceName, Urgency, WorkspaceId};

use crate::{
    admit::{AdmitRank, AdmitTier},
    request_work::RequestWork,
};

/// Number of priorities that an endpoint distinguishes.
const PRIORITIES: usize = 10;

/// Priority of returned requests to a service without urgencies: behind all others.
const RETURNED_PRIORITY: u8 = 9;

/// Urgencies in use, by service.
#[derive(Debug, Clone, Default)]
pub struct UrgencyTable {
    services: BTreeMap<ServiceName, ServiceUrgencies>,
}

/// Urgencies in use for one service; at least two.
#[derive(Debug, Clone)]
struct ServiceUrgencies {
    used: Vec<Urgency>,
    /// Smallest latency target of the most urgent routes, in milliseconds.
    min_aim_ms: Option<u64>,
}

/// Urgency of one request where urgencies are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestUrgency {
    /// The urgency.
    pub urgency: Urgency,
    /// Whether requests to the service can be less urgent.
    is_least: bool,
    /// Number of urgencies in use that are more urgent.
    position: usize,
    /// Number of urgencies in use.
    count: usize,
    /// Smallest latency target of the most urgent routes, in milliseconds.
    min_aim_ms: Option<u64>,
}

impl UrgencyTable {
    /// Determines the urgencies in use for each service of the route table.
    pub fn new(table: &CallerTable) -> Self {
        let mut routes: BTreeMap<&ServiceName, Vec<&RouteRule>> = BTreeMap::new();
        for rule in &table.routes {
            for share in &rule.shares {
                routes.entry(&share.service).or_default().push(rule);
            }
        }
        let services = routes.into_iter().filter_map(|(service, routes)| {
            Some((service.clone(), ServiceUrgencies::new(&routes, table)?))
        });
        Self { services: services.collect() }
    }

    /// Urgency of a request; none where urgencies are not in use.
    pub fn of_request(
        &self,
        table: &CallerTable,
        rule: &RouteRule,
        workspace: Option<&WorkspaceId>,
        service: &ServiceName,
    ) -> Option<RequestUrgency> {
        let service = self.services.get(service)?;
        let own = workspace.and_then(|workspace| table.workspace_urgencies.get(workspace));
        let urgency = own.copied().or(rule.urgency).unwrap_or_default();
        let position = service.used.partition_point(|used| *used < urgency);
        let count = service.used.len();
        Some(RequestUrgency {
            urgency,
            is_least: position + 1 >= count,
            position: position.min(count - 1),
            count,
            min_aim_ms: service.min_aim_ms,
        })
    }
}

impl ServiceUrgencies {
    fn new(routes: &[&RouteRule], table: &CallerTable) -> Option<Self> {
        let reaches = |workspace: &WorkspaceId| match table.workspace_homes.get(workspace) {
            Some(homes) => routes.iter().any(|rule| rule.homes.intersection(homes).is_some()),
            None => true,
        };
        let workspaces = table.workspace_urgencies.iter().filter(|(name, _)| reaches(name));
        let named = routes.iter().filter_map(|rule| rule.urgency);
        let named = named.chain(workspaces.map(|(_, urgency)| *urgency));
        let mut used: BTreeSet<_> = named.collect();
        if used.len() < 2 {
            return None;
        }
        let of_route = |rule: &RouteRule| rule.urgency.unwrap_or_default();
        used.extend(routes.iter().map(|rule| of_route(rule)));
        let most_urgent = routes.iter().map(|rule| of_route(rule)).min();
        let most_urgent = routes.iter().filter(|rule| Some(of_route(rule)) == most_urgent);
        // Routes without a target are left out: nothing is known about how long they can wait.
        let min_aim_ms = most_urgent.map(|rule| rule.aim_ms).filter(|aim_ms| *aim_ms > 0).min();
        Some(Self { used: used.into_iter().collect(), min_aim_ms })
    }
}

impl RequestUrgency {
    /// Rank of the request in admission.
    pub fn rank(self, work: RequestWork) -> AdmitRank {
        AdmitRank { urgency: self.urgency, yields: self.is_least, work }
    }

    /// Latency target that bounds the wait for admission of a request whose route has `aim_ms`.
    pub fn wait_aim_ms(self, aim_ms: u64) -> u64 {
        self.min_aim_ms.map_or(aim_ms, |min_aim_ms| aim_ms.min(min_aim_ms))
    }

    /// Priority at the endpoint: by urgency, returned requests behind first-time ones.
    fn priority(self, tier: AdmitTier) -> u8 {
        let position = 2 * self.position + usize::from(tier == AdmitTier::Returned);
        let count = 2 * self.count;
        // With more than five urgencies, adjacent positions share a priority.
        let priority = match count <= PRIORITIES {
            true => position,
            false => position * PRIORITIES / count,
        };
        priority.min(PRIORITIES - 1) as u8
    }
}

/// Priority at the endpoint; none leaves the endpoint's default.
pub fn engine_priority(urgency: Option<RequestUrgency>, tier: AdmitTier) -> Option<u8> {
    match (urgency, tier) {
        (Some(urgency), tier) => Some(urgency.priority(tier)),
        (None, AdmitTier::Fresh) => None,
        (None, AdmitTier::Returned) => Some(RETURNED_PRIORITY),
    }
}
