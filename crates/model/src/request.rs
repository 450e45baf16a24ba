//! What routing needs to know about a request.

use std::fmt;

use macro_rules_attribute::apply;

use crate::{
    Deadline, HeaderField, ModelVersion, PresetRevision, RequestId, RequestKey, ServiceName,
    WorkspaceId,
};

/// Order in which requests are shed under overload.
#[apply(label!)]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Shed first.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Shed last.
    High,
}

/// Whether a request may run more than once.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum Repeatability {
    /// Idempotent: may be retried and hedged.
    Idempotent,
    /// Runs at most once; without a key it is sent once, with a key it is claimed first.
    AtMostOnce,
}

/// A request as the entry identified it.
#[apply(record!)]
#[derive(Eq)]
pub struct RequestHead {
    /// Unique per arrival.
    pub id: RequestId,
    /// Whom it belongs to.
    pub workspace: WorkspaceId,
    /// The service asked for.
    pub service: ServiceName,
    /// Order of shedding.
    pub priority: PriorityClass,
    /// Whether it may be repeated.
    pub repeat: Repeatability,
    /// The caller's idempotency key.
    pub key: Option<RequestKey>,
    /// When the answer is of no more use.
    pub deadline: Deadline,
    /// HTTP method towards the endpoint.
    pub method: String,
    /// Path and query towards the endpoint.
    pub path: String,
    /// The body's media type.
    pub content_type: Option<String>,
    /// Further header fields for the endpoint.
    pub headers: Vec<HeaderField>,
    /// Digest of the leading part of the prompt, for prefix affinity; a hint.
    pub prefix: Option<u64>,
    /// The preset by which it is routed.
    pub revision: PresetRevision,
    /// The version that has to answer; none for plain services.
    pub version: Option<ModelVersion>,
}

/// Bytes of a [`RequestDigest`].
const DIGEST_BYTES: usize = 16;

/// Digest of a request, the same for each attempt of its caller.
#[apply(label!)]
#[serde(transparent)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// The digest of workspace, method, path with query, and body.
    pub fn of(head: &RequestHead, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [head.workspace.as_str(), &head.method, &head.path] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// A number for choices by rank.
    pub fn rendezvous_key(self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
