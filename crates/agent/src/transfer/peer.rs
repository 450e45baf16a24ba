//! Client side of transfers from another agent.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiawheel_model::{InstanceId, ManifestDigest, WeightManifest, flags::iter_set_bits};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::{
    ChunkMessage, WireMessage, WireReceiver, WireSender, connect,
    message::{ChunkRefusal, EndpointAddress},
};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

use super::stage::TransferEvent;
use crate::endpoint::EndpointShared;

/// Delay before a peer is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(300);

/// Timeout for a manifest from a peer.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(500);

type ChunkReply = Result<Vec<u8>, ChunkRefusal>;

/// Client of one connection to another agent; requests chunks and matches the replies.
pub(super) struct PeerClient {
    sender: WireSender,
    calls: AtomicU64,
    pending: Mutex<HashMap<u64, PendingCall>>,
}

/// A request whose chunk has not arrived completely.
struct PendingCall {
    reply: Sender<ChunkReply>,
    /// The parts received so far, concatenated.
    bytes: Vec<u8>,
}

/// Largest chunk accepted from another agent, in bytes; the length in the manifest is
/// checked once the chunk is complete.
const MAX_CHUNK_BYTES: usize = 16 << 20;

impl PeerClient {
    /// Requests a chunk; the reply arrives on the channel, which closes with the connection.
    pub(super) async fn request_chunk(
        &self,
        manifest: ManifestDigest,
        index: usize,
        is_import: bool,
    ) -> Option<Receiver<ChunkReply>> {
        let (reply, waiting) = bounded(1);
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        self.pending().insert(call, PendingCall { reply, bytes: Vec::new() });
        let message = ChunkMessage::Wanted { call, manifest, index: index as u32, is_import };
        self.sender.send(message).await.ok()?;
        Some(waiting)
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<u64, PendingCall>> {
        self.pending.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    fn refuse(&self, call: u64, reason: ChunkRefusal) {
        // If the receiver is closed, the reply came after the deadline of the fetch.
        if let Some(call) = self.pending().remove(&call) {
            let _ = call.reply.try_send(Err(reason));
        }
    }

    /// Stores a part of a chunk; returns the message to send back, if any.
    ///
    /// On a link that has slowed down, a chunk may miss its deadline. If the rest of it
    /// were still requested, it would share the link with the chunks requested instead,
    /// and those would miss their deadlines too.
    fn receive_part(&self, call: u64, part: &[u8], last: bool) -> Option<ChunkMessage> {
        let mut pending = self.pending();
        let Some(open) = pending.get_mut(&call) else {
            return (!last).then_some(ChunkMessage::Abandoned { call });
        };
        open.bytes.extend_from_slice(part);
        if !last && open.bytes.len() <= MAX_CHUNK_BYTES {
            let is_awaited = !open.reply.is_closed();
            if !is_awaited {
                pending.remove(&call);
                return Some(ChunkMessage::Abandoned { call });
            }
            return Some(ChunkMessage::More { call });
        }
        if let Some(completed) = pending.remove(&call) {
            let _ = completed.reply.try_send(Ok(completed.bytes));
        }
        None
    }
}

/// Keeps a connection to `peer` open and forwards the chunks that it reports as events.
pub(super) async fn follow_peer(
    shared: Arc<EndpointShared>,
    peer: EndpointAddress,
    manifest: ManifestDigest,
    chunks: usize,
    events: Sender<TransferEvent>,
) {
    let local = Some(shared.settings.listen_inner.ip());
    loop {
        if let Ok((sender, receiver)) =
            connect(peer.inner_addr, &shared.settings.inner_key, local).await
        {
            let client = Arc::new(PeerClient {
                sender,
                calls: AtomicU64::new(0),
                pending: Mutex::default(),
            });
            let connected = TransferEvent::PeerUp(peer.instance.clone(), client.clone());
            if events.send(connected).await.is_err() {
                return;
            }
            if client.sender.send(shared.hello()).await.is_ok() {
                read_messages(&client, receiver, &peer.instance, manifest, chunks, &events).await;
            }
            client.sender.close();
            client.pending().clear();
        }
        // Also sent after a failed dial, so that the picker does not wait for this peer's list.
        if events.send(TransferEvent::PeerDown(peer.instance.clone())).await.is_err() {
            return;
        }
        Timer::after(REDIAL_DELAY).await;
    }
}

async fn read_messages(
    client: &PeerClient,
    mut receiver: WireReceiver,
    peer: &InstanceId,
    manifest: ManifestDigest,
    chunks: usize,
    events: &Sender<TransferEvent>,
) {
    while let Ok(message) = receiver.recv().await {
        let WireMessage::Chunk(message) = message else {
            continue;
        };
        let peer = peer.clone();
        let event = match message {
            ChunkMessage::Held { manifest: digest, bits } if digest == manifest => {
                TransferEvent::PeerHolds(peer, iter_set_bits(&bits, chunks).collect())
            }
            ChunkMessage::Gained { manifest: digest, index } if digest == manifest => {
                TransferEvent::PeerHolds(peer, vec![index as usize])
            }
            ChunkMessage::Drawing { manifest: digest, indices } if digest == manifest => {
                let indices = indices.into_iter().map(|index| index as usize).collect();
                TransferEvent::PeerDownloads(peer, indices)
            }
            ChunkMessage::ToldAll => TransferEvent::PeerSynced(peer),
            ChunkMessage::Bytes { call, bytes, last } => {
                if let Some(answer) = client.receive_part(call, &bytes, last) {
                    let _ = client.sender.try_send(answer);
                }
                continue;
            }
            ChunkMessage::Refused { call, reason } => {
                client.refuse(call, reason);
                continue;
            }
            _ => continue,
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

/// Fetches the manifest with `digest` from `peer`.
pub(super) async fn fetch_manifest(
    shared: &EndpointShared,
    peer: &EndpointAddress,
    digest: ManifestDigest,
) -> Option<WeightManifest> {
    // The timeout also covers the dial: an instance without power does not refuse it.
    let manifest =
        timeout(MANIFEST_TIMEOUT, request_manifest(shared, peer, digest)).await.flatten();
    // A peer may send anything; only the manifest with the pinned digest is accepted.
    manifest.filter(|manifest| manifest.digest == digest && manifest.verify().is_ok())
}

async fn request_manifest(
    shared: &EndpointShared,
    peer: &EndpointAddress,
    digest: ManifestDigest,
) -> Option<WeightManifest> {
    let local = Some(shared.settings.listen_inner.ip());
    let key = &shared.settings.inner_key;
    let (sender, mut receiver) = connect(peer.inner_addr, key, local).await.ok()?;
    sender.send(ChunkMessage::ManifestWanted { manifest: digest }).await.ok()?;
    let mut received = None;
    while let Ok(message) = receiver.recv().await {
        match message {
            WireMessage::Chunk(ChunkMessage::Manifest(manifest)) => {
                received = Some(*manifest);
                break;
            }
            WireMessage::Chunk(ChunkMessage::Refused { .. }) => break,
            _ => {}
        }
    }
    sender.close();
    received
}
