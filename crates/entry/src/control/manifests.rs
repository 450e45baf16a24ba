//! Pinning the bytes of named versions.
//!
//! The origin may send damaged bytes, also of a manifest, and nothing signs
//! one. Two equal reads are taken for the real thing; damage never comes out
//! the same twice. The digest is told to the other entries, so that one of
//! them does this work.

use std::{sync::Arc, time::Duration};

use cassiawheel_model::{ManifestDigest, ModelVersion, NamedVersion, Timestamp};
use cassiawheel_runtime::timeout;
use smol::Timer;

use super::operators::take_version;
use crate::{routed::RoutedInterface, shared::EntryShared};

/// Time that each entry leaves to the one before it.
const TURN_TIME: Duration = Duration::from_millis(80);

/// First wait after a failed read; doubles with every further one.
///
/// Most reads that fail met a connection that the origin had closed while it was
/// idle. Endpoints wait for the manifest, and every tenth of a second is one in
/// which fewer of them can switch at a time.
const AGAIN_TIME: Duration = Duration::from_millis(30);

/// Longest wait after a failed read.
const LONGEST_AGAIN: Duration = Duration::from_millis(500);

/// Longest wait for a manifest of a few kilobytes.
const READ_TIME: Duration = Duration::from_millis(1_500);

/// Pins every named version for ever.
pub(crate) async fn pin_versions(shared: Arc<EntryShared>, routed: Arc<RoutedInterface>) {
    let mut wait = AGAIN_TIME;
    loop {
        if let Some(origin) = shared.origin_place() {
            shared.origin.relocate(origin.addr);
        }
        let Some(named) = first_unpinned(&routed) else {
            timeout(Duration::from_secs(1), routed.versions_changed()).await;
            continue;
        };
        Timer::after(TURN_TIME * shared.own_rank()).await;
        if first_unpinned(&routed).as_ref().map(|left| &left.version) != Some(&named.version) {
            continue;
        }
        match read_twice(&shared, &named.version).await {
            Some(manifest) => {
                wait = AGAIN_TIME;
                let pinned = NamedVersion { manifest: Some(manifest), ..named };
                take_version(&shared, &routed, &pinned);
            }
            None => {
                Timer::after(wait).await;
                wait = (wait * 2).min(LONGEST_AGAIN);
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
