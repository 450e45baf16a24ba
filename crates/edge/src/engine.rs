//! The engine or plain service behind an agent.

use bytes::Bytes;
use cassiawheel_model::{
    HeaderField, LoadReport, ManifestDigest, ModelVersion, RequestHead, WeightManifest,
    flags::pack_flags, record,
};
use hyper::body::Incoming;
use macro_rules_attribute::apply;

use crate::{ClientError, EdgeFuture};

/// What an engine says of itself.
#[apply(record!)]
pub struct EngineStatus {
    /// The version it answers from.
    pub version: Option<ModelVersion>,
    /// The manifest of that version, if the engine tells it.
    pub manifest: Option<ManifestDigest>,
    /// Whether the engine tells the manifest of what it holds, or only the version.
    #[serde(default = "tells_manifest")]
    pub tells_manifest: bool,
    /// Highest fencing token of an order that it has carried out.
    pub fencing: u64,
    /// Manifests of which it holds chunks in staging.
    #[serde(default)]
    pub staged: Vec<ManifestDigest>,
    /// Its load.
    pub load: LoadReport,
}

fn tells_manifest() -> bool {
    true
}

impl EngineStatus {
    /// Whether the engine answers from these weights, as far as it tells.
    pub fn serves(&self, version: &ModelVersion, manifest: ManifestDigest) -> bool {
        let is_manifest = !self.tells_manifest || self.manifest == Some(manifest);
        self.version.as_ref() == Some(version) && is_manifest
    }
}

/// Which chunks an engine holds in staging, one bit each, least significant first.
#[apply(record!)]
#[derive(Eq)]
pub struct StagedBitmap {
    /// The bits as hexadecimal digits.
    pub bits: String,
}

impl StagedBitmap {
    /// Packs one flag for each chunk.
    pub fn pack(flags: &[bool]) -> Self {
        Self { bits: hex::encode(pack_flags(flags)) }
    }
}

/// An order to answer from staged weights.
#[apply(record!)]
#[derive(Eq)]
pub struct LoadOrder {
    /// The version.
    pub version: ModelVersion,
    /// The staged manifest.
    pub manifest: ManifestDigest,
    /// Fencing token.
    pub fencing: u64,
}

/// Why an engine did not do what it was asked.
#[derive(Debug, Clone, thiserror::Error)]
pub enum EngineError {
    /// The call never reached the engine.
    #[error("the engine was not reached: {0}")]
    NotSent(String),
    /// The engine refused; nothing happened.
    #[error("the engine refused: {0}")]
    Refused(String),
    /// The call may have had effects.
    #[error("the engine did not answer: {0}")]
    NoAnswer(String),
}

impl From<ClientError> for EngineError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotSent(detail) => Self::NotSent(detail),
            ClientError::NoAnswer(detail) => Self::NoAnswer(detail),
        }
    }
}

/// The beginning of an endpoint's answer; the body follows as a stream.
#[derive(Debug)]
pub struct EngineResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: Option<String>,
    /// Further header fields.
    pub headers: Vec<HeaderField>,
    /// The version that the engine says it answers from.
    pub version: Option<ModelVersion>,
    /// The answer. Dropping it cancels the run.
    pub body: Incoming,
}

/// An engine or a plain service.
pub trait ModelEngine: Send + Sync {
    /// Asks for version and load.
    fn status(&self) -> EdgeFuture<'_, Result<EngineStatus, EngineError>>;

    /// Opens staging for `manifest`, keeping chunks staged before.
    fn open_staging<'a>(
        &'a self,
        manifest: &'a WeightManifest,
    ) -> EdgeFuture<'a, Result<StagedBitmap, EngineError>>;

    /// Stages one verified chunk.
    fn stage_chunk(
        &self,
        manifest: ManifestDigest,
        index: usize,
        bytes: Bytes,
    ) -> EdgeFuture<'_, Result<(), EngineError>>;

    /// Reads a staged chunk back.
    fn read_chunk(
        &self,
        manifest: ManifestDigest,
        index: usize,
    ) -> EdgeFuture<'_, Result<Bytes, EngineError>>;

    /// Gives up what is staged of `manifest`; the weights it answers from stay.
    fn discard_staging(&self, manifest: ManifestDigest) -> EdgeFuture<'_, Result<(), EngineError>>;

    /// Answers from the staged weights from now on.
    fn load_weights<'a>(&'a self, order: &'a LoadOrder) -> EdgeFuture<'a, Result<(), EngineError>>;

    /// Runs a request.
    fn call<'a>(
        &'a self,
        head: &'a RequestHead,
        body: Bytes,
    ) -> EdgeFuture<'a, Result<EngineResponse, EngineError>>;
}
