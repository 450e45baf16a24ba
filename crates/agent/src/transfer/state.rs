//! Chunks that an agent holds, and the connections that are notified of them.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use cassiawheel_model::{
    ManifestDigest, StagedWeights, Timestamp, WeightManifest, flags::pack_flags,
    settings::TransferSettings,
};
use cassiawheel_runtime::pacer::RatePacer;
use cassiawheel_wire::{ChunkMessage, WireSender, message::EndpointAddress};
use smol::{
    channel::{Receiver, Sender, bounded},
    lock::Semaphore,
};

use super::{manifest_replies::ManifestReplies, watchers::WatcherLinks};

/// Upload slots reserved for agents that import chunks for another region.
///
/// All agents of a region request a chunk from its first holder. Queued behind them, an
/// importer got its chunk after a second, and its region was idle meanwhile.
const IMPORT_SLOTS: usize = 2;

/// Transfer state shared by the tasks of an agent.
pub(crate) struct TransferState {
    /// Rate limit of uploads to other agents.
    pub(crate) upload: RatePacer,
    /// Rate limit of downloads.
    pub(crate) download: RatePacer,
    /// Limits the chunks sent at a time.
    pub(crate) upload_slots: Arc<Semaphore>,
    /// Limits the chunks sent beyond those to agents that import them for their region.
    pub(crate) import_slots: Arc<Semaphore>,
    /// Replies of entries to requests for a manifest.
    pub(crate) manifest_replies: ManifestReplies,
    inner: Mutex<TransferInner>,
    wake: (Sender<()>, Receiver<()>),
    peers_changed: (Sender<()>, Receiver<()>),
}

struct TransferInner {
    weights: HashMap<ManifestDigest, HeldWeights>,
    current: Option<ManifestDigest>,
    cache: ChunkCache,
    watchers: WatcherLinks,
    /// Lists of peers, by the address of the entry that sent them.
    peers: HashMap<SocketAddr, Vec<EndpointAddress>>,
}

struct HeldWeights {
    manifest: Arc<WeightManifest>,
    held: Vec<bool>,
    origin_fetches: Vec<u32>,
}

impl HeldWeights {
    /// Messages that describe these weights completely to another agent.
    fn messages(&self) -> [ChunkMessage; 2] {
        let manifest = self.manifest.digest;
        [
            ChunkMessage::Held { manifest, bits: pack_flags(&self.held) },
            ChunkMessage::Drawing { manifest, indices: self.origin_fetches.clone() },
        ]
    }
}

/// Cache of verified chunks in memory; evicts the oldest first.
struct ChunkCache {
    capacity: u64,
    used: u64,
    chunks: HashMap<(ManifestDigest, usize), Bytes>,
    order: VecDeque<(ManifestDigest, usize)>,
}

impl TransferState {
    /// Creates the state of a process that holds no chunks.
    pub(crate) fn new(settings: &TransferSettings) -> Self {
        let share = 1.0 - settings.live_share;
        let rate = (settings.link_bytes_per_s as f64 * share) as u64;
        Self {
            upload: RatePacer::new(rate),
            download: RatePacer::new(rate),
            upload_slots: Arc::new(Semaphore::new(settings.upload_slots)),
            import_slots: Arc::new(Semaphore::new(IMPORT_SLOTS)),
            manifest_replies: ManifestReplies::default(),
            inner: Mutex::new(TransferInner {
                weights: HashMap::new(),
                current: None,
                cache: ChunkCache::new(settings.cache_bytes),
                watchers: WatcherLinks::default(),
                peers: HashMap::new(),
            }),
            wake: bounded(1),
            peers_changed: bounded(1),
        }
    }

    fn lock(&self) -> MutexGuard<'_, TransferInner> {
        self.inner.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Wakes the task that carries out orders.
    pub(crate) fn wake(&self) {
        let _ = self.wake.0.try_send(());
    }

    /// Completes after the next [`Self::wake`].
    pub(crate) async fn await_wake(&self) {
        let _ = self.wake.1.recv().await;
    }

    /// Replaces the list of peers that `entry` sent.
    pub(crate) fn set_peers(&self, entry: SocketAddr, peers: Vec<EndpointAddress>) {
        self.lock().peers.insert(entry, peers);
        let _ = self.peers_changed.0.try_send(());
    }

    /// Removes the list of a disconnected entry, unless it is the only list.
    pub(crate) fn remove_peers_from(&self, entry: SocketAddr) {
        let mut inner = self.lock();
        if inner.peers.len() > 1 {
            inner.peers.remove(&entry);
        }
    }

    /// Returns the union of the peers listed by the entries, each of which lists a part.
    pub(crate) fn peers(&self) -> Vec<EndpointAddress> {
        let inner = self.lock();
        let listed = inner.peers.values().flatten();
        let by_name: BTreeMap<_, _> = listed.map(|peer| (&peer.instance, peer)).collect();
        by_name.into_values().cloned().collect()
    }

    /// Whether an entry has sent a list of peers.
    pub(crate) fn has_peers(&self) -> bool {
        !self.lock().peers.is_empty()
    }

    /// Completes when the list of peers may have changed.
    pub(crate) async fn peers_changed(&self) {
        let _ = self.peers_changed.1.recv().await;
    }

    /// Adds a manifest whose chunks flagged in `held` are staged, and notifies the watchers.
    pub(crate) fn open(&self, manifest: Arc<WeightManifest>, held: Vec<bool>) {
        let mut inner = self.lock();
        inner.current = Some(manifest.digest);
        inner
            .weights
            .insert(manifest.digest, HeldWeights { manifest, held, origin_fetches: Vec::new() });
        let messages: Vec<_> = inner.weights.values().flat_map(HeldWeights::messages).collect();
        for message in &messages {
            inner.watchers.send(message);
        }
    }

    /// Marks a verified chunk as staged and notifies the watchers.
    pub(crate) fn add_chunk(&self, manifest: ManifestDigest, index: usize, bytes: Bytes) {
        let mut inner = self.lock();
        if let Some(slot) = inner.weights.get_mut(&manifest).and_then(|i| i.held.get_mut(index)) {
            *slot = true;
        }
        inner.cache.insert((manifest, index), bytes);
        let gained = ChunkMessage::Gained { manifest, index: index as u32 };
        inner.watchers.send(&gained);
    }

    /// Marks a chunk as not staged, so that it is not sent to other agents.
    pub(crate) fn remove_chunk(&self, manifest: ManifestDigest, index: usize) {
        let mut inner = self.lock();
        if let Some(slot) = inner.weights.get_mut(&manifest).and_then(|i| i.held.get_mut(index)) {
            *slot = false;
        }
    }

    /// Sets which chunks are being fetched from the origin; notifies the watchers of a change.
    pub(crate) fn set_origin_fetches(&self, manifest: ManifestDigest, origin_fetches: Vec<usize>) {
        let indices: Vec<_> = origin_fetches.into_iter().map(|index| index as u32).collect();
        let mut inner = self.lock();
        let Some(weights) = inner.weights.get_mut(&manifest) else {
            return;
        };
        if weights.origin_fetches == indices {
            return;
        }
        weights.origin_fetches.clone_from(&indices);
        let message = ChunkMessage::Drawing { manifest, indices };
        inner.watchers.send(&message);
    }

    /// Looks up a chunk: none if it is not held, `Some(None)` if it is held but not cached.
    pub(crate) fn find_chunk(
        &self,
        manifest: ManifestDigest,
        index: usize,
    ) -> Option<Option<Bytes>> {
        let inner = self.lock();
        let held = inner.weights.get(&manifest)?.held.get(index).copied()?;
        held.then(|| inner.cache.chunks.get(&(manifest, index)).cloned())
    }

    /// Length of a held chunk in bytes; none if it is not held.
    pub(crate) fn held_chunk_len(&self, manifest: ManifestDigest, index: usize) -> Option<usize> {
        let inner = self.lock();
        let weights = inner.weights.get(&manifest)?;
        let held = weights.held.get(index).copied()?;
        held.then(|| weights.manifest.chunks[index].bytes as usize)
    }

    /// Finds chunks of `wanted` that are held under other manifests, by their digests.
    pub(crate) fn shared_chunks(&self, wanted: &WeightManifest) -> Vec<SharedChunk> {
        let inner = self.lock();
        let others =
            inner.weights.values().filter(|weights| weights.manifest.digest != wanted.digest);
        let places: HashMap<_, _> = others
            .flat_map(|weights| {
                let held = weights.manifest.chunks.iter().enumerate();
                let held = held.filter(|(index, _)| weights.held[*index]);
                held.map(|(index, chunk)| (chunk.digest, (weights.manifest.digest, index)))
            })
            .collect();
        let chunks = wanted.chunks.iter().enumerate();
        let shared = chunks.filter_map(|(index, chunk)| {
            let (manifest, held_index) = places.get(&chunk.digest).copied()?;
            Some(SharedChunk { index, manifest, held_index })
        });
        shared.collect()
    }

    /// Removes manifests that are not in `keep`, with their cached chunks.
    pub(crate) fn keep_only(&self, keep: &[ManifestDigest]) {
        let mut inner = self.lock();
        inner.weights.retain(|digest, _| keep.contains(digest));
        inner.cache.keep_only(keep);
    }

    /// Returns the manifest with this digest if its weights are held or being fetched.
    pub(crate) fn manifest(&self, digest: ManifestDigest) -> Option<Arc<WeightManifest>> {
        self.lock().weights.get(&digest).map(|weights| weights.manifest.clone())
    }

    /// Adds a connection that is notified of held chunks, and sends it the current state.
    pub(crate) fn add_watcher(&self, watcher: WireSender) {
        let mut inner = self.lock();
        let messages = inner.weights.values().flat_map(HeldWeights::messages);
        let messages: Vec<_> = messages.chain([ChunkMessage::ToldAll]).collect();
        inner.watchers.add(watcher, &messages, Timestamp::now());
    }

    /// Resends the held chunks to the watchers that are due for it.
    pub(crate) fn resend_holdings(&self) {
        let mut inner = self.lock();
        let messages: Vec<_> = inner.weights.values().flat_map(HeldWeights::messages).collect();
        inner.watchers.resend(&messages, Timestamp::now());
    }

    /// Progress of the weights opened last, for reports.
    pub(crate) fn staged(&self) -> Option<StagedWeights> {
        let inner = self.lock();
        let weights = inner.weights.get(&inner.current?)?;
        Some(StagedWeights {
            version: weights.manifest.version.clone(),
            manifest: weights.manifest.digest,
            chunks_ready: weights.held.iter().filter(|held| **held).count() as u32,
            chunks_total: weights.held.len() as u32,
        })
    }
}

/// A wanted chunk that is held under another manifest.
pub(crate) struct SharedChunk {
    /// Index of the chunk in the wanted manifest.
    pub(crate) index: usize,
    /// Digest of the manifest under which the chunk is held.
    pub(crate) manifest: ManifestDigest,
    /// Index of the chunk in that manifest.
    pub(crate) held_index: usize,
}

impl ChunkCache {
    fn new(capacity: u64) -> Self {
        Self { capacity, used: 0, chunks: HashMap::new(), order: VecDeque::new() }
    }

    fn insert(&mut self, key: (ManifestDigest, usize), bytes: Bytes) {
        self.used += bytes.len() as u64;
        if let Some(old) = self.chunks.insert(key, bytes) {
            self.used -= old.len() as u64;
        } else {
            self.order.push_back(key);
        }
        self.shrink();
    }

    fn keep_only(&mut self, keep: &[ManifestDigest]) {
        let chunks = &mut self.chunks;
        self.order.retain(|key| keep.contains(&key.0));
        chunks.retain(|key, _| keep.contains(&key.0));
        self.used = chunks.values().map(|bytes| bytes.len() as u64).sum();
    }

    fn shrink(&mut self) {
        while self.used > self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(dropped) = self.chunks.remove(&oldest) {
                self.used -= dropped.len() as u64;
            }
        }
    }
}
