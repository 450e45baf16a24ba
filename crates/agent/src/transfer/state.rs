//! What an agent holds and whom it tells.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use cassiawheel_model::{
    ManifestDigest, StagedWeights, WeightManifest, settings::TransferSettings,
};
use cassiawheel_runtime::pacer::RatePacer;
use cassiawheel_wire::{ChunkMessage, WireSender, message::EndpointAddress};
use smol::{
    channel::{Receiver, Sender, bounded},
    lock::Semaphore,
};

/// Transfer state that the parts of an agent share.
pub(crate) struct TransferState {
    /// Paces what is sent to other agents.
    pub(crate) upload: RatePacer,
    /// Paces what is fetched.
    pub(crate) download: RatePacer,
    /// Chunks sent at a time.
    pub(crate) upload_slots: Arc<Semaphore>,
    inner: Mutex<TransferInner>,
    wake: (Sender<()>, Receiver<()>),
    peers_changed: (Sender<()>, Receiver<()>),
}

struct TransferInner {
    images: HashMap<ManifestDigest, HeldImage>,
    current: Option<ManifestDigest>,
    cache: ChunkCache,
    watchers: Vec<WireSender>,
    peers: Vec<EndpointAddress>,
}

struct HeldImage {
    manifest: Arc<WeightManifest>,
    held: Vec<bool>,
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
            inner: Mutex::new(TransferInner {
                images: HashMap::new(),
                current: None,
                cache: ChunkCache::new(settings.cache_bytes),
                watchers: Vec::new(),
                peers: Vec::new(),
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

    /// Replaces the list of peers.
    pub(crate) fn set_peers(&self, peers: Vec<EndpointAddress>) {
        self.lock().peers = peers;
        let _ = self.peers_changed.0.try_send(());
    }

    /// The list of peers.
    pub(crate) fn peers(&self) -> Vec<EndpointAddress> {
        self.lock().peers.clone()
    }

    /// Completes when the list of peers may have changed.
    pub(crate) async fn peers_changed(&self) {
        let _ = self.peers_changed.1.recv().await;
    }

    /// Opens an image whose chunks in `held` are staged already.
    pub(crate) fn open(&self, manifest: Arc<WeightManifest>, held: Vec<bool>) {
        let mut inner = self.lock();
        inner.current = Some(manifest.digest);
        inner.images.insert(manifest.digest, HeldImage { manifest, held });
        drop(inner);
        self.announce_held();
    }

    /// Notes a verified and staged chunk and tells the watchers.
    pub(crate) fn gain(&self, manifest: ManifestDigest, index: usize, bytes: Bytes) {
        let mut inner = self.lock();
        if let Some(slot) = inner.images.get_mut(&manifest).and_then(|i| i.held.get_mut(index)) {
            *slot = true;
        }
        inner.cache.insert((manifest, index), bytes);
        let gained = ChunkMessage::Gained { manifest, index: index as u32 };
        inner.watchers.retain(|watcher| watcher.try_send(gained.clone()).is_ok());
    }

    /// Whether a chunk is held, and its bytes if they are in memory.
    pub(crate) fn find(&self, manifest: ManifestDigest, index: usize) -> Option<Option<Bytes>> {
        let inner = self.lock();
        let held = inner.images.get(&manifest)?.held.get(index).copied()?;
        held.then(|| inner.cache.chunks.get(&(manifest, index)).cloned())
    }

    /// A manifest that is known here.
    pub(crate) fn manifest(&self, digest: ManifestDigest) -> Option<Arc<WeightManifest>> {
        self.lock().images.get(&digest).map(|image| image.manifest.clone())
    }

    /// Adds a connection that is told what is held here.
    pub(crate) fn add_watcher(&self, watcher: WireSender) {
        self.lock().watchers.push(watcher);
        self.announce_held();
    }

    /// Tells all watchers what is held; repeats what a full queue swallowed.
    pub(crate) fn announce_held(&self) {
        let mut inner = self.lock();
        let messages: Vec<_> = inner
            .images
            .iter()
            .map(|(digest, image)| ChunkMessage::Held {
                manifest: *digest,
                bits: pack_bits(&image.held),
            })
            .collect();
        inner.watchers.retain(|watcher| {
            messages.iter().all(|message| watcher.try_send(message.clone()).is_ok())
        });
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

/// Packs flags into bits, least significant first.
pub(crate) fn pack_bits(flags: &[bool]) -> Vec<u8> {
    let mut bits = vec![0; flags.len().div_ceil(8)];
    for (index, _) in flags.iter().enumerate().filter(|(_, flag)| **flag) {
        bits[index / 8] |= 1 << (index % 8);
    }
    bits
}

/// Positions of the set bits below `length`.
pub(crate) fn set_positions(bits: &[u8], length: usize) -> impl Iterator<Item = usize> {
    let length = length.min(bits.len() * 8);
    (0..length).filter(move |index| bits[index / 8] & (1 << (index % 8)) != 0)
}
