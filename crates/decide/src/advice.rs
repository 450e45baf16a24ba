//! Selection of the entries that a caller should use.
//!
//! Callers cache the answer, so it holds several addresses and an expiry. A leaving entry is
//! omitted at once and keeps serving until the answers that contain it have expired.

use std::net::SocketAddr;

use cassiawheel_model::{Deadline, FailureDomain, record};
use macro_rules_attribute::apply;
use rand::Rng;

/// An entry that callers can be advised to use.
#[derive(Debug, Clone)]
pub struct EntryCandidate {
    /// Address for connections from callers.
    pub caller_addr: SocketAddr,
    /// Failure domain of the entry.
    pub failure_domain: FailureDomain,
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

/// Selects at most `count` entries for a caller in `own_domain`.
pub fn advise(
    entries: &[EntryCandidate],
    own_domain: &FailureDomain,
    count: usize,
    valid_until: Deadline,
    rng: &mut impl Rng,
) -> EntryAdvice {
    let mut ranked: Vec<_> = entries
        .iter()
        .filter(|entry| !entry.leaving)
        .map(|entry| {
            let is_remote = entry.failure_domain != *own_domain;
            (is_remote, entry.in_flight / LOAD_STEP, rng.random::<u32>(), entry.caller_addr)
        })
        .collect();
    ranked.sort_unstable();
    let addresses = ranked.into_iter().take(count).map(|(.., addr)| addr).collect();
    EntryAdvice { addresses, valid_until }
}

/// Bucket size of the load comparison: smaller differences are decided at random, which spreads the
/// callers.
const LOAD_STEP: u32 = 16;
