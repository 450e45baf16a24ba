//! Connections to endpoints, kept while they are idle.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use cassiawheel_decide::AttemptFailure;
use cassiawheel_model::{Deadline, InstanceId, Timestamp};
use cassiawheel_runtime::{dial, reset_on_close, spawn, timeout};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use smol::Task;
use smol_hyper::rt::FuturesIo;

use super::DirectTarget;

/// Longest time to connect; a live endpoint takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time to read the body of a refusal.
pub(super) const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections kept to one endpoint.
///
/// Endpoints limit the connections of all entries together, and entries that lose
/// power leave theirs behind: those that are idle stay taken until the endpoint's
/// own idle time is over. Four of each entry are a third of what an endpoint of 590
/// admits from 45 entries, so that it has room for their return. An entry rarely has
/// more idle at one endpoint: it sends it a request or two a second.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// How long a connection is kept of which the endpoint does not tell it.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(300);

/// Part of the endpoint's own idle time that is left unused, so that a request
/// does not cross the endpoint's close.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// Largest buffer of a connection, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// A connection to an endpoint; closed when dropped.
pub(super) struct EndpointConnection {
    instance: InstanceId,
    sender: http1::SendRequest<Full<Bytes>>,
    idle_until: Deadline,
    /// Drives the connection for as long as it is held.
    _driver: Task<()>,
}

/// Why a request got no answer over a connection.
pub(super) struct SendFailure {
    /// The request itself, if it certainly was not sent.
    pub(super) unsent: Option<Box<Request<Full<Bytes>>>>,
    /// What went wrong.
    detail: String,
    /// Whether the connection has ended.
    is_closed: bool,
}

impl SendFailure {
    /// How the attempt ended, of a request that may have been sent.
    pub(super) fn into_end(self) -> AttemptFailure {
        match self.is_closed {
            true => AttemptFailure::Lost(self.detail),
            false => AttemptFailure::Unknown(self.detail),
        }
    }
}

/// Idle connections by endpoint process.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<InstanceId, Vec<EndpointConnection>>>,
}

/// Connects to an endpoint; the error tells why nothing was sent.
pub(super) async fn connect(
    target: DirectTarget<'_>,
    deadline: Deadline,
) -> Result<EndpointConnection, String> {
    let addr = target.addr;
    let span = deadline.remaining(Timestamp::now()).min(CONNECT_TIMEOUT);
    let stream = match timeout(span, dial(addr, None)).await {
        Some(Ok(stream)) => stream,
        Some(Err(error)) => return Err(error.to_string()),
        None => return Err("connecting takes too long".to_owned()),
    };
    reset_on_close(&stream).map_err(|error| error.to_string())?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER_BYTES);
    let (sender, connection) =
        builder.handshake(FuturesIo::new(stream)).await.map_err(|error| error.to_string())?;
    let driver = spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "direct", endpoint:% = addr, cause:% = error; "A connection ended.");
        }
    });
    let instance = target.instance.clone();
    Ok(EndpointConnection { instance, sender, idle_until: Deadline(0), _driver: driver })
}

impl EndpointConnection {
    /// Sends a request and waits for the head of its answer until `deadline`.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Deadline,
    ) -> Result<Response<Incoming>, SendFailure> {
        let span = deadline.remaining(Timestamp::now());
        match timeout(span, self.sender.try_send_request(request)).await {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(mut failure)) => {
                let unsent = failure.take_message().map(Box::new);
                Err(SendFailure {
                    unsent,
                    detail: failure.into_error().to_string(),
                    is_closed: true,
                })
            }
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
    /// The connection to an endpoint that was used last.
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

    /// Keeps a connection whose answer is whole.
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

    /// Drops the connections of endpoints for which `is_listed` does not hold.
    pub(super) fn retain_listed(&self, is_listed: impl Fn(&InstanceId) -> bool) {
        self.lock().retain(|instance, _| is_listed(instance));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, Vec<EndpointConnection>>> {
        self.idle.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}
