//! Overlay network of the entries: which links exist and which entries are reachable.
//!
//! The entries of a region form a ring ordered by hash, with chords to the entries 3, 9, 27, …
//! positions further. A message reaches all of them over few links, and the number of links per
//! entry grows with the logarithm of the number of entries. Every two regions are joined by a few
//! links between the entries that rank first for the pair. Each entry computes its links from its
//! own view of the membership; there is no agreement protocol.
//!
//! An entry counts as present while a path of links leads to it that both ends of each link
//! confirm. An entry that stops or is cut off therefore disappears for all others once its
//! neighbours notice.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use cassiawheel_model::{EntryRecord, InstanceId, RegionName};

use crate::rank::{rendezvous_weight, subject_of};

/// Minimum number of entries that follow the operators' rows, used where there are fewer regions.
const MIN_FOLLOWERS: usize = 3;

/// Number of links between every two regions.
const LINKS_PER_REGION_PAIR: usize = 3;

/// Address and region of an entry, from which the links are computed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryLocation {
    /// Address for connections from our own processes.
    pub inner_addr: SocketAddr,
    /// Region of the entry.
    pub region: RegionName,
}

/// Addresses that the entry at `own` dials, given the other live entries.
pub fn links_to_dial(own: &EntryLocation, others: &[EntryLocation]) -> BTreeSet<SocketAddr> {
    let mut regions: BTreeMap<&RegionName, Vec<SocketAddr>> = BTreeMap::new();
    for place in others.iter().filter(|place| place.inner_addr != own.inner_addr).chain([own]) {
        regions.entry(&place.region).or_default().push(place.inner_addr);
    }
    let near = regions.remove(&own.region).unwrap_or_default();
    let mut chosen = ring_links(own.inner_addr, &near);
    for (region, far) in regions {
        // Only one side dials, or each of these links would exist twice.
        if own.region < *region {
            chosen.extend(bridge_link(own, &near, region, &far));
        }
    }
    chosen
}

/// Entries 1, 3, 9, … positions after `own` in the ring of its region.
fn ring_links(own: SocketAddr, near: &[SocketAddr]) -> BTreeSet<SocketAddr> {
    let ring = ranked(subject_of("ring"), near);
    let position = ring.iter().position(|addr| *addr == own).unwrap_or_default();
    let steps = std::iter::successors(Some(1), |step| Some(step * 3));
    // A chord across more than half of the ring equals one from its other end.
    let steps = steps.take_while(|step| step * 2 <= ring.len());
    steps.map(|step| ring[(position + step) % ring.len()]).collect()
}

/// Entry of `region` that `own` links to, if `own` is among the first ranked of its region.
fn bridge_link(
    own: &EntryLocation,
    near: &[SocketAddr],
    region: &RegionName,
    far: &[SocketAddr],
) -> Option<SocketAddr> {
    let subject = subject_of(&format!("{}/{region}", own.region));
    let rank = ranked(subject, near).iter().position(|addr| *addr == own.inner_addr)?;
    let far = ranked(subject, far);
    // In a smaller region, an entry gets more than one of the links.
    (rank < LINKS_PER_REGION_PAIR).then(|| far[rank % far.len()])
}

fn ranked(subject: u64, addrs: &[SocketAddr]) -> Vec<SocketAddr> {
    let weight = |addr: &SocketAddr| rendezvous_weight(subject, &addr.to_string());
    let mut ranked: Vec<_> = addrs.iter().map(|addr| (weight(addr), *addr)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, addr)| addr).collect()
}

/// Addresses of the entries of `region`, or all addresses if it has none.
pub fn same_region_or_all<'a>(
    region: &RegionName,
    places: impl Iterator<Item = (SocketAddr, Option<&'a RegionName>)> + Clone,
) -> Vec<SocketAddr> {
    let near = places.clone().filter(|(_, other)| *other == Some(region));
    let near: Vec<_> = near.map(|(addr, _)| addr).collect();
    match near.is_empty() {
        true => places.map(|(addr, _)| addr).collect(),
        false => near,
    }
}

/// Role of an entry in reading the operators' rows from the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedRole {
    /// Reads the rows and passes them on to the other entries.
    Follow,
    /// The table service rejects this entry's calls but not those of others; it retries at
    /// intervals.
    Probe,
    /// Other entries read the rows.
    Standby,
}

/// Role of the entry `own` in reading the operators' rows.
///
/// The rows are read by the first entry of each region and by the first entries overall, among
/// those that the table service answers; if it answers none, among all. `present` holds the records
/// of the reachable entries, including `own`.
pub fn feed_role(own: &InstanceId, present: &[&EntryRecord]) -> FeedRole {
    let Some(record) = present.iter().find(|record| record.instance == *own) else {
        return FeedRole::Follow;
    };
    let any_follows = present.iter().any(|other| other.follows_rows);
    if any_follows && !record.follows_rows {
        return FeedRole::Probe;
    }
    let before: Vec<_> = present
        .iter()
        .filter(|other| other.follows_rows == any_follows && !other.leaving)
        .filter(|other| other.instance < *own)
        .collect();
    let is_first_near = before.iter().all(|other| other.region != record.region);
    match is_first_near || before.len() < MIN_FOLLOWERS {
        true => FeedRole::Follow,
        false => FeedRole::Standby,
    }
}

/// Number of entries in the region of `own` that rank before it and have a link to another region.
///
/// Only such entries can request anything from another region.
pub fn far_link_rank(own: &InstanceId, present: &[&EntryRecord]) -> u32 {
    let regions: HashMap<_, _> =
        present.iter().map(|record| (&record.instance, &record.region)).collect();
    let Some(own_region) = regions.get(own) else {
        return 0;
    };
    let is_far = |instance| regions.get(instance).is_some_and(|region| region != own_region);
    let before = present.iter().filter(|record| record.instance < *own);
    let near = before.filter(|record| record.region == **own_region);
    near.filter(|record| record.neighbours.iter().any(is_far)).count() as u32
}

/// Entries reachable from `own` over links that both ends confirm.
pub fn reachable_entries<'a>(
    own: &'a InstanceId,
    records: impl Iterator<Item = &'a EntryRecord>,
) -> BTreeSet<&'a InstanceId> {
    let records: HashMap<_, _> = records.map(|record| (&record.instance, record)).collect();
    let mut reached = BTreeSet::from([own]);
    let mut pending = vec![own];
    while let Some(record) = pending.pop().and_then(|instance| records.get(instance)) {
        for neighbour in &record.neighbours {
            let their_neighbours = records.get(neighbour).map(|other| &other.neighbours);
            let is_confirmed = their_neighbours
                .is_some_and(|their_neighbours| their_neighbours.contains(&record.instance));
            if is_confirmed && reached.insert(neighbour) {
                pending.push(neighbour);
            }
        }
    }
    reached
}
