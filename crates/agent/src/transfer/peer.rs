//! Fetching from another agent.

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

/// Wait before a peer is dialled again.
const DIAL_AGAIN: Duration = Duration::from_millis(300);

/// Longest wait for a manifest from a peer.
const MANIFEST_TIME: Duration = Duration::from_millis(500);

type ChunkReply = Result<Vec<u8>, ChunkRefusal>;

/// A connection to another agent from which chunks are fetched.
pub(super) struct PeerClient {
    sender: WireSender,
    calls: AtomicU64,
    waiting: Mutex<HashMap<u64, WaitingCall>>,
}

/// A call whose chunk is on its way.
struct WaitingCall {
    reply: Sender<ChunkReply>,
    /// The parts that have arrived.
    bytes: Vec<u8>,
}

/// Largest chunk that another agent may send, in bytes; the manifest is
/// checked once it is whole.
const MAX_CHUNK_BYTES: usize = 16 << 20;

impl PeerClient {
    /// Asks for a chunk; the reply arrives on the channel, which closes with the connection.
    pub(super) async fn ask(
        &self,
        manifest: ManifestDigest,
        index: usize,
        is_import: bool,
    ) -> Option<Receiver<ChunkReply>> {
        let (reply, waiting) = bounded(1);
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        self.waiting().insert(call, WaitingCall { reply, bytes: Vec::new() });
        let message = ChunkMessage::Wanted { call, manifest, index: index as u32, is_import };
        self.sender.send(message).await.ok()?;
        Some(waiting)
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, WaitingCall>> {
        self.waiting.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    fn refuse(&self, call: u64, reason: ChunkRefusal) {
        // A reply that nobody waits for any more came after its deadline.
        if let Some(waiting) = self.waiting().remove(&call) {
            let _ = waiting.reply.try_send(Err(reason));
        }
    }

    /// Takes a part of a chunk; what the other end has to know, if anything.
    ///
    /// Over a link that has narrowed a chunk comes too late. If its rest was
    /// still asked for, it would share the link with those that are asked for
    /// instead, and none of them would come in time either.
    fn take_part(&self, call: u64, part: &[u8], last: bool) -> Option<ChunkMessage> {
        let mut waiting = self.waiting();
        let Some(open) = waiting.get_mut(&call) else {
            return (!last).then_some(ChunkMessage::Abandoned { call });
        };
        open.bytes.extend_from_slice(part);
        if !last && open.bytes.len() <= MAX_CHUNK_BYTES {
            let is_awaited = !open.reply.is_closed();
            if !is_awaited {
                waiting.remove(&call);
                return Some(ChunkMessage::Abandoned { call });
            }
            return Some(ChunkMessage::More { call });
        }
        if let Some(whole) = waiting.remove(&call) {
            let _ = whole.reply.try_send(Ok(whole.bytes));
        }
        None
    }
}

/// Keeps a connection to `peer` and passes on what it says it holds.
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
                waiting: Mutex::default(),
            });
            let up = TransferEvent::PeerUp(peer.instance.clone(), client.clone());
            if events.send(up).await.is_err() {
                return;
            }
            if client.sender.send(shared.hello()).await.is_ok() {
                listen(&client, receiver, &peer.instance, manifest, chunks, &events).await;
            }
            client.sender.close();
            client.waiting().clear();
        }
        // Also after a failed dial, so that nobody waits for its list.
        if events.send(TransferEvent::PeerDown(peer.instance.clone())).await.is_err() {
            return;
        }
        Timer::after(DIAL_AGAIN).await;
    }
}

async fn listen(
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
            ChunkMessage::Held { manifest: told, bits } if told == manifest => {
                TransferEvent::PeerHolds(peer, iter_set_bits(&bits, chunks).collect())
            }
            ChunkMessage::Gained { manifest: told, index } if told == manifest => {
                TransferEvent::PeerHolds(peer, vec![index as usize])
            }
            ChunkMessage::Drawing { manifest: told, indices } if told == manifest => {
                let indices = indices.into_iter().map(|index| index as usize).collect();
                TransferEvent::PeerDraws(peer, indices)
            }
            ChunkMessage::ToldAll => TransferEvent::PeerToldAll(peer),
            ChunkMessage::Bytes { call, bytes, last } => {
                if let Some(answer) = client.take_part(call, &bytes, last) {
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

/// Asks `peer` for the manifest with `digest`.
pub(super) async fn ask_manifest(
    shared: &EndpointShared,
    peer: &EndpointAddress,
    digest: ManifestDigest,
) -> Option<WeightManifest> {
    // An instance without power does not even refuse the connection.
    let manifest = timeout(MANIFEST_TIME, told_manifest(shared, peer, digest)).await.flatten();
    // A peer may lie; only the list that the plan pins is taken.
    manifest.filter(|manifest| manifest.digest == digest && manifest.verify().is_ok())
}

async fn told_manifest(
    shared: &EndpointShared,
    peer: &EndpointAddress,
    digest: ManifestDigest,
) -> Option<WeightManifest> {
    let local = Some(shared.settings.listen_inner.ip());
    let key = &shared.settings.inner_key;
    let (sender, mut receiver) = connect(peer.inner_addr, key, local).await.ok()?;
    sender.send(ChunkMessage::ManifestWanted { manifest: digest }).await.ok()?;
    let mut told = None;
    while let Ok(message) = receiver.recv().await {
        match message {
            WireMessage::Chunk(ChunkMessage::Manifest(manifest)) => {
                told = Some(*manifest);
                break;
            }
            WireMessage::Chunk(ChunkMessage::Refused { .. }) => break,
            _ => {}
        }
    }
    sender.close();
    told
}
