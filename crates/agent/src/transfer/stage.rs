//! Stages all chunks of a version.
//!
//! One task owns the chunk picker and receives events; fetches run in tasks of their
//! own. It ends when all chunks are staged or another version is ordered.

use std::{
    collections::HashMap,
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use cassiawheel_decide::{ChunkPicker, ChunkSource, FetchOrder, PeerLocation, PickerSettings};
use cassiawheel_model::{
    InstanceId, LayerRange, ManifestDigest, OriginPlace, RegionName, Timestamp, WeightManifest,
    flags::iter_set_bits, settings::TransferMode,
};
use cassiawheel_runtime::{spawn, timeout};
use cassiawheel_wire::message::WeightOrder;
use smol::{
    Task,
    channel::{Receiver, Sender, unbounded},
    future::FutureExt,
};

use super::{
    fetch::{FetchEnd, fetch},
    manifest::pinned_manifest,
    peer::{PeerClient, follow_peer},
    serve::read_held,
};
use crate::{
    endpoint::EndpointShared,
    layers::{self, HalfLoad, HalfOutcome},
};

/// Longest wait for an event before the picker is run again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for the first list of peers.
const PEER_LIST_TIMEOUT: Duration = Duration::from_millis(700);

/// Fetches from the origin may use one in this many of its connections.
///
/// Connections that an instance has open when it loses power stay occupied at the origin
/// for longer than the instance takes to restart. With a quarter, connections are left
/// after three power losses in a row; usually five to eight fetches are in progress.
const ORIGIN_CONNECTION_DIVISOR: usize = 4;

/// Maximum number of concurrent fetches from one peer.
const FETCHES_PER_PEER: usize = 2;

/// Events that the staging task handles.
pub(super) enum TransferEvent {
    /// A connection to a peer was established.
    PeerUp(InstanceId, Arc<PeerClient>),
    /// A connection to a peer ended or could not be established.
    PeerDown(InstanceId),
    /// A peer reported that it holds these chunks.
    PeerHolds(InstanceId, Vec<usize>),
    /// A peer reported that it is fetching these chunks from the origin.
    PeerDownloads(InstanceId, Vec<usize>),
    /// A peer has sent its complete list of held chunks.
    PeerSynced(InstanceId),
    /// A fetch succeeded, was deferred or failed.
    Fetched(FetchOrder, FetchEnd),
    /// The load of the own half of the layers ended.
    HalfEnded(HalfOutcome),
}

/// The half of the layers that is loaded before all chunks are staged.
struct OwnHalf {
    range: LayerRange,
    chunks: Range<usize>,
    is_loading: bool,
}

struct StagingTask {
    shared: Arc<EndpointShared>,
    manifest: Arc<WeightManifest>,
    origin_region: Option<RegionName>,
    picker: ChunkPicker,
    clients: HashMap<InstanceId, Arc<PeerClient>>,
    followers: HashMap<InstanceId, Task<()>>,
    sender: Sender<TransferEvent>,
    events: Receiver<TransferEvent>,
    half: Option<OwnHalf>,
    /// Tells the load of the half that staging has ended.
    has_ended: Arc<AtomicBool>,
}

impl Drop for StagingTask {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }
}

/// Stages the weights that `order` names; false if others were ordered meanwhile.
pub(crate) async fn stage(
    shared: &Arc<EndpointShared>,
    order: &WeightOrder,
) -> anyhow::Result<bool> {
    let Some(manifest) = pinned_manifest(shared, order).await.map(Arc::new) else {
        return Ok(false);
    };
    let staged = shared.engine.open_staging(&manifest).await.context("staging cannot be opened")?;
    let bits = hex::decode(&staged.bits).context("the engine's list of chunks is damaged")?;
    let mut held = vec![false; manifest.chunks.len()];
    for index in iter_set_bits(&bits, held.len()) {
        held[index] = true;
    }
    shared.transfer.open(manifest.clone(), held.clone());
    copy_shared_chunks(shared, &manifest, &mut held).await;
    let serving = shared.engine.status().await.ok().and_then(|status| status.manifest);
    let keep: Vec<_> = serving.into_iter().chain([order.manifest]).collect();
    discard_other_staging(shared, &keep).await;
    await_peers(shared).await;
    let mut task = StagingTask::new(shared.clone(), manifest, &held, order.origin.clone());
    task.prefer_half(order);
    let is_complete = task.run(order).await;
    log::info!(target: "transfer", version:% = order.version, whole = is_complete; "A transfer ended.");
    Ok(is_complete)
}

/// Waits for the first list of peers, until a timeout.
///
/// An order may arrive before it. Without a list, an agent assigns all chunks to itself,
/// and the agents of a new deployment would fetch some of the same chunks from the origin.
pub(super) async fn await_peers(shared: &EndpointShared) {
    let deadline = Timestamp::now().deadline_after(PEER_LIST_TIMEOUT);
    while !shared.transfer.has_peers() && !deadline.is_past(Timestamp::now()) {
        timeout(POLL_INTERVAL, shared.transfer.peers_changed()).await;
    }
}

/// Stages the chunks that are already held under another manifest.
async fn copy_shared_chunks(shared: &EndpointShared, manifest: &WeightManifest, held: &mut [bool]) {
    for chunk in shared.transfer.shared_chunks(manifest) {
        if held[chunk.index] {
            continue;
        }
        let Some(bytes) = read_held(shared, chunk.manifest, chunk.held_index).await else {
            continue;
        };
        // Bytes read back from the engine's memory may be corrupt and are verified again.
        if manifest.verify_chunk(chunk.index, &bytes).is_err() {
            continue;
        }
        let staged = shared.engine.stage_chunk(manifest.digest, chunk.index, bytes.clone()).await;
        if staged.is_ok() {
            held[chunk.index] = true;
            shared.metrics.reused_chunks.inc();
            shared.transfer.add_chunk(manifest.digest, chunk.index, bytes);
        }
    }
}

/// Discards the chunks that the engine and this process hold of manifests not in `keep`.
///
/// Staged chunks occupy the engine's memory; versions that are no longer ordered would
/// fill it until a load fails.
pub(crate) async fn discard_other_staging(shared: &EndpointShared, keep: &[ManifestDigest]) {
    shared.transfer.keep_only(keep);
    let Ok(status) = shared.engine.status().await else {
        return;
    };
    for manifest in status.staged.into_iter().filter(|manifest| !keep.contains(manifest)) {
        if let Err(error) = shared.engine.discard_staging(manifest).await {
            log::warn!(target: "transfer", manifest:% = manifest, cause:% = error; "Staged chunks were not discarded.");
        }
    }
}

/// Offers the weights that `order` names to other agents, if all chunks are staged.
///
/// Without this, an agent that restarts beside a serving engine would not announce its
/// chunks, and other agents would fetch them from the origin.
pub(crate) async fn offer_served_weights(
    shared: &Arc<EndpointShared>,
    order: &WeightOrder,
) -> anyhow::Result<()> {
    if shared.transfer.manifest(order.manifest).is_some() {
        return Ok(());
    }
    let Some(manifest) = pinned_manifest(shared, order).await.map(Arc::new) else {
        return Ok(());
    };
    let staged = shared.engine.open_staging(&manifest).await.context("staging cannot be opened")?;
    let bits = hex::decode(&staged.bits).context("the engine's list of chunks is damaged")?;
    let is_complete = iter_set_bits(&bits, manifest.chunks.len()).count() == manifest.chunks.len();
    if is_complete {
        let held = vec![true; manifest.chunks.len()];
        shared.transfer.open(manifest, held);
    }
    Ok(())
}

impl StagingTask {
    fn new(
        shared: Arc<EndpointShared>,
        manifest: Arc<WeightManifest>,
        held: &[bool],
        origin: Option<OriginPlace>,
    ) -> Self {
        let chunk_ms = origin
            .as_ref()
            .filter(|origin| origin.bytes_per_s > 0)
            .map(|origin| f64::from(manifest.chunk_bytes) * 1_000.0 / origin.bytes_per_s as f64);
        let connections = origin.as_ref().map_or(0, |origin| origin.max_connections as usize);
        let origin_region = origin.and_then(|origin| origin.region);
        let settings = PickerSettings {
            origin_chunk_ms: chunk_ms.unwrap_or(0.0),
            in_origin_region: origin_region.as_ref() == Some(&shared.settings.place.region),
            max_origin_fetches: connections.div_ceil(ORIGIN_CONNECTION_DIVISOR),
            instance: shared.settings.place.instance.clone(),
            stall_ms: shared.settings.transfer.stall_ms,
            origin_step_ms: shared.settings.transfer.origin_step_ms,
            max_fetches_per_peer: FETCHES_PER_PEER,
            max_peer_fetches: shared.settings.transfer.download_slots,
            queue_ms: shared.settings.transfer.queue_ms,
            rescue_ms: shared.settings.transfer.rescue_ms,
            extra_copies: match shared.settings.transfer.mode {
                TransferMode::Time => shared.settings.transfer.origin_copies - 1.0,
                TransferMode::Bytes => 0.0,
            },
        };
        let mut picker = ChunkPicker::new(settings, held.len(), Timestamp::now());
        for (index, _) in held.iter().enumerate().filter(|(_, held)| **held) {
            picker.mark_held(index);
        }
        let (sender, events) = unbounded();
        Self {
            shared,
            manifest,
            origin_region,
            picker,
            clients: HashMap::new(),
            followers: HashMap::new(),
            sender,
            events,
            half: None,
            has_ended: Arc::default(),
        }
    }

    async fn run(&mut self, order: &WeightOrder) -> bool {
        self.follow_peers();
        while self.picker.missing() > 0 {
            if !self.shared.is_still_ordered(order) {
                return false;
            }
            self.start_fetches();
            self.load_staged_half();
            self.shared.metrics.missing_chunks.set(self.picker.missing() as i64);
            self.wait_and_handle().await;
        }
        self.shared.metrics.missing_chunks.set(0);
        true
    }

    /// Fetches the chunks of the own half of the layers first, if engines may load a part.
    fn prefer_half(&mut self, order: &WeightOrder) {
        let Some(range) = layers::own_half(&self.shared, order) else {
            return;
        };
        let chunks = range.chunks(self.manifest.chunks.len(), order.layers);
        self.picker.prefer(chunks.clone());
        self.half = Some(OwnHalf { range, chunks, is_loading: false });
    }

    /// Starts to load the own half if it is staged and the engine may load it.
    fn load_staged_half(&mut self) {
        let Some(half) = &mut self.half else {
            return;
        };
        let staged = self.picker.held_of(half.chunks.clone());
        layers::give_up_older_layers(&self.shared, staged, half.chunks.len());
        if staged < half.chunks.len() || half.is_loading {
            return;
        }
        let Some(order) = layers::due_order(&self.shared) else {
            return;
        };
        half.is_loading = true;
        let staging_ended = self.has_ended.clone();
        let load = HalfLoad { order, range: half.range, staging_ended };
        let (shared, sender) = (self.shared.clone(), self.sender.clone());
        // Detached: the order must not be abandoned half-way when staging ends first.
        spawn(async move {
            let outcome = load.run(&shared).await;
            let _ = sender.send(TransferEvent::HalfEnded(outcome)).await;
        })
        .detach();
    }

    fn half_ended(&mut self, outcome: HalfOutcome) {
        if let Some(half) = &mut self.half {
            half.is_loading = false;
        }
        if let HalfOutcome::Damaged(chunks) = outcome {
            for index in chunks {
                self.picker.mark_lost(index);
                self.shared.transfer.remove_chunk(self.manifest.digest, index);
            }
        }
    }

    async fn wait_and_handle(&mut self) {
        let event = async { self.events.recv().await.ok() };
        let peers = async {
            self.shared.transfer.peers_changed().await;
            None
        };
        let received = timeout(POLL_INTERVAL, event.or(peers)).await;
        self.follow_peers();
        if let Some(Some(event)) = received {
            self.handle(event);
        }
        while let Ok(event) = self.events.try_recv() {
            self.handle(event);
        }
    }

    fn follow_peers(&mut self) {
        let peers = self.shared.transfer.peers();
        // A connected peer is kept even if no entry lists it any more.
        let kept = |instance: &InstanceId| {
            self.clients.contains_key(instance)
                || peers.iter().any(|peer| peer.instance == *instance)
        };
        let removed: Vec<_> = self.followers.keys().filter(|name| !kept(name)).cloned().collect();
        for instance in removed {
            self.followers.remove(&instance);
            self.picker.remove_peer(&instance);
        }
        for peer in peers {
            let instance = peer.instance.clone();
            if self.followers.contains_key(&instance) {
                continue;
            }
            let now = Timestamp::now();
            let place = PeerLocation {
                is_remote: peer.region != self.shared.settings.place.region,
                in_origin_region: self.origin_region.as_ref() == Some(&peer.region),
            };
            self.picker.set_peer_location(&instance, place, now);
            self.picker.expect_peer(&instance, now);
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
                self.picker.peer_connected(&instance, now);
                self.clients.insert(instance, client);
            }
            TransferEvent::PeerDown(instance) => {
                self.picker.remove_peer(&instance);
                self.clients.remove(&instance);
            }
            TransferEvent::PeerHolds(instance, indices) => {
                self.picker.peer_holds(&instance, indices, now);
            }
            TransferEvent::PeerDownloads(instance, indices) => {
                self.picker.set_peer_origin_fetches(&instance, indices, now);
            }
            TransferEvent::PeerSynced(instance) => self.picker.peer_inventory_complete(&instance),
            TransferEvent::Fetched(order, outcome) => {
                self.fetch_ended(&order, outcome, now);
            }
            TransferEvent::HalfEnded(outcome) => self.half_ended(outcome),
        }
    }

    fn fetch_ended(&mut self, order: &FetchOrder, outcome: FetchEnd, now: Timestamp) {
        let took_ms = now.since(order.started_at).as_millis() as u64;
        log::info!(target: "transfer", chunk = order.index, source:? = order.source, end = outcome.as_str(), took_ms = took_ms; "A fetch ended.");
        match outcome {
            FetchEnd::Staged(bytes) => {
                self.picker.fetch_succeeded(order, now);
                self.shared.transfer.add_chunk(self.manifest.digest, order.index, bytes);
            }
            FetchEnd::Deferred => self.picker.fetch_deferred(order, now),
            FetchEnd::RateLimited(wait) => {
                self.picker.fetch_deferred(order, now);
                self.picker.back_off_origin(now.deadline_after(wait));
            }
            FetchEnd::Failed(cause) => self.picker.fetch_failed(order, cause, now),
        }
    }

    fn start_fetches(&mut self) {
        while let Some(order) = self.picker.next(Timestamp::now(), &mut rand::rng()) {
            log::info!(target: "transfer", chunk = order.index, source:? = order.source, missing = self.picker.missing(); "Started to fetch a chunk.");
            let client = match &order.source {
                ChunkSource::Peer(peer) => self.clients.get(peer).cloned(),
                ChunkSource::Origin => None,
            };
            let (shared, manifest) = (self.shared.clone(), self.manifest.clone());
            let sender = self.sender.clone();
            spawn(async move {
                let outcome = fetch(&shared, &manifest, &order, client).await;
                let _ = sender.send(TransferEvent::Fetched(order, outcome)).await;
            })
            .detach();
        }
        self.shared.transfer.set_origin_fetches(self.manifest.digest, self.picker.origin_fetches());
    }
}
