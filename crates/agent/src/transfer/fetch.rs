//! Fetches, verifies and stages one chunk.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiawheel_decide::{ChunkSource, FetchFailure, FetchOrder};
use cassiawheel_edge::WeightError;
use cassiawheel_model::{Timestamp, WeightManifest};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::message::ChunkRefusal;

use super::peer::PeerClient;
use crate::endpoint::EndpointShared;

/// Outcome of a fetch.
pub(super) enum FetchEnd {
    /// The chunk is verified and staged.
    Staged(Bytes),
    /// The source is busy or staging failed; not counted as a failure of the source.
    Deferred,
    /// The origin limits the rate; retry after this delay.
    RateLimited(Duration),
    /// The source failed or sent corrupt bytes.
    Failed(FetchFailure),
}

impl FetchEnd {
    /// Value logged for the outcome.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Self::Staged(_) => "staged",
            Self::Deferred => "busy",
            Self::RateLimited(_) => "rate-limited",
            Self::Failed(FetchFailure::Corrupt) => "damaged",
            Self::Failed(FetchFailure::TimedOut) => "late",
        }
    }
}

/// Fetches the chunk of `order` from its source by the deadline, verifies and stages it.
pub(super) async fn fetch(
    shared: &EndpointShared,
    manifest: &WeightManifest,
    order: &FetchOrder,
    client: Option<Arc<PeerClient>>,
) -> FetchEnd {
    let time_left = order.deadline.remaining(Timestamp::now());
    let received = match (&order.source, client) {
        (ChunkSource::Origin, _) => timeout(time_left, from_origin(shared, manifest, order)).await,
        (ChunkSource::Peer(_), Some(client)) => {
            timeout(time_left, from_peer(&client, manifest, order)).await
        }
        (ChunkSource::Peer(_), None) => None,
    };
    let bytes = match received {
        Some(Ok(bytes)) => bytes,
        Some(Err(outcome)) => return outcome,
        None => return FetchEnd::Failed(FetchFailure::TimedOut),
    };
    // The slot stays occupied until the rate limit admits the received bytes, so that
    // transfers never use the share of the link that is reserved for live requests.
    // Applying the limit before the request would leave the link idle while the source
    // answers. An engine without weights has no live requests and needs no limit.
    if shared.may_serve_callers() {
        shared.transfer.download.acquire(bytes.len()).await;
    }
    verify_and_stage(shared, manifest, order, bytes).await
}

async fn from_origin(
    shared: &EndpointShared,
    manifest: &WeightManifest,
    order: &FetchOrder,
) -> Result<Bytes, FetchEnd> {
    match shared.origin.chunk(manifest, order.index).await {
        Ok(bytes) => {
            shared.metrics.origin_bytes.inc_by(bytes.len() as u64);
            Ok(bytes)
        }
        Err(WeightError::RateLimited { retry_after }) => Err(FetchEnd::RateLimited(retry_after)),
        Err(_) => Err(FetchEnd::Failed(FetchFailure::Corrupt)),
    }
}

async fn from_peer(
    client: &PeerClient,
    manifest: &WeightManifest,
    order: &FetchOrder,
) -> Result<Bytes, FetchEnd> {
    let waiting = client
        .request_chunk(manifest.digest, order.index, order.is_import)
        .await
        .ok_or(FetchEnd::Failed(FetchFailure::Corrupt))?;
    match waiting.recv().await {
        Ok(Ok(bytes)) => Ok(Bytes::from(bytes)),
        Ok(Err(ChunkRefusal::Busy)) => Err(FetchEnd::Deferred),
        Ok(Err(ChunkRefusal::NotHeld)) | Err(_) => Err(FetchEnd::Failed(FetchFailure::Corrupt)),
    }
}

async fn verify_and_stage(
    shared: &EndpointShared,
    manifest: &WeightManifest,
    order: &FetchOrder,
    bytes: Bytes,
) -> FetchEnd {
    // A corrupt chunk in staging would make answers wrong without any error, so only
    // bytes that match the pinned manifest are staged.
    if let Err(error) = manifest.verify_chunk(order.index, &bytes) {
        shared.metrics.corrupt_chunks.inc();
        log::warn!(target: "transfer", chunk = order.index, source:? = order.source, cause:% = error; "Dropped a chunk.");
        return FetchEnd::Failed(FetchFailure::Corrupt);
    }
    if matches!(order.source, ChunkSource::Peer(_)) {
        shared.metrics.peer_bytes.inc_by(bytes.len() as u64);
    }
    match shared.engine.stage_chunk(manifest.digest, order.index, bytes.clone()).await {
        Ok(()) => FetchEnd::Staged(bytes),
        Err(error) => {
            log::warn!(target: "transfer", chunk = order.index, cause:% = error; "A chunk cannot be staged.");
            FetchEnd::Deferred
        }
    }
}
