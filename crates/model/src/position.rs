//! Positions in the history of a store.

use macro_rules_attribute::apply;

/// Position in the change history of a store.
///
/// A store that returns from an older copy begins a new era and gives versions out again. A version
/// has a meaning only together with its era; any position of a later era is newer.
#[apply(label!)]
#[derive(Default)]
pub struct StorePosition {
    /// Number of the era; zero where the store has none.
    pub era: u64,
    /// Version within the era; zero while nothing has been read.
    pub version: u64,
}
