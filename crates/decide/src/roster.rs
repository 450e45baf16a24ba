//! Which endpoints and entries exist, as far as one entry knows.
//!
//! Soft state: built from heartbeats, dropped when they stop. A word of leaving
//! wins at once, whoever gives it, so that a leaving process gets no new work.
//! It holds for one incarnation: a process that starts later at the same
//! instance is a member like any other.

use std::collections::{BTreeMap, HashSet};

use cassiawheel_model::{EndpointReport, InstanceId, LoadReport, PresetRevision, Timestamp};

use crate::advice::EntryCandidate;

/// Time for which a word of leaving is kept after its process was last heard, in milliseconds.
///
/// Longer than any message can be delayed between our processes, so that a
/// heartbeat that was overtaken cannot bring a process back.
const MARK_TTL_MS: u64 = 60_000;

/// The endpoints that one entry knows.
#[derive(Debug, Clone, Default)]
pub struct EndpointRoster {
    members: BTreeMap<InstanceId, RosterMember>,
    marks: LeavingMarks,
    /// Endpoints whose agents are connected to some entry; none if each agent is
    /// connected to this one.
    attached: Option<HashSet<InstanceId>>,
    changes: u64,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct RosterMember {
    /// Its last report.
    pub report: EndpointReport,
    /// When the report arrived.
    pub last_seen: Timestamp,
}

/// The other entries that one entry knows.
#[derive(Debug, Clone, Default)]
pub struct EntryRoster {
    peers: BTreeMap<InstanceId, PeerEntry>,
    marks: LeavingMarks,
}

/// Another entry, as its heartbeats tell.
#[derive(Debug, Clone)]
pub struct PeerEntry {
    /// What callers may be advised.
    pub advice: EntryCandidate,
    /// Distinguishes processes that run one after another at the same instance.
    pub incarnation: u64,
    /// The highest revision that it has adopted.
    pub revision: PresetRevision,
    /// Whether it has what it needs to serve callers.
    pub advised: bool,
    /// When it was last heard.
    pub last_seen: Timestamp,
}

/// Who leaves, by its own word or the platform's.
#[derive(Debug, Clone, Default)]
struct LeavingMarks {
    reported: BTreeMap<InstanceId, LeavingMark>,
    listed: HashSet<InstanceId>,
}

/// A process' own word that it leaves.
#[derive(Debug, Clone, Copy)]
struct LeavingMark {
    incarnation: u64,
    noted_at: Timestamp,
}

impl LeavingMarks {
    /// Notes a process' own word, which may come before its first heartbeat.
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

    /// Forgets words that are old, of processes for which `is_member` does not hold.
    fn expire(&mut self, now: Timestamp, is_member: impl Fn(&InstanceId) -> bool) {
        let oldest = Timestamp(now.0.saturating_sub(MARK_TTL_MS));
        self.reported.retain(|instance, mark| mark.noted_at >= oldest || is_member(instance));
    }
}

impl EndpointRoster {
    /// Takes a heartbeat; false if a later process at the instance is known.
    pub fn apply_report(&mut self, report: EndpointReport, now: Timestamp) -> bool {
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

    /// Takes the endpoints whose agents are connected to some entry; true if they changed.
    pub fn set_attached(&mut self, instances: HashSet<InstanceId>) -> bool {
        let changed = self.attached.as_ref() != Some(&instances);
        if changed {
            self.changes += 1;
            self.attached = Some(instances);
        }
        changed
    }

    /// Drops the reports of endpoints that `is_known` does not hold for, and old marks.
    pub fn keep_only(&mut self, is_known: impl Fn(&InstanceId) -> bool, now: Timestamp) {
        self.members.retain(|instance, _| is_known(instance));
        let members = &self.members;
        self.marks.expire(now, |instance| members.contains_key(instance));
    }

    /// Counts the changes of who is a member.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    fn is_attached(&self, instance: &InstanceId) -> bool {
        self.attached.as_ref().is_none_or(|attached| attached.contains(instance))
    }

    /// Takes a beat: the last report of this process holds but for its load.
    ///
    /// `None` if there is no such report, as after a pause in which the
    /// endpoint was dropped; only a whole report makes it a member again.
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

    /// Notes an endpoint's own word that it leaves.
    pub fn mark_leaving(&mut self, instance: &InstanceId, incarnation: u64, now: Timestamp) {
        self.marks.record(instance, incarnation, now);
    }

    /// Takes the platform's list of leaving instances; true if it changed.
    pub fn set_platform_leaving(&mut self, instances: HashSet<InstanceId>) -> bool {
        let changed = self.marks.listed != instances;
        self.marks.listed = instances;
        changed
    }

    /// Forgets an endpoint whose connection ended, unless a newer process reported since.
    ///
    /// Its word of leaving stays: the same process may report over another
    /// connection a moment later.
    pub fn remove(&mut self, instance: &InstanceId, incarnation: u64) {
        let known = self.members.get(instance).map(|member| member.report.incarnation);
        if known == Some(incarnation) {
            self.changes += 1;
            self.members.remove(instance);
        }
    }

    /// Forgets endpoints that have not been heard since `oldest`.
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

    /// Whether the endpoint leaves, by its own word or the platform's.
    pub fn is_leaving(&self, member: &RosterMember) -> bool {
        self.marks.contains(&member.report.instance, member.report.incarnation)
    }

    /// One endpoint.
    pub fn member(&self, instance: &InstanceId) -> Option<&RosterMember> {
        self.members.get(instance).filter(|_| self.is_attached(instance))
    }

    /// All endpoints in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &RosterMember> {
        self.members.values().filter(|member| self.is_attached(&member.report.instance))
    }
}

impl EntryRoster {
    /// Takes a heartbeat; one of an earlier process at the instance is ignored.
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

    /// Takes the entries that can be reached; all others are forgotten.
    pub fn replace(&mut self, peers: Vec<(InstanceId, PeerEntry)>, now: Timestamp) {
        self.peers.clear();
        for (instance, peer) in peers {
            self.apply_heartbeat(&instance, peer);
        }
        let peers = &self.peers;
        self.marks.expire(now, |instance| peers.contains_key(instance));
    }

    /// Takes a short heartbeat: the last whole one of this process holds but for
    /// the requests in progress. The revision in that one, or `None` if there is
    /// no such heartbeat.
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

    /// Notes an entry's own word that it leaves.
    pub fn mark_leaving(&mut self, instance: &InstanceId, incarnation: u64, now: Timestamp) {
        self.marks.record(instance, incarnation, now);
        self.refresh();
    }

    /// Takes the platform's list of leaving instances.
    pub fn set_platform_leaving(&mut self, instances: HashSet<InstanceId>) {
        self.marks.listed = instances;
        self.refresh();
    }

    /// Forgets entries that have not been heard since `oldest`.
    pub fn expire(&mut self, oldest: Timestamp, now: Timestamp) {
        self.peers.retain(|_, peer| peer.last_seen >= oldest);
        let peers = &self.peers;
        self.marks.expire(now, |instance| peers.contains_key(instance));
    }

    /// All entries by name.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &PeerEntry)> {
        self.peers.iter()
    }

    /// All entries in the order of their names.
    pub fn values(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values()
    }

    fn refresh(&mut self) {
        for (instance, peer) in &mut self.peers {
            peer.advice.leaving = !peer.advised || self.marks.contains(instance, peer.incarnation);
        }
    }
}
