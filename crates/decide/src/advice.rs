//! Which entries a caller should use.
//!
//! Callers keep the answer for a while, so it holds several addresses and the
//! deadline until which they hold. A leaving entry is left out at once and
//! serves until the answers that name it have run out.

use std::net::SocketAddr;

use cassiawheel_model::{Deadline, FailureDomain, record};
use macro_rules_attribute::apply;
use rand::Rng;

/// An entry that may be advised.
#[derive(Debug, Clone)]
pub struct EntryCandidate {
    /// Where callers reach it.
    pub caller_addr: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests in progress there.
    pub in_flight: u32,
    /// Whether it leaves.
    pub leaving: bool,
}

/// The answer to a caller that asks which entry to use.
#[apply(record!)]
pub struct EntryAdvice {
    /// Addresses, the best one first.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer holds.
    pub valid_until: Deadline,
}

/// Chooses at most `count` entries for a caller in `own_domain`.
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

/// Differences in load below this are left to chance, so that callers spread.
const LOAD_STEP: u32 = 16;
