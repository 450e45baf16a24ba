//! Stand-in of an endpoint that entries call directly, without an agent.
//!
//! It adds its replica stamp to its answers, counts the runs of each request,
//! serves resumable event streams and injects faults on demand. A request whose
//! path contains [`FATAL_PATH`] or whose prompt contains [`FATAL_PART`] crashes it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cassiawheel_model::Timestamp;
use cassiawheel_runtime::http::{ReplyBody, full_body, read_body};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Frame, body::Incoming};
use smol::Timer;

use super::{RunningStandIn, broken_reply, start};
use crate::FaultSwitches;

/// A request whose path contains this crashes the endpoint when it runs.
pub const FATAL_PATH: &str = "fatal";

/// A prompt with this part, unless it is the last one, crashes the endpoint when it is answered.
pub const FATAL_PART: &str = "dead";

/// Time from the start of a fatal request until the endpoint crashes.
const FATAL_TIME: Duration = Duration::from_millis(40);

/// Number of events in every stream.
pub const EVENTS: u64 = 6;

/// Event id that makes the stream fail instead of sending an event.
const FAILING_EVENT: u64 = u64::MAX;

/// Time between two events.
const EVENT_TIME: Duration = Duration::from_millis(15);

/// Pause in the middle of an event in [`ReplicaMode::Pauses`].
const SILENCE: Duration = Duration::from_millis(1_700);

/// Time for which a mute or stalled endpoint sends nothing.
const MUTE_TIME: Duration = Duration::from_secs(60);

/// How the stand-in treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReplicaMode {
    /// Answers correctly.
    #[default]
    Honest,
    /// Answers with 503 and the header that says that the request was not run.
    Refuses,
    /// Runs the request and answers with status 500.
    Fails,
    /// Runs the request and answers with the id of another request.
    Crosses,
    /// Runs the request and closes the connection in the middle of the answer.
    Cuts,
    /// Runs the request and answers only after 60 seconds.
    Mute,
    /// Pauses in the middle of an event of a stream, then continues.
    Pauses,
    /// Sends the first events of a stream and then nothing.
    Stalls,
}

/// The arrival of a request.
#[derive(Debug, Clone)]
pub struct RequestArrival {
    /// Time of the arrival.
    pub at: Timestamp,
    /// Attempt id from the request's header; empty if it had none.
    pub id: String,
}

/// A request that crashes the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct FatalArrival {
    /// Time at which it began to run.
    pub at: Timestamp,
    /// Whether a part of its prompt crashes the endpoint, not its path.
    pub is_part: bool,
}

/// A refusal that requested backoff.
#[derive(Debug, Clone)]
pub struct BackoffRecord {
    /// Time of the refusal.
    pub at: Timestamp,
    /// Attempt id of the refused request.
    pub id: String,
    /// Value of the `Retry-After` field.
    pub value: String,
}

/// Refusal of the requests on a path, on account of one of its members.
#[derive(Debug, Clone, Copy)]
pub struct PathRefusal {
    /// Status of the answer.
    pub status: u16,
    /// Position on the path of the member that is named.
    pub position: usize,
    /// Whether the request does not run; otherwise it is counted as run.
    pub is_not_run: bool,
}

/// State of the endpoint: its mode, and the requests that it has received and run.
#[derive(Debug)]
pub struct Replica {
    /// Replica id that a request has to expect; other requests are refused with 421.
    pub id: String,
    mode: Mutex<ReplicaMode>,
    runs: Mutex<HashMap<String, u32>>,
    heads: Mutex<Vec<HeaderMap>>,
    fatal: Mutex<Vec<FatalArrival>>,
    limit: Mutex<Option<f64>>,
    load: Mutex<Option<String>>,
    leaving: AtomicBool,
    left_at: Mutex<Option<Timestamp>>,
    backoff: Mutex<Option<String>>,
    backoffs: Mutex<Vec<BackoffRecord>>,
    path_refusal: Mutex<Option<PathRefusal>>,
    arrivals: Mutex<Vec<RequestArrival>>,
    open: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    running: Mutex<Option<RunningStandIn>>,
}

/// Counts a run as open until it is dropped.
struct OpenRun(Arc<AtomicUsize>);

impl Drop for OpenRun {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Replica {
    /// An endpoint in [`ReplicaMode::Honest`] that does not listen yet.
    pub fn new(id: &str) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            mode: Mutex::default(),
            runs: Mutex::default(),
            heads: Mutex::default(),
            fatal: Mutex::default(),
            limit: Mutex::default(),
            load: Mutex::default(),
            leaving: AtomicBool::new(false),
            left_at: Mutex::default(),
            backoff: Mutex::default(),
            backoffs: Mutex::default(),
            path_refusal: Mutex::default(),
            arrivals: Mutex::default(),
            open: Arc::default(),
            ended: Arc::default(),
            running: Mutex::default(),
        })
    }

    /// Serves at `addr` until [`Self::end`], and returns the address on which it listens.
    pub async fn serve(self: &Arc<Self>, addr: SocketAddr) -> std::io::Result<SocketAddr> {
        let replica = Arc::downgrade(self);
        let running = start(addr, Arc::new(FaultSwitches::default()), move |request| {
            let replica = replica.upgrade();
            async move {
                match replica {
                    Some(replica) => replica.handle(request).await,
                    None => broken_reply(),
                }
            }
        })
        .await?;
        let addr = running.addr;
        *self.running() = Some(running);
        Ok(addr)
    }

    /// Crashes the endpoint: answers in progress are cut off and it stops listening.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        drop(self.running().take());
    }

    /// Whether it has crashed.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Fatal requests that began to run.
    pub fn fatal_arrivals(&self) -> Vec<FatalArrival> {
        self.fatal().clone()
    }

    fn fatal(&self) -> MutexGuard<'_, Vec<FatalArrival>> {
        self.fatal.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    fn running(&self) -> MutexGuard<'_, Option<RunningStandIn>> {
        self.running.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Sets how it treats requests from now on.
    pub fn set_mode(&self, mode: ReplicaMode) {
        *self.mode.lock().unwrap_or_else(|poison| poison.into_inner()) = mode;
    }

    /// Announces a rate limit in its answers from now on, in requests per second over all
    /// callers; `None` stops the announcements.
    pub fn set_limit(&self, rate: Option<f64>) {
        *self.limit.lock().unwrap_or_else(|poison| poison.into_inner()) = rate;
    }

    /// Reports these load figures in its answers from now on; until then it is almost idle.
    pub fn set_load(&self, figures: &str) {
        *self.load.lock().unwrap_or_else(|poison| poison.into_inner()) = Some(figures.to_owned());
    }

    /// States in every answer from now on that it is leaving.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Time of the first answer that stated that it is leaving; none before.
    pub fn left_at(&self) -> Option<Timestamp> {
        *self.left_at.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Refuses every request from now on with this `Retry-After` value; `None` ends the refusals.
    pub fn set_backoff(&self, value: Option<&str>) {
        *self.backoff.lock().unwrap_or_else(|poison| poison.into_inner()) =
            value.map(str::to_owned);
    }

    /// Refuses the requests on a path from now on; `None` ends the refusals.
    pub fn refuse_paths(&self, refusal: Option<PathRefusal>) {
        *self.path_refusal.lock().unwrap_or_else(|poison| poison.into_inner()) = refusal;
    }

    /// All refusals that requested backoff.
    pub fn backoffs(&self) -> Vec<BackoffRecord> {
        self.backoffs.lock().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// All requests that arrived, including refused ones.
    pub fn arrivals(&self) -> Vec<RequestArrival> {
        self.arrivals.lock().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// Ids of the requests that were run, with the number of runs.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.lock().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// Headers of the requests that were run.
    pub fn heads(&self) -> Vec<HeaderMap> {
        self.heads.lock().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// Number of runs in progress.
    pub fn open_runs(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let (parts, body) = request.into_parts();
        let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let id = text("x-cassiawheel-attempt-id").unwrap_or_default().to_owned();
        let arrival = RequestArrival { at: Timestamp::now(), id: id.clone() };
        self.arrivals.lock().unwrap_or_else(|poison| poison.into_inner()).push(arrival);
        if text("x-cassiawheel-expect-replica") != Some(self.id.as_str()) {
            return self.reply(421, &id, full_body(""));
        }
        if let Some(reply) = self.refuse_with_backoff(&id) {
            return reply;
        }
        if let Some(reply) = text("path").and_then(|path| self.refuse_path(path, &id)) {
            return reply;
        }
        let mode = *self.mode.lock().unwrap_or_else(|poison| poison.into_inner());
        if mode == ReplicaMode::Refuses {
            let mut reply = self.reply(503, &id, full_body(""));
            reply.headers_mut().insert("x-cassiawheel-not-executed", "1".parse().expect("valid"));
            return reply;
        }
        let body = read_body(body, 1 << 20).await.unwrap_or_default();
        self.count_run(&id);
        self.heads.lock().unwrap_or_else(|poison| poison.into_inner()).push(parts.headers.clone());
        let is_fatal_part = |part: &str| part.split(':').next() == Some(FATAL_PART);
        let prompt = text("x-cassiawheel-prompt-prefix").and_then(|prompt| prompt.rsplit_once(','));
        let has_fatal_part = prompt.is_some_and(|(shared, _)| shared.split(',').any(is_fatal_part));
        if has_fatal_part || parts.uri.path().contains(FATAL_PATH) {
            self.fatal().push(FatalArrival { at: Timestamp::now(), is_part: has_fatal_part });
            Timer::after(FATAL_TIME).await;
            self.end();
        }
        if self.has_ended() {
            return broken_reply();
        }
        self.open.fetch_add(1, Ordering::SeqCst);
        let run = OpenRun(self.open.clone());
        match mode {
            ReplicaMode::Fails => self.reply(500, &id, full_body("failed")),
            ReplicaMode::Crosses => self.reply(200, "another", full_body("not yours")),
            ReplicaMode::Mute => {
                Timer::after(MUTE_TIME).await;
                self.reply(200, &id, full_body("too late"))
            }
            ReplicaMode::Honest | ReplicaMode::Cuts | ReplicaMode::Pauses | ReplicaMode::Stalls
                if parts.uri.path().contains("/stream/") =>
            {
                let after = text("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut reply = self.reply(200, &id, events(after, mode, run, self.ended.clone()));
                let kind = "text/event-stream".parse().expect("valid");
                reply.headers_mut().insert("content-type", kind);
                reply
            }
            ReplicaMode::Cuts => self.reply(200, &id, cut_body()),
            _ => {
                let answer = format!("{} {}", parts.uri, String::from_utf8_lossy(&body));
                self.reply(200, &id, full_body(answer))
            }
        }
    }

    fn count_run(&self, id: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(|poison| poison.into_inner());
        *runs.entry(id.to_owned()).or_default() += 1;
    }

    fn refuse_path(&self, path: &str, id: &str) -> Option<Response<ReplyBody>> {
        let refusal = *self.path_refusal.lock().unwrap_or_else(|poison| poison.into_inner());
        let PathRefusal { status, position, is_not_run } = refusal?;
        let (member, _) = path.split(',').nth(position)?.split_once('=')?;
        let mut reply = self.reply(status, id, full_body(""));
        reply.headers_mut().insert("at-server", member.parse().expect("valid"));
        if is_not_run {
            reply.headers_mut().insert("x-cassiawheel-not-executed", "1".parse().expect("valid"));
        } else {
            self.count_run(id);
        }
        Some(reply)
    }

    fn refuse_with_backoff(&self, id: &str) -> Option<Response<ReplyBody>> {
        let value = self.backoff.lock().unwrap_or_else(|poison| poison.into_inner()).clone()?;
        let mut reply = self.reply(503, id, full_body(""));
        reply.headers_mut().insert("x-cassiawheel-not-executed", "1".parse().expect("valid"));
        reply.headers_mut().insert("retry-after", value.parse().expect("valid"));
        let record = BackoffRecord { at: Timestamp::now(), id: id.to_owned(), value };
        self.backoffs.lock().unwrap_or_else(|poison| poison.into_inner()).push(record);
        Some(reply)
    }

    fn reply(&self, status: u16, id: &str, body: ReplyBody) -> Response<ReplyBody> {
        let mut reply = Response::new(body);
        *reply.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
        let headers = reply.headers_mut();
        let mut put = |name: &'static str, value: &str| {
            headers.insert(name, value.parse().expect("valid"));
        };
        put("x-cassiawheel-attempt-id", id);
        put("x-cassiawheel-replica-stamp", &format!("stamp-of-{}", self.id));
        let load = self.load.lock().unwrap_or_else(|poison| poison.into_inner());
        put("x-cassiawheel-replica-load", load.as_deref().unwrap_or("1,0,8"));
        drop(load);
        put("keep-alive", "timeout=5");
        let limit = *self.limit.lock().unwrap_or_else(|poison| poison.into_inner());
        if self.leaving.load(Ordering::SeqCst) {
            put("server-leaving", "1");
            let mut left_at = self.left_at.lock().unwrap_or_else(|poison| poison.into_inner());
            left_at.get_or_insert(Timestamp::now());
        }
        if let Some(rate) = limit {
            put("server-limit", &rate.to_string());
        }
        reply
    }
}

fn events(after: u64, mode: ReplicaMode, run: OpenRun, ended: Arc<AtomicBool>) -> ReplyBody {
    let frames = stream::unfold((after + 1, None, run), move |(id, rest, run)| {
        let id = if ended.load(Ordering::SeqCst) { FAILING_EVENT } else { id };
        next_event(after, mode, (id, rest, run))
    });
    BodyExt::boxed(StreamBody::new(frames))
}

/// Id of the next event, the unsent rest of a paused event, and the run.
type EventState = (u64, Option<Bytes>, OpenRun);

async fn next_event(
    after: u64,
    mode: ReplicaMode,
    (id, rest, run): EventState,
) -> Option<(std::io::Result<Frame<Bytes>>, EventState)> {
    if id == FAILING_EVENT {
        return Some((Err(std::io::Error::other("endpoint crashed")), (id, None, run)));
    }
    if let Some(rest) = rest {
        Timer::after(SILENCE).await;
        return Some((Ok(Frame::data(rest)), (id + 1, None, run)));
    }
    if id > EVENTS {
        return None;
    }
    Timer::after(EVENT_TIME).await;
    let text = format!("id: {id}\ndata: piece {id}\n\n");
    let mut event = Bytes::from(text);
    match mode {
        ReplicaMode::Cuts if id == after + 3 => {
            // Sends half of the event; the next step fails the stream.
            event.truncate(event.len() / 2);
            Some((Ok(Frame::data(event)), (FAILING_EVENT, None, run)))
        }
        ReplicaMode::Stalls if id == after + 3 => {
            Timer::after(MUTE_TIME).await;
            None
        }
        ReplicaMode::Pauses if id == after + 3 => {
            let rest = event.split_off(event.len() / 2);
            Some((Ok(Frame::data(event)), (id, Some(rest), run)))
        }
        _ => Some((Ok(Frame::data(event)), (id + 1, None, run))),
    }
}

fn cut_body() -> ReplyBody {
    let frames = stream::iter([
        Ok(Frame::data(Bytes::from_static(b"the first half"))),
        Err(std::io::Error::other("endpoint crashed")),
    ]);
    BodyExt::boxed(StreamBody::new(frames))
}
