//! Identifiers.
//!
//! Each identifier has its own type, so that a workspace cannot be passed where
//! a service is expected. Textual identifiers are reference-counted and cheap to
//! clone; digests are arrays.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest identifier of a request, change or process, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Longest identifier of an instance, domain, region, service, version or workspace, in bytes.
///
/// Holds a name of 200 bytes of which each is escaped.
pub const MAX_NAME_BYTES: usize = 1_024;

/// Error for a text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty or longer than the type allows.
    #[error("must have 1 to {most} bytes, has {bytes}")]
    Length {
        /// Length of the text.
        bytes: usize,
        /// Longest text of the type.
        most: usize,
    },
    /// The text contains a character other than `A-Z a-z 0-9 . _ : -`.
    #[error("has the character {0:?}; allowed are letters, digits and . _ : -")]
    Character(char),
    /// The text of a digest does not consist of 64 hexadecimal digits.
    #[error("is not a digest of 64 hexadecimal digits")]
    InvalidDigest,
}

/// Checks the characters of a textual identifier and its length, which is [`MAX_ID_BYTES`] at most.
pub fn check_id(text: &str) -> Result<(), IdError> {
    check_text(text, MAX_ID_BYTES)
}

/// Whether identifiers may contain this byte.
pub fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || [b'.', b'_', b':', b'-'].contains(&byte)
}

fn check_text(text: &str, most: usize) -> Result<(), IdError> {
    if text.is_empty() || text.len() > most {
        return Err(IdError::Length { bytes: text.len(), most });
    }
    match text.chars().find(|c| !u8::try_from(*c).is_ok_and(is_id_byte)) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($most:expr; $($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and wraps `text`.
            pub fn new(text: &str) -> Result<Self, IdError> {
                check_text(text, $most)?;
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
    MAX_NAME_BYTES;
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
    /// Name of a workspace, the unit of fair sharing.
    WorkspaceId;
}

text_id! {
    MAX_ID_BYTES;
    /// Name of a preset.
    PresetName;
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
