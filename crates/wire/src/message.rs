//! The messages, one file per conversation.

mod chunk;
mod control;
mod request;

use cassiawheel_model::InstanceId;
use macro_rules_attribute::apply;

pub use chunk::{ChunkMessage, ChunkRefusal};
pub use control::{ControlMessage, EndpointAddress, EndpointOrder, FloodMessage, WeightOrder};
pub use request::RequestMessage;

use cassiawheel_model::record;

/// Anything that one of our processes sends another.
#[apply(record!)]
#[serde(rename_all = "kebab-case")]
pub enum WireMessage {
    /// Opens the conversation.
    Hello(HelloMessage),
    /// Presets, plans, membership.
    Control(ControlMessage),
    /// Requests and their answers.
    Request(RequestMessage),
    /// Weights.
    Chunk(ChunkMessage),
}

/// Which binary a process runs.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessKind {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

/// Who is at the other end.
#[apply(record!)]
#[derive(Eq)]
pub struct HelloMessage {
    /// Which binary.
    pub kind: ProcessKind,
    /// At which instance.
    pub instance: InstanceId,
    /// Distinguishes processes that run one after another at one instance.
    pub incarnation: u64,
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
