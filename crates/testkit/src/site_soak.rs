//! Randomised soak runs on a stand-in of the platform.
//!
//! A run sends a request that crashes endpoints and prompts with a part that crashes them, and has
//! endpoints announce rate limits, departures and backoffs, while entries and endpoints are killed, frozen or drained and the store fails or
//! returns from an older copy.
//!
//! `seed → events → callers and faults → record → verdicts`

mod statements;

use std::time::Duration;

use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::{Deadline, Timestamp};
use cassiawheel_runtime::spawn;
use hyper::{Response, StatusCode};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use smol::Timer;

pub use self::statements::BackoffSpan;
use crate::{
    PlatformSite, SiteCall,
    stand_in::{
        replica::FATAL_PART,
        rows::{LostChange, StoreCopy},
    },
};

/// Time without a disturbance after which the attempts of an entry count for the rules, and
/// time after its first announcement from which a limit has to be kept.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time after the third crash within which the fatal request may still be sent.
const SPREAD_TIME: Duration = Duration::from_secs(1);

/// Window over which requests are compared with a rate limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests beyond the limit that are tolerated in a window.
const SLACK: f64 = 5.0;

/// Time between two steps.
const STEP_TIME: Duration = Duration::from_millis(50);

/// Step after which all entries may be killed at once: quarantines are in the store by then.
const KILL_STEP: usize = 120;

/// Step from which prompts with a fatal part are sent.
const PARTS_FROM_STEP: usize = 40;

/// Number of steps between two copies of the store.
const COPY_STEPS: usize = 60;

/// Number of prompt parts that sound requests share.
const TOPICS: u32 = 20;

/// Time for which the store is away before it returns from a copy.
const RETURN_TIME: Duration = Duration::from_millis(300);

/// Time after which an endpoint that has announced its departure gets no new requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Timeout of a caller.
const CALL_TIME: Duration = Duration::from_secs(3);

/// Path of the request that crashes endpoints (the fatal request).
const FATAL_CALL: &str = "/safe/fatal";

/// Crashes by a fatal part after which it has to be known.
const FATAL_PART_CRASHES: usize = 5;

/// Arrivals of a fatal part that are tolerated afterwards.
const MAX_LATE_PARTS: usize = 3;

/// What a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A request that harms nobody.
    Sound,
    /// The fatal request.
    FatalRequest,
    /// A request whose prompt has a fatal part.
    FatalPart,
}

/// An attempt of a caller and its answer.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    /// Id of the attempt.
    pub id: String,
    /// Index of the entry that it was sent to.
    pub entry: usize,
    /// What was sent.
    pub kind: CallKind,
    /// Time at which it was sent.
    pub sent_at: Timestamp,
    /// Whether its entry had run undisturbed for [`STABLE_TIME`] before it was sent, and was
    /// not disturbed afterwards. Other attempts do not count for the rules.
    pub undisturbed: bool,
    /// Whether its entry's process had run for [`STABLE_TIME`] before it was sent and went on
    /// running, pauses included. Departures by rows count for these attempts.
    pub in_service: bool,
    /// Status and body of the answer; none if the call failed or timed out.
    pub answer: Option<(StatusCode, String)>,
}

/// A rate limit and the time for which an endpoint announced it.
#[derive(Debug, Clone, Copy)]
pub struct LimitSpan {
    /// Index of the endpoint.
    endpoint: usize,
    /// Time of its first announcement.
    pub from: Timestamp,
    /// Time at which the endpoint withdrew it; none if it held until the end.
    pub until: Option<Timestamp>,
    /// Requests per second.
    pub rate: f64,
}

impl LimitSpan {
    /// A limit that is announced until the end of the run.
    pub fn new(endpoint: usize, from: Timestamp, rate: f64) -> Self {
        Self { endpoint, from, until: None, rate }
    }

    /// Whether the limit has to be kept in the whole window that begins at `start`.
    fn covers(&self, start: Timestamp) -> bool {
        let end = start.deadline_after(WINDOW);
        let is_known = self.from.deadline_after(STABLE_TIME).is_past(start);
        is_known && self.until.is_none_or(|until| end.is_past(until))
    }
}

/// Requests that an endpoint received, and the limits that it announced.
#[derive(Debug, Clone, Default)]
pub struct EndpointRecord {
    /// Rate limits that it announced.
    pub limits: Vec<LimitSpan>,
    /// Time and id of each attempt that reached it.
    pub arrivals: Vec<(Timestamp, String)>,
    /// Ids of the attempts that it ran.
    pub runs: Vec<String>,
    /// Time at which the fatal request crashed it; none if it did not.
    pub ended_at: Option<Timestamp>,
    /// Time at which a fatal part crashed it; none if it did not.
    pub ended_by_part_at: Option<Timestamp>,
    /// Time from which it gets no new requests, once it has announced that it leaves.
    pub closed_from: Option<Timestamp>,
    /// Time from which it gets no new requests by its row, also from entries that stood still.
    pub unlisted_from: Option<Timestamp>,
    /// Backoffs that it has requested.
    pub backoffs: Vec<BackoffSpan>,
}

/// Answers to callers and arrivals at endpoints during one run.
#[derive(Debug, Clone, Default)]
pub struct SiteRecord {
    /// All attempts of callers.
    pub attempts: Vec<AttemptRecord>,
    /// Records of all endpoints.
    pub endpoints: Vec<EndpointRecord>,
}

/// Number of violations of each rule.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SiteVerdicts {
    /// Arrivals of the fatal request later than [`SPREAD_TIME`] after the third crash.
    pub late_sends: usize,
    /// Arrivals of fatal parts, beyond those tolerated, later than [`STABLE_TIME`] after the crash by
    /// which the part has to be known.
    pub late_parts: usize,
    /// Windows in which undisturbed entries sent an endpoint more than its limit.
    pub over_limit: usize,
    /// Harmless requests that were refused as quarantined.
    pub quarantined_others: usize,
    /// Requests that an endpoint ran and that were answered with 503.
    pub false_refusals: usize,
    /// Answers with status 200 that belong to another request.
    pub wrong_answers: usize,
    /// Requests of undisturbed entries that reached an endpoint after its departure, or of any entry
    /// in service after a departure by its row.
    pub after_departure: usize,
    /// Backoffs during which an undisturbed entry sent an endpoint more than is allowed.
    pub broken_backoffs: usize,
}

impl SiteRecord {
    /// Counts the violations of each rule.
    pub fn judge(&self) -> SiteVerdicts {
        let attempt = |id: &str| self.attempts.iter().find(|attempt| attempt.id == id);
        let undisturbed = |id: &str| attempt(id).is_some_and(|attempt| attempt.undisturbed);
        let in_service = |id: &str| attempt(id).is_some_and(|attempt| attempt.in_service);
        let is_kind = |id: &str, kind| attempt(id).is_some_and(|attempt| attempt.kind == kind);
        let mut ends: Vec<_> = self.endpoints.iter().filter_map(|e| e.ended_at).collect();
        ends.sort_unstable();
        let bound = ends.get(2).map(|third| third.deadline_after(SPREAD_TIME));
        let mut part_ends: Vec<_> =
            self.endpoints.iter().filter_map(|e| e.ended_by_part_at).collect();
        part_ends.sort_unstable();
        let part_bound = part_ends.get(FATAL_PART_CRASHES - 1);
        let part_bound = part_bound.map(|fifth| fifth.deadline_after(STABLE_TIME));
        let arrivals = || self.endpoints.iter().flat_map(|endpoint| &endpoint.arrivals);
        let is_late_part = |at: Timestamp| part_bound.is_some_and(|bound| bound.is_past(at));
        let is_late = |at: Timestamp| bound.is_some_and(|bound: Deadline| bound.is_past(at));
        let ran = |id: &String| self.endpoints.iter().any(|endpoint| endpoint.runs.contains(id));
        let refusals = self.attempts.iter().filter_map(|attempt| {
            let (status, body) = attempt.answer.as_ref()?;
            (*status == StatusCode::SERVICE_UNAVAILABLE).then_some((attempt, body))
        });
        let whole = self.attempts.iter().filter_map(|attempt| {
            let (status, body) = attempt.answer.as_ref()?;
            (*status == StatusCode::OK).then_some((attempt, body))
        });
        SiteVerdicts {
            late_sends: arrivals()
                .filter(|(at, id)| is_late(*at) && is_kind(id, CallKind::FatalRequest))
                .filter(|(_, id)| undisturbed(id))
                .count(),
            late_parts: arrivals()
                .filter(|(at, id)| is_late_part(*at) && is_kind(id, CallKind::FatalPart))
                .filter(|(_, id)| undisturbed(id))
                .count()
                .saturating_sub(MAX_LATE_PARTS),
            over_limit: self.endpoints.iter().map(|e| e.windows_over(&undisturbed)).sum(),
            quarantined_others: refusals
                .clone()
                .filter(|(attempt, body)| {
                    attempt.kind == CallKind::Sound && body.contains("quarantined")
                })
                .count(),
            false_refusals: refusals.filter(|(attempt, _)| ran(&attempt.id)).count(),
            wrong_answers: whole.filter(|(attempt, body)| !body.contains(&attempt.id)).count(),
            after_departure: self
                .endpoints
                .iter()
                .map(|e| e.after_departure(&undisturbed, &in_service))
                .sum(),
            broken_backoffs: self.endpoints.iter().map(|e| e.broken_backoffs(&attempt)).sum(),
        }
    }
}

impl EndpointRecord {
    /// Counts the windows in which undisturbed entries exceeded a limit of the endpoint.
    fn windows_over(&self, undisturbed: &impl Fn(&str) -> bool) -> usize {
        let counted = self.arrivals.iter().filter(|(_, id)| undisturbed(id));
        let counted: Vec<_> = counted.map(|(at, _)| *at).collect();
        let is_over = |start: &&Timestamp| {
            let Some(limit) = self.limits.iter().find(|limit| limit.covers(**start)) else {
                return false;
            };
            let end = start.deadline_after(WINDOW);
            let within = counted.iter().filter(|at| *at >= *start && !end.is_past(**at));
            within.count() as f64 > limit.rate * WINDOW.as_secs_f64() + SLACK
        };
        counted.iter().filter(is_over).count()
    }
}

/// State of a run in progress.
struct SoakRun {
    site: PlatformSite,
    rng: SmallRng,
    /// Time of the last disturbance of each entry.
    disturbed: Vec<Timestamp>,
    /// Time of the last start of each entry.
    started: Vec<Timestamp>,
    /// Time of the last fault of the store.
    store_disturbed: Timestamp,
    /// Frozen entries, each with the time at which it is resumed.
    paused: Vec<(usize, Deadline)>,
    limits: Vec<LimitSpan>,
    calls: Vec<(usize, smol::Task<AttemptRecord>)>,
    /// Copy that the store returns from next.
    copy: StoreCopy,
    /// Changes that operators and endpoints repeat after a return, each with its time.
    repeats: Vec<(LostChange, Deadline)>,
    /// Endpoints that request backoff, each with the time at which they serve again.
    refusing: Vec<(usize, Deadline)>,
    /// Endpoints drained by their rows, each with the time at which entries could know.
    drained: Vec<(usize, Timestamp)>,
}

/// Runs a soak of length `span` with `entries` entries; `seed` determines its events.
pub async fn run_soak(seed: u64, entries: usize, span: Duration) -> anyhow::Result<SiteRecord> {
    let site = PlatformSite::start(entries + 4, entries).await?;
    let copy = site.rows.copy();
    let mut run = SoakRun {
        disturbed: vec![Timestamp::now(); entries],
        started: vec![Timestamp::now(); entries],
        store_disturbed: Timestamp::now(),
        site,
        rng: SmallRng::seed_from_u64(seed),
        paused: Vec::new(),
        limits: Vec::new(),
        calls: Vec::new(),
        copy,
        repeats: Vec::new(),
        refusing: Vec::new(),
        drained: Vec::new(),
    };
    let until = Timestamp::now().deadline_after(span);
    let mut number = 0;
    while !until.is_past(Timestamp::now()) {
        number += 1;
        run.step(number).await?;
        Timer::after(STEP_TIME).await;
    }
    run.finish().await
}

impl SoakRun {
    async fn step(&mut self, number: usize) -> anyhow::Result<()> {
        for entry in 0..self.site.entries.len() {
            self.call(entry, format!("r-{number}-{entry}"), CallKind::Sound)?;
        }
        if self.rng.random_bool(0.2) {
            let entry = self.rng.random_range(0..self.site.entries.len());
            self.call(entry, format!("fatal-{number}"), CallKind::FatalRequest)?;
        }
        if number >= PARTS_FROM_STEP && self.rng.random_bool(0.1) {
            let entry = self.rng.random_range(0..self.site.entries.len());
            self.call(entry, format!("part-{number}"), CallKind::FatalPart)?;
        }
        if self.rng.random_bool(0.02) {
            self.disturb(number).await?;
        }
        if self.rng.random_bool(0.01) {
            self.pause_readers().await?;
        }
        if self.rng.random_bool(0.01) {
            self.remove_row().await?;
        }
        if self.rng.random_bool(0.015) {
            self.change_limit();
        }
        if self.rng.random_bool(0.02) {
            self.change_statement();
        }
        if number.is_multiple_of(20) {
            self.site.replace_ended().await?;
        }
        if number.is_multiple_of(COPY_STEPS) {
            self.copy = self.site.rows.copy();
        }
        let now = Timestamp::now();
        for (lost, _) in self.repeats.extract_if(.., |(_, at)| at.is_past(now)) {
            self.site.rows.repeat(lost);
        }
        for (endpoint, _) in self.refusing.extract_if(.., |(_, until)| until.is_past(now)) {
            self.site.replicas[endpoint].set_backoff(None);
        }
        for (entry, _) in self.paused.extract_if(.., |(_, until)| until.is_past(now)) {
            self.site.entries[entry].process.resume()?;
            self.disturbed[entry] = now;
        }
        Ok(())
    }

    /// Has a random endpoint announce a rate limit, or withdraw the one it announces.
    fn change_limit(&mut self) {
        let now = Timestamp::now();
        let endpoint = self.rng.random_range(0..self.site.replicas.len());
        let is_named = |limit: &&mut LimitSpan| limit.endpoint == endpoint && limit.until.is_none();
        let rate = self.rng.random_range(1.0..6.0);
        match self.limits.iter_mut().find(is_named) {
            Some(limit) => limit.until = Some(now),
            None => self.limits.push(LimitSpan::new(endpoint, now, rate)),
        }
        let last = self.limits.iter().rfind(|limit| limit.endpoint == endpoint);
        let rate = last.filter(|limit| limit.until.is_none()).map(|limit| limit.rate);
        self.site.replicas[endpoint].set_limit(rate);
    }

    /// Freezes the entries of the first ranks, which read the list for the others, or all entries, and
    /// at times removes a row then.
    async fn pause_readers(&mut self) -> anyhow::Result<()> {
        let all = self.site.entries.len();
        let readers = self.rng.random_range(1..=all);
        let count = if self.rng.random_bool(0.3) { all } else { readers };
        let span = Duration::from_millis(self.rng.random_range(200..2_500));
        let until = Timestamp::now().deadline_after(span);
        for entry in 0..count {
            if !self.paused.iter().any(|(paused, _)| *paused == entry) {
                self.pause(entry, until)?;
            }
        }
        if self.rng.random_bool(0.6) {
            self.remove_row().await?;
        }
        Ok(())
    }

    /// Removes the row of a random endpoint, which has not said that it leaves.
    async fn remove_row(&mut self) -> anyhow::Result<()> {
        let now = Timestamp::now();
        let endpoint = self.rng.random_range(0..self.site.replicas.len());
        let is_stable = self.store_disturbed.deadline_after(STABLE_TIME).is_past(now)
            && !self.site.store_faults.is_down();
        if self.site.remove_row(endpoint).await? && is_stable {
            self.drained.push((endpoint, now));
        }
        Ok(())
    }

    /// Has a random endpoint announce that it leaves, or request backoff for a while.
    fn change_statement(&mut self) {
        let endpoint = self.rng.random_range(0..self.site.replicas.len());
        let replica = &self.site.replicas[endpoint];
        if self.rng.random_bool(0.2) {
            replica.announce_leaving();
            return;
        }
        let backoff_s = self.rng.random_range(0.3..3.0);
        replica.set_backoff(Some(&format!("{backoff_s:.2}")));
        let span = Duration::from_millis(self.rng.random_range(500..4_000));
        self.refusing.push((endpoint, Timestamp::now().deadline_after(span)));
    }

    /// Returns the store from the last copy after a moment without it. Operators and endpoints
    /// repeat what they have written since, each within a second.
    async fn return_store(&mut self) {
        self.site.store_faults.set_down(true);
        Timer::after(RETURN_TIME).await;
        let now = Timestamp::now();
        let repeated = ["op", "servers"];
        for lost in self.site.rows.return_to(&self.copy) {
            if repeated.contains(&lost.table()) {
                let wait = Duration::from_millis(self.rng.random_range(0..1_000));
                self.repeats.push((lost, now.deadline_after(wait)));
            }
        }
        self.site.store_faults.set_down(false);
        self.store_disturbed = Timestamp::now();
        self.drained.retain(|(_, at)| at.deadline_after(STABLE_TIME).is_past(now));
    }

    /// Time from which an endpoint that has announced its departure gets no new requests.
    fn closed_from(&self, endpoint: usize) -> Option<Timestamp> {
        let by_row = self.drained.iter().find(|(drained, _)| *drained == endpoint);
        let by_row = by_row.map(|(_, at)| *at);
        let announced = [by_row, self.site.replicas[endpoint].left_at()];
        let first = announced.into_iter().flatten().min()?;
        Some(Timestamp(first.deadline_after(DRAIN_TIME).0))
    }

    /// Time from which an endpoint gets no new requests by its row.
    fn unlisted_from(&self, endpoint: usize) -> Option<Timestamp> {
        let (_, at) = self.drained.iter().find(|(drained, _)| *drained == endpoint)?;
        Some(Timestamp(at.deadline_after(DRAIN_TIME).0))
    }

    /// Kills and restarts every entry, to simulate a power loss.
    fn kill_all(&mut self) -> anyhow::Result<()> {
        for entry in 0..self.site.entries.len() {
            self.site.entries[entry].process.kill()?;
            self.site.restart_entry(entry)?;
            self.disturbed[entry] = Timestamp::now();
            self.started[entry] = Timestamp::now();
        }
        self.paused.clear();
        Ok(())
    }

    /// Injects a random fault: kills or freezes an entry, kills all entries, crashes or drains
    /// an endpoint, or switches the store off or on.
    async fn disturb(&mut self, number: usize) -> anyhow::Result<()> {
        let now = Timestamp::now();
        let entry = self.rng.random_range(0..self.site.entries.len());
        let is_paused = self.paused.iter().any(|(paused, _)| *paused == entry);
        match self.rng.random_range(0..9) {
            0 if !is_paused => {
                self.site.entries[entry].process.kill()?;
                self.site.restart_entry(entry)?;
                self.disturbed[entry] = now;
                self.started[entry] = now;
            }
            1 if !is_paused => {
                let span = Duration::from_millis(self.rng.random_range(200..2_500));
                self.pause(entry, now.deadline_after(span))?;
            }
            2 => {
                let is_down = self.site.store_faults.is_down();
                self.site.store_faults.set_down(!is_down);
                self.store_disturbed = now;
                self.drained.retain(|(_, at)| at.deadline_after(STABLE_TIME).is_past(now));
            }
            3 if number > KILL_STEP => self.kill_all()?,
            4 => {
                let endpoint = self.rng.random_range(0..self.site.replicas.len());
                if self.site.release(endpoint).await? && !self.site.store_faults.is_down() {
                    self.drained.push((endpoint, now));
                }
            }
            5 => self.return_store().await,
            _ => {
                let endpoint = self.rng.random_range(0..self.site.replicas.len());
                self.site.replicas[endpoint].end();
            }
        }
        Ok(())
    }

    fn pause(&mut self, entry: usize, until: Deadline) -> anyhow::Result<()> {
        self.site.entries[entry].process.pause()?;
        self.paused.push((entry, until));
        self.disturbed[entry] = Timestamp::now();
        Ok(())
    }

    fn call(&mut self, entry: usize, id: String, kind: CallKind) -> anyhow::Result<()> {
        let path = match kind {
            CallKind::FatalRequest => FATAL_CALL.to_owned(),
            CallKind::Sound | CallKind::FatalPart => format!("/safe/{id}"),
        };
        let topic = match kind {
            CallKind::FatalPart => FATAL_PART.to_owned(),
            CallKind::Sound | CallKind::FatalRequest => {
                format!("{:x}", self.rng.random_range(0..TOPICS))
            }
        };
        let prompt = format!("everyone:40,{topic}:200,own:80");
        let call = SiteCall { prompt: Some(&prompt), ..SiteCall::new(&id, &path) };
        let request = self.site.request(entry, call)?;
        let sent_at = Timestamp::now();
        let undisturbed = self.disturbed[entry].deadline_after(STABLE_TIME).is_past(sent_at);
        let in_service = self.started[entry].deadline_after(STABLE_TIME).is_past(sent_at);
        let record =
            AttemptRecord { id, entry, kind, sent_at, undisturbed, in_service, answer: None };
        let call = spawn(async move {
            let answer = HttpClient::default().send_and_read(request, CALL_TIME).await;
            let read_answer = |answer: Response<Bytes>| {
                (answer.status(), String::from_utf8_lossy(answer.body()).into_owned())
            };
            AttemptRecord { answer: answer.ok().map(read_answer), ..record }
        });
        self.calls.push((entry, call));
        Ok(())
    }

    async fn finish(mut self) -> anyhow::Result<SiteRecord> {
        for (entry, _) in self.paused.drain(..) {
            self.site.entries[entry].process.resume()?;
        }
        let mut record = SiteRecord::default();
        for (entry, call) in self.calls.drain(..) {
            let mut attempt = call.await;
            // An attempt whose entry was disturbed after it was sent does not count either.
            attempt.undisturbed &= self.disturbed[entry] < attempt.sent_at;
            attempt.in_service &= self.started[entry] < attempt.sent_at;
            record.attempts.push(attempt);
        }
        for (index, replica) in self.site.replicas.iter().enumerate() {
            let limits = self.limits.iter().filter(|limit| limit.endpoint == index);
            let crash = replica.fatal_arrivals().first().copied();
            let crash = crash.filter(|_| replica.has_ended());
            record.endpoints.push(EndpointRecord {
                limits: limits.copied().collect(),
                arrivals: replica.arrivals().into_iter().map(|a| (a.at, a.id)).collect(),
                runs: replica.runs().into_keys().collect(),
                ended_at: crash.filter(|fatal| !fatal.is_part).map(|fatal| fatal.at),
                ended_by_part_at: crash.filter(|fatal| fatal.is_part).map(|fatal| fatal.at),
                closed_from: self.closed_from(index),
                unlisted_from: self.unlisted_from(index),
                backoffs: replica.backoffs().iter().filter_map(BackoffSpan::new).collect(),
            });
        }
        Ok(record)
    }
}
