//! Selection of the entries that a caller should use.
//!
//! Callers cache the answer, so it holds several addresses and an expiry. A leaving entry is
//! omitted at once and keeps serving until the answers that contain it have expired.

use std::net::SocketAddr;

use cassiawheel_model::{Deadline, FailureDomain, HomeRegions, RegionName, record};
use macro_rules_attribute::apply;
use rand::Rng;

/// An entry that callers can be advised to use.
#[derive(Debug, Clone)]
pub struct EntryCandidate {
    /// Address for connections from callers.
    pub caller_addr: SocketAddr,
    /// Failure domain of the entry.
    pub failure_domain: FailureDomain,
    /// Region of the entry, if it is known.
    pub region: Option<RegionName>,
    /// Requests in flight at the entry.
    pub in_flight: u32,
    /// Whether the entry is leaving and must not be advised.
    pub leaving: bool,
}

/// Answer to a caller that requests entry addresses.
#[apply(record!)]
pub struct EntryAdvice {
    /// Entry addresses, best first.
    pub addresses: Vec<SocketAddr>,
    /// When the answer expires.
    pub valid_until: Deadline,
}

/// Where a caller is, and where its requests may be served.
#[derive(Debug, Clone, Copy)]
pub struct CallerLocation<'a> {
    /// Failure domain of the caller.
    pub failure_domain: &'a FailureDomain,
    /// Region of the caller, if it is known.
    pub region: Option<&'a RegionName>,
    /// Home regions that all apply to the caller's requests.
    pub homes: &'a [&'a HomeRegions],
}

impl CallerLocation<'_> {
    /// Rank of an entry by its location; entries of the highest rank are outside of all homes.
    fn rank(&self, entry: &EntryCandidate) -> u32 {
        let region = entry.region.as_ref();
        match () {
            () if entry.failure_domain == *self.failure_domain => 0,
            () if self.region.is_some() && region == self.region => 1,
            () if self.homes.iter().all(|homes| homes.contains(region)) => 2,
            () => OUTSIDE_RANK,
        }
    }
}

/// Rank of entries that are neither in the caller's region nor in a home of its requests.
const OUTSIDE_RANK: u32 = 3;

/// Selects at most `count` entries for a caller.
///
/// Entries outside the caller's region and its homes are used only if there are no others.
pub fn advise(
    entries: &[EntryCandidate],
    caller: CallerLocation<'_>,
    count: usize,
    valid_until: Deadline,
    rng: &mut impl Rng,
) -> EntryAdvice {
    let mut ranked: Vec<_> = entries
        .iter()
        .filter(|entry| !entry.leaving)
        .map(|entry| {
            let rank = caller.rank(entry);
            (rank, entry.in_flight / LOAD_STEP, rng.random::<u32>(), entry.caller_addr)
        })
        .collect();
    ranked.sort_unstable();
    if ranked.first().is_some_and(|(rank, ..)| *rank < OUTSIDE_RANK) {
        ranked.retain(|(rank, ..)| *rank < OUTSIDE_RANK);
    }
    let addresses = ranked.into_iter().take(count).map(|(.., addr)| addr).collect();
    EntryAdvice { addresses, valid_until }
}

/// Bucket size of the load comparison: smaller differences are decided at random, which spreads the
/// callers.
const LOAD_STEP: u32 = 16;
