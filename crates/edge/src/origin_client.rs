//! The HTTP client of an origin of weights.
//!
//! An origin admits few connections, which all processes of a deployment share.
//! What a process holds there, and why a call failed, is told by metrics and
//! logs: an origin that is away, one without a free connection and one that is
//! slow look alike to whoever waits for weights.

use std::{net::SocketAddr, sync::LazyLock, time::Duration};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use crate::{ClientError, HttpClient, WeightError, table_http::retry_after};

/// What this process does at the origin.
pub struct OriginMetrics {
    /// Connections to the origin that are open.
    connections: IntGauge,
    /// Calls of the origin that failed, by the way in which they did.
    failures: IntCounterVec,
}

/// The metrics of this process.
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

/// A client of an origin that holds a connection only while a call is under way.
///
/// An instance that loses power does not close its connections, and the origin
/// goes on counting them. Idle ones that fifty instances kept filled an origin of
/// 48 when all lost power: it reset every new connection for eighteen seconds and
/// longer, no manifest could be read and no engine served. One notices failures of
/// the origin after connecting, with hardly a connection of ours open. Calls are
/// short, so that little is left of what an instance did when it went dark. A
/// connection for each call costs one round trip in some 40 ms that a chunk takes.
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
    /// What `path` at `addr` holds, read within `max_wait`.
    pub async fn get(
        &self,
        addr: SocketAddr,
        path: &str,
        max_wait: Duration,
    ) -> Result<Bytes, WeightError> {
        let reply = self.client.call(Method::GET, addr, path, Bytes::new(), max_wait).await;
        let reply = reply.inspect_err(|error| note_failure(path, error))?;
        match reply.status() {
            StatusCode::OK => Ok(reply.into_body()),
            // Gone are versions that newer ones have replaced.
            StatusCode::NOT_FOUND | StatusCode::GONE => Err(WeightError::NotFound),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(WeightError::RateLimited { retry_after: retry_after(&reply) })
            }
            status => Err(WeightError::Failed(status.to_string())),
        }
    }
}

fn note_failure(path: &str, error: &ClientError) {
    // An origin that is away refuses connections; one that has no place left
    // resets them, while they are made or at their first request.
    let end = match error {
        ClientError::NotSent(_) => "unreached",
        ClientError::NoAnswer(_) => "broken",
    };
    ORIGIN_METRICS.failures.with_label_values(&[end]).inc();
    let open = ORIGIN_METRICS.connections.get();
    log::info!(target: "origin", path, end, open, cause:% = error; "The origin gave no answer.");
}
