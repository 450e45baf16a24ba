//! Requests during which endpoints crashed, and which of them are barred.
//!
//! A crashing endpoint takes down all its requests, so one crash proves nothing against any of
//! them; the request that caused it is also present at the next crash. Crashes are counted by
//! request digest, once per endpoint process: with full weight if no part of the answer had
//! arrived, and with half of it if the endpoint was answering. A complete answer clears all earlier
//! crashes.
//!
//! A suspect is retried by one run at a time: entries start in rank order and announce the run to
//! the others.
//!
//! Bars are also persisted in the table service, for the case that all entries lose power.
//!
//! This protects against a caller that repeats a request which crashes every endpoint that runs it,
//! at any entry and at several at once.
//!
//! The parts of prompts that requests share are tracked in the same way, each with a digest of its
//! own. Popular parts are present at most crashes, so the evidence for them counts as well: a part
//! that is known from a complete answer needs twice the weight; crashes of several endpoints at the
//! same time, which have a common cause, count against no part; and a part is not barred if most
//! endpoints crash without it. Suspect parts are not delayed.

mod endpoint_crashes;

use std::{
    cmp::Reverse,
    collections::{HashMap, hash_map::Entry},
    time::Duration,
};

use cassiawheel_model::{
    CrashEvent, CrashRecord, Deadline, QuarantinedRequest, RequestDigest, Timestamp,
};

use self::endpoint_crashes::EndpointCrashes;
use crate::gossip::LinkId;

/// Weight of a crash before any part of the answer had arrived.
const START_WEIGHT: u32 = 2;

/// Weight of a crash while the endpoint was answering.
const ANSWER_WEIGHT: u32 = 1;

/// Weight from which a request is barred: three crashes before an answer, or six in all.
const BARRED_WEIGHT: u32 = 3 * START_WEIGHT;

/// Divisor of the crashes of all endpoints: a part of prompts is barred only if it was present at
/// that many of them.
const PRESENCE_DIVISOR: usize = 3;

/// Time since the last crash for which a request is barred, and for which crashes count.
pub const BAR_DURATION: Duration = Duration::from_secs(600);

/// Time after a crash in which crashes seen by other entries arrive here.
const PROPAGATION_TIME: Duration = Duration::from_millis(60);

/// Time over which the starts of all entries are spread.
const SPREAD_TIME: Duration = Duration::from_millis(1_000);

/// Time after its start in which a run crashes its endpoint, or counts as harmless so far.
const RUN_TIME: Duration = Duration::from_millis(600);

/// Maximum number of tracked requests; the one with the lowest weight is evicted first.
const MAX_REQUESTS: usize = 4_096;

/// Maximum number of crashes recorded per request.
const MAX_CRASHES: usize = 8;

/// Maximum number of bars in the table service.
const MAX_BARS: usize = 256;

/// Maximum number of rows in one message.
const MAX_ROWS: usize = 256;

/// Assessment of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No evidence against the request.
    Clear,
    /// Endpoints crashed during the request; at most one run at a time should retry it.
    Suspect {
        /// Whether the only crash was seen by this entry.
        is_local: bool,
        /// When the observations of other entries have arrived here and the outcome of the last run
        /// is known.
        settled_at: Deadline,
    },
    /// The request is sent to no endpoint.
    Barred {
        /// When the request may be retried.
        until: Deadline,
    },
}

/// Requests during which endpoints crashed, by digest.
#[derive(Debug, Default)]
pub struct CrashTracker {
    requests: HashMap<RequestDigest, SuspectRequest>,
    endpoint_crashes: EndpointCrashes,
    changes: u64,
}

#[derive(Debug, Default)]
struct SuspectRequest {
    /// Whether it is a part of a prompt.
    is_prompt_part: bool,
    crashes: Vec<RecordedEvent>,
    begun: Option<RecordedEvent>,
    answered: Option<RecordedEvent>,
}

/// An event with its arrival time, change number and source link.
#[derive(Debug, Clone, Copy)]
struct RecordedEvent {
    event: CrashEvent,
    at: Timestamp,
    change: u64,
    source: Option<LinkId>,
    /// Whether several endpoints crashed at the same time.
    has_common_cause: bool,
}

impl CrashVerdict {
    /// Earliest start of a run at the entry of `rank` among `entries`.
    pub fn not_before(self, rank: usize, entries: usize) -> Deadline {
        match self {
            Self::Clear => Deadline(0),
            // Its request is at this entry alone, unless the caller keeps repeating it, so the
            // start need not be spread over the entries.
            Self::Suspect { is_local: true, settled_at } => settled_at,
            Self::Suspect { is_local: false, settled_at } => {
                let wait_ms = SPREAD_TIME.as_millis() as usize * rank / entries.max(1);
                Deadline(settled_at.0 + wait_ms as u64)
            }
            Self::Barred { until } => until,
        }
    }
}

impl RecordedEvent {
    /// Whether `event` reports a crash of the same endpoint process.
    fn is_same_crash(&self, event: CrashEvent) -> bool {
        self.event.endpoint_hash() == event.endpoint_hash()
    }

    fn weight(&self) -> u32 {
        match self.event {
            CrashEvent::EndedAtStart(_) => START_WEIGHT,
            CrashEvent::EndedInAnswer(_) => ANSWER_WEIGHT,
            CrashEvent::Barred => BARRED_WEIGHT,
            CrashEvent::Begun | CrashEvent::Answered => 0,
        }
    }
}

impl SuspectRequest {
    /// Applies an event; true if it changed anything.
    fn apply(&mut self, record: RecordedEvent) -> bool {
        match record.event {
            CrashEvent::Begun => replace_if_later(&mut self.begun, record),
            CrashEvent::Answered => {
                let clears = self.counted_crashes().any(|crash| crash.at <= record.at);
                let is_news = clears || self.is_prompt_part && self.answered.is_none();
                if is_news {
                    self.answered = Some(record);
                }
                is_news
            }
            CrashEvent::EndedAtStart(_) | CrashEvent::EndedInAnswer(_) | CrashEvent::Barred => {
                self.record_crash(record)
            }
        }
    }

    fn record_crash(&mut self, record: RecordedEvent) -> bool {
        let is_known = self.crashes.iter().any(|crash| crash.is_same_crash(record.event));
        if is_known || self.crashes.len() >= MAX_CRASHES && self.weight() >= BARRED_WEIGHT {
            return false;
        }
        self.crashes.push(record);
        if self.crashes.len() <= MAX_CRASHES {
            return true;
        }
        // What was dropped must not count as new when it arrives again.
        let indices = 0..self.crashes.len();
        let Some(oldest) = indices.min_by_key(|index| self.crashes[*index].at) else {
            return true;
        };
        !self.crashes.remove(oldest).is_same_crash(record.event)
    }

    /// Crashes that no complete answer has cleared.
    fn counted_crashes(&self) -> impl Iterator<Item = &RecordedEvent> {
        let answered_at = self.answered.map_or(Timestamp(0), |answered| answered.at);
        let is_prompt_part = self.is_prompt_part;
        self.crashes
            .iter()
            .filter(move |crash| crash.at > answered_at)
            .filter(move |crash| !(is_prompt_part && crash.has_common_cause))
    }

    fn weight(&self) -> u32 {
        self.counted_crashes().map(RecordedEvent::weight).sum()
    }

    /// Whether the evidence bars the request, beside all crashes of endpoints.
    fn is_barred(&self, all: &EndpointCrashes) -> bool {
        let has_stored_bar = self.counted_crashes().any(|crash| crash.event == CrashEvent::Barred);
        if !self.is_prompt_part || has_stored_bar {
            return self.weight() >= BARRED_WEIGHT;
        }
        let is_known_good = self.answered.is_some();
        let barred_weight = if is_known_good { 2 * BARRED_WEIGHT } else { BARRED_WEIGHT };
        self.weight() >= barred_weight && self.explains(all)
    }

    /// Whether the part was present at enough of the crashes since it was first accused. Crashes
    /// that go on without it have another cause.
    fn explains(&self, all: &EndpointCrashes) -> bool {
        let first = self.counted_crashes().map(|crash| crash.at).min();
        let crashes = first.map_or(0, |first| all.count_single(first, self.last_crash()));
        self.counted_crashes().count() * PRESENCE_DIVISOR >= crashes
    }

    fn last_crash(&self) -> Timestamp {
        self.counted_crashes().map(|crash| crash.at).max().unwrap_or(Timestamp(0))
    }

    /// When the outcome of the last run is known here.
    fn settled_at(&self) -> Deadline {
        let last = self.last_crash();
        let settled_at = last.deadline_after(PROPAGATION_TIME);
        // A run of this entry has ended already, or another one could not start here.
        let remote_run = self.begun.filter(|begun| begun.at > last && begun.source.is_some());
        remote_run.map_or(settled_at, |begun| begun.at.deadline_after(RUN_TIME).max(settled_at))
    }

    fn verdict(&self, all: &EndpointCrashes) -> CrashVerdict {
        let last = self.last_crash();
        match self.weight() {
            0 | ANSWER_WEIGHT => CrashVerdict::Clear,
            _ if self.is_barred(all) => {
                CrashVerdict::Barred { until: last.deadline_after(BAR_DURATION) }
            }
            _ => CrashVerdict::Suspect {
                is_local: self.counted_crashes().count() == 1
                    && self.counted_crashes().all(|crash| crash.source.is_none()),
                settled_at: self.settled_at(),
            },
        }
    }

    fn records(&self) -> impl Iterator<Item = &RecordedEvent> {
        self.crashes.iter().chain(&self.begun).chain(&self.answered)
    }
}

/// Replaces `known` by a record that is later by more than the propagation time.
fn replace_if_later(known: &mut Option<RecordedEvent>, record: RecordedEvent) -> bool {
    let is_later =
        known.is_none_or(|known| known.at.deadline_after(PROPAGATION_TIME).is_past(record.at));
    if is_later {
        *known = Some(record);
    }
    is_later
}

impl CrashTracker {
    /// Records an event seen by this or another entry; true if it was new.
    ///
    /// Starts and complete answers matter only for requests during which endpoints crashed.
    pub fn record(&mut self, row: CrashRecord, source: Option<LinkId>, now: Timestamp) -> bool {
        let at = Timestamp(now.0.saturating_sub(u64::from(row.age_ms)));
        if at.deadline_after(BAR_DURATION).is_past(now) {
            return false;
        }
        let endpoint = row.event.endpoint_hash();
        if let Some(endpoint) = endpoint {
            self.record_endpoint_crash(endpoint, at);
        }
        let has_common_cause = endpoint.is_some() && self.endpoint_crashes.has_common_cause(at);
        let change = self.changes + 1;
        let record = RecordedEvent { event: row.event, at, change, source, has_common_cause };
        let is_prompt_part = row.digest.is_prompt_part();
        let is_new = match self.requests.entry(row.digest) {
            Entry::Occupied(known) => known.into_mut().apply(record),
            Entry::Vacant(_) if matches!(row.event, CrashEvent::Begun | CrashEvent::Answered) => {
                false
            }
            Entry::Vacant(vacant) => {
                let subject = SuspectRequest { is_prompt_part, ..SuspectRequest::default() };
                vacant.insert(subject).apply(record)
            }
        };
        self.changes += u64::from(is_new);
        if self.requests.len() > MAX_REQUESTS {
            self.evict_least(row.digest);
        }
        is_new
    }

    /// Records that an endpoint process has crashed, whatever ran there.
    fn record_endpoint_crash(&mut self, endpoint: u64, at: Timestamp) {
        let all = &mut self.endpoint_crashes;
        if !all.record(endpoint, at) || !all.has_common_cause(at) {
            return;
        }
        let crashes = self.requests.values_mut().flat_map(|request| &mut request.crashes);
        for crash in crashes.filter(|crash| crash.event.endpoint_hash().is_some()) {
            crash.has_common_cause |= all.has_common_cause(crash.at);
        }
    }

    fn evict_least(&mut self, newest: RequestDigest) {
        let others = self.requests.iter().filter(|(digest, _)| **digest != newest);
        let least = others.min_by_key(|(_, request)| (request.weight(), request.last_crash()));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.requests.remove(&digest);
        }
    }

    /// Assessment of one request.
    pub fn verdict(&self, digest: RequestDigest) -> CrashVerdict {
        let request = self.requests.get(&digest);
        request.map_or(CrashVerdict::Clear, |request| request.verdict(&self.endpoint_crashes))
    }

    /// Assessment of every tracked request.
    pub fn verdicts(&self) -> HashMap<RequestDigest, CrashVerdict> {
        let requests = self.requests.iter();
        let all = &self.endpoint_crashes;
        requests.map(|(digest, request)| (*digest, request.verdict(all))).collect()
    }

    /// Returns `stored` with the missing bars added and the expired ones removed; `None` if there
    /// is nothing to add.
    pub fn bars_to_persist(
        &self,
        stored: &[QuarantinedRequest],
        now: Timestamp,
    ) -> Option<Vec<QuarantinedRequest>> {
        let is_old =
            |bar: &QuarantinedRequest| bar.ended_at.deadline_after(BAR_DURATION).is_past(now);
        let is_stored =
            |digest: &RequestDigest| stored.iter().any(|bar| bar.digest == *digest && !is_old(bar));
        let barred = self.requests.iter().filter(|(digest, request)| {
            let verdict = request.verdict(&self.endpoint_crashes);
            matches!(verdict, CrashVerdict::Barred { .. }) && !is_stored(digest)
        });
        let added = barred.map(|(digest, request)| QuarantinedRequest {
            digest: *digest,
            ended_at: request.last_crash(),
        });
        let added: Vec<_> = added.filter(|bar| !is_old(bar)).collect();
        if added.is_empty() {
            return None;
        }
        let mut bars: Vec<_> = stored.iter().copied().filter(|bar| !is_old(bar)).collect();
        bars.extend(added);
        bars.sort_unstable_by_key(|bar| Reverse(bar.ended_at));
        bars.truncate(MAX_BARS);
        // Bars that do not fit are missing from the store for good.
        bars.iter().any(|bar| !is_stored(&bar.digest)).then_some(bars)
    }

    /// Events to send over `link`, and the change number up to which it is current afterwards.
    pub fn rows_since(&self, cursor: u64, link: LinkId, now: Timestamp) -> (Vec<CrashRecord>, u64) {
        if cursor == self.changes {
            return (Vec::new(), cursor);
        }
        let records = self
            .requests
            .iter()
            .flat_map(|(digest, request)| request.records().map(move |record| (*digest, *record)));
        let is_due = |record: &RecordedEvent| record.change > cursor && record.source != Some(link);
        let mut due: Vec<_> = records.filter(|(_, record)| is_due(record)).collect();
        due.sort_unstable_by_key(|(_, record)| record.change);
        let is_truncated = due.len() > MAX_ROWS;
        due.truncate(MAX_ROWS);
        let last = due.last().map_or(cursor, |(_, record)| record.change);
        let rows = due.into_iter().map(|(digest, record)| CrashRecord {
            digest,
            event: record.event,
            age_ms: now.0.saturating_sub(record.at.0) as u32,
        });
        (rows.collect(), if is_truncated { last } else { self.changes })
    }

    /// Removes requests whose last crash is too old to count; true if there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.requests.len();
        let is_old = |record: &RecordedEvent| record.at.deadline_after(BAR_DURATION).is_past(now);
        self.requests.retain(|_, request| !request.crashes.iter().all(is_old));
        before != self.requests.len()
    }
}
