//! Identifiers.
//!
//! Each identifier is a type of its own, so that a workspace cannot be passed
//! where a service is expected. Textual ones are cheap to clone; digests are
//! fixed arrays.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest accepted textual identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// A text that cannot be used as an identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty or longer than [`MAX_ID_BYTES`].
    #[error("must have 1 to {MAX_ID_BYTES} bytes, has {0}")]
    Length(usize),
    /// The text has a character outside `A-Z a-z 0-9 . _ : -`.
    #[error("has the character {0:?}; allowed are letters, digits and . _ : -")]
    Character(char),
    /// A digest that is not 64 hexadecimal digits.
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

            /// An identifier of nothing, for examples of settings.
            pub fn example() -> Self {
                Self(Arc::from("example"))
            }

            /// The text itself.
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
    /// An entry or endpoint instance.
    InstanceId;
    /// A failure domain inside a region.
    FailureDomain;
    /// A region.
    RegionName;
    /// A service that callers address.
    ServiceName;
    /// A version of a model.
    ModelVersion;
    /// A preset.
    PresetName;
    /// A workspace, the unit of fair shares.
    WorkspaceId;
    /// One request of a caller, unique per arrival.
    RequestId;
    /// A caller's idempotency key.
    RequestKey;
    /// One attempt to run a request; tells our own writes from others'.
    AttemptNonce;
    /// One change asked for by an operator.
    ChangeId;
    /// The name under which an operator acts.
    OperatorName;
    /// One process's hold of a lease.
    LeaseHolder;
}

macro_rules! digest_id {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name([u8; 32]);

        impl $name {
            /// Digest of `bytes`.
            pub fn of(bytes: &[u8]) -> Self {
                Self(*blake3::hash(bytes).as_bytes())
            }

            /// The raw digest.
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
    /// Digest of one chunk of weights; its manifest tells how it is made.
    ChunkDigest;
    /// BLAKE3 digest over a manifest's chunk list; pins one set of weights.
    ManifestDigest;
}
