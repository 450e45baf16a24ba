//! Endpoint processes that have announced that they leave.
//!
//! An endpoint announces it in its row of the list, in its answers, or in both, and each entry may
//! see another of these first. Once announced it holds for the rest of the process: neither an
//! older row nor a row that repeats an earlier state takes it back. A later process under the same
//! name is not affected. Like other state that entries gossip, each departure gets a change number,
//! and a link keeps the number up to which its peer is current.

use std::{collections::HashMap, time::Duration};

use cassiawheel_model::{Deadline, DepartureRecord, InstanceId, Timestamp};

use crate::{gossip::LinkId, rank::subject_of};

/// Maximum number of endpoints with a departure.
const MAX_DEPARTURES: usize = 16_384;

/// Time for which the departure of an endpoint that is no longer listed is kept.
///
/// Longer than any row or message can be delayed, also one from an older copy of the table service.
const RETENTION_TIME: Duration = Duration::from_secs(600);

/// Endpoint processes that leave or have left.
#[derive(Debug, Default)]
pub struct DepartureTable {
    departures: HashMap<u64, KnownDeparture>,
    changes: u64,
}

#[derive(Debug)]
struct KnownDeparture {
    /// Start time of the process that leaves.
    born_at: Option<Timestamp>,
    change: u64,
    source: Option<LinkId>,
    keep_until: Deadline,
}

impl DepartureTable {
    /// Whether the process of an endpoint that started at `born_at` leaves.
    pub fn is_leaving(&self, instance: &InstanceId, born_at: Option<Timestamp>) -> bool {
        let known = self.departures.get(&subject_of(instance.as_str()));
        // An unknown start time sorts before every known one.
        known.is_some_and(|known| born_at <= known.born_at)
    }

    /// Records a departure; true if it was not known.
    pub fn record(
        &mut self,
        departure: DepartureRecord,
        source: Option<LinkId>,
        now: Timestamp,
    ) -> bool {
        let is_new = match self.departures.get(&departure.endpoint) {
            Some(known) => departure.born_at > known.born_at,
            None => self.departures.len() < MAX_DEPARTURES,
        };
        // The time counts on across entries: one that has dropped a departure would otherwise take
        // it for new, and keep it as long again.
        let unlisted_time = Duration::from_secs(u64::from(departure.unlisted_s));
        let Some(time_left) = RETENTION_TIME.checked_sub(unlisted_time) else {
            return false;
        };
        if is_new {
            self.changes += 1;
            let known = KnownDeparture {
                born_at: departure.born_at,
                change: self.changes,
                source,
                keep_until: now.deadline_after(time_left),
            };
            self.departures.insert(departure.endpoint, known);
        }
        is_new
    }

    /// Departures to send over `link`, and the change number up to which it is current afterwards.
    pub fn departures_since(
        &self,
        cursor: u64,
        link: LinkId,
        now: Timestamp,
    ) -> (Vec<DepartureRecord>, u64) {
        if cursor == self.changes {
            return (Vec::new(), cursor);
        }
        let due = self.departures.iter();
        let due = due.filter(|(_, known)| known.change > cursor && known.source != Some(link));
        let due = due.map(|(endpoint, known)| DepartureRecord {
            endpoint: *endpoint,
            born_at: known.born_at,
            unlisted_s: RETENTION_TIME.saturating_sub(known.keep_until.remaining(now)).as_secs()
                as u32,
        });
        (due.collect(), self.changes)
    }

    /// Drops the departures of endpoints that have not been listed for long.
    pub fn expire(&mut self, is_listed: impl Fn(u64) -> bool, now: Timestamp) {
        self.departures.retain(|endpoint, known| {
            if is_listed(*endpoint) {
                known.keep_until = now.deadline_after(RETENTION_TIME);
            }
            !known.keep_until.is_past(now)
        });
    }

    /// Number of known departures.
    pub fn len(&self) -> usize {
        self.departures.len()
    }

    /// Whether no departure is known.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }
}
