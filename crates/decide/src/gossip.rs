//! State that entries exchange by gossip: records, reports and loads.
//!
//! Each item that is newer than the known one gets the next change number. A link keeps the number
//! up to which its peer is current. A new link thus receives the whole state and an existing one
//! only changes, and no item is sent back over the link that delivered it.
//!
//! Items of processes that are gone are kept for a while, so that a late copy is recognised as old,
//! and are not sent to new peers: one that has dropped such an item would take it for new.
//!
//! Where the peer probably has an item from another link, its version is offered instead, and the
//! peer requests the item if it lacks it ([`crate::item_requests`]).

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use cassiawheel_model::{
    EndpointReport, EntryRecord, InstanceId, ItemVersion, LoadRecord, RegionName, Timestamp,
};

use crate::rank::subject_of;

/// Maximum number of records, and of reports.
const MAX_ITEMS: usize = 16_384;

/// Maximum number of loads in one message.
const MAX_LOADS: usize = 512;

/// Time for which an item without a reachable process is kept.
///
/// Longer than any message can be delayed, so that a late copy is recognised as old.
const RETENTION_TIME: Duration = Duration::from_secs(60);

/// Age from which a load is outdated, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 2_000;

/// Identifier of a link within its process.
pub type LinkId = u64;

/// Change numbers up to which the peer of a link has received everything.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCursor {
    state: u64,
    /// Number of changes when the link was first used.
    first: Option<u64>,
    loads: u64,
}

/// Records, reports and loads known to one entry.
#[derive(Debug, Default)]
pub struct GossipStore {
    records: BTreeMap<InstanceId, StoredItem<EntryRecord>>,
    reports: BTreeMap<InstanceId, StoredItem<EndpointReport>>,
    loads: HashMap<u64, KnownLoad>,
    /// Names of the instances with a record or report, by their hashes.
    names: HashMap<u64, InstanceId>,
    /// Number of changes of records and reports.
    changes: u64,
    load_changes: u64,
    record_changes: u64,
}

/// Records and reports that are due on a link.
#[derive(Debug, Default)]
pub struct DueState {
    /// Records to send.
    pub records: Vec<EntryRecord>,
    /// Reports to send.
    pub reports: Vec<EndpointReport>,
    /// Versions to offer.
    pub offers: Vec<ItemVersion>,
    /// Cursor of the link afterwards.
    pub cursor: LinkCursor,
}

/// An item with its change number and the links that delivered it.
#[derive(Debug)]
struct StoredItem<T> {
    item: T,
    change: u64,
    sources: Vec<LinkId>,
    received_at: Timestamp,
    /// Number of changes when the item's process was found to be gone.
    gone_at: Option<u64>,
    returned: Option<ReturnedItem>,
}

/// Changes between which the process of an item seemed to be gone.
#[derive(Debug, Clone, Copy)]
struct ReturnedItem {
    gone_at: u64,
    change: u64,
}

#[derive(Debug, Clone, Copy)]
struct KnownLoad {
    load: u32,
    measured_at: Timestamp,
    change: u64,
    source: Option<LinkId>,
}

/// Source and time of an arriving item, and its change number if it is new.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    change: u64,
    source: Option<LinkId>,
    now: Timestamp,
}

impl<T> StoredItem<T> {
    fn new(item: T, Arrival { change, source, now }: Arrival) -> Self {
        Self {
            item,
            change,
            sources: source.into_iter().collect(),
            received_at: now,
            gone_at: None,
            returned: None,
        }
    }

    /// Replaces the item if `item` is newer; the sender of an equal copy becomes another source.
    fn merge(&mut self, item: T, is_newer: fn(&T, &T) -> bool, arrival: Arrival) -> bool {
        if is_newer(&item, &self.item) {
            *self = Self::new(item, arrival);
            return true;
        }
        if !is_newer(&self.item, &item) {
            let new_source = arrival.source.filter(|source| !self.sources.contains(source));
            self.sources.extend(new_source);
        }
        false
    }

    /// Whether `offered` is newer than `known`; the sender of an equal one becomes a source.
    fn compare(&mut self, known: (u64, u64), offered: (u64, u64), link: LinkId) -> bool {
        if known == offered && !self.sources.contains(&link) {
            self.sources.push(link);
        }
        offered > known
    }

    fn is_due(&self, cursor: LinkCursor, link: LinkId) -> bool {
        // Older links have received the item before its process seemed to be gone.
        let was_skipped = self.returned.is_some_and(|returned| {
            let is_later_link = cursor.first.is_some_and(|first| first >= returned.gone_at);
            is_later_link && returned.change > cursor.state
        });
        let is_new = self.change > cursor.state || was_skipped;
        is_new && self.gone_at.is_none() && !self.sources.contains(&link)
    }

    /// Records as change number `change` whether the item's process is present; true if that has
    /// changed.
    fn set_present(&mut self, is_present: bool, change: u64) -> bool {
        match (self.gone_at, is_present) {
            (None, true) | (Some(_), false) => false,
            (None, false) => {
                self.gone_at = Some(change);
                true
            }
            (Some(gone_at), true) => {
                let gone_at = self.returned.map_or(gone_at, |earlier| earlier.gone_at);
                self.gone_at = None;
                self.returned = Some(ReturnedItem { gone_at, change });
                true
            }
        }
    }
}

/// Version of a record.
pub fn record_version(record: &EntryRecord) -> ItemVersion {
    ItemVersion {
        instance_hash: subject_of(record.instance.as_str()),
        incarnation: record.incarnation,
        sequence: record.sequence,
    }
}

/// Version of a report.
pub fn report_version(report: &EndpointReport) -> ItemVersion {
    ItemVersion {
        instance_hash: subject_of(report.instance.as_str()),
        incarnation: report.incarnation,
        sequence: report.sequence,
    }
}

fn insert_new<T>(
    items: &mut BTreeMap<InstanceId, StoredItem<T>>,
    instance: InstanceId,
    item: T,
    arrival: Arrival,
) -> bool {
    let has_room = items.len() < MAX_ITEMS;
    if has_room {
        items.insert(instance, StoredItem::new(item, arrival));
    }
    has_room
}

impl GossipStore {
    /// Merges a record; true if it is newer than the known one.
    pub fn merge_record(
        &mut self,
        record: EntryRecord,
        source: Option<LinkId>,
        now: Timestamp,
    ) -> bool {
        let arrival = Arrival { change: self.changes + 1, source, now };
        let is_new = match self.records.get_mut(&record.instance) {
            Some(known) => known.merge(record, EntryRecord::is_newer_than, arrival),
            None => {
                let name = record.instance.clone();
                self.names.insert(subject_of(name.as_str()), name.clone());
                insert_new(&mut self.records, name, record, arrival)
            }
        };
        self.changes += u64::from(is_new);
        self.record_changes += u64::from(is_new);
        is_new
    }

    /// Merges a report; true if it is newer than the known one.
    pub fn merge_report(
        &mut self,
        report: EndpointReport,
        source: Option<LinkId>,
        now: Timestamp,
    ) -> bool {
        let arrival = Arrival { change: self.changes + 1, source, now };
        let is_new = match self.reports.get_mut(&report.instance) {
            Some(known) => known.merge(report, EndpointReport::is_newer_than, arrival),
            None => {
                let name = report.instance.clone();
                self.names.insert(subject_of(name.as_str()), name.clone());
                insert_new(&mut self.reports, name, report, arrival)
            }
        };
        self.changes += u64::from(is_new);
        is_new
    }

    /// Merges a load; true if it was measured more than `step_ms` after the known one.
    pub fn merge_load(
        &mut self,
        row: LoadRecord,
        step_ms: u64,
        source: Option<LinkId>,
        now: Timestamp,
    ) -> bool {
        let age_ms = u64::from(row.age_ms);
        let measured_at = Timestamp(now.0.saturating_sub(age_ms));
        let known = self.loads.get(&row.instance_hash);
        let is_later = known.is_none_or(|known| measured_at.0 > known.measured_at.0 + step_ms);
        let has_room = known.is_some() || self.loads.len() < 2 * MAX_ITEMS;
        let is_new = is_later && has_room && age_ms < MAX_LOAD_AGE_MS;
        if is_new {
            self.load_changes += 1;
            let change = self.load_changes;
            let known = KnownLoad { load: row.load, measured_at, change, source };
            self.loads.insert(row.instance_hash, known);
        }
        is_new
    }

    /// Load of a process, if it is recent.
    pub fn load_of(&self, instance: &InstanceId, now: Timestamp) -> Option<u32> {
        let known = self.loads.get(&subject_of(instance.as_str()))?;
        let age_ms = now.0.saturating_sub(known.measured_at.0);
        (age_ms < MAX_LOAD_AGE_MS).then_some(known.load)
    }

    /// Number of records and reports that are due on `link`.
    pub fn due_count(&self, cursor: LinkCursor, link: LinkId) -> usize {
        if cursor.state == self.changes {
            return 0;
        }
        let records = self.records.values().filter(|stored| stored.is_due(cursor, link));
        let reports = self.reports.values().filter(|stored| stored.is_due(cursor, link));
        records.count() + reports.count()
    }

    /// Records and reports to send over `link`; those of regions for which `is_eager` is false are
    /// offered instead.
    pub fn state_since(
        &self,
        cursor: LinkCursor,
        link: LinkId,
        is_eager: impl Fn(&RegionName) -> bool,
    ) -> DueState {
        let first = cursor.first.or(Some(self.changes));
        let mut due = DueState { cursor: LinkCursor { first, ..cursor }, ..DueState::default() };
        if cursor.state == self.changes {
            return due;
        }
        for stored in self.records.values().filter(|stored| stored.is_due(cursor, link)) {
            match is_eager(&stored.item.region) {
                true => due.records.push(stored.item.clone()),
                false => due.offers.push(record_version(&stored.item)),
            }
        }
        for stored in self.reports.values().filter(|stored| stored.is_due(cursor, link)) {
            match is_eager(&stored.item.region) {
                true => due.reports.push(stored.item.clone()),
                false => due.offers.push(report_version(&stored.item)),
            }
        }
        due.cursor.state = self.changes;
        due
    }

    /// Records and reports of the instances with these hashes.
    pub fn items(&self, hashes: &[u64]) -> (Vec<EntryRecord>, Vec<EndpointReport>) {
        let names = || hashes.iter().filter_map(|hash| self.names.get(hash));
        let records = names().filter_map(|name| self.record(name)).cloned().collect();
        let reports = names().filter_map(|name| self.report(name)).cloned().collect();
        (records, reports)
    }

    /// Whether the item that `link` offers is missing here or older.
    ///
    /// An equal item is not sent over that link any more.
    pub fn lacks(&mut self, offer: ItemVersion, link: LinkId) -> bool {
        let Some(name) = self.names.get(&offer.instance_hash) else {
            return true;
        };
        let offered = (offer.incarnation, offer.sequence);
        if let Some(known) = self.records.get_mut(name) {
            let version = record_version(&known.item);
            return known.compare((version.incarnation, version.sequence), offered, link);
        }
        if let Some(known) = self.reports.get_mut(name) {
            let version = report_version(&known.item);
            return known.compare((version.incarnation, version.sequence), offered, link);
        }
        true
    }

    /// Loads to send over `link`, and its cursor afterwards.
    ///
    /// If one message cannot hold them all, the oldest changes go first.
    pub fn loads_since(
        &self,
        cursor: LinkCursor,
        link: LinkId,
        now: Timestamp,
    ) -> (Vec<LoadRecord>, LinkCursor) {
        let is_due = |known: &KnownLoad| known.change > cursor.loads && known.source != Some(link);
        let mut due: Vec<_> = self.loads.iter().filter(|(_, known)| is_due(known)).collect();
        due.sort_unstable_by_key(|(_, known)| known.change);
        let is_truncated = due.len() > MAX_LOADS;
        due.truncate(MAX_LOADS);
        let last = due.last().map_or(cursor.loads, |(_, known)| known.change);
        let loads = if is_truncated { last } else { self.load_changes };
        let rows = due.into_iter().filter_map(|(subject, known)| {
            let age_ms = now.0.saturating_sub(known.measured_at.0);
            (age_ms < MAX_LOAD_AGE_MS).then_some(LoadRecord {
                instance_hash: *subject,
                load: known.load,
                age_ms: age_ms as u32,
            })
        });
        (rows.collect(), LinkCursor { loads, ..cursor })
    }

    /// Number of changes of records so far; zero while none is known.
    pub fn record_changes(&self) -> u64 {
        self.record_changes
    }

    /// Number of known records and reports.
    pub fn len(&self) -> usize {
        self.records.len() + self.reports.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All known records.
    pub fn records(&self) -> impl Iterator<Item = &EntryRecord> {
        self.records.values().map(|stored| &stored.item)
    }

    /// Record of one entry.
    pub fn record(&self, instance: &InstanceId) -> Option<&EntryRecord> {
        self.records.get(instance).map(|stored| &stored.item)
    }

    /// All known reports.
    pub fn reports(&self) -> impl Iterator<Item = &EndpointReport> {
        self.reports.values().map(|stored| &stored.item)
    }

    /// Report of one endpoint.
    pub fn report(&self, instance: &InstanceId) -> Option<&EndpointReport> {
        self.reports.get(instance).map(|stored| &stored.item)
    }

    /// Removes outdated loads, and old items of processes for which `is_present` is false.
    pub fn expire(&mut self, now: Timestamp, is_present: impl Fn(&InstanceId) -> bool) {
        let is_old = |received_at: Timestamp| now.since(received_at) > RETENTION_TIME;
        let records_before = self.records.len();
        self.records.retain(|name, stored| is_present(name) || !is_old(stored.received_at));
        self.record_changes += (records_before - self.records.len()) as u64;
        self.reports.retain(|name, stored| is_present(name) || !is_old(stored.received_at));
        self.loads.retain(|_, known| now.0.saturating_sub(known.measured_at.0) < MAX_LOAD_AGE_MS);
        for (name, stored) in &mut self.records {
            self.changes += u64::from(stored.set_present(is_present(name), self.changes + 1));
        }
        for (name, stored) in &mut self.reports {
            self.changes += u64::from(stored.set_present(is_present(name), self.changes + 1));
        }
        let (records, reports) = (&self.records, &self.reports);
        self.names.retain(|_, name| records.contains_key(name) || reports.contains_key(name));
    }
}
