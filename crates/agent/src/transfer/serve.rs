//! Serving chunks to other agents.

use std::sync::Arc;

use bytes::Bytes;
use cassiawheel_model::ManifestDigest;
use cassiawheel_runtime::{ShutdownSignal, listener::accept_connections, spawn};
use cassiawheel_wire::{ChunkMessage, WireMessage, WireSender, accept, message::ChunkRefusal};
use smol::net::{TcpListener, TcpStream};

use crate::endpoint::EndpointShared;

/// Accepts other agents until `shutdown`.
pub(crate) async fn serve_peers(
    shared: Arc<EndpointShared>,
    listener: TcpListener,
    shutdown: ShutdownSignal,
) {
    let connections = shared.settings.inner_connections;
    accept_connections(listener, connections, shutdown, move |stream, _| {
        serve_peer(shared.clone(), stream)
    })
    .await;
}

async fn serve_peer(shared: Arc<EndpointShared>, stream: TcpStream) {
    let (sender, mut receiver) = match accept(stream, &shared.settings.inner_key).await {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!(target: "transfer", cause:% = error; "Refused a connection.");
            return;
        }
    };
    shared.transfer.add_watcher(sender.clone());
    loop {
        match receiver.recv().await {
            Ok(WireMessage::Chunk(message)) => handle(&shared, &sender, message).await,
            Ok(WireMessage::Hello(_) | WireMessage::Control(_) | WireMessage::Request(_)) => {}
            Err(error) => {
                log::debug!(target: "transfer", cause:% = error; "A peer's connection ended.");
                sender.close();
                return;
            }
        }
    }
}

async fn handle(shared: &Arc<EndpointShared>, sender: &WireSender, message: ChunkMessage) {
    match message {
        ChunkMessage::ManifestWanted { manifest } => {
            if let Some(found) = shared.transfer.manifest(manifest) {
                let reply = ChunkMessage::Manifest(Box::new(found.as_ref().clone()));
                let _ = sender.send(reply).await;
            }
        }
        ChunkMessage::Wanted { call, manifest, index } => {
            let (shared, sender) = (shared.clone(), sender.clone());
            spawn(async move {
                if let Err(reason) = upload(&shared, &sender, call, manifest, index as usize).await
                {
                    let _ = sender.send(ChunkMessage::Refused { call, reason }).await;
                }
            })
            .detach();
        }
        ChunkMessage::Held { .. }
        | ChunkMessage::Gained { .. }
        | ChunkMessage::Drawing { .. }
        | ChunkMessage::ToldAll
        | ChunkMessage::Manifest(_)
        | ChunkMessage::Bytes { .. }
        | ChunkMessage::Refused { .. } => {}
    }
}

/// Largest part of a chunk that is sent at once, in bytes.
///
/// The engine's answers share the link. A chunk of 48 KB sent as a whole holds
/// them up for 42 ms at 9.4 Mbit/s, and several of them for so long that
/// callers count the answers as late; 8 KB take 7 ms.
const PART_BYTES: usize = 8 << 10;

/// Sends a chunk in parts, each as the link has room; chunks that are sent at
/// the same time take turns.
async fn upload(
    shared: &EndpointShared,
    sender: &WireSender,
    call: u64,
    manifest: ManifestDigest,
    index: usize,
) -> Result<(), ChunkRefusal> {
    let Some(_slot) = shared.transfer.upload_slots.try_acquire() else {
        return Err(ChunkRefusal::Busy);
    };
    let length = shared.transfer.held_bytes(manifest, index).ok_or(ChunkRefusal::NotHeld)?;
    // The bytes are read only once the link is free, so that waiting requests
    // hold no memory.
    shared.transfer.upload.pass(length.min(PART_BYTES)).await;
    let bytes = read_held(shared, manifest, index).await.ok_or(ChunkRefusal::NotHeld)?;
    let count = bytes.len().div_ceil(PART_BYTES);
    for (number, part) in bytes.chunks(PART_BYTES).enumerate() {
        if number > 0 {
            shared.transfer.upload.pass(part.len()).await;
        }
        let last = number + 1 == count;
        let message = ChunkMessage::Bytes { call, bytes: part.to_vec(), last };
        if sender.send(message).await.is_err() {
            break;
        }
        shared.metrics.sent_bytes.inc_by(part.len() as u64);
    }
    Ok(())
}

/// The bytes of a held chunk, from memory or read back from the engine's staging.
pub(super) async fn read_held(
    shared: &EndpointShared,
    manifest: ManifestDigest,
    index: usize,
) -> Option<Bytes> {
    match shared.transfer.find(manifest, index)? {
        Some(bytes) => Some(bytes),
        None => shared.engine.read_chunk(manifest, index).await.ok(),
    }
}
