//! Fetching and verifying one chunk.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiawheel_decide::{ChunkSource, FetchFailure, FetchOrder};
use cassiawheel_edge::WeightError;
use cassiawheel_model::{Timestamp, WeightManifest};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::message::ChunkRefusal;

use super::peer::PeerClient;
use crate::endpoint::EndpointShared;

/// How a fetch ended.
pub(super) enum FetchEnd {
    /// The chunk is verified and staged.
    Staged(Bytes),
    /// The source is busy; nothing is held against it.
    Deferred,
    /// The origin asks to come back later.
    RateLimited(Duration),
    /// The source failed or sent corrupt bytes.
    Failed(FetchFailure),
}

impl FetchEnd {
    /// The word in the decision log.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Self::Staged(_) => "staged",
            Self::Deferred => "busy",
            Self::RateLimited(_) => "rate-limited",
            Self::Failed(FetchFailure::Damaged) => "damaged",
            Self::Failed(FetchFailure::Late) => "late",
        }
    }
}

/// Carries `order` out.
pub(super) async fn fetch(
    shared: &EndpointShared,
    manifest: &WeightManifest,
    order: &FetchOrder,
    client: Option<Arc<PeerClient>>,
) -> FetchEnd {
    let span = order.deadline.remaining(Timestamp::now());
    let received = match (&order.source, client) {
        (ChunkSource::Origin, _) => timeout(span, from_origin(shared, manifest, order)).await,
        (ChunkSource::Peer(_), Some(client)) => {
            timeout(span, from_peer(&client, manifest, order)).await
        }
        (ChunkSource::Peer(_), None) => None,
    };
    let bytes = match received {
        Some(Ok(bytes)) => bytes,
        Some(Err(end)) => return end,
        None => return FetchEnd::Failed(FetchFailure::Late),
    };
    // The slot stays taken until the link's share has been paid for, so that
    // the transfer never takes what is kept free for live requests. Paying
    // before the ask would leave the link idle while sources answer. An engine
    // without weights has no live requests to keep it free for.
    if shared.may_serve_callers() {
        shared.transfer.download.pass(bytes.len()).await;
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
        Err(_) => Err(FetchEnd::Failed(FetchFailure::Damaged)),
    }
}

async fn from_peer(
    client: &PeerClient,
    manifest: &WeightManifest,
    order: &FetchOrder,
) -> Result<Bytes, FetchEnd> {
    let waiting = client
        .ask(manifest.digest, order.index, order.is_import)
        .await
        .ok_or(FetchEnd::Failed(FetchFailure::Damaged))?;
    match waiting.recv().await {
        Ok(Ok(bytes)) => Ok(Bytes::from(bytes)),
        Ok(Err(ChunkRefusal::Busy)) => Err(FetchEnd::Deferred),
        Ok(Err(ChunkRefusal::NotHeld)) | Err(_) => Err(FetchEnd::Failed(FetchFailure::Damaged)),
    }
}

async fn verify_and_stage(
    shared: &EndpointShared,
    manifest: &WeightManifest,
    order: &FetchOrder,
    bytes: Bytes,
) -> FetchEnd {
    // A corrupt chunk in staging would make every answer wrong without any
    // error; only bytes that match the pinned manifest get that far.
    if let Err(error) = manifest.verify_chunk(order.index, &bytes) {
        shared.metrics.corrupt_chunks.inc();
        log::warn!(target: "transfer", chunk = order.index, source:? = order.source, cause:% = error; "Dropped a chunk.");
        return FetchEnd::Failed(FetchFailure::Damaged);
    }
    if matches!(order.source, ChunkSource::Peer(_)) {
        shared.metrics.peer_bytes.inc_by(bytes.len() as u64);
    }
    match shared.engine.stage_chunk(manifest.digest, order.index, bytes.clone()).await {
        Ok(()) => FetchEnd::Staged(bytes),
        Err(error) => {
            log::warn!(target: "transfer", chunk = order.index, cause:% = error; "Staging failed.");
            FetchEnd::Deferred
        }
    }
}
