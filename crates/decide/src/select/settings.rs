//! Settings of a picker and locations of peers.

use cassiawheel_model::InstanceId;

/// Settings of a [`ChunkPicker`](super::ChunkPicker).
#[derive(Debug, Clone)]
pub struct PickerSettings {
    /// Id of this agent.
    pub instance: InstanceId,
    /// Timeout of a fetch from a peer, and of the silence of an agent, in milliseconds.
    pub stall_ms: u64,
    /// Shortest time until an owner that delivers nothing loses its chunks, in milliseconds.
    pub origin_step_ms: u64,
    /// Limit of concurrent fetches from one peer.
    pub max_fetches_per_peer: usize,
    /// Time until a chunk with only one or two holders is fetched from the origin again, in
    /// milliseconds; zero for never.
    pub rescue_ms: u64,
    /// Limit of concurrent fetches from all peers.
    pub max_peer_fetches: usize,
    /// Latency of fetches from peers above which their concurrency is reduced, in
    /// milliseconds; zero to never reduce it.
    pub queue_ms: u64,
    /// Number of additional copies that all agents together may fetch from the origin to save
    /// time, as a multiple of all chunks.
    pub extra_copies: f64,
    /// Time in which the origin sends one chunk, in milliseconds; zero if not known.
    ///
    /// An origin that serves all agents concurrently completes all chunks late and at the
    /// same time. Agents that fetch one after another can exchange chunks from the start.
    pub origin_chunk_ms: f64,
    /// Whether this agent is in the origin's region.
    pub in_origin_region: bool,
    /// Limit of concurrent fetches from the origin by all agents that know each other; zero
    /// for no limit.
    pub max_origin_fetches: usize,
}

/// Location of another agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerLocation {
    /// Whether the agent is in another region than this one.
    pub is_remote: bool,
    /// Whether the agent is in the origin's region.
    pub in_origin_region: bool,
}
