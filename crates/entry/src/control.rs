//! Control plane of an entry: presets, heartbeats and membership.

pub(crate) mod change;
pub(crate) mod chunk_peers;
pub(crate) mod dependency;
mod derived;
pub(crate) mod drains;
pub(crate) mod entries;
pub(crate) mod gossip;
pub(crate) mod links;
pub(crate) mod listing;
pub(crate) mod manifest_cache;
pub(crate) mod manifests;
pub(crate) mod membership;
pub(crate) mod operators;
pub(crate) mod orders;
pub(crate) mod peers;
pub(crate) mod poll;
mod pull;
pub(crate) mod quarantine;
pub(crate) mod staging;
pub(crate) mod store;
