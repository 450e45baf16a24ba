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
                let reply = match upload(&shared, manifest, index as usize).await {
                    Ok(bytes) => ChunkMessage::Bytes { call, bytes: bytes.to_vec() },
                    Err(reason) => ChunkMessage::Refused { call, reason },
                };
                let _ = sender.send(reply).await;
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

async fn upload(
    shared: &EndpointShared,
    manifest: ManifestDigest,
    index: usize,
) -> Result<Bytes, ChunkRefusal> {
    let Some(_slot) = shared.transfer.upload_slots.try_acquire() else {
        return Err(ChunkRefusal::Busy);
    };
    let length = shared.transfer.held_bytes(manifest, index).ok_or(ChunkRefusal::NotHeld)?;
    // The bytes are read only once the link is free, so that waiting requests
    // hold no memory.
    shared.transfer.upload.pass(length).await;
    let bytes = read_held(shared, manifest, index).await.ok_or(ChunkRefusal::NotHeld)?;
    shared.metrics.sent_bytes.inc_by(bytes.len() as u64);
    Ok(bytes)
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
