//! HTTP client of an origin of weights.
//!
//! An origin admits few connections, which all processes of a deployment share.
//! Metrics and logs report the open connections of this process and why calls failed:
//! without them, an unreachable origin, one without a free connection and a slow one
//! cannot be told apart when weights do not arrive.

use std::{net::SocketAddr, sync::LazyLock};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use crate::{ClientError, HttpClient, ReplyBounds, WeightError, table_http::retry_after};

/// Least bound of an answer, in bytes.
const MIN_REPLY_BYTES: usize = 64 << 10;

/// Metrics of this process's connections and calls to the origin.
pub struct OriginMetrics {
    /// Number of open connections to the origin.
    connections: IntGauge,
    /// Number of failed calls, by how they failed.
    failures: IntCounterVec,
}

/// Origin metrics of this process.
pub static ORIGIN_METRICS: LazyLock<OriginMetrics> = LazyLock::new(OriginMetrics::new);

impl OriginMetrics {
    fn new() -> Self {
        // Names and labels are fixed and valid, so neither can fail at run time.
        let connections =
            IntGauge::new("cassiawheel_origin_connections", "Open connections to the origin")
                .unwrap_or_else(|error| unreachable!("a fixed metric name: {error}"));
        let failures = Opts::new("cassiawheel_origin_failures_total", "Failed calls of the origin");
        let failures = IntCounterVec::new(failures, &["end"])
            .unwrap_or_else(|error| unreachable!("a fixed metric name: {error}"));
        Self { connections, failures }
    }

    /// Adds the metrics to `registry`.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.connections.clone()))?;
        registry.register(Box::new(self.failures.clone()))
    }
}

/// A client of an origin that holds a connection only during a call.
///
/// An instance that loses power does not close its connections, and the origin keeps
/// counting them. When fifty instances lost power at once, their idle connections used
/// up the limit of 48 at the origin: it reset every new connection for 18 seconds and
/// longer, no manifest could be read and no engine served. The symptom is calls that
/// fail after connecting while this process has hardly a connection open. Calls are
/// short, so that a power loss leaves few connections behind. One connection per call
/// costs one round trip of the about 40 ms that a chunk takes.
#[derive(Clone)]
pub struct OriginClient {
    client: HttpClient,
}

impl Default for OriginClient {
    fn default() -> Self {
        Self { client: HttpClient::without_keep_alive(ORIGIN_METRICS.connections.clone()) }
    }
}

impl OriginClient {
    /// Reads the resource `path` at `addr` within `bounds`.
    pub async fn get(
        &self,
        addr: SocketAddr,
        path: &str,
        bounds: ReplyBounds,
    ) -> Result<Bytes, WeightError> {
        // An answer that names an error may be longer than a small chunk.
        let max_bytes = bounds.max_bytes.max(MIN_REPLY_BYTES);
        let bounds = ReplyBounds { max_bytes, ..bounds };
        let reply = self.client.call(Method::GET, addr, path, Bytes::new(), bounds).await;
        let reply = reply.inspect_err(|error| record_failure(path, error))?;
        match reply.status() {
            StatusCode::OK => Ok(reply.into_body()),
            // The origin answers 410 for versions that newer ones have replaced.
            StatusCode::NOT_FOUND | StatusCode::GONE => Err(WeightError::NotFound),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(WeightError::RateLimited { retry_after: retry_after(&reply) })
            }
            status => Err(WeightError::Failed(status.to_string())),
        }
    }
}

fn record_failure(path: &str, error: &ClientError) {
    // An unreachable origin refuses connections. One at its connection limit resets
    // them, while they are established or at their first request.
    let end = match error {
        ClientError::NotSent(_) => "unreached",
        ClientError::NoAnswer(_) => "broken",
        ClientError::TooLong(_) => "too_long",
    };
    ORIGIN_METRICS.failures.with_label_values(&[end]).inc();
    let open = ORIGIN_METRICS.connections.get();
    log::info!(target: "origin", path, end, open, cause:% = error; "The origin gave no answer.");
}
