//! Which entries are linked to which, and which of them can be reached.
//!
//! The entries of a region form a ring in the order of their hashes, with chords
//! to those 3, 9, 27, … places on, so that a message passes few links to reach
//! all of them and each entry has a number of links that grows with the
//! logarithm of their number. Each two regions are joined by a few links between
//! the entries that rank first for this pair. Every entry computes its links
//! from its own view of the membership; there is no agreement protocol.
//!
//! An entry counts as present while a path of links leads to it that both ends
//! of each link confirm. Who stops, or is cut off, is so gone for all others as
//! soon as its neighbours have noticed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use cassiawheel_model::{EntryRecord, InstanceId, RegionName};

use crate::rank::{rendezvous_weight, subject_of};

/// Entries that read the operators' rows, where there are fewer regions.
const MIN_FOLLOWERS: usize = 3;

/// Links between each two regions.
const LINKS_PER_REGION_PAIR: usize = 3;

/// Address and region of an entry, the input of the choice of links.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryLocation {
    /// Where our own processes reach it.
    pub inner_addr: SocketAddr,
    /// Its region.
    pub region: RegionName,
}

/// The entries that the one at `own` dials, of `others` that seem to run.
pub fn links_to_dial(own: &EntryLocation, others: &[EntryLocation]) -> BTreeSet<SocketAddr> {
    let mut regions: BTreeMap<&RegionName, Vec<SocketAddr>> = BTreeMap::new();
    for place in others.iter().filter(|place| place.inner_addr != own.inner_addr).chain([own]) {
        regions.entry(&place.region).or_default().push(place.inner_addr);
    }
    let near = regions.remove(&own.region).unwrap_or_default();
    let mut chosen = ring_links(own.inner_addr, &near);
    for (region, far) in regions {
        // One end dials, or each of these links would be made twice.
        if own.region < *region {
            chosen.extend(bridge_link(own, &near, region, &far));
        }
    }
    chosen
}

/// The entries 1, 3, 9, … places after `own` in the ring of its region.
fn ring_links(own: SocketAddr, near: &[SocketAddr]) -> BTreeSet<SocketAddr> {
    let ring = ranked(subject_of("ring"), near);
    let position = ring.iter().position(|addr| *addr == own).unwrap_or_default();
    let steps = std::iter::successors(Some(1), |step| Some(step * 3));
    // A chord of more than half of the ring is one of its other end.
    let steps = steps.take_while(|step| step * 2 <= ring.len());
    steps.map(|step| ring[(position + step) % ring.len()]).collect()
}

/// The entry of `region` that `own` is joined to, if it is one of the first of its own.
fn bridge_link(
    own: &EntryLocation,
    near: &[SocketAddr],
    region: &RegionName,
    far: &[SocketAddr],
) -> Option<SocketAddr> {
    let subject = subject_of(&format!("{}/{region}", own.region));
    let rank = ranked(subject, near).iter().position(|addr| *addr == own.inner_addr)?;
    let far = ranked(subject, far);
    // A region with fewer entries joins each of them to more than one.
    (rank < LINKS_PER_REGION_PAIR).then(|| far[rank % far.len()])
}

fn ranked(subject: u64, addrs: &[SocketAddr]) -> Vec<SocketAddr> {
    let weight = |addr: &SocketAddr| rendezvous_weight(subject, &addr.to_string());
    let mut ranked: Vec<_> = addrs.iter().map(|addr| (weight(addr), *addr)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, addr)| addr).collect()
}

/// The entries of `region` among `places`; all of them where it has none.
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

/// What an entry does about the operators' rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedRole {
    /// It follows them for all.
    Follow,
    /// The table service rejects its calls but not those of others; it retries at intervals.
    Probe,
    /// Others follow them.
    Standby,
}

/// What the entry at `own` does about the operators' rows.
///
/// They are followed by the first entry of each region and by the first of all, among
/// those that the table service answers; where it answers nobody, among all. `present`
/// are the records of the entries that can be reached, its own among them.
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

/// The entries that can be reached from `own` over links that both ends confirm.
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
