//! HTTP listeners with limits.
//!
//! Every listener bounds its open connections, the size of a request's head,
//! the time a client may take to send it, and the time in which it may take
//! nothing of its answer; a slow or greedy client thus costs one connection
//! for a while. Size and time of bodies are bounded where they are read.

mod stall;

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
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{ShutdownSignal, listener::accept_connections, timeout};
use stall::StallSocket;

/// Body of every response.
pub type ReplyBody = BoxBody<Bytes, std::io::Error>;

/// Limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Most open connections; further ones wait in the kernel's queue.
    pub connections: usize,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Longest time to receive a request's head; also ends idle connections.
    pub head_timeout: Duration,
    /// Longest time in which a client takes nothing of its answer.
    pub write_timeout: Duration,
}

/// Longest time to receive a body, unless the caller of [`read_body_within`] says otherwise.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Smallest head that the HTTP library can be limited to, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            head_bytes: 32 << 10,
            head_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
        }
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
    let closing = shutdown.clone();
    accept_connections(listener, limits.connections, shutdown, move |stream, remote| {
        serve_connection(stream, remote, limits, closing.clone(), handler.clone())
    })
    .await;
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
    let service = service_fn(move |request| {
        let reply = handler(request, remote);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let socket = StallSocket::new(stream, limits.write_timeout);
    let mut connection = pin!(
        hyper::server::conn::http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
            .serve_connection(FuturesIo::new(socket), service)
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
    Truncated,
    /// The client took too long.
    TimedOut,
}

/// Reads a whole body of at most `limit` bytes within [`BODY_TIMEOUT`].
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    read_body_within(body, limit, BODY_TIMEOUT).await
}

/// Reads a whole body of at most `limit` bytes within `span`.
pub async fn read_body_within(
    body: Incoming,
    limit: usize,
    span: Duration,
) -> Result<Bytes, BodyError> {
    match timeout(span, Limited::new(body, limit).collect()).await {
        None => Err(BodyError::TimedOut),
        Some(Ok(collected)) => Ok(collected.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Some(Err(_)) => Err(BodyError::Truncated),
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
