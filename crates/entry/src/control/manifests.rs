//! Pinning the bytes of named versions.
//!
//! The origin may send damaged bytes, also of a manifest, and nothing signs
//! one. Two equal reads are taken for the real thing; damage never comes out
//! the same twice. The manifest is told to the other entries, so that one of
//! them does this work, and all of them pass it on to agents.

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
/// It is there within some 20 ms, or some hundred while chunks leave the origin;
/// a longer wait holds a connection at an origin that is silent.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait before the others' word of a version is looked for again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between looks whether the origin's address is known.
const ORIGIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Pins every named version for ever.
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
            // It comes with the preset, which may be some milliseconds behind the versions.
            SearchStep::Origin if shared.origin_place().is_none() => {
                Timer::after(ORIGIN_CHECK_INTERVAL).await;
            }
            SearchStep::Origin => {
                let asked_at = Timestamp::now();
                match read_twice(shared, version).await {
                    Some(manifest) => publish_pinned(shared, routed, version, manifest),
                    None => search.origin_failed(asked_at, None, peers.len(), Timestamp::now()),
                }
            }
            // The others tell what they have pinned without being asked.
            SearchStep::Peers(_) => {}
            SearchStep::Wait(until) => {
                let span = until.remaining(Timestamp::now()).min(CHECK_INTERVAL);
                timeout(span, routed.versions_changed()).await;
            }
        }
    }
}

/// Tells everybody which bytes `version` consists of.
fn publish_pinned(
    shared: &EntryShared,
    routed: &RoutedState,
    version: &ModelVersion,
    manifest: WeightManifest,
) {
    // The search may have taken seconds. Told with the age that the version had
    // before it, an entry that hears of it only now would take it for younger and
    // let older ones answer for too long.
    let Some(named) = newest_unpinned(routed).filter(|named| named.version == *version) else {
        return;
    };
    let pinned = TargetVersion { manifest: Some(manifest.digest), ..named };
    let manifest = Arc::new(manifest);
    routed.manifests.insert(manifest.clone());
    // Goes before the version, so that whoever orders it has it.
    peers::send_to_peers(shared, &ControlMessage::Manifest(manifest));
    apply_version(shared, routed, &pinned);
}

/// Asks whoever told of a pinned version for its manifest, if it is missing here.
pub(crate) fn request_manifest(routed: &RoutedState, sender: &WireSender, named: &TargetVersion) {
    let Some(manifest) = named.manifest else {
        return;
    };
    if routed.manifests.begin_request(manifest, Timestamp::now()) {
        let _ = sender.try_send(ControlMessage::ManifestWanted { manifest });
    }
}

/// Tells the process at the other end of `sender` the manifest with this digest.
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

/// The newest named version whose bytes are not known, as old as it is now.
fn newest_unpinned(routed: &RoutedState) -> Option<TargetVersion> {
    let versions = routed.versions.load();
    let named = versions.named(Timestamp::now());
    // The newest one is what endpoints have to serve; the origin may have
    // dropped the others.
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
            log::info!(target: "preset", version:% = version, cause:% = error; "A manifest cannot be read.");
            None
        }
        None => {
            log::info!(target: "preset", version:% = version; "A manifest takes too long.");
            None
        }
    }
}
