//! Manifests that this entry passes on to agents and other entries.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cassiawheel_model::{Deadline, ManifestDigest, Timestamp, WeightManifest};

/// Manifests that are kept; versions that are named within seconds of each other.
const MAX_CACHED: usize = 4;

/// Time in which another entry is expected to send a manifest.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// The manifests that this entry has.
#[derive(Default)]
pub(crate) struct ManifestCache {
    inner: Mutex<CacheInner>,
}

#[derive(Default)]
struct CacheInner {
    /// Newest last.
    manifests: VecDeque<Arc<WeightManifest>>,
    /// The manifest that was asked for last, and until when its answer is expected.
    requested: Option<(ManifestDigest, Deadline)>,
}

impl ManifestCache {
    /// Keeps a manifest, if it is consistent.
    pub(crate) fn insert(&self, manifest: Arc<WeightManifest>) {
        if let Err(error) = manifest.verify() {
            log::warn!(target: "preset", version:% = manifest.version, cause:% = error; "A manifest that was told is dropped.");
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

    /// The manifest with `digest`, if it is held.
    pub(crate) fn find(&self, digest: ManifestDigest) -> Option<Arc<WeightManifest>> {
        self.lock().find(digest)
    }

    /// Whether to ask for a manifest now: it is missing and no answer is expected.
    ///
    /// All entries tell of a version within milliseconds; asked of each of them,
    /// the manifest would come as many times.
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
