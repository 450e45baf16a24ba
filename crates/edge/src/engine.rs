//! Interface of the engine or plain service behind an agent.

use bytes::Bytes;
use cassiawheel_model::{
    HeaderField, LayerRange, LoadReport, LoadedLayers, ManifestDigest, ModelVersion, RequestHead,
    WeightManifest, flags::pack_flags, record,
};
use hyper::body::Incoming;
use macro_rules_attribute::apply;

use crate::{ClientError, EdgeFuture};

/// Status that an engine reports.
#[apply(record!)]
pub struct EngineStatus {
    /// The version it serves; none if it holds no weights.
    pub version: Option<ModelVersion>,
    /// The manifest of that version, if the engine reports manifests.
    pub manifest: Option<ManifestDigest>,
    /// Whether the engine reports the manifest of its weights, or only the version.
    #[serde(default = "tells_manifest")]
    pub tells_manifest: bool,
    /// Highest fencing token of the orders that it has carried out.
    pub fencing: u64,
    /// Manifests of which chunks are staged.
    #[serde(default)]
    pub staged: Vec<ManifestDigest>,
    /// Current load of the engine.
    pub load: LoadReport,
    /// The layers that it has loaded, if it reports layers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layers: Option<LoadedLayers>,
}

fn tells_manifest() -> bool {
    true
}

impl EngineStatus {
    /// Whether the engine serves these weights; compares only the version if it does not
    /// report manifests.
    pub fn serves(&self, version: &ModelVersion, manifest: ManifestDigest) -> bool {
        let is_manifest = !self.tells_manifest || self.manifest == Some(manifest);
        self.version.as_ref() == Some(version) && is_manifest
    }
}

/// Bitmap of the staged chunks, least significant bit first.
#[apply(record!)]
#[derive(Eq)]
pub struct StagedBitmap {
    /// The bitmap in hexadecimal digits.
    pub bits: String,
}

impl StagedBitmap {
    /// Packs one flag per chunk.
    pub fn pack(flags: &[bool]) -> Self {
        Self { bits: hex::encode(pack_flags(flags)) }
    }
}

/// An order to load staged weights and serve them.
#[apply(record!)]
#[derive(Eq)]
pub struct LoadOrder {
    /// Version to serve.
    pub version: ModelVersion,
    /// Manifest of the staged weights.
    pub manifest: ManifestDigest,
    /// Fencing token; engines that check it refuse an order with a lower one than before.
    pub fencing: u64,
}

/// An order to load the staged chunks of a range of layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayerOrder {
    /// Version and manifest of the staged chunks, and the fencing token.
    pub load: LoadOrder,
    /// The layers to load.
    pub range: LayerRange,
    /// Number of layers of the model.
    pub layers: u32,
}

/// Age of the check of the chunks that an engine has loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckAge {
    /// When the order was sent, in milliseconds.
    pub at_order_ms: u64,
    /// When the order was answered, in milliseconds.
    pub at_answer_ms: u64,
}

/// Why a call of an engine failed.
#[derive(Debug, Clone, thiserror::Error)]
pub enum EngineError {
    /// The call never reached the engine.
    #[error("the request was not sent to the engine: {0}")]
    NotSent(String),
    /// The engine refused; nothing happened.
    #[error("the engine refused: {0}")]
    Refused(String),
    /// The engine has no such operation; nothing happened.
    #[error("the engine refused: not supported: {0}")]
    Unsupported(String),
    /// Staged chunks that the order needs are missing or corrupt; nothing happened.
    #[error("staged chunks {0:?} are missing or corrupt")]
    Damaged(Vec<usize>),
    /// The engine may have loaded corrupt chunks, and was ordered to drop them.
    #[error("the loaded weights are not proved to be intact: {0}")]
    Unproved(String),
    /// The outcome is unknown: the call may have had effects.
    #[error("the engine did not answer: {0}")]
    NoAnswer(String),
}

impl From<ClientError> for EngineError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotSent(detail) => Self::NotSent(detail),
            ClientError::NoAnswer(detail) => Self::NoAnswer(detail),
            ClientError::TooLong(_) => Self::NoAnswer(error.to_string()),
        }
    }
}

/// Head of an engine's response; the body follows as a stream.
#[derive(Debug)]
pub struct EngineResponse {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Further end-to-end header fields.
    pub headers: Vec<HeaderField>,
    /// Version that gave the response, as stated by the engine.
    pub version: Option<ModelVersion>,
    /// Body of the response; dropping it cancels the run.
    pub body: Incoming,
}

/// Client of an engine or a plain service.
pub trait ModelEngine: Send + Sync {
    /// Reads version and load.
    fn status(&self) -> EdgeFuture<'_, Result<EngineStatus, EngineError>>;

    /// Stops reporting weights that a former process has loaded, until they are loaded again; false
    /// if the engine verifies its chunks itself and holds no corrupt weights.
    fn distrust_held(&self) -> bool {
        false
    }

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

    /// Discards the staged chunks of `manifest`; the loaded weights stay.
    fn discard_staging(&self, manifest: ManifestDigest) -> EdgeFuture<'_, Result<(), EngineError>>;

    /// Loads the staged weights, which then serve all requests; returns the age of the check that
    /// the load relies on, or none if the engine verifies its chunks itself.
    fn load_weights<'a>(
        &'a self,
        order: &'a LoadOrder,
    ) -> EdgeFuture<'a, Result<Option<CheckAge>, EngineError>>;

    /// Loads a range of layers, after all chunks of the range were read back and verified.
    ///
    /// Requests can then pass through this engine and others that have the remaining layers.
    fn load_layers<'a>(&'a self, order: &'a LayerOrder) -> EdgeFuture<'a, Result<(), EngineError>>;

    /// Runs a request and returns the head of its response.
    fn call<'a>(
        &'a self,
        head: &'a RequestHead,
        body: Bytes,
    ) -> EdgeFuture<'a, Result<EngineResponse, EngineError>>;
}
