//! State that the parts of an entry share.

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
    Adoption, EndpointPath, EndpointRoster, EntryRoster, PresetHolder, RetryBudget, RouteCandidate,
    RouteSnapshot, ServiceRoutes, StartHold, rank::subject_of,
};
use cassiawheel_edge::{TableStore, WeightSource};
use cassiawheel_model::{
    Deadline, EndpointState, ForcedPreset, InstanceId, LoadReport, ModelVersion, OriginPlace,
    PresetRevision, RequestId, ServiceName, Timestamp, settings::EntrySettings,
};
use cassiawheel_wire::{HelloMessage, ProcessKind, WireSender};

use crate::{
    admin::progress::ProgressMarks,
    caller::EntryAdmission,
    control::{peers, staging::StagingRow, store::MeteredTable},
    counters::CounterRegistry,
    link::AgentLink,
    metrics::EntryMetrics,
    routed::{RoutedState, direct_candidates, reports_by_endpoint},
};

/// Longest time for which an entry that starts waits for every source of presets.
const START_HOLD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a request may still begin at an engine whose version gets no new ones.
///
/// New requests stop 900 ms before the version may not answer any more. One that
/// waits in a full engine's queue for longer than that would begin too late.
const MAX_START_DELAY: Duration = Duration::from_millis(550);

/// Time within which agents connect to an entry that has started.
const AGENT_CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Everything that the parts of an entry share.
pub(crate) struct EntryShared {
    /// The settings.
    pub(crate) settings: EntrySettings,
    /// Distinguishes this process from earlier ones at the instance.
    pub(crate) incarnation: u64,
    /// The table service.
    pub(crate) table: Arc<dyn TableStore>,
    /// The origin of weights.
    pub(crate) origin: Arc<dyn WeightSource>,
    /// Metrics.
    pub(crate) metrics: EntryMetrics,
    /// Endpoints that requests may be routed to; read without a lock.
    pub(crate) routes: ArcSwap<RouteSnapshot>,
    admissions: ArcSwap<HashMap<ServiceName, Arc<EntryAdmission>>>,
    /// Connections to agents; read without a lock.
    pub(crate) links: ArcSwap<HashMap<InstanceId, Arc<AgentLink>>>,
    /// The preset in force; read without a lock.
    pub(crate) active_preset: ArcSwapOption<ForcedPreset>,
    /// The preset to stage ahead.
    pub(crate) staging: ArcSwapOption<StagingRow>,
    /// Whether the plan lags behind the reports or the preset.
    pub(crate) plan_stale: AtomicBool,
    /// The table service with its health; the same as `table`.
    pub(crate) store: Arc<MeteredTable>,
    /// Progress of services towards their versions, for forecasts.
    pub(crate) progress: Mutex<ProgressMarks>,
    /// What the entry has where callers are routed by a table.
    pub(crate) routed: Option<Arc<RoutedState>>,
    default_retries: Arc<RetryBudget>,
    /// Requests of callers in progress.
    pub(crate) in_flight: AtomicU32,
    /// Whether this entry leaves.
    pub(crate) leaving: AtomicBool,
    advised: AtomicBool,
    holder: Mutex<PresetHolder>,
    start_hold_over: AtomicBool,
    start_hold: Mutex<StartHold>,
    roster: Mutex<EndpointRoster>,
    counters: Mutex<CounterRegistry>,
    peers: Mutex<EntryRoster>,
    peer_links: Mutex<Vec<PeerLink>>,
    requests: AtomicU64,
}

impl EntryShared {
    /// The state of a process that has just started.
    pub(crate) fn new(
        settings: EntrySettings,
        table: Arc<dyn TableStore>,
        origin: Arc<dyn WeightSource>,
        metrics: EntryMetrics,
        routed: Option<Arc<RoutedState>>,
    ) -> Self {
        let now = Timestamp::now();
        // Where the operators' rows can be followed, the first read of them is
        // the newest state; other entries only know it later.
        let mut sources = match &routed {
            Some(_) => Vec::new(),
            None => peers::dialled_peers(&settings),
        };
        sources.push(settings.platform.table);
        let store = Arc::new(MeteredTable::new(table, &settings.control, &metrics));
        Self {
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
            advised: AtomicBool::new(false),
            holder: Mutex::default(),
            start_hold_over: AtomicBool::new(false),
            start_hold: Mutex::new(StartHold::new(sources, now.deadline_after(START_HOLD_TIMEOUT))),
            roster: Mutex::default(),
            counters: Mutex::default(),
            peers: Mutex::default(),
            peer_links: Mutex::default(),
            requests: AtomicU64::new(0),
        }
    }

    /// The endpoints that this entry knows.
    pub(crate) fn roster(&self) -> MutexGuard<'_, EndpointRoster> {
        self.roster.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// The other entries that this entry knows.
    pub(crate) fn peers(&self) -> MutexGuard<'_, EntryRoster> {
        self.peers.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// What this entry waits for before it uses a preset.
    pub(crate) fn start_hold(&self) -> MutexGuard<'_, StartHold> {
        self.start_hold.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Connections to other entries, whichever end dialled.
    pub(crate) fn peer_links(&self) -> MutexGuard<'_, Vec<PeerLink>> {
        self.peer_links.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// What opens a conversation with another process.
    pub(crate) fn hello(&self) -> HelloMessage {
        HelloMessage {
            kind: ProcessKind::Entry,
            instance: self.settings.place.instance.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Whether this entry leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// The origin of weights, where it comes with the preset.
    pub(crate) fn origin_place(&self) -> Option<OriginPlace> {
        let active_preset = self.active_preset.load();
        let mut services = active_preset.as_ref()?.content.services.values();
        services.find_map(|target| target.engine.as_ref()?.origin.clone())
    }

    /// Entries that go before this one where one of them does the work of all.
    pub(crate) fn own_rank(&self) -> u32 {
        let own = &self.settings.place.instance;
        self.peers().iter().filter(|(instance, _)| *instance < own).count() as u32
    }

    /// Retries that this entry may make for `service`.
    pub(crate) fn retry_budget(&self, service: &ServiceName) -> Arc<RetryBudget> {
        match &self.routed {
            Some(routed) => routed.retry_budget(service, self.peers().values().count() + 1),
            None => self.default_retries.clone(),
        }
    }

    /// The only versions that may answer requests for `service` now, if a newer one
    /// was named so long ago that older ones may not any more.
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

    /// Until when an answer to a request for `service` may begin from `version`.
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

    /// An id that no other request has.
    pub(crate) fn next_request_id(&self) -> anyhow::Result<RequestId> {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let instance = &self.settings.place.instance;
        Ok(RequestId::new(&format!("{instance}-{:x}-{number:x}", self.incarnation))?)
    }

    /// Considers a preset; true if it is in force from now on.
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

    /// Ends the hold of the start; the preset that is in force from now on, if one is known.
    pub(crate) fn end_start_hold(&self) -> Option<Arc<ForcedPreset>> {
        let holder = self.holder();
        self.start_hold_over.store(true, Ordering::Release);
        let preset = holder.current()?.clone();
        self.publish(&preset);
        Some(preset)
    }

    /// Whether callers may be sent here.
    ///
    /// An entry that has just started has no preset, and then no endpoints
    /// until agents have connected again; it would refuse whoever came. Once
    /// it has had them it stays advised: without an endpoint of some service
    /// it does no worse than its peers.
    pub(crate) fn is_advised(&self) -> bool {
        if self.advised.load(Ordering::Relaxed) {
            return true;
        }
        let advised = self.has_endpoints();
        self.advised.store(advised, Ordering::Relaxed);
        advised
    }

    /// Whether a preset is in force and each of its services has an endpoint here,
    /// or the time for them to come has passed.
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

    /// The highest revision heard of, even if it is not used yet.
    pub(crate) fn known_revision(&self) -> PresetRevision {
        self.holder().revision()
    }

    fn holder(&self) -> MutexGuard<'_, PresetHolder> {
        self.holder.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Called under the holder's lock, so that two offers cannot publish in the
    /// reverse of the order of their revisions.
    fn publish(&self, preset: &Arc<ForcedPreset>) {
        let revision = preset.revision.0;
        if let Some(routed) = &self.routed {
            routed.apply_preset(preset);
        }
        self.active_preset.store(Some(preset.clone()));
        if self.routed.is_some() {
            // The list may be known already; without this look its endpoints
            // would get nothing until it changes.
            self.rebuild_routes();
        }
        self.plan_stale.store(true, Ordering::Release);
        self.metrics.revision.set(revision as i64);
        log::info!(target: "preset", revision = revision, preset:% = preset.preset, change:% = preset.change; "A preset is in force.");
    }

    /// Adds the connection to an agent.
    pub(crate) fn add_link(&self, link: Arc<AgentLink>) {
        self.links.rcu(|links| {
            let mut links = HashMap::clone(links);
            links.insert(link.instance.clone(), link.clone());
            links
        });
    }

    /// Removes the connection to an agent, unless a newer one took its place.
    pub(crate) fn remove_link(&self, link: &Arc<AgentLink>) {
        self.links.rcu(|links| {
            let mut links = HashMap::clone(links);
            if links.get(&link.instance).is_some_and(|current| Arc::ptr_eq(current, link)) {
                links.remove(&link.instance);
            }
            links
        });
        // The agent may have connected again before the old connection's end
        // was noticed; without this look it would vanish until its next report.
        if let Some(routed) = &self.routed {
            // Another entry may still be connected to the agent.
            routed.overlay.notify_change();
        } else if !self.links.load().contains_key(&link.instance) {
            self.roster().remove(&link.instance, link.incarnation);
            self.rebuild_routes();
        }
    }

    /// The admission to a service.
    pub(crate) fn admission(&self, service: &ServiceName) -> Arc<EntryAdmission> {
        if let Some(admission) = self.admissions.load().get(service) {
            return admission.clone();
        }
        let fresh = Arc::new(EntryAdmission::new(self.settings.caller.queue_length));
        self.admissions.rcu(|known| {
            let mut known = HashMap::clone(known);
            known.entry(service.clone()).or_insert_with(|| fresh.clone());
            known
        });
        self.admissions.load().get(service).cloned().unwrap_or(fresh)
    }

    /// Takes an agent's word of its endpoint's load.
    pub(crate) fn update_load(&self, agent: &InstanceId, load: &LoadReport, limit: u32) {
        // The clocks of two machines differ; only the own one tells an age.
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
        let listed = report.endpoint_addr.and_then(|a| listing.latest_at(&report.service, a));
        let Some(instance) = listed.map(|listed| listed.instance.clone()) else {
            return;
        };
        drop((listing, roster));
        let cell = self.counters().endpoint(&instance);
        cell.apply_report(&load, cell.hard_limit());
    }

    /// Takes an endpoint out at whose address another process answers.
    pub(crate) fn drop_listed(&self, instance: &InstanceId) {
        let Some(routed) = &self.routed else {
            return;
        };
        let is_new = routed.listing().forget(instance);
        if is_new {
            log::info!(target: "list", endpoint:% = instance; "Another process answers for an endpoint.");
            self.rebuild_routes();
        }
    }

    /// Publishes which endpoints requests may be routed to.
    pub(crate) fn rebuild_routes(&self) {
        let roster = self.roster();
        let mut counters = self.counters();
        let services = match &self.routed {
            Some(routed) => self.listed_candidates(routed, &roster, &mut counters),
            None => self.reported_candidates(&roster, &mut counters),
        };
        counters.drop_unused();
        let routed = services.into_iter().map(|(service, candidates)| {
            let in_flight = counters.service(&service);
            (service, ServiceRoutes::new(candidates, in_flight))
        });
        let snapshot = RouteSnapshot::new(routed.collect());
        // Stored under the roster's lock: a snapshot from before a word of
        // leaving must not replace one from after it.
        self.routes.store(Arc::new(snapshot));
    }

    /// Endpoints whose agents serve.
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
                path: EndpointPath::Agent,
                tracker,
            });
        }
        services
    }

    /// Endpoints that the platform lists, as far as they serve.
    fn listed_candidates(
        &self,
        routed: &RoutedState,
        roster: &EndpointRoster,
        counters: &mut CounterRegistry,
    ) -> ServiceCandidates {
        let mut services = ServiceCandidates::new();
        let Some(preset) = self.active_preset.load_full() else {
            return services;
        };
        let mut counters_by_agent = HashMap::new();
        let reports = reports_by_endpoint(roster.members().map(|member| &member.report));
        let listing = routed.listing();
        for candidate in direct_candidates(&listing, &preset, &reports) {
            let listed = candidate.listed;
            if counters.processes.observe_start(&listed.instance, listed.born_at) {
                counters.reset(&listed.instance);
                routed.direct.retain_listed(|instance| *instance != listed.instance);
            }
            let tracker = counters.endpoint(&listed.instance);
            tracker.set_hard_limit(candidate.limit);
            if let Some(report) = reports.get(&listed.addr) {
                counters_by_agent.insert(subject_of(report.instance.as_str()), tracker.clone());
            }
            services.entry(listed.service.clone()).or_default().push(RouteCandidate {
                instance: listed.instance.clone(),
                version: candidate.version,
                is_near: routed.settings.near_domains.contains(&listed.failure_domain),
                path: EndpointPath::Direct(listed.addr),
                tracker,
            });
        }
        let listed: HashSet<_> = listing.endpoints().map(|listed| &listed.instance).collect();
        routed.direct.retain_listed(|instance| listed.contains(instance));
        counters.processes.keep_only(|instance| listed.contains(instance));
        routed.counters_by_agent.store(Arc::new(counters_by_agent));
        services
    }

    fn counters(&self) -> MutexGuard<'_, CounterRegistry> {
        self.counters.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

/// A connection to another entry.
pub(crate) struct PeerLink {
    /// Messages to it.
    pub(crate) sender: WireSender,
    /// Its inner address, once it has told it.
    pub(crate) addr: Option<SocketAddr>,
}

/// Endpoints by the service that they belong to.
type ServiceCandidates = HashMap<ServiceName, Vec<RouteCandidate>>;
