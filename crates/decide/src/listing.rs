//! The platform's list of endpoints as one entry knows it.
//!
//! Entries read the list in turns and tell each other what changed: the list
//! carries every endpoint's heartbeats, and each entry that followed it alone
//! would make hundreds of calls a second. Whoever has the first rank reads at
//! a steady pace; the others read only when that word grows old, each a step
//! later than the one before, so that no agreement is needed when a reader dies.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use cassiawheel_model::{Deadline, InstanceId, ListedEndpoint, ListedRow, ServiceName, Timestamp};

/// Time between two reads of the entry that ranks first.
///
/// A leaving endpoint must get nothing new two seconds after its row tells; a
/// quarter of that leaves time for a reader that dies.
const READ_TIME: Duration = Duration::from_millis(500);

/// Time by which each further rank reads later; some round trips between regions.
const RANK_STEP: Duration = Duration::from_millis(250);

/// Ranks beyond this one wait no longer.
const LAST_RANK: u32 = 5;

/// Time for which rows that vanished during an outage of the list may come back.
///
/// While the platform's store is away endpoints cannot renew their rows, and
/// those lapse although the endpoints live. The platform states two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Time in which another entry is expected to send the whole list.
const WHOLE_TIME: Duration = Duration::from_millis(250);

/// Rows of a list, and where it stands.
#[derive(Debug, Clone, PartialEq)]
pub struct ListingUpdate {
    /// Rows that changed; all rows if `base` is zero.
    pub rows: Vec<ListedRow>,
    /// Whoever knows the list up to here knows it up to `position` with these rows.
    pub base: u64,
    /// Where the list stands with them.
    pub position: u64,
    /// When the platform was asked.
    pub asked_at: Timestamp,
}

/// The list as one entry knows it.
#[derive(Debug, Clone)]
pub struct EndpointListing {
    rows: BTreeMap<InstanceId, ListedRow>,
    position: u64,
    asked_at: Option<Timestamp>,
    /// Endpoints whose rows vanished during an outage, and until when they may come back.
    doubted: HashMap<InstanceId, Deadline>,
    /// Longest time between two reads in which no row can have lapsed.
    outage_ms: u64,
    /// Until when another entry is expected to send the whole list.
    whole_until: Deadline,
}

impl EndpointListing {
    /// An empty list of endpoints that renew their rows every `heartbeat_ms`.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            rows: BTreeMap::new(),
            position: 0,
            asked_at: None,
            doubted: HashMap::new(),
            outage_ms: heartbeat_ms,
            whole_until: Deadline(0),
        }
    }

    /// Where the list stands; zero while nothing is known.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// When the platform was asked for what is known here.
    pub fn asked_at(&self) -> Option<Timestamp> {
        self.asked_at
    }

    /// The endpoints that are listed.
    pub fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.rows.values().filter_map(|row| row.endpoint.as_ref())
    }

    /// The newest endpoint at each address, of the services that `is_known` names.
    ///
    /// When instances lose power, the rows of their former processes stay until
    /// these have been silent for three heartbeats, and the new ones register at
    /// the same addresses. Requests for a former one are refused there; one would
    /// notice that half of all callers are refused for seconds after everything
    /// is back. Two processes never share an address, so the older row is of one
    /// that is gone.
    pub fn latest_per_addr(&self, is_known: impl Fn(&ServiceName) -> bool) -> Vec<&ListedEndpoint> {
        let mut newest: HashMap<SocketAddr, (u64, &ListedEndpoint)> = HashMap::new();
        for row in self.rows.values() {
            let Some(endpoint) = row.endpoint.as_ref().filter(|e| is_known(&e.service)) else {
                continue;
            };
            let place = newest.entry(endpoint.addr).or_insert((row.position, endpoint));
            if row.position > place.0 {
                *place = (row.position, endpoint);
            }
        }
        let mut present: Vec<_> = newest.into_values().map(|(_, endpoint)| endpoint).collect();
        present.sort_unstable_by(|one, other| one.instance.cmp(&other.instance));
        present
    }

    /// The newest endpoint of `service` at `addr`.
    pub fn latest_at(&self, service: &ServiceName, addr: SocketAddr) -> Option<&ListedEndpoint> {
        let rows =
            self.rows.values().filter_map(|row| Some((row.position, row.endpoint.as_ref()?)));
        let there = rows.filter(|(_, e)| e.addr == addr && e.service == *service);
        there.max_by_key(|(position, _)| *position).map(|(_, endpoint)| endpoint)
    }

    /// When to read the list as the entry of this rank.
    pub fn next_read_at(&self, rank: u32) -> Deadline {
        let Some(asked_at) = self.asked_at else {
            return Deadline(0);
        };
        asked_at.deadline_after(READ_TIME + RANK_STEP * rank.min(LAST_RANK))
    }

    /// All that is known here, for an entry that knows too little.
    pub fn snapshot(&self) -> Option<ListingUpdate> {
        let rows = self.rows.values().cloned().collect();
        let asked_at = self.asked_at?;
        Some(ListingUpdate { rows, base: 0, position: self.position, asked_at })
    }

    /// Whether to ask another entry for the whole list now: no answer is expected.
    ///
    /// After a loss of power an entry meets all others within milliseconds and
    /// knows less than each of them. Asked of everybody, 45 entries sent each other
    /// 46 MB of lists in half a second, and whatever crossed regions was seconds
    /// late: one would notice requests to endpoints that had left. An answer that
    /// does not come is made up for by the next word of the list, or by a read.
    pub fn begin_snapshot_request(&mut self, now: Timestamp) -> bool {
        let may_ask = self.whole_until.is_past(now);
        if may_ask {
            self.whole_until = now.deadline_after(WHOLE_TIME);
        }
        may_ask
    }

    /// Takes in what the platform told this entry; what the other entries have to know.
    pub fn apply_read(&mut self, mut news: ListingUpdate, now: Timestamp) -> ListingUpdate {
        let after_outage = self.asked_at.is_some_and(|asked_at| {
            news.asked_at.since(asked_at).as_millis() as u64 > self.outage_ms
        });
        if news.base == 0 {
            let vanished = self.vanished(&news);
            news.rows.extend(vanished);
        }
        if after_outage {
            self.doubt_removals(&news.rows, now);
        }
        let doubted = &self.doubted;
        news.rows.retain(|row| row.endpoint.is_some() || !doubted.contains_key(&row.instance));
        self.take_rows(&news.rows);
        self.advance(&news);
        news
    }

    /// Takes in what another entry tells; false if this one knows too little for it.
    pub fn apply_update(&mut self, news: &ListingUpdate) -> bool {
        if news.base > self.position {
            return false;
        }
        if news.base == 0 && news.position > self.position {
            // The teller knows the whole list, and this one's older rows
            // without a successor were removed since.
            let kept: Vec<_> = news.rows.iter().map(|row| &row.instance).collect();
            let position = news.position;
            self.rows.retain(|instance, row| row.position > position || kept.contains(&instance));
        }
        self.take_rows(&news.rows);
        self.advance(news);
        true
    }

    /// Removes the endpoints that did not come back in time; what the others have to know.
    pub fn expire_missing(&mut self, now: Timestamp) -> Vec<ListedRow> {
        let over: Vec<_> = self
            .doubted
            .iter()
            .filter(|(_, until)| until.is_past(now))
            .map(|(instance, _)| instance.clone())
            .collect();
        let mut removed = Vec::new();
        for instance in over {
            self.doubted.remove(&instance);
            let row =
                ListedRow { instance, position: self.position, endpoint: None, is_unusable: false };
            self.take_rows(std::slice::from_ref(&row));
            removed.push(row);
        }
        removed
    }

    /// Forgets an endpoint whose address answers for another process.
    pub fn forget(&mut self, instance: &InstanceId) -> bool {
        self.doubted.remove(instance);
        match self.rows.get_mut(instance) {
            Some(row) => row.endpoint.take().is_some(),
            None => false,
        }
    }

    fn vanished(&self, news: &ListingUpdate) -> Vec<ListedRow> {
        let known = self.rows.values().filter(|row| row.endpoint.is_some());
        let listed = |row: &ListedRow| news.rows.iter().any(|new| new.instance == row.instance);
        known
            .filter(|row| !listed(row))
            .map(|row| ListedRow {
                instance: row.instance.clone(),
                position: news.position,
                endpoint: None,
                is_unusable: false,
            })
            .collect()
    }

    fn doubt_removals(&mut self, rows: &[ListedRow], now: Timestamp) {
        let until = now.deadline_after(RETURN_TIME);
        // An unusable row has not lapsed: somebody wrote it.
        for row in rows.iter().filter(|row| row.endpoint.is_none() && !row.is_unusable) {
            let is_known =
                self.rows.get(&row.instance).is_some_and(|known| known.endpoint.is_some());
            if is_known {
                self.doubted.entry(row.instance.clone()).or_insert(until);
            }
        }
    }

    fn take_rows(&mut self, rows: &[ListedRow]) {
        for row in rows {
            let is_old = self.rows.get(&row.instance).is_some_and(|known| {
                // The same row again does not bring back what was forgotten.
                let is_repeated = known.position == row.position && known.endpoint.is_none();
                known.position > row.position || is_repeated
            });
            if is_old {
                continue;
            }
            if row.endpoint.is_some() || row.is_unusable {
                self.doubted.remove(&row.instance);
            }
            self.rows.insert(row.instance.clone(), row.clone());
        }
    }

    fn advance(&mut self, news: &ListingUpdate) {
        self.position = self.position.max(news.position);
        self.asked_at = self.asked_at.max(Some(news.asked_at));
    }
}
