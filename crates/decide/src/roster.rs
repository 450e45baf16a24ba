//! Which endpoints exist, as far as one entry knows.
//!
//! Soft state: built from heartbeats, dropped when they stop. A word of leaving
//! wins at once, whoever gives it, so that a leaving endpoint gets no new work.

use std::collections::{BTreeMap, HashSet};

use cassiawheel_model::{EndpointReport, InstanceId, Timestamp};

/// The endpoints that one entry knows.
#[derive(Debug, Clone, Default)]
pub struct EndpointRoster {
    members: BTreeMap<InstanceId, RosterMember>,
    leaving: HashSet<(InstanceId, u64)>,
    listed_leaving: HashSet<InstanceId>,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct RosterMember {
    /// Its last report.
    pub report: EndpointReport,
    /// When the report arrived.
    pub heard_at: Timestamp,
}

impl EndpointRoster {
    /// Takes a heartbeat; false if a later process at the instance is known.
    pub fn hear(&mut self, report: EndpointReport, now: Timestamp) -> bool {
        let known = self.members.get(&report.instance).map(|member| member.report.incarnation);
        if known.is_some_and(|incarnation| incarnation > report.incarnation) {
            return false;
        }
        let member = RosterMember { heard_at: now, report };
        self.members.insert(member.report.instance.clone(), member);
        true
    }

    /// Notes an endpoint's own word that it leaves.
    pub fn leave(&mut self, instance: &InstanceId) {
        if let Some(member) = self.members.get(instance) {
            self.leaving.insert((instance.clone(), member.report.incarnation));
        }
    }

    /// Takes the platform's list of leaving instances.
    pub fn list_leaving(&mut self, instances: HashSet<InstanceId>) {
        self.listed_leaving = instances;
    }

    /// Forgets an endpoint whose connection ended, unless a newer process reported since.
    pub fn forget(&mut self, instance: &InstanceId, incarnation: u64) {
        let known = self.members.get(instance).map(|member| member.report.incarnation);
        if known == Some(incarnation) {
            self.members.remove(instance);
            self.leaving.remove(&(instance.clone(), incarnation));
        }
    }

    /// Forgets endpoints that have not been heard since `oldest`.
    pub fn expire(&mut self, oldest: Timestamp) -> Vec<InstanceId> {
        let silent: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.heard_at < oldest)
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &silent {
            self.members.remove(instance);
        }
        silent
    }

    /// Whether the endpoint leaves, by its own word or the platform's.
    pub fn is_leaving(&self, member: &RosterMember) -> bool {
        let report = &member.report;
        self.listed_leaving.contains(&report.instance)
            || self.leaving.contains(&(report.instance.clone(), report.incarnation))
    }

    /// All endpoints in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &RosterMember> {
        self.members.values()
    }
}
