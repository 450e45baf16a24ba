//! Manifests as entries tell them.
//!
//! The entries have read what a version consists of before they order it. An
//! agent asks them over the connection that it has anyway: at an origin with few
//! connections a hundred agents would crowd each other out, and other agents
//! know nothing yet.

use std::{sync::Arc, time::Duration};

use cassiawheel_model::{ManifestDigest, WeightManifest};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::{ControlMessage, WireSender};
use rand::seq::IndexedRandom;
use smol::channel::{Receiver, Sender, bounded};

use crate::endpoint::EndpointShared;

/// Longest wait for the word of one entry.
///
/// It takes some five milliseconds, or some tens after a start, when every process
/// connects to every other.
const WORD_TIME: Duration = Duration::from_millis(200);

/// Entries that are asked one after another: who gave the order, and two others in
/// case it has just died.
const ASKED: usize = 3;

/// The word of an entry on a manifest.
#[derive(Debug, Clone)]
pub(crate) enum ManifestWord {
    /// It has this one.
    Known(Arc<WeightManifest>),
    /// It does not have the one with this digest.
    Unknown(ManifestDigest),
}

/// The last word of any entry.
pub(crate) struct ToldManifest {
    word: (Sender<ManifestWord>, Receiver<ManifestWord>),
}

impl Default for ToldManifest {
    fn default() -> Self {
        Self { word: bounded(1) }
    }
}

impl ToldManifest {
    /// Takes the word of an entry; it replaces one that nobody waited for.
    pub(crate) fn hear(&self, word: ManifestWord) {
        let _ = self.word.0.force_send(word);
    }

    /// The next word on the manifest with `digest`; none if that entry does not have it.
    async fn word_on(&self, digest: ManifestDigest) -> Option<Arc<WeightManifest>> {
        loop {
            match self.word.1.recv().await.ok()? {
                ManifestWord::Known(manifest) if manifest.digest == digest => {
                    return Some(manifest);
                }
                ManifestWord::Unknown(unknown) if unknown == digest => return None,
                ManifestWord::Known(_) | ManifestWord::Unknown(_) => {}
            }
        }
    }
}

/// The manifest with `digest`, if an entry has it.
pub(super) async fn from_entries(
    shared: &EndpointShared,
    digest: ManifestDigest,
) -> Option<WeightManifest> {
    let mut asked = shared.order_source();
    for _ in 0..ASKED {
        let entry = asked.take().or_else(|| any_entry(shared))?;
        if entry.try_send(ControlMessage::ManifestWanted { manifest: digest }).is_err() {
            continue;
        }
        let word = timeout(WORD_TIME, shared.transfer.told.word_on(digest)).await.flatten();
        // Bytes that only resemble the pinned ones must not be staged.
        if let Some(manifest) = word.filter(|manifest| manifest.verify().is_ok()) {
            return Some(manifest.as_ref().clone());
        }
    }
    None
}

fn any_entry(shared: &EndpointShared) -> Option<WireSender> {
    let entries = shared.entries();
    let open: Vec<_> = entries.iter().filter(|entry| !entry.sender.is_closed()).collect();
    open.choose(&mut rand::rng()).map(|entry| entry.sender.clone())
}
