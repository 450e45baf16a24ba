//! Exchange of presets and heartbeats with other entries and agents.
//!
//! A preset is pushed once to every process. Heartbeats carry the receiver's revision, so a push
//! that was lost, for example to a full queue, is detected and repeated.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_decide::{
    ListingUpdate, PeerEntry,
    advice::EntryCandidate,
    rank::{first_ranked, subject_of},
};
use cassiawheel_model::{
    ForcedPreset, InstanceId, PresetRevision, Timestamp, settings::EntrySettings,
};
use cassiawheel_wire::{ControlMessage, WireMessage, WireReceiver, WireSender, connect};
use smol::Timer;

use super::{drains, gossip, listing, manifests, operators, orders, pull};
use crate::{
    routed::RoutedState,
    shared::{EntryShared, PeerLink},
};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between full heartbeats.
const FULL_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Delay before another entry is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of entries that an entry dials.
///
/// With as many incoming links, a preset reaches hundreds of entries in three hops. The additional
/// links cost little and keep the graph connected while a third of them is cut.
const MAX_DIALLED: usize = 12;

/// Interval between checks whether a connection made by the other entry is still open.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between checks whether the start hold is over.
const START_HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Offers a preset to this entry and pushes it on if it becomes active.
pub(crate) fn adopt(shared: &EntryShared, preset: &Arc<ForcedPreset>) {
    if shared.offer_preset(preset) {
        push_preset(shared, preset);
    }
}

/// Waits until all preset sources have been read at the start, then activates the newest preset.
pub(crate) async fn await_start_hold(shared: Arc<EntryShared>) {
    while !shared.start_hold().is_over(Timestamp::now()) {
        Timer::after(START_HOLD_CHECK_INTERVAL).await;
    }
    if let Some(preset) = shared.end_start_hold() {
        push_preset(&shared, &preset);
    }
}

fn push_preset(shared: &EntryShared, preset: &Arc<ForcedPreset>) {
    if let Some(routed) = &shared.routed {
        // Route tables are large and some neighbours already have this one, so only the revision is
        // pushed and entries that lack the preset pull it.
        gossip::announce_revision(routed, preset.revision);
        return;
    }
    let message = ControlMessage::Force(preset.clone());
    for link in shared.links.load().values() {
        let _ = link.sender.try_send(message.clone());
    }
    send_to_peers(shared, &message);
}

/// Sends a message to every other entry, over direct connections or by flooding the overlay.
pub(crate) fn send_to_peers(shared: &EntryShared, message: &ControlMessage) {
    if let Some(routed) = &shared.routed {
        let own = &shared.settings.place.instance;
        routed.overlay.flood(own, shared.incarnation, message.clone());
        return;
    }
    shared.peer_links().retain(|peer| peer.sender.try_send(message.clone()).is_ok());
}

/// Handles a message from the entry at the other end of `sender`.
pub(crate) fn handle_peer_message(
    shared: &Arc<EntryShared>,
    sender: &WireSender,
    message: ControlMessage,
) {
    match message {
        ControlMessage::Force(preset) => adopt(shared, &preset),
        ControlMessage::EntryBeat {
            instance,
            incarnation,
            caller_addr,
            failure_domain,
            revision,
            in_flight,
            leaving,
            advised,
            inner_addr,
        } => {
            record_link_addr(shared, sender, inner_addr);
            send_if_newer(shared, sender, revision);
            let region = None;
            let advice = EntryCandidate { caller_addr, failure_domain, region, in_flight, leaving };
            let last_seen = Timestamp::now();
            let peer = PeerEntry { advice, incarnation, revision, advised, last_seen };
            shared.peers().apply_heartbeat(&instance, peer);
        }
        ControlMessage::ReportWanted => {
            let _ = sender.try_send(heartbeat_message(shared));
        }
        ControlMessage::Leaving { instance, incarnation } => {
            mark_leaving(shared, &instance, incarnation);
        }
        ControlMessage::Drain { instance } => drains::drain_local(shared, &instance),
        ControlMessage::PresetWanted => {
            if let Some(preset) = shared.active_preset.load_full() {
                let _ = sender.try_send(ControlMessage::Force(preset));
            }
        }
        ControlMessage::Named(_)
        | ControlMessage::Listing { .. }
        | ControlMessage::ListingWanted
        | ControlMessage::ManifestWanted { .. }
        | ControlMessage::Manifest(_)
        | ControlMessage::Orders(_) => handle_routed(shared, sender, message),
        ControlMessage::Report(_)
        | ControlMessage::Beat(_)
        | ControlMessage::LoadWanted { .. }
        | ControlMessage::EntryAlive { .. }
        | ControlMessage::Order(_)
        | ControlMessage::Peers(_)
        | ControlMessage::Entries(_)
        | ControlMessage::EntriesWanted { .. }
        | ControlMessage::Gossip(_)
        | ControlMessage::Flood(_)
        | ControlMessage::ManifestUnknown { .. } => {}
    }
}

/// Marks an entry or an agent as leaving.
fn mark_leaving(shared: &EntryShared, instance: &InstanceId, incarnation: u64) {
    let now = Timestamp::now();
    shared.peers().mark_leaving(instance, incarnation, now);
    log::info!(target: "roster", instance:% = instance; "A process leaves.");
    if shared.routed.is_some() {
        shared.roster().mark_leaving(instance, incarnation, now);
        shared.rebuild_routes();
    }
}

/// Handles messages that are used only where callers are routed by a table.
fn handle_routed(shared: &Arc<EntryShared>, sender: &WireSender, message: ControlMessage) {
    let Some(routed) = &shared.routed else {
        return;
    };
    match message {
        ControlMessage::Named(named) => {
            operators::apply_version(shared, routed, &named, Some(sender));
            manifests::request_manifest(routed, sender, &named);
        }
        ControlMessage::ManifestWanted { manifest } => {
            manifests::send_manifest(Some(routed), sender, manifest);
        }
        ControlMessage::Manifest(manifest) => routed.manifests.insert(manifest),
        ControlMessage::Listing { rows, base, position, age_ms, era, base_era, missing } => {
            let now = Timestamp::now();
            let asked_at = Timestamp(now.0.saturating_sub(age_ms));
            let until = |left_ms| now.deadline_after(Duration::from_millis(left_ms));
            let missing =
                missing.into_iter().map(|(name, left_ms)| (name, until(left_ms))).collect();
            // A process that knows no eras cannot tell when they change.
            let era = era.unwrap_or_else(|| routed.listing().era());
            let base_era = base_era.unwrap_or(era);
            let update = ListingUpdate { rows, base, base_era, position, asked_at, era, missing };
            listing::handle_listing(shared, routed, sender, update);
        }
        ControlMessage::ListingWanted => listing::send_listing(routed, sender),
        ControlMessage::Orders(orders) => orders::forward_orders(shared, orders),
        _ => {}
    }
}

/// Records the address of the entry at the other end of a connection.
fn record_link_addr(shared: &EntryShared, sender: &WireSender, addr: SocketAddr) {
    let mut links = shared.peer_links();
    if let Some(link) = links.iter_mut().find(|link| link.sender.is_same(sender)) {
        link.addr = Some(addr);
    }
}

/// Whether a connection to the entry at `addr` is open, whichever end made it.
fn is_linked(shared: &EntryShared, addr: SocketAddr) -> bool {
    let links = shared.peer_links();
    links.iter().any(|link| link.addr == Some(addr) && !link.sender.is_closed())
}

/// Sends the active preset to an entry whose heartbeat shows an older revision.
fn send_if_newer(shared: &EntryShared, sender: &WireSender, revision: PresetRevision) {
    if let Some(preset) =
        shared.active_preset.load_full().filter(|preset| preset.revision > revision)
    {
        let _ = sender.try_send(ControlMessage::Force(preset));
    }
}

/// Pulls the preset from a neighbour that has a newer one.
pub(crate) fn pull_if_newer(
    shared: &Arc<EntryShared>,
    routed: &Arc<RoutedState>,
    sender: &WireSender,
    instance: &InstanceId,
    revision: PresetRevision,
) {
    let state = routed.overlay.lock();
    let domain = state.store.record(instance).map(|record| record.failure_domain.clone());
    drop(state);
    if let Some(domain) = domain {
        pull::handle_revision(shared, routed, sender, instance, &domain, revision);
    }
}

/// Selects the entries that this one dials; the choice is the same after every restart.
pub(crate) fn dialled_peers(settings: &EntrySettings) -> Vec<SocketAddr> {
    let names: Vec<_> = settings.peers.iter().map(ToString::to_string).collect();
    let subject = subject_of(settings.place.instance.as_str());
    first_ranked(subject, names.iter().map(String::as_str), MAX_DIALLED)
        .into_iter()
        .filter_map(|name| name.parse().ok())
        .collect()
}

/// Keeps a connection to the entry at `addr` open.
pub(crate) async fn maintain_peer(shared: Arc<EntryShared>, addr: SocketAddr) {
    let local = Some(shared.settings.listen.inner.ip());
    loop {
        if is_linked(&shared, addr) {
            Timer::after(LINK_CHECK_INTERVAL).await;
            continue;
        }
        match connect(addr, &shared.settings.inner_key, local).await {
            Ok((sender, receiver)) => {
                let _ = sender.try_send(shared.hello());
                serve_peer(&shared, sender, receiver, Some(addr)).await;
            }
            Err(_) => shared.start_hold().mark_answered(addr),
        }
        Timer::after(REDIAL_DELAY).await;
    }
}

/// Serves a connection to another entry until it ends; `dialled` is set if this end made it.
pub(crate) async fn serve_peer(
    shared: &Arc<EntryShared>,
    sender: WireSender,
    mut receiver: WireReceiver,
    dialled: Option<SocketAddr>,
) {
    // The preset is sent before the heartbeat, so that the other end has it when it marks this
    // source as read.
    send_initial_state(shared, &sender);
    let _ = sender.try_send(heartbeat_message(shared));
    shared.peer_links().push(PeerLink { sender: sender.clone(), addr: None });
    let mut other = None;
    while let Ok(message) = receiver.recv().await {
        let WireMessage::Control(message) = message else {
            continue;
        };
        if let ControlMessage::EntryAlive { in_flight } = message {
            handle_alive(shared, &sender, other.as_ref(), in_flight);
            continue;
        }
        let is_heartbeat = matches!(message, ControlMessage::EntryBeat { .. });
        other = heartbeat_process(&message).or(other);
        handle_peer_message(shared, &sender, message);
        if let Some(addr) = dialled.filter(|_| is_heartbeat) {
            shared.start_hold().mark_answered(addr);
        }
    }
    sender.close();
}

/// Sends the active preset over a new connection.
fn send_initial_state(shared: &EntryShared, sender: &WireSender) {
    if let Some(preset) = shared.active_preset.load_full() {
        let _ = sender.try_send(ControlMessage::Force(preset));
    }
}

/// Identity of the process at the other end of a connection.
struct PeerProcess {
    instance: InstanceId,
    incarnation: u64,
}

/// Returns the process that sent a full heartbeat.
fn heartbeat_process(message: &ControlMessage) -> Option<PeerProcess> {
    match message {
        ControlMessage::EntryBeat { instance, incarnation, .. } => {
            Some(PeerProcess { instance: instance.clone(), incarnation: *incarnation })
        }
        _ => None,
    }
}

/// Handles a short heartbeat; requests a full one if the sender is no longer known.
fn handle_alive(
    shared: &EntryShared,
    sender: &WireSender,
    other: Option<&PeerProcess>,
    in_flight: u32,
) {
    let now = Timestamp::now();
    let known = other
        .and_then(|other| shared.peers().touch(&other.instance, other.incarnation, in_flight, now));
    match known {
        Some(revision) => send_if_newer(shared, sender, revision),
        None => {
            let _ = sender.try_send(ControlMessage::ReportWanted);
        }
    }
}

/// Sends heartbeats to the other entries: full ones on change and at an interval, in case one was
/// lost, and short ones in between.
pub(crate) async fn send_heartbeats(shared: Arc<EntryShared>) {
    let mut last = None;
    let mut full_sent_at = Timestamp::now();
    loop {
        let now = Timestamp::now();
        let message = heartbeat_message(&shared);
        let is_unchanged = last.as_ref().is_some_and(|last| equal_except_load(last, &message));
        if is_unchanged && now.since(full_sent_at) < FULL_HEARTBEAT_INTERVAL {
            let in_flight = shared.in_flight.load(Ordering::Relaxed);
            send_to_peers(&shared, &ControlMessage::EntryAlive { in_flight });
        } else {
            send_to_peers(&shared, &message);
            full_sent_at = now;
            last = Some(message);
        }
        Timer::after(HEARTBEAT_INTERVAL).await;
    }
}

fn equal_except_load(last: &ControlMessage, message: &ControlMessage) -> bool {
    let mut last = last.clone();
    if let (
        ControlMessage::EntryBeat { in_flight: before, .. },
        ControlMessage::EntryBeat { in_flight: now, .. },
    ) = (&mut last, message)
    {
        *before = *now;
    }
    last == *message
}

fn heartbeat_message(shared: &EntryShared) -> ControlMessage {
    let settings = &shared.settings;
    ControlMessage::EntryBeat {
        instance: settings.place.instance.clone(),
        incarnation: shared.incarnation,
        caller_addr: settings.listen.caller,
        failure_domain: settings.place.failure_domain.clone(),
        revision: shared.active_preset.load().as_ref().map(|p| p.revision).unwrap_or_default(),
        in_flight: shared.in_flight.load(Ordering::Relaxed),
        leaving: shared.leaving.load(Ordering::Acquire),
        advised: shared.is_advised(),
        inner_addr: settings.listen.inner,
    }
}

/// Announces to the other entries that this one is leaving.
pub(crate) fn announce_leaving(shared: &EntryShared) {
    shared.leaving.store(true, Ordering::Release);
    let instance: InstanceId = shared.settings.place.instance.clone();
    let incarnation = shared.incarnation;
    send_to_peers(shared, &ControlMessage::Leaving { instance, incarnation });
    if let Some(routed) = &shared.routed {
        gossip::refresh_own_record(shared, routed);
    }
}
