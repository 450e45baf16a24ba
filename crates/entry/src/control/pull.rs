//! Asking another entry for a preset that it has and this one lacks.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_decide::{FeedRole, PeerRevision, PullStep, PullView};
use cassiawheel_model::{FailureDomain, InstanceId, PresetRevision, Timestamp};
use cassiawheel_runtime::spawn;
use cassiawheel_wire::{ControlMessage, WireSender};
use smol::Timer;

use crate::{routed::RoutedState, shared::EntryShared};

/// Longest sleep between looks whether the preset has come, or somebody near has it.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Takes in the revision that another entry tells.
pub(super) fn handle_revision(
    shared: &Arc<EntryShared>,
    routed: &Arc<RoutedState>,
    sender: &WireSender,
    instance: &InstanceId,
    failure_domain: &FailureDomain,
    revision: PresetRevision,
) {
    let told = PeerRevision {
        instance: instance.clone(),
        revision,
        is_near: routed.settings.near_domains.contains(failure_domain),
        handle: sender.clone(),
    };
    let begins = routed.pull().observe(told, shared.known_revision(), Timestamp::now());
    if begins {
        spawn(pull_preset(shared.clone(), routed.clone())).detach();
    }
}

/// Asks until nobody tells of a preset that is newer than the known one.
async fn pull_preset(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    loop {
        let now = Timestamp::now();
        let view = PullView {
            known: shared.known_revision(),
            follows_rows: routed.follows_rows.load(Ordering::Relaxed)
                && routed.feed_role() == FeedRole::Follow,
            near_rank: near_rank(&shared, &routed),
            now,
        };
        let is_open = |sender: &WireSender| !sender.is_closed();
        let step = routed.pull().step(view, is_open, &mut rand::rng());
        match step {
            PullStep::Done => return,
            PullStep::Request(sender) => {
                log::info!(target: "preset", revision = view.known.0; "Asks another entry for a newer preset.");
                let _ = sender.try_send(ControlMessage::PresetWanted);
            }
            PullStep::Wait(until) => {
                Timer::after(until.remaining(now).min(CHECK_INTERVAL)).await;
            }
        }
    }
}

/// Entries of the own region that go before this one.
fn near_rank(shared: &EntryShared, routed: &RoutedState) -> u32 {
    let own = &shared.settings.place.instance;
    let near = &routed.settings.near_domains;
    let peers = shared.peers();
    let before = peers
        .iter()
        .filter(|(instance, peer)| *instance < own && near.contains(&peer.advice.failure_domain));
    before.count() as u32
}
