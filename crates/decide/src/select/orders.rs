//! The fetches that a picker orders.

use cassiawheel_model::{Deadline, InstanceId, Timestamp};

/// Where a chunk is fetched.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ChunkSource {
    /// The origin of weights.
    Origin,
    /// Another agent.
    Peer(InstanceId),
}

/// One fetch to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchOrder {
    /// The chunk.
    pub index: usize,
    /// Where.
    pub source: ChunkSource,
    /// When it was given.
    pub started_at: Timestamp,
    /// When to give up on the source.
    pub deadline: Deadline,
    /// Whether the chunk comes from another region, for all agents of this one.
    pub is_import: bool,
}
