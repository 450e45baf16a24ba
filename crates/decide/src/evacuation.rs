//! Failure domains that operators have evacuated.
//!
//! Orders arrive from the operators' rows and from neighbours, in any order. The one with the
//! highest position in the store applies, so a late copy never reverts a newer order. If the store
//! returns from a copy that is older than an order, the order still holds until the operators have
//! had time to write it again. Like other
//! state that entries gossip, each order gets a change number, and a link keeps the number up to
//! which its peer is current.

use std::{collections::BTreeMap, time::Duration};

use cassiawheel_model::{Deadline, EvacuationOrder, FailureDomain, StorePosition, Timestamp};

use crate::gossip::LinkId;

/// Maximum number of failure domains with an order.
const MAX_DOMAINS: usize = 1_024;

/// Time for which an evacuation holds that the store has lost.
const HOLD_TIME: Duration = Duration::from_secs(30);

/// Newest order of each failure domain.
#[derive(Debug, Default)]
pub struct EvacuationTable {
    orders: BTreeMap<FailureDomain, KnownOrder>,
    changes: u64,
}

#[derive(Debug)]
struct KnownOrder {
    order: EvacuationOrder,
    /// Position of the last order that was active, within its era.
    active_at: Option<u64>,
    /// Until when an order that the store's copy lacks still holds.
    held_until: Option<Deadline>,
    change: u64,
    source: Option<LinkId>,
    received_at: Timestamp,
}

impl KnownOrder {
    /// Whether `order` is the one that this end followed, as a copy of the store repeats it.
    fn was_ended_before(&self, order: &EvacuationOrder) -> bool {
        let is_repeated = order.is_active && self.active_at == Some(order.position);
        is_repeated && !self.order.is_active && order.era > self.order.era
    }
}

impl EvacuationTable {
    /// Whether the endpoints of `domain` must receive no requests.
    pub fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.orders.get(domain).is_some_and(|known| known.order.is_active)
    }

    /// When the end of the domain's last evacuation was received; `None` while it is evacuated.
    pub fn ended_at(&self, domain: &FailureDomain) -> Option<Timestamp> {
        let known = self.orders.get(domain)?;
        (!known.order.is_active).then_some(known.received_at)
    }

    /// Merges an order; true if it is newer than the known one.
    pub fn merge(
        &mut self,
        order: EvacuationOrder,
        source: Option<LinkId>,
        now: Timestamp,
    ) -> bool {
        let is_new = match self.orders.get(&order.failure_domain) {
            Some(known) => order.is_newer_than(&known.order) && !known.was_ended_before(&order),
            None => self.orders.len() < MAX_DOMAINS,
        };
        if is_new {
            self.changes += 1;
            let domain = order.failure_domain.clone();
            let before = self.orders.get(&domain).and_then(|known| known.active_at);
            let active_at = if order.is_active { Some(order.position) } else { before };
            let known = KnownOrder {
                order,
                active_at,
                held_until: None,
                change: self.changes,
                source,
                received_at: now,
            };
            self.orders.insert(domain, known);
        }
        is_new
    }

    /// Returns the ends of evacuations that a read of all rows up to `position` no longer contains.
    ///
    /// An evacuation of an earlier era is held first: the store's copy may be older than it, and
    /// operators write again what was lost.
    pub fn ended_by(
        &mut self,
        listed: &[FailureDomain],
        position: StorePosition,
        now: Timestamp,
    ) -> Vec<EvacuationOrder> {
        let mut ended = Vec::new();
        for known in self.orders.values_mut().filter(|known| known.order.is_active) {
            let order = &known.order;
            let ordered_at = StorePosition { era: order.era, version: order.position };
            if ordered_at > position || listed.contains(&order.failure_domain) {
                continue;
            }
            if order.era < position.era {
                known.held_until.get_or_insert(now.deadline_after(HOLD_TIME));
                continue;
            }
            ended.push(EvacuationOrder {
                position: position.version,
                is_active: false,
                ..order.clone()
            });
        }
        ended
    }

    /// Returns the ends of evacuations that have not been ordered again in the era of `position`.
    pub fn ended_holds(&self, position: StorePosition, now: Timestamp) -> Vec<EvacuationOrder> {
        let held = self.orders.values();
        let over = held.filter(|known| known.held_until.is_some_and(|until| until.is_past(now)));
        over.map(|known| EvacuationOrder {
            era: position.era,
            position: position.version,
            is_active: false,
            ..known.order.clone()
        })
        .collect()
    }

    /// Orders to send over `link`, and the change number up to which it is current afterwards.
    pub fn orders_since(&self, cursor: u64, link: LinkId) -> (Vec<EvacuationOrder>, u64) {
        let is_due = |known: &&KnownOrder| known.change > cursor && known.source != Some(link);
        let due = self.orders.values().filter(is_due).map(|known| known.order.clone());
        (due.collect(), self.changes)
    }
}
