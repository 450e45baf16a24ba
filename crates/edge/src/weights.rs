//! Sources of weights outside the system: the origin and the weight store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cassiawheel_model::{ManifestError, ModelVersion, WeightManifest};

use crate::{ClientError, EdgeFuture, MAX_REPLY_BYTES, OriginClient, ReplyBounds};

/// Why weights could not be fetched.
#[derive(Debug, Clone, thiserror::Error)]
pub enum WeightError {
    /// The version or chunk does not exist at the source.
    #[error("the version or chunk does not exist at the source")]
    NotFound,
    /// The source limits the rate.
    #[error("rate limited")]
    RateLimited {
        /// Delay before the next call, as requested by the source.
        retry_after: Duration,
    },
    /// The source is unreachable or answered with an error.
    #[error("the source failed: {0}")]
    Failed(String),
    /// The source sent a manifest that is inconsistent or differs from the pinned one.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
}

impl From<ClientError> for WeightError {
    fn from(error: ClientError) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Client of a source of weights.
pub trait WeightSource: Send + Sync {
    /// Fetches the manifest of `version` and verifies it against its own digest.
    fn manifest<'a>(
        &'a self,
        version: &'a ModelVersion,
    ) -> EdgeFuture<'a, Result<WeightManifest, WeightError>>;

    /// Fetches the chunk at `index`; the caller verifies its bytes.
    fn chunk<'a>(
        &'a self,
        manifest: &'a WeightManifest,
        index: usize,
    ) -> EdgeFuture<'a, Result<Bytes, WeightError>>;

    /// Sets the source's address, where it is configured in the preset.
    fn set_addr(&self, addr: SocketAddr);
}

/// HTTP client of a source: `GET /v1/manifests/VERSION` and `GET /v1/weights/DIGEST/INDEX`.
#[derive(Clone)]
pub struct HttpWeights {
    client: OriginClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpWeights {
    /// Creates a client of the source at `addr` with this timeout for each call.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { client: OriginClient::default(), addr, timeout }
    }

    async fn get(&self, path: String, max_bytes: usize) -> Result<Bytes, WeightError> {
        let bounds = ReplyBounds { max_wait: self.timeout, max_bytes };
        self.client.get(self.addr, &path, bounds).await
    }
}

impl WeightSource for HttpWeights {
    fn manifest<'a>(
        &'a self,
        version: &'a ModelVersion,
    ) -> EdgeFuture<'a, Result<WeightManifest, WeightError>> {
        Box::pin(async move {
            let text = self.get(format!("/v1/manifests/{version}"), MAX_REPLY_BYTES).await?;
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
        let path = format!("/v1/weights/{}/{index}", manifest.digest);
        Box::pin(self.get(path, manifest.chunk_len(index)))
    }

    fn set_addr(&self, _addr: SocketAddr) {
        // The address is configured in the settings and does not change.
    }
}
