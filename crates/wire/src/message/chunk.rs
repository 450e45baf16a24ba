//! Transfer of chunks of weights between agents.
//!
//! Announcements and requests contain the digest of the manifest, so that chunks
//! of different versions cannot be confused.

use cassiawheel_model::{ManifestDigest, WeightManifest, record};
use macro_rules_attribute::apply;

/// A message about chunks of weights between two agents.
#[apply(record!)]
#[serde(rename_all = "kebab-case")]
pub enum ChunkMessage {
    /// Announces the chunks that the sender holds.
    Held {
        /// Digest of the manifest.
        manifest: ManifestDigest,
        /// Bitmap with one bit per chunk, the least significant bit first.
        #[serde(with = "serde_bytes")]
        bits: Vec<u8>,
    },
    /// Announces that the sender has verified another chunk.
    Gained {
        /// Digest of the manifest.
        manifest: ManifestDigest,
        /// Index of the chunk.
        index: u32,
    },
    /// Announces the chunks that the sender is currently reading from the origin.
    Drawing {
        /// Digest of the manifest.
        manifest: ManifestDigest,
        /// Indices of the chunks.
        indices: Vec<u32>,
    },
    /// Ends the initial announcements on a new connection.
    ToldAll,
    /// Requests the manifest.
    ManifestWanted {
        /// Digest of the manifest.
        manifest: ManifestDigest,
    },
    /// The requested manifest.
    Manifest(Box<WeightManifest>),
    /// Requests a chunk.
    Wanted {
        /// Identifies the transfer on this connection.
        call: u64,
        /// Digest of the manifest.
        manifest: ManifestDigest,
        /// Index of the chunk.
        index: u32,
        /// Whether all agents in the region of the requester wait for the chunk.
        #[serde(default)]
        is_import: bool,
    },
    /// The next part of the requested chunk.
    Bytes {
        /// Identifies the transfer.
        call: u64,
        /// Bytes of the part.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// Whether this is the last part.
        last: bool,
    },
    /// Flow control: a part was received, and another one may be sent.
    More {
        /// Identifies the transfer.
        call: u64,
    },
    /// Cancels the transfer; no further part should be sent.
    Abandoned {
        /// Identifies the transfer.
        call: u64,
    },
    /// The request is refused.
    Refused {
        /// Identifies the transfer.
        call: u64,
        /// Reason for the refusal.
        reason: ChunkRefusal,
    },
}

/// Reason for which a chunk request is refused.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ChunkRefusal {
    /// The sender does not hold the chunk.
    NotHeld,
    /// All upload slots are in use.
    Busy,
}
