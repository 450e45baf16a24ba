//! HTTP listeners with limits.
//!
//! Every listener bounds its open connections, the size of a request's head,
//! and the time a client may take to send it; a slow or greedy client thus
//! costs one connection at most. Bodies are bounded where they are read.

use std::{
    convert::Infallible, future::Future, net::SocketAddr, pin::pin, sync::Arc, time::Duration,
};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    service::service_fn,
};
use serde::Serialize;
use smol::{
    lock::Semaphore,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{ShutdownSignal, spawn};

/// Body of every response.
pub type ReplyBody = BoxBody<Bytes, std::io::Error>;

/// Limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Most open connections; further ones wait in the kernel's queue.
    pub connections: usize,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Longest time to receive a request's head.
    pub head_time: Duration,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self { connections: 1_024, head_bytes: 32 << 10, head_time: Duration::from_secs(10) }
    }
}

/// Accepts connections until `shutdown`; then finishes the requests in progress.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ListenerLimits,
    shutdown: ShutdownSignal,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let slots = Arc::new(Semaphore::new(limits.connections));
    loop {
        let accepted = async {
            let slot = slots.acquire_arc().await;
            (listener.accept().await, slot)
        };
        let (accepted, slot) = match select(pin!(accepted), pin!(shutdown.wait())).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        let Ok((stream, remote)) = accepted else {
            // Out of file descriptors, most likely; a short pause keeps the
            // accept loop from spinning until some are free again.
            smol::Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        let handler = handler.clone();
        let shutdown = shutdown.clone();
        spawn(async move {
            serve_connection(stream, remote, limits, shutdown, handler).await;
            drop(slot);
        })
        .detach();
    }
    drop(listener);
    // All slots free again means that every connection has ended.
    for _ in 0..limits.connections {
        slots.acquire_arc().await.forget();
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    remote: SocketAddr,
    limits: ListenerLimits,
    shutdown: ShutdownSignal,
    handler: Arc<H>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let reply = handler(request, remote);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let mut connection = pin!(
        hyper::server::conn::http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(limits.head_time)
            .max_buf_size(limits.head_bytes.max(8 << 10))
            .serve_connection(FuturesIo::new(stream), service)
    );
    match select(connection.as_mut(), pin!(shutdown.wait())).await {
        Either::Left(_) => {}
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// Longer than allowed.
    TooLong,
    /// The client stopped sending.
    Cut,
}

/// Reads a whole body of at most `limit` bytes.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Err(_) => Err(BodyError::Cut),
    }
}

/// A body that is known as a whole.
pub fn full_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// A response with a JSON body.
pub fn json_reply(status: StatusCode, value: &impl Serialize) -> Response<ReplyBody> {
    let text = serde_json::to_vec(value).unwrap_or_else(|_| b"{}".to_vec());
    let mut reply = Response::new(full_body(text));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// An error body: a code for programs and a sentence for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ErrorReply<'a> {
    /// Stable code.
    pub error: &'a str,
    /// What is wrong and what would be right.
    pub message: String,
}

/// A response that reports an error.
pub fn error_reply(
    status: StatusCode,
    error: &str,
    message: impl Into<String>,
) -> Response<ReplyBody> {
    json_reply(status, &ErrorReply { error, message: message.into() })
}
