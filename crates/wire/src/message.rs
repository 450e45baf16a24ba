//! Message types, one module per kind.

mod chunk;
mod control;
mod request;

use cassiawheel_model::InstanceId;
use macro_rules_attribute::apply;

pub use chunk::{ChunkMessage, ChunkRefusal};
pub use control::{ControlMessage, EndpointAddress, EndpointOrder, FloodMessage, WeightOrder};
pub use request::RequestMessage;

use cassiawheel_model::record;

/// A message between two processes of cassiawheel.
#[apply(record!)]
#[serde(rename_all = "kebab-case")]
pub enum WireMessage {
    /// First message on a connection, in each direction.
    Hello(HelloMessage),
    /// Presets, plans and membership.
    Control(ControlMessage),
    /// Requests and answers.
    Request(RequestMessage),
    /// Chunks of weights.
    Chunk(ChunkMessage),
}

/// Binary that a process runs.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessKind {
    /// The entry binary.
    Entry,
    /// The agent binary.
    Agent,
}

/// Identifies the sender of the messages on a connection.
#[apply(record!)]
#[derive(Eq)]
pub struct HelloMessage {
    /// Binary that the sender runs.
    pub kind: ProcessKind,
    /// Instance of the sender.
    pub instance: InstanceId,
    /// Identifies the process; a later process at the same instance has a higher value.
    pub incarnation: u64,
}

impl WireMessage {
    /// Name of the kind of message, as used in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Control(message) => message.kind(),
            Self::Request(_) => "request",
            Self::Chunk(_) => "chunk",
        }
    }
}

impl From<HelloMessage> for WireMessage {
    fn from(message: HelloMessage) -> Self {
        Self::Hello(message)
    }
}

impl From<ControlMessage> for WireMessage {
    fn from(message: ControlMessage) -> Self {
        Self::Control(message)
    }
}

impl From<RequestMessage> for WireMessage {
    fn from(message: RequestMessage) -> Self {
        Self::Request(message)
    }
}

impl From<ChunkMessage> for WireMessage {
    fn from(message: ChunkMessage) -> Self {
        Self::Chunk(message)
    }
}
