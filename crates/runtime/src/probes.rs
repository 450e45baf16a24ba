//! HTTP server for metrics and probes.
//!
//! `/metrics` returns metrics in the Prometheus text format, `/livez` succeeds
//! while the process runs, and `/readyz` succeeds while `is_ready` returns true.

use std::sync::Arc;

use hyper::{Response, StatusCode};
use prometheus::{Encoder, Registry, TextEncoder};
use smol::net::TcpListener;

use crate::{
    ShutdownSignal,
    http::{ListenerLimits, ReplyBody, error_reply, full_body, serve},
};

/// Serves metrics and probes until `shutdown`.
pub async fn serve_probes(
    listener: TcpListener,
    registry: Registry,
    is_ready: impl Fn() -> bool + Send + Sync + 'static,
    shutdown: ShutdownSignal,
) {
    let is_ready = Arc::new(is_ready);
    let limits = ListenerLimits { connections: 32, ..ListenerLimits::default() };
    serve(listener, limits, shutdown, move |request, _| {
        let (registry, is_ready) = (registry.clone(), is_ready.clone());
        async move {
            match request.uri().path() {
                "/metrics" => metrics_reply(&registry),
                "/livez" => Response::new(full_body("ok\n")),
                "/readyz" if is_ready() => Response::new(full_body("ok\n")),
                "/readyz" => error_reply(StatusCode::SERVICE_UNAVAILABLE, "not-ready", "not ready"),
                path => error_reply(StatusCode::NOT_FOUND, "not-found", format!("no page {path}")),
            }
        }
    })
    .await;
}

fn metrics_reply(registry: &Registry) -> Response<ReplyBody> {
    let mut text = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut text) {
        Ok(()) => Response::new(full_body(text)),
        Err(error) => error_reply(StatusCode::INTERNAL_SERVER_ERROR, "metrics", error.to_string()),
    }
}
