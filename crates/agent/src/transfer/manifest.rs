//! Finding the manifest that an order pins.

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::{ManifestSearch, SearchStep};
use cassiawheel_edge::WeightError;
use cassiawheel_model::{Deadline, InstanceId, ManifestError, Timestamp, WeightManifest};
use cassiawheel_runtime::{spawn, timeout};
use cassiawheel_wire::message::{EndpointAddress, WeightOrder};
use smol::{Timer, channel::bounded};

use super::{peer::ask_manifest, stage::await_peers, told::from_entries};
use crate::endpoint::EndpointShared;

/// Longest wait for a manifest of a few kilobytes from the origin.
///
/// It is there within some 20 ms, or some hundred while chunks leave the origin;
/// a longer wait holds a connection at an origin that is silent.
const READ_TIME: Duration = Duration::from_secs(1);

/// Longest time in which the origin may ask to be left alone.
const LONGEST_LEFT_ALONE: Duration = Duration::from_secs(10);

/// Longest wait before the order is looked at again.
const TICK: Duration = Duration::from_millis(50);

/// The manifest that `order` pins: known here, from an entry, another agent, or the origin.
///
/// None if another version became wanted meanwhile.
pub(super) async fn pinned_manifest(
    shared: &Arc<EndpointShared>,
    order: &WeightOrder,
) -> Option<WeightManifest> {
    if let Some(known) = shared.transfer.manifest(order.manifest) {
        return Some(known.as_ref().clone());
    }
    if let Some(manifest) = from_entries(shared, order.manifest).await {
        return Some(manifest);
    }
    await_peers(shared).await;
    let own = shared.settings.place.instance.clone();
    let mut search = ManifestSearch::new(own, &order.manifest.to_string(), Timestamp::now());
    while shared.is_still_ordered(order) {
        let peers = shared.transfer.peers();
        let names: Vec<_> = peers.iter().map(|peer| peer.instance.clone()).collect();
        let step = search.next(&names, Timestamp::now(), &mut rand::rng());
        match step {
            SearchStep::Origin => {
                let asked_at = Timestamp::now();
                match from_origin(shared, order).await {
                    Ok(manifest) => return Some(manifest),
                    Err(error) => {
                        log::info!(target: "transfer", version:% = order.version, cause:% = error; "The origin gave no manifest.");
                        let left_until = left_alone_until(&error);
                        search.origin_failed(asked_at, left_until, names.len(), Timestamp::now());
                    }
                }
            }
            SearchStep::Others(asked) => {
                if let Some(manifest) = from_agents(shared, order, &peers, &asked).await {
                    return Some(manifest);
                }
            }
            SearchStep::Wait(until) => {
                Timer::after(until.remaining(Timestamp::now()).min(TICK)).await;
            }
        }
    }
    None
}

async fn from_origin(
    shared: &EndpointShared,
    order: &WeightOrder,
) -> Result<WeightManifest, WeightError> {
    match timeout(READ_TIME, shared.origin.manifest(&order.version)).await {
        Some(Ok(manifest)) if manifest.digest == order.manifest => Ok(manifest),
        // The origin may have replaced the version since it was pinned; chunks
        // of both would then be staged together.
        Some(Ok(_)) => Err(WeightError::from(ManifestError::NotPinned)),
        Some(Err(error)) => Err(error),
        None => Err(WeightError::Failed("timed out".to_owned())),
    }
}

fn left_alone_until(error: &WeightError) -> Option<Deadline> {
    match error {
        WeightError::RateLimited { retry_after } => {
            Some(Timestamp::now().deadline_after((*retry_after).min(LONGEST_LEFT_ALONE)))
        }
        _ => None,
    }
}

/// Asks the agents named `asked` at the same time and takes the first manifest.
async fn from_agents(
    shared: &Arc<EndpointShared>,
    order: &WeightOrder,
    peers: &[EndpointAddress],
    asked: &[InstanceId],
) -> Option<WeightManifest> {
    let asked = peers.iter().filter(|peer| asked.contains(&peer.instance));
    let (sender, answers) = bounded(peers.len().max(1));
    for peer in asked {
        let (shared, sender) = (shared.clone(), sender.clone());
        let (peer, digest) = (peer.clone(), order.manifest);
        spawn(async move {
            let answer = ask_manifest(&shared, &peer, digest).await;
            // Nobody listens any more once another agent has answered.
            let _ = sender.send(answer).await;
        })
        .detach();
    }
    drop(sender);
    while let Ok(answer) = answers.recv().await {
        if answer.is_some() {
            return answer;
        }
    }
    None
}
