//! What an agent holds and whom it tells.

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

use super::{told::ToldManifest, watchers::WatcherLinks};

/// Chunks that an agent sends to importers beside all others.
///
/// The first holder of a chunk is asked by its whole region; behind that crowd
/// an importer got its chunk after a second, and its region stood idle meanwhile.
const IMPORT_SLOTS: usize = 2;

/// Transfer state that the parts of an agent share.
pub(crate) struct TransferState {
    /// Paces what is sent to other agents.
    pub(crate) upload: RatePacer,
    /// Paces what is fetched.
    pub(crate) download: RatePacer,
    /// Chunks sent at a time.
    pub(crate) upload_slots: Arc<Semaphore>,
    /// Chunks sent at a time beyond those, to agents that import them for their region.
    pub(crate) import_slots: Arc<Semaphore>,
    /// What entries say of manifests.
    pub(crate) told: ToldManifest,
    inner: Mutex<TransferInner>,
    wake: (Sender<()>, Receiver<()>),
    peers_changed: (Sender<()>, Receiver<()>),
}

struct TransferInner {
    images: HashMap<ManifestDigest, HeldImage>,
    current: Option<ManifestDigest>,
    cache: ChunkCache,
    watchers: WatcherLinks,
    /// Lists of peers by the entry that sent them.
    peers: HashMap<SocketAddr, Vec<EndpointAddress>>,
}

struct HeldImage {
    manifest: Arc<WeightManifest>,
    held: Vec<bool>,
    drawing: Vec<u32>,
}

impl HeldImage {
    /// All that another agent has to know of this image.
    fn messages(&self) -> [ChunkMessage; 2] {
        let manifest = self.manifest.digest;
        [
            ChunkMessage::Held { manifest, bits: pack_flags(&self.held) },
            ChunkMessage::Drawing { manifest, indices: self.drawing.clone() },
        ]
    }
}

/// Verified chunks kept in memory, the oldest dropped first.
struct ChunkCache {
    capacity: u64,
    used: u64,
    chunks: HashMap<(ManifestDigest, usize), Bytes>,
    order: VecDeque<(ManifestDigest, usize)>,
}

impl TransferState {
    /// The state of a process that holds nothing.
    pub(crate) fn new(settings: &TransferSettings) -> Self {
        let share = 1.0 - settings.live_share;
        let rate = (settings.link_bytes_per_s as f64 * share) as u64;
        Self {
            upload: RatePacer::new(rate),
            download: RatePacer::new(rate),
            upload_slots: Arc::new(Semaphore::new(settings.upload_slots)),
            import_slots: Arc::new(Semaphore::new(IMPORT_SLOTS)),
            told: ToldManifest::default(),
            inner: Mutex::new(TransferInner {
                images: HashMap::new(),
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

    /// Tells the task that follows the preset to look again.
    pub(crate) fn wake(&self) {
        let _ = self.wake.0.try_send(());
    }

    /// Completes after the next [`Self::wake`].
    pub(crate) async fn woken(&self) {
        let _ = self.wake.1.recv().await;
    }

    /// Replaces the list of peers that `entry` sent.
    pub(crate) fn set_peers(&self, entry: SocketAddr, peers: Vec<EndpointAddress>) {
        self.lock().peers.insert(entry, peers);
        let _ = self.peers_changed.0.try_send(());
    }

    /// Forgets the list of an entry that is gone, unless it is the only one.
    pub(crate) fn forget_peers_of(&self, entry: SocketAddr) {
        let mut inner = self.lock();
        if inner.peers.len() > 1 {
            inner.peers.remove(&entry);
        }
    }

    /// All peers that entries list; each entry knows a part of them.
    pub(crate) fn peers(&self) -> Vec<EndpointAddress> {
        let inner = self.lock();
        let listed = inner.peers.values().flatten();
        let by_name: BTreeMap<_, _> = listed.map(|peer| (&peer.instance, peer)).collect();
        by_name.into_values().cloned().collect()
    }

    /// Whether an entry has sent a list of peers.
    pub(crate) fn knows_peers(&self) -> bool {
        !self.lock().peers.is_empty()
    }

    /// Completes when the list of peers may have changed.
    pub(crate) async fn peers_changed(&self) {
        let _ = self.peers_changed.1.recv().await;
    }

    /// Opens an image whose chunks in `held` are staged already.
    pub(crate) fn open(&self, manifest: Arc<WeightManifest>, held: Vec<bool>) {
        let mut inner = self.lock();
        inner.current = Some(manifest.digest);
        inner.images.insert(manifest.digest, HeldImage { manifest, held, drawing: Vec::new() });
        let messages: Vec<_> = inner.images.values().flat_map(HeldImage::messages).collect();
        for message in &messages {
            inner.watchers.tell(message);
        }
    }

    /// Notes a verified and staged chunk and tells the watchers.
    pub(crate) fn gain(&self, manifest: ManifestDigest, index: usize, bytes: Bytes) {
        let mut inner = self.lock();
        if let Some(slot) = inner.images.get_mut(&manifest).and_then(|i| i.held.get_mut(index)) {
            *slot = true;
        }
        inner.cache.insert((manifest, index), bytes);
        let gained = ChunkMessage::Gained { manifest, index: index as u32 };
        inner.watchers.tell(&gained);
    }

    /// Tells the watchers which chunks are drawn from the origin, if that changed.
    pub(crate) fn draw(&self, manifest: ManifestDigest, drawing: Vec<usize>) {
        let indices: Vec<_> = drawing.into_iter().map(|index| index as u32).collect();
        let mut inner = self.lock();
        let Some(image) = inner.images.get_mut(&manifest) else {
            return;
        };
        if image.drawing == indices {
            return;
        }
        image.drawing.clone_from(&indices);
        let message = ChunkMessage::Drawing { manifest, indices };
        inner.watchers.tell(&message);
    }

    /// Whether a chunk is held, and its bytes if they are in memory.
    pub(crate) fn find(&self, manifest: ManifestDigest, index: usize) -> Option<Option<Bytes>> {
        let inner = self.lock();
        let held = inner.images.get(&manifest)?.held.get(index).copied()?;
        held.then(|| inner.cache.chunks.get(&(manifest, index)).cloned())
    }

    /// Length of a chunk that is held.
    pub(crate) fn held_bytes(&self, manifest: ManifestDigest, index: usize) -> Option<usize> {
        let inner = self.lock();
        let image = inner.images.get(&manifest)?;
        let held = image.held.get(index).copied()?;
        held.then(|| image.manifest.chunks[index].bytes as usize)
    }

    /// Where chunks with the digests of `wanted` are held under other manifests.
    pub(crate) fn held_elsewhere(&self, wanted: &WeightManifest) -> Vec<SharedChunk> {
        let inner = self.lock();
        let others = inner.images.values().filter(|image| image.manifest.digest != wanted.digest);
        let places: HashMap<_, _> = others
            .flat_map(|image| {
                let held = image.manifest.chunks.iter().enumerate();
                let held = held.filter(|(index, _)| image.held[*index]);
                held.map(|(index, chunk)| (chunk.digest, (image.manifest.digest, index)))
            })
            .collect();
        let chunks = wanted.chunks.iter().enumerate();
        let shared = chunks.filter_map(|(index, chunk)| {
            let (manifest, held_index) = places.get(&chunk.digest).copied()?;
            Some(SharedChunk { index, manifest, held_index })
        });
        shared.collect()
    }

    /// Forgets the images that `keep` does not name, with their chunks in memory.
    pub(crate) fn keep_only(&self, keep: &[ManifestDigest]) {
        let mut inner = self.lock();
        inner.images.retain(|digest, _| keep.contains(digest));
        inner.cache.keep_only(keep);
    }

    /// A manifest that is known here.
    pub(crate) fn manifest(&self, digest: ManifestDigest) -> Option<Arc<WeightManifest>> {
        self.lock().images.get(&digest).map(|image| image.manifest.clone())
    }

    /// Adds a connection that is told what is held here.
    pub(crate) fn add_watcher(&self, watcher: WireSender) {
        let mut inner = self.lock();
        let told = inner.images.values().flat_map(HeldImage::messages);
        let told: Vec<_> = told.chain([ChunkMessage::ToldAll]).collect();
        inner.watchers.add(watcher, &told, Timestamp::now());
    }

    /// Repeats what is held to the watchers that may lack it.
    pub(crate) fn resend_holdings(&self) {
        let mut inner = self.lock();
        let messages: Vec<_> = inner.images.values().flat_map(HeldImage::messages).collect();
        inner.watchers.repeat(&messages, Timestamp::now());
    }

    /// Progress of the newest image, for reports.
    pub(crate) fn staged(&self) -> Option<StagedWeights> {
        let inner = self.lock();
        let image = inner.images.get(&inner.current?)?;
        Some(StagedWeights {
            version: image.manifest.version.clone(),
            manifest: image.manifest.digest,
            chunks_ready: image.held.iter().filter(|held| **held).count() as u32,
            chunks_total: image.held.len() as u32,
        })
    }
}

/// A wanted chunk that is held under another manifest.
pub(crate) struct SharedChunk {
    /// Its position in the wanted manifest.
    pub(crate) index: usize,
    /// The manifest under which it is held.
    pub(crate) manifest: ManifestDigest,
    /// Its position there.
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
