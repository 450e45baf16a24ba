//! Stand-in of the platform's engine, as its agent uses it: staging, orders and reports.
//!
//! Like the platform's engine it keeps the chunks of all versions in one place, does not verify
//! them, and loads them as they are when it gets an order.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use cassiawheel_model::Timestamp;
use cassiawheel_runtime::{
    http::{ReplyBody, full_body, json_reply, read_body},
    spawn,
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use smol::{Timer, channel};

use super::{RunningStandIn, empty_reply, query_of, start};
use crate::FaultSwitches;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Time that a load takes.
const LOAD_TIME: Duration = Duration::from_millis(60);

/// A load order with the chunks that were staged when it arrived.
#[derive(Debug, Clone)]
pub struct ReceivedOrder {
    /// Body of the order.
    pub body: Value,
    /// Staged chunks by index.
    pub chunks: BTreeMap<usize, Bytes>,
}

/// Weights that the engine holds.
#[derive(Debug, PartialEq)]
struct LoadedRange {
    model: Value,
    version: Value,
    /// First layer and the first one after the range; none for all layers.
    layers: Option<(Value, Value)>,
}

/// State of the engine, changed by its agent and by tests.
#[derive(Debug, Default)]
pub struct LayerEngineState {
    /// Staged chunks by index.
    pub chunks: BTreeMap<usize, Bytes>,
    /// Orders, oldest first.
    pub orders: Vec<ReceivedOrder>,
    /// Whether orders with a range of layers are refused.
    pub refuses_ranges: bool,
    /// Delay of each answer to a chunk that is read back.
    pub read_delay: Duration,
    /// Number of reads of chunks that have arrived.
    pub reads: usize,
    /// Delay before a chunk is stored, also if its sender has given up.
    pub write_delay: Duration,
    /// Delay before an order is accepted, also if its caller has given up.
    pub order_delay: Duration,
    /// Number of accepted orders.
    sequence: u64,
    loaded: Option<LoadedRange>,
    loaded_at: Option<Timestamp>,
}

/// A running engine, which stops when this is dropped.
#[derive(Debug)]
pub struct LayerEngine {
    state: Arc<Mutex<LayerEngineState>>,
    running: RunningStandIn,
}

impl LayerEngine {
    /// Starts an engine without weights on a free port.
    pub async fn start() -> std::io::Result<Self> {
        let state = Arc::<Mutex<LayerEngineState>>::default();
        let handled = state.clone();
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let running = start(addr, Arc::new(FaultSwitches::default()), move |request| {
            let state = handled.clone();
            async move { handle(&state, request).await }
        })
        .await?;
        Ok(Self { state, running })
    }

    /// Address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.running.addr
    }

    /// Locks its state.
    pub fn state(&self) -> MutexGuard<'_, LayerEngineState> {
        lock(&self.state)
    }
}

fn lock(state: &Mutex<LayerEngineState>) -> MutexGuard<'_, LayerEngineState> {
    state.lock().unwrap_or_else(|poison| poison.into_inner())
}

async fn handle(
    state: &Arc<Mutex<LayerEngineState>>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let (head, body) = request.into_parts();
    let Ok(body) = read_body(body, MAX_BODY_BYTES).await else {
        return empty_reply(StatusCode::BAD_REQUEST);
    };
    let index = query_of(&head.uri).get("sample_count").and_then(|text| text.parse().ok());
    let parts: Vec<_> = head.uri.path().trim_start_matches('/').split('/').collect();
    match (&head.method, parts.as_slice(), index) {
        (&Method::GET, ["v1", "report"], _) => json_reply(StatusCode::OK, &lock(state).report()),
        (&Method::GET, ["v1", "stage-get", _], None) => {
            let held: Vec<_> = lock(state).chunks.keys().copied().collect();
            json_reply(StatusCode::OK, &json!({ "held": held }))
        }
        (&Method::GET, ["v1", "stage-get", _], Some(index)) => {
            lock(state).reads += 1;
            let delay = lock(state).read_delay;
            Timer::after(delay).await;
            match lock(state).chunks.get(&index).cloned() {
                Some(bytes) => Response::new(full_body(bytes)),
                None => empty_reply(StatusCode::NOT_FOUND),
            }
        }
        (&Method::PUT, ["v1", "stage-put", _], Some(index)) => {
            let (state, delay) = (state.clone(), lock(state).write_delay);
            let (sender, answer) = channel::bounded(1);
            // Detached: a write takes effect even if its sender has left.
            spawn(async move {
                Timer::after(delay).await;
                lock(&state).chunks.insert(index, body);
                let _ = sender.send(StatusCode::OK).await;
            })
            .detach();
            empty_reply(answer.recv().await.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        }
        (&Method::POST, ["v1", "order"], _) => {
            let order = serde_json::from_slice(&body).unwrap_or_default();
            let (state, delay) = (state.clone(), lock(state).order_delay);
            let (sender, answer) = channel::bounded(1);
            // Detached: an order takes effect even if its caller has left.
            spawn(async move {
                Timer::after(delay).await;
                let status = lock(&state).begin_load(order);
                let _ = sender.send(status).await;
            })
            .detach();
            empty_reply(answer.recv().await.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        }
        _ => empty_reply(StatusCode::NOT_FOUND),
    }
}

impl LayerEngineState {
    fn begin_load(&mut self, body: Value) -> StatusCode {
        if self.refuses_ranges && body.get("from").is_some() {
            return StatusCode::BAD_REQUEST;
        }
        if body.get("precondition").is_some_and(|sequence| *sequence != json!(self.sequence)) {
            return StatusCode::CONFLICT;
        }
        let ordered = LoadedRange::of(&body);
        if self.loaded.as_ref() == Some(&ordered) {
            return StatusCode::OK;
        }
        self.sequence += 1;
        // Layers are dropped at once.
        let load_ms = if ordered.is_empty() { 0 } else { LOAD_TIME.as_millis() as u64 };
        self.loaded = Some(ordered);
        self.orders.push(ReceivedOrder { body, chunks: self.chunks.clone() });
        self.loaded_at = Some(Timestamp(Timestamp::now().0 + load_ms));
        StatusCode::ACCEPTED
    }

    fn report(&self) -> Value {
        let is_busy = self.loaded_at.is_some_and(|at| at > Timestamp::now());
        let mut report = json!({
            "models": [], "busy": is_busy, "queued": 0, "active": 0, "sequence": self.sequence,
        });
        let Some(loaded) = self.loaded.as_ref().filter(|loaded| !is_busy && !loaded.is_empty())
        else {
            return report;
        };
        match &loaded.layers {
            Some((from, target)) => {
                report["layers"] =
                    json!({ "from": from, "target": target, "version": loaded.version });
            }
            None => {
                report["models"] = json!([{ "name": loaded.model, "version": loaded.version }]);
            }
        }
        report
    }
}

impl LoadedRange {
    fn of(body: &Value) -> Self {
        let layers = body.get("from").cloned().zip(body.get("target").cloned());
        Self { model: body["model"].clone(), version: body["version"].clone(), layers }
    }

    fn is_empty(&self) -> bool {
        self.layers.as_ref().is_some_and(|(from, target)| from == target)
    }
}
