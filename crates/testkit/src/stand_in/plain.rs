//! Stand-in of a plain service, such as a booth ledger.
//!
//! It carries out every call and does not store idempotency keys, so a call that
//! arrives twice is carried out twice, as at a service without idempotency.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use cassiawheel_edge::{
    EngineStatus,
    engine_http::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER},
};
use cassiawheel_model::{LoadReport, Timestamp};
use cassiawheel_runtime::http::{ReplyBody, error_reply, full_body, json_reply, read_body};
use hyper::{Request, Response, StatusCode, body::Incoming, header::HeaderValue};

use super::{RunningStandIn, start};
use crate::FaultSwitches;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Path from which agents read the load.
const STATUS_PATH: &str = "/v1/engine/status";

/// Request header that the service copies into its answer.
pub const ECHO_HEADER: &str = "x-booth";

/// One call that was carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CarriedCall {
    /// Request id from the request's header; empty if it had none.
    pub request: String,
    /// Idempotency key from the request's header, if it had one.
    pub key: Option<String>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Time at which the service began to work on it.
    pub begun_at: Timestamp,
}

/// Calls that a plain service has begun to carry out, and its current load.
#[derive(Debug, Default)]
pub struct PlainLedger {
    calls: Mutex<Vec<CarriedCall>>,
    in_flight: AtomicU32,
    work: Duration,
}

impl PlainLedger {
    /// A service that takes `work` for each call.
    pub fn new(work: Duration) -> Self {
        Self { work, ..Self::default() }
    }

    /// Serves the service at `addr`.
    pub async fn serve(
        self: &Arc<Self>,
        addr: SocketAddr,
        switches: Arc<FaultSwitches>,
    ) -> std::io::Result<RunningStandIn> {
        let ledger = self.clone();
        start(addr, switches, move |request| {
            let ledger = ledger.clone();
            async move { ledger.handle(request).await }
        })
        .await
    }

    /// Calls that it has begun to carry out, oldest first.
    pub fn calls(&self) -> Vec<CarriedCall> {
        self.calls.lock().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// Status with its load, in the format of a model engine but without a version.
    fn status(&self) -> EngineStatus {
        let load = LoadReport {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            queued: 0,
            measured_at: Timestamp::now(),
        };
        EngineStatus {
            version: None,
            manifest: None,
            tells_manifest: true,
            fencing: 0,
            staged: Vec::new(),
            load,
            layers: None,
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let (head, body) = request.into_parts();
        if head.uri.path() == STATUS_PATH {
            return json_reply(StatusCode::OK, &self.status());
        }
        let Ok(body) = read_body(body, MAX_BODY_BYTES).await else {
            return error_reply(StatusCode::BAD_REQUEST, "body", "the body cannot be read");
        };
        let text = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let call = CarriedCall {
            request: text(REQUEST_ID_HEADER).unwrap_or_default(),
            key: text(IDEMPOTENCY_KEY_HEADER),
            body: body.to_vec(),
            begun_at: Timestamp::now(),
        };
        let answer = format!("done {} ", String::from_utf8_lossy(&call.body));
        self.calls.lock().unwrap_or_else(|poison| poison.into_inner()).push(call);
        let _running = RunningCall::begin(&self.in_flight);
        if !self.work.is_zero() {
            smol::Timer::after(self.work).await;
        }
        let mut reply = Response::new(full_body(answer));
        if let Some(value) = head.headers.get(ECHO_HEADER) {
            reply.headers_mut().insert(ECHO_HEADER, value.clone());
        }
        // A header that only the system may set; it must not reach the caller from a service.
        reply.headers_mut().insert("cassiawheel-attempts", HeaderValue::from_static("99"));
        reply
    }
}

/// A call in progress, counted in the reported load until it is dropped.
struct RunningCall<'a> {
    in_flight: &'a AtomicU32,
}

impl<'a> RunningCall<'a> {
    fn begin(in_flight: &'a AtomicU32) -> Self {
        in_flight.fetch_add(1, Ordering::Relaxed);
        Self { in_flight }
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
