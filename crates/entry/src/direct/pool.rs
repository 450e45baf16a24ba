//! Pool of idle connections to endpoints.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use cassiawheel_decide::AttemptFailure;
use cassiawheel_model::{Deadline, InstanceId, Timestamp};
use cassiawheel_runtime::{InterimWatch, YieldingSocket, dial, reset_on_close, spawn, timeout};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use smol::{Task, future::FutureExt};
use smol_hyper::rt::FuturesIo;

use super::DirectTarget;

/// Longest time to connect; a live endpoint takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time to read the body of a refusal.
pub(super) const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of idle connections per endpoint.
///
/// Endpoints limit the connections of all entries together. Connections of entries that lose power
/// stay open until the endpoint's idle timeout. With four per entry, 45 entries use a third of the
/// 590 connections that an endpoint admits, which leaves room for restarted entries. An entry sends
/// an endpoint one or two requests a second and rarely has more idle connections.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Idle time of a connection whose endpoint does not state one.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(300);

/// Margin subtracted from the endpoint's idle timeout, so that a request is not sent while the
/// endpoint closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// Maximum buffer size of a connection, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// A connection to an endpoint; closed when dropped.
pub(super) struct EndpointConnection {
    instance: InstanceId,
    sender: http1::SendRequest<Full<Bytes>>,
    idle_until: Deadline,
    /// Task that drives the connection.
    _driver: Task<()>,
}

/// Why a request got no response over a connection.
pub(super) struct SendFailure {
    /// The request itself, if it was certainly not sent.
    pub(super) unsent: Option<Box<Request<Full<Bytes>>>>,
    /// Cause of the failure.
    detail: String,
    /// Whether the connection was closed.
    is_closed: bool,
}

impl SendFailure {
    /// How the attempt ended, for a request that may have been sent.
    pub(super) fn into_end(self) -> AttemptFailure {
        match self.is_closed {
            true => AttemptFailure::Lost(self.detail),
            false => AttemptFailure::Unknown(self.detail),
        }
    }
}

/// Idle connections by endpoint instance.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<InstanceId, Vec<EndpointConnection>>>,
}

/// Connects to an endpoint; the error describes why nothing was sent.
pub(super) async fn connect(
    target: DirectTarget<'_>,
    deadline: Deadline,
) -> Result<EndpointConnection, String> {
    let addr = target.addr;
    let span = deadline.remaining(Timestamp::now()).min(CONNECT_TIMEOUT);
    let stream = match timeout(span, dial(addr, None)).await {
        Some(Ok(stream)) => stream,
        Some(Err(error)) => return Err(error.to_string()),
        None => return Err("timed out while connecting".to_owned()),
    };
    reset_on_close(&stream).map_err(|error| error.to_string())?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER_BYTES);
    let (sender, connection) = builder
        .handshake(FuturesIo::new(YieldingSocket::new(stream)))
        .await
        .map_err(|error| error.to_string())?;
    let driver = spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "direct", endpoint:% = addr, cause:% = error; "A connection ended.");
        }
    });
    let instance = target.instance.clone();
    Ok(EndpointConnection { instance, sender, idle_until: Deadline(0), _driver: driver })
}

impl EndpointConnection {
    /// Sends a request and waits for the head of the response until `deadline`.
    pub(super) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
        deadline: Deadline,
    ) -> Result<Response<Incoming>, SendFailure> {
        let span = deadline.remaining(Timestamp::now());
        let watch = InterimWatch::attach(&mut request);
        let answer = async {
            self.sender.try_send_request(request).await.map_err(|mut failure| SendFailure {
                unsent: failure.take_message().map(Box::new),
                detail: failure.into_error().to_string(),
                is_closed: true,
            })
        };
        let exceeded = async {
            watch.exceeded().await;
            Err(SendFailure {
                unsent: None,
                detail: "too many interim responses".to_owned(),
                is_closed: false,
            })
        };
        match timeout(span, answer.or(exceeded)).await {
            Some(answer) => answer,
            None => Err(SendFailure {
                unsent: None,
                detail: "the endpoint gave no answer in time".to_owned(),
                is_closed: false,
            }),
        }
    }

    fn is_usable(&self, now: Timestamp) -> bool {
        self.sender.is_ready() && !self.idle_until.is_past(now)
    }
}

impl ConnectionPool {
    /// Takes the most recently used idle connection to an endpoint.
    pub(super) fn take(&self, instance: &InstanceId, now: Timestamp) -> Option<EndpointConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(instance)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was complete.
    pub(super) fn put(
        &self,
        mut connection: EndpointConnection,
        idle_time: Option<Duration>,
        now: Timestamp,
    ) {
        let span = idle_time.map_or(DEFAULT_IDLE_TIME, |span| span.saturating_sub(IDLE_MARGIN));
        connection.idle_until = now.deadline_after(span);
        let mut idle = self.lock();
        let connections = idle.entry(connection.instance.clone()).or_default();
        connections.retain(|other| other.is_usable(now));
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Closes the connections of endpoints for which `is_listed` is false.
    pub(super) fn retain_listed(&self, is_listed: impl Fn(&InstanceId) -> bool) {
        self.lock().retain(|instance, _| is_listed(instance));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, Vec<EndpointConnection>>> {
        self.idle.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}
