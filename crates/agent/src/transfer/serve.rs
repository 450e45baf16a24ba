//! Serves chunks and manifests to other agents.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use cassiawheel_model::ManifestDigest;
use cassiawheel_runtime::{ShutdownSignal, listener::accept_connections, spawn, timeout};
use cassiawheel_wire::{ChunkMessage, WireMessage, WireSender, accept, message::ChunkRefusal};
use smol::{
    channel::{Receiver, Sender, unbounded},
    net::{TcpListener, TcpStream},
};

use crate::endpoint::EndpointShared;

/// Accepts connections of other agents until `shutdown`.
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
    let mut uploads = OpenUploads::default();
    loop {
        match receiver.recv().await {
            Ok(WireMessage::Chunk(message)) => {
                handle(&shared, &sender, &mut uploads, message).await;
            }
            Ok(WireMessage::Hello(_) | WireMessage::Control(_) | WireMessage::Request(_)) => {}
            Err(error) => {
                log::debug!(target: "transfer", cause:% = error; "A peer's connection ended.");
                sender.close();
                return;
            }
        }
    }
}

/// Uploads in progress on one connection, with the senders of their flow-control credits.
#[derive(Default)]
struct OpenUploads {
    calls: HashMap<u64, Sender<()>>,
}

impl OpenUploads {
    fn open(&mut self, call: u64) -> Receiver<()> {
        self.calls.retain(|_, credits| !credits.is_closed());
        let (sender, credits) = unbounded();
        for _ in 0..INITIAL_CREDITS {
            let _ = sender.try_send(());
        }
        self.calls.insert(call, sender);
        credits
    }

    /// Cancels an upload: without credit for its next part it ends and frees its slot.
    fn cancel(&mut self, call: u64) {
        self.calls.remove(&call);
    }

    fn add_credit(&self, call: u64) {
        if let Some(credits) = self.calls.get(&call) {
            // Ignored if the channel is closed: a completely sent chunk needs no credit.
            let _ = credits.try_send(());
        }
    }
}

async fn handle(
    shared: &Arc<EndpointShared>,
    sender: &WireSender,
    uploads: &mut OpenUploads,
    message: ChunkMessage,
) {
    match message {
        ChunkMessage::More { call } => uploads.add_credit(call),
        ChunkMessage::Abandoned { call } => uploads.cancel(call),
        ChunkMessage::ManifestWanted { manifest } => {
            let reply = match shared.transfer.manifest(manifest) {
                Some(found) => ChunkMessage::Manifest(Box::new(found.as_ref().clone())),
                // A manifest request has no call number, and its connection carries no other.
                None => ChunkMessage::Refused { call: 0, reason: ChunkRefusal::NotHeld },
            };
            let _ = sender.send(reply).await;
        }
        ChunkMessage::Wanted { call, manifest, index, is_import } => {
            let (shared, sender) = (shared.clone(), sender.clone());
            let credits = uploads.open(call);
            let upload = Upload { call, manifest, index: index as usize, is_import, credits };
            spawn(async move {
                if let Err(reason) = upload.send(&shared, &sender).await {
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

/// Smallest part in which a chunk is sent, in bytes.
///
/// The engine's answers share the link. A chunk of 48 KB sent in one piece delays them
/// by 42 ms at 9.4 Mbit/s, and several such chunks delay them beyond the callers' latency
/// limits; a part of 8 KB takes 7 ms.
const PART_BYTES: usize = 8 << 10;

/// Maximum number of parts of a chunk; large chunks are sent in larger parts, so that they
/// do not need a message for every few kilobytes.
const MAX_PARTS: usize = 6;

/// Parts that may be in flight before the receiver acknowledges one.
///
/// Bytes sent to a link that has slowed down are queued there, and requests for the engine
/// queue behind them. Two parts of each chunk keep a link of 9.4 Mbit/s busy and queue
/// less than half a second of bytes on one of 1.2 Mbit/s.
const INITIAL_CREDITS: usize = 2;

/// Timeout for the acknowledgement of a part.
const CREDIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Upload of one chunk.
struct Upload {
    call: u64,
    manifest: ManifestDigest,
    index: usize,
    is_import: bool,
    credits: Receiver<()>,
}

impl Upload {
    /// Sends the chunk in parts, each after a credit; concurrent uploads are interleaved.
    async fn send(&self, shared: &EndpointShared, sender: &WireSender) -> Result<(), ChunkRefusal> {
        let transfer = &shared.transfer;
        let import_slot = || match self.is_import {
            true => transfer.import_slots.try_acquire(),
            false => None,
        };
        let Some(_slot) = transfer.upload_slots.try_acquire().or_else(import_slot) else {
            return Err(ChunkRefusal::Busy);
        };
        let length = shared.transfer.held_chunk_len(self.manifest, self.index);
        let part_bytes = length.ok_or(ChunkRefusal::NotHeld)?.div_ceil(MAX_PARTS).max(PART_BYTES);
        // The bytes are read only after the rate limit has admitted the first part, so that
        // queued uploads hold no memory.
        let is_paced = shared.may_serve_callers();
        if is_paced {
            transfer.upload.acquire(part_bytes).await;
        }
        let bytes = read_held(shared, self.manifest, self.index).await;
        let bytes = bytes.ok_or(ChunkRefusal::NotHeld)?;
        let count = bytes.len().div_ceil(part_bytes);
        for (number, part) in bytes.chunks(part_bytes).enumerate() {
            // A receiver that is disconnected or stuck grants no more credits.
            if !matches!(timeout(CREDIT_TIMEOUT, self.credits.recv()).await, Some(Ok(()))) {
                break;
            }
            if number > 0 && is_paced {
                transfer.upload.acquire(part.len()).await;
            }
            let (call, last) = (self.call, number + 1 == count);
            let message = ChunkMessage::Bytes { call, bytes: part.to_vec(), last };
            if sender.send(message).await.is_err() {
                break;
            }
            shared.metrics.sent_bytes.inc_by(part.len() as u64);
        }
        Ok(())
    }
}

/// Returns the bytes of a held chunk from the cache, else from the engine's staging.
pub(super) async fn read_held(
    shared: &EndpointShared,
    manifest: ManifestDigest,
    index: usize,
) -> Option<Bytes> {
    match shared.transfer.find_chunk(manifest, index)? {
        Some(bytes) => Some(bytes),
        None => shared.engine.read_chunk(manifest, index).await.ok(),
    }
}
