//! Requests under which endpoints have ended, and which of them no endpoint gets any more.
//!
//! An endpoint that ends takes every request with it that it works on, so that one end
//! proves nothing against any of them. The cause is there again when the next endpoint
//! ends. Ends are counted by request digest, each endpoint's process once: in full if it ended before a part of the answer
//! had come, half if it was answering. A whole answer clears all ends before it.
//!
//! A suspect is tried further by one run at a time: entries begin in the order of their
//! ranks and announce it to the others.
//!
//! Bars are kept in the table service as well, for entries that have all lost power.
//!
//! Answers load: a caller that repeats a request which ends each endpoint that begins
//! to run it, at any entry and at several at a time.

use std::{
    cmp::Reverse,
    collections::{HashMap, hash_map::Entry},
    time::Duration,
};

use cassiawheel_model::{BarredRequest, CrashEvent, CrashRow, Deadline, RequestDigest, Timestamp};

use crate::gossip::LinkId;

/// Weight of an end before a part of the answer had come.
const START_WEIGHT: u32 = 2;

/// Weight of an end while the endpoint was answering.
const ANSWER_WEIGHT: u32 = 1;

/// Weight from which on a request is barred: three ends before an answer, or six in all.
const BARRED_WEIGHT: u32 = 3 * START_WEIGHT;

/// Time since the last end for which a request is barred, and for which ends count.
pub const BAR_DURATION: Duration = Duration::from_secs(600);

/// Wait after an end, in which ends at other entries become known here.
const PROPAGATION_TIME: Duration = Duration::from_millis(60);

/// Time over which the beginnings of all entries are spread.
const SPREAD_TIME: Duration = Duration::from_millis(1_000);

/// Time in which a run that has begun ends its endpoint or counts as harmless so far.
const RUN_TIME: Duration = Duration::from_millis(600);

/// Most requests that are kept; those with the least weight are dropped first.
const MAX_REQUESTS: usize = 4_096;

/// Most ends that are kept of one request.
const MAX_CRASHES: usize = 8;

/// Most bars in the table service.
const MAX_BARS: usize = 256;

/// Most rows in one message.
const MAX_ROWS: usize = 256;

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Nothing speaks against it.
    Clear,
    /// Endpoints have ended under it; at most one run at a time should try it further.
    Suspect {
        /// Whether the only end was seen by this entry.
        is_local: bool,
        /// When what other entries have seen until now is known here, and the last run
        /// that has begun has shown what it does.
        settled_at: Deadline,
    },
    /// It reaches no endpoint.
    Barred {
        /// When it may be tried again.
        until: Deadline,
    },
}

/// Requests under which endpoints have ended.
#[derive(Debug, Default)]
pub struct CrashTracker {
    requests: HashMap<RequestDigest, SuspectRequest>,
    changes: u64,
}

#[derive(Debug, Default)]
struct SuspectRequest {
    crashes: Vec<RecordedEvent>,
    begun: Option<RecordedEvent>,
    answered: Option<RecordedEvent>,
}

/// A fact, and how it became known.
#[derive(Debug, Clone, Copy)]
struct RecordedEvent {
    event: CrashEvent,
    at: Timestamp,
    change: u64,
    source: Option<LinkId>,
}

impl CrashVerdict {
    /// When a run of a suspect may begin at the entry of `rank` among `entries`.
    pub fn not_before(self, rank: usize, entries: usize) -> Deadline {
        match self {
            Self::Clear => Deadline(0),
            // The request of a caller whose endpoint has ended is at this entry alone,
            // unless it is one that comes again and again.
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
    /// Whether `event` is of the same endpoint's end.
    fn is_same_crash(&self, event: CrashEvent) -> bool {
        self.event.endpoint() == event.endpoint()
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
    /// Takes in a fact; true if it is new.
    fn apply(&mut self, record: RecordedEvent) -> bool {
        match record.event {
            CrashEvent::Begun => replace_if_later(&mut self.begun, record),
            CrashEvent::Answered => {
                let clears = self.counted_crashes().any(|crash| crash.at <= record.at);
                if clears {
                    self.answered = Some(record);
                }
                clears
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
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(record);
        true
    }

    /// Ends that no whole answer has cleared.
    fn counted_crashes(&self) -> impl Iterator<Item = &RecordedEvent> {
        let answered_at = self.answered.map_or(Timestamp(0), |answered| answered.at);
        self.crashes.iter().filter(move |crash| crash.at > answered_at)
    }

    fn weight(&self) -> u32 {
        self.counted_crashes().map(RecordedEvent::weight).sum()
    }

    fn last_crash(&self) -> Timestamp {
        self.counted_crashes().map(|crash| crash.at).max().unwrap_or(Timestamp(0))
    }

    /// When what the last run does is known here.
    fn settled_at(&self) -> Deadline {
        let last = self.last_crash();
        let settled_at = last.deadline_after(PROPAGATION_TIME);
        // The own run has ended, or another one could not begin here.
        let remote_run = self.begun.filter(|begun| begun.at > last && begun.source.is_some());
        remote_run.map_or(settled_at, |begun| begun.at.deadline_after(RUN_TIME).max(settled_at))
    }

    fn verdict(&self) -> CrashVerdict {
        let last = self.last_crash();
        match self.weight() {
            0 | ANSWER_WEIGHT => CrashVerdict::Clear,
            BARRED_WEIGHT.. => CrashVerdict::Barred { until: last.deadline_after(BAR_DURATION) },
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

/// Replaces `known` by a fact that differs from it by more than the time of a message.
fn replace_if_later(known: &mut Option<RecordedEvent>, record: RecordedEvent) -> bool {
    let is_later =
        known.is_none_or(|known| known.at.deadline_after(PROPAGATION_TIME).is_past(record.at));
    if is_later {
        *known = Some(record);
    }
    is_later
}

impl CrashTracker {
    /// Takes in what an entry has seen; true if it was not known.
    ///
    /// Beginnings and whole answers are of use only for a request under which endpoints
    /// have ended.
    pub fn record(&mut self, row: CrashRow, source: Option<LinkId>, now: Timestamp) -> bool {
        let at = Timestamp(now.0.saturating_sub(u64::from(row.age_ms)));
        if at.deadline_after(BAR_DURATION).is_past(now) {
            return false;
        }
        let record = RecordedEvent { event: row.event, at, change: self.changes + 1, source };
        let is_new = match self.requests.entry(row.digest) {
            Entry::Occupied(known) => known.into_mut().apply(record),
            Entry::Vacant(_) if matches!(row.event, CrashEvent::Begun | CrashEvent::Answered) => {
                false
            }
            Entry::Vacant(vacant) => vacant.insert(SuspectRequest::default()).apply(record),
        };
        self.changes += u64::from(is_new);
        if self.requests.len() > MAX_REQUESTS {
            self.evict_least(row.digest);
        }
        is_new
    }

    fn evict_least(&mut self, newest: RequestDigest) {
        let others = self.requests.iter().filter(|(digest, _)| **digest != newest);
        let least = others.min_by_key(|(_, request)| (request.weight(), request.last_crash()));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.requests.remove(&digest);
        }
    }

    /// What is known of a request.
    pub fn verdict(&self, digest: RequestDigest) -> CrashVerdict {
        self.requests.get(&digest).map_or(CrashVerdict::Clear, SuspectRequest::verdict)
    }

    /// What is known of each request under which an endpoint has ended.
    pub fn verdicts(&self) -> HashMap<RequestDigest, CrashVerdict> {
        let requests = self.requests.iter();
        requests.map(|(digest, request)| (*digest, request.verdict())).collect()
    }

    /// Adds the bars that are not in `kept` to it and drops those that are over; none if
    /// there is nothing to add.
    pub fn bars_to_persist(
        &self,
        stored: &[BarredRequest],
        now: Timestamp,
    ) -> Option<Vec<BarredRequest>> {
        let is_old = |bar: &BarredRequest| bar.ended_at.deadline_after(BAR_DURATION).is_past(now);
        let is_stored =
            |digest: &RequestDigest| stored.iter().any(|bar| bar.digest == *digest && !is_old(bar));
        let barred = self.requests.iter().filter(|(digest, request)| {
            matches!(request.verdict(), CrashVerdict::Barred { .. }) && !is_stored(digest)
        });
        let added = barred.map(|(digest, request)| BarredRequest {
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
        Some(bars)
    }

    /// Facts that `link` has to be sent, and up to which change it has all of them then.
    pub fn rows_since(&self, cursor: u64, link: LinkId, now: Timestamp) -> (Vec<CrashRow>, u64) {
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
        let rows = due.into_iter().map(|(digest, record)| CrashRow {
            digest,
            event: record.event,
            age_ms: now.0.saturating_sub(record.at.0) as u32,
        });
        (rows.collect(), if is_truncated { last } else { self.changes })
    }

    /// Forgets requests under which no endpoint has ended for long; true if there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.requests.len();
        let is_old = |record: &RecordedEvent| record.at.deadline_after(BAR_DURATION).is_past(now);
        self.requests.retain(|_, request| !request.crashes.iter().all(is_old));
        before != self.requests.len()
    }
}
