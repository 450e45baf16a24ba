//! Transfer of weights: fetches chunks from the origin and from other agents (peers),
//! verifies them and stages them in the engine.

mod fetch;
mod manifest;
mod manifest_replies;
mod peer;
mod serve;
mod stage;
mod state;
mod watchers;

pub(crate) use manifest_replies::ManifestReply;
pub(crate) use serve::serve_peers;
pub(crate) use stage::{discard_other_staging, offer_served_weights, stage};
pub(crate) use state::TransferState;

use std::{net::SocketAddr, sync::Arc};

use cassiawheel_wire::message::EndpointAddress;

use crate::endpoint::EndpointShared;

/// Stores the list of agents to exchange chunks with that the entry at `entry` sent.
pub(crate) fn offer_peers(
    shared: &Arc<EndpointShared>,
    entry: SocketAddr,
    peers: Vec<EndpointAddress>,
) {
    let own = &shared.settings.place.instance;
    let others = peers.into_iter().filter(|peer| peer.instance != *own).collect();
    shared.transfer.set_peers(entry, others);
}
