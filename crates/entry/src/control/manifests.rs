//! Pinning the manifests of named versions.
//!
//! The origin may send damaged bytes, also for a manifest, and manifests are not signed. Two
//! identical reads are taken as correct because damage differs from read to read. The manifest is
//! sent to the other entries, so only one entry does this work and all of them can send it to
//! agents.

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::{ManifestSearch, SearchStep};
use cassiawheel_model::{ManifestDigest, ModelVersion, TargetVersion, Timestamp, WeightManifest};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::{ControlMessage, WireSender};
use smol::Timer;

use super::{operators::apply_version, peers};
use crate::{routed::RoutedState, shared::EntryShared};

/// Longest wait for a manifest of a few kilobytes.
///
/// It normally arrives within 20 ms, or a few hundred while the origin sends chunks; a longer wait
/// would occupy a connection at an origin that does not respond.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest sleep before versions announced by other entries are checked again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between checks whether the origin's address is known.
const ORIGIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Pins every named version; runs until the process ends.
pub(crate) async fn pin_versions(shared: Arc<EntryShared>, routed: Arc<RoutedState>) {
    loop {
        match newest_unpinned(&routed) {
            Some(named) => pin(&shared, &routed, &named.version).await,
            None => {
                timeout(Duration::from_secs(1), routed.versions_changed()).await;
            }
        }
    }
}

/// Pins `version`, or waits until another entry has done so or a newer one is named.
async fn pin(shared: &EntryShared, routed: &RoutedState, version: &ModelVersion) {
    let own = shared.settings.place.instance.clone();
    let mut search = ManifestSearch::new(own, version.as_str(), Timestamp::now());
    while is_unpinned(routed, version) {
        let peers: Vec<_> = shared.peers().iter().map(|(instance, _)| instance.clone()).collect();
        let step = search.next(&peers, Timestamp::now(), &mut rand::rng());
        match step {
            // The origin's address comes with the preset, which may arrive some milliseconds after
            // the version.
            SearchStep::Origin if shared.origin_place().is_none() => {
                Timer::after(ORIGIN_CHECK_INTERVAL).await;
            }
            SearchStep::Origin => {
                let requested_at = Timestamp::now();
                match read_twice(shared, version).await {
                    Some(manifest) => publish_pinned(shared, routed, version, manifest),
                    None => search.origin_failed(requested_at, None, peers.len(), Timestamp::now()),
                }
            }
            // Other entries send manifests that they have pinned without a request.
            SearchStep::Peers(_) => {}
            SearchStep::Wait(until) => {
                let span = until.remaining(Timestamp::now()).min(CHECK_INTERVAL);
                timeout(span, routed.versions_changed()).await;
            }
        }
    }
}

/// Announces the manifest of `version` to all entries.
fn publish_pinned(
    shared: &EntryShared,
    routed: &RoutedState,
    version: &ModelVersion,
    manifest: WeightManifest,
) {
    // The search may have taken seconds. With the age from before the search, an entry that learns
    // of the version only now would consider it younger and allow older versions for too long.
    let Some(named) = newest_unpinned(routed).filter(|named| named.version == *version) else {
        return;
    };
    let pinned = TargetVersion { manifest: Some(manifest.digest), ..named };
    let manifest = Arc::new(manifest);
    routed.manifests.insert(manifest.clone());
    // Sent before the version, so that receivers have it when they order the version.
    peers::send_to_peers(shared, &ControlMessage::Manifest(manifest));
    apply_version(shared, routed, &pinned, None);
}

/// Requests the manifest of a pinned version from the sender if it is needed and missing here.
pub(crate) fn request_manifest(routed: &RoutedState, sender: &WireSender, named: &TargetVersion) {
    let Some(manifest) = named.manifest else {
        return;
    };
    // The cache has no room for those of all named versions, which entries repeat to each other.
    if !routed.versions.load().may_be_fetched(&named.model, named.number) {
        return;
    }
    if routed.manifests.begin_request(manifest, Timestamp::now()) {
        let _ = sender.try_send(ControlMessage::ManifestWanted { manifest });
    }
}

/// Sends the manifest with this digest over `sender`, or reports that it is unknown.
pub(crate) fn send_manifest(
    routed: Option<&RoutedState>,
    sender: &WireSender,
    manifest: ManifestDigest,
) {
    let message = match routed.and_then(|routed| routed.manifests.find(manifest)) {
        Some(found) => ControlMessage::Manifest(found),
        None => ControlMessage::ManifestUnknown { manifest },
    };
    let _ = sender.try_send(message);
}

fn is_unpinned(routed: &RoutedState, version: &ModelVersion) -> bool {
    newest_unpinned(routed).is_some_and(|left| left.version == *version)
}

/// Returns the newest named version without a manifest, with its current age.
fn newest_unpinned(routed: &RoutedState) -> Option<TargetVersion> {
    let versions = routed.versions.load();
    let named = versions.named(Timestamp::now());
    // Endpoints have to serve the newest version; the origin may have dropped the others.
    named.into_iter().rev().find(|named| {
        let wanted = versions.newest(&named.model).map(|wanted| wanted.number);
        named.manifest.is_none() && wanted == Some(named.number)
    })
}

async fn read_twice(shared: &EntryShared, version: &ModelVersion) -> Option<WeightManifest> {
    if let Some(origin) = shared.origin_place() {
        shared.origin.set_addr(origin.addr);
    }
    let first = read_once(shared, version).await?;
    let second = read_once(shared, version).await?;
    if first.digest != second.digest {
        log::warn!(target: "preset", version:% = version; "Two reads of a manifest differ.");
        return None;
    }
    Some(first)
}

async fn read_once(shared: &EntryShared, version: &ModelVersion) -> Option<WeightManifest> {
    match timeout(READ_TIMEOUT, shared.origin.manifest(version)).await {
        Some(Ok(manifest)) => Some(manifest),
        Some(Err(error)) => {
            log::info!(target: "preset", version:% = version, cause:% = error; "Cannot read a manifest.");
            None
        }
        None => {
            log::info!(target: "preset", version:% = version; "Timed out reading a manifest.");
            None
        }
    }
}
