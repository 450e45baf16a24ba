//! Fencing tokens of orders.
//!
//! A token holds the preset revision that the order follows from, then a count
//! within that revision, then whether the order is to serve. It rises with
//! every order that an endpoint gets, whichever entry sends it: across
//! revisions by the table's compare-and-set, within one by going on from the
//! highest token that the endpoint reports. An entry that was paused so sends
//! a token that the agent has passed, and the agent ignores the order.

use cassiawheel_model::{EndpointReport, PresetRevision};

/// Bits of the count within one revision.
const STEP_BITS: u32 = 20;

/// What an order's token tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderToken {
    /// The preset revision that the order follows from.
    pub revision: PresetRevision,
    /// Whether the order is to serve, or only to stage.
    pub serve: bool,
}

impl OrderToken {
    /// Reads a token.
    pub fn decode(token: u64) -> Self {
        Self { revision: PresetRevision(token >> STEP_BITS), serve: token & 1 == 1 }
    }
}

/// The lowest token for a new order under `revision` that the endpoint will follow.
///
/// None if the endpoint has passed all tokens of the revision. Either this
/// entry lags, or the report is false; a sum that overflowed would stop the
/// plan for all endpoints because of one.
pub fn next_token(revision: PresetRevision, report: &EndpointReport, serve: bool) -> Option<u64> {
    let passed = report.order.max(report.engine_fencing);
    let lowest = (revision.0 << STEP_BITS).max(passed.checked_add(1)?);
    let matching = (lowest & 1 == 1) == serve;
    let token = if matching { lowest } else { lowest.checked_add(1)? };
    (OrderToken::decode(token).revision == revision).then_some(token)
}
