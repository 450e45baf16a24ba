//! Messages between cassiawheel's own processes.
//!
//! Typed messages, encoded as CBOR by `ciborium`, travel as binary frames of a
//! WebSocket. A connection opens with a shared key in the handshake's
//! `authorization` header and a [`message::HelloMessage`] in each direction.

pub mod codec;
pub mod message;
pub mod socket;
pub mod traffic;

pub use codec::CodecError;
pub use message::{
    ChunkMessage, ControlMessage, HelloMessage, ProcessKind, RequestMessage, WireMessage,
};
pub use socket::{WireError, WireReceiver, WireSender, accept, connect};
