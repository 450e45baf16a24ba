//! Transfer of weights: from origin and peers, verified, into staging.

mod fetch;
mod manifest;
mod peer;
mod serve;
mod stage;
mod state;
mod told;
mod watchers;

pub(crate) use serve::serve_peers;
pub(crate) use stage::{discard_other_staging, offer_served_weights, stage};
pub(crate) use state::TransferState;
pub(crate) use told::ManifestWord;

use std::{net::SocketAddr, sync::Arc};

use cassiawheel_wire::message::EndpointAddress;

use crate::endpoint::EndpointShared;

/// Takes the list of agents to swap chunks with from the entry at `entry`.
pub(crate) fn offer_peers(
    shared: &Arc<EndpointShared>,
    entry: SocketAddr,
    peers: Vec<EndpointAddress>,
) {
    let own = &shared.settings.place.instance;
    let others = peers.into_iter().filter(|peer| peer.instance != *own).collect();
    shared.transfer.set_peers(entry, others);
}
