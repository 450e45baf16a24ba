//! Manifests: the exact bytes of one version of a model.
//!
//! A manifest lists the digest of every chunk. Its own digest covers the whole
//! list, so that a chunk request which names the manifest's digest can never
//! be answered from another version.

use macro_rules_attribute::apply;
use sha2::{Digest, Sha256};

use crate::{ChunkDigest, ManifestDigest, ModelVersion};

/// How the digests of chunks are made; the origin of weights decides.
#[apply(label!)]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum ChunkHash {
    /// BLAKE3.
    #[default]
    Blake3,
    /// SHA-256.
    Sha256,
}

impl ChunkHash {
    /// Digest of a chunk's bytes.
    pub fn digest(self, bytes: &[u8]) -> ChunkDigest {
        match self {
            Self::Blake3 => ChunkDigest::of(bytes),
            Self::Sha256 => ChunkDigest::from(<[u8; 32]>::from(Sha256::digest(bytes))),
        }
    }
}

/// One chunk of a manifest.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(deny_unknown_fields)]
pub struct ChunkEntry {
    /// Digest of the chunk's bytes.
    pub digest: ChunkDigest,
    /// Length in bytes.
    pub bytes: u32,
}

/// The chunks of one version, in order.
#[apply(record!)]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct WeightManifest {
    /// The version that these weights make up.
    pub version: ModelVersion,
    /// Length of every chunk but the last, in bytes.
    pub chunk_bytes: u32,
    /// The chunks in order.
    pub chunks: Vec<ChunkEntry>,
    /// How the digests of the chunks are made.
    #[serde(default)]
    pub hash: ChunkHash,
    /// Digest over version, chunk length, hash and chunks.
    pub digest: ManifestDigest,
}

/// Why a manifest or a chunk was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ManifestError {
    /// The manifest has no chunks.
    #[error("the manifest has no chunks")]
    Empty,
    /// A chunk's stated length does not fit the chunk size.
    #[error("chunk {index} has {bytes} bytes, the chunk size is {chunk_bytes}")]
    ChunkLength {
        /// Position of the chunk.
        index: usize,
        /// Its stated length.
        bytes: u32,
        /// The manifest's chunk size.
        chunk_bytes: u32,
    },
    /// The list does not match the manifest's digest.
    #[error("the chunk list does not match the manifest's digest")]
    DigestMismatch,
    /// The manifest is for another version or digest than the plan's.
    #[error("the manifest is not the one that the plan pins")]
    NotPinned,
    /// A chunk index beyond the list.
    #[error("chunk {0} is not in the manifest")]
    UnknownChunk(usize),
    /// Received bytes do not match a chunk's digest or length.
    #[error("the bytes of chunk {0} are corrupt")]
    CorruptChunk(usize),
}

impl WeightManifest {
    /// Builds the manifest of `bytes` cut into chunks of `chunk_bytes`.
    pub fn build(version: ModelVersion, bytes: &[u8], chunk_bytes: u32) -> Self {
        let chunks = bytes
            .chunks(chunk_bytes.max(1) as usize)
            .map(|chunk| ChunkEntry { digest: ChunkDigest::of(chunk), bytes: chunk.len() as u32 })
            .collect();
        Self::from_chunks(version, chunk_bytes, ChunkHash::Blake3, chunks)
    }

    /// Builds a manifest from chunks whose digests are known.
    pub fn from_chunks(
        version: ModelVersion,
        chunk_bytes: u32,
        hash: ChunkHash,
        chunks: Vec<ChunkEntry>,
    ) -> Self {
        let digest = list_digest(&version, chunk_bytes, hash, &chunks);
        Self { version, chunk_bytes, chunks, hash, digest }
    }

    /// Checks that the list is consistent and matches its own digest.
    pub fn verify(&self) -> Result<(), ManifestError> {
        let Some(last) = self.chunks.len().checked_sub(1) else {
            return Err(ManifestError::Empty);
        };
        for (index, chunk) in self.chunks.iter().enumerate() {
            let fits = chunk.bytes == self.chunk_bytes
                || index == last && (1..self.chunk_bytes).contains(&chunk.bytes);
            if !fits {
                let (bytes, chunk_bytes) = (chunk.bytes, self.chunk_bytes);
                return Err(ManifestError::ChunkLength { index, bytes, chunk_bytes });
            }
        }
        if list_digest(&self.version, self.chunk_bytes, self.hash, &self.chunks) != self.digest {
            return Err(ManifestError::DigestMismatch);
        }
        Ok(())
    }

    /// Checks received bytes against the chunk at `index`.
    pub fn verify_chunk(&self, index: usize, bytes: &[u8]) -> Result<(), ManifestError> {
        let entry = self.chunks.get(index).ok_or(ManifestError::UnknownChunk(index))?;
        let intact = bytes.len() == entry.bytes as usize && self.hash.digest(bytes) == entry.digest;
        if intact { Ok(()) } else { Err(ManifestError::CorruptChunk(index)) }
    }

    /// Byte offset of the chunk at `index`.
    pub fn offset(&self, index: usize) -> u64 {
        index as u64 * u64::from(self.chunk_bytes)
    }

    /// Length of all chunks, in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.chunks.iter().map(|chunk| u64::from(chunk.bytes)).sum()
    }
}

fn list_digest(
    version: &ModelVersion,
    chunk_bytes: u32,
    hash: ChunkHash,
    chunks: &[ChunkEntry],
) -> ManifestDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[hash as u8]);
    hasher.update(&(version.as_str().len() as u64).to_le_bytes());
    hasher.update(version.as_str().as_bytes());
    hasher.update(&chunk_bytes.to_le_bytes());
    for chunk in chunks {
        hasher.update(chunk.digest.as_bytes());
        hasher.update(&chunk.bytes.to_le_bytes());
    }
    ManifestDigest::from(*hasher.finalize().as_bytes())
}
