//! Errors of calls to the platform's store.

use std::time::Duration;

use crate::ClientError;

/// Error of a call to the table service.
#[derive(Debug, Clone, thiserror::Error)]
pub enum StoreError {
    /// The call took no effect.
    #[error("the call took no effect: {0}")]
    NoEffect(String),
    /// The service limits the rate; the call took no effect.
    #[error("rate limited")]
    RateLimited {
        /// Delay before the next call, as requested by the service.
        retry_after: Duration,
    },
    /// The call may or may not have taken effect.
    #[error("it is unknown whether the call took effect: {0}")]
    Unknown(String),
}

impl From<ClientError> for StoreError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotSent(detail) => Self::NoEffect(detail),
            ClientError::NoAnswer(detail) => Self::Unknown(detail),
            ClientError::TooLong(_) => Self::Unknown(error.to_string()),
        }
    }
}
