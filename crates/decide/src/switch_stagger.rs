//! Which entry lets an engine switch.
//!
//! Every entry derives the same plan, but from reports that reach each of them
//! at another moment. While engines finish staging one after another, each entry
//! sees others as the first that are ready, and if each let its own choice
//! switch, two or three times as many as planned would be out of service. So the
//! entry that ranks first lets engines switch at once, and each further one only
//! those that it has wanted to switch for a while: if the first one is gone, the
//! next does its work.

use std::{collections::BTreeMap, time::Duration};

use cassiawheel_model::{InstanceId, Timestamp};

use crate::plan::{PlanReason, PlannedOrder};

/// Time that an entry leaves to the one before it.
///
/// An order is sent within 50 ms and shows in a report some milliseconds later;
/// a switch takes one to two seconds.
const TURN_STEP: Duration = Duration::from_millis(250);

/// Ranks beyond this one wait no longer.
const LAST_RANK: u32 = 5;

/// The engines that this entry wants to switch, and since when.
#[derive(Debug, Clone, Default)]
pub struct SwitchStagger {
    wanted: BTreeMap<InstanceId, Timestamp>,
}

impl SwitchStagger {
    /// Of the planned `orders` those that the entry of `rank` gives now.
    pub fn release(
        &mut self,
        orders: Vec<PlannedOrder>,
        rank: u32,
        now: Timestamp,
    ) -> Vec<PlannedOrder> {
        let is_switch = |order: &PlannedOrder| order.reason == PlanReason::TurnToSwitch;
        let turns = orders.iter().filter(|order| is_switch(order));
        let since = |instance: &InstanceId| self.wanted.get(instance).copied().unwrap_or(now);
        let wanted = turns.map(|order| (order.instance.clone(), since(&order.instance))).collect();
        self.wanted = wanted;
        let wait = TURN_STEP * rank.min(LAST_RANK);
        let is_due = |order: &PlannedOrder| {
            let since = self.wanted.get(&order.instance);
            since.is_none_or(|since| now.since(*since) >= wait)
        };
        orders.into_iter().filter(is_due).collect()
    }
}
