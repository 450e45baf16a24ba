//! Paths through endpoints that have loaded a part of the layers each.
//!
//! `reports, list of endpoints → holders → paths → route snapshot`
//!
//! Used where the engine profile of the active preset names more than one layer.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cassiawheel_decide::{
    DepartureTable, EndpointListing, EndpointRoster, EndpointTracker, EvacuationTable, LayerHolder,
    MemberState, PathCandidate, form_paths, rank::subject_of,
};
use cassiawheel_model::{
    Deadline, EndpointReport, EndpointState, ForcedPreset, InstanceId, LayerPath, ListedEndpoint,
    LoadedLayers, PathMember, RegionName, ServiceName, Timestamp,
};

use crate::{
    counters::CounterRegistry, limits::cold_bound, routed::RoutedState, shared::EntryShared,
};

/// Interval at which paths are formed again while a holder is cold or has a rate limit.
///
/// Neither ends with a message; both last for seconds.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Paths by service.
pub(crate) type ServicePaths = HashMap<ServiceName, Vec<Arc<PathCandidate>>>;

/// State from which paths are formed.
pub(crate) struct PathSources<'a> {
    /// State of the entry with the route table.
    pub(crate) routed: &'a RoutedState,
    /// The active preset.
    pub(crate) preset: &'a ForcedPreset,
    /// Region of the entry.
    pub(crate) own_region: &'a RegionName,
    /// Endpoints whose agents are connected to an entry.
    pub(crate) roster: &'a EndpointRoster,
    /// Their reports by the address of the endpoint.
    pub(crate) reports: &'a HashMap<SocketAddr, &'a EndpointReport>,
    /// The list of endpoints.
    pub(crate) listing: &'a EndpointListing,
    /// Evacuations that operators have ordered.
    pub(crate) evacuations: &'a EvacuationTable,
    /// Endpoints that leave.
    pub(crate) departures: &'a DepartureTable,
    /// Current time.
    pub(crate) now: Timestamp,
}

/// Why an endpoint with loaded layers is no member of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exclusion {
    /// Its failure domain is evacuated.
    Evacuated,
    /// Two agents report about its address, and it is unknown which report applies.
    ReportedTwice,
    /// It leaves.
    Leaving,
    /// It tolerates a low rate of requests only.
    Cold,
    /// It advertises a rate limit.
    Limited,
    /// Its agent has not reported recently.
    Expired,
    /// It has refused to be one just before.
    Refused,
}

impl Exclusion {
    fn as_str(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::ReportedTwice => "reported-twice",
            Self::Leaving => "leaving",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Expired => "expired",
            Self::Refused => "refused",
        }
    }
}

/// An endpoint with loaded layers, as of the last formation of paths.
struct WatchedHolder {
    instance: InstanceId,
    tracker: Arc<EndpointTracker>,
    may_join: bool,
    exclusion: Option<Exclusion>,
}

#[derive(Default)]
struct PathState {
    /// Members of the paths of the last snapshot, by the text of the path.
    formed: BTreeMap<String, Vec<InstanceId>>,
    holders: Vec<WatchedHolder>,
    /// When paths have to be formed again although nothing was reported.
    recheck_at: Option<Deadline>,
}

/// Forms the paths and keeps those of the last snapshot.
#[derive(Default)]
pub(crate) struct PathMonitor {
    state: Mutex<PathState>,
    /// Whether any endpoint has loaded a part of the layers.
    has_holders: AtomicBool,
}

impl PathMonitor {
    fn state(&self) -> MutexGuard<'_, PathState> {
        self.state.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Forms the paths of all services, and adds the trackers of their holders by agent.
    pub(crate) fn form(
        &self,
        sources: &PathSources<'_>,
        counters: &mut CounterRegistry,
        by_agent: &mut HashMap<u64, Arc<EndpointTracker>>,
    ) -> ServicePaths {
        let mut formation = PathFormation::default();
        let is_known = |service: &ServiceName| layers_of(sources.preset, service) > 1;
        if sources.preset.content.services.keys().any(is_known) {
            formation.reported_twice = reported_twice(sources.roster);
            for listed in sources.listing.latest_per_addr(is_known) {
                let report = sources.reports.get(&listed.addr).copied();
                let Some(report) = report else {
                    continue;
                };
                let tracker = match held_layers(report, listed) {
                    Some(layers) => formation.add(sources, counters, listed, layers),
                    // Its loads count as soon as it reports layers.
                    None => counters.endpoint(&listed.instance),
                };
                by_agent.insert(subject_of(report.instance.as_str()), tracker);
            }
        }
        let paths = formation.paths(sources.preset);
        self.replace(formation, &paths, sources.now);
        paths
    }

    fn replace(&self, formation: PathFormation, paths: &ServicePaths, now: Timestamp) {
        let mut state = self.state();
        let formed = paths.values().flatten().map(|path| {
            let members = path.path().members().iter().map(|member| member.instance.clone());
            (path.path().to_string(), members.collect())
        });
        let formed: BTreeMap<String, Vec<InstanceId>> = formed.collect();
        for path in formed.keys().filter(|path| !state.formed.contains_key(*path)) {
            log::info!(target: "path", path = path.as_str(), paths = formed.len(); "A path was formed.");
        }
        for (path, members) in state.formed.iter().filter(|(path, _)| !formed.contains_key(*path)) {
            let (member, reason) = drop_reason(members, &formation.holders);
            log::info!(target: "path", path = path.as_str(), member = member, reason = reason, paths = formed.len(); "A path was dropped.");
        }
        let is_passing = |holder: &WatchedHolder| {
            matches!(holder.exclusion, Some(Exclusion::Cold | Exclusion::Limited))
        };
        let recheck = formation.holders.iter().any(is_passing);
        self.has_holders.store(!formation.holders.is_empty(), Ordering::Release);
        state.recheck_at = recheck.then(|| now.deadline_after(RECHECK_INTERVAL));
        state.formed = formed;
        state.holders = formation.holders;
    }

    /// Whether paths have to be formed again, since an endpoint has begun or ceased to count.
    fn is_stale(&self, routed: &RoutedState, now: Timestamp) -> bool {
        let state = self.state();
        if state.recheck_at.is_some_and(|recheck_at| recheck_at.is_past(now)) {
            return true;
        }
        let rate_limits = routed.limits.rate_limits();
        state.holders.iter().any(|holder| {
            let is_new_limit = holder.exclusion.is_none()
                && rate_limits.contains(subject_of(holder.instance.as_str()));
            holder.tracker.may_join_path(now) != holder.may_join || is_new_limit
        })
    }
}

/// Marks the routes as stale if an endpoint has begun or ceased to count as a member of a path, and
/// updates the number of available paths.
pub(crate) fn refresh_paths(shared: &EntryShared, routed: &RoutedState, now: Timestamp) {
    if !shared.paths.has_holders.load(Ordering::Acquire) {
        shared.metrics.paths.set(0);
        return;
    }
    if shared.paths.is_stale(routed, now) {
        routed.overlay.routes_stale.store(true, Ordering::Release);
    }
    shared.metrics.paths.set(shared.routes.load().available_paths(now) as i64);
}

/// Number of layers of a service's model; 0 or 1 if engines load whole models only.
fn layers_of(preset: &ForcedPreset, service: &ServiceName) -> u32 {
    let target = preset.content.services.get(service);
    target.and_then(|target| target.engine.as_ref()).map_or(0, |engine| engine.layers)
}

/// Layers that requests may use at an endpoint that does not serve.
fn held_layers<'a>(
    report: &'a EndpointReport,
    listed: &ListedEndpoint,
) -> Option<&'a LoadedLayers> {
    let is_idle = match report.state {
        EndpointState::Empty | EndpointState::Switching => true,
        EndpointState::Serving { .. } | EndpointState::Draining => false,
    };
    report.layers.as_ref().filter(|_| is_idle && report.service == listed.service)
}

/// Addresses of endpoints about which two agents report.
fn reported_twice(roster: &EndpointRoster) -> HashSet<SocketAddr> {
    let mut known = HashSet::new();
    let addrs = roster.members().filter_map(|member| member.report.endpoint_addr);
    addrs.filter(|addr| !known.insert(*addr)).collect()
}

/// First member of a dropped path that is no holder any more or excluded, and why.
fn drop_reason<'a>(
    members: &'a [InstanceId],
    holders: &[WatchedHolder],
) -> (&'a str, &'static str) {
    for member in members {
        match holders.iter().find(|holder| holder.instance == *member) {
            None => return (member.as_str(), "no-layers"),
            Some(WatchedHolder { exclusion: Some(exclusion), .. }) => {
                return (member.as_str(), exclusion.as_str());
            }
            Some(WatchedHolder { exclusion: None, .. }) => {}
        }
    }
    ("", "paired-anew")
}

/// Holders that were found while a snapshot is built.
#[derive(Default)]
struct PathFormation {
    holders: Vec<WatchedHolder>,
    members: HashMap<ServiceName, Vec<LayerHolder>>,
    /// Addresses about which two agents report.
    reported_twice: HashSet<SocketAddr>,
    states: HashMap<InstanceId, MemberState>,
}

impl PathFormation {
    /// Adds an endpoint with loaded layers and returns its tracker.
    fn add(
        &mut self,
        sources: &PathSources<'_>,
        counters: &mut CounterRegistry,
        listed: &ListedEndpoint,
        layers: &LoadedLayers,
    ) -> Arc<EndpointTracker> {
        let routed = sources.routed;
        if counters.processes.observe_start(&listed.instance, listed.born_at) {
            counters.reset(&listed.instance);
            routed.direct.retain_listed(|instance| *instance != listed.instance);
        }
        let tracker = counters.endpoint(&listed.instance);
        tracker.set_hard_limit(listed.slots);
        let region = routed.settings.regions.get(&listed.failure_domain).cloned();
        if let Some(region) = &region {
            let delays = routed.region_delays(&listed.service, region, sources.own_region);
            tracker.set_region(delays);
        }
        let exclusion = match self.reported_twice.contains(&listed.addr) {
            true => Some(Exclusion::ReportedTwice),
            false => exclusion(sources, listed, &tracker),
        };
        if exclusion.is_none() {
            // A pace from before the layers were loaded is updated for whole endpoints only.
            tracker.set_pace(None, sources.now);
            let member = PathMember {
                instance: listed.instance.clone(),
                addr: listed.addr,
                born_at: listed.born_at,
                version: layers.version.clone(),
                range: layers.range,
            };
            let holder = LayerHolder { member, region: region.clone() };
            self.members.entry(listed.service.clone()).or_default().push(holder);
            let is_near = routed.settings.near_domains.contains(&listed.failure_domain);
            let state = MemberState { region, is_near, tracker: tracker.clone() };
            self.states.insert(listed.instance.clone(), state);
        }
        self.holders.push(WatchedHolder {
            instance: listed.instance.clone(),
            tracker: tracker.clone(),
            may_join: tracker.may_join_path(sources.now),
            exclusion,
        });
        tracker
    }

    fn paths(&self, preset: &ForcedPreset) -> ServicePaths {
        let of_service = |(service, holders): (&ServiceName, &Vec<LayerHolder>)| {
            let paths = form_paths(layers_of(preset, service), holders);
            let paths: Vec<_> = paths.into_iter().filter_map(|path| self.candidate(path)).collect();
            (service.clone(), paths)
        };
        self.members.iter().map(of_service).filter(|(_, paths)| !paths.is_empty()).collect()
    }

    fn candidate(&self, path: LayerPath) -> Option<Arc<PathCandidate>> {
        let states = path.members().iter().map(|m| self.states.get(&m.instance).cloned());
        let states = states.collect::<Option<Vec<_>>>()?;
        PathCandidate::new(path, states).map(Arc::new)
    }
}

/// Why an endpoint with loaded layers is no member of a path now.
fn exclusion(
    sources: &PathSources<'_>,
    listed: &ListedEndpoint,
    tracker: &EndpointTracker,
) -> Option<Exclusion> {
    let (routed, now) = (sources.routed, sources.now);
    let subject = subject_of(listed.instance.as_str());
    let is_leaving =
        listed.is_leaving || sources.departures.is_leaving(&listed.instance, listed.born_at);
    if is_leaving {
        Some(Exclusion::Leaving)
    } else if sources.evacuations.is_evacuated(&listed.failure_domain) {
        Some(Exclusion::Evacuated)
    } else if cold_bound(routed, sources.listing, sources.evacuations, listed, now).is_some() {
        Some(Exclusion::Cold)
    } else if routed.limits.rate_limits().contains(subject) {
        Some(Exclusion::Limited)
    } else if !tracker.is_heard(now) {
        Some(Exclusion::Expired)
    } else if !tracker.may_join_path(now) {
        Some(Exclusion::Refused)
    } else {
        None
    }
}
