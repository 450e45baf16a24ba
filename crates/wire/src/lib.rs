//! Messages between the processes of cassiawheel.
//!
//! Typed messages are encoded as CBOR by `ciborium` and sent as binary frames of
//! a WebSocket. A connection starts with a shared key in the `authorization`
//! header of the handshake, followed by a [`message::HelloMessage`] in each
//! direction.

pub mod codec;
pub mod lanes;
pub mod message;
pub mod socket;
pub mod traffic;
mod window;

pub use codec::CodecError;
pub use message::{
    ChunkMessage, ControlMessage, HelloMessage, ProcessKind, RequestMessage, WireMessage,
};
pub use socket::{WireError, WireReceiver, WireSender, accept, connect};
