//! Fencing tokens of orders.
//!
//! A token consists, from its high bits to its low ones, of the preset revision of the
//! order, a counter within that revision, and a bit that is set if the order is to serve.
//! It increases with every order to an endpoint, whichever entry sends it: across
//! revisions through the table's compare-and-set, within one revision because the next
//! token follows the highest one that the endpoint reports. An entry that was paused sends
//! a token that is too low, and the agent ignores the order.

use cassiawheel_model::{EndpointReport, PresetRevision};

/// Bits below the revision: the counter and the serve bit.
const COUNTER_BITS: u32 = 20;

/// Decoded contents of a fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderToken {
    /// The preset revision of the order.
    pub revision: PresetRevision,
    /// Whether the order is to serve or only to stage.
    pub serve: bool,
}

impl OrderToken {
    /// Decodes a token.
    pub fn decode(token: u64) -> Self {
        Self { revision: PresetRevision(token >> COUNTER_BITS), serve: token & 1 == 1 }
    }
}

/// Returns the lowest token for a new order of `revision` that the endpoint accepts.
///
/// Returns `None` if the endpoint has seen higher tokens than those of the revision: this
/// entry lags, or the report is wrong. The arithmetic is checked, since an overflow caused
/// by one report would stop the plan for all endpoints.
pub fn next_token(revision: PresetRevision, report: &EndpointReport, serve: bool) -> Option<u64> {
    let highest_seen = report.order.max(report.engine_fencing);
    let lowest = (revision.0 << COUNTER_BITS).max(highest_seen.checked_add(1)?);
    let is_matching = (lowest & 1 == 1) == serve;
    let token = if is_matching { lowest } else { lowest.checked_add(1)? };
    (OrderToken::decode(token).revision == revision).then_some(token)
}
