//! Sending one attempt, and the stream of its answer.
//!
//! An attempt goes through the endpoint's agent or straight to the endpoint.
//! Both ways give the same parts of an answer, so that whatever comes before
//! and after is the same for both.

use std::sync::Arc;

use bytes::Bytes;
use cassiawheel_decide::{AttemptFailure, EndpointPath, EndpointTracker, RepeatGuard};
use cassiawheel_edge::{ForwardMetadata, ReportedLoad};
use cassiawheel_model::{
    Deadline, HeaderField, InstanceId, LoadReport, ModelVersion, NotRunReason, PresetRevision,
    Repeatability, RequestHead, Timestamp,
};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::RequestMessage;
use hyper::{
    HeaderMap,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};

use super::identify::IdentifiedRequest;
use crate::{
    direct::{DirectPart, DirectStream, DirectTarget},
    link::{AgentLink, LinkStream},
    routed::RoutedState,
    shared::EntryShared,
};

/// One attempt.
pub(super) struct DispatchedRequest<'a> {
    /// The endpoint.
    pub(super) instance: &'a InstanceId,
    /// The head under the preset by which it was routed.
    pub(super) head: &'a RequestHead,
    /// The request.
    pub(super) request: &'a IdentifiedRequest,
    /// The last event that the caller has.
    pub(super) last_event: Option<u64>,
}

/// The head of an answer and the stream of its rest.
pub(super) struct ResponseHead {
    pub(super) stream: AttemptStream,
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    pub(super) version: Option<ModelVersion>,
    pub(super) revision: PresetRevision,
    pub(super) replayed: bool,
}

/// One step of an answer.
pub(crate) enum ResponsePart {
    /// Some bytes.
    Data(Bytes),
    /// The end, and the length of all parts where the sender tells it.
    End(Option<u64>),
    /// The answer broke off.
    Cut(String),
}

/// How the rest of an answer arrives.
enum StreamKind {
    Link(LinkStream),
    Direct(Box<DirectStream>),
}

/// The rest of an answer; dropping it tells the endpoint that nobody waits.
pub(crate) struct AttemptStream {
    kind: StreamKind,
    peeked: Option<ResponsePart>,
    has_data: bool,
}

impl AttemptStream {
    fn new(kind: StreamKind) -> Self {
        Self { kind, peeked: None, has_data: false }
    }

    /// Whether some bytes of the answer have come.
    pub(crate) fn has_data(&self) -> bool {
        self.has_data
    }

    /// The next part.
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

    /// Looks at the next part without taking it.
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

/// Measures how long an answer takes to begin, also if nobody waits for it any more.
struct LatencyTimer<'a> {
    cell: &'a EndpointTracker,
    started_at: Timestamp,
    answered: bool,
}

impl<'a> LatencyTimer<'a> {
    fn start(cell: &'a EndpointTracker) -> Self {
        let started_at = Timestamp::now();
        cell.record_sent(started_at);
        Self { cell, started_at, answered: false }
    }
}

impl Drop for LatencyTimer<'_> {
    fn drop(&mut self) {
        let now = Timestamp::now();
        let delay_ms = now.since(self.started_at).as_millis() as u64;
        self.cell.record_delay(delay_ms, self.answered, now);
    }
}

/// Sends an attempt and waits until its answer begins.
pub(super) async fn dispatch(
    shared: &EntryShared,
    path: EndpointPath,
    sent: DispatchedRequest<'_>,
    cell: &EndpointTracker,
    start_by: Option<Deadline>,
) -> Result<ResponseHead, AttemptFailure> {
    let mut timer = LatencyTimer::start(cell);
    let starting = send_and_await_start(shared, path, &sent, cell);
    let response = match start_by.filter(|_| sent.head.repeat == Repeatability::Idempotent) {
        // A request may wait in the engine's queue until the engine's version may
        // not answer any more. It is taken back before, while others can answer.
        Some(start_by) => {
            let late =
                || Err(AttemptFailure::Unknown("its version may not answer any more".to_owned()));
            let left = start_by.remaining(Timestamp::now());
            timeout(left, starting).await.unwrap_or_else(late)?
        }
        None => starting.await?,
    };
    timer.answered = true;
    Ok(response)
}

/// Sends an attempt; done once its answer has begun as far as it has to be known.
async fn send_and_await_start(
    shared: &EntryShared,
    path: EndpointPath,
    sent: &DispatchedRequest<'_>,
    cell: &EndpointTracker,
) -> Result<ResponseHead, AttemptFailure> {
    let mut response = match (path, &shared.routed) {
        (EndpointPath::Agent, _) => {
            let link = shared.links.load().get(sent.instance).cloned();
            dispatch_through_agent(link, sent.head, &sent.request.body).await?
        }
        (EndpointPath::Direct(addr), Some(routed)) => {
            let target = DirectTarget { instance: sent.instance, addr };
            dispatch_direct(routed, target, sent, cell).await?
        }
        // Only the list gives such paths, and nobody follows it then.
        (EndpointPath::Direct(_), None) => {
            return Err(AttemptFailure::NotRun(NotRunReason::NoEndpoint));
        }
    };
    if sent.head.repeat == Repeatability::Idempotent {
        await_first_part(&mut response.stream, sent.head).await?;
    }
    Ok(response)
}

async fn dispatch_direct(
    routed: &RoutedState,
    target: DirectTarget<'_>,
    sent: &DispatchedRequest<'_>,
    cell: &EndpointTracker,
) -> Result<ResponseHead, AttemptFailure> {
    let head = sent.head;
    let leg = ForwardMetadata {
        request: &head.id,
        endpoint: target.instance,
        remaining: head.deadline.remaining(Timestamp::now()),
        workspace: sent.request.workspace.as_ref(),
        version: head.version.as_ref(),
        last_event: sent.last_event,
        is_low_priority: false,
    };
    let (fields, body) = (&sent.request.fields, &sent.request.body);
    let answer = routed.direct.send(target, head, fields, body, &leg).await?;
    if let Some(load) = answer.marks.load {
        cell.apply_report(&load_report(load), cell.hard_limit());
    }
    Ok(ResponseHead {
        status: answer.parts.status.as_u16(),
        headers: routed.callers.end_to_end(&answer.parts.headers),
        stream: AttemptStream::new(StreamKind::Direct(Box::new(answer.stream))),
        version: head.version.clone(),
        revision: head.revision,
        replayed: false,
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

/// Waits for the first part of an answer that is streamed.
///
/// Once a part is on its way to the caller, no other endpoint's answer may
/// follow it. An endpoint that dies after the head and before the first part,
/// as when a prompt is long, is noticed here, and another one can still answer.
async fn await_first_part(
    stream: &mut AttemptStream,
    routed: &RequestHead,
) -> Result<(), AttemptFailure> {
    let span = routed.deadline.remaining(Timestamp::now());
    match timeout(span, stream.peek()).await {
        Some(ResponsePart::Cut(detail)) => Err(AttemptFailure::Lost(detail.clone())),
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
            // Answers can arrive crossed; one that names another request or
            // version would give its caller somebody else's answer. A recorded
            // answer names the version that gave it, which may have left since.
            if request != routed.id || (!replayed && version != routed.version) {
                return Err(AttemptFailure::Unknown("the answer belongs elsewhere".to_owned()));
            }
            let headers = header_map(&headers, content_type.as_deref());
            let stream = AttemptStream::new(StreamKind::Link(stream));
            Ok(ResponseHead { stream, status, headers, version, revision, replayed })
        }
        Some(RequestMessage::Refused { reason, .. }) => Err(AttemptFailure::NotRun(reason)),
        Some(RequestMessage::Failed { detail, .. }) => Err(match RepeatGuard::of(routed) {
            // Other agents would find the same claim and let its caller wait.
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
