//! Staging a whole version.
//!
//! One task owns the picker and learns of everything through events; fetches
//! run beside it. It ends when all chunks are staged or another version is
//! wanted.

use std::{collections::HashMap, sync::Arc, time::Duration};

use anyhow::Context;
use cassiawheel_decide::{ChunkPicker, ChunkSource, FetchOrder, PickerSettings};
use cassiawheel_model::{InstanceId, ManifestError, Timestamp, WeightManifest};
use cassiawheel_runtime::{spawn, timeout};
use cassiawheel_wire::message::WeightOrder;
use smol::{
    Task,
    channel::{Receiver, Sender, unbounded},
    future::FutureExt,
};

use super::{
    fetch::{FetchEnd, fetch},
    peer::{PeerClient, follow_peer},
    state::set_positions,
};
use crate::endpoint::EndpointShared;

/// Wait for events before the picker is asked again.
const TICK: Duration = Duration::from_millis(20);

/// Fetches at one peer at a time.
const PER_PEER: usize = 2;

/// What the staging task learns.
pub(super) enum TransferEvent {
    /// A connection to a peer is up.
    PeerUp(InstanceId, Arc<PeerClient>),
    /// A connection to a peer is gone.
    PeerDown(InstanceId),
    /// A peer says that it holds these chunks.
    PeerHolds(InstanceId, Vec<usize>),
    /// A fetch ended.
    Fetched(FetchOrder, FetchEnd),
}

struct StagingTask {
    shared: Arc<EndpointShared>,
    manifest: Arc<WeightManifest>,
    picker: ChunkPicker,
    clients: HashMap<InstanceId, Arc<PeerClient>>,
    followers: HashMap<InstanceId, Task<()>>,
    fetches: usize,
    sender: Sender<TransferEvent>,
    events: Receiver<TransferEvent>,
}

/// Stages what `order` names; false if another version became wanted meanwhile.
pub(crate) async fn stage(
    shared: &Arc<EndpointShared>,
    order: &WeightOrder,
) -> anyhow::Result<bool> {
    let manifest = Arc::new(pinned_manifest(shared, order).await?);
    let staged = shared.engine.stage(&manifest).await.context("staging cannot be opened")?;
    let bits = hex::decode(&staged.bits).context("the engine's list of chunks is damaged")?;
    let mut held = vec![false; manifest.chunks.len()];
    for index in set_positions(&bits, held.len()) {
        held[index] = true;
    }
    shared.transfer.open(manifest.clone(), held.clone());
    let mut task = StagingTask::new(shared.clone(), manifest, &held);
    let whole = task.run(order).await;
    log::info!(target: "transfer", version:% = order.version, whole = whole; "A transfer ended.");
    Ok(whole)
}

async fn pinned_manifest(
    shared: &EndpointShared,
    order: &WeightOrder,
) -> anyhow::Result<WeightManifest> {
    if let Some(known) = shared.transfer.manifest(order.manifest) {
        return Ok(known.as_ref().clone());
    }
    let manifest = shared.origin.manifest(&order.version).await?;
    // The origin may have replaced the version since it was pinned; chunks of
    // both would then be staged together.
    anyhow::ensure!(manifest.digest == order.manifest, ManifestError::NotPinned);
    Ok(manifest)
}

impl StagingTask {
    fn new(shared: Arc<EndpointShared>, manifest: Arc<WeightManifest>, held: &[bool]) -> Self {
        let settings = PickerSettings {
            instance: shared.settings.place.instance.clone(),
            stall_ms: shared.settings.transfer.stall_ms,
            origin_step_ms: shared.settings.transfer.origin_step_ms,
            per_peer: PER_PEER,
        };
        let mut picker = ChunkPicker::new(settings, held.len(), Timestamp::now());
        for (index, _) in held.iter().enumerate().filter(|(_, held)| **held) {
            picker.mark_held(index);
        }
        let (sender, events) = unbounded();
        Self {
            shared,
            manifest,
            picker,
            clients: HashMap::new(),
            followers: HashMap::new(),
            fetches: 0,
            sender,
            events,
        }
    }

    async fn run(&mut self, order: &WeightOrder) -> bool {
        self.follow_peers();
        while self.picker.missing() > 0 {
            if !self.still_wanted(order) {
                return false;
            }
            self.start_fetches();
            self.shared.metrics.missing_chunks.set(self.picker.missing() as i64);
            self.wait_and_handle().await;
        }
        self.shared.metrics.missing_chunks.set(0);
        true
    }

    fn still_wanted(&self, order: &WeightOrder) -> bool {
        self.shared.order().as_ref().map(|newest| newest.manifest) == Some(order.manifest)
    }

    async fn wait_and_handle(&mut self) {
        let event = async { self.events.recv().await.ok() };
        let peers = async {
            self.shared.transfer.peers_changed().await;
            None
        };
        let happened = timeout(TICK, event.or(peers)).await;
        self.follow_peers();
        if let Some(Some(event)) = happened {
            self.handle(event);
        }
        while let Ok(event) = self.events.try_recv() {
            self.handle(event);
        }
    }

    fn follow_peers(&mut self) {
        let peers = self.shared.transfer.peers();
        self.followers.retain(|instance, _| peers.iter().any(|peer| peer.instance == *instance));
        for peer in peers {
            let instance = peer.instance.clone();
            if self.followers.contains_key(&instance) {
                continue;
            }
            self.picker.add_peer(&instance);
            let (manifest, chunks) = (self.manifest.digest, self.manifest.chunks.len());
            let follower =
                follow_peer(self.shared.clone(), peer, manifest, chunks, self.sender.clone());
            self.followers.insert(instance, spawn(follower));
        }
    }

    fn handle(&mut self, event: TransferEvent) {
        let now = Timestamp::now();
        match event {
            TransferEvent::PeerUp(instance, client) => {
                self.picker.add_peer(&instance);
                self.clients.insert(instance, client);
            }
            TransferEvent::PeerDown(instance) => {
                self.picker.remove_peer(&instance);
                self.clients.remove(&instance);
            }
            TransferEvent::PeerHolds(instance, indices) => {
                for index in indices {
                    self.picker.peer_holds(&instance, index);
                }
            }
            TransferEvent::Fetched(order, end) => {
                self.fetches -= 1;
                self.fetch_ended(&order, end, now);
            }
        }
    }

    fn fetch_ended(&mut self, order: &FetchOrder, end: FetchEnd, now: Timestamp) {
        match end {
            FetchEnd::Staged(bytes) => {
                self.picker.mark_held(order.index);
                self.shared.transfer.gain(self.manifest.digest, order.index, bytes);
            }
            FetchEnd::Deferred => self.picker.fetch_deferred(order),
            FetchEnd::RateLimited(wait) => {
                self.picker.fetch_deferred(order);
                self.picker.avoid_origin(now.deadline_after(wait));
            }
            FetchEnd::Failed => self.picker.fetch_failed(order, now),
        }
    }

    fn start_fetches(&mut self) {
        while self.fetches < self.shared.settings.transfer.download_slots {
            let Some(order) = self.picker.next(Timestamp::now(), &mut rand::rng()) else {
                return;
            };
            log::info!(target: "transfer", chunk = order.index, source:? = order.source, missing = self.picker.missing(); "Fetches a chunk.");
            let client = match &order.source {
                ChunkSource::Peer(peer) => self.clients.get(peer).cloned(),
                ChunkSource::Origin => None,
            };
            self.fetches += 1;
            let (shared, manifest) = (self.shared.clone(), self.manifest.clone());
            let sender = self.sender.clone();
            spawn(async move {
                let end = fetch(&shared, &manifest, &order, client).await;
                let _ = sender.send(TransferEvent::Fetched(order, end)).await;
            })
            .detach();
        }
    }
}
