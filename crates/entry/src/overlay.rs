//! Overlay network of entries: its links and the state received over them.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, atomic::AtomicBool},
    time::Duration,
};

use cassiawheel_decide::{
    CrashTracker, EntryLocation, FloodFilter, GossipStore, ItemRequests, LinkCursor, LinkId,
    reachable_entries, same_region_or_all,
};
use cassiawheel_model::{Deadline, EntryRecord, InstanceId, RegionName, Timestamp};
use cassiawheel_wire::{ControlMessage, WireSender, message::FloodMessage};
use smol::channel::{Receiver, Sender, bounded};

/// Time for which an unreachable entry is not chosen for links.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// Minimum interval between two warnings that the queue of a link is full.
const WARN_INTERVAL: Duration = Duration::from_secs(5);

/// Pause after the derivation of membership and routes, for each known process.
const DERIVE_PAUSE: Duration = Duration::from_micros(150);

/// Overlay of links between entries.
pub(crate) struct Overlay {
    state: Mutex<OverlayState>,
    /// Whether records have arrived from which membership was not derived yet.
    pub(crate) membership_stale: AtomicBool,
    /// Whether reports have arrived from which routes were not derived yet.
    pub(crate) routes_stale: AtomicBool,
    /// When stale state may be derived again.
    derive_at: Mutex<Deadline>,
    changed: (Sender<()>, Receiver<()>),
}

/// State of the overlay, guarded by its lock.
#[derive(Default)]
pub(crate) struct OverlayState {
    /// Entry records, endpoint reports and loads.
    pub(crate) store: GossipStore,
    /// Reachable entries, with the number of record changes that they were derived from.
    reachable: RefCell<(u64, BTreeSet<InstanceId>)>,
    /// Offered items that this entry lacks.
    pub(crate) item_requests: ItemRequests,
    /// Requests during which endpoints have crashed.
    pub(crate) crashes: CrashTracker,
    /// Open links.
    pub(crate) links: Vec<OverlayLink>,
    /// Addresses at which entries may run, with their regions where known.
    known: BTreeMap<SocketAddr, Option<RegionName>>,
    /// Unreachable entries, with the time until which they are not chosen.
    avoided: HashMap<SocketAddr, Deadline>,
    /// When this entry's record was last published.
    pub(crate) renewed_at: Option<Timestamp>,
    seen_floods: FloodFilter,
    flood_number: u64,
    link_number: LinkId,
}

/// A link to another entry.
pub(crate) struct OverlayLink {
    /// Identifies the link within this process.
    pub(crate) number: LinkId,
    /// Sender of messages to the other end.
    pub(crate) sender: WireSender,
    /// Entry at the other end.
    pub(crate) instance: InstanceId,
    /// Address that was dialled, if this end opened the link.
    pub(crate) dialled: Option<SocketAddr>,
    /// Position up to which state was sent to the other end.
    pub(crate) cursor: LinkCursor,
    /// When the next message with loads is due.
    pub(crate) loads_at: Deadline,
    /// Change number up to which crash rows were sent to the other end.
    pub(crate) crash_cursor: u64,
    /// Change number up to which rate limits were sent to the other end.
    pub(crate) limit_cursor: u64,
    /// Instances whose items the other end has requested.
    pub(crate) requested: Vec<u64>,
    /// Change number up to which evacuations were sent to the other end.
    pub(crate) evacuation_cursor: u64,
    /// Change number up to which departures were sent to the other end.
    pub(crate) departure_cursor: u64,
    /// Change number up to which demands were sent to the other end.
    pub(crate) demand_cursor: u64,
    /// When it may be logged again that the queue is full.
    warn_at: Deadline,
}

impl Default for Overlay {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            membership_stale: AtomicBool::new(false),
            routes_stale: AtomicBool::new(false),
            derive_at: Mutex::new(Deadline(0)),
            changed: bounded(1),
        }
    }
}

impl Overlay {
    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, OverlayState> {
        self.state.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Wakes the task that sends changes to the neighbours.
    pub(crate) fn notify_change(&self) {
        let _ = self.changed.0.try_send(());
    }

    /// Returns a channel with the same effect as [`Self::notify_change`].
    pub(crate) fn waker(&self) -> Sender<()> {
        self.changed.0.clone()
    }

    /// Completes after the next [`Self::notify_change`].
    pub(crate) async fn changed(&self) {
        let _ = self.changed.1.recv().await;
    }

    /// Starts the derivation of stale state; false if it was derived too recently.
    ///
    /// Deriving it reads the state of all processes, and while many start together almost every
    /// message changes some of it. The pause limits the part of the time that this takes, whatever
    /// the number of processes.
    pub(crate) fn begin_derivation(&self, now: Timestamp) -> bool {
        let processes = self.lock().store.len() as u32;
        let mut derive_at = self.derive_at.lock().unwrap_or_else(|poison| poison.into_inner());
        let is_due = derive_at.is_past(now);
        if is_due {
            *derive_at = now.deadline_after(DERIVE_PAUSE * processes);
        }
        is_due
    }

    /// Sends `content` to every entry by flooding.
    pub(crate) fn flood(&self, origin: &InstanceId, incarnation: u64, content: ControlMessage) {
        let mut state = self.lock();
        state.flood_number += 1;
        let number = state.flood_number;
        state.seen_floods.insert(origin, incarnation, number);
        let message = FloodMessage { origin: origin.clone(), incarnation, number, content };
        state.send_flood(&message, None);
    }

    /// Sends `message` to every neighbour other than `source`.
    ///
    /// For messages that each receiver forwards itself if they are new to it.
    pub(crate) fn send_to_neighbours(&self, message: &ControlMessage, source: Option<&WireSender>) {
        let is_source = |sender: &WireSender| source.is_some_and(|source| source.is_same(sender));
        self.lock().send_to_links(message, |link| !is_source(&link.sender));
    }

    /// Forwards a flooded message; false if it was seen before.
    pub(crate) fn forward_flood(&self, message: &FloodMessage, source: LinkId) -> bool {
        let mut state = self.lock();
        let is_new = state.seen_floods.insert(&message.origin, message.incarnation, message.number);
        if is_new {
            state.send_flood(message, Some(source));
        }
        is_new
    }
}

impl OverlayState {
    fn send_flood(&mut self, message: &FloodMessage, source: Option<LinkId>) {
        let message = ControlMessage::Flood(Box::new(message.clone()));
        self.send_to_links(&message, |link| Some(link.number) != source);
    }

    /// Sends `message` over the links that `is_receiver` selects.
    fn send_to_links(
        &mut self,
        message: &ControlMessage,
        is_receiver: impl Fn(&OverlayLink) -> bool,
    ) {
        let now = Timestamp::now();
        for link in self.links.iter_mut().filter(|link| is_receiver(link)) {
            let is_full = matches!(link.sender.try_send(message.clone()), Ok(false));
            if is_full && link.warn_at.is_past(now) {
                link.warn_at = now.deadline_after(WARN_INTERVAL);
                log::warn!(target: "overlay", entry:% = link.instance, kind = message.kind(); "The queue of a link is full.");
            }
        }
    }

    /// Whether the entry at the other end of a link is in another region than `own`.
    pub(crate) fn is_in_other_region(&self, number: LinkId, own: &RegionName) -> bool {
        let link = self.links.iter().find(|link| link.number == number);
        link.is_some_and(|link| is_in_other_region(&self.store, &link.instance, own))
    }

    /// Adds a link and returns its number.
    pub(crate) fn add_link(
        &mut self,
        sender: WireSender,
        instance: InstanceId,
        dialled: Option<SocketAddr>,
    ) -> LinkId {
        self.link_number += 1;
        let number = self.link_number;
        let (cursor, loads_at) = (LinkCursor::default(), Deadline(0));
        let (crash_cursor, limit_cursor, evacuation_cursor, departure_cursor) = (0, 0, 0, 0);
        let link = OverlayLink {
            number,
            sender,
            instance,
            dialled,
            cursor,
            loads_at,
            crash_cursor,
            limit_cursor,
            requested: Vec::new(),
            evacuation_cursor,
            departure_cursor,
            demand_cursor: 0,
            warn_at: Deadline(0),
        };
        self.links.push(link);
        number
    }

    /// Removes a link that has ended.
    pub(crate) fn remove_link(&mut self, number: LinkId) {
        self.links.retain(|link| link.number != number);
        self.item_requests.remove_link(number);
    }

    /// Returns the entries at the other ends of the links, sorted by name.
    pub(crate) fn neighbours(&self) -> Vec<InstanceId> {
        let names: BTreeSet<_> = self.links.iter().map(|link| link.instance.clone()).collect();
        names.into_iter().collect()
    }

    /// Whether a link to the entry at `addr` is open, whichever end opened it.
    pub(crate) fn is_linked(&self, addr: SocketAddr) -> bool {
        self.links.iter().any(|link| {
            let inner_addr = || self.store.record(&link.instance).map(|record| record.inner_addr);
            link.dialled == Some(addr) || inner_addr() == Some(addr)
        })
    }

    /// Adds the addresses of entries, with their regions where known.
    pub(crate) fn add_known_entries(
        &mut self,
        places: impl Iterator<Item = (SocketAddr, Option<RegionName>)>,
    ) {
        for (addr, region) in places {
            let known = self.known.entry(addr).or_default();
            *known = region.or(known.take());
        }
    }

    /// Excludes an unreachable entry from the choice of links for a while.
    pub(crate) fn avoid(&mut self, addr: SocketAddr, now: Timestamp) {
        self.avoided.insert(addr, now.deadline_after(AVOID_TIME));
    }

    /// Returns the addresses whose region is unknown, such as those from the settings.
    pub(crate) fn without_region(&self) -> Vec<SocketAddr> {
        let without_region = self.known.iter().filter(|(_, region)| region.is_none());
        without_region.map(|(addr, _)| *addr).collect()
    }

    /// Returns the entries that links may be opened to.
    pub(crate) fn candidates(&self, own: &InstanceId, now: Timestamp) -> Vec<EntryLocation> {
        let present = self.present(own);
        let reachable: HashMap<_, _> =
            present.iter().map(|record| (record.inner_addr, record)).collect();
        let is_avoided =
            |addr: &SocketAddr| self.avoided.get(addr).is_some_and(|until| !until.is_past(now));
        let placed = self.known.iter().filter_map(|(addr, region)| Some((*addr, region.clone()?)));
        let placed = placed.filter(|(addr, _)| !reachable.contains_key(addr) && !is_avoided(addr));
        let reachable = present.iter().filter(|record| !record.leaving);
        let reachable = reachable.map(|record| (record.inner_addr, record.region.clone()));
        let places = reachable.chain(placed);
        places.map(|(inner_addr, region)| EntryLocation { inner_addr, region }).collect()
    }

    /// Returns the records of the entries that are reachable through the overlay.
    pub(crate) fn present(&self, own: &InstanceId) -> Vec<&EntryRecord> {
        let mut derived = self.reachable.borrow_mut();
        let changes = self.store.record_changes();
        if derived.0 != changes {
            let reachable = reachable_entries(own, self.store.records());
            *derived = (changes, reachable.into_iter().cloned().collect());
        }
        let reachable = &derived.1;
        self.store.records().filter(|record| reachable.contains(&record.instance)).collect()
    }

    /// Drops the state of processes that are no longer reachable.
    pub(crate) fn expire(&mut self, own: &InstanceId, now: Timestamp) {
        let present = self.present(own);
        let names: HashSet<InstanceId> = present
            .iter()
            .flat_map(|record| record.agents.iter().chain([&record.instance]))
            .cloned()
            .collect();
        self.store.expire(now, |instance| names.contains(instance));
        let store = &self.store;
        self.seen_floods.keep_only(|origin| store.record(origin).is_some());
        self.avoided.retain(|_, until| !until.is_past(now));
    }
}

/// Whether the entry `instance` is known to be in another region than `own`.
pub(crate) fn is_in_other_region(
    store: &GossipStore,
    instance: &InstanceId,
    own: &RegionName,
) -> bool {
    store.record(instance).is_some_and(|record| record.region != *own)
}

/// Returns the inner addresses that an agent in `region` may connect to.
///
/// These are the entries in its region, or all entries if the region has none.
pub(crate) fn entry_addrs_for(present: &[&EntryRecord], region: &RegionName) -> Vec<SocketAddr> {
    let remaining = present.iter().filter(|record| !record.leaving);
    same_region_or_all(region, remaining.map(|record| (record.inner_addr, Some(&record.region))))
}
