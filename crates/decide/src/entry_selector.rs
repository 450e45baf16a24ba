//! Which entries an agent is connected to.
//!
//! An agent keeps connections to a few of the candidates that entries send it, by
//! rendezvous rank, so that the agents spread evenly over the entries and make
//! the same choice after a restart. Entries that cannot be reached are left
//! out for a while; the next in rank take their places.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use cassiawheel_model::{Deadline, Timestamp};

use crate::rank::first_ranked;

/// Time for which an entry that could not be reached is left out of the choice.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// The entries that an agent may connect to.
#[derive(Debug, Clone, Default)]
pub struct EntrySelector {
    candidates: Vec<SocketAddr>,
    avoided: BTreeMap<SocketAddr, Deadline>,
}

impl EntrySelector {
    /// Replaces the candidates; an empty list changes nothing.
    pub fn set_candidates(&mut self, addrs: Vec<SocketAddr>) {
        if !addrs.is_empty() {
            self.candidates = addrs;
        }
    }

    /// Whether there are no candidates.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Drops all candidates, as when none of them can be reached.
    pub fn clear(&mut self) {
        self.candidates.clear();
    }

    /// Leaves the entry at `addr` out of the choice for a while.
    pub fn avoid(&mut self, addr: SocketAddr, now: Timestamp) {
        self.avoided.insert(addr, now.deadline_after(AVOID_TIME));
    }

    /// The `count` entries to be connected to.
    pub fn select(&mut self, subject: u64, count: usize, now: Timestamp) -> Vec<SocketAddr> {
        self.avoided.retain(|_, until| !until.is_past(now));
        let available = self.candidates.iter().filter(|addr| !self.avoided.contains_key(addr));
        let names: Vec<_> = available.map(ToString::to_string).collect();
        let ranked = first_ranked(subject, names.iter().map(String::as_str), count);
        ranked.into_iter().filter_map(|name| name.parse().ok()).collect()
    }
}
