//! Which endpoint gets a request.
//!
//! Three endpoints are drawn at random, two of them near the entry, and the one
//! with the lowest cost wins. Comparing all of them would
//! send every entry to the same one, since reports lag. The cost counts
//! requests that this entry has in progress there and the others' by the
//! endpoint's last report, and how long answers have taken to begin lately. A
//! prompt whose prefix an endpoint has probably cached goes there, as long as
//! that endpoint's load stays near the mean. Endpoints that fail are passed
//! over for a while.
//!
//! A choice reads one snapshot and atomics; it takes no lock and allocates nothing.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU32, Ordering},
    },
};

use cassiawheel_model::{InstanceId, ModelVersion, ServiceName, Timestamp};
use rand::Rng;

use crate::{
    affinity::{PrefixRing, bounded_load},
    endpoint_tracker::EndpointTracker,
};

/// How requests reach an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPath {
    /// Through its agent, whose gate limits what all entries send.
    Agent,
    /// Directly; only the entries know what they send.
    Direct(SocketAddr),
}

/// An endpoint that may be chosen.
#[derive(Debug, Clone)]
pub struct RouteCandidate {
    /// The instance.
    pub instance: InstanceId,
    /// The version it serves; none for plain services.
    pub version: Option<ModelVersion>,
    /// Whether it stands near the entry: what passes between them crosses no
    /// link that is shared and dear.
    pub is_near: bool,
    /// How requests reach it.
    pub path: EndpointPath,
    /// Its load and health.
    pub tracker: Arc<EndpointTracker>,
}

/// The endpoints of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceRoutes {
    candidates: Vec<RouteCandidate>,
    near: Vec<u32>,
    /// Those that name a limit.
    paced: Vec<u32>,
    positions: HashMap<InstanceId, usize>,
    /// Made for the first prompt that asks for it; a service whose engines cache
    /// no prefixes needs none, and a snapshot is made for every change of a state.
    ring: OnceLock<PrefixRing>,
    in_flight: Arc<AtomicU32>,
}

/// Endpoints by service; replaced as a whole, never changed.
#[derive(Debug, Clone, Default)]
pub struct RouteSnapshot {
    services: HashMap<ServiceName, ServiceRoutes>,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Endpoints that have been tried.
    pub excluded: &'a [InstanceId],
    /// Digest of the prompt's prefix.
    pub prefix: Option<u64>,
    /// The only version that may answer, once a part of an answer was sent.
    pub version: Option<&'a ModelVersion>,
    /// The only versions that may answer, where older ones may not any more.
    pub allowed: Option<&'a [ModelVersion]>,
    /// Requests beyond its limit that an endpoint may get for the sake of this one.
    pub extra_capacity: u32,
    /// Requests at one endpoint by the preset in force.
    pub max_in_flight: u32,
    /// The present moment.
    pub now: Timestamp,
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteReason {
    /// It has probably cached the prompt's prefix.
    PrefixAffinity,
    /// It has the lowest cost of those drawn.
    LeastCost,
    /// It names a limit and takes a request now.
    NamedLimit,
    /// None of those drawn had room.
    FirstWithRoom,
    /// Every other endpoint is full or was ejected.
    LastResort,
}

/// A choice and what it was made from, for the decision log.
#[derive(Debug, Clone, Copy)]
pub struct RouteChoice<'a> {
    /// The chosen endpoint.
    pub candidate: &'a RouteCandidate,
    /// Why.
    pub reason: RouteReason,
    /// Its cost.
    pub cost: u32,
    /// Endpoints that serve the service.
    pub candidates: usize,
}

/// Further draws from the near endpoints if none of the first has room.
const EXTRA_NEAR_DRAWS: usize = 3;

/// Draws from all endpoints before each is looked at in turn.
const EXTRA_DRAWS: usize = 6;

/// Cost of one request in progress.
const LOAD_COST: u32 = 4;

/// Cost of an endpoint that is not near, in units of cost: two and a half requests.
///
/// An answer of 24 events is some 13 KB, and links between regions carry the
/// weights as well. Two requests more delay an answer by some 50 ms, a sixth of
/// the shortest aim; where a region is fuller than that by more, others help.
const FAR_COST: u32 = 10;

/// Cost beyond that of a drawn endpoint at which one that names a limit is still used.
const PACED_COST_MARGIN: u32 = 12;

/// Time until an answer begins that is usual at a busy endpoint, in milliseconds.
const BASELINE_DELAY_MS: u32 = 450;

/// Delay beyond the usual that costs as much as one unit of cost, in milliseconds.
///
/// A request more in progress delays the next one by some 25 ms and costs four.
const DELAY_UNIT_MS: u32 = 25;

impl RouteReason {
    /// The word in the decision log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::PrefixAffinity => "prefix-affinity",
            Self::LeastCost => "least-cost",
            Self::NamedLimit => "named-limit",
            Self::FirstWithRoom => "first-with-room",
            Self::LastResort => "last-resort",
        }
    }
}

impl RouteCandidate {
    /// Requests that this entry may have in progress here.
    ///
    /// No gate stands before an endpoint that is reached directly, so that what
    /// the other entries have there is taken off.
    fn limit(&self, max_in_flight: u32, now: Timestamp) -> u32 {
        let limit = self.tracker.limit().min(max_in_flight);
        match self.path {
            _ if self.tracker.is_paced() => {
                limit.min(self.tracker.in_flight() + u32::from(self.tracker.is_due(now)))
            }
            EndpointPath::Agent => limit,
            EndpointPath::Direct(_) => limit.saturating_sub(self.tracker.recent_others(now)),
        }
    }

    /// Whether a direct endpoint is slow; behind an agent the gate sees to that.
    fn is_slow(&self, now: Timestamp) -> bool {
        match self.path {
            EndpointPath::Agent => false,
            EndpointPath::Direct(_) => self.tracker.is_slow(now),
        }
    }

    fn cost(&self, now: Timestamp) -> u32 {
        let distance = if self.is_near { 0 } else { FAR_COST };
        let delay = self.tracker.delay_ms(now).saturating_sub(BASELINE_DELAY_MS) / DELAY_UNIT_MS;
        self.tracker.load(now) * LOAD_COST + distance + delay
    }

    /// Requests that this entry may have in progress here for the sake of this one.
    fn capacity(&self, query: &RouteQuery<'_>) -> u32 {
        self.limit(query.max_in_flight, query.now).saturating_add(query.extra_capacity)
    }

    fn is_eligible(&self, query: &RouteQuery<'_>) -> bool {
        let is_version = query.version.is_none_or(|version| self.version.as_ref() == Some(version));
        let is_allowed = query.allowed.is_none_or(|allowed| {
            self.version.as_ref().is_none_or(|version| allowed.contains(version))
        });
        self.tracker.in_flight() < self.capacity(query)
            && self.tracker.is_due(query.now)
            && is_version
            && is_allowed
            && !query.excluded.contains(&self.instance)
    }

    fn is_usable(&self, query: &RouteQuery<'_>) -> bool {
        self.is_eligible(query) && !self.tracker.is_ejected(query.now) && !self.is_slow(query.now)
    }
}

impl ServiceRoutes {
    /// The endpoints, and the count of this entry's requests at all of them.
    pub fn new(candidates: Vec<RouteCandidate>, in_flight: Arc<AtomicU32>) -> Self {
        let near = candidates.iter().enumerate().filter(|(_, c)| c.is_near);
        let near = near.map(|(position, _)| position as u32).collect();
        let paced = candidates.iter().enumerate().filter(|(_, c)| c.tracker.is_paced());
        let paced = paced.map(|(position, _)| position as u32).collect();
        let positions =
            candidates.iter().enumerate().map(|(p, c)| (c.instance.clone(), p)).collect();
        Self { candidates, near, paced, positions, ring: OnceLock::new(), in_flight }
    }

    /// Counts this entry's requests at all endpoints.
    pub fn in_flight(&self) -> &Arc<AtomicU32> {
        &self.in_flight
    }

    /// Requests that this entry may have in progress at all endpoints.
    pub fn capacity(&self, max_in_flight: u32, now: Timestamp) -> u32 {
        let usable = self.candidates.iter();
        let usable = usable.filter(|c| !c.tracker.is_ejected(now) && !c.is_slow(now));
        usable.map(|c| c.limit(max_in_flight, now)).sum()
    }

    /// Notes a failed attempt at `instance`; true if it was ejected.
    pub fn record_failure(&self, instance: &InstanceId, now: Timestamp) -> bool {
        let Some(position) = self.positions.get(instance) else {
            return false;
        };
        let cell = &self.candidates[*position].tracker;
        if !cell.record_failure() || cell.is_ejected(now) {
            return false;
        }
        // When most endpoints fail, the cause is elsewhere, and to send all
        // requests to the few that are left would take these down as well.
        let ejected = self.candidates.iter().filter(|c| c.tracker.is_ejected(now)).count();
        if (ejected + 1) * 2 > self.candidates.len() {
            return false;
        }
        cell.eject(now);
        true
    }

    fn choose(&self, query: &RouteQuery<'_>, rng: &mut impl Rng) -> Option<RouteChoice<'_>> {
        if self.candidates.is_empty() {
            return None;
        }
        if let Some(candidate) = query.prefix.and_then(|prefix| self.prefix_owner(prefix, query)) {
            return Some(self.choice(candidate, RouteReason::PrefixAffinity, query));
        }
        let drawn = self.initial_draws(rng);
        let drawn = drawn.into_iter().flatten().filter(|c| c.is_usable(query));
        let drawn = drawn.min_by_key(|c| c.cost(query.now));
        if let Some(candidate) = self.paced_candidate(query, drawn) {
            return Some(self.choice(candidate, RouteReason::NamedLimit, query));
        }
        if let Some(candidate) = drawn {
            return Some(self.choice(candidate, RouteReason::LeastCost, query));
        }
        let near =
            (0..EXTRA_NEAR_DRAWS).filter_map(|_| self.draw_near(rng)).find(|c| c.is_usable(query));
        let more = || (0..EXTRA_DRAWS).map(|_| self.draw(rng)).find(|c| c.is_usable(query));
        let more = near.or_else(more);
        if let Some(candidate) = more.or_else(|| self.scan(rng, |c| c.is_usable(query))) {
            return Some(self.choice(candidate, RouteReason::FirstWithRoom, query));
        }
        let slow = self.candidates.iter().filter(|c| c.is_slow(query.now)).count();
        // If most are slow the cause is elsewhere, and they are all there is.
        let may_be_slow = slow * 2 > self.candidates.len();
        let candidate =
            self.scan(rng, |c| c.is_eligible(query) && (may_be_slow || !c.is_slow(query.now)))?;
        Some(self.choice(candidate, RouteReason::LastResort, query))
    }

    fn prefix_owner(&self, prefix: u64, query: &RouteQuery<'_>) -> Option<&RouteCandidate> {
        let total = self.in_flight.load(Ordering::Relaxed);
        let bound = bounded_load(total, self.candidates.len());
        let names = || self.candidates.iter().map(|c| c.instance.as_str());
        let ring = self.ring.get_or_init(|| PrefixRing::new(names()));
        let mut owners = ring.positions(prefix).map(|position| &self.candidates[position]);
        owners.find(|c| c.tracker.in_flight() < bound && c.is_usable(query))
    }

    /// An endpoint that names a limit and takes a request now, unless it costs much more
    /// than the one that was drawn and has been asked of late.
    ///
    /// Draws alone would leave most of a limit unused: its few holders rarely draw the
    /// endpoint.
    fn paced_candidate(
        &self,
        query: &RouteQuery<'_>,
        drawn: Option<&RouteCandidate>,
    ) -> Option<&RouteCandidate> {
        let max_cost = drawn.map_or(u32::MAX, |drawn| drawn.cost(query.now) + PACED_COST_MARGIN);
        let mut paced = self.paced.iter().map(|position| &self.candidates[*position as usize]);
        paced.find(|c| {
            let is_acceptable = c.is_usable(query) && c.cost(query.now) <= max_cost;
            let is_overdue = c.tracker.is_overdue(query.now) && !c.tracker.is_ejected(query.now);
            c.tracker.is_paced() && c.is_eligible(query) && (is_acceptable || is_overdue)
        })
    }

    /// Two near endpoints and one of all; two of all if none is near, since more
    /// draws would bring many entries to the same few.
    fn initial_draws(&self, rng: &mut impl Rng) -> [Option<&RouteCandidate>; 3] {
        match self.near.is_empty() {
            true => [Some(self.draw(rng)), Some(self.draw(rng)), None],
            false => [self.draw_near(rng), self.draw_near(rng), Some(self.draw(rng))],
        }
    }

    fn draw_near(&self, rng: &mut impl Rng) -> Option<&RouteCandidate> {
        if self.near.is_empty() {
            return None;
        }
        let position = self.near[rng.random_range(0..self.near.len())];
        self.candidates.get(position as usize)
    }

    fn draw(&self, rng: &mut impl Rng) -> &RouteCandidate {
        &self.candidates[rng.random_range(0..self.candidates.len())]
    }

    /// The first that fits, from a random one on, so that no endpoint is the
    /// first of all entries.
    fn scan(
        &self,
        rng: &mut impl Rng,
        fits: impl Fn(&RouteCandidate) -> bool,
    ) -> Option<&RouteCandidate> {
        let start = rng.random_range(0..self.candidates.len());
        let (before, after) = self.candidates.split_at(start);
        after.iter().chain(before).find(|c| fits(c))
    }

    fn choice<'a>(
        &self,
        candidate: &'a RouteCandidate,
        reason: RouteReason,
        query: &RouteQuery<'_>,
    ) -> RouteChoice<'a> {
        let cost = candidate.cost(query.now);
        RouteChoice { candidate, reason, cost, candidates: self.candidates.len() }
    }
}

impl RouteSnapshot {
    /// The services with their endpoints.
    pub fn new(services: HashMap<ServiceName, ServiceRoutes>) -> Self {
        Self { services }
    }

    /// The endpoints of one service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceRoutes> {
        self.services.get(service)
    }

    /// Whether `instance` is routed to for `service` as one that serves `version`.
    pub fn serves(
        &self,
        service: &ServiceName,
        instance: &InstanceId,
        version: Option<&ModelVersion>,
    ) -> bool {
        let Some(routes) = self.services.get(service) else {
            return false;
        };
        let position = routes.positions.get(instance);
        position.is_some_and(|p| routes.candidates[*p].version.as_ref() == version)
    }

    /// All endpoints.
    pub fn candidates(&self) -> impl Iterator<Item = &RouteCandidate> {
        self.services.values().flat_map(|service| &service.candidates)
    }

    /// Chooses an endpoint and counts the request there.
    ///
    /// Threads that choose at the same moment see the same last place. Were both
    /// to send, the endpoint's gate would refuse one of them, its limit here would
    /// be lowered for an overload that it never had, and the requests that were
    /// admitted for the places so lost would find none.
    pub fn acquire<'a>(
        &'a self,
        query: &RouteQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<RouteChoice<'a>> {
        loop {
            let choice = self.choose(query, rng)?;
            if choice
                .candidate
                .tracker
                .try_acquire_paced(choice.candidate.capacity(query), query.now)
            {
                return Some(choice);
            }
        }
    }

    /// Chooses an endpoint; the request is not counted there.
    pub fn choose<'a>(
        &'a self,
        query: &RouteQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<RouteChoice<'a>> {
        self.services.get(query.service)?.choose(query, rng)
    }
}
