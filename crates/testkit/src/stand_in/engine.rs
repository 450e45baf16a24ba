//! Stand-in of a model engine.
//!
//! Its answers are derived from the loaded bytes, which it does not verify, so
//! a partial or mixed load changes every answer.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cassiawheel_edge::{
    EngineStatus, LoadOrder, StagedBitmap,
    engine_http::{REQUEST_ID_HEADER, VERSION_HEADER},
};
use cassiawheel_model::{
    LoadReport, ManifestDigest, ModelVersion, Timestamp, WeightManifest, record,
};
use cassiawheel_runtime::http::{ReplyBody, error_reply, full_body, json_reply, read_body};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::HeaderValue,
};
use macro_rules_attribute::apply;

use super::{RunningStandIn, start};
use crate::{FaultSwitches, weights::answer_token};

/// Largest request body (chunk or prompt), in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Body of a generation request.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct GenerateCall {
    /// Prompt that determines the answer, together with the weights.
    pub prompt: String,
    /// Number of tokens in the answer.
    pub tokens: u32,
    /// Time between tokens, in milliseconds.
    #[serde(default)]
    pub token_ms: u64,
}

/// Weights, staged chunks and runs of the engine.
#[derive(Debug, Default)]
pub struct EngineState {
    inner: Mutex<EngineInner>,
    in_flight: AtomicU32,
    checks_fencing: bool,
    skips_chunk_check: AtomicBool,
}

#[derive(Debug, Default)]
struct EngineInner {
    staging: HashMap<ManifestDigest, Vec<Option<Bytes>>>,
    loaded: Option<LoadedImage>,
    fencing: u64,
    runs: Vec<BegunRun>,
}

/// A generation that the engine has begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BegunRun {
    /// Request id from the request's header; empty if it had none.
    pub request: String,
    /// Time at which the run began.
    pub begun_at: Timestamp,
}

#[derive(Debug, Clone)]
struct LoadedImage {
    version: ModelVersion,
    manifest: ManifestDigest,
    digest: [u8; 32],
}

impl EngineState {
    /// An engine without weights; `checks_fencing` makes it refuse a load order whose
    /// fencing token is lower than that of the last one.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, ..Self::default() }
    }

    /// Replaces the first chunk by zeros when it is staged, as an engine that does not
    /// verify chunks might.
    pub fn skip_chunk_check(&self, on: bool) {
        self.skips_chunk_check.store(on, Ordering::SeqCst);
    }

    /// Serves the engine at `addr`.
    pub async fn serve(
        self: &Arc<Self>,
        addr: SocketAddr,
        switches: Arc<FaultSwitches>,
    ) -> std::io::Result<RunningStandIn> {
        let engine = self.clone();
        start(addr, switches, move |request| {
            let engine = engine.clone();
            async move { engine.handle(request).await }
        })
        .await
    }

    /// Version of the loaded weights.
    pub fn version(&self) -> Option<ModelVersion> {
        self.lock().loaded.as_ref().map(|image| image.version.clone())
    }

    /// Ids of the requests that it has begun to run, oldest first.
    pub fn runs(&self) -> Vec<String> {
        self.lock().runs.iter().map(|run| run.request.clone()).collect()
    }

    /// Requests that it has begun to run with their start times, oldest first.
    pub fn begun_runs(&self) -> Vec<BegunRun> {
        self.lock().runs.clone()
    }

    /// Digests of the manifests that have a staging area.
    pub fn staged(&self) -> Vec<ManifestDigest> {
        self.lock().staging.keys().copied().collect()
    }

    /// Number of chunks of `manifest` that are staged.
    pub fn staged_chunks(&self, manifest: ManifestDigest) -> usize {
        let inner = self.lock();
        inner.staging.get(&manifest).map_or(0, |chunks| chunks.iter().flatten().count())
    }

    /// Digest of the loaded bytes.
    pub fn answer_digest(&self) -> Option<[u8; 32]> {
        self.lock().loaded.as_ref().map(|image| image.digest)
    }

    /// Fencing token of the load order that it carried out last.
    pub fn fencing(&self) -> u64 {
        self.lock().fencing
    }

    /// Discards the weights, all staged chunks and the recorded runs, as a restart of the
    /// engine does.
    pub fn restart(&self) {
        *self.lock() = EngineInner::default();
    }

    fn lock(&self) -> MutexGuard<'_, EngineInner> {
        self.inner.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<ReplyBody> {
        let (head, body) = request.into_parts();
        let Ok(body) = read_body(body, MAX_BODY_BYTES).await else {
            return error_reply(StatusCode::BAD_REQUEST, "body", "the body cannot be read");
        };
        let parts: Vec<_> = head.uri.path().trim_start_matches('/').split('/').collect();
        match (&head.method, parts.as_slice()) {
            (&Method::GET, ["v1", "engine", "status"]) => {
                json_reply(StatusCode::OK, &self.status())
            }
            (&Method::PUT, ["v1", "engine", "staging", digest]) => self.stage(digest, &body),
            (&Method::DELETE, ["v1", "engine", "staging", digest]) => self.drop_staging(digest),
            (&Method::PUT, ["v1", "engine", "staging", digest, index]) => {
                self.stage_chunk(digest, index, body)
            }
            (&Method::GET, ["v1", "engine", "staging", digest, index]) => {
                self.read_chunk(digest, index)
            }
            (&Method::POST, ["v1", "engine", "load"]) => self.load(&body),
            (&Method::POST, ["v1", "generate"]) => {
                let id = head.headers.get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
                self.generate(id.unwrap_or_default(), &body)
            }
            _ => error_reply(StatusCode::NOT_FOUND, "not-found", head.uri.path()),
        }
    }

    fn status(&self) -> EngineStatus {
        let inner = self.lock();
        EngineStatus {
            version: inner.loaded.as_ref().map(|image| image.version.clone()),
            manifest: inner.loaded.as_ref().map(|image| image.manifest),
            tells_manifest: true,
            fencing: inner.fencing,
            staged: inner.staging.keys().copied().collect(),
            load: LoadReport {
                in_flight: self.in_flight.load(Ordering::Relaxed),
                queued: 0,
                measured_at: Timestamp::now(),
            },
            layers: None,
        }
    }

    fn stage(&self, digest: &str, body: &[u8]) -> Response<ReplyBody> {
        let parsed = digest.parse::<ManifestDigest>().ok();
        let manifest = serde_json::from_slice::<WeightManifest>(body).ok();
        let Some((digest, manifest)) = parsed.zip(manifest) else {
            return error_reply(StatusCode::BAD_REQUEST, "manifest", "not a manifest");
        };
        let mut inner = self.lock();
        let chunks =
            inner.staging.entry(digest).or_insert_with(|| vec![None; manifest.chunks.len()]);
        let mut bits = vec![0_u8; chunks.len().div_ceil(8)];
        for (index, _) in chunks.iter().enumerate().filter(|(_, chunk)| chunk.is_some()) {
            bits[index / 8] |= 1 << (index % 8);
        }
        let bits = bits.iter().map(|byte| format!("{byte:02x}")).collect();
        json_reply(StatusCode::OK, &StagedBitmap { bits })
    }

    fn stage_chunk(&self, digest: &str, index: &str, body: Bytes) -> Response<ReplyBody> {
        let mut inner = self.lock();
        let slot = staged(&mut inner, digest)
            .and_then(|chunks| chunks.get_mut(index.parse::<usize>().ok()?));
        let Some(slot) = slot else {
            return error_reply(StatusCode::NOT_FOUND, "staging", "no such chunk");
        };
        let is_corrupt = index == "0" && self.skips_chunk_check.load(Ordering::SeqCst);
        *slot = Some(if is_corrupt { Bytes::from(vec![0; body.len()]) } else { body });
        full_reply("")
    }

    fn drop_staging(&self, digest: &str) -> Response<ReplyBody> {
        if let Ok(digest) = digest.parse::<ManifestDigest>() {
            self.lock().staging.remove(&digest);
        }
        full_reply("")
    }

    fn read_chunk(&self, digest: &str, index: &str) -> Response<ReplyBody> {
        let mut inner = self.lock();
        let chunk = staged(&mut inner, digest)
            .and_then(|chunks| chunks.get(index.parse::<usize>().ok()?)?.clone());
        match chunk {
            Some(bytes) => full_reply(bytes),
            None => error_reply(StatusCode::NOT_FOUND, "staging", "no such chunk"),
        }
    }

    fn load(&self, body: &[u8]) -> Response<ReplyBody> {
        let Ok(order) = serde_json::from_slice::<LoadOrder>(body) else {
            return error_reply(StatusCode::BAD_REQUEST, "order", "not an order");
        };
        let mut inner = self.lock();
        if self.checks_fencing && order.fencing < inner.fencing {
            return error_reply(StatusCode::CONFLICT, "fencing", "the order is old");
        }
        let Some(chunks) = inner.staging.get(&order.manifest) else {
            return error_reply(StatusCode::NOT_FOUND, "staging", "nothing is staged");
        };
        let mut hasher = blake3::Hasher::new();
        for chunk in chunks.iter().flatten() {
            hasher.update(chunk);
        }
        inner.loaded = Some(LoadedImage {
            version: order.version,
            manifest: order.manifest,
            digest: *hasher.finalize().as_bytes(),
        });
        inner.fencing = order.fencing;
        full_reply("")
    }

    fn generate(self: &Arc<Self>, id: &str, body: &[u8]) -> Response<ReplyBody> {
        let Ok(call) = serde_json::from_slice::<GenerateCall>(body) else {
            return error_reply(StatusCode::BAD_REQUEST, "prompt", "not a generation");
        };
        let mut inner = self.lock();
        inner.runs.push(BegunRun { request: id.to_owned(), begun_at: Timestamp::now() });
        let Some(image) = inner.loaded.clone() else {
            return error_reply(StatusCode::INTERNAL_SERVER_ERROR, "empty", "no weights");
        };
        drop(inner);
        let run = EngineRun::begin(self.clone());
        let tokens = stream::unfold((run, 0), move |(run, index)| {
            let (call, image) = (call.clone(), image.clone());
            async move {
                if index >= call.tokens {
                    return None;
                }
                if call.token_ms > 0 {
                    smol::Timer::after(Duration::from_millis(call.token_ms)).await;
                }
                let token = answer_token(&run.weights(&image), &call.prompt, index);
                Some((Ok(Frame::data(Bytes::from(token))), (run, index + 1)))
            }
        });
        let version = self.version().map(|version| version.to_string()).unwrap_or_default();
        let mut reply = Response::new(BodyExt::boxed(StreamBody::new(tokens)));
        if let Ok(value) = HeaderValue::from_str(&version) {
            reply.headers_mut().insert(VERSION_HEADER, value);
        }
        reply
    }
}

/// A run in progress, counted in the reported load until it is dropped.
struct EngineRun {
    engine: Arc<EngineState>,
}

impl EngineRun {
    fn begin(engine: Arc<EngineState>) -> Self {
        engine.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { engine }
    }

    /// Digest that the next token is derived from: that of the weights loaded now.
    ///
    /// A real engine whose weights are replaced during a run mixes versions as well.
    fn weights(&self, begun_with: &LoadedImage) -> [u8; 32] {
        self.engine.lock().loaded.as_ref().unwrap_or(begun_with).digest
    }
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        self.engine.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

fn staged<'a>(inner: &'a mut EngineInner, digest: &str) -> Option<&'a mut Vec<Option<Bytes>>> {
    inner.staging.get_mut(&digest.parse().ok()?)
}

fn full_reply(bytes: impl Into<Bytes>) -> Response<ReplyBody> {
    Response::new(full_body(bytes))
}
