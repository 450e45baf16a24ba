//! Selection of the agents that exchange chunks with each other.
//!
//! Within a region, every agent has all others as peers: each one computes from the same names
//! which agent fetches a chunk from the origin and which imports it. From every other region an
//! agent has only a few peers, because messages to them cross shared and expensive links and would
//! otherwise grow with the square of the number of agents.

use std::collections::BTreeMap;

use cassiawheel_model::RegionName;

use crate::rank::{first_ranked, subject_of};

/// Maximum number of peers in the agent's own region.
const MAX_SAME_REGION: usize = 256;

/// Number of peers in each other region.
///
/// A chunk is offered to a region once one of these peers holds it. The number of holders doubles
/// about every 150 ms, so with six peers the delay is a few tens of milliseconds, and a
/// simultaneous loss of all six is not expected.
const MAX_PER_OTHER_REGION: usize = 6;

/// Name and region of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentLocation<'a> {
    /// Instance id of the agent.
    pub instance: &'a str,
    /// Region of the agent.
    pub region: &'a RegionName,
}

/// Peers of `agent` among `others`; every entry computes the same ones.
pub fn chunk_peers<'a>(agent: AgentLocation<'_>, others: &[AgentLocation<'a>]) -> Vec<&'a str> {
    let mut regions: BTreeMap<&RegionName, Vec<&'a str>> = BTreeMap::new();
    for other in others.iter().filter(|other| other.instance != agent.instance) {
        regions.entry(other.region).or_default().push(other.instance);
    }
    let subject = subject_of(agent.instance);
    let chosen = regions.into_iter().flat_map(|(region, names)| {
        let max_count = if region == agent.region { MAX_SAME_REGION } else { MAX_PER_OTHER_REGION };
        first_ranked(subject, names.into_iter(), max_count)
    });
    chosen.collect()
}
