//! Pulling a preset from another entry that has a newer one.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_decide::{FeedRole, PeerRevision, PullStep, PullView, far_link_rank};
use cassiawheel_model::{FailureDomain, InstanceId, PresetRevision, Timestamp};
use cassiawheel_runtime::spawn;
use cassiawheel_wire::{ControlMessage, WireSender};
use smol::Timer;

use crate::{routed::RoutedState, shared::EntryShared};

/// Longest sleep between checks whether the preset has arrived or a nearby entry has it.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Handles the revision that another entry has announced.
pub(super) fn handle_revision(
    shared: &Arc<EntryShared>,
    routed: &Arc<RoutedState>,
    sender: &WireSender,
    instance: &InstanceId,
    failure_domain: &FailureDomain,
    revision: PresetRevision,
) {
    let announced = PeerRevision {
        instance: instance.clone(),
        revision,
        is_near: routed.settings.near_domains.contains(failure_domain),
        handle: sender.clone(),
    };
    let is_start = routed.pull().observe(announced, shared.known_revision(), Timestamp::now());
    if is_start {
        spawn(pull_preset(shared.clone(), routed.clone())).detach();
    }
}

/// Requests presets until no entry is known to have a newer one.
async fn pull_preset(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    let own = &shared.settings.place.instance;
    loop {
        let now = Timestamp::now();
        let view = PullView {
            known: shared.known_revision(),
            follows_rows: routed.follows_rows.load(Ordering::Relaxed)
                && routed.feed_role() == FeedRole::Follow,
            near_rank: near_rank(&routed, own),
            now,
        };
        let is_open = |sender: &WireSender| !sender.is_closed();
        let step = routed.pull().step(view, is_open, &mut rand::rng());
        match step {
            PullStep::Done => return,
            PullStep::Request { handle, is_near } => {
                if let Ok(true) = handle.try_send(ControlMessage::PresetWanted) {
                    log::info!(target: "preset", revision = view.known.0; "Requesting a newer preset from another entry.");
                } else {
                    routed.pull().discard_request(is_near);
                    Timer::after(CHECK_INTERVAL).await;
                }
            }
            PullStep::Wait(until) => {
                Timer::after(until.remaining(now).min(CHECK_INTERVAL)).await;
            }
        }
    }
}

/// Rank of the entry `own` for requests to other regions.
fn near_rank(routed: &RoutedState, own: &InstanceId) -> u32 {
    let state = routed.overlay.lock();
    far_link_rank(own, &state.present(own))
}
