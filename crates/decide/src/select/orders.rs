//! The fetches that a picker returns.

use cassiawheel_model::{Deadline, InstanceId, Timestamp};

/// Source of a chunk.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ChunkSource {
    /// The origin server of the weights.
    Origin,
    /// Another agent.
    Peer(InstanceId),
}

/// A fetch of one chunk from one source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchOrder {
    /// Index of the chunk in its manifest.
    pub index: usize,
    /// Where to fetch it.
    pub source: ChunkSource,
    /// When the picker returned the fetch.
    pub started_at: Timestamp,
    /// When the fetch times out.
    pub deadline: Deadline,
    /// Whether the chunk is imported from another region for all agents of this one.
    pub is_import: bool,
}
