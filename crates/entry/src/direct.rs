//! Requests that go to endpoints without an agent between.
//!
//! `pool (a connection) → send → head (is it this request's, was it run) → body`
//!
//! Dropping an answer closes its connection, by which the endpoint learns that
//! nobody waits any more.

mod pool;

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use cassiawheel_decide::AttemptFailure;
use cassiawheel_edge::{EndpointProtocol, ForwardMetadata, ResponseMetadata};
use cassiawheel_model::{InstanceId, NotRunReason, Repeatability, RequestHead, Timestamp};
use cassiawheel_runtime::{spawn, timeout};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, http::response::Parts};

use self::pool::{ConnectionPool, EndpointConnection};
use crate::limits::LimitTracker;

/// Largest body of a refusal that is read for the sake of its connection, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// The client of endpoints.
pub(crate) struct DirectClient {
    protocol: Arc<dyn EndpointProtocol>,
    limits: Arc<LimitTracker>,
    pool: ConnectionPool,
}

/// An endpoint and where it is reached.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DirectTarget<'a> {
    /// The endpoint's process.
    pub(crate) instance: &'a InstanceId,
    /// Its address.
    pub(crate) addr: SocketAddr,
}

/// The head of an answer and the stream of its rest.
pub(crate) struct DirectResponse {
    /// Status and header fields.
    pub(crate) parts: Parts,
    /// What they tell.
    pub(crate) marks: ResponseMetadata,
    /// The rest.
    pub(crate) stream: DirectStream,
}

/// The rest of an answer.
pub(crate) struct DirectStream {
    body: Incoming,
    client: Arc<DirectClient>,
    connection: Option<EndpointConnection>,
    marks: ResponseMetadata,
}

/// One step of the rest of an answer.
pub(crate) enum DirectPart {
    /// Some bytes.
    Data(Bytes),
    /// The end of a whole answer.
    End,
    /// The answer broke off.
    Cut(String),
}

impl DirectClient {
    /// A client without connections.
    pub(crate) fn new(protocol: Arc<dyn EndpointProtocol>, limits: Arc<LimitTracker>) -> Self {
        Self { protocol, limits, pool: ConnectionPool::default() }
    }

    /// Drops the connections of endpoints for which `is_listed` does not hold.
    pub(crate) fn retain_listed(&self, is_listed: impl Fn(&InstanceId) -> bool) {
        self.pool.retain_listed(is_listed);
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        self: &Arc<Self>,
        target: DirectTarget<'_>,
        head: &RequestHead,
        fields: &HeaderMap,
        body: &Bytes,
        leg: &ForwardMetadata<'_>,
    ) -> Result<DirectResponse, AttemptFailure> {
        let request = self.request(head, fields, body, leg)?;
        let (reply, connection) = self.exchange(target, head, request).await?;
        let (parts, body) = reply.into_parts();
        let marks = self.protocol.read_metadata(&parts);
        // A refusal may come from another process, or from one that has not looked at its limit.
        if marks.limit.is_some() || !marks.not_run {
            self.limits.observe(target.instance, marks.limit);
        }
        let stream = DirectStream {
            body,
            client: self.clone(),
            connection: Some(connection),
            marks: marks.clone(),
        };
        match check_head(head, &parts, &marks) {
            Ok(()) => Ok(DirectResponse { parts, marks, stream }),
            Err(end) => {
                if matches!(end, AttemptFailure::NotRun(_)) {
                    stream.reuse_connection();
                }
                Err(end)
            }
        }
    }

    fn request(
        &self,
        head: &RequestHead,
        fields: &HeaderMap,
        body: &Bytes,
        leg: &ForwardMetadata<'_>,
    ) -> Result<Request<Full<Bytes>>, AttemptFailure> {
        let request = Request::builder().method(head.method.as_str()).uri(head.path.as_str());
        let mut request = request.body(Full::new(body.clone())).map_err(|error| {
            log::error!(target: "direct", request:% = head.id, cause:% = error; "A request cannot be written.");
            AttemptFailure::NotRun(NotRunReason::ConnectFailed)
        })?;
        *request.headers_mut() = fields.clone();
        self.protocol.write_metadata(request.headers_mut(), leg);
        Ok(request)
    }

    /// Sends over an idle connection, or over a new one.
    ///
    /// A request that may not be repeated always gets a new one: an idle
    /// connection may have been closed by the endpoint a moment ago, and then
    /// nobody can tell whether the request was run.
    async fn exchange(
        &self,
        target: DirectTarget<'_>,
        head: &RequestHead,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, EndpointConnection), AttemptFailure> {
        if head.repeat == Repeatability::Idempotent {
            while let Some(mut connection) = self.pool.take(target.instance, Timestamp::now()) {
                match connection.send(request, head.deadline).await {
                    Ok(reply) => return Ok((reply, connection)),
                    Err(failure) => match failure.unsent {
                        Some(unsent) => request = *unsent,
                        None => return Err(failure.into_end()),
                    },
                }
            }
        }
        let mut connection = pool::connect(target, head.deadline).await.map_err(|detail| {
            log::info!(target: "direct", request:% = head.id, endpoint:% = target.instance, cause:% = detail; "Cannot connect to an endpoint.");
            AttemptFailure::NotRun(NotRunReason::ConnectFailed)
        })?;
        match connection.send(request, head.deadline).await {
            Ok(reply) => Ok((reply, connection)),
            Err(failure) if failure.unsent.is_some() => {
                Err(AttemptFailure::NotRun(NotRunReason::ConnectFailed))
            }
            Err(failure) => Err(failure.into_end()),
        }
    }
}

/// Whether the answer is one to this request, and the endpoint's own.
fn check_head(
    head: &RequestHead,
    parts: &Parts,
    marks: &ResponseMetadata,
) -> Result<(), AttemptFailure> {
    // Answers can arrive crossed: an endpoint may send a second answer to an
    // earlier request, and it would be taken for the next one's. The id that
    // every endpoint repeats tells them apart.
    if marks.request.as_deref() != Some(head.id.as_str()) {
        return Err(AttemptFailure::Unknown("the answer belongs to another request".to_owned()));
    }
    if marks.not_run {
        let reason = match parts.status {
            StatusCode::MISDIRECTED_REQUEST => NotRunReason::VersionMismatch,
            _ => NotRunReason::Overloaded,
        };
        return Err(AttemptFailure::NotRun(reason));
    }
    if parts.status.is_success() && !marks.is_signed {
        return Err(AttemptFailure::Unknown("the answer is not signed".to_owned()));
    }
    Ok(())
}

impl DirectStream {
    /// The next part.
    pub(crate) async fn next(&mut self) -> DirectPart {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return DirectPart::Data(bytes);
                    }
                }
                Some(Err(error)) => return DirectPart::Cut(error.to_string()),
                None => {
                    self.return_connection();
                    return DirectPart::End;
                }
            }
        }
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| !self.marks.closes_connection) {
            self.client.pool.put(connection, self.marks.idle_timeout, Timestamp::now());
        }
    }

    /// Reads what is left of a refusal, so that its connection can be used again.
    fn reuse_connection(mut self) {
        spawn(async move {
            let rest = Limited::new(&mut self.body, MAX_REFUSAL_BYTES).collect();
            if let Some(Ok(_)) = timeout(pool::REFUSAL_TIMEOUT, rest).await {
                self.return_connection();
            }
        })
        .detach();
    }
}
