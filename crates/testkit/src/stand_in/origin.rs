//! Stand-in of the origin, from which agents fetch manifests and chunks of weights.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use cassiawheel_model::{ManifestDigest, ModelVersion};
use cassiawheel_runtime::http::{ReplyBody, full_body, json_reply};
use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};

use cassiawheel_runtime::pacer::RatePacer;

use super::{RunningStandIn, empty_reply, start};
use crate::{FaultSwitches, weights::WeightImage};

/// Versions that the origin holds, and counts of the chunks that it has sent.
#[derive(Debug)]
pub struct OriginImages {
    images: Mutex<HashMap<ModelVersion, Arc<WeightImage>>>,
    pacer: RatePacer,
    sent_bytes: AtomicU64,
    calls: AtomicU64,
    send_counts: Mutex<HashMap<ChunkPlace, u64>>,
    faults: OriginFaults,
}

/// Manifest of a version and the index of a chunk in it.
type ChunkPlace = (ManifestDigest, usize);

/// Faults that are injected into answers; each `_every` field is a period in calls, and
/// zero turns the fault off.
#[derive(Debug, Default)]
struct OriginFaults {
    corrupt_every: AtomicU64,
    shorten_every: AtomicU64,
    limit_every: AtomicU64,
    limited: AtomicU64,
    corrupt_manifests: AtomicBool,
}

/// Fault of one answer with a chunk.
enum ChunkFault {
    None,
    Corrupt,
    Short,
}

/// `Retry-After` of a refusal with 429, in seconds.
const RETRY_AFTER_S: u64 = 1;

impl OriginFaults {
    /// Fault of the call with this number. It depends on nothing else, so the share of
    /// faults is the same in every run.
    fn of_chunk(&self, number: u64) -> ChunkFault {
        let hits = |every: &AtomicU64| {
            let every = every.load(Ordering::Relaxed);
            every > 0 && number.is_multiple_of(every)
        };
        if hits(&self.corrupt_every) {
            ChunkFault::Corrupt
        } else if hits(&self.shorten_every) {
            ChunkFault::Short
        } else {
            ChunkFault::None
        }
    }
}

impl OriginImages {
    /// An origin without versions that sends at most `bytes_per_s`; zero is unlimited.
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            images: Mutex::default(),
            pacer: RatePacer::new(bytes_per_s),
            sent_bytes: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            send_counts: Mutex::default(),
            faults: OriginFaults::default(),
        }
    }

    /// Flips a bit in every `every`-th chunk; zero turns this off.
    pub fn corrupt_every(&self, every: u64) {
        self.faults.corrupt_every.store(every, Ordering::Relaxed);
    }

    /// Truncates every `every`-th chunk to half its length; zero turns this off.
    pub fn shorten_every(&self, every: u64) {
        self.faults.shorten_every.store(every, Ordering::Relaxed);
    }

    /// Refuses every `every`-th request for a chunk with 429; zero turns this off.
    pub fn limit_every(&self, every: u64) {
        self.faults.limit_every.store(every, Ordering::Relaxed);
    }

    /// Sends manifests whose chunks do not match their digest.
    pub fn corrupt_manifests(&self, on: bool) {
        self.faults.corrupt_manifests.store(on, Ordering::Relaxed);
    }

    /// Number of requests refused with 429 so far.
    pub fn limited(&self) -> u64 {
        self.faults.limited.load(Ordering::Relaxed)
    }

    /// Number of times that the chunk at `index` of `manifest` was sent.
    pub fn send_count(&self, manifest: ManifestDigest, index: usize) -> u64 {
        let counts = self.send_counts.lock().unwrap_or_else(|poison| poison.into_inner());
        counts.get(&(manifest, index)).copied().unwrap_or(0)
    }

    /// Adds a version, or replaces the one of the same name.
    pub fn add(&self, image: Arc<WeightImage>) {
        let mut images = self.images.lock().unwrap_or_else(|poison| poison.into_inner());
        images.insert(image.manifest.version.clone(), image);
    }

    /// Total size of the chunks sent so far, in bytes.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Serves manifests and chunks at `addr`.
    pub async fn serve(
        self: &Arc<Self>,
        addr: SocketAddr,
        switches: Arc<FaultSwitches>,
    ) -> std::io::Result<RunningStandIn> {
        let origin = self.clone();
        let chunk_switches = switches.clone();
        start(addr, switches, move |request| {
            let (origin, switches) = (origin.clone(), chunk_switches.clone());
            async move { origin.handle(request.uri().path(), &switches).await }
        })
        .await
    }

    async fn handle(&self, path: &str, switches: &FaultSwitches) -> Response<ReplyBody> {
        let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
        match parts.as_slice() {
            ["v1", "manifests", version] => self.manifest(version),
            ["v1", "weights", digest, index] => self.chunk(digest, index, switches).await,
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }

    fn manifest(&self, version: &str) -> Response<ReplyBody> {
        let images = self.images.lock().unwrap_or_else(|poison| poison.into_inner());
        match images.get(version) {
            Some(image) if self.faults.corrupt_manifests.load(Ordering::Relaxed) => {
                let mut manifest = image.manifest.clone();
                manifest.chunks.reverse();
                json_reply(StatusCode::OK, &manifest)
            }
            Some(image) => json_reply(StatusCode::OK, &image.manifest),
            None => empty_reply(StatusCode::NOT_FOUND),
        }
    }

    async fn chunk(
        &self,
        digest: &str,
        index: &str,
        switches: &FaultSwitches,
    ) -> Response<ReplyBody> {
        let place = digest.parse().ok().zip(index.parse().ok());
        let chunk = place.and_then(|(digest, index): ChunkPlace| {
            let image = self.image(digest)?;
            image.chunk(index).map(|bytes| ((digest, index), bytes.to_vec()))
        });
        let Some((place, mut bytes)) = chunk else {
            return empty_reply(StatusCode::NOT_FOUND);
        };
        let number = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        let limit = self.faults.limit_every.load(Ordering::Relaxed);
        if limit > 0 && number.is_multiple_of(limit) {
            self.faults.limited.fetch_add(1, Ordering::Relaxed);
            return limited_reply();
        }
        self.pacer.acquire(bytes.len()).await;
        self.record_send(place, bytes.len());
        match self.faults.of_chunk(number) {
            ChunkFault::Corrupt => bytes[0] ^= 1,
            ChunkFault::Short => bytes.truncate(bytes.len() / 2),
            ChunkFault::None if switches.corrupts() => bytes[0] ^= 1,
            ChunkFault::None => {}
        }
        Response::new(full_body(bytes))
    }

    fn record_send(&self, place: ChunkPlace, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        let mut counts = self.send_counts.lock().unwrap_or_else(|poison| poison.into_inner());
        *counts.entry(place).or_insert(0) += 1;
    }

    fn image(&self, digest: ManifestDigest) -> Option<Arc<WeightImage>> {
        let images = self.images.lock().unwrap_or_else(|poison| poison.into_inner());
        images.values().find(|image| image.manifest.digest == digest).cloned()
    }
}

fn limited_reply() -> Response<ReplyBody> {
    let mut reply = empty_reply(StatusCode::TOO_MANY_REQUESTS);
    reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    reply
}
