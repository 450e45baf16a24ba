//! Pseudo-random weights and the answers that are derived from them.
//!
//! An answer is a function of the weights' digest and the prompt. A test that has
//! both detects answers that are incomplete or that mix versions.

use cassiawheel_model::{ModelVersion, WeightManifest};
use rand::{RngCore, SeedableRng, rngs::SmallRng};

/// Manifest and content of one version.
#[derive(Debug, Clone)]
pub struct WeightImage {
    /// Manifest that describes `bytes`.
    pub manifest: WeightManifest,
    /// Content of all chunks, in order.
    pub bytes: Vec<u8>,
}

impl WeightImage {
    /// Generates `length` pseudo-random bytes from `seed`.
    pub fn generate(version: ModelVersion, seed: u64, length: usize, chunk_bytes: u32) -> Self {
        let mut bytes = vec![0; length];
        SmallRng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let manifest = WeightManifest::build(version, &bytes, chunk_bytes);
        Self { manifest, bytes }
    }

    /// Content of the chunk at `index`, if there is one.
    pub fn chunk(&self, index: usize) -> Option<&[u8]> {
        let entry = self.manifest.chunks.get(index)?;
        let start = self.manifest.offset(index) as usize;
        self.bytes.get(start..start + entry.bytes as usize)
    }

    /// Digest from which answers are derived.
    pub fn answer_digest(&self) -> [u8; 32] {
        *blake3::hash(&self.bytes).as_bytes()
    }
}

/// Token at `index` of the answer to `prompt`.
pub fn answer_token(weights: &[u8; 32], prompt: &str, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(weights);
    hasher.update(prompt.as_bytes());
    hasher.update(&index.to_le_bytes());
    format!("{} ", &hasher.finalize().to_hex()[..8])
}

/// Complete answer to `prompt`, of `tokens` tokens.
pub fn answer_text(weights: &[u8; 32], prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| answer_token(weights, prompt, index)).collect()
}
