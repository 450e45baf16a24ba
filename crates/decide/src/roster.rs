//! Membership: the endpoints and entries known to one entry.
//!
//! This is soft state, built from heartbeats and dropped when they stop. A leave notice takes
//! effect at once, from the process or from the platform, so that a leaving process gets no new
//! work. It applies to one incarnation: a process that later starts as the same instance is a
//! regular member.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
};

use cassiawheel_model::{
    EndpointReport, InstanceId, LoadReport, PresetRevision, Timestamp, WeightsBasis,
};

use crate::advice::EntryCandidate;

/// Time for which a leave notice is kept after its process was last seen, in milliseconds.
///
/// Longer than any message between our processes can be delayed, so that a reordered heartbeat
/// cannot restore a process that has left.
const MARK_TTL_MS: u64 = 60_000;

/// Endpoints known to one entry.
#[derive(Debug, Clone, Default)]
pub struct EndpointRoster {
    members: BTreeMap<InstanceId, RosterMember>,
    marks: LeavingMarks,
    /// Endpoints whose agents are connected to any entry; `None` if every agent connects to this
    /// one.
    attached: Option<HashSet<InstanceId>>,
    changes: u64,
}

/// A known endpoint.
#[derive(Debug, Clone)]
pub struct RosterMember {
    /// Last report of the endpoint, with the load from its latest heartbeat.
    pub report: EndpointReport,
    /// When the last report or load arrived.
    pub last_seen: Timestamp,
}

/// Other entries known to one entry.
#[derive(Debug, Clone, Default)]
pub struct EntryRoster {
    peers: BTreeMap<InstanceId, PeerEntry>,
    marks: LeavingMarks,
}

/// Another entry, as described by its heartbeats.
#[derive(Debug, Clone)]
pub struct PeerEntry {
    /// Data from which callers are advised.
    pub advice: EntryCandidate,
    /// Distinguishes successive processes of the same instance.
    pub incarnation: u64,
    /// Highest preset revision that the entry has adopted.
    pub revision: PresetRevision,
    /// Whether the entry is ready to serve callers.
    pub advised: bool,
    /// When the last heartbeat arrived.
    pub last_seen: Timestamp,
}

/// Leaving processes, by their own notice or by the platform's list.
#[derive(Debug, Clone, Default)]
struct LeavingMarks {
    reported: BTreeMap<InstanceId, LeavingMark>,
    listed: HashSet<InstanceId>,
}

/// Leave notice sent by a process itself.
#[derive(Debug, Clone, Copy)]
struct LeavingMark {
    incarnation: u64,
    noted_at: Timestamp,
}

impl LeavingMarks {
    /// Records a leave notice, which may arrive before the first heartbeat of its process.
    fn record(&mut self, instance: &InstanceId, incarnation: u64, now: Timestamp) {
        let mark = LeavingMark { incarnation, noted_at: now };
        let known = self.reported.entry(instance.clone()).or_insert(mark);
        if known.incarnation <= incarnation {
            *known = mark;
        }
    }

    fn contains(&self, instance: &InstanceId, incarnation: u64) -> bool {
        let reported =
            self.reported.get(instance).is_some_and(|mark| mark.incarnation >= incarnation);
        reported || self.listed.contains(instance)
    }

    /// Removes old notices of processes for which `is_member` is false.
    fn expire(&mut self, now: Timestamp, is_member: impl Fn(&InstanceId) -> bool) {
        let oldest = Timestamp(now.0.saturating_sub(MARK_TTL_MS));
        self.reported.retain(|instance, mark| mark.noted_at >= oldest || is_member(instance));
    }
}

impl EndpointRoster {
    /// Marks the weights of a restarted agent as unproved if its former process was loading some
    /// when it last reported.
    pub fn check_basis(&self, report: &mut EndpointReport) {
        let known = self.members.get(&report.instance).map(|member| &member.report);
        let is_cut_short = known.is_some_and(|known| {
            known.is_unproved() || known.is_loading() && known.incarnation < report.incarnation
        });
        if is_cut_short && report.basis == WeightsBasis::Adopted {
            report.basis = WeightsBasis::Unproved;
        }
    }

    /// Applies a full report; false if a later incarnation is known.
    pub fn apply_report(&mut self, mut report: EndpointReport, now: Timestamp) -> bool {
        self.check_basis(&mut report);
        let known = self.members.get(&report.instance).map(|member| member.report.incarnation);
        if known.is_some_and(|incarnation| incarnation > report.incarnation) {
            return false;
        }
        if known != Some(report.incarnation) {
            self.changes += 1;
        }
        let member = RosterMember { last_seen: now, report };
        self.members.insert(member.report.instance.clone(), member);
        true
    }

    /// Sets the endpoints whose agents are connected to any entry; true if they changed.
    pub fn set_attached(&mut self, instances: HashSet<InstanceId>) -> bool {
        let changed = self.attached.as_ref() != Some(&instances);
        if changed {
            self.changes += 1;
            self.attached = Some(instances);
        }
        changed
    }

    /// Keeps only the endpoints for which `is_known` is true, and drops expired leave notices.
    ///
    /// A load that was cut short is remembered for as long as its engine `is_listed`.
    pub fn keep_only(
        &mut self,
        is_known: impl Fn(&InstanceId) -> bool,
        is_listed: impl Fn(SocketAddr) -> bool,
        now: Timestamp,
    ) {
        self.members.retain(|instance, member| {
            let is_cut_short = member.report.is_loading();
            let may_run = || member.report.endpoint_addr.is_some_and(&is_listed);
            is_known(instance) || is_cut_short && may_run()
        });
        let members = &self.members;
        self.marks.expire(now, |instance| members.contains_key(instance));
    }

    /// Number of membership changes so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    fn is_attached(&self, instance: &InstanceId) -> bool {
        self.attached.as_ref().is_none_or(|attached| attached.contains(instance))
    }

    /// Applies a heartbeat that carries only the load; the last full report stays valid otherwise.
    ///
    /// `None` if there is no such report of this incarnation, as after an expiry: only a full
    /// report makes the endpoint a member again.
    pub fn apply_load(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        load: LoadReport,
        now: Timestamp,
    ) -> Option<&EndpointReport> {
        let member = self.members.get_mut(instance)?;
        if member.report.incarnation != incarnation {
            return None;
        }
        member.last_seen = now;
        member.report.load = load;
        Some(&member.report)
    }

    /// Records that an endpoint has announced its departure.
    pub fn mark_leaving(&mut self, instance: &InstanceId, incarnation: u64, now: Timestamp) {
        self.marks.record(instance, incarnation, now);
    }

    /// Sets the platform's list of leaving instances; true if it changed.
    pub fn set_platform_leaving(&mut self, instances: HashSet<InstanceId>) -> bool {
        let changed = self.marks.listed != instances;
        self.marks.listed = instances;
        changed
    }

    /// Removes an endpoint whose connection ended, unless a newer incarnation has reported since.
    ///
    /// Its leave notice stays, because the same process may soon report over another connection.
    pub fn remove(&mut self, instance: &InstanceId, incarnation: u64) {
        let known = self.members.get(instance).map(|member| member.report.incarnation);
        if known == Some(incarnation) {
            self.changes += 1;
            self.members.remove(instance);
        }
    }

    /// Removes and returns the endpoints that were last seen before `oldest`.
    pub fn expire(&mut self, oldest: Timestamp, now: Timestamp) -> Vec<InstanceId> {
        let silent: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.last_seen < oldest)
            .map(|(instance, _)| instance.clone())
            .collect();
        self.changes += silent.len() as u64;
        for instance in &silent {
            self.members.remove(instance);
        }
        let members = &self.members;
        self.marks.expire(now, |instance| members.contains_key(instance));
        silent
    }

    /// Whether the endpoint is leaving, by its own notice or the platform's list.
    pub fn is_leaving(&self, member: &RosterMember) -> bool {
        self.marks.contains(&member.report.instance, member.report.incarnation)
    }

    /// Endpoint of this name, if its agent is connected to an entry.
    pub fn member(&self, instance: &InstanceId) -> Option<&RosterMember> {
        self.members.get(instance).filter(|_| self.is_attached(instance))
    }

    /// Reports by which requests are routed: those of connected endpoints, and the last ones of
    /// agents that were lost during a load.
    pub fn routing_reports(&self) -> impl Iterator<Item = &EndpointReport> {
        let reports = self.members.values().map(|member| &member.report);
        reports.filter(|report| self.is_attached(&report.instance) || report.is_loading())
    }

    /// All connected endpoints, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &RosterMember> {
        self.members.values().filter(|member| self.is_attached(&member.report.instance))
    }
}

impl EntryRoster {
    /// Applies a full heartbeat; one of an earlier incarnation is ignored.
    pub fn apply_heartbeat(&mut self, instance: &InstanceId, mut peer: PeerEntry) {
        let known = self.peers.get(instance).map(|known| known.incarnation);
        if known.is_some_and(|incarnation| incarnation > peer.incarnation) {
            return;
        }
        if peer.advice.leaving {
            self.marks.record(instance, peer.incarnation, peer.last_seen);
        }
        peer.advice.leaving = !peer.advised || self.marks.contains(instance, peer.incarnation);
        self.peers.insert(instance.clone(), peer);
    }

    /// Replaces all entries by the reachable ones.
    pub fn replace(&mut self, peers: Vec<(InstanceId, PeerEntry)>, now: Timestamp) {
        self.peers.clear();
        for (instance, peer) in peers {
            self.apply_heartbeat(&instance, peer);
        }
        let peers = &self.peers;
        self.marks.expire(now, |instance| peers.contains_key(instance));
    }

    /// Applies a short heartbeat, which carries only the number of in-flight requests. Returns the
    /// revision of the last full heartbeat of this incarnation, or `None` if there is none.
    pub fn touch(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        in_flight: u32,
        now: Timestamp,
    ) -> Option<PresetRevision> {
        let peer = self.peers.get_mut(instance)?;
        if peer.incarnation != incarnation {
            return None;
        }
        peer.last_seen = now;
        peer.advice.in_flight = in_flight;
        Some(peer.revision)
    }

    /// Records that an entry has announced its departure.
    pub fn mark_leaving(&mut self, instance: &InstanceId, incarnation: u64, now: Timestamp) {
        self.marks.record(instance, incarnation, now);
        self.refresh();
    }

    /// Sets the platform's list of leaving instances.
    pub fn set_platform_leaving(&mut self, instances: HashSet<InstanceId>) {
        self.marks.listed = instances;
        self.refresh();
    }

    /// Removes entries that were last seen before `oldest`.
    pub fn expire(&mut self, oldest: Timestamp, now: Timestamp) {
        self.peers.retain(|_, peer| peer.last_seen >= oldest);
        let peers = &self.peers;
        self.marks.expire(now, |instance| peers.contains_key(instance));
    }

    /// All entries with their names, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &PeerEntry)> {
        self.peers.iter()
    }

    /// All entries, ordered by name.
    pub fn values(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values()
    }

    fn refresh(&mut self) {
        for (instance, peer) in &mut self.peers {
            peer.advice.leaving = !peer.advised || self.marks.contains(instance, peer.incarnation);
        }
    }
}
