//! Finds the manifest that an order pins by its digest.

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::{ManifestSearch, SearchStep};
use cassiawheel_edge::WeightError;
use cassiawheel_model::{Deadline, InstanceId, ManifestError, Timestamp, WeightManifest};
use cassiawheel_runtime::{spawn, timeout};
use cassiawheel_wire::message::{EndpointAddress, WeightOrder};
use smol::{Timer, channel::bounded};

use super::{manifest_replies::from_entries, peer::fetch_manifest, stage::await_peers};
use crate::endpoint::EndpointShared;

/// Timeout for a manifest of a few kilobytes from the origin.
///
/// It takes about 20 ms, or a few hundred while the origin sends chunks. A longer wait
/// would occupy one of the few connections of an origin that does not respond.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper bound of the delay that the origin may impose with `retry_after`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Interval at which the search checks whether the order is still the newest.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the manifest that `order` pins, from this process, an entry, another agent or the
/// origin.
///
/// None if another version was ordered meanwhile.
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
                        log::info!(target: "transfer", version:% = order.version, cause:% = error; "Failed to read a manifest from the origin.");
                        let not_before = retry_deadline(&error);
                        search.origin_failed(asked_at, not_before, names.len(), Timestamp::now());
                    }
                }
            }
            SearchStep::Peers(instances) => {
                if let Some(manifest) = from_agents(shared, order, &peers, &instances).await {
                    return Some(manifest);
                }
            }
            SearchStep::Wait(until) => {
                Timer::after(until.remaining(Timestamp::now()).min(POLL_INTERVAL)).await;
            }
        }
    }
    None
}

async fn from_origin(
    shared: &EndpointShared,
    order: &WeightOrder,
) -> Result<WeightManifest, WeightError> {
    match timeout(READ_TIMEOUT, shared.origin.manifest(&order.version)).await {
        Some(Ok(manifest)) if manifest.digest == order.manifest => Ok(manifest),
        // The origin may have replaced the weights of this version since it was pinned;
        // chunks of both would then be staged together.
        Some(Ok(_)) => Err(WeightError::from(ManifestError::NotPinned)),
        Some(Err(error)) => Err(error),
        None => Err(WeightError::Failed("timed out".to_owned())),
    }
}

fn retry_deadline(error: &WeightError) -> Option<Deadline> {
    match error {
        WeightError::RateLimited { retry_after } => {
            Some(Timestamp::now().deadline_after((*retry_after).min(MAX_RETRY_AFTER)))
        }
        _ => None,
    }
}

/// Queries the agents named in `instances` concurrently and returns the first manifest received.
async fn from_agents(
    shared: &Arc<EndpointShared>,
    order: &WeightOrder,
    peers: &[EndpointAddress],
    instances: &[InstanceId],
) -> Option<WeightManifest> {
    let queried = peers.iter().filter(|peer| instances.contains(&peer.instance));
    let (sender, answers) = bounded(peers.len().max(1));
    for peer in queried {
        let (shared, sender) = (shared.clone(), sender.clone());
        let (peer, digest) = (peer.clone(), order.manifest);
        spawn(async move {
            let answer = fetch_manifest(&shared, &peer, digest).await;
            // Fails once another agent has answered and the receiver is dropped.
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
