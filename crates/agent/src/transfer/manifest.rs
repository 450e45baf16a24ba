//! Finding the manifest that an order pins.

use std::{sync::Arc, time::Duration};

use cassiawheel_edge::WeightError;
use cassiawheel_model::{ManifestError, WeightManifest};
use cassiawheel_runtime::{spawn, timeout};
use cassiawheel_wire::message::WeightOrder;
use rand::seq::SliceRandom;
use smol::{Timer, channel::bounded};

use super::peer::ask_manifest;
use crate::endpoint::EndpointShared;

/// Time that the origin has before other agents are asked.
///
/// It answers within some 20 ms, or some hundred while many ask; one that is
/// away may answer nothing at all.
const ORIGIN_LEAD: Duration = Duration::from_millis(300);

/// Other agents that are asked at a time.
const ASKED: usize = 6;

/// Longest wait that the origin's rate limit imposes on a manifest.
const LONGEST_RATE_WAIT: Duration = Duration::from_secs(10);

/// The manifest that `order` pins: known here, from the origin, or from a peer.
pub(super) async fn pinned_manifest(
    shared: &Arc<EndpointShared>,
    order: &WeightOrder,
) -> anyhow::Result<WeightManifest> {
    if let Some(known) = shared.transfer.manifest(order.manifest) {
        return Ok(known.as_ref().clone());
    }
    if let Ok(manifest) = from_origin(shared, order, ORIGIN_LEAD).await {
        return Ok(manifest);
    }
    if let Some(manifest) = from_peers(shared, order).await {
        return Ok(manifest);
    }
    let stall = Duration::from_millis(shared.settings.transfer.stall_ms);
    let refused = match from_origin(shared, order, stall).await {
        Ok(manifest) => return Ok(manifest),
        Err(error) => error,
    };
    if let WeightError::RateLimited { retry_after } = &refused {
        Timer::after((*retry_after).min(LONGEST_RATE_WAIT)).await;
    }
    Err(refused.into())
}

async fn from_origin(
    shared: &EndpointShared,
    order: &WeightOrder,
    span: Duration,
) -> Result<WeightManifest, WeightError> {
    match timeout(span, shared.origin.manifest(&order.version)).await {
        Some(Ok(manifest)) if manifest.digest == order.manifest => Ok(manifest),
        // The origin may have replaced the version since it was pinned; chunks
        // of both would then be staged together.
        Some(Ok(_)) => Err(WeightError::from(ManifestError::NotPinned)),
        Some(Err(error)) => Err(error),
        None => Err(WeightError::Failed("timed out".to_owned())),
    }
}

/// Asks a few other agents at a time, in random order, so that they do not all
/// ask the same ones.
async fn from_peers(shared: &Arc<EndpointShared>, order: &WeightOrder) -> Option<WeightManifest> {
    let mut peers = shared.transfer.peers();
    peers.shuffle(&mut rand::rng());
    for asked in peers.chunks(ASKED) {
        let (sender, answers) = bounded(asked.len());
        for peer in asked {
            let (shared, sender) = (shared.clone(), sender.clone());
            let (peer, digest) = (peer.clone(), order.manifest);
            spawn(async move {
                let _ = sender.send(ask_manifest(&shared, &peer, digest).await).await;
            })
            .detach();
        }
        drop(sender);
        while let Ok(answer) = answers.recv().await {
            if answer.is_some() {
                return answer;
            }
        }
    }
    None
}
