//! CBOR encoding of messages.

use crate::WireMessage;

/// Largest encoded message, in bytes; a larger frame closes the connection.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Error of encoding or decoding a message.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message cannot be encoded.
    #[error("cannot encode the message: {0}")]
    Encode(String),
    /// The bytes are not a message.
    #[error("the frame is not a message: {0}")]
    Decode(String),
}

/// Encodes `message` as CBOR.
pub fn encode(message: &WireMessage) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| CodecError::Encode(error.to_string()))?;
    Ok(bytes)
}

/// Decodes a message; never panics, even on invalid input.
pub fn decode(bytes: &[u8]) -> Result<WireMessage, CodecError> {
    let mut rest = bytes;
    let message =
        ciborium::from_reader(&mut rest).map_err(|error| CodecError::Decode(error.to_string()))?;
    // Trailing bytes indicate that the sender uses another format, so the decoded message may
    // be incomplete.
    if !rest.is_empty() {
        return Err(CodecError::Decode(format!("{} bytes after the message", rest.len())));
    }
    Ok(message)
}
