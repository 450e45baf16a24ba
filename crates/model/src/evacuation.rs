//! Evacuation of failure domains.

use macro_rules_attribute::apply;

use crate::FailureDomain;

/// Whether operators have ordered that a failure domain receive no requests.
#[apply(record!)]
#[derive(Eq)]
pub struct EvacuationOrder {
    /// Failure domain that the order is for.
    pub failure_domain: FailureDomain,
    /// Era of the store in which the order was written.
    #[serde(default)]
    pub era: u64,
    /// Position of the operators' write in the store; within an era a newer order has a higher one.
    pub position: u64,
    /// Whether the endpoints of the domain must receive no requests.
    pub is_active: bool,
}

impl EvacuationOrder {
    /// Whether this order supersedes `known`.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        let order = |order: &Self| (order.era, order.position, !order.is_active);
        order(self) > order(known)
    }
}
