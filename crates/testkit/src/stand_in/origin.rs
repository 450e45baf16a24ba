//! Stand-in of the origin of weights.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use cassiawheel_model::{ManifestDigest, ModelVersion};
use cassiawheel_runtime::http::{ReplyBody, full_body, json_reply};
use hyper::{Response, StatusCode};

use cassiawheel_runtime::pacer::RatePacer;

use super::{RunningStandIn, empty_reply, start};
use crate::{FaultSwitches, weights::WeightImage};

/// Versions that the origin holds and what was drawn from it.
#[derive(Debug)]
pub struct OriginImages {
    images: Mutex<HashMap<ModelVersion, Arc<WeightImage>>>,
    pacer: RatePacer,
    drawn: AtomicU64,
}

impl OriginImages {
    /// An empty origin whose link carries `bytes_per_s`; zero is unlimited.
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            images: Mutex::default(),
            pacer: RatePacer::new(bytes_per_s),
            drawn: AtomicU64::new(0),
        }
    }

    /// Adds a version.
    pub fn add(&self, image: Arc<WeightImage>) {
        let mut images = self.images.lock().unwrap_or_else(|poison| poison.into_inner());
        images.insert(image.manifest.version.clone(), image);
    }

    /// Bytes of chunks sent so far.
    pub fn drawn(&self) -> u64 {
        self.drawn.load(Ordering::Relaxed)
    }

    /// Serves the versions at `addr`.
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
        let image = digest.parse().ok().and_then(|digest| self.image(digest));
        let chunk = image
            .zip(index.parse().ok())
            .and_then(|(image, index): (_, usize)| image.chunk(index).map(<[u8]>::to_vec));
        let Some(mut bytes) = chunk else {
            return empty_reply(StatusCode::NOT_FOUND);
        };
        self.pacer.pass(bytes.len()).await;
        self.drawn.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if switches.corrupts() {
            bytes[0] ^= 1;
        }
        Response::new(full_body(bytes))
    }

    fn image(&self, digest: ManifestDigest) -> Option<Arc<WeightImage>> {
        let images = self.images.lock().unwrap_or_else(|poison| poison.into_inner());
        images.values().find(|image| image.manifest.digest == digest).cloned()
    }
}
