//! Drawn days on the users' platform: a request that ends endpoints, endpoints that name
//! limits, and entries and endpoints that end, freeze or leave beside them.
//!
//! `seed → events → callers and faults → record → verdicts`

use std::time::Duration;

use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::{Deadline, Timestamp};
use cassiawheel_runtime::spawn;
use hyper::{Response, StatusCode};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use smol::Timer;

use crate::{PlatformSite, SiteCall};

/// Time for which an entry has to have run undisturbed before rules bind it.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time after the third end within which the request may still be sent.
const SPREAD_TIME: Duration = Duration::from_secs(1);

/// Window in which a limit is judged.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests beyond the limit that are borne in a window.
const SLACK: f64 = 5.0;

/// Time between two steps.
const STEP_TIME: Duration = Duration::from_millis(50);

/// Step from which on all entries may lose power: bars are in the store by then.
const KILL_STEP: usize = 120;

/// Longest time that a caller waits.
const CALL_TIME: Duration = Duration::from_secs(3);

/// Path of the request that ends endpoints.
const FATAL_CALL: &str = "/safe/fatal";

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    /// Its id.
    pub id: String,
    /// Whether it is the request that ends endpoints.
    pub is_fatal: bool,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// Whether the entry had run undisturbed for long enough then, and did so until its end.
    pub undisturbed: bool,
    /// Status and body of the answer; none if there was none.
    pub answer: Option<(StatusCode, String)>,
}

/// A limit that an endpoint named.
#[derive(Debug, Clone, Copy)]
pub struct LimitSpan {
    /// The endpoint's place among all.
    endpoint: usize,
    /// From when on it named it.
    pub from: Timestamp,
    /// When it named it last; none if until the end.
    pub until: Option<Timestamp>,
    /// Requests a second.
    pub rate: f64,
}

impl LimitSpan {
    /// A limit that was named until the end.
    pub fn new(endpoint: usize, from: Timestamp, rate: f64) -> Self {
        Self { endpoint, from, until: None, rate }
    }

    /// Whether a window that begins at `start` lies where the limit has to be kept.
    fn covers(&self, start: Timestamp) -> bool {
        let end = start.deadline_after(WINDOW);
        let is_known = self.from.deadline_after(STABLE_TIME).is_past(start);
        is_known && self.until.is_none_or(|until| end.is_past(until))
    }
}

/// What an endpoint got.
#[derive(Debug, Clone, Default)]
pub struct EndpointRecord {
    /// Limits that it named.
    pub limits: Vec<LimitSpan>,
    /// Attempts that reached it.
    pub arrivals: Vec<(Timestamp, String)>,
    /// Attempts that it ran.
    pub runs: Vec<String>,
    /// When it ended under the request that ends endpoints.
    pub ended_at: Option<Timestamp>,
}

/// Answers of callers and arrivals at endpoints of one day.
#[derive(Debug, Clone, Default)]
pub struct SiteRecord {
    /// Attempts of callers.
    pub attempts: Vec<AttemptRecord>,
    /// Endpoints.
    pub endpoints: Vec<EndpointRecord>,
}

/// Broken rules, each with the number of cases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SiteVerdicts {
    /// Sends of the request that ends endpoints, later than a second after the third end.
    pub late_sends: usize,
    /// Windows in which an endpoint got more than its limit from entries in touch.
    pub over_limit: usize,
    /// Other requests that were refused as if they ended endpoints.
    pub quarantined_others: usize,
    /// Requests that an endpoint ran and that were answered as not run.
    pub false_refusals: usize,
    /// Whole answers that are not the request's own.
    pub wrong_answers: usize,
}

impl SiteRecord {
    /// Counts the broken rules.
    pub fn judge(&self) -> SiteVerdicts {
        let attempt = |id: &str| self.attempts.iter().find(|attempt| attempt.id == id);
        let undisturbed = |id: &str| attempt(id).is_some_and(|attempt| attempt.undisturbed);
        let is_fatal = |id: &str| attempt(id).is_some_and(|attempt| attempt.is_fatal);
        let mut ends: Vec<_> = self.endpoints.iter().filter_map(|e| e.ended_at).collect();
        ends.sort_unstable();
        let bound = ends.get(2).map(|third| third.deadline_after(SPREAD_TIME));
        let arrivals = || self.endpoints.iter().flat_map(|endpoint| &endpoint.arrivals);
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
                .filter(|(at, id)| is_late(*at) && is_fatal(id) && undisturbed(id))
                .count(),
            over_limit: self.endpoints.iter().map(|e| e.windows_over(&undisturbed)).sum(),
            quarantined_others: refusals
                .clone()
                .filter(|(attempt, body)| !attempt.is_fatal && body.contains("quarantined"))
                .count(),
            false_refusals: refusals.filter(|(attempt, _)| ran(&attempt.id)).count(),
            wrong_answers: whole.filter(|(attempt, body)| !body.contains(&attempt.id)).count(),
        }
    }
}

impl EndpointRecord {
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

/// State of a day that is played.
struct SoakDay {
    site: PlatformSite,
    rng: SmallRng,
    /// When each entry was disturbed last.
    disturbed: Vec<Timestamp>,
    /// Entries that stand still, and until when.
    paused: Vec<(usize, Deadline)>,
    limits: Vec<LimitSpan>,
    calls: Vec<(usize, smol::Task<AttemptRecord>)>,
}

/// Plays a day of `span` with `entries` entries, drawn from `seed`.
pub async fn run_soak(seed: u64, entries: usize, span: Duration) -> anyhow::Result<SiteRecord> {
    let site = PlatformSite::start(entries + 4, entries).await?;
    let mut day = SoakDay {
        disturbed: vec![Timestamp::now(); entries],
        site,
        rng: SmallRng::seed_from_u64(seed),
        paused: Vec::new(),
        limits: Vec::new(),
        calls: Vec::new(),
    };
    let until = Timestamp::now().deadline_after(span);
    let mut number = 0;
    while !until.is_past(Timestamp::now()) {
        number += 1;
        day.step(number).await?;
        Timer::after(STEP_TIME).await;
    }
    day.finish().await
}

impl SoakDay {
    async fn step(&mut self, number: usize) -> anyhow::Result<()> {
        for entry in 0..self.site.entries.len() {
            self.call(entry, format!("r-{number}-{entry}"), false)?;
        }
        if self.rng.random_bool(0.2) {
            let entry = self.rng.random_range(0..self.site.entries.len());
            self.call(entry, format!("fatal-{number}"), true)?;
        }
        if self.rng.random_bool(0.02) {
            self.disturb(number).await?;
        }
        if self.rng.random_bool(0.015) {
            self.change_limit();
        }
        if number.is_multiple_of(20) {
            self.site.replace_ended().await?;
        }
        let now = Timestamp::now();
        for (entry, _) in self.paused.extract_if(.., |(_, until)| until.is_past(now)) {
            self.site.entries[entry].process.resume()?;
            self.disturbed[entry] = now;
        }
        Ok(())
    }

    /// Has an endpoint name another limit, or none any more.
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

    /// Kills every entry, as a loss of power does, and starts all again.
    fn kill_all(&mut self) -> anyhow::Result<()> {
        for entry in 0..self.site.entries.len() {
            self.site.entries[entry].process.kill()?;
            self.site.restart_entry(entry)?;
            self.disturbed[entry] = Timestamp::now();
        }
        self.paused.clear();
        Ok(())
    }

    /// Kills or freezes an entry, ends or releases an endpoint, or takes the store away.
    async fn disturb(&mut self, number: usize) -> anyhow::Result<()> {
        let now = Timestamp::now();
        let entry = self.rng.random_range(0..self.site.entries.len());
        let is_paused = self.paused.iter().any(|(paused, _)| *paused == entry);
        match self.rng.random_range(0..8) {
            0 if !is_paused => {
                self.site.entries[entry].process.kill()?;
                self.site.restart_entry(entry)?;
                self.disturbed[entry] = now;
            }
            1 if !is_paused => {
                self.site.entries[entry].process.pause()?;
                let span = Duration::from_millis(self.rng.random_range(200..2_500));
                self.paused.push((entry, now.deadline_after(span)));
                self.disturbed[entry] = now;
            }
            2 => {
                let is_down = self.site.store_faults.is_down();
                self.site.store_faults.set_down(!is_down);
            }
            3 if number > KILL_STEP => self.kill_all()?,
            4 => {
                let endpoint = self.rng.random_range(0..self.site.replicas.len());
                self.site.release(endpoint).await?;
            }
            _ => {
                let endpoint = self.rng.random_range(0..self.site.replicas.len());
                self.site.replicas[endpoint].end();
            }
        }
        Ok(())
    }

    fn call(&mut self, entry: usize, id: String, is_fatal: bool) -> anyhow::Result<()> {
        let path = if is_fatal { FATAL_CALL.to_owned() } else { format!("/safe/{id}") };
        let request = self.site.request(entry, SiteCall::new(&id, &path))?;
        let sent_at = Timestamp::now();
        let undisturbed = self.disturbed[entry].deadline_after(STABLE_TIME).is_past(sent_at);
        let record = AttemptRecord { id, is_fatal, sent_at, undisturbed, answer: None };
        let call = spawn(async move {
            let answer = HttpClient::default().send_and_read(request, CALL_TIME).await;
            let told = |answer: Response<Bytes>| {
                (answer.status(), String::from_utf8_lossy(answer.body()).into_owned())
            };
            AttemptRecord { answer: answer.ok().map(told), ..record }
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
            // A disturbance while the request was under way excuses its entry as well.
            attempt.undisturbed &= self.disturbed[entry] < attempt.sent_at;
            record.attempts.push(attempt);
        }
        for (index, replica) in self.site.replicas.iter().enumerate() {
            let limits = self.limits.iter().filter(|limit| limit.endpoint == index);
            let fatal = replica.fatal_arrivals();
            record.endpoints.push(EndpointRecord {
                limits: limits.copied().collect(),
                arrivals: replica.arrivals().into_iter().map(|a| (a.at, a.id)).collect(),
                runs: replica.runs().into_keys().collect(),
                ended_at: fatal.first().copied().filter(|_| replica.has_ended()),
            });
        }
        Ok(record)
    }
}
