//! Grace periods of endpoints whose rows have vanished although they may be alive.

use std::{collections::HashMap, time::Duration};

use cassiawheel_model::{Deadline, InstanceId, Timestamp};

use super::KnownRow;

/// Time in which an endpoint may register again.
///
/// While the platform's store is down, endpoints cannot renew their rows, which expire
/// although the endpoints are alive. The platform specifies two seconds.
const GRACE_PERIOD: Duration = Duration::from_millis(2_300);

/// Longest time after an unanswered read for which rows are kept.
///
/// A process that runs notices the return of the store within two timeouts. One that stood still may
/// notice it long afterwards, when endpoints that are alive have returned.
const MAX_ABSENCE_AGE: Duration = Duration::from_millis(5_400);

/// Time in which endpoints whose rows were removed may return.
#[derive(Debug, Clone, Copy)]
pub(super) struct GraceOffer {
    pub(super) until: Deadline,
    /// Whether it began with a read of this entry, which then notifies the others of its end.
    pub(super) is_own: bool,
}

/// Grace period of an endpoint.
#[derive(Debug, Clone)]
struct GracePeriod {
    offer: GraceOffer,
    /// Row before the removal.
    kept: KnownRow,
}

/// Grace periods, and the evidence that the store was away.
#[derive(Debug, Clone, Default)]
pub(super) struct GracePeriods {
    periods: HashMap<InstanceId, GracePeriod>,
    /// When the latest read was sent that the store did not answer.
    unanswered_at: Option<Timestamp>,
}

impl GracePeriods {
    /// Records a read that the store did not answer.
    pub(super) fn record_unanswered(&mut self, asked_at: Timestamp) {
        self.unanswered_at = self.unanswered_at.max(Some(asked_at));
    }

    /// Whether a read was not answered that was sent after `last`.
    pub(super) fn was_away_since(&self, last: Timestamp) -> bool {
        self.unanswered_at.is_some_and(|unanswered_at| unanswered_at > last)
    }

    /// End of a period that begins at `now`.
    pub(super) fn end(&self, is_new_era: bool, now: Timestamp) -> Deadline {
        let until = now.deadline_after(GRACE_PERIOD);
        match self.unanswered_at.filter(|_| !is_new_era) {
            Some(unanswered_at) => until.min(unanswered_at.deadline_after(MAX_ABSENCE_AGE)),
            None => until,
        }
    }

    /// Begins the period of an endpoint, unless it has one; `kept` is its row before the removal.
    pub(super) fn begin(&mut self, instance: &InstanceId, offer: GraceOffer, kept: KnownRow) {
        self.periods.entry(instance.clone()).or_insert(GracePeriod { offer, kept });
    }

    /// Lets all periods last until `until` at least.
    pub(super) fn extend(&mut self, until: Deadline) {
        for period in self.periods.values_mut() {
            period.offer.until = period.offer.until.max(until);
        }
    }

    /// Ends the period of an endpoint; returns whether it had one.
    pub(super) fn remove(&mut self, instance: &InstanceId) -> bool {
        self.periods.remove(instance).is_some()
    }

    /// Row before its removal of an endpoint that has a period.
    pub(super) fn kept(&self, instance: &InstanceId) -> Option<&KnownRow> {
        self.periods.get(instance).map(|period| &period.kept)
    }

    /// End of the period of an endpoint, if it has one.
    pub(super) fn until(&self, instance: &InstanceId) -> Option<Deadline> {
        self.periods.get(instance).map(|period| period.offer.until)
    }

    /// Whether an endpoint has a period.
    pub(super) fn contains(&self, instance: &InstanceId) -> bool {
        self.periods.contains_key(instance)
    }

    /// Endpoints with the ends of their periods.
    pub(super) fn deadlines(&self) -> impl Iterator<Item = (&InstanceId, Deadline)> {
        self.periods.iter().map(|(instance, period)| (instance, period.offer.until))
    }

    /// End of the period that ends first.
    pub(super) fn first_end(&self) -> Option<Deadline> {
        self.periods.values().map(|period| period.offer.until).min()
    }

    /// Takes the endpoints whose periods have ended, and whether each began with a read of this entry.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<(InstanceId, bool)> {
        let expired = self.periods.extract_if(|_, period| period.offer.until.is_past(now));
        expired.map(|(instance, period)| (instance, period.offer.is_own)).collect()
    }
}
