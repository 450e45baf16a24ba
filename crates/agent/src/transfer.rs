//! Transfer of weights: from origin and peers, verified, into staging.

mod fetch;
mod peer;
mod serve;
mod stage;
mod state;

pub(crate) use serve::serve_peers;
pub(crate) use stage::{release_others, resume, stage};
pub(crate) use state::TransferState;

use std::sync::Arc;

use cassiawheel_wire::message::EndpointAddress;

use crate::endpoint::EndpointShared;

/// Takes a new list of agents to swap chunks with.
pub(crate) fn offer_peers(shared: &Arc<EndpointShared>, peers: Vec<EndpointAddress>) {
    let own = &shared.settings.place.instance;
    shared.transfer.set_peers(peers.into_iter().filter(|peer| peer.instance != *own).collect());
}
