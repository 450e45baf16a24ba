//! Identifiers.
//!
//! Each identifier has its own type, so that a workspace cannot be passed where
//! a service is expected. Textual identifiers are reference-counted and cheap to
//! clone; digests are arrays.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest textual identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Error for a text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty or longer than [`MAX_ID_BYTES`].
    #[error("must have 1 to {MAX_ID_BYTES} bytes, has {0}")]
    Length(usize),
    /// The text contains a character other than `A-Z a-z 0-9 . _ : -`.
    #[error("has the character {0:?}; allowed are letters, digits and . _ : -")]
    Character(char),
    /// The text of a digest does not consist of 64 hexadecimal digits.
    #[error("is not a digest of 64 hexadecimal digits")]
    InvalidDigest,
}

/// Checks the length and the characters of a textual identifier.
pub fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > MAX_ID_BYTES {
        return Err(IdError::Length(text.len()));
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || ['.', '_', ':', '-'].contains(c);
    match text.chars().find(|c| !allowed(c)) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and wraps `text`.
            pub fn new(text: &str) -> Result<Self, IdError> {
                check_id(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Placeholder for example settings.
            pub fn example() -> Self {
                Self(Arc::from("example"))
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                Self::new(&text)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    )*};
}

text_id! {
    /// Name of an entry or endpoint instance, unique in the deployment.
    InstanceId;
    /// Name of a failure domain inside a region.
    FailureDomain;
    /// Name of a region.
    RegionName;
    /// Name of a service that callers address.
    ServiceName;
    /// Name of a version of a model.
    ModelVersion;
    /// Name of a preset.
    PresetName;
    /// Name of a workspace, the unit of fair sharing.
    WorkspaceId;
    /// Identifies one arrival of a request; a caller's retry has another one.
    RequestId;
    /// Idempotency key sent by a caller.
    RequestKey;
    /// Identifies one attempt to run a request; used to recognise the process's own writes.
    AttemptNonce;
    /// Identifies a change requested by an operator.
    ChangeId;
    /// Name of an operator, as shown in the history.
    OperatorName;
    /// Identifies the process that holds a lease.
    LeaseHolder;
}

macro_rules! digest_id {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name([u8; 32]);

        impl $name {
            /// BLAKE3 digest of `bytes`.
            pub fn of(bytes: &[u8]) -> Self {
                Self(*blake3::hash(bytes).as_bytes())
            }

            /// The digest as bytes.
            pub fn as_bytes(&self) -> &[u8; 32] {
                &self.0
            }
        }

        impl From<[u8; 32]> for $name {
            fn from(raw: [u8; 32]) -> Self {
                Self(raw)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let mut raw = [0; 32];
                hex::decode_to_slice(text, &mut raw).map_err(|_| IdError::InvalidDigest)?;
                Ok(Self(raw))
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> String {
                hex::encode(digest.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&hex::encode(self.0))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&hex::encode(&self.0[..4]))
            }
        }
    )*};
}

digest_id! {
    /// Digest of a chunk of weights; the manifest defines the hash function.
    ChunkDigest;
    /// BLAKE3 digest over a manifest's chunk list; identifies one set of weights.
    ManifestDigest;
}
