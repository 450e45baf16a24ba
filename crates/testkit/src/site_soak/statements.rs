//! Verdicts on what endpoints state about themselves: that they leave, or that they request backoff.

use std::{collections::BTreeMap, time::Duration};

use cassiawheel_model::{Deadline, Timestamp};

use super::{AttemptRecord, EndpointRecord};
use crate::stand_in::replica::BackoffRecord;

/// Time after a refusal from which the entry has to keep the backoff.
const LEARN_TIME: Duration = Duration::from_millis(500);

/// Most requests of one entry that an endpoint may get during a backoff.
const MOST_IN_BACKOFF: usize = 2;

/// A backoff that an endpoint requested from the sender of one attempt.
#[derive(Debug, Clone)]
pub struct BackoffSpan {
    /// Id of the refused attempt.
    pub id: String,
    /// Time from which the backoff has to be kept.
    pub from: Timestamp,
    /// End of the backoff.
    pub until: Deadline,
}

impl BackoffSpan {
    /// The backoff that a refusal requested; none if its value is no number of seconds.
    pub fn new(refusal: &BackoffRecord) -> Option<Self> {
        let span = Duration::try_from_secs_f64(refusal.value.parse().ok()?).ok()?;
        Some(Self {
            id: refusal.id.clone(),
            from: Timestamp(refusal.at.deadline_after(LEARN_TIME).0),
            until: refusal.at.deadline_after(span),
        })
    }
}

impl EndpointRecord {
    /// Counts the requests that arrived after the endpoint was closed to new ones.
    pub(super) fn after_departure(
        &self,
        undisturbed: &impl Fn(&str) -> bool,
        in_service: &impl Fn(&str) -> bool,
    ) -> usize {
        let is_after = |from: Option<Timestamp>, at: Timestamp| from.is_some_and(|from| at > from);
        let late = self.arrivals.iter().filter(|(at, id)| {
            (is_after(self.closed_from, *at) && undisturbed(id))
                || (is_after(self.unlisted_from, *at) && in_service(id))
        });
        late.count()
    }

    /// Counts the backoffs during which the refused entry sent too many requests.
    pub(super) fn broken_backoffs<'a>(
        &self,
        attempt: &impl Fn(&str) -> Option<&'a AttemptRecord>,
    ) -> usize {
        let mut arrivals: BTreeMap<usize, Vec<Timestamp>> = BTreeMap::new();
        for (at, id) in &self.arrivals {
            if let Some(attempt) = attempt(id).filter(|attempt| attempt.undisturbed) {
                arrivals.entry(attempt.entry).or_default().push(*at);
            }
        }
        let is_broken = |backoff: &&BackoffSpan| {
            let own = attempt(&backoff.id).and_then(|attempt| arrivals.get(&attempt.entry));
            let within = own.into_iter().flatten();
            let within = within.filter(|at| **at >= backoff.from && !backoff.until.is_past(**at));
            within.count() > MOST_IN_BACKOFF
        };
        self.backoffs.iter().filter(is_broken).count()
    }
}
