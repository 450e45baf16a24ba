//! HTTP servers with limits on connections, sizes and times.
//!
//! Every listener limits its open connections, the size of a request head, the
//! time to receive it, and the time for which a write to the client may stall, so
//! a slow or greedy client occupies only one connection for a limited time. Size
//! and time of a body are limited where it is read.

mod close_watch;
mod write_timeout;

use std::{
    convert::Infallible, future::Future, net::SocketAddr, pin::pin, sync::Arc, time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::future::{Either, select};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
    service::service_fn,
};
use serde::Serialize;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{ShutdownSignal, listener::accept_connections, spawn, timeout};
use close_watch::WatchedSocket;
use write_timeout::WriteTimeoutSocket;

/// Body of responses.
pub type ReplyBody = BoxBody<Bytes, std::io::Error>;

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Most open connections; further ones wait in the kernel's accept queue.
    pub connections: usize,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Timeout for receiving a request head, which also closes idle connections.
    pub head_timeout: Duration,
    /// Timeout for writes to a client that reads nothing of its answer.
    pub write_timeout: Duration,
}

/// Timeout for receiving a body with [`read_body`].
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Smallest limit for a request head that the HTTP library accepts, in bytes.
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

/// Serves connections until `shutdown`, then finishes the requests in progress.
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
    let socket = WriteTimeoutSocket::new(stream, limits.write_timeout);
    let (socket, watch) = WatchedSocket::new(socket);
    let mut closed = pin!(watch.closed());
    let mut connection = pin!(
        hyper::server::conn::http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
            .serve_connection(FuturesIo::new(socket), service)
    );
    let ended = select(connection.as_mut(), closed.as_mut());
    let is_stopping = matches!(select(ended, pin!(shutdown.wait())).await, Either::Right(_));
    if is_stopping {
        connection.as_mut().graceful_shutdown();
        select(connection, closed).await;
    }
}

/// Error of reading a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than allowed.
    TooLong,
    /// The connection ended before the end of the body.
    Truncated,
    /// The body was not received in time.
    TimedOut,
    /// There is no room for the body; it was not read.
    NoRoom,
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

/// Reads a whole body of at most `limit` bytes within `span`, into memory that `reserve` grants.
///
/// `reserve` is called with the length that the caller states, before anything is read, or with
/// that of each part. A refused body is received and dropped, so that the caller gets the answer.
pub async fn read_body_reserved(
    mut body: Incoming,
    limit: usize,
    span: Duration,
    reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyError> {
    let read = timeout(span, read_parts(&mut body, limit, reserve)).await;
    let read = read.unwrap_or(Err(BodyError::TimedOut));
    if read == Err(BodyError::NoRoom) {
        spawn(async move { timeout(span, discard(body, limit)).await }).detach();
    }
    read
}

async fn read_parts(
    body: &mut Incoming,
    limit: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyError> {
    let stated = body.size_hint().exact().map(|length| length as usize);
    if stated.is_some_and(|stated| stated > limit) {
        return Err(BodyError::TooLong);
    }
    if stated.is_some_and(|stated| !reserve(stated)) {
        return Err(BodyError::NoRoom);
    }
    let mut bytes = BytesMut::with_capacity(stated.unwrap_or(0));
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.map_err(|_| BodyError::Truncated)?.into_data() else {
            continue;
        };
        if part.len() > limit - bytes.len() {
            return Err(BodyError::TooLong);
        }
        if stated.is_none() && !reserve(part.len()) {
            return Err(BodyError::NoRoom);
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes.freeze())
}

/// Receives and drops the rest of a body, up to `limit` bytes.
async fn discard(mut body: Incoming, limit: usize) {
    let mut left = limit;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(length) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}

/// Creates a body from bytes in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Creates a response with a JSON body.
pub fn json_reply(status: StatusCode, value: &impl Serialize) -> Response<ReplyBody> {
    let text = serde_json::to_vec(value).unwrap_or_else(|_| b"{}".to_vec());
    let mut reply = Response::new(full_body(text));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// Body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ErrorReply<'a> {
    /// Stable code for programs.
    pub error: &'a str,
    /// Description of the error for people.
    pub message: String,
}

/// Creates a response with an [`ErrorReply`].
pub fn error_reply(
    status: StatusCode,
    error: &str,
    message: impl Into<String>,
) -> Response<ReplyBody> {
    json_reply(status, &ErrorReply { error, message: message.into() })
}
