//! State shared by the components of an entry.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use cassiawheel_decide::{
    Adoption, ByteBudget, EndpointPace, EndpointPath, EndpointRoster, EntryRoster, PresetHolder,
    RetryBudget, RouteCandidate, RouteSnapshot, ServiceRoutes, SlotCompetitor, StartHold,
    answer_times::excess_start, rank::subject_of,
};
use cassiawheel_edge::{TableStore, WeightSource};
use cassiawheel_model::{
    Deadline, EndpointState, ForcedPreset, InstanceId, LoadReport, ModelVersion, OriginPlace,
    PresetRevision, Repeatability, RequestId, ServiceName, Timestamp, settings::EntrySettings,
};
use cassiawheel_wire::{HelloMessage, ProcessKind, WireSender};

use crate::{
    admin::progress::ProgressSamples,
    caller::EntryAdmission,
    control::{peers, staging::StagingRow, store::MeteredTable},
    counters::CounterRegistry,
    demand::DemandMonitor,
    limits::cold_bound,
    link::AgentLink,
    metrics::EntryMetrics,
    paths::{PathMonitor, PathSources, ServicePaths},
    route_times::RouteTimes,
    routed::{RoutedState, direct_candidates, reports_by_endpoint},
    shutdown::ShutdownPlan,
};

/// Longest time for which a starting entry waits for all sources of presets.
const START_HOLD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a request may still start at an engine whose version gets no new requests.
///
/// New requests stop 900 ms before the version may no longer answer. A request that waits in a full
/// engine's queue for longer than this would start too late.
const MAX_START_DELAY: Duration = Duration::from_millis(550);

/// Time within which agents connect to an entry that has started.
const AGENT_CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// State shared by the components of an entry.
pub(crate) struct EntryShared {
    /// Settings of the entry.
    pub(crate) settings: EntrySettings,
    /// Distinguishes this process from earlier ones of the same instance.
    pub(crate) incarnation: u64,
    /// Client of the table service.
    pub(crate) table: Arc<dyn TableStore>,
    /// Origin of model weights.
    pub(crate) origin: Arc<dyn WeightSource>,
    /// Metrics of the entry.
    pub(crate) metrics: EntryMetrics,
    /// Endpoints that requests may be routed to; read without a lock.
    pub(crate) routes: ArcSwap<RouteSnapshot>,
    admissions: ArcSwap<HashMap<ServiceName, Arc<EntryAdmission>>>,
    /// Connections to agents; read without a lock.
    pub(crate) links: ArcSwap<HashMap<InstanceId, Arc<AgentLink>>>,
    /// The active preset; read without a lock.
    pub(crate) active_preset: ArcSwapOption<ForcedPreset>,
    /// Row that names the preset to stage ahead of its activation.
    pub(crate) staging: ArcSwapOption<StagingRow>,
    /// Whether reports or the preset have changed since orders were last planned.
    pub(crate) plan_stale: AtomicBool,
    /// The same client as `table`, with its health.
    pub(crate) store: Arc<MeteredTable>,
    /// Progress of services towards their versions, for forecasts.
    pub(crate) progress: Mutex<ProgressSamples>,
    /// Additional state where callers are routed by a route table.
    pub(crate) routed: Option<Arc<RoutedState>>,
    /// Demand for services and this entry's shares of their slots.
    pub(crate) demand: DemandMonitor,
    default_retries: Arc<RetryBudget>,
    /// Bytes of callers' request bodies in memory.
    pub(crate) buffered: Arc<ByteBudget>,
    /// Bytes of endpoints' responses in memory.
    pub(crate) buffered_answers: Arc<ByteBudget>,
    /// Number of callers' requests in progress.
    pub(crate) in_flight: AtomicU32,
    /// Whether this entry is leaving.
    pub(crate) leaving: AtomicBool,
    /// Which requests are accepted until the process ends.
    pub(crate) shutdown: ShutdownPlan,
    /// Times until responses to requests that run at most once began.
    pub(crate) starts: RouteTimes,
    advised: AtomicBool,
    holder: Mutex<PresetHolder>,
    start_hold_over: AtomicBool,
    start_hold: Mutex<StartHold>,
    roster: Mutex<EndpointRoster>,
    counters: Mutex<CounterRegistry>,
    peers: Mutex<EntryRoster>,
    peer_links: Mutex<Vec<PeerLink>>,
    requests: AtomicU64,
    /// Paths through endpoints that hold a part of the layers each.
    pub(crate) paths: PathMonitor,
}

/// Ratio of the memory for buffered requests to that for buffered responses.
const ANSWER_DIVISOR: usize = 4;

impl EntryShared {
    /// Creates the state of a process that has just started.
    pub(crate) fn new(
        settings: EntrySettings,
        table: Arc<dyn TableStore>,
        origin: Arc<dyn WeightSource>,
        metrics: EntryMetrics,
        routed: Option<Arc<RoutedState>>,
    ) -> Self {
        let now = Timestamp::now();
        // Where the operators' rows can be followed, their first read is the newest state; other
        // entries receive it later.
        let mut sources = match &routed {
            Some(_) => Vec::new(),
            None => peers::dialled_peers(&settings),
        };
        sources.push(settings.platform.table);
        let store = Arc::new(MeteredTable::new(table, &settings.control, &metrics));
        Self {
            demand: DemandMonitor::new(&settings.place.instance),
            buffered: ByteBudget::new(settings.limits.buffer_mb << 20),
            buffered_answers: ByteBudget::new((settings.limits.buffer_mb << 20) / ANSWER_DIVISOR),
            settings,
            incarnation: now.0,
            table: store.clone(),
            origin,
            metrics,
            routes: ArcSwap::default(),
            admissions: ArcSwap::default(),
            links: ArcSwap::default(),
            active_preset: ArcSwapOption::empty(),
            staging: ArcSwapOption::empty(),
            plan_stale: AtomicBool::new(false),
            store,
            progress: Mutex::default(),
            routed,
            default_retries: Arc::default(),
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            shutdown: ShutdownPlan::default(),
            starts: RouteTimes::default(),
            advised: AtomicBool::new(false),
            holder: Mutex::default(),
            start_hold_over: AtomicBool::new(false),
            start_hold: Mutex::new(StartHold::new(sources, now.deadline_after(START_HOLD_TIMEOUT))),
            roster: Mutex::default(),
            counters: Mutex::default(),
            peers: Mutex::default(),
            peer_links: Mutex::default(),
            requests: AtomicU64::new(0),
            paths: PathMonitor::default(),
        }
    }

    /// Locks the roster of known endpoints.
    pub(crate) fn roster(&self) -> MutexGuard<'_, EndpointRoster> {
        self.roster.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Locks the roster of other known entries.
    pub(crate) fn peers(&self) -> MutexGuard<'_, EntryRoster> {
        self.peers.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Locks the start hold: the preset sources that this entry waits for when it starts.
    pub(crate) fn start_hold(&self) -> MutexGuard<'_, StartHold> {
        self.start_hold.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Locks the connections to other entries, whichever end dialled.
    pub(crate) fn peer_links(&self) -> MutexGuard<'_, Vec<PeerLink>> {
        self.peer_links.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Returns the first message on a connection to another process.
    pub(crate) fn hello(&self) -> HelloMessage {
        HelloMessage {
            kind: ProcessKind::Entry,
            instance: self.settings.place.instance.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Whether this entry is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Whether this process stood still since `since`, so that what it measured shows nothing of others.
    pub(crate) fn stood_still_since(&self, since: Timestamp) -> bool {
        let pauses = self.routed.as_ref().map(|routed| &routed.freshness.pauses);
        pauses.is_some_and(|pauses| pauses.stood_still_since(since, Timestamp::now()))
    }

    /// Returns the origin of weights if the active preset names one.
    pub(crate) fn origin_place(&self) -> Option<OriginPlace> {
        let active_preset = self.active_preset.load();
        let mut services = active_preset.as_ref()?.content.services.values();
        services.find_map(|target| target.engine.as_ref()?.origin.clone())
    }

    /// Returns the number of entries that rank before this one for work that one entry does for
    /// all.
    pub(crate) fn own_rank(&self) -> u32 {
        let own = &self.settings.place.instance;
        self.peers().iter().filter(|(instance, _)| *instance < own).count() as u32
    }

    /// Returns the budget for retries of requests to `service`.
    pub(crate) fn retry_budget(&self, service: &ServiceName) -> Arc<RetryBudget> {
        match &self.routed {
            Some(routed) => routed.retry_budget(service, self.peers().values().count() + 1),
            None => self.default_retries.clone(),
        }
    }

    /// Returns this entry as one of those that use the endpoints of `service`.
    pub(crate) fn slot_competitor(&self, service: &ServiceName, now: Timestamp) -> SlotCompetitor {
        let instance_hash = subject_of(self.settings.place.instance.as_str());
        SlotCompetitor::new(self.peers().values().count() + 1, instance_hash, now)
            .with_fraction(self.demand.fraction(service, now))
    }

    /// Returns the only versions that may answer requests for `service` now.
    ///
    /// None unless a newer version was named long enough ago that older ones may no longer answer.
    pub(crate) fn allowed_versions(
        &self,
        service: &ServiceName,
        now: Timestamp,
    ) -> Option<Vec<ModelVersion>> {
        let routed = self.routed.as_ref()?;
        let active_preset = self.active_preset.load();
        let target = active_preset.as_ref()?.content.services.get(service)?;
        routed.allowed_versions(target, now)
    }

    /// Returns until when an older version must be allowed for a request that is sent at `now`.
    ///
    /// A request that is repeated is withdrawn if it has not begun in time. One that runs at most once
    /// is not, so it is sent to an older version only if it is expected to begin early enough.
    pub(crate) fn begins_at(
        &self,
        route: &str,
        repeat: Repeatability,
        now: Timestamp,
    ) -> Timestamp {
        let longest = match repeat {
            Repeatability::Idempotent => None,
            Repeatability::AtMostOnce => self.starts.longest(route),
        };
        Timestamp(now.deadline_after(excess_start(longest, MAX_START_DELAY)).0)
    }

    /// Returns the time by which a response from `version` to a request for `service` must start.
    pub(crate) fn start_by(
        &self,
        service: &ServiceName,
        version: Option<&ModelVersion>,
    ) -> Option<Deadline> {
        let routed = self.routed.as_ref()?;
        let active_preset = self.active_preset.load();
        let engine = active_preset.as_ref()?.content.services.get(service)?.engine.as_ref()?;
        let expires_at = routed.versions.load().expires_at(&engine.model, version?)?;
        Some(Timestamp(expires_at.0).deadline_after(MAX_START_DELAY))
    }

    /// Returns a request id that no other request has.
    pub(crate) fn next_request_id(&self) -> anyhow::Result<RequestId> {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let instance = &self.settings.place.instance;
        Ok(RequestId::new(&format!("{instance}-{:x}-{number:x}", self.incarnation))?)
    }

    /// Offers a preset; true if it became active.
    pub(crate) fn offer_preset(&self, preset: &Arc<ForcedPreset>) -> bool {
        let mut holder = self.holder();
        match holder.offer(preset.clone()) {
            Adoption::Adopted if self.start_hold_over.load(Ordering::Acquire) => {
                self.publish(preset);
                true
            }
            Adoption::Conflicting => {
                let revision = preset.revision.0;
                log::error!(target: "preset", revision = revision; "Two presets have the same revision.");
                false
            }
            Adoption::Adopted | Adoption::Unchanged | Adoption::Stale => false,
        }
    }

    /// Ends the start hold and returns the preset that became active, if one is known.
    pub(crate) fn end_start_hold(&self) -> Option<Arc<ForcedPreset>> {
        let holder = self.holder();
        self.start_hold_over.store(true, Ordering::Release);
        let preset = holder.current()?.clone();
        self.publish(&preset);
        Some(preset)
    }

    /// Whether callers may be advised to use this entry.
    ///
    /// An entry that has just started has no preset, and then no endpoints until agents have
    /// reconnected, so it would refuse all requests. Once it has had endpoints it stays advised:
    /// without an endpoint of some service it does no worse than its peers.
    pub(crate) fn is_advised(&self) -> bool {
        if self.advised.load(Ordering::Relaxed) {
            return true;
        }
        let advised = self.has_endpoints();
        self.advised.store(advised, Ordering::Relaxed);
        advised
    }

    /// Whether a preset is active and each of its services has an endpoint, or the time for agents
    /// to connect has passed.
    fn has_endpoints(&self) -> bool {
        let active_preset = self.active_preset.load();
        let Some(preset) = active_preset.as_ref() else {
            return false;
        };
        let started_at = Timestamp(self.incarnation);
        if Timestamp::now().since(started_at) > AGENT_CONNECT_TIMEOUT {
            return true;
        }
        if let Some(routed) = &self.routed {
            return routed.listing().position() > 0;
        }
        let roster = self.roster();
        preset.content.services.keys().all(|service| {
            roster.members().any(|member| {
                member.report.service == *service
                    && matches!(member.report.state, EndpointState::Serving { .. })
            })
        })
    }

    /// Returns the highest known revision, even if it is not active yet.
    pub(crate) fn known_revision(&self) -> PresetRevision {
        self.holder().revision()
    }

    fn holder(&self) -> MutexGuard<'_, PresetHolder> {
        self.holder.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Activates a preset.
    ///
    /// Called with the lock of the holder, so that two offers cannot publish in reverse order of
    /// their revisions.
    fn publish(&self, preset: &Arc<ForcedPreset>) {
        let revision = preset.revision.0;
        if let Some(routed) = &self.routed {
            routed.apply_preset(preset);
        }
        self.active_preset.store(Some(preset.clone()));
        if self.routed.is_some() {
            // The list may be known already; without a rebuild its endpoints would get no requests
            // until the list changes.
            self.rebuild_routes();
        }
        self.plan_stale.store(true, Ordering::Release);
        self.metrics.revision.set(revision as i64);
        log::info!(target: "preset", revision = revision, preset:% = preset.preset, change:% = preset.change; "Activated a preset.");
    }

    /// Adds the connection to an agent.
    pub(crate) fn add_link(&self, link: Arc<AgentLink>) {
        self.links.rcu(|links| {
            let mut links = HashMap::clone(links);
            links.insert(link.instance.clone(), link.clone());
            links
        });
    }

    /// Removes the connection to an agent unless a newer one has replaced it.
    pub(crate) fn remove_link(&self, link: &Arc<AgentLink>) {
        self.links.rcu(|links| {
            let mut links = HashMap::clone(links);
            if links.get(&link.instance).is_some_and(|current| Arc::ptr_eq(current, link)) {
                links.remove(&link.instance);
            }
            links
        });
        // The agent may have reconnected before the end of the old connection was noticed. Without
        // this check it would be missing until its next report.
        if let Some(routed) = &self.routed {
            // Another entry may still be connected to the agent.
            routed.overlay.notify_change();
        } else if !self.links.load().contains_key(&link.instance) {
            self.roster().remove(&link.instance, link.incarnation);
            self.rebuild_routes();
        }
    }

    /// Returns the admission queue of a service.
    pub(crate) fn admission(&self, service: &ServiceName) -> Arc<EntryAdmission> {
        if let Some(admission) = self.admissions.load().get(service) {
            return admission.clone();
        }
        let metrics = self.metrics.admission.service(service);
        let max_waiting = self.settings.caller.queue_length;
        let new_admission = Arc::new(EntryAdmission::new(max_waiting, metrics));
        self.admissions.rcu(|known| {
            let mut known = HashMap::clone(known);
            known.entry(service.clone()).or_insert_with(|| new_admission.clone());
            known
        });
        self.admissions.load().get(service).cloned().unwrap_or(new_admission)
    }

    /// Updates the load of an endpoint from a message of its agent.
    pub(crate) fn update_load(&self, agent: &InstanceId, load: &LoadReport, limit: u32) {
        // The clocks of two machines differ, so the age is measured by the local clock.
        let load = LoadReport { measured_at: Timestamp::now(), ..*load };
        let Some(routed) = &self.routed else {
            self.counters().endpoint(agent).apply_report(&load, limit);
            return;
        };
        let roster = self.roster();
        let Some(report) = roster.member(agent).map(|member| &member.report) else {
            return;
        };
        let listing = routed.listing();
        let listed = report.endpoint_addr.and_then(|addr| listing.latest_at(&report.service, addr));
        let Some(instance) = listed.map(|listed| listed.instance.clone()) else {
            return;
        };
        drop((listing, roster));
        let tracker = self.counters().endpoint(&instance);
        tracker.apply_report(&load, tracker.hard_limit());
        tracker.record_heard(load.measured_at);
    }

    /// Removes an endpoint from the list because another process answers at its address.
    pub(crate) fn drop_listed(&self, instance: &InstanceId) {
        let Some(routed) = &self.routed else {
            return;
        };
        let is_new = routed.listing().forget(instance);
        if is_new {
            log::info!(target: "list", endpoint:% = instance; "Another process answers at the address of an endpoint.");
            self.rebuild_routes();
        }
    }

    /// Publishes a snapshot of the endpoints that requests may be routed to.
    pub(crate) fn rebuild_routes(&self) {
        let roster = self.roster();
        let mut counters = self.counters();
        let (mut services, mut paths) = match &self.routed {
            Some(routed) => self.listed_candidates(routed, &roster, &mut counters),
            None => (self.reported_candidates(&roster, &mut counters), ServicePaths::new()),
        };
        for service in paths.keys() {
            services.entry(service.clone()).or_default();
        }
        let candidates = services.values().flatten().map(|candidate| &candidate.instance);
        let members = paths.values().flatten().flat_map(|path| path.path().members());
        let instances: HashSet<_> = candidates.chain(members.map(|m| &m.instance)).collect();
        counters.withdraw_others(|instance| instances.contains(instance));
        counters.drop_unused(Timestamp::now());
        let routed = services.into_iter().map(|(service, candidates)| {
            let in_flight = counters.service(&service);
            let paths = paths.remove(&service).unwrap_or_default();
            (service, ServiceRoutes::new(candidates, in_flight).with_paths(paths))
        });
        let snapshot = RouteSnapshot::new(routed.collect());
        // Stored while the roster is locked: a snapshot from before an endpoint began to leave must
        // not replace one from after it.
        self.routes.store(Arc::new(snapshot));
    }

    /// Returns the endpoints whose agents report that they serve.
    fn reported_candidates(
        &self,
        roster: &EndpointRoster,
        counters: &mut CounterRegistry,
    ) -> ServiceCandidates {
        let own_domain = &self.settings.place.failure_domain;
        let mut services = ServiceCandidates::new();
        for member in roster.members().filter(|member| !roster.is_leaving(member)) {
            let report = &member.report;
            let EndpointState::Serving { version, .. } = &report.state else {
                continue;
            };
            let tracker = counters.endpoint(&report.instance);
            if tracker.limit() == 0 {
                tracker.apply_report(&report.load, report.limit);
            }
            services.entry(report.service.clone()).or_default().push(RouteCandidate {
                instance: report.instance.clone(),
                version: version.clone(),
                is_near: report.failure_domain == *own_domain,
                region: Some(report.region.clone()),
                path: EndpointPath::Agent,
                born_at: None,
                tracker,
            });
        }
        services
    }

    /// Returns the endpoints in the platform's list that serve, and the paths through others.
    fn listed_candidates(
        &self,
        routed: &RoutedState,
        roster: &EndpointRoster,
        counters: &mut CounterRegistry,
    ) -> (ServiceCandidates, ServicePaths) {
        let mut services = ServiceCandidates::new();
        let Some(preset) = self.active_preset.load_full() else {
            return (services, ServicePaths::new());
        };
        let mut counters_by_agent = HashMap::new();
        let reports = reports_by_endpoint(roster.routing_reports());
        let listing = routed.listing();
        let evacuations = routed.evacuations();
        let now = Timestamp::now();
        routed.departures.observe_rows(&listing, now);
        let departures = routed.departures.table();
        for candidate in direct_candidates(&listing, &preset, &reports) {
            let listed = candidate.listed;
            if departures.is_leaving(&listed.instance, listed.born_at) {
                continue;
            }
            if evacuations.is_evacuated(&listed.failure_domain) {
                continue;
            }
            if counters.processes.observe_start(&listed.instance, listed.born_at) {
                counters.reset(&listed.instance);
                routed.direct.retain_listed(|instance| *instance != listed.instance);
            }
            let tracker = counters.endpoint(&listed.instance);
            tracker.set_hard_limit(candidate.limit);
            if let (Some(born_at), Some(warm_up)) =
                (listed.born_at, routed.warm_up(&listed.service))
            {
                tracker.speed().set_warm_up(born_at, warm_up, now);
            }
            let region = routed.settings.regions.get(&listed.failure_domain).cloned();
            if let Some(region) = &region {
                let own = &self.settings.place.region;
                tracker.set_region(routed.region_delays(&listed.service, region, own));
            }
            if !tracker.is_paced()
                && cold_bound(routed, &listing, &evacuations, listed, now).is_some()
            {
                // No request is sent until this entry's share of the limit is known.
                tracker.set_pace(Some(EndpointPace::ZERO), now);
                routed.limits.notify_cold();
            }
            if let Some(report) = reports.get(&listed.addr) {
                counters_by_agent.insert(subject_of(report.instance.as_str()), tracker.clone());
            }
            services.entry(listed.service.clone()).or_default().push(RouteCandidate {
                instance: listed.instance.clone(),
                version: candidate.version,
                is_near: routed.settings.near_domains.contains(&listed.failure_domain),
                region,
                path: EndpointPath::Direct(listed.addr),
                born_at: listed.born_at,
                tracker,
            });
        }
        let sources = PathSources {
            routed,
            preset: &preset,
            own_region: &self.settings.place.region,
            roster,
            reports: &reports,
            listing: &listing,
            evacuations: &evacuations,
            departures: &departures,
            now,
        };
        let paths = self.paths.form(&sources, counters, &mut counters_by_agent);
        let listed: HashSet<_> = listing.endpoints().map(|listed| &listed.instance).collect();
        routed.direct.retain_listed(|instance| listed.contains(instance));
        counters.processes.keep_only(|instance| listed.contains(instance));
        routed.counters_by_agent.store(Arc::new(counters_by_agent));
        (services, paths)
    }

    fn counters(&self) -> MutexGuard<'_, CounterRegistry> {
        self.counters.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

/// A connection to another entry.
pub(crate) struct PeerLink {
    /// Sender of messages to the other entry.
    pub(crate) sender: WireSender,
    /// Inner address of the other entry, once its heartbeat has stated it.
    pub(crate) addr: Option<SocketAddr>,
}

/// Candidates by service.
type ServiceCandidates = HashMap<ServiceName, Vec<RouteCandidate>>;
