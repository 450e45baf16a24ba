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

use cassiawheel_model::{
    CrashEvent, CrashRecord, Deadline, QuarantinedRequest, RequestDigest, Timestamp,
};

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
const SETTLE_TIME: Duration = Duration::from_millis(60);

/// Time over which the beginnings of all entries are spread.
const SPREAD_TIME: Duration = Duration::from_millis(1_000);

/// Time in which a run that has begun ends its endpoint or counts as harmless so far.
const RUN_TIME: Duration = Duration::from_millis(600);

/// Most requests that are kept; those with the least weight are dropped first.
const MAX_KEPT: usize = 4_096;

/// Most ends that are kept of one request.
const MAX_ENDS: usize = 8;

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
    ends: Vec<KnownFact>,
    begun: Option<KnownFact>,
    answered: Option<KnownFact>,
}

/// A fact, and how it became known.
#[derive(Debug, Clone, Copy)]
struct KnownFact {
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

impl KnownFact {
    /// Whether `event` is of the same endpoint's end.
    fn is_same_end(&self, event: CrashEvent) -> bool {
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
    /// Takes in a fact; true if it is new.
    fn note(&mut self, fact: KnownFact) -> bool {
        match fact.event {
            CrashEvent::Begun => take_later(&mut self.begun, fact),
            CrashEvent::Answered => {
                let clears = self.counted().any(|end| end.at <= fact.at);
                if clears {
                    self.answered = Some(fact);
                }
                clears
            }
            CrashEvent::EndedAtStart(_) | CrashEvent::EndedInAnswer(_) | CrashEvent::Barred => {
                self.note_end(fact)
            }
        }
    }

    fn note_end(&mut self, fact: KnownFact) -> bool {
        let is_known = self.ends.iter().any(|end| end.is_same_end(fact.event));
        if is_known || self.ends.len() >= MAX_ENDS && self.weight() >= BARRED_WEIGHT {
            return false;
        }
        if self.ends.len() >= MAX_ENDS {
            self.ends.remove(0);
        }
        self.ends.push(fact);
        true
    }

    /// Ends that no whole answer has cleared.
    fn counted(&self) -> impl Iterator<Item = &KnownFact> {
        let answered_at = self.answered.map_or(Timestamp(0), |answered| answered.at);
        self.ends.iter().filter(move |end| end.at > answered_at)
    }

    fn weight(&self) -> u32 {
        self.counted().map(KnownFact::weight).sum()
    }

    fn last_end(&self) -> Timestamp {
        self.counted().map(|end| end.at).max().unwrap_or(Timestamp(0))
    }

    /// When what the last run does is known here.
    fn settled_at(&self) -> Deadline {
        let last = self.last_end();
        let settled_at = last.deadline_after(SETTLE_TIME);
        // The own run has ended, or another one could not begin here.
        let running = self.begun.filter(|begun| begun.at > last && begun.source.is_some());
        running.map_or(settled_at, |begun| begun.at.deadline_after(RUN_TIME).max(settled_at))
    }

    fn verdict(&self) -> CrashVerdict {
        let last = self.last_end();
        match self.weight() {
            0 | ANSWER_WEIGHT => CrashVerdict::Clear,
            BARRED_WEIGHT.. => CrashVerdict::Barred { until: last.deadline_after(BAR_DURATION) },
            _ => CrashVerdict::Suspect {
                is_local: self.counted().count() == 1
                    && self.counted().all(|end| end.source.is_none()),
                settled_at: self.settled_at(),
            },
        }
    }

    fn facts(&self) -> impl Iterator<Item = &KnownFact> {
        self.ends.iter().chain(&self.begun).chain(&self.answered)
    }
}

/// Replaces `known` by a fact that differs from it by more than the time of a message.
fn take_later(known: &mut Option<KnownFact>, fact: KnownFact) -> bool {
    let is_later = known.is_none_or(|known| known.at.deadline_after(SETTLE_TIME).is_past(fact.at));
    if is_later {
        *known = Some(fact);
    }
    is_later
}

impl CrashTracker {
    /// Takes in what an entry has seen; true if it was not known.
    ///
    /// Beginnings and whole answers are of use only for a request under which endpoints
    /// have ended.
    pub fn record(&mut self, row: CrashRecord, source: Option<LinkId>, now: Timestamp) -> bool {
        let at = Timestamp(now.0.saturating_sub(u64::from(row.age_ms)));
        if at.deadline_after(BAR_DURATION).is_past(now) {
            return false;
        }
        let fact = KnownFact { event: row.event, at, change: self.changes + 1, source };
        let is_news = match self.requests.entry(row.digest) {
            Entry::Occupied(known) => known.into_mut().note(fact),
            Entry::Vacant(_) if matches!(row.event, CrashEvent::Begun | CrashEvent::Answered) => {
                false
            }
            Entry::Vacant(vacant) => vacant.insert(SuspectRequest::default()).note(fact),
        };
        self.changes += u64::from(is_news);
        if self.requests.len() > MAX_KEPT {
            self.drop_least(row.digest);
        }
        is_news
    }

    fn drop_least(&mut self, newest: RequestDigest) {
        let others = self.requests.iter().filter(|(digest, _)| **digest != newest);
        let least = others.min_by_key(|(_, request)| (request.weight(), request.last_end()));
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
        kept: &[QuarantinedRequest],
        now: Timestamp,
    ) -> Option<Vec<QuarantinedRequest>> {
        let is_over =
            |bar: &QuarantinedRequest| bar.ended_at.deadline_after(BAR_DURATION).is_past(now);
        let is_kept =
            |digest: &RequestDigest| kept.iter().any(|bar| bar.digest == *digest && !is_over(bar));
        let barred = self.requests.iter().filter(|(digest, request)| {
            matches!(request.verdict(), CrashVerdict::Barred { .. }) && !is_kept(digest)
        });
        let added = barred.map(|(digest, request)| QuarantinedRequest {
            digest: *digest,
            ended_at: request.last_end(),
        });
        let added: Vec<_> = added.filter(|bar| !is_over(bar)).collect();
        if added.is_empty() {
            return None;
        }
        let mut bars: Vec<_> = kept.iter().copied().filter(|bar| !is_over(bar)).collect();
        bars.extend(added);
        bars.sort_unstable_by_key(|bar| Reverse(bar.ended_at));
        bars.truncate(MAX_BARS);
        Some(bars)
    }

    /// Facts that `link` has to be sent, and up to which change it has all of them then.
    pub fn rows_since(&self, mark: u64, link: LinkId, now: Timestamp) -> (Vec<CrashRecord>, u64) {
        if mark == self.changes {
            return (Vec::new(), mark);
        }
        let facts = self
            .requests
            .iter()
            .flat_map(|(digest, request)| request.facts().map(move |fact| (*digest, *fact)));
        let is_due = |fact: &KnownFact| fact.change > mark && fact.source != Some(link);
        let mut due: Vec<_> = facts.filter(|(_, fact)| is_due(fact)).collect();
        due.sort_unstable_by_key(|(_, fact)| fact.change);
        let is_cut = due.len() > MAX_ROWS;
        due.truncate(MAX_ROWS);
        let last = due.last().map_or(mark, |(_, fact)| fact.change);
        let rows = due.into_iter().map(|(digest, fact)| CrashRecord {
            digest,
            event: fact.event,
            age_ms: now.0.saturating_sub(fact.at.0) as u32,
        });
        (rows.collect(), if is_cut { last } else { self.changes })
    }

    /// Forgets requests under which no endpoint has ended for long; true if there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.requests.len();
        let is_old = |fact: &KnownFact| fact.at.deadline_after(BAR_DURATION).is_past(now);
        self.requests.retain(|_, request| !request.ends.iter().all(is_old));
        before != self.requests.len()
    }
}
