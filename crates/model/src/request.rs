//! Request metadata used for routing.

use std::fmt;

use macro_rules_attribute::apply;

use crate::{
    Deadline, HeaderField, ModelVersion, PresetRevision, RequestId, RequestKey, ServiceName,
    WorkspaceId,
};

/// Priority of a request for load shedding.
#[apply(label!)]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Shed first.
    Low,
    /// The default; shed after low and before high priority.
    #[default]
    Normal,
    /// Shed last.
    High,
}

/// Urgency of requests, as operators assign it to routes and workspaces; 0 is the most urgent.
#[apply(label!)]
#[serde(from = "u8", into = "u8")]
pub struct Urgency(u8);

impl Urgency {
    /// The most urgent.
    pub const MOST: Self = Self(0);
    /// Assumed for requests whose route and workspace name none.
    pub const DEFAULT: Self = Self(5);
    /// The least urgent.
    pub const LEAST: Self = Self(9);

    /// Creates an urgency from a rank; ranks over 9 count as 9.
    pub fn from_rank(rank: u64) -> Self {
        u8::try_from(rank).map_or(Self::LEAST, Self::from)
    }

    /// Rank from 0 to 9.
    pub fn rank(self) -> u8 {
        self.0
    }
}

impl Default for Urgency {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl From<u8> for Urgency {
    fn from(rank: u8) -> Self {
        Self(rank.min(Self::LEAST.0))
    }
}

impl From<Urgency> for u8 {
    fn from(urgency: Urgency) -> Self {
        urgency.0
    }
}

impl fmt::Display for Urgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Token counts of a generation request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationSize {
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Number of tokens that the caller expects in the answer.
    pub answer: u32,
}

/// Whether a request may run more than once.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum Repeatability {
    /// May be retried and hedged.
    Idempotent,
    /// Must run at most once. A request without an idempotency key is sent only once; one with a
    /// key is claimed before it is sent.
    AtMostOnce,
}

/// Request metadata as determined by the entry.
#[apply(record!)]
#[derive(Eq)]
pub struct RequestHead {
    /// Identifies this arrival of the request.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Requested service.
    pub service: ServiceName,
    /// Priority for load shedding.
    pub priority: PriorityClass,
    /// Whether the request may run more than once.
    pub repeat: Repeatability,
    /// Idempotency key sent by the caller.
    pub key: Option<RequestKey>,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Deadline,
    /// HTTP method of the request to the endpoint.
    pub method: String,
    /// Path and query of the request to the endpoint.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Further header fields forwarded to the endpoint.
    pub headers: Vec<HeaderField>,
    /// Hash of the leading bytes of the body, a hint for prefix affinity.
    pub prefix: Option<u64>,
    /// Preset revision by which the request is routed.
    pub revision: PresetRevision,
    /// Version that has to answer; none for plain services.
    pub version: Option<ModelVersion>,
}

/// Length of a [`RequestDigest`], in bytes.
const DIGEST_BYTES: usize = 16;

/// Bit of the last byte that tells the digests of prompt parts from those of requests.
const PROMPT_PART_BIT: u8 = 1;

/// Digest of a request's content, equal for all retries by its caller, or of a part of a prompt,
/// equal for all requests with that part.
#[apply(label!)]
#[serde(transparent)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Computes the digest of workspace, method, path with query, and body.
    pub fn of(head: &RequestHead, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [head.workspace.as_str(), &head.method, &head.path] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let mut digest = Self::finish(&hasher);
        digest.0[DIGEST_BYTES - 1] &= !PROMPT_PART_BIT;
        digest
    }

    /// Computes the digest of a part of a prompt to a service.
    pub fn of_prompt_part(service: &ServiceName, part: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(service.as_str().len() as u64).to_le_bytes());
        hasher.update(service.as_str().as_bytes());
        hasher.update(part.as_bytes());
        let mut digest = Self::finish(&hasher);
        digest.0[DIGEST_BYTES - 1] |= PROMPT_PART_BIT;
        digest
    }

    fn finish(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// Whether it is the digest of a part of a prompt.
    pub fn is_prompt_part(self) -> bool {
        self.0[DIGEST_BYTES - 1] & PROMPT_PART_BIT != 0
    }

    /// Key of the request for rendezvous hashing.
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
