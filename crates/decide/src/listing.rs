//! An entry's copy of the platform's list of endpoints.
//!
//! One entry reads the list and sends the changes to the others. The list carries the
//! heartbeats of all endpoints, so if each entry followed it separately, the entries
//! would make hundreds of calls a second. The entry with the first rank reads at a fixed
//! interval. The others read only when their copy is stale, each rank a step later than
//! the one before, so no coordination is needed when a reader fails.
//!
//! Positions belong to an era of the store. When it returns from an older copy, the rows of
//! the copy replace nothing that is known to be over, and endpoints that the copy lacks get
//! a grace period in which to register again.
//!
//! Rows also expire while the store is away and nobody can renew them; such endpoints get the
//! same grace period. Only a read that the store did not answer shows that it was away. The time
//! between two reads does not: the readers may have ended, or this process may have stood still,
//! and an endpoint whose row was removed meanwhile must not get requests for longer.

mod grace;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use cassiawheel_model::{
    Deadline, InstanceId, ListedEndpoint, ListedRow, ServiceName, StorePosition, Timestamp,
};

use self::grace::{GraceOffer, GracePeriods};

/// Interval between two reads of the entry with the first rank.
///
/// An endpoint must get no new requests two seconds after its row shows that it leaves; how these
/// are divided among the steps is listed in `docs/design/membership.md`.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Additional delay of the second rank; a slow read of a long list takes less.
const FIRST_RANK_STEP: Duration = Duration::from_millis(250);

/// Additional delay of each further rank; a few round trips between regions.
const RANK_STEP: Duration = Duration::from_millis(120);

/// Rank from which on the delay stays the same.
const MAX_RANK: u32 = 4;

/// Time within which another entry is expected to send a requested snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(250);

/// Changed rows of the list and the positions that they lead between.
#[derive(Debug, Clone, PartialEq)]
pub struct ListingUpdate {
    /// Changed rows; all rows if `base` is zero.
    pub rows: Vec<ListedRow>,
    /// Position of the list to which the rows apply.
    pub base: u64,
    /// Era of the store to which the base belongs.
    pub base_era: u64,
    /// Position of the list once the rows are applied.
    pub position: u64,
    /// When the read of the platform's list was sent.
    pub asked_at: Timestamp,
    /// Era of the store to which the positions belong.
    pub era: u64,
    /// Endpoints whose rows have vanished up to `position`, with the time until which they may
    /// return.
    pub missing: Vec<(InstanceId, Deadline)>,
}

/// An endpoint that has not returned in its grace period.
#[derive(Debug, Clone, PartialEq)]
pub struct ExpiredRow {
    /// Row that removes the endpoint.
    pub row: ListedRow,
    /// Whether the other entries have to be notified.
    pub is_own: bool,
}

/// Newest row of an endpoint.
#[derive(Debug, Clone)]
struct KnownRow {
    row: ListedRow,
    /// Era of the store to which the row's position belongs.
    era: u64,
    /// Position that orders the rows of an address; earlier than that of the row if an older copy of
    /// the store contains the same row.
    since: StorePosition,
}

impl KnownRow {
    fn position(&self) -> StorePosition {
        StorePosition { era: self.era, version: self.row.position }
    }

    /// Whether `row`, read in a later era, is older than this one.
    ///
    /// The store's copy may be older than the removal of a row or the start of a later process. An
    /// endpoint that is alive soon writes its row again, at a higher position.
    fn outdates_copy(&self, row: &ListedRow) -> bool {
        let Some(endpoint) = &self.row.endpoint else {
            return true;
        };
        row.endpoint.as_ref().is_some_and(|copy| copy.born_at < endpoint.born_at)
    }
}

/// An entry's copy of the list of endpoints.
#[derive(Debug, Clone)]
pub struct EndpointListing {
    rows: BTreeMap<InstanceId, KnownRow>,
    era: u64,
    position: u64,
    asked_at: Option<Timestamp>,
    /// Endpoints whose rows vanished during an outage or with an era.
    grace: GracePeriods,
    /// Longest time between two reads in which no row can have expired, in milliseconds.
    outage_ms: u64,
    /// Until when a requested snapshot is expected from another entry.
    snapshot_until: Deadline,
    /// Until when endpoints are cold, by their newest rows.
    cold_until: HashMap<InstanceId, Deadline>,
}

impl EndpointListing {
    /// Creates an empty list of endpoints that renew their rows every `heartbeat_ms`.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            rows: BTreeMap::new(),
            era: 0,
            position: 0,
            asked_at: None,
            grace: GracePeriods::default(),
            outage_ms: heartbeat_ms,
            snapshot_until: Deadline(0),
            cold_until: HashMap::new(),
        }
    }

    /// Returns the position of the list; zero while nothing is known.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the era of the store to which the position belongs.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns when the read that gave the current state was sent.
    pub fn asked_at(&self) -> Option<Timestamp> {
        self.asked_at
    }

    /// Returns the listed endpoints, with those that may still return.
    pub fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.listed().filter_map(|known| known.row.endpoint.as_ref())
    }

    /// Newest row of each instance; during a grace period the row before the removal.
    fn listed(&self) -> impl Iterator<Item = &KnownRow> {
        self.rows.iter().map(|(instance, known)| match &known.row.endpoint {
            Some(_) => known,
            None => self.grace.kept(instance).unwrap_or(known),
        })
    }

    /// Returns until when an endpoint is cold; `None` if it never was by its newest row.
    pub fn cold_until(&self, instance: &InstanceId) -> Option<Deadline> {
        self.cold_until.get(instance).copied()
    }

    /// Returns the newest endpoint at each address, of services for which `is_known` holds.
    ///
    /// After a power loss the rows of the former processes remain until these have missed
    /// three heartbeats, while the new processes register at the same addresses. A new
    /// process refuses requests for a former one, so half of all callers would be refused
    /// for seconds after the recovery. Two processes never share an address, so the older
    /// row belongs to a process that is gone.
    pub fn latest_per_addr(&self, is_known: impl Fn(&ServiceName) -> bool) -> Vec<&ListedEndpoint> {
        let mut newest: HashMap<SocketAddr, (StorePosition, &ListedEndpoint)> = HashMap::new();
        for known in self.listed() {
            let endpoint = known.row.endpoint.as_ref().filter(|e| is_known(&e.service));
            let Some(endpoint) = endpoint else {
                continue;
            };
            let latest = newest.entry(endpoint.addr).or_insert((known.since, endpoint));
            if known.since > latest.0 {
                *latest = (known.since, endpoint);
            }
        }
        let mut present: Vec<_> = newest.into_values().map(|(_, endpoint)| endpoint).collect();
        present.sort_unstable_by(|one, other| one.instance.cmp(&other.instance));
        present
    }

    /// Returns the newest endpoint of `service` at `addr`.
    pub fn latest_at(&self, service: &ServiceName, addr: SocketAddr) -> Option<&ListedEndpoint> {
        let rows = self.listed();
        let rows = rows.filter_map(|known| Some((known.since, known.row.endpoint.as_ref()?)));
        let candidates = rows.filter(|(_, e)| e.addr == addr && e.service == *service);
        candidates.max_by_key(|(position, _)| *position).map(|(_, endpoint)| endpoint)
    }

    /// Returns when the entry of this rank has to read the list next.
    pub fn next_read_at(&self, rank: u32) -> Deadline {
        let Some(asked_at) = self.asked_at else {
            return Deadline(0);
        };
        let delay = match rank.min(MAX_RANK) {
            0 => Duration::ZERO,
            rank => FIRST_RANK_STEP + RANK_STEP * (rank - 1),
        };
        asked_at.deadline_after(READ_INTERVAL + delay)
    }

    /// Returns the whole list, for an entry that lacks the base of an update.
    pub fn snapshot(&self) -> Option<ListingUpdate> {
        let era = self.era;
        // Positions of an earlier era would be taken for those of this one.
        let position = |known: &KnownRow| if known.era < era { 0 } else { known.row.position };
        let row = |known: &KnownRow| ListedRow { position: position(known), ..known.row.clone() };
        Some(ListingUpdate {
            rows: self.listed().map(row).collect(),
            base: 0,
            base_era: era,
            position: self.position,
            asked_at: self.asked_at?,
            era,
            missing: self.grace.deadlines().map(|(name, until)| (name.clone(), until)).collect(),
        })
    }

    /// Returns whether to request a snapshot from another entry now, and if so records it.
    ///
    /// Only one request is outstanding at a time. After a power loss an entry connects to
    /// all others within milliseconds and lags behind each of them. When all of them
    /// got a request, 45 entries sent each other 46 MB of lists in half a second. Traffic between
    /// regions was delayed by seconds, and requests went to endpoints that had left. If
    /// the answer is lost, the next update triggers another request, or a read replaces it.
    pub fn begin_snapshot_request(&mut self, now: Timestamp) -> bool {
        let may_request = self.snapshot_until.is_past(now);
        if may_request {
            self.snapshot_until = now.deadline_after(SNAPSHOT_TIMEOUT);
        }
        may_request
    }

    /// Records a read that the store did not answer while this process ran.
    pub fn record_unanswered(&mut self, asked_at: Timestamp) {
        self.grace.record_unanswered(asked_at);
    }

    /// Applies a read of the platform's list; returns the update for the other entries.
    ///
    /// Rows that only repeat what was known at the base are left out of the update. Another entry may
    /// know its base only, so a row that this entry has learned of since is sent.
    ///
    /// The read is of the current era, or all rows of a later one. The update of a new era is based
    /// on the last position of the one before: most rows are the same, and sending all of them to
    /// every entry would fill the links between regions.
    pub fn apply_read(&mut self, mut update: ListingUpdate, now: Timestamp) -> ListingUpdate {
        let before = StorePosition { era: self.era, version: self.position };
        let is_new_era = update.era > self.era;
        let after_outage = is_new_era || self.follows_outage(update.asked_at);
        if is_new_era {
            self.begin_era(update.era, update.asked_at);
        }
        if !is_new_era && update.position < self.position {
            // Another entry has told of a later read meanwhile.
            self.advance(&update);
            return update;
        }
        if update.base == 0 {
            let vanished = self.vanished(&update);
            update.rows.extend(vanished);
        }
        let is_rebased = is_new_era && before.version > 0;
        let base = match is_rebased {
            true => Some(before),
            false => (update.base > 0).then_some(StorePosition { version: update.base, ..before }),
        };
        let changes = base.map(|base| self.changes_since(base, &update.rows));
        let until = after_outage.then(|| self.grace.end(is_new_era, now));
        let grace = until.filter(|until| !until.is_past(now));
        let grace = grace.map(|until| GraceOffer { until, is_own: true });
        self.take_rows(&update.rows, update.asked_at, grace);
        self.settle_rows(update.position);
        self.advance(&update);
        update.rows = changes.unwrap_or(update.rows);
        if is_rebased {
            (update.base_era, update.base) = (before.era, before.version);
        } else {
            update.missing = self.missing_among(&update.rows);
            let missing: HashSet<_> = update.missing.iter().map(|(name, _)| name).collect();
            update.rows.retain(|row| !has_vanished(row) || !missing.contains(&row.instance));
        }
        update
    }

    /// Returns the rows that do not only repeat what was known at `base`.
    ///
    /// A row that follows a change of the same endpoint undoes the change.
    fn changes_since(&self, base: StorePosition, rows: &[ListedRow]) -> Vec<ListedRow> {
        let mut changed = HashSet::new();
        let is_change = |row: &&ListedRow| {
            let known = self.rows.get(&row.instance).filter(|known| known.position() <= base);
            let known = known.and_then(|known| known.row.endpoint.as_ref());
            let is_repeated = row.endpoint.is_some() && known == row.endpoint.as_ref();
            let is_change = !is_repeated || changed.contains(&row.instance);
            if is_change {
                changed.insert(row.instance.clone());
            }
            is_change
        };
        rows.iter().filter(is_change).cloned().collect()
    }

    /// Endpoints in their grace periods whose rows were removed by `rows`.
    fn missing_among(&self, rows: &[ListedRow]) -> Vec<(InstanceId, Deadline)> {
        let vanished = rows.iter().filter(|row| has_vanished(row)).map(|row| &row.instance);
        let vanished: BTreeSet<_> = vanished.collect();
        let until = |instance: &InstanceId| Some((instance.clone(), self.grace.until(instance)?));
        vanished.into_iter().filter_map(until).collect()
    }

    /// Applies the update of another entry; returns false if its base is not known here.
    ///
    /// An update of an earlier era is ignored: its sender learns of the later one soon.
    pub fn apply_update(&mut self, update: &ListingUpdate) -> bool {
        let is_new_era = update.era > self.era;
        // The rows of a new era are compared with what the sender knew at the base.
        let is_base_known = match update.base {
            0 => true,
            base if is_new_era => update.base_era == self.era && base == self.position,
            base => update.base_era == self.era && base <= self.position,
        };
        // The sender may have no evidence of an outage that this entry has observed.
        let after_outage = is_new_era || self.follows_outage(update.asked_at);
        if update.era < self.era {
            return true;
        }
        if !is_base_known {
            return false;
        }
        if is_new_era {
            self.begin_era(update.era, update.asked_at);
        } else if update.position < self.position {
            // All of it is known already, or has been overtaken.
            self.advance(update);
            return true;
        }
        let until = after_outage.then(|| self.grace.end(is_new_era, update.asked_at));
        let grace = until.filter(|until| !until.is_past(update.asked_at));
        let grace = grace.map(|until| GraceOffer { until, is_own: false });
        let was_answered = !is_new_era && self.was_answered_before(update.asked_at);
        let is_whole = update.base == 0;
        let vanished = match is_whole && (after_outage || update.position > self.position) {
            true => self.vanished(update),
            false => Vec::new(),
        };
        if is_whole {
            self.rebase_rows();
        }
        // A whole list of a new era has been compared with what its sender knew.
        let rows_grace = grace.filter(|_| !(is_whole && is_new_era));
        self.take_rows(&update.rows, update.asked_at, rows_grace);
        self.take_rows(&vanished, update.asked_at, grace);
        self.take_missing(update, grace, was_answered);
        self.settle_rows(update.position);
        self.advance(update);
        true
    }

    /// Takes the removal of endpoints that the sender keeps for their grace periods.
    ///
    /// They are absent at the position of the update, so that no older row restores them. If the store
    /// answered others while it did not answer the sender, they have been removed and not expired.
    fn take_missing(
        &mut self,
        update: &ListingUpdate,
        own: Option<GraceOffer>,
        was_answered: bool,
    ) {
        for (instance, until) in &update.missing {
            // A sender that stood still may have shortened the time.
            let until = own.map_or(*until, |own| own.until.max(*until));
            let row = ListedRow {
                instance: instance.clone(),
                position: update.position,
                endpoint: None,
                is_unusable: false,
            };
            let grace = (!was_answered).then_some(GraceOffer { until, is_own: false });
            self.take_rows(std::slice::from_ref(&row), update.asked_at, grace);
        }
    }

    /// Begins an era, in which every position is newer than all before.
    ///
    /// Endpoints that were missing before may return to this era as well.
    fn begin_era(&mut self, era: u64, asked_at: Timestamp) {
        self.grace.extend(self.grace.end(true, asked_at));
        self.era = era;
        self.position = 0;
    }

    /// Makes rows of earlier eras older than every row of this one.
    ///
    /// The sender of a whole list has already compared the store's copy with what it knew. Rows that
    /// it has restored since are not sent again, so they must not be taken for those of the copy.
    fn rebase_rows(&mut self) {
        for known in self.rows.values_mut().filter(|known| known.era < self.era) {
            known.era = self.era;
            known.row.position = 0;
        }
    }

    /// Moves rows of earlier eras that still hold at `position` of this one to that position.
    fn settle_rows(&mut self, position: u64) {
        for known in self.rows.values_mut().filter(|known| known.era < self.era) {
            known.era = self.era;
            known.row.position = position;
        }
    }

    /// Whether rows can have expired since the last read because the store was away.
    fn follows_outage(&self, asked_at: Timestamp) -> bool {
        let was_away = self.asked_at.is_some_and(|last| self.grace.was_away_since(last));
        was_away && !self.was_answered_before(asked_at)
    }

    /// Whether a read was answered so shortly before `asked_at` that no row can have expired since.
    fn was_answered_before(&self, asked_at: Timestamp) -> bool {
        let since = self.asked_at.map(|last| asked_at.since(last).as_millis() as u64);
        since.is_some_and(|since_ms| since_ms <= self.outage_ms)
    }

    /// Removes endpoints whose grace period has ended.
    pub fn expire_missing(&mut self, now: Timestamp) -> Vec<ExpiredRow> {
        let mut removed = Vec::new();
        for (instance, is_own) in self.grace.take_expired(now) {
            self.cold_until.remove(&instance);
            let row =
                ListedRow { instance, position: self.position, endpoint: None, is_unusable: false };
            self.take_rows(std::slice::from_ref(&row), now, None);
            removed.push(ExpiredRow { row, is_own });
        }
        removed
    }

    /// Returns when the next grace period ends, if there is one.
    pub fn next_expiry_at(&self) -> Option<Deadline> {
        self.grace.first_end()
    }

    /// Returns the endpoints whose rows vanished during an outage or with an era.
    pub fn in_grace(&self) -> Vec<InstanceId> {
        self.grace.deadlines().map(|(instance, _)| instance.clone()).collect()
    }

    /// Removes an endpoint whose address is now used by another process.
    pub fn forget(&mut self, instance: &InstanceId) -> bool {
        let was_kept = self.grace.remove(instance);
        let known = self.rows.get_mut(instance);
        known.is_some_and(|known| known.row.endpoint.take().is_some()) || was_kept
    }

    fn vanished(&self, update: &ListingUpdate) -> Vec<ListedRow> {
        let listed: HashSet<_> = update.rows.iter().map(|row| &row.instance).collect();
        let known = self.rows.values().map(|known| &known.row);
        known
            .filter(|row| row.endpoint.is_some() && !listed.contains(&row.instance))
            .map(|row| ListedRow {
                instance: row.instance.clone(),
                position: update.position,
                endpoint: None,
                is_unusable: false,
            })
            .collect()
    }

    /// Takes the rows that are newer than the known ones.
    ///
    /// An endpoint whose row is removed stays listed for the grace period, if there is one. The
    /// removal is the newest row all the same, so that nothing older restores the endpoint.
    fn take_rows(&mut self, rows: &[ListedRow], asked_at: Timestamp, grace: Option<GraceOffer>) {
        let era = self.era;
        for row in rows {
            if let Some(known) = self.rows.get_mut(&row.instance) {
                if known.era < era && known.outdates_copy(row) {
                    known.era = era;
                    known.row.position = row.position;
                    continue;
                }
                // Its order relative to other rows of the earlier era still holds.
                let is_carried = known.since.era < era
                    && row.endpoint.is_some()
                    && known.row.endpoint == row.endpoint;
                if is_carried && known.position() < (StorePosition { era, version: row.position }) {
                    known.era = era;
                    known.row.position = row.position;
                    continue;
                }
                // Repeating a row does not restore an endpoint removed by `forget`.
                let is_repeated =
                    known.row.position == row.position && known.row.endpoint.is_none();
                if known.era == era && (known.row.position > row.position || is_repeated) {
                    continue;
                }
            }
            let since = StorePosition { era, version: row.position };
            let newest = KnownRow { row: row.clone(), era, since };
            let known = self.rows.insert(row.instance.clone(), newest);
            if !has_vanished(row) {
                self.grace.remove(&row.instance);
            } else if let Some(kept) = known.clone().filter(|known| known.row.endpoint.is_some())
                && let Some(offer) = grace
            {
                self.grace.begin(&row.instance, offer, kept);
            }
            // A copy of a known row may come from a later read; the time since the row was written
            // is what counts.
            let is_newer = known.is_none_or(|known| known.position() < since);
            if is_newer && !self.grace.contains(&row.instance) {
                self.update_cold(row, asked_at);
            }
        }
    }

    fn update_cold(&mut self, row: &ListedRow, asked_at: Timestamp) {
        match row.endpoint.as_ref().map(|endpoint| endpoint.cold_ms) {
            None | Some(0) => {
                self.cold_until.remove(&row.instance);
            }
            Some(cold_ms) => {
                let until = asked_at.deadline_after(Duration::from_millis(cold_ms));
                self.cold_until.insert(row.instance.clone(), until);
            }
        }
    }

    fn advance(&mut self, update: &ListingUpdate) {
        self.position = self.position.max(update.position);
        self.asked_at = self.asked_at.max(Some(update.asked_at));
    }
}

/// Whether the row was removed; an unusable row has been written, so it has not expired.
fn has_vanished(row: &ListedRow) -> bool {
    row.endpoint.is_none() && !row.is_unusable
}
