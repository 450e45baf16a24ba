//! Callers that follow the documented client protocol.
//!
//! A caller gets advice from `/v1/entries`, caches it until `valid_until` and
//! connects to one of its addresses. A request reported as not-run is retried
//! after the wait that the answer names; one with an unknown outcome is retried
//! only if it is idempotent or has a key.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassiawheel_decide::advice::EntryAdvice;
use cassiawheel_edge::{ClientError, HttpClient};
use cassiawheel_model::{Deadline, Timestamp};
use cassiawheel_runtime::timeout;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, body::Incoming, header::TE};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::Deserialize;
use smol::Timer;

use super::{
    records::{AskRecord, CallKind, RequestRecord, ToldOutcome},
    schedule::PlannedArrival,
};
use crate::deployment::{MODEL_SERVICE, PLAIN_SERVICE, WEB_SERVICE};

/// Timeout of a request for advice.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the deadline in which the outcome may still arrive.
const OUTCOME_GRACE: Duration = Duration::from_millis(500);
/// Wait before a retry, unless the answer names one.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Parameters that all requests of a run share.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Part of each request's text, to distinguish it from those of other runs.
    pub run: String,
    /// When the arrivals begin.
    pub started: Instant,
    /// The same moment as wall-clock time.
    pub started_at: Timestamp,
    /// Time from the scheduled arrival to the deadline of a request.
    pub allowed: Duration,
    /// Tokens of a generated answer.
    pub tokens: u32,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
}

/// One caller with its cached advice.
pub struct BurstCaller {
    client: HttpClient,
    /// Addresses of the entries; `entry-N` is at index N.
    entries: Arc<Vec<SocketAddr>>,
    advice: Mutex<Option<EntryAdvice>>,
    rng: Mutex<SmallRng>,
}

#[derive(Deserialize)]
struct FailureText {
    retry_after_ms: Option<u64>,
}

/// Outcome of one attempt, and the wait before a retry if the answer names one.
struct AttemptEnd {
    told: ToldOutcome,
    retry_after: Option<Duration>,
}

impl BurstCaller {
    /// Creates a caller of `entries` without cached advice.
    pub fn new(entries: Arc<Vec<SocketAddr>>, seed: u64) -> Self {
        Self {
            client: HttpClient::default(),
            entries,
            advice: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Sends the request and retries it until its outcome is final or its deadline is near.
    pub async fn request(&self, plan: &CallPlan, arrival: &PlannedArrival) -> RequestRecord {
        let scheduled_at = Timestamp(plan.started_at.0 + arrival.at.as_millis() as u64);
        let deadline = Timestamp(scheduled_at.0 + plan.allowed.as_millis() as u64);
        let is_generated = arrival.kind == CallKind::Generate;
        let mut record = RequestRecord {
            text: format!("call-{}-{}", plan.run, arrival.number),
            kind: arrival.kind,
            workspace: arrival.workspace.clone(),
            scheduled_at,
            deadline,
            tokens: if is_generated { plan.tokens } else { 0 },
            asks: Vec::new(),
        };
        loop {
            let addr = self.address().await;
            let (ask, retry_after) = self.attempt(plan, arrival, &record, addr).await;
            let told = ask.told;
            record.asks.push(ask);
            let may_retry = match told {
                ToldOutcome::Complete => false,
                ToldOutcome::NotRun | ToldOutcome::NotSent => true,
                ToldOutcome::Unknown | ToldOutcome::Cut => arrival.kind.is_repeatable(),
            };
            if told == ToldOutcome::NotSent {
                *self.advice() = None;
            }
            let wait = retry_after.unwrap_or(RETRY_WAIT);
            let next_at = Timestamp(Timestamp::now().0 + wait.as_millis() as u64);
            if !may_retry || next_at >= deadline {
                return record;
            }
            Timer::after(wait).await;
        }
    }

    /// Chooses an address from the advice, which is fetched again once it has expired.
    async fn address(&self) -> SocketAddr {
        let cached = self.advice().clone();
        let valid = cached.filter(|advice| !advice.valid_until.is_past(Timestamp::now()));
        let advice = match valid {
            Some(advice) => Some(advice),
            None => self.fetch_advice().await,
        };
        let addresses = advice.map(|advice| advice.addresses).unwrap_or_default();
        self.choose(&addresses).or_else(|| self.choose(&self.entries)).unwrap_or(self.entries[0])
    }

    async fn fetch_advice(&self) -> Option<EntryAdvice> {
        for _ in 0..self.entries.len() {
            let entry = self.choose(&self.entries)?;
            let request = Request::get(format!("http://{entry}/v1/entries"));
            let request = request.body(Full::new(Bytes::new())).ok()?;
            let Ok(reply) = self.client.send_and_read(request, ADVICE_TIMEOUT).await else {
                continue;
            };
            if let Ok(advice) = serde_json::from_slice::<EntryAdvice>(reply.body()) {
                *self.advice() = Some(advice.clone());
                return Some(advice);
            }
        }
        None
    }

    /// Sends the request once and records the attempt.
    async fn attempt(
        &self,
        plan: &CallPlan,
        arrival: &PlannedArrival,
        record: &RequestRecord,
        addr: SocketAddr,
    ) -> (AskRecord, Option<Duration>) {
        let position = self.entries.iter().position(|entry| *entry == addr).unwrap_or_default();
        let mut ask = AskRecord {
            entry: format!("entry-{position}"),
            request: None,
            begun_at: Timestamp::now(),
            ended_at: Timestamp::now(),
            told: ToldOutcome::Cut,
            version: None,
            revision: None,
            body: String::new(),
            first_us: None,
            gaps_us: Vec::new(),
            total_us: 0,
        };
        let due = plan.started + arrival.at;
        let span = Deadline(record.deadline.0).remaining(Timestamp::now()) + OUTCOME_GRACE;
        let end = match build_request(plan, record, addr) {
            Ok(request) => timeout(span, self.read_answer(request, due, &mut ask)).await,
            Err(_) => None,
        };
        let end = end.unwrap_or(AttemptEnd { told: ToldOutcome::Cut, retry_after: None });
        ask.told = end.told;
        ask.ended_at = Timestamp::now();
        ask.total_us = due.elapsed().as_micros() as u64;
        (ask, end.retry_after)
    }

    async fn read_answer(
        &self,
        request: Request<Full<Bytes>>,
        due: Instant,
        ask: &mut AskRecord,
    ) -> AttemptEnd {
        let reply = match self.client.send(request).await {
            Ok(reply) => reply,
            Err(ClientError::NotSent(_)) => {
                return AttemptEnd { told: ToldOutcome::NotSent, retry_after: None };
            }
            Err(ClientError::NoAnswer(_) | ClientError::TooLong(_)) => {
                return AttemptEnd { told: ToldOutcome::Cut, retry_after: None };
            }
        };
        record_headers(ask, reply.headers());
        let outcome = read_body(reply, due, ask).await;
        let told = match outcome.as_deref() {
            Some("complete") => ToldOutcome::Complete,
            Some("not-run") => ToldOutcome::NotRun,
            Some("unknown") => ToldOutcome::Unknown,
            // Without an outcome, the answer may be incomplete.
            _ => ToldOutcome::Cut,
        };
        let failure = serde_json::from_str::<FailureText>(&ask.body).ok();
        let wait = failure.and_then(|failure| failure.retry_after_ms);
        AttemptEnd { told, retry_after: wait.map(Duration::from_millis) }
    }

    fn choose(&self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        let mut rng = self.rng.lock().unwrap_or_else(|poison| poison.into_inner());
        addresses.choose(&mut *rng).copied()
    }

    fn advice(&self) -> MutexGuard<'_, Option<EntryAdvice>> {
        self.advice.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

fn build_request(
    plan: &CallPlan,
    record: &RequestRecord,
    addr: SocketAddr,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let (path, body) = match record.kind {
        CallKind::Generate => {
            let call = serde_json::json!({
                "prompt": record.text, "tokens": plan.tokens, "token_ms": plan.token_ms,
            });
            (format!("{MODEL_SERVICE}/v1/generate"), call.to_string())
        }
        CallKind::Read => (format!("{WEB_SERVICE}/pages"), record.text.clone()),
        CallKind::Keyed | CallKind::Unkeyed => {
            (format!("{PLAIN_SERVICE}/sales"), record.text.clone())
        }
    };
    let mut request = Request::post(format!("http://{addr}/v1/services/{path}"))
        .header(TE, "trailers")
        .header("cassiawheel-workspace", record.workspace.as_str())
        .header("cassiawheel-deadline", record.deadline.0.to_string())
        .header("cassiawheel-idempotent", record.kind.is_idempotent().to_string());
    if record.kind == CallKind::Keyed {
        request = request.header("idempotency-key", record.text.as_str());
    }
    request.body(Full::new(Bytes::from(body)))
}

fn record_headers(ask: &mut AskRecord, headers: &HeaderMap) {
    ask.request = header(headers, "cassiawheel-request");
    ask.version = header(headers, "cassiawheel-version");
    ask.revision = header(headers, "cassiawheel-revision").and_then(|text| text.parse().ok());
}

/// Reads the body and returns the outcome from the trailers or else from the headers.
async fn read_body(reply: Response<Incoming>, due: Instant, ask: &mut AskRecord) -> Option<String> {
    let mut outcome = header(reply.headers(), "cassiawheel-outcome");
    let mut body = reply.into_body();
    let mut last = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        if let Some(trailers) = frame.trailers_ref() {
            outcome = header(trailers, "cassiawheel-outcome").or(outcome);
            continue;
        }
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let now = Instant::now();
        match last.replace(now) {
            None => ask.first_us = Some(due.elapsed().as_micros() as u64),
            Some(before) => ask.gaps_us.push((now - before).as_micros() as u64),
        }
        ask.body.push_str(&String::from_utf8_lossy(data));
    }
    outcome
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Derives the seeds of `count` callers from the seed of the run.
pub fn caller_seeds(seed: u64, count: usize) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..count).map(|_| rng.random()).collect()
}
