//! Which agents swap chunks with which.
//!
//! All agents of a region know each other: who draws a chunk from the origin and
//! who imports it is worked out by each of them from the same names. Of each
//! other region an agent knows a few. Their words cross links that are shared
//! and dear, and with all of them they would grow with the square of the number
//! of agents.

use std::collections::BTreeMap;

use cassiawheel_model::RegionName;

use crate::rank::{first_ranked, subject_of};

/// Most agents of its own region that an agent knows.
const MAX_SAME_REGION: usize = 256;

/// Agents of each other region that an agent knows.
///
/// A chunk is offered to a region once one of these holds it. Chunks double
/// their holders about every 150 ms, so with six known agents the wait is a few
/// tens of milliseconds, and all six gone at once is not expected.
const MAX_PER_OTHER_REGION: usize = 6;

/// An agent as far as this choice needs to know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentLocation<'a> {
    /// Its instance.
    pub instance: &'a str,
    /// Where it stands.
    pub region: &'a RegionName,
}

/// The agents among `others` that `agent` knows; the same at every entry.
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
