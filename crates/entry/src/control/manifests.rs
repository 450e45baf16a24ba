//! Pinning the bytes of named versions.
//!
//! The origin may send damaged bytes, also of a manifest, and nothing signs
//! one. Two equal reads are taken for the real thing; damage never comes out
//! the same twice. The digest is told to the other entries, so that one of
//! them does this work.

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::{ManifestSearch, SearchStep};
use cassiawheel_model::{ManifestDigest, ModelVersion, NamedVersion, Timestamp};
use cassiawheel_runtime::timeout;

use super::operators::take_version;
use crate::{routed::RoutedInterface, shared::EntryShared};

/// Longest wait for a manifest of a few kilobytes.
///
/// It is there within some 20 ms, or some hundred while chunks leave the origin;
/// a longer wait holds a connection at an origin that is silent.
const READ_TIME: Duration = Duration::from_secs(1);

/// Longest wait before the others' word of a version is looked for again.
const TICK: Duration = Duration::from_millis(250);

/// Pins every named version for ever.
pub(crate) async fn pin_versions(shared: Arc<EntryShared>, routed: Arc<RoutedInterface>) {
    loop {
        match first_unpinned(&routed) {
            Some(named) => pin(&shared, &routed, &named).await,
            None => {
                timeout(Duration::from_secs(1), routed.versions_changed()).await;
            }
        }
    }
}

/// Pins `named`, or waits until another entry has done so or a newer version is named.
async fn pin(shared: &EntryShared, routed: &RoutedInterface, named: &NamedVersion) {
    let own = shared.settings.place.instance.clone();
    let mut search = ManifestSearch::new(own, named.version.as_str(), Timestamp::now());
    while first_unpinned(routed).is_some_and(|left| left.version == named.version) {
        let peers: Vec<_> = shared.peers().iter().map(|(instance, _)| instance.clone()).collect();
        let step = search.next(&peers, Timestamp::now(), &mut rand::rng());
        match step {
            SearchStep::Origin => {
                let asked_at = Timestamp::now();
                match read_twice(shared, &named.version).await {
                    Some(manifest) => {
                        let pinned = NamedVersion { manifest: Some(manifest), ..named.clone() };
                        take_version(shared, routed, &pinned);
                    }
                    None => search.origin_failed(asked_at, None, peers.len(), Timestamp::now()),
                }
            }
            // The others tell what they have pinned without being asked.
            SearchStep::Others(_) => {}
            SearchStep::Wait(until) => {
                let span = until.remaining(Timestamp::now()).min(TICK);
                timeout(span, routed.versions_changed()).await;
            }
        }
    }
}

fn first_unpinned(routed: &RoutedInterface) -> Option<NamedVersion> {
    let versions = routed.versions.load();
    let named = versions.named(Timestamp::now());
    // The newest one is what endpoints have to serve; the origin may have
    // dropped the others.
    named.into_iter().rev().find(|named| {
        let wanted = versions.wanted(&named.model).map(|wanted| wanted.number);
        named.manifest.is_none() && wanted == Some(named.number)
    })
}

async fn read_twice(shared: &EntryShared, version: &ModelVersion) -> Option<ManifestDigest> {
    if let Some(origin) = shared.origin_place() {
        shared.origin.relocate(origin.addr);
    }
    let first = read_once(shared, version).await?;
    let second = read_once(shared, version).await?;
    if first != second {
        log::warn!(target: "preset", version:% = version; "Two reads of a manifest differ.");
        return None;
    }
    Some(first)
}

async fn read_once(shared: &EntryShared, version: &ModelVersion) -> Option<ManifestDigest> {
    match timeout(READ_TIME, shared.origin.manifest(version)).await {
        Some(Ok(manifest)) => Some(manifest.digest),
        Some(Err(error)) => {
            log::info!(target: "preset", version:% = version, cause:% = error; "A manifest cannot be read.");
            None
        }
        None => {
            log::info!(target: "preset", version:% = version; "A manifest takes too long.");
            None
        }
    }
}
