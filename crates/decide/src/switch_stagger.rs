//! Staggers orders to switch by the rank of the entry that sends them.
//!
//! Every entry derives the same plan, but from reports that arrive at different times.
//! While engines finish staging one after another, each entry considers different ones
//! the first that are ready. If all entries released their own choice at once, two or
//! three times as many engines as planned would be out of service. The entry with the
//! first rank therefore releases switches at once, and every other one only those that
//! have been due for a while, which makes it take over if the entries before it fail.

use std::{collections::BTreeMap, time::Duration};

use cassiawheel_model::{InstanceId, Timestamp};

use crate::plan::{PlanReason, PlannedOrder};

/// Additional delay of each rank.
///
/// An order is sent within 50 ms and shows in a report a few milliseconds later; a
/// switch takes one to two seconds.
const RANK_DELAY: Duration = Duration::from_millis(250);

/// Rank from which on the delay stays the same.
const MAX_RANK: u32 = 5;

/// The engines whose switch is due according to this entry, and since when.
#[derive(Debug, Clone, Default)]
pub struct SwitchStagger {
    due_since: BTreeMap<InstanceId, Timestamp>,
}

impl SwitchStagger {
    /// Returns those of the planned `orders` that the entry of `rank` sends now.
    pub fn release(
        &mut self,
        orders: Vec<PlannedOrder>,
        rank: u32,
        now: Timestamp,
    ) -> Vec<PlannedOrder> {
        let is_switch = |order: &PlannedOrder| order.reason == PlanReason::TurnToSwitch;
        let switches = orders.iter().filter(|order| is_switch(order));
        let since = |instance: &InstanceId| self.due_since.get(instance).copied().unwrap_or(now);
        let due_since =
            switches.map(|order| (order.instance.clone(), since(&order.instance))).collect();
        self.due_since = due_since;
        let delay = RANK_DELAY * rank.min(MAX_RANK);
        let is_due = |order: &PlannedOrder| {
            let since = self.due_since.get(&order.instance);
            since.is_none_or(|since| now.since(*since) >= delay)
        };
        orders.into_iter().filter(is_due).collect()
    }
}
