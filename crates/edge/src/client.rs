//! HTTP client shared by all adapters.
//!
//! `hyper-util`'s pooled client over smol sockets. Errors distinguish whether the
//! request may have reached the server, because a request may only be reported as
//! "not run" if it has not.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use cassiawheel_runtime::{InterimWatch, YieldingSocket, dial, spawn, timeout};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Method, Request, Response, Uri,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE},
    rt::{Executor, ReadBufCursor},
};
use hyper_util::client::legacy::{
    Builder, Client,
    connect::{Connected, Connection},
};
use prometheus::IntGauge;
use smol::future::FutureExt;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tower_service::Service;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call failed.
#[derive(Debug, Clone, thiserror::Error)]
pub enum ClientError {
    /// The request was not sent, for example because the connection failed.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have reached the server.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer is longer than the call allows; the request may have had effects.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
}

/// Longest answer of a call that states no other bound, in bytes.
pub const MAX_REPLY_BYTES: usize = 16 << 20;

/// Bounds of an answer.
#[derive(Debug, Clone, Copy)]
pub struct ReplyBounds {
    /// Longest time until it is complete.
    pub max_wait: Duration,
    /// Largest size of its body, in bytes.
    pub max_bytes: usize,
}

/// A pooled HTTP client.
#[derive(Clone)]
pub struct HttpClient {
    inner: Client<SmolConnector, Full<Bytes>>,
    /// Whether requests carry `connection: close`.
    closes_connections: bool,
}

impl Default for HttpClient {
    fn default() -> Self {
        let inner =
            builder().pool_idle_timeout(IDLE_TIMEOUT).build(SmolConnector { connections: None });
        Self { inner, closes_connections: false }
    }
}

fn builder() -> Builder {
    let mut builder = Client::builder(TaskExecutor);
    builder.pool_timer(SmolTimer::new()).timer(SmolTimer::new());
    builder
}

impl HttpClient {
    /// Creates a client that closes each connection after one call and counts the open ones in
    /// `connections`.
    ///
    /// Requests made with [`Self::call`] also carry `connection: close`, so that the server
    /// closes the connection even if this process has died when the answer is ready.
    pub fn without_keep_alive(connections: IntGauge) -> Self {
        let inner = builder()
            .pool_max_idle_per_host(0)
            .build(SmolConnector { connections: Some(connections) });
        Self { inner, closes_connections: true }
    }

    /// Sends `request` and waits for the head of the response.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientError> {
        let watch = InterimWatch::attach(&mut request);
        let answer = async {
            self.inner.request(request).await.map_err(|error| {
                if error.is_connect() {
                    ClientError::NotSent(error_chain(&error))
                } else {
                    ClientError::NoAnswer(error_chain(&error))
                }
            })
        };
        let exceeded = async {
            watch.exceeded().await;
            Err(ClientError::NoAnswer("too many interim responses".to_owned()))
        };
        answer.or(exceeded).await
    }

    /// Calls `path` at `addr` and reads the whole response within `bounds`; the body of a `POST` is
    /// JSON.
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
        bounds: ReplyBounds,
    ) -> Result<Response<Bytes>, ClientError> {
        let mut request = Request::builder().uri(format!("http://{addr}{path}"));
        if method == Method::POST {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        if self.closes_connections {
            request = request.header(CONNECTION, "close");
        }
        let request = request
            .method(method)
            .body(Full::new(body))
            .map_err(|error| ClientError::NotSent(error.to_string()))?;
        self.send_and_read_within(request, bounds).await
    }

    /// Sends `request` and reads the whole response, of at most [`MAX_REPLY_BYTES`], within
    /// `max_wait`.
    pub async fn send_and_read(
        &self,
        request: Request<Full<Bytes>>,
        max_wait: Duration,
    ) -> Result<Response<Bytes>, ClientError> {
        let bounds = ReplyBounds { max_wait, max_bytes: MAX_REPLY_BYTES };
        self.send_and_read_within(request, bounds).await
    }

    async fn send_and_read_within(
        &self,
        request: Request<Full<Bytes>>,
        bounds: ReplyBounds,
    ) -> Result<Response<Bytes>, ClientError> {
        let call = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, bounds.max_bytes).collect().await;
            let body = body.map_err(|error| match error.is::<LengthLimitError>() {
                true => ClientError::TooLong(bounds.max_bytes),
                false => ClientError::NoAnswer(error_chain(error.as_ref())),
            })?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        timeout(bounds.max_wait, call)
            .await
            .unwrap_or_else(|| Err(ClientError::NoAnswer("timed out".to_owned())))
    }
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

#[derive(Debug, Clone, Copy)]
struct TaskExecutor;

impl<F> Executor<F> for TaskExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, task: F) {
        spawn(task).detach();
    }
}

#[derive(Debug, Clone)]
struct SmolConnector {
    /// Gauge of open connections, if they are counted.
    connections: Option<IntGauge>,
}

impl Service<Uri> for SmolConnector {
    type Response = ClientSocket;
    type Error = std::io::Error;
    type Future = Pin<Box<dyn Future<Output = Result<ClientSocket, std::io::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connections = self.connections.clone();
        Box::pin(async move {
            let addr: SocketAddr = uri
                .authority()
                .and_then(|authority| authority.as_str().parse().ok())
                .ok_or_else(|| std::io::Error::other("the address is not an IP number and port"))?;
            let stream = dial(addr, None).await?;
            if let Some(connections) = &connections {
                connections.inc();
            }
            Ok(ClientSocket { io: FuturesIo::new(YieldingSocket::new(stream)), connections })
        })
    }
}

/// A socket that implements the connection traits of `hyper` and `hyper-util`.
struct ClientSocket {
    io: FuturesIo<YieldingSocket>,
    /// Gauge that is decremented when the socket is dropped.
    connections: Option<IntGauge>,
}

impl Drop for ClientSocket {
    fn drop(&mut self) {
        if let Some(connections) = &self.connections {
            connections.dec();
        }
    }
}

impl Connection for ClientSocket {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl hyper::rt::Read for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl hyper::rt::Write for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
