//! Regions in which requests may be served.

use std::collections::BTreeSet;

use macro_rules_attribute::apply;

use crate::RegionName;

/// Home regions of a route or workspace; without any, requests may be served everywhere.
#[apply(record!)]
#[derive(Default, Eq)]
#[serde(transparent)]
pub struct HomeRegions {
    regions: BTreeSet<RegionName>,
}

/// No restriction.
pub static EVERYWHERE: HomeRegions = HomeRegions { regions: BTreeSet::new() };

impl HomeRegions {
    /// Creates a restriction to `regions`; none if there are no regions.
    pub fn new(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self { regions: regions.into_iter().collect() }
    }

    /// Whether requests may be served in every region.
    pub fn is_unrestricted(&self) -> bool {
        self.regions.is_empty()
    }

    /// Whether requests may be served in `region`. An unknown region is a home only if all are.
    pub fn contains(&self, region: Option<&RegionName>) -> bool {
        self.is_unrestricted() || region.is_some_and(|region| self.regions.contains(region))
    }

    /// Returns the homes that satisfy both restrictions; `None` if no region does.
    pub fn intersection(&self, other: &Self) -> Option<Self> {
        if self.is_unrestricted() {
            return Some(other.clone());
        }
        if other.is_unrestricted() {
            return Some(self.clone());
        }
        let regions: BTreeSet<_> = self.regions.intersection(&other.regions).cloned().collect();
        (!regions.is_empty()).then_some(Self { regions })
    }
}
