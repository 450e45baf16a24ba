//! Sending one attempt and streaming its response.
//!
//! An attempt goes through the endpoint's agent or directly to the endpoint. Both paths produce the
//! same response parts, so the stages before and after do not depend on the path.

use std::sync::Arc;

use bytes::Bytes;
use cassiawheel_decide::{
    AttemptFailure, EndpointPath, EndpointTracker, RepeatGuard, engine_priority,
};
use cassiawheel_edge::{ForwardMetadata, ReportedLoad};
use cassiawheel_model::{
    Deadline, HeaderField, InstanceId, LoadReport, ModelVersion, NotRunReason, PresetRevision,
    Repeatability, RequestHead, Timestamp,
};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::RequestMessage;
use hyper::{
    HeaderMap,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, TRANSFER_ENCODING},
};

use super::{
    identify::IdentifiedRequest,
    path_attempt::PathAttempt,
    progress::{RequestProgress, RequestStage},
};
use crate::{
    direct::{DirectPart, DirectRequest, DirectStream, DirectTarget},
    link::{AgentLink, LinkStream},
    routed::RoutedState,
    shared::EntryShared,
};

/// One attempt to send.
pub(super) struct DispatchedRequest<'a> {
    /// Endpoint that receives the request.
    pub(super) instance: &'a InstanceId,
    /// Start time of the endpoint's process, if it reports it.
    pub(super) born_at: Option<Timestamp>,
    /// Request head under the preset that was used for routing.
    pub(super) head: &'a RequestHead,
    /// The request with its body and header fields.
    pub(super) request: &'a IdentifiedRequest,
    /// Id of the last event that the caller has received.
    pub(super) last_event: Option<u64>,
    /// Stage of the request.
    pub(super) progress: &'a RequestProgress,
    /// Path of which the endpoint is the first member, if the request is sent on one.
    pub(super) path: Option<&'a PathAttempt>,
}

/// Head of a response and the stream of its rest.
pub(super) struct ResponseHead {
    pub(super) stream: AttemptStream,
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    pub(super) version: Option<ModelVersion>,
    pub(super) revision: PresetRevision,
    pub(super) replayed: bool,
    /// Whether the response has a length or chunks, and does not end with its connection.
    pub(super) is_delimited: bool,
    /// Time that work takes at the endpoint at present, in percent of the usual time, if stated.
    pub(super) speed: Option<u32>,
}

/// One part of a response.
pub(crate) enum ResponsePart {
    /// Bytes of the body.
    Data(Bytes),
    /// End of the response, with the total length if the sender reports it.
    End(Option<u64>),
    /// The response was cut off, with the cause.
    Cut(String),
}

/// Source of the rest of a response.
enum StreamKind {
    Link(LinkStream),
    Direct(Box<DirectStream>),
}

/// The rest of a response; dropping it cancels the request at the endpoint.
pub(crate) struct AttemptStream {
    kind: StreamKind,
    peeked: Option<ResponsePart>,
    has_data: bool,
}

impl AttemptStream {
    fn new(kind: StreamKind) -> Self {
        Self { kind, peeked: None, has_data: false }
    }

    /// Whether part of the body has arrived.
    pub(crate) fn has_data(&self) -> bool {
        self.has_data
    }

    /// Returns the next part.
    pub(crate) async fn next(&mut self) -> ResponsePart {
        if let Some(part) = self.peeked.take() {
            return part;
        }
        let part = self.read().await;
        self.has_data |= matches!(part, ResponsePart::Data(_));
        part
    }

    async fn read(&mut self) -> ResponsePart {
        match &mut self.kind {
            StreamKind::Link(stream) => next_link_part(stream).await,
            StreamKind::Direct(stream) => match stream.next().await {
                DirectPart::Data(bytes) => ResponsePart::Data(bytes),
                DirectPart::End => ResponsePart::End(None),
                DirectPart::Cut(detail) => ResponsePart::Cut(detail),
            },
        }
    }

    /// Returns the next part without consuming it.
    async fn peek(&mut self) -> &ResponsePart {
        let part = match self.peeked.take() {
            Some(part) => part,
            None => self.next().await,
        };
        self.peeked.insert(part)
    }
}

async fn next_link_part(stream: &mut LinkStream) -> ResponsePart {
    match stream.next().await {
        Some(RequestMessage::Data { bytes, .. }) => {
            stream.grant_credit(bytes.len()).await;
            ResponsePart::Data(Bytes::from(bytes))
        }
        Some(RequestMessage::End { bytes, .. }) => ResponsePart::End(Some(bytes)),
        Some(RequestMessage::Failed { detail, .. }) => ResponsePart::Cut(detail),
        Some(_) => ResponsePart::Cut("an unexpected message arrived".to_owned()),
        None => ResponsePart::Cut("the connection to the endpoint was lost".to_owned()),
    }
}

/// Measures the time until a response starts, also if the attempt is abandoned.
struct LatencyTimer<'a> {
    tracker: &'a EndpointTracker,
    started_at: Timestamp,
    answered: bool,
}

impl<'a> LatencyTimer<'a> {
    fn start(tracker: &'a EndpointTracker) -> Self {
        let started_at = Timestamp::now();
        tracker.record_sent(started_at);
        Self { tracker, started_at, answered: false }
    }
}

impl Drop for LatencyTimer<'_> {
    fn drop(&mut self) {
        let now = Timestamp::now();
        let delay_ms = now.since(self.started_at).as_millis() as u64;
        self.tracker.record_delay(delay_ms, self.answered, now);
    }
}

/// Sends an attempt and waits until its response starts.
pub(super) async fn dispatch(
    shared: &EntryShared,
    path: EndpointPath,
    sent: DispatchedRequest<'_>,
    tracker: &EndpointTracker,
    start_by: Option<Deadline>,
) -> Result<ResponseHead, AttemptFailure> {
    let mut timer = LatencyTimer::start(tracker);
    let starting = send_and_await_start(shared, path, &sent, tracker);
    let response = match start_by.filter(|_| sent.head.repeat == Repeatability::Idempotent) {
        // The request may wait in the engine's queue until the engine's version is no longer
        // allowed to respond. It is withdrawn before that, while other endpoints can still serve
        // it.
        Some(start_by) => {
            let late =
                || Err(AttemptFailure::Unknown("its version may no longer answer".to_owned()));
            let left = start_by.remaining(Timestamp::now());
            timeout(left, starting).await.unwrap_or_else(late)?
        }
        None => starting.await?,
    };
    timer.answered = true;
    Ok(response)
}

/// Sends an attempt and waits for the head and, if the request is idempotent, the first part.
async fn send_and_await_start(
    shared: &EntryShared,
    path: EndpointPath,
    sent: &DispatchedRequest<'_>,
    tracker: &EndpointTracker,
) -> Result<ResponseHead, AttemptFailure> {
    let mut response = match (path, &shared.routed) {
        (EndpointPath::Agent, _) => {
            let link = shared.links.load().get(sent.instance).cloned();
            sent.progress.enter(RequestStage::Waiting);
            dispatch_through_agent(link, sent.head, &sent.request.body).await?
        }
        (EndpointPath::Direct(addr), Some(routed)) => {
            let target =
                DirectTarget { instance: sent.instance, addr, born_at: sent.born_at, tracker };
            dispatch_direct(routed, target, sent, tracker).await?
        }
        // Direct paths come only from the platform's list, which is not read in this mode.
        (EndpointPath::Direct(_), None) => {
            return Err(AttemptFailure::NotRun(NotRunReason::NoEndpoint));
        }
    };
    check_status(response.status)?;
    if sent.head.repeat == Repeatability::Idempotent {
        let is_event_stream = sent.request.has_events() && (200..300).contains(&response.status);
        let may_be_empty = response.is_delimited || sent.last_event.is_some() || !is_event_stream;
        await_first_part(&mut response.stream, sent.head, may_be_empty).await?;
    }
    Ok(response)
}

/// Checks that a caller can be given the status as that of a final response.
fn check_status(status: u16) -> Result<(), AttemptFailure> {
    match status {
        200..600 => Ok(()),
        _ => Err(AttemptFailure::Unknown(format!("{status:03} is no status of a final response"))),
    }
}

async fn dispatch_direct(
    routed: &RoutedState,
    target: DirectTarget<'_>,
    sent: &DispatchedRequest<'_>,
    tracker: &EndpointTracker,
) -> Result<ResponseHead, AttemptFailure> {
    let head = sent.head;
    let forward = ForwardMetadata {
        request: &head.id,
        endpoint: target.instance,
        remaining: head.deadline.remaining(Timestamp::now()),
        workspace: sent.request.workspace.as_ref(),
        version: head.version.as_ref(),
        last_event: sent.last_event,
        path: sent.path.map(PathAttempt::path),
        priority: engine_priority(sent.request.urgency, sent.request.tier),
    };
    let request = DirectRequest {
        head,
        fields: &sent.request.fields,
        body: &sent.request.body,
        forward,
        progress: sent.progress,
        path: sent.path,
    };
    let response = routed.direct.send(target, request).await?;
    if let Some(load) = response.metadata.load {
        tracker.apply_report(&load_report(load), tracker.hard_limit());
        if let Some(percent) = load.speed {
            tracker.speed().record(percent, Timestamp::now());
        }
    }
    let headers = &response.parts.headers;
    let is_delimited =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    Ok(ResponseHead {
        is_delimited,
        status: response.parts.status.as_u16(),
        headers: routed.callers.end_to_end(&response.parts.headers),
        stream: AttemptStream::new(StreamKind::Direct(Box::new(response.stream))),
        version: head.version.clone(),
        revision: head.revision,
        replayed: false,
        speed: response.metadata.load.and_then(|load| load.speed),
    })
}

fn load_report(load: ReportedLoad) -> LoadReport {
    LoadReport { in_flight: load.running, queued: load.waiting, measured_at: Timestamp::now() }
}

async fn dispatch_through_agent(
    link: Option<Arc<AgentLink>>,
    routed: &RequestHead,
    body: &Bytes,
) -> Result<ResponseHead, AttemptFailure> {
    let link = link.ok_or(AttemptFailure::NotRun(NotRunReason::ConnectFailed))?;
    let sent = link.dispatch(routed.clone(), body).await;
    let stream = sent.map_err(AttemptFailure::NotRun)?;
    await_head(stream, routed).await
}

/// Waits for the first part of a streamed response.
///
/// Once a part was sent to the caller, no other endpoint's response may follow it. Waiting here
/// detects an endpoint that fails between the head and the first part, for example during a long
/// prompt, while another endpoint can still respond.
async fn await_first_part(
    stream: &mut AttemptStream,
    routed: &RequestHead,
    may_be_empty: bool,
) -> Result<(), AttemptFailure> {
    let span = routed.deadline.remaining(Timestamp::now());
    match timeout(span, stream.peek()).await {
        Some(ResponsePart::Cut(detail)) => Err(AttemptFailure::Lost(detail.clone())),
        Some(ResponsePart::End(_)) if !may_be_empty => {
            Err(AttemptFailure::Lost("the connection ended before the first event".to_owned()))
        }
        Some(ResponsePart::Data(_) | ResponsePart::End(_)) => Ok(()),
        None => Err(AttemptFailure::Unknown("no answer before the deadline".to_owned())),
    }
}

async fn await_head(
    mut stream: LinkStream,
    routed: &RequestHead,
) -> Result<ResponseHead, AttemptFailure> {
    let span = routed.deadline.remaining(Timestamp::now());
    let Some(message) = timeout(span, stream.next()).await else {
        return Err(AttemptFailure::Unknown("no answer before the deadline".to_owned()));
    };
    match message {
        Some(RequestMessage::Head {
            request,
            status,
            content_type,
            headers,
            version,
            revision,
            replayed,
            ..
        }) => {
            // Responses can be delivered for the wrong request; the ids prevent that one caller
            // receives another caller's response. A recorded response names the version that
            // produced it, which may no longer be in use.
            if request != routed.id || (!replayed && version != routed.version) {
                return Err(AttemptFailure::Unknown(
                    "the answer belongs to another request or version".to_owned(),
                ));
            }
            let headers = header_map(&headers, content_type.as_deref());
            let stream = AttemptStream::new(StreamKind::Link(stream));
            Ok(ResponseHead {
                stream,
                status,
                headers,
                version,
                revision,
                replayed,
                is_delimited: true,
                speed: None,
            })
        }
        Some(RequestMessage::Refused { reason, .. }) => Err(AttemptFailure::NotRun(reason)),
        Some(RequestMessage::Failed { detail, .. }) => Err(match RepeatGuard::of(routed) {
            // Other agents would find the same idempotency claim and make the caller wait.
            RepeatGuard::Claimed => AttemptFailure::Unanswered(detail),
            RepeatGuard::Idempotent | RepeatGuard::None => AttemptFailure::Unknown(detail),
        }),
        Some(_) => Err(AttemptFailure::Unknown("the answer has no head".to_owned())),
        None => Err(AttemptFailure::Unknown("the connection to the endpoint was lost".to_owned())),
    }
}

fn header_map(fields: &[HeaderField], content_type: Option<&str>) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(fields.len() + 1);
    for field in fields {
        let name = HeaderName::try_from(&field.name);
        let value = HeaderValue::try_from(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    if let Some(Ok(kind)) = content_type.map(HeaderValue::from_str) {
        headers.insert(CONTENT_TYPE, kind);
    }
    headers
}
