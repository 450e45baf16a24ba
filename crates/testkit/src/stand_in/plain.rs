//! Stand-in of a plain service, such as a booth ledger.
//!
//! It carries out every call it receives and keeps no keys, as a service
//! without idempotency does: a call that arrives twice is carried out twice.

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

/// Largest call, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Path at which agents ask for the load.
const STATUS_PATH: &str = "/v1/engine/status";

/// Header that the service gives back.
pub const ECHO_HEADER: &str = "x-booth";

/// One call that was carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CarriedCall {
    /// The request id that came with it.
    pub request: String,
    /// The idempotency key, if one came with it.
    pub key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// When it began.
    pub begun_at: Timestamp,
}

/// Calls that a plain service has carried out.
#[derive(Debug, Default)]
pub struct PlainLedger {
    calls: Mutex<Vec<CarriedCall>>,
    in_flight: AtomicU32,
    work: Duration,
}

impl PlainLedger {
    /// A service that works `work` long on each call.
    pub fn new(work: Duration) -> Self {
        Self { work, ..Self::default() }
    }

    /// Serves at `addr`.
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

    /// What has been carried out, in order.
    pub fn calls(&self) -> Vec<CarriedCall> {
        self.calls.lock().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// Its load, which it tells like a model engine but without a version.
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
        // What only the system may say of an outcome.
        reply.headers_mut().insert("cassiawheel-attempts", HeaderValue::from_static("99"));
        reply
    }
}

/// A call in progress; counts as load until it is dropped.
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
