//! What a picker is told when it is made.

use cassiawheel_model::InstanceId;

/// Settings of a picker.
#[derive(Debug, Clone)]
pub struct PickerSettings {
    /// This agent.
    pub instance: InstanceId,
    /// Longest wait before a chunk is asked of another source, in milliseconds.
    pub stall_ms: u64,
    /// Shortest time before an owner that brings nothing loses its chunks, in milliseconds.
    pub origin_step_ms: u64,
    /// Fetches at one peer at a time.
    pub max_fetches_per_peer: usize,
    /// Time after which a chunk that hardly anyone holds is drawn from the origin again, in
    /// milliseconds; zero for never.
    pub rescue_ms: u64,
    /// Fetches from peers at a time.
    pub max_peer_fetches: usize,
    /// Time of a fetch from a peer beyond which there are fewer at a time, in milliseconds;
    /// zero for no limit.
    pub queue_ms: u64,
    /// Copies that all agents together may draw beyond the first to save time.
    pub extra_copies: f64,
    /// Time in which the origin sends one chunk, in milliseconds; zero if not known.
    ///
    /// An origin that serves all agents at once finishes all chunks at the same
    /// late moment. Agents that ask one after another have something to swap
    /// from the start.
    pub origin_chunk_ms: f64,
    /// Whether this agent stands in the origin's region.
    pub in_origin_region: bool,
    /// Draws from the origin by the agents that know each other that may be under way at a
    /// time; zero for no limit.
    pub max_origin_fetches: usize,
}

/// Where another agent stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerLocation {
    /// Whether it stands in another region than this agent.
    pub is_remote: bool,
    /// Whether it stands in the origin's region.
    pub in_origin_region: bool,
}
