//! Evacuation of failure domains.

use macro_rules_attribute::apply;

use crate::FailureDomain;

/// Whether operators have ordered that a failure domain receive no requests.
#[apply(record!)]
#[derive(Eq)]
pub struct EvacuationOrder {
    /// Failure domain that the order is for.
    pub failure_domain: FailureDomain,
    /// Position of the operators' write in the store; a newer order has a higher one.
    pub position: u64,
    /// Whether the endpoints of the domain must receive no requests.
    pub is_active: bool,
}

impl EvacuationOrder {
    /// Whether this order supersedes `known`.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        (self.position, !self.is_active) > (known.position, !known.is_active)
    }
}
