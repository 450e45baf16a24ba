//! Spreading the preset in force and heartbeats between entries and to agents.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_decide::advice::AdviceInput;
use cassiawheel_model::{ForcedPreset, Timestamp};
use cassiawheel_wire::{
    ControlMessage, HelloMessage, ProcessKind, WireMessage, WireReceiver, WireSender, connect,
};
use smol::Timer;

use crate::shared::{EntryShared, PeerEntry};

/// Time between heartbeats of an entry.
const BEAT_TIME: Duration = Duration::from_millis(250);

/// Wait before another entry is dialled again.
const DIAL_AGAIN: Duration = Duration::from_millis(250);

/// Considers a preset and passes it on if it is new here.
pub(crate) fn adopt(shared: &EntryShared, preset: &Arc<ForcedPreset>) {
    if !shared.offer_preset(preset) {
        return;
    }
    let message = ControlMessage::Force(preset.clone());
    for link in shared.links.load().values() {
        let _ = link.sender.try_send(message.clone());
    }
    shared.peer_links().retain(|peer| peer.try_send(message.clone()).is_ok());
}

/// Handles what another entry tells.
pub(crate) fn handle_peer(shared: &EntryShared, message: ControlMessage) {
    match message {
        ControlMessage::Force(preset) => adopt(shared, &preset),
        ControlMessage::EntryBeat {
            instance,
            caller_addr,
            failure_domain,
            revision,
            in_flight,
        } => {
            let advice = AdviceInput { caller_addr, failure_domain, in_flight, leaving: false };
            let heard_at = Timestamp::now();
            let mut peers = shared.peers();
            let leaving = peers.get(&instance).is_some_and(|peer| peer.advice.leaving);
            let advice = AdviceInput { leaving, ..advice };
            peers.insert(instance, PeerEntry { advice, revision, heard_at });
        }
        ControlMessage::Leaving { instance } => {
            if let Some(peer) = shared.peers().get_mut(&instance) {
                peer.advice.leaving = true;
            }
        }
        ControlMessage::Report(_) | ControlMessage::Order(_) | ControlMessage::Peers(_) => {}
    }
}

/// Keeps a connection to the entry at `addr`.
pub(crate) async fn keep_peer(shared: Arc<EntryShared>, addr: SocketAddr) {
    let local = Some(shared.settings.listen.inner.ip());
    loop {
        if let Ok((sender, receiver)) = connect(addr, &shared.settings.inner_key, local).await {
            let hello = HelloMessage {
                kind: ProcessKind::Entry,
                instance: shared.settings.place.instance.clone(),
                incarnation: shared.incarnation,
            };
            let _ = sender.try_send(hello);
            converse(&shared, sender, receiver).await;
        }
        Timer::after(DIAL_AGAIN).await;
    }
}

async fn converse(shared: &EntryShared, sender: WireSender, mut receiver: WireReceiver) {
    if let Some(preset) = shared.force.load_full() {
        let _ = sender.try_send(ControlMessage::Force(preset));
    }
    shared.peer_links().push(sender.clone());
    while let Ok(message) = receiver.recv().await {
        if let WireMessage::Control(message) = message {
            handle_peer(shared, message);
        }
    }
    sender.close();
}

/// Sends heartbeats to the other entries.
pub(crate) async fn beat(shared: Arc<EntryShared>) {
    loop {
        send_beat(&shared);
        Timer::after(BEAT_TIME).await;
    }
}

fn send_beat(shared: &EntryShared) {
    let settings = &shared.settings;
    let message = ControlMessage::EntryBeat {
        instance: settings.place.instance.clone(),
        caller_addr: settings.listen.caller,
        failure_domain: settings.place.failure_domain.clone(),
        revision: shared.force.load().as_ref().map(|p| p.revision).unwrap_or_default(),
        in_flight: shared.in_flight.load(Ordering::Relaxed),
    };
    shared.peer_links().retain(|peer| peer.try_send(message.clone()).is_ok());
}

/// Tells the other entries that this one leaves.
pub(crate) fn announce_leaving(shared: &EntryShared) {
    shared.leaving.store(true, Ordering::Release);
    let instance = shared.settings.place.instance.clone();
    let message = ControlMessage::Leaving { instance };
    shared.peer_links().retain(|peer| peer.try_send(message.clone()).is_ok());
}
