//! Overlay links to other entries: which links are kept, and the messages sent over them.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use cassiawheel_decide::{EntryLocation, LinkId, SentEntryLists, links_to_dial};
use cassiawheel_model::{Deadline, InstanceId, Timestamp};
use cassiawheel_runtime::{spawn, timeout};
use cassiawheel_wire::{
    ControlMessage, HelloMessage, ProcessKind, WireMessage, WireReceiver, WireSender, connect,
};
use rand::Rng;
use smol::{Task, Timer};

use super::{gossip, listing, peers};
use crate::{
    departures, limits, overlay::entry_addrs_for, routed::RoutedState, shared::EntryShared,
};

/// Interval between checks whether links have to be opened or closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Longest wait for a connection to another entry, and for its hello.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which a link is kept after it is no longer chosen, in case it is chosen again.
const SURPLUS_GRACE: Duration = Duration::from_secs(4);

/// Interval at which the named versions are sent to the neighbours again.
const VERSION_RESEND_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between checks for state of processes that are gone.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// Random delay after a failed dial, in milliseconds.
const REDIAL_DELAY_MS: std::ops::Range<u64> = 50..150;

/// Opens and closes the links of this entry.
#[derive(Default)]
struct LinkManager {
    dialling: BTreeMap<SocketAddr, Task<()>>,
    /// Links that are no longer chosen, with the time at which they are closed.
    surplus: BTreeMap<SocketAddr, Deadline>,
    sent_lists: SentEntryLists,
}

/// Keeps the chosen links open; runs until the process ends.
pub(crate) async fn maintain_links(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    let seeds = shared.settings.peers.iter().map(|seed| (*seed, None));
    routed.overlay.lock().add_known_entries(seeds);
    let mut manager = LinkManager::default();
    let mut resend_at = Timestamp::now().deadline_after(VERSION_RESEND_INTERVAL);
    let mut expire_at = Timestamp::now().deadline_after(EXPIRE_INTERVAL);
    loop {
        let now = Timestamp::now();
        manager.update(&shared, &routed, now);
        manager.send_entry_lists(&shared, &routed);
        if resend_at.is_past(now) {
            resend_at = now.deadline_after(VERSION_RESEND_INTERVAL);
            resend_versions(&routed);
        }
        if expire_at.is_past(now) {
            expire_at = now.deadline_after(EXPIRE_INTERVAL);
            expire(&shared, &routed, now);
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Drops the state of processes that are gone.
fn expire(shared: &EntryShared, routed: &RoutedState, now: Timestamp) {
    let mut state = routed.overlay.lock();
    state.expire(&shared.settings.place.instance, now);
    if state.crashes.expire(now) {
        routed.crashes.refresh(&state.crashes);
    }
    let reported: BTreeSet<_> =
        state.store.reports().map(|report| report.instance.clone()).collect();
    drop(state);
    limits::expire(routed, now);
    departures::expire(routed, now);
    shared.metrics.backed_off.set(shared.routes.load().backed_off(now) as i64);
    let listed: HashSet<_> = routed.listing().endpoints().map(|listed| listed.addr).collect();
    let is_known = |instance: &InstanceId| reported.contains(instance);
    shared.roster().keep_only(is_known, |addr| listed.contains(&addr), now);
}

impl LinkManager {
    fn update(&mut self, shared: &Arc<EntryShared>, routed: &Arc<RoutedState>, now: Timestamp) {
        self.dialling.retain(|_, task| !task.is_finished());
        let chosen = chosen_entries(shared, routed, now);
        for addr in &chosen {
            let is_linked = routed.overlay.lock().is_linked(*addr);
            if !is_linked && !self.dialling.contains_key(addr) {
                let task = spawn(dial(shared.clone(), routed.clone(), *addr));
                self.dialling.insert(*addr, task);
            }
        }
        self.end_surplus(routed, &chosen, now);
    }

    /// Closes links that this entry dialled and that have not been chosen for a while.
    fn end_surplus(&mut self, routed: &RoutedState, chosen: &BTreeSet<SocketAddr>, now: Timestamp) {
        let state = routed.overlay.lock();
        let dialled: BTreeSet<_> = state.links.iter().filter_map(|link| link.dialled).collect();
        self.surplus.retain(|addr, _| dialled.contains(addr) && !chosen.contains(addr));
        for addr in dialled.difference(chosen) {
            let until = self.surplus.entry(*addr).or_insert(now.deadline_after(SURPLUS_GRACE));
            if until.is_past(now) {
                let links = state.links.iter().filter(|link| link.dialled == Some(*addr));
                links.for_each(|link| link.sender.close());
            }
        }
    }

    /// Sends the connected agents the entries that they may connect to, where these have changed.
    fn send_entry_lists(&mut self, shared: &EntryShared, routed: &RoutedState) {
        let links = shared.links.load();
        let roster = shared.roster();
        let region_of = |instance| roster.member(instance).map(|m| m.report.region.clone());
        let agents: Vec<_> =
            links.iter().filter_map(|(name, link)| Some((region_of(name)?, link))).collect();
        drop(roster);
        let state = routed.overlay.lock();
        let present = state.present(&shared.settings.place.instance);
        let regions: BTreeSet<_> = agents.iter().map(|(region, _)| region.clone()).collect();
        let lists: BTreeMap<_, _> = regions
            .into_iter()
            .map(|region| (region.clone(), entry_addrs_for(&present, &region)))
            .collect();
        drop(state);
        for (region, link) in agents {
            let list = &lists[&region];
            if self.sent_lists.is_due(&link.instance, &region, list) {
                let queued = link.sender.try_send(ControlMessage::Entries(list.clone()));
                self.sent_lists.record(&link.instance, !matches!(queued, Ok(false)));
            }
        }
        self.sent_lists.finish(lists, |agent| links.contains_key(agent));
    }
}

/// Addresses of the entries to link to; without any link, also all addresses of unknown region.
fn chosen_entries(
    shared: &EntryShared,
    routed: &RoutedState,
    now: Timestamp,
) -> BTreeSet<SocketAddr> {
    let settings = &shared.settings;
    let own =
        EntryLocation { inner_addr: settings.listen.inner, region: settings.place.region.clone() };
    let state = routed.overlay.lock();
    let candidates = state.candidates(&settings.place.instance, now);
    let mut chosen = links_to_dial(&own, &candidates);
    if state.links.is_empty() {
        // The region of an entry from the settings is unknown until a link to it is open.
        chosen.extend(state.without_region().into_iter().filter(|addr| *addr != own.inner_addr));
    }
    chosen
}

/// Opens a link to the entry at `addr` and serves it until it ends.
async fn dial(shared: Arc<EntryShared>, routed: Arc<RoutedState>, addr: SocketAddr) {
    let local = Some(shared.settings.listen.inner.ip());
    let connected =
        timeout(CONNECT_TIMEOUT, connect(addr, &shared.settings.inner_key, local)).await;
    let Some(Ok((sender, mut receiver))) = connected else {
        routed.overlay.lock().avoid(addr, Timestamp::now());
        let wait = rand::rng().random_range(REDIAL_DELAY_MS);
        Timer::after(Duration::from_millis(wait)).await;
        return;
    };
    let _ = sender.try_send(shared.hello());
    match timeout(CONNECT_TIMEOUT, receiver.recv()).await {
        Some(Ok(WireMessage::Hello(hello))) if hello.kind == ProcessKind::Entry => {
            serve_link(&shared, &routed, sender, receiver, hello, Some(addr)).await;
        }
        Some(Ok(_) | Err(_)) | None => {
            sender.close();
            routed.overlay.lock().avoid(addr, Timestamp::now());
        }
    }
}

/// Serves a link that another entry has dialled.
pub(crate) async fn accept(
    shared: &Arc<EntryShared>,
    routed: &Arc<RoutedState>,
    sender: WireSender,
    receiver: WireReceiver,
    hello: HelloMessage,
) {
    let _ = sender.try_send(shared.hello());
    serve_link(shared, routed, sender, receiver, hello, None).await;
}

/// Handles messages from a link until it ends or its heartbeat times out.
async fn serve_link(
    shared: &Arc<EntryShared>,
    routed: &Arc<RoutedState>,
    sender: WireSender,
    mut receiver: WireReceiver,
    other: HelloMessage,
    dialled: Option<SocketAddr>,
) {
    let silence = Duration::from_millis(shared.settings.control.heartbeat_timeout_ms);
    let number = routed.overlay.lock().add_link(sender.clone(), other.instance.clone(), dialled);
    send_initial_state(routed, &sender);
    gossip::refresh_own_record(shared, routed);
    routed.overlay.notify_change();
    while let Some(Ok(message)) = timeout(silence, receiver.recv()).await {
        if let WireMessage::Control(message) = message {
            handle(shared, routed, &sender, (number, &other), message);
        }
    }
    sender.close();
    routed.overlay.lock().remove_link(number);
    log::info!(target: "overlay", entry:% = other.instance; "A link to an entry ended.");
    gossip::refresh_own_record(shared, routed);
}

fn handle(
    shared: &Arc<EntryShared>,
    routed: &Arc<RoutedState>,
    sender: &WireSender,
    (number, other): (LinkId, &HelloMessage),
    message: ControlMessage,
) {
    match message {
        ControlMessage::Gossip(delta) => {
            let revision = delta.revision;
            gossip::merge_gossip(shared, routed, number, *delta);
            peers::pull_if_newer(shared, routed, sender, &other.instance, revision);
        }
        ControlMessage::Flood(message) => {
            if routed.overlay.forward_flood(&message, number) {
                peers::handle_peer_message(shared, sender, message.content);
            }
        }
        message => peers::handle_peer_message(shared, sender, message),
    }
}

/// Sends state that gossip does not carry over a new link.
fn send_initial_state(routed: &Arc<RoutedState>, sender: &WireSender) {
    for named in routed.versions.load().named(Timestamp::now()) {
        let _ = sender.try_send(ControlMessage::Named(named));
    }
    let has_listing = routed.listing().position() > 0;
    if !has_listing {
        spawn(listing::request_until_known(routed.clone(), sender.clone())).detach();
    }
}

/// Sends the named versions to the neighbours again, in case a full queue dropped one.
fn resend_versions(routed: &RoutedState) {
    let named = routed.versions.load().named(Timestamp::now());
    let state = routed.overlay.lock();
    for link in &state.links {
        for version in &named {
            let _ = link.sender.try_send(ControlMessage::Named(version.clone()));
        }
    }
}
