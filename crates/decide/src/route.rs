//! Endpoint selection.
//!
//! Three endpoints are sampled at random, two of them near the entry, and the one with the lowest
//! cost is chosen. Load reports lag, so choosing the minimum over all endpoints would send every
//! entry to the same one. The cost combines the requests that this entry has in flight at the
//! endpoint, the requests of other entries by the endpoint's last report, the recent time until an
//! answer begins, and the endpoint's speed and warm-up ([`crate::endpoint_speed`]). A prompt whose
//! prefix an endpoint has probably cached goes there while that endpoint's load stays close to the
//! mean. Endpoints that fail repeatedly are ejected for a while.
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

use cassiawheel_model::{
    Deadline, HomeRegions, InstanceId, ModelVersion, RegionName, ServiceName, Timestamp,
};
use rand::Rng;

use crate::{
    affinity::{PrefixRing, bounded_load},
    endpoint_tracker::EndpointTracker,
    path_candidate::PathCandidate,
    slot_share::{SlotCompetitor, SlotShare},
};

/// How requests reach an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPath {
    /// Through its agent, whose gate limits the requests of all entries together.
    Agent,
    /// Directly; no gate limits the requests, so the entries have to.
    Direct(SocketAddr),
}

/// An endpoint that can be chosen.
#[derive(Debug, Clone)]
pub struct RouteCandidate {
    /// Instance id of the endpoint.
    pub instance: InstanceId,
    /// Version that it serves; `None` for plain services.
    pub version: Option<ModelVersion>,
    /// Whether it is close to the entry, so that traffic between them crosses no shared and
    /// expensive link between regions.
    pub is_near: bool,
    /// Region of the endpoint; `None` if it is unknown.
    pub region: Option<RegionName>,
    /// How requests reach it.
    pub path: EndpointPath,
    /// Start time of the endpoint's process, if it reports it.
    pub born_at: Option<Timestamp>,
    /// Load and health of the endpoint as this entry sees them.
    pub tracker: Arc<EndpointTracker>,
}

/// Endpoints of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceRoutes {
    candidates: Vec<RouteCandidate>,
    near: Vec<u32>,
    /// Positions of the endpoints that advertise a rate limit.
    paced: Vec<u32>,
    /// Whether requests reach any of them directly.
    has_direct: bool,
    positions: HashMap<InstanceId, usize>,
    /// Built on the first prompt with a prefix: services without prefix caches need no ring, and
    /// every state change creates a new snapshot.
    ring: OnceLock<PrefixRing>,
    in_flight: Arc<AtomicU32>,
    /// Paths through endpoints that hold a part of the layers each.
    paths: Vec<Arc<PathCandidate>>,
}

/// Endpoints by service. Immutable; changes replace the whole snapshot.
#[derive(Debug, Clone, Default)]
pub struct RouteSnapshot {
    services: HashMap<ServiceName, ServiceRoutes>,
}

/// Requirements of one request.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Service that the request is for.
    pub service: &'a ServiceName,
    /// Endpoints that were already tried.
    pub excluded: &'a [InstanceId],
    /// Digest of the prompt's prefix, if the request has one.
    pub prefix: Option<u64>,
    /// The only acceptable version, set once part of an answer was sent.
    pub version: Option<&'a ModelVersion>,
    /// The only acceptable versions, set where older ones must no longer answer.
    pub allowed: Option<&'a [ModelVersion]>,
    /// The same for endpoints that are not near, which requests may reach late.
    pub allowed_far: Option<&'a [ModelVersion]>,
    /// Regions in which the request may be served.
    pub homes: &'a HomeRegions,
    /// Requests above an endpoint's limit that are allowed for this request.
    pub extra_capacity: u32,
    /// Limit of in-flight requests at one endpoint from the preset in force.
    pub max_in_flight: u32,
    /// Current time.
    pub now: Timestamp,
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteReason {
    /// The endpoint has probably cached the prompt's prefix.
    PrefixAffinity,
    /// A request of this entry has ended there since the endpoint's last report.
    ReusedSlot,
    /// The endpoint has the lowest cost of those sampled.
    LeastCost,
    /// The endpoint advertises a rate limit, and a request is due now.
    NamedLimit,
    /// None of those sampled had capacity; this is the first one found that has.
    FirstWithRoom,
    /// All other endpoints are full or ejected.
    LastResort,
    /// No endpoint with all layers has capacity; this is the first one of a path that has.
    LayerPath,
}

/// A chosen endpoint and the basis of the choice, for the decision log.
#[derive(Debug, Clone, Copy)]
pub struct RouteChoice<'a> {
    /// Endpoint that was chosen; the first one if the request is sent on a path.
    pub candidate: &'a RouteCandidate,
    /// Rule that selected the endpoint.
    pub reason: RouteReason,
    /// Cost of the endpoint at the time of the choice.
    pub cost: u32,
    /// Number of endpoints that serve the service.
    pub candidates: usize,
    /// Path that the request is sent on; `None` if the endpoint has all layers.
    pub layer_path: Option<&'a Arc<PathCandidate>>,
}

/// Additional samples from the near endpoints if none of the first ones has capacity.
const EXTRA_NEAR_DRAWS: usize = 3;

/// Additional samples from all endpoints before a full scan.
const EXTRA_DRAWS: usize = 6;

/// Cost of one request in flight.
const LOAD_COST: u32 = 4;

/// Extra cost of an endpoint that is not near: two and a half requests.
///
/// An answer of 24 events is about 13 KB, and the links between regions also carry model weights.
/// Two more requests at an endpoint delay an answer by about 50 ms, a sixth of the shortest latency
/// target. Other regions are used when the near endpoints are busier than that.
const FAR_COST: u32 = 10;

/// An endpoint that advertises a rate limit is used if its cost exceeds that of the best sampled
/// endpoint by at most this much.
const PACED_COST_MARGIN: u32 = 12;

/// Divisor of an endpoint's slots: it is busy if the result or more are in use.
///
/// Below that, sampling by load balances better than returning to the same endpoints.
const BUSY_DIVISOR: u32 = 2;

/// Normal time until an answer begins at a busy endpoint, in milliseconds.
const BASELINE_DELAY_MS: u32 = 450;

/// Delay above the baseline that counts as one unit of cost, in milliseconds.
///
/// One more request in flight delays the next one by about 25 ms and costs four units.
const DELAY_UNIT_MS: u32 = 25;

impl RouteReason {
    /// Name of the reason in the decision log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::PrefixAffinity => "prefix-affinity",
            Self::ReusedSlot => "reused-slot",
            Self::LeastCost => "least-cost",
            Self::NamedLimit => "named-limit",
            Self::FirstWithRoom => "first-with-room",
            Self::LastResort => "last-resort",
            Self::LayerPath => "layer-path",
        }
    }
}

impl RouteCandidate {
    /// Requests that this entry may have in flight at the endpoint.
    ///
    /// An endpoint that is reached directly has no gate, so the requests of other entries are
    /// subtracted.
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

    /// Whether an endpoint that is reached directly is slow. The agent's gate covers the others.
    fn is_slow(&self, now: Timestamp) -> bool {
        match self.path {
            EndpointPath::Agent => false,
            EndpointPath::Direct(_) => self.tracker.is_slow(now),
        }
    }

    fn cost(&self, now: Timestamp) -> u32 {
        let distance = if self.is_near { 0 } else { FAR_COST };
        let delay = self.tracker.delay_ms(now).saturating_sub(BASELINE_DELAY_MS) / DELAY_UNIT_MS;
        let load = self.tracker.load(now);
        let extra = self.tracker.speed().extra_cost((load + 1) * LOAD_COST, now);
        load * LOAD_COST + distance + delay + extra
    }

    /// Whether a request of this entry has ended at the endpoint since a report that showed it
    /// busy. Only this entry knows of that slot, where no gate protects the endpoint.
    fn has_reusable_slot(&self, now: Timestamp) -> bool {
        let own_at_report = self.tracker.own_at_report();
        match self.path {
            EndpointPath::Agent => false,
            EndpointPath::Direct(_) if self.tracker.in_flight() >= own_at_report => false,
            // Its cost is compared with that of other endpoints first.
            EndpointPath::Direct(_) if self.tracker.speed().is_spared(now) => false,
            EndpointPath::Direct(_) => {
                let reported = own_at_report + self.tracker.recent_others(now);
                reported * BUSY_DIVISOR >= self.tracker.limit()
            }
        }
    }

    /// Requests that this entry may have in flight at the endpoint, including the extra capacity of
    /// the query.
    pub(crate) fn capacity(&self, query: &RouteQuery<'_>) -> u32 {
        self.limit(query.max_in_flight, query.now).saturating_add(query.extra_capacity)
    }

    fn is_eligible(&self, query: &RouteQuery<'_>) -> bool {
        let is_version = query.version.is_none_or(|version| self.version.as_ref() == Some(version));
        let allowed = if self.is_near { query.allowed } else { query.allowed_far };
        let is_allowed = allowed.is_none_or(|allowed| {
            self.version.as_ref().is_none_or(|version| allowed.contains(version))
        });
        self.tracker.in_flight() < self.capacity(query)
            && self.tracker.is_due(query.now)
            && self.tracker.backoff().is_due(query.now)
            && is_version
            && is_allowed
            && query.homes.contains(self.region.as_ref())
            && !query.excluded.contains(&self.instance)
    }

    pub(crate) fn is_usable(&self, query: &RouteQuery<'_>) -> bool {
        self.is_eligible(query) && !self.tracker.is_ejected(query.now) && !self.is_slow(query.now)
    }
}

impl ServiceRoutes {
    /// Creates the routes; `in_flight` counts this entry's requests at all endpoints together.
    pub fn new(candidates: Vec<RouteCandidate>, in_flight: Arc<AtomicU32>) -> Self {
        let near = candidates.iter().enumerate().filter(|(_, c)| c.is_near);
        let near = near.map(|(position, _)| position as u32).collect();
        let paced = candidates.iter().enumerate().filter(|(_, c)| c.tracker.is_paced());
        let paced = paced.map(|(position, _)| position as u32).collect();
        let positions =
            candidates.iter().enumerate().map(|(p, c)| (c.instance.clone(), p)).collect();
        let has_direct = candidates.iter().any(|c| matches!(c.path, EndpointPath::Direct(_)));
        let (ring, paths) = (OnceLock::new(), Vec::new());
        Self { candidates, near, paced, has_direct, positions, ring, in_flight, paths }
    }

    /// Adds paths, which are chosen only where no endpoint has capacity.
    pub fn with_paths(self, paths: Vec<Arc<PathCandidate>>) -> Self {
        Self { paths, ..self }
    }

    /// Count of this entry's in-flight requests at all endpoints.
    pub fn in_flight(&self) -> &Arc<AtomicU32> {
        &self.in_flight
    }

    /// Requests that this entry may have in flight at all endpoints together.
    pub fn capacity(&self, max_in_flight: u32, competitor: SlotCompetitor, now: Timestamp) -> u32 {
        let usable = self.candidates.iter();
        let usable = usable.filter(|c| !c.tracker.is_ejected(now) && !c.is_slow(now));
        let mut slots = SlotShare::new(competitor);
        for candidate in usable {
            let tracker = &candidate.tracker;
            match candidate.path {
                // Requests in progress there use no slots of the other endpoints.
                _ if !tracker.backoff().is_due(now) => slots.add_reserved(tracker.in_flight()),
                EndpointPath::Direct(_) if !tracker.is_paced() => {
                    let limit = tracker.limit().min(max_in_flight);
                    slots.add_endpoint(limit, tracker.own_at_report(), tracker.recent_others(now));
                }
                EndpointPath::Direct(_) | EndpointPath::Agent => {
                    slots.add_reserved(candidate.limit(max_in_flight, now));
                }
            }
        }
        for path in self.paths.iter().filter(|path| path.is_available(now)) {
            let tracker = &path.first().tracker;
            let limit = tracker.limit().min(max_in_flight);
            slots.add_endpoint(limit, tracker.own_at_report(), tracker.recent_others(now));
        }
        slots.capacity()
    }

    /// Part of the slots of the endpoints that is in use, by their last reports; zero without slots.
    pub fn used_fraction(&self, now: Timestamp) -> f64 {
        let used = |c: &RouteCandidate| c.tracker.own_at_report() + c.tracker.recent_others(now);
        let total: u32 = self.candidates.iter().map(|c| c.tracker.hard_limit()).sum();
        let used: u32 = self.candidates.iter().map(|c| used(c).min(c.tracker.hard_limit())).sum();
        f64::from(used) / f64::from(total.max(1))
    }

    /// Whether requests reach any of the endpoints directly.
    pub fn has_direct(&self) -> bool {
        self.has_direct
    }

    /// Number of endpoints that are slow by their own recent reports.
    pub fn slow_count(&self, now: Timestamp) -> usize {
        self.candidates.iter().filter(|c| c.tracker.speed().is_slow(now)).count()
    }

    /// Whether any endpoint or path serves a version that may answer.
    pub fn serves_any(&self, allowed: Option<&[ModelVersion]>, now: Timestamp) -> bool {
        let is_allowed = |candidate: &RouteCandidate| {
            let version = candidate.version.as_ref();
            allowed.is_none_or(|allowed| version.is_none_or(|version| allowed.contains(version)))
        };
        let available = self.paths.iter().filter(|path| path.is_available(now));
        let on_paths = available.map(|path| path.first());
        self.candidates.iter().chain(on_paths).any(is_allowed)
    }

    /// When the first endpoint may get a request again, if all have requested backoff.
    pub fn backoff_end(&self, now: Timestamp) -> Option<Deadline> {
        let end = |c: &RouteCandidate| {
            let next_at = c.tracker.backoff().next_at()?;
            (!c.tracker.backoff().is_due(now)).then_some(next_at)
        };
        let ends: Option<Vec<_>> = self.candidates.iter().map(end).collect();
        ends?.into_iter().min()
    }

    /// Records a failed attempt at `instance`; true if it was ejected.
    pub fn record_failure(&self, instance: &InstanceId, now: Timestamp) -> bool {
        let Some(position) = self.positions.get(instance) else {
            return false;
        };
        let cell = &self.candidates[*position].tracker;
        if !cell.record_failure() || cell.is_ejected(now) {
            return false;
        }
        // At most half of the endpoints are ejected. If more fail, the cause is elsewhere, and
        // sending all requests to the few that are left would overload them as well.
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
        let is_reusable = |c: &RouteCandidate| c.has_reusable_slot(query.now) && c.is_usable(query);
        if self.has_direct
            && let Some(candidate) = self.scan(rng, is_reusable)
        {
            return Some(self.choice(candidate, RouteReason::ReusedSlot, query));
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
        if let Some(choice) = self.choose_path(query, rng) {
            return Some(choice);
        }
        let slow = self.candidates.iter().filter(|c| c.is_slow(query.now)).count();
        // If most endpoints are slow, the cause is elsewhere and no better choice exists.
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

    /// An endpoint that advertises a rate limit and is due for a request, unless its cost exceeds
    /// that of `drawn` by more than the margin and it is not overdue.
    ///
    /// Sampling alone would leave most of such a limit unused, because the few entries that share
    /// it rarely sample the endpoint.
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

    /// Samples two near endpoints and one of all. If none is near, it samples only two of all: more
    /// samples would let many entries converge on the same few endpoints.
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

    /// First matching endpoint from a random start, so that entries do not all begin with the same
    /// one.
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
        let candidates = self.candidates.len();
        RouteChoice { candidate, reason, cost, candidates, layer_path: None }
    }

    /// The path of lower cost of two random ones, or else the first usable one from a random start.
    fn choose_path(&self, query: &RouteQuery<'_>, rng: &mut impl Rng) -> Option<RouteChoice<'_>> {
        if self.paths.is_empty() {
            return None;
        }
        let mut draw = || &self.paths[rng.random_range(0..self.paths.len())];
        let drawn = [draw(), draw()].into_iter().filter(|path| path.is_usable(query));
        let drawn = drawn.min_by_key(|path| path.first().cost(query.now));
        let scan = || {
            let (before, after) = self.paths.split_at(rng.random_range(0..self.paths.len()));
            after.iter().chain(before).find(|path| path.is_usable(query))
        };
        let path = drawn.or_else(scan)?;
        let choice = self.choice(path.first(), RouteReason::LayerPath, query);
        Some(RouteChoice { layer_path: Some(path), ..choice })
    }
}

impl RouteSnapshot {
    /// Creates a snapshot of the endpoints by service.
    pub fn new(services: HashMap<ServiceName, ServiceRoutes>) -> Self {
        Self { services }
    }

    /// Endpoints of one service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceRoutes> {
        self.services.get(service)
    }

    /// All services with their endpoints.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceRoutes)> {
        self.services.iter()
    }

    /// Whether the snapshot routes `service` to `instance` and lists it with `version`.
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

    /// Number of endpoints that get no requests now because they have requested backoff.
    pub fn backed_off(&self, now: Timestamp) -> usize {
        self.candidates().filter(|c| !c.tracker.backoff().is_due(now)).count()
    }

    /// Number of paths whose members all accept requests.
    pub fn available_paths(&self, now: Timestamp) -> usize {
        let paths = self.services.values().flat_map(|service| &service.paths);
        paths.filter(|path| path.is_available(now)).count()
    }

    /// All endpoints of all services.
    pub fn candidates(&self) -> impl Iterator<Item = &RouteCandidate> {
        self.services.values().flat_map(|service| &service.candidates)
    }

    /// Chooses an endpoint and counts the request there in one step.
    ///
    /// Two threads may choose the same last free slot at once. If both sent, the endpoint's gate
    /// would refuse one, this entry would lower its limit without a real overload, and requests
    /// admitted for the lost slots would find no endpoint.
    pub fn acquire<'a>(
        &'a self,
        query: &RouteQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<RouteChoice<'a>> {
        loop {
            let choice = self.choose(query, rng)?;
            let (candidate, now) = (choice.candidate, query.now);
            let is_acquired = match choice.layer_path {
                Some(path) => path.try_acquire(query),
                None => candidate.tracker.try_acquire_paced(candidate.capacity(query), now),
            };
            if is_acquired {
                return Some(choice);
            }
        }
    }

    /// Chooses an endpoint without counting the request there.
    pub fn choose<'a>(
        &'a self,
        query: &RouteQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<RouteChoice<'a>> {
        let service = self.services.get(query.service)?;
        service.choose(query, rng).or_else(|| service.choose_path(query, rng))
    }
}
