//! Requests for manifests over the connections to entries.
//!
//! Entries read the manifest of a version before they order it, and agents request it
//! over their existing connections. An origin with few connections cannot serve a
//! hundred agents at once, and other agents do not have the manifest yet.

use std::{sync::Arc, time::Duration};

use cassiawheel_model::{ManifestDigest, WeightManifest};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::{ControlMessage, WireSender};
use rand::seq::IndexedRandom;
use smol::channel::{Receiver, Sender, bounded};

use crate::endpoint::EndpointShared;

/// Timeout for the reply of one entry.
///
/// A reply takes about 5 ms, or some tens of milliseconds after a start, while all
/// processes connect to each other.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of entries queried one after another: the one that sent the order, and two
/// others in case it has just failed.
const MAX_QUERIES: usize = 3;

/// Reply of an entry to a request for a manifest.
#[derive(Debug, Clone)]
pub(crate) enum ManifestReply {
    /// The requested manifest.
    Known(Arc<WeightManifest>),
    /// The entry does not have the manifest with this digest.
    Unknown(ManifestDigest),
}

/// Channel for the most recent reply of any entry.
pub(crate) struct ManifestReplies {
    replies: (Sender<ManifestReply>, Receiver<ManifestReply>),
}

impl Default for ManifestReplies {
    fn default() -> Self {
        Self { replies: bounded(1) }
    }
}

impl ManifestReplies {
    /// Stores the reply of an entry, replacing one that was not consumed.
    pub(crate) fn push(&self, reply: ManifestReply) {
        let _ = self.replies.0.force_send(reply);
    }

    /// Waits for the next reply about the manifest with `digest`; none if the entry lacks it.
    async fn reply_for(&self, digest: ManifestDigest) -> Option<Arc<WeightManifest>> {
        loop {
            match self.replies.1.recv().await.ok()? {
                ManifestReply::Known(manifest) if manifest.digest == digest => {
                    return Some(manifest);
                }
                ManifestReply::Unknown(unknown) if unknown == digest => return None,
                ManifestReply::Known(_) | ManifestReply::Unknown(_) => {}
            }
        }
    }
}

/// Requests the manifest with `digest` from a few entries; none if none of them has it.
pub(super) async fn from_entries(
    shared: &EndpointShared,
    digest: ManifestDigest,
) -> Option<WeightManifest> {
    let mut order_source = shared.order_source();
    for _ in 0..MAX_QUERIES {
        let entry = order_source.take().or_else(|| random_entry(shared))?;
        if entry.try_send(ControlMessage::ManifestWanted { manifest: digest }).is_err() {
            continue;
        }
        let reply = timeout(REPLY_TIMEOUT, shared.transfer.manifest_replies.reply_for(digest))
            .await
            .flatten();
        // A manifest that does not match its digest must not be staged.
        if let Some(manifest) = reply.filter(|manifest| manifest.verify().is_ok()) {
            return Some(manifest.as_ref().clone());
        }
    }
    None
}

fn random_entry(shared: &EndpointShared) -> Option<WireSender> {
    let entries = shared.entries();
    let open: Vec<_> = entries.iter().filter(|entry| !entry.sender.is_closed()).collect();
    open.choose(&mut rand::rng()).map(|entry| entry.sender.clone())
}
