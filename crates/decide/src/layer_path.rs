//! Formation of paths through endpoints that have loaded a part of the layers each.
//!
//! Every entry forms the paths from the reports that it has. The result depends only on the set of
//! holders and not on their order, so entries with the same reports form the same paths without
//! messages. An entry that lacks reports forms fewer or other paths, which are valid as well.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    hash::Hash,
};

pub use cassiawheel_model::{LayerPath, PathMember};
use cassiawheel_model::{MAX_PATH_MEMBERS, ModelVersion, RegionName};

use crate::rank::{rendezvous_weight, subject_of};

/// An endpoint that has loaded a part of the layers and may become a member of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayerHolder {
    /// The endpoint and its loaded layers.
    pub member: PathMember,
    /// Region of the endpoint; `None` if it is unknown.
    pub region: Option<RegionName>,
}

/// Forms paths for a model of `layers` layers; none if the model has fewer than two.
///
/// Members are in the same region wherever the region's holders form any path. Holders of regions
/// in which none can be formed, as they hold one half only, are combined across regions.
pub fn form_paths(layers: u32, holders: &[LayerHolder]) -> Vec<LayerPath> {
    if layers < 2 {
        return Vec::new();
    }
    let mut by_version: BTreeMap<&ModelVersion, Vec<&LayerHolder>> = BTreeMap::new();
    for holder in unambiguous(holders) {
        by_version.entry(&holder.member.version).or_default().push(holder);
    }
    by_version
        .into_iter()
        .flat_map(|(version, holders)| paths_of(layers, version, holders))
        .collect()
}

/// Holders whose address and instance no other holder has.
///
/// Of two reports about one endpoint it is unknown which one applies, so neither is used.
fn unambiguous(holders: &[LayerHolder]) -> impl Iterator<Item = &LayerHolder> {
    let addrs = counts(holders.iter().map(|holder| holder.member.addr));
    let instances = counts(holders.iter().map(|holder| &holder.member.instance));
    holders.iter().filter(move |holder| {
        addrs.get(&holder.member.addr) == Some(&1)
            && instances.get(&holder.member.instance) == Some(&1)
    })
}

fn counts<T: Eq + Hash>(items: impl Iterator<Item = T>) -> HashMap<T, usize> {
    let mut counts = HashMap::new();
    items.for_each(|item| *counts.entry(item).or_default() += 1);
    counts
}

fn paths_of(layers: u32, version: &ModelVersion, mut holders: Vec<&LayerHolder>) -> Vec<LayerPath> {
    let subject = subject_of(version.as_str());
    holders.sort_by_cached_key(|holder| {
        let name = &holder.member.instance;
        (rendezvous_weight(subject, name.as_str()), name.clone())
    });
    let mut by_region: BTreeMap<Option<&RegionName>, Vec<&LayerHolder>> = BTreeMap::new();
    for holder in &holders {
        by_region.entry(holder.region.as_ref()).or_default().push(holder);
    }
    let mut paths = Vec::new();
    let mut incomplete = Vec::new();
    for (region, members) in by_region {
        let formed = chains(layers, &members);
        if formed.is_empty() {
            incomplete.push(region);
        }
        paths.extend(formed);
    }
    holders.retain(|holder| incomplete.contains(&holder.region.as_ref()));
    paths.extend(chains(layers, &holders));
    paths
}

/// Combines holders of one version, in their order, to paths of at least two members.
fn chains(layers: u32, holders: &[&LayerHolder]) -> Vec<LayerPath> {
    let mut by_start: BTreeMap<u32, VecDeque<&LayerHolder>> = BTreeMap::new();
    for holder in holders {
        by_start.entry(holder.member.range.from()).or_default().push_back(holder);
    }
    let mut paths = Vec::new();
    for first in by_start.remove(&0).unwrap_or_default() {
        let mut chain = vec![first];
        let mut end = first.member.range.to();
        while end < layers
            && chain.len() < MAX_PATH_MEMBERS
            && let Some(next) = by_start.get_mut(&end).and_then(VecDeque::pop_front)
        {
            end = next.member.range.to();
            chain.push(next);
        }
        let members = chain.iter().map(|holder| holder.member.clone()).collect();
        match LayerPath::new(layers, members) {
            Ok(path) if chain.len() > 1 => paths.push(path),
            // An endpoint with all layers is reported as serving once it may get requests.
            Ok(_) => {}
            Err(_) => {
                for holder in chain.into_iter().skip(1).rev() {
                    let start = holder.member.range.from();
                    by_start.entry(start).or_default().push_front(holder);
                }
            }
        }
    }
    paths
}
