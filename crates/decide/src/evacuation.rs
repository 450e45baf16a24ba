//! Failure domains that operators have evacuated.
//!
//! Orders arrive from the operators' rows and from neighbours, in any order. The one with the
//! highest position in the store applies, so a late copy never reverts a newer order. Like other
//! state that entries gossip, each order gets a change number, and a link keeps the number up to
//! which its peer is current.

use std::collections::BTreeMap;

use cassiawheel_model::{EvacuationOrder, FailureDomain, Timestamp};

use crate::gossip::LinkId;

/// Maximum number of failure domains with an order.
const MAX_DOMAINS: usize = 1_024;

/// Newest order of each failure domain.
#[derive(Debug, Default)]
pub struct EvacuationTable {
    orders: BTreeMap<FailureDomain, KnownOrder>,
    changes: u64,
}

#[derive(Debug)]
struct KnownOrder {
    order: EvacuationOrder,
    change: u64,
    source: Option<LinkId>,
    received_at: Timestamp,
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
            Some(known) => order.is_newer_than(&known.order),
            None => self.orders.len() < MAX_DOMAINS,
        };
        if is_new {
            self.changes += 1;
            let domain = order.failure_domain.clone();
            let known = KnownOrder { order, change: self.changes, source, received_at: now };
            self.orders.insert(domain, known);
        }
        is_new
    }

    /// Returns the ends of evacuations that a read of all rows up to `position` no longer contains.
    pub fn ended_by(&self, listed: &[FailureDomain], position: u64) -> Vec<EvacuationOrder> {
        let active = self.orders.values().map(|known| &known.order).filter(|o| o.is_active);
        let missing = active.filter(|o| o.position <= position);
        let missing = missing.filter(|order| !listed.contains(&order.failure_domain));
        missing
            .map(|order| EvacuationOrder { position, is_active: false, ..order.clone() })
            .collect()
    }

    /// Orders to send over `link`, and the change number up to which it is current afterwards.
    pub fn orders_since(&self, cursor: u64, link: LinkId) -> (Vec<EvacuationOrder>, u64) {
        let is_due = |known: &&KnownOrder| known.change > cursor && known.source != Some(link);
        let due = self.orders.values().filter(is_due).map(|known| known.order.clone());
        (due.collect(), self.changes)
    }
}
