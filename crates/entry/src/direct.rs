//! Client that sends requests to endpoints directly instead of through an agent.
//!
//! `pool (a connection) → send → head (is it this request's, was it run) → body`
//!
//! Dropping a response closes its connection, which cancels the request at the endpoint.

mod pool;

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use cassiawheel_decide::{AttemptFailure, EndpointTracker};
use cassiawheel_edge::{BackoffRequest, EndpointProtocol, ForwardMetadata, ResponseMetadata};
use cassiawheel_model::{InstanceId, NotRunReason, Repeatability, RequestHead, Timestamp};
use cassiawheel_runtime::{spawn, timeout};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, http::response::Parts};
use rand::Rng;

use self::pool::{ConnectionPool, EndpointConnection};
use crate::{
    caller::{PathAttempt, RequestProgress, RequestStage},
    departures::DepartureMonitor,
    freshness::ListFreshness,
    limits::LimitTracker,
};

/// Largest body of a refusal that is read to reuse the connection, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// HTTP client for endpoints.
pub(crate) struct DirectClient {
    protocol: Arc<dyn EndpointProtocol>,
    limits: Arc<LimitTracker>,
    departures: Arc<DepartureMonitor>,
    freshness: Arc<ListFreshness>,
    pool: ConnectionPool,
}

/// An endpoint and its address.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DirectTarget<'a> {
    /// Instance of the endpoint.
    pub(crate) instance: &'a InstanceId,
    /// Address to connect to.
    pub(crate) addr: SocketAddr,
    /// Start time of the endpoint's process, if it reports it.
    pub(crate) born_at: Option<Timestamp>,
    /// Load and health of the endpoint.
    pub(crate) tracker: &'a EndpointTracker,
}

/// A request to send to an endpoint.
#[derive(Clone, Copy)]
pub(crate) struct DirectRequest<'a> {
    /// Routing data.
    pub(crate) head: &'a RequestHead,
    /// End-to-end header fields of the caller.
    pub(crate) fields: &'a HeaderMap,
    /// Request body.
    pub(crate) body: &'a Bytes,
    /// Metadata for the endpoint.
    pub(crate) forward: ForwardMetadata<'a>,
    /// Stage of the request.
    pub(crate) progress: &'a RequestProgress,
    /// Path of which the endpoint is the first member, if the request is sent on one.
    pub(crate) path: Option<&'a PathAttempt>,
}

/// Head of a response and the stream of its rest.
pub(crate) struct DirectResponse {
    /// Status and header fields.
    pub(crate) parts: Parts,
    /// Metadata that the header fields carry.
    pub(crate) metadata: ResponseMetadata,
    /// The rest of the response.
    pub(crate) stream: DirectStream,
}

/// The rest of a response.
pub(crate) struct DirectStream {
    body: Incoming,
    client: Arc<DirectClient>,
    connection: Option<EndpointConnection>,
    metadata: ResponseMetadata,
}

/// One part of the rest of a response.
pub(crate) enum DirectPart {
    /// Bytes of the body.
    Data(Bytes),
    /// End of a complete response.
    End,
    /// The response was cut off, with the cause.
    Cut(String),
}

impl DirectClient {
    /// Creates a client without connections.
    pub(crate) fn new(
        protocol: Arc<dyn EndpointProtocol>,
        limits: Arc<LimitTracker>,
        departures: Arc<DepartureMonitor>,
        freshness: Arc<ListFreshness>,
    ) -> Self {
        Self { protocol, limits, departures, freshness, pool: ConnectionPool::default() }
    }

    /// Closes the connections of endpoints for which `is_listed` is false.
    pub(crate) fn retain_listed(&self, is_listed: impl Fn(&InstanceId) -> bool) {
        self.pool.retain_listed(is_listed);
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        self: &Arc<Self>,
        target: DirectTarget<'_>,
        sent: DirectRequest<'_>,
    ) -> Result<DirectResponse, AttemptFailure> {
        let (head, path) = (sent.head, sent.path);
        let (reply, connection) = self.exchange(target, sent).await?;
        let (parts, body) = reply.into_parts();
        let metadata = self.protocol.read_metadata(&parts);
        if let Some(path) = path.filter(|_| is_answer_to(head, &metadata)) {
            path.observe(head, parts.status, &metadata);
        }
        if !path.is_some_and(PathAttempt::is_about_other) {
            self.apply_statements(target, head, &parts, &metadata);
            // Refusals are skipped unless they state a limit: they may come from another process,
            // or from one that has not checked its limit.
            if metadata.limit.is_some() || !metadata.not_run {
                self.limits.observe(target.instance, metadata.limit);
            }
        }
        let stream = DirectStream {
            body,
            client: self.clone(),
            connection: Some(connection),
            metadata: metadata.clone(),
        };
        let failure = path.and_then(|path| path.failure(parts.status, &metadata));
        match check_head(head, &parts, &metadata).and(failure.map_or(Ok(()), Err)) {
            Ok(()) => Ok(DirectResponse { parts, metadata, stream }),
            Err(end) => {
                if matches!(end, AttemptFailure::NotRun(_)) {
                    stream.reuse_connection();
                }
                Err(end)
            }
        }
    }

    /// Applies what the endpoint states about itself in a response.
    fn apply_statements(
        &self,
        target: DirectTarget<'_>,
        head: &RequestHead,
        parts: &Parts,
        metadata: &ResponseMetadata,
    ) {
        let (endpoint, now) = (target.instance, Timestamp::now());
        if metadata.is_leaving {
            log::debug!(target: "direct", request:% = head.id, endpoint:% = endpoint; "An answer states that its endpoint is leaving.");
            self.departures.observe_answer(endpoint, target.born_at);
        }
        match &metadata.backoff {
            BackoffRequest::For(span) => {
                let jitter = rand::rng().random_range(0.0..1.0);
                let backoff_ms = span.as_millis() as u64;
                if target.tracker.begin_backoff(*span, jitter, now) {
                    log::info!(target: "direct", request:% = head.id, endpoint:% = endpoint, backoff_ms = backoff_ms; "An endpoint requests backoff.");
                }
                return;
            }
            BackoffRequest::Invalid(value) if target.tracker.backoff().record_invalid() => {
                log::warn!(target: "direct", request:% = head.id, endpoint:% = endpoint, value:% = value; "An endpoint requests a backoff that is no number of seconds.");
            }
            BackoffRequest::Invalid(_) | BackoffRequest::None => {}
        }
        // A 421 may come from another process at the endpoint's address.
        if parts.status != StatusCode::MISDIRECTED_REQUEST && target.tracker.backoff().end(now) {
            log::info!(target: "direct", request:% = head.id, endpoint:% = endpoint; "An endpoint answers again after its backoff.");
        }
    }

    fn request(&self, sent: DirectRequest<'_>) -> Result<Request<Full<Bytes>>, AttemptFailure> {
        let head = sent.head;
        let request = Request::builder().method(head.method.as_str()).uri(head.path.as_str());
        let mut request = request.body(Full::new(sent.body.clone())).map_err(|error| {
            log::error!(target: "direct", request:% = head.id, cause:% = error; "Cannot build a request.");
            AttemptFailure::NotRun(NotRunReason::ConnectFailed)
        })?;
        *request.headers_mut() = sent.fields.clone();
        self.protocol.write_metadata(request.headers_mut(), &sent.forward);
        Ok(request)
    }

    /// Sends over an idle connection or a new one.
    ///
    /// A request that must not be repeated always gets a new connection. The endpoint may have just
    /// closed an idle one, and then it would be unknown whether the request was run.
    async fn exchange(
        &self,
        target: DirectTarget<'_>,
        sent: DirectRequest<'_>,
    ) -> Result<(Response<Incoming>, EndpointConnection), AttemptFailure> {
        let head = sent.head;
        let mut request = self.request(sent)?;
        if head.repeat == Repeatability::Idempotent {
            while let Some(mut connection) = self.pool.take(target.instance, Timestamp::now()) {
                self.check_routed(target, sent)?;
                sent.progress.enter(RequestStage::Waiting);
                match connection.send(request, head.deadline).await {
                    Ok(reply) => return Ok((reply, connection)),
                    Err(failure) => match failure.unsent {
                        Some(unsent) => request = *unsent,
                        None => return Err(failure.into_end()),
                    },
                }
            }
        }
        sent.progress.enter(RequestStage::Sending);
        let mut connection = pool::connect(target, head.deadline).await.map_err(|detail| {
            log::info!(target: "direct", request:% = head.id, endpoint:% = target.instance, cause:% = detail; "Cannot connect to an endpoint.");
            AttemptFailure::NotRun(NotRunReason::ConnectFailed)
        })?;
        self.check_routed(target, sent)?;
        sent.progress.enter(RequestStage::Waiting);
        match connection.send(request, head.deadline).await {
            Ok(reply) => Ok((reply, connection)),
            Err(failure) if failure.unsent.is_some() => {
                Err(AttemptFailure::NotRun(NotRunReason::ConnectFailed))
            }
            Err(failure) => Err(failure.into_end()),
        }
    }

    /// Checks that the endpoint, and each member of the path, is still routed to.
    ///
    /// Connecting takes up to half a second, in which an endpoint may leave, and a process that stood
    /// still since the choice does not know whether it has.
    fn check_routed(
        &self,
        target: DirectTarget<'_>,
        sent: DirectRequest<'_>,
    ) -> Result<(), AttemptFailure> {
        let is_withdrawn = target.tracker.is_withdrawn()
            || sent.path.is_some_and(PathAttempt::is_withdrawn)
            || self.freshness.must_hold(Timestamp::now());
        if is_withdrawn { Err(AttemptFailure::Withdrawn) } else { Ok(()) }
    }
}

/// Whether the response repeats the id of this request.
fn is_answer_to(head: &RequestHead, metadata: &ResponseMetadata) -> bool {
    metadata.request.as_deref() == Some(head.id.as_str())
}

/// Checks that the response belongs to this request and comes from the endpoint itself.
fn check_head(
    head: &RequestHead,
    parts: &Parts,
    metadata: &ResponseMetadata,
) -> Result<(), AttemptFailure> {
    // An endpoint may send a second response to an earlier request, which would be mistaken for the
    // response to the next one. The request id that every endpoint echoes identifies them.
    if !is_answer_to(head, metadata) {
        return Err(AttemptFailure::Unknown("the answer belongs to another request".to_owned()));
    }
    if metadata.not_run {
        let reason = match parts.status {
            StatusCode::MISDIRECTED_REQUEST => NotRunReason::VersionMismatch,
            _ => NotRunReason::Overloaded,
        };
        return Err(AttemptFailure::NotRun(reason));
    }
    if parts.status.is_success() && !metadata.is_signed {
        return Err(AttemptFailure::Unknown("the answer is not signed".to_owned()));
    }
    Ok(())
}

impl DirectStream {
    /// Returns the next part.
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
        if let Some(connection) =
            self.connection.take().filter(|_| !self.metadata.closes_connection)
        {
            self.client.pool.put(connection, self.metadata.idle_timeout, Timestamp::now());
        }
    }

    /// Reads the rest of a refusal in the background so that its connection can be reused.
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
