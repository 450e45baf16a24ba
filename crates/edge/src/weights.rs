//! Sources of weights outside the system: the origin and the weight store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cassiawheel_model::{ManifestError, ModelVersion, WeightManifest};

use crate::{ClientError, EdgeFuture, OriginClient};

/// Why weights could not be fetched.
#[derive(Debug, Clone, thiserror::Error)]
pub enum WeightError {
    /// The source has no such version or chunk.
    #[error("the source does not have it")]
    NotFound,
    /// The source asks to come back later.
    #[error("rate limited")]
    RateLimited {
        /// How long the source asks to wait.
        retry_after: Duration,
    },
    /// The source cannot be reached or answered with an error.
    #[error("the source failed: {0}")]
    Failed(String),
    /// The source sent a manifest that is inconsistent or not the pinned one.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
}

impl From<ClientError> for WeightError {
    fn from(error: ClientError) -> Self {
        Self::Failed(error.to_string())
    }
}

/// A source of weights.
pub trait WeightSource: Send + Sync {
    /// The manifest of `version`, verified against its own digest.
    fn manifest<'a>(
        &'a self,
        version: &'a ModelVersion,
    ) -> EdgeFuture<'a, Result<WeightManifest, WeightError>>;

    /// Bytes of the chunk at `index`; the caller verifies them.
    fn chunk<'a>(
        &'a self,
        manifest: &'a WeightManifest,
        index: usize,
    ) -> EdgeFuture<'a, Result<Bytes, WeightError>>;

    /// Takes up the source's address, where it comes with the preset.
    fn set_addr(&self, addr: SocketAddr);
}

/// A source over HTTP: `GET /v1/manifests/VERSION` and `GET /v1/weights/DIGEST/INDEX`.
#[derive(Clone)]
pub struct HttpWeights {
    client: OriginClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpWeights {
    /// A client of the source at `addr` that waits at most `timeout` for an answer.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { client: OriginClient::default(), addr, timeout }
    }

    async fn get(&self, path: String) -> Result<Bytes, WeightError> {
        self.client.get(self.addr, &path, self.timeout).await
    }
}

impl WeightSource for HttpWeights {
    fn manifest<'a>(
        &'a self,
        version: &'a ModelVersion,
    ) -> EdgeFuture<'a, Result<WeightManifest, WeightError>> {
        Box::pin(async move {
            let text = self.get(format!("/v1/manifests/{version}")).await?;
            let manifest: WeightManifest = serde_json::from_slice(&text)
                .map_err(|error| WeightError::Failed(error.to_string()))?;
            manifest.verify()?;
            Ok(manifest)
        })
    }

    fn chunk<'a>(
        &'a self,
        manifest: &'a WeightManifest,
        index: usize,
    ) -> EdgeFuture<'a, Result<Bytes, WeightError>> {
        Box::pin(self.get(format!("/v1/weights/{}/{index}", manifest.digest)))
    }

    fn set_addr(&self, _addr: SocketAddr) {
        // The settings name the address, and it does not change.
    }
}
