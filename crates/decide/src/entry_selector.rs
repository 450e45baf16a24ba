//! Selection of the entries that an agent connects to.
//!
//! An agent connects to a few of the candidates received from entries, by rendezvous rank. Agents
//! thus spread evenly over the entries and repeat the same selection after a restart. Entries that
//! cannot be reached are skipped for a while, and the next in rank replace them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use cassiawheel_model::{Deadline, Timestamp};

use crate::rank::first_ranked;

/// Time for which an unreachable entry is skipped.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Candidate entries for an agent's connections.
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

    /// Removes all candidates, for use when none of them can be reached.
    pub fn clear(&mut self) {
        self.candidates.clear();
    }

    /// Skips the entry at `addr` for a while.
    pub fn avoid(&mut self, addr: SocketAddr, now: Timestamp) {
        self.avoided.insert(addr, now.deadline_after(AVOID_TIME));
    }

    /// Selects the `count` entries to connect to.
    pub fn select(&mut self, subject: u64, count: usize, now: Timestamp) -> Vec<SocketAddr> {
        self.avoided.retain(|_, until| !until.is_past(now));
        let available = self.candidates.iter().filter(|addr| !self.avoided.contains_key(addr));
        let names: Vec<_> = available.map(ToString::to_string).collect();
        let ranked = first_ranked(subject, names.iter().map(String::as_str), count);
        ranked.into_iter().filter_map(|name| name.parse().ok()).collect()
    }
}
