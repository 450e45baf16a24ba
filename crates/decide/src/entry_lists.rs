//! Which agents are sent the list of the entries that they may connect to.
//!
//! A list is sent when it changes, not at an interval, so one that is lost has to be sent again.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use cassiawheel_model::{InstanceId, RegionName};

/// Lists of entries that were sent to the agents of each region.
#[derive(Debug, Clone, Default)]
pub struct SentEntryLists {
    sent: BTreeMap<RegionName, Vec<SocketAddr>>,
    /// Agents whose last list was lost.
    missed: BTreeSet<InstanceId>,
}

impl SentEntryLists {
    /// Whether `agent` has to be sent `list`, that of its region.
    pub fn is_due(&self, agent: &InstanceId, region: &RegionName, list: &[SocketAddr]) -> bool {
        let is_new = self.sent.get(region).is_none_or(|sent| sent != list);
        is_new || self.missed.contains(agent)
    }

    /// Records whether the list for `agent` could be queued.
    pub fn record(&mut self, agent: &InstanceId, is_queued: bool) {
        if is_queued {
            self.missed.remove(agent);
        } else {
            self.missed.insert(agent.clone());
        }
    }

    /// Records that the connected agents were sent `lists`, apart from those that missed theirs.
    pub fn finish(
        &mut self,
        lists: BTreeMap<RegionName, Vec<SocketAddr>>,
        is_connected: impl Fn(&InstanceId) -> bool,
    ) {
        self.sent = lists;
        self.missed.retain(is_connected);
    }
}
