//! Serving chunks to other agents.

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

/// Chunks that are being sent over one connection, and how they learn of room.
#[derive(Default)]
struct OpenUploads {
    calls: HashMap<u64, Sender<()>>,
}

impl OpenUploads {
    fn open(&mut self, call: u64) -> Receiver<()> {
        self.calls.retain(|_, room| !room.is_closed());
        let (sender, room) = unbounded();
        for _ in 0..PARTS_AHEAD {
            let _ = sender.try_send(());
        }
        self.calls.insert(call, sender);
        room
    }

    /// Ends an upload; without room for its next part it gives its slot back.
    fn end(&mut self, call: u64) {
        self.calls.remove(&call);
    }

    fn more(&self, call: u64) {
        if let Some(room) = self.calls.get(&call) {
            // A chunk that was sent as a whole needs no more room.
            let _ = room.try_send(());
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
        ChunkMessage::More { call } => uploads.more(call),
        ChunkMessage::Abandoned { call } => uploads.end(call),
        ChunkMessage::ManifestWanted { manifest } => {
            let reply = match shared.transfer.manifest(manifest) {
                Some(found) => ChunkMessage::Manifest(Box::new(found.as_ref().clone())),
                // No call was numbered; the connection asks nothing else.
                None => ChunkMessage::Refused { call: 0, reason: ChunkRefusal::NotHeld },
            };
            let _ = sender.send(reply).await;
        }
        ChunkMessage::Wanted { call, manifest, index, is_import } => {
            let (shared, sender) = (shared.clone(), sender.clone());
            let room = uploads.open(call);
            let upload = Upload { call, manifest, index: index as usize, is_import, room };
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
/// The engine's answers share the link. A chunk of 48 KB sent as a whole holds
/// them up for 42 ms at 9.4 Mbit/s, and several of them for so long that
/// callers count the answers as late; 8 KB take 7 ms.
const PART_BYTES: usize = 8 << 10;

/// Parts of a chunk beyond which larger parts are sent, so that large chunks
/// do not cost a message for every few kilobytes.
const MOST_PARTS: usize = 6;

/// Parts that are sent before the other end tells that one has arrived.
///
/// What is on its way to a link that has narrowed waits there, and requests for
/// the engine behind it. Two parts of each chunk keep a link of 9.4 Mbit/s busy
/// and leave one of 1.2 Mbit/s with less than half a second of waiting bytes.
const PARTS_AHEAD: usize = 2;

/// Longest wait for the word that a part has arrived.
const ROOM_TIME: Duration = Duration::from_secs(5);

/// One chunk that is being sent.
struct Upload {
    call: u64,
    manifest: ManifestDigest,
    index: usize,
    is_import: bool,
    room: Receiver<()>,
}

impl Upload {
    /// Sends the chunk in parts, each as the link has room; chunks that are sent
    /// at the same time take turns.
    async fn send(&self, shared: &EndpointShared, sender: &WireSender) -> Result<(), ChunkRefusal> {
        let transfer = &shared.transfer;
        let import_slot = || match self.is_import {
            true => transfer.import_slots.try_acquire(),
            false => None,
        };
        let Some(_slot) = transfer.upload_slots.try_acquire().or_else(import_slot) else {
            return Err(ChunkRefusal::Busy);
        };
        let length = shared.transfer.held_bytes(self.manifest, self.index);
        let part_bytes = length.ok_or(ChunkRefusal::NotHeld)?.div_ceil(MOST_PARTS).max(PART_BYTES);
        // The bytes are read only once the link is free, so that waiting requests
        // hold no memory.
        let is_paced = shared.may_serve_callers();
        if is_paced {
            transfer.upload.pass(part_bytes).await;
        }
        let bytes = read_held(shared, self.manifest, self.index).await;
        let bytes = bytes.ok_or(ChunkRefusal::NotHeld)?;
        let count = bytes.len().div_ceil(part_bytes);
        for (number, part) in bytes.chunks(part_bytes).enumerate() {
            // An asker that is gone or stuck gives no room any more.
            if !matches!(timeout(ROOM_TIME, self.room.recv()).await, Some(Ok(()))) {
                break;
            }
            if number > 0 && is_paced {
                transfer.upload.pass(part.len()).await;
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
