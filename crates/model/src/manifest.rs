//! Manifests, which define the exact bytes of one version of a model.
//!
//! A manifest lists the digests of all chunks. Its own digest covers the whole
//! list, so a chunk request that names the manifest's digest can never be
//! answered from another version.

use macro_rules_attribute::apply;
use sha2::{Digest, Sha256};

use crate::{ChunkDigest, ManifestDigest, ModelVersion};

/// Hash function for the digests of chunks, chosen by the origin of the weights.
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
    /// Computes the digest of a chunk.
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

/// The ordered list of chunks of one version.
#[apply(record!)]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct WeightManifest {
    /// Version that the weights belong to.
    pub version: ModelVersion,
    /// Length in bytes of every chunk except the last, which may be shorter.
    pub chunk_bytes: u32,
    /// Chunks in the order of their offsets.
    pub chunks: Vec<ChunkEntry>,
    /// Hash function for the digests of the chunks.
    #[serde(default)]
    pub hash: ChunkHash,
    /// Digest over version, chunk length, hash function and chunks.
    pub digest: ManifestDigest,
}

/// Error for a rejected manifest or chunk.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ManifestError {
    /// The manifest has no chunks.
    #[error("the manifest has no chunks")]
    Empty,
    /// The length of a chunk does not match the chunk size.
    #[error("chunk {index} has {bytes} bytes, the chunk size is {chunk_bytes}")]
    ChunkLength {
        /// Index of the chunk.
        index: usize,
        /// Length of the chunk according to the manifest.
        bytes: u32,
        /// Chunk size of the manifest.
        chunk_bytes: u32,
    },
    /// The chunk list does not match the manifest's digest.
    #[error("the chunk list does not match the manifest's digest")]
    DigestMismatch,
    /// The manifest has another version or digest than the plan requires.
    #[error("the manifest does not match the version and digest in the plan")]
    NotPinned,
    /// The chunk index is out of range.
    #[error("chunk {0} is not in the manifest")]
    UnknownChunk(usize),
    /// The received bytes do not match the chunk's digest or length.
    #[error("the bytes of chunk {0} are corrupt")]
    CorruptChunk(usize),
}

impl WeightManifest {
    /// Builds the manifest of `bytes`, split into chunks of `chunk_bytes`.
    pub fn build(version: ModelVersion, bytes: &[u8], chunk_bytes: u32) -> Self {
        let chunks = bytes
            .chunks(chunk_bytes.max(1) as usize)
            .map(|chunk| ChunkEntry { digest: ChunkDigest::of(chunk), bytes: chunk.len() as u32 })
            .collect();
        Self::from_chunks(version, chunk_bytes, ChunkHash::Blake3, chunks)
    }

    /// Builds a manifest from chunks with known digests.
    pub fn from_chunks(
        version: ModelVersion,
        chunk_bytes: u32,
        hash: ChunkHash,
        chunks: Vec<ChunkEntry>,
    ) -> Self {
        let digest = list_digest(&version, chunk_bytes, hash, &chunks);
        Self { version, chunk_bytes, chunks, hash, digest }
    }

    /// Checks that the chunk lengths are consistent and that the list matches the digest.
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

    /// Length of the chunk at `index`, in bytes; zero if there is none.
    pub fn chunk_len(&self, index: usize) -> usize {
        self.chunks.get(index).map_or(0, |entry| entry.bytes as usize)
    }

    /// Checks that `bytes` are the chunk at `index`.
    pub fn verify_chunk(&self, index: usize, bytes: &[u8]) -> Result<(), ManifestError> {
        let entry = self.chunks.get(index).ok_or(ManifestError::UnknownChunk(index))?;
        let intact = bytes.len() == entry.bytes as usize && self.hash.digest(bytes) == entry.digest;
        if intact { Ok(()) } else { Err(ManifestError::CorruptChunk(index)) }
    }

    /// Offset of the chunk at `index`, in bytes.
    pub fn offset(&self, index: usize) -> u64 {
        index as u64 * u64::from(self.chunk_bytes)
    }

    /// Total length of all chunks, in bytes.
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
