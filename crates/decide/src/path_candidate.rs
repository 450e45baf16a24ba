//! Paths of endpoints as candidates for requests.
//!
//! The request is sent to the first member, whose slots limit it, and counts as in flight at every
//! member. A path is usable only while every member is.

use std::sync::Arc;

use cassiawheel_model::{LayerPath, RegionName, Timestamp};

use crate::{
    endpoint_tracker::EndpointTracker,
    route::{EndpointPath, RouteCandidate, RouteQuery},
};

/// What a choice needs to know about a member of a path.
#[derive(Debug, Clone)]
pub struct MemberState {
    /// Region of the endpoint; `None` if it is unknown.
    pub region: Option<RegionName>,
    /// Whether it is close to the entry.
    pub is_near: bool,
    /// Load and health of the endpoint as this entry sees them.
    pub tracker: Arc<EndpointTracker>,
}

/// A path that can be chosen.
#[derive(Debug, Clone)]
pub struct PathCandidate {
    path: LayerPath,
    /// The first member. It counts as near only if every member is.
    first: RouteCandidate,
    /// States of the members, in the order of the path.
    members: Vec<MemberState>,
}

impl PathCandidate {
    /// Creates the candidate; `None` unless there is one state for each member.
    pub fn new(path: LayerPath, members: Vec<MemberState>) -> Option<Self> {
        if members.len() != path.members().len() {
            return None;
        }
        let (member, state) = (path.first(), members.first()?);
        let first = RouteCandidate {
            instance: member.instance.clone(),
            version: Some(member.version.clone()),
            is_near: members.iter().all(|state| state.is_near),
            region: state.region.clone(),
            path: EndpointPath::Direct(member.addr),
            born_at: member.born_at,
            tracker: state.tracker.clone(),
        };
        Some(Self { path, first, members })
    }

    /// The members and their layers.
    pub fn path(&self) -> &LayerPath {
        &self.path
    }

    /// The member that the request is sent to.
    pub fn first(&self) -> &RouteCandidate {
        &self.first
    }

    /// Trackers of all members but the first.
    pub fn other_trackers(&self) -> impl Iterator<Item = &Arc<EndpointTracker>> {
        self.members.iter().skip(1).map(|member| &member.tracker)
    }

    /// Tracker of the member at `position`.
    pub fn tracker(&self, position: usize) -> Option<&EndpointTracker> {
        self.members.get(position).map(|member| member.tracker.as_ref())
    }

    /// Whether a member has left the routes since the path was formed.
    pub fn is_withdrawn(&self) -> bool {
        self.members.iter().any(|member| member.tracker.is_withdrawn())
    }

    /// Whether every member holds its layers by a recent report and accepts requests.
    pub fn is_available(&self, now: Timestamp) -> bool {
        self.members.iter().all(|member| {
            let tracker = &member.tracker;
            tracker.may_join_path(now)
                && !tracker.is_ejected(now)
                && !tracker.is_paced()
                && tracker.backoff().is_due(now)
        })
    }

    /// Whether the request may be sent on the path.
    pub(crate) fn is_usable(&self, query: &RouteQuery<'_>) -> bool {
        self.first.is_usable(query)
            && self.is_available(query.now)
            && self.members.iter().all(|member| query.homes.contains(member.region.as_ref()))
            && !self.path.members().iter().any(|m| query.excluded.contains(&m.instance))
    }

    /// Counts a request at every member if the first one has room; false if not.
    pub(crate) fn try_acquire(&self, query: &RouteQuery<'_>) -> bool {
        let is_acquired =
            self.first.tracker.try_acquire_paced(self.first.capacity(query), query.now);
        if is_acquired {
            self.other_trackers().for_each(|tracker| tracker.acquire());
        }
        is_acquired
    }
}
