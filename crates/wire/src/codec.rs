//! CBOR encoding of messages.

use crate::WireMessage;

/// Largest encoded message, in bytes; larger frames close the connection.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message cannot be expressed.
    #[error("cannot encode the message: {0}")]
    Encode(String),
    /// The bytes are not a message.
    #[error("the frame is not a message: {0}")]
    Decode(String),
}

/// Encodes `message`.
pub fn encode(message: &WireMessage) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| CodecError::Encode(error.to_string()))?;
    Ok(bytes)
}

/// Decodes a message; never panics, whatever the bytes are.
pub fn decode(bytes: &[u8]) -> Result<WireMessage, CodecError> {
    let mut rest = bytes;
    let message =
        ciborium::from_reader(&mut rest).map_err(|error| CodecError::Decode(error.to_string()))?;
    // Bytes behind a message mean that the sender's idea of it is another
    // than ours; whatever was decoded may be a part of what was meant.
    if !rest.is_empty() {
        return Err(CodecError::Decode(format!("{} bytes behind the message", rest.len())));
    }
    Ok(message)
}
