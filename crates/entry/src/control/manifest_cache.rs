//! Cache of the manifests that this entry sends to agents and other entries.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cassiawheel_model::{Deadline, ManifestDigest, Timestamp, WeightManifest};

/// Maximum number of cached manifests.
const MAX_CACHED: usize = 16;

/// Time within which another entry is expected to send a manifest.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// Manifests that this entry holds.
#[derive(Default)]
pub(crate) struct ManifestCache {
    inner: Mutex<CacheInner>,
}

#[derive(Default)]
struct CacheInner {
    /// Manifests in order of arrival, newest last.
    manifests: VecDeque<Arc<WeightManifest>>,
    /// The manifest requested last, and the deadline for its reply.
    requested: Option<(ManifestDigest, Deadline)>,
}

impl ManifestCache {
    /// Adds a manifest if it is consistent.
    pub(crate) fn insert(&self, manifest: Arc<WeightManifest>) {
        if let Err(error) = manifest.verify() {
            log::warn!(target: "preset", version:% = manifest.version, cause:% = error; "Dropped an inconsistent manifest.");
            return;
        }
        let mut inner = self.lock();
        if inner.find(manifest.digest).is_some() {
            return;
        }
        inner.manifests.push_back(manifest);
        if inner.manifests.len() > MAX_CACHED {
            inner.manifests.pop_front();
        }
    }

    /// Returns the manifest with `digest` if it is cached.
    pub(crate) fn find(&self, digest: ManifestDigest) -> Option<Arc<WeightManifest>> {
        self.lock().find(digest)
    }

    /// Whether to request a manifest now: it is missing and no reply is expected.
    ///
    /// All entries announce a version within milliseconds. With one request to each of them, the
    /// manifest would arrive as many times.
    pub(crate) fn begin_request(&self, digest: ManifestDigest, now: Timestamp) -> bool {
        let mut inner = self.lock();
        let is_expected = inner
            .requested
            .is_some_and(|(requested, until)| requested == digest && !until.is_past(now));
        if is_expected || inner.find(digest).is_some() {
            return false;
        }
        inner.requested = Some((digest, now.deadline_after(REPLY_TIMEOUT)));
        true
    }

    fn lock(&self) -> MutexGuard<'_, CacheInner> {
        self.inner.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

impl CacheInner {
    fn find(&self, digest: ManifestDigest) -> Option<Arc<WeightManifest>> {
        self.manifests.iter().find(|manifest| manifest.digest == digest).cloned()
    }
}
