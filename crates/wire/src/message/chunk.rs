//! Weights between agents.
//!
//! Every message names the manifest's digest, so that chunks of two versions
//! can never be taken for each other.

use cassiawheel_model::{ManifestDigest, WeightManifest, record};
use macro_rules_attribute::apply;

/// Traffic of weights between two agents.
#[apply(record!)]
#[serde(rename_all = "kebab-case")]
pub enum ChunkMessage {
    /// Which chunks the sender holds, one bit each, least significant first.
    Held {
        /// The manifest.
        manifest: ManifestDigest,
        /// The bits.
        #[serde(with = "serde_bytes")]
        bits: Vec<u8>,
    },
    /// The sender has just verified one more chunk.
    Gained {
        /// The manifest.
        manifest: ManifestDigest,
        /// The chunk.
        index: u32,
    },
    /// Which chunks the sender draws from the origin at present.
    Drawing {
        /// The manifest.
        manifest: ManifestDigest,
        /// The chunks.
        indices: Vec<u32>,
    },
    /// The sender has told a new connection all that it holds.
    ToldAll,
    /// Asks for the manifest itself.
    ManifestWanted {
        /// The manifest.
        manifest: ManifestDigest,
    },
    /// The manifest that was asked for.
    Manifest(Box<WeightManifest>),
    /// Asks for a chunk.
    Wanted {
        /// Number of the call on this connection.
        call: u64,
        /// The manifest.
        manifest: ManifestDigest,
        /// The chunk.
        index: u32,
        /// Whether all agents of the asker's region wait for it.
        #[serde(default)]
        is_import: bool,
    },
    /// The next part of the chunk that was asked for.
    Bytes {
        /// The call.
        call: u64,
        /// The part's bytes.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// Whether it is the last part.
        last: bool,
    },
    /// A part of a chunk has arrived, and there is room for another one.
    More {
        /// The call.
        call: u64,
    },
    /// Nobody waits for the chunk any more; no further part of it is wanted.
    Abandoned {
        /// The call.
        call: u64,
    },
    /// The chunk is not sent.
    Refused {
        /// The call.
        call: u64,
        /// Why.
        reason: ChunkRefusal,
    },
}

/// Why a chunk is not sent.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ChunkRefusal {
    /// The sender does not hold it.
    NotHeld,
    /// All upload slots are taken.
    Busy,
}
