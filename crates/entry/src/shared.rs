//! State that the parts of an entry share.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use cassiawheel_decide::{
    Adoption, EndpointCell, EndpointRoster, PresetHolder, RetryBudget, RouteCandidate,
    RouteSnapshot, ServiceRoutes, advice::AdviceInput,
};
use cassiawheel_model::{
    EndpointReport, EndpointState, ForcedPreset, InstanceId, PresetRevision, RequestId,
    ServiceName, Timestamp, settings::EntrySettings,
};
use cassiawheel_platform::{TableStore, WeightSource};
use cassiawheel_wire::WireSender;

use crate::{link::AgentLink, metrics::EntryMetrics};

/// Another entry, as its heartbeats tell.
#[derive(Debug, Clone)]
pub(crate) struct PeerEntry {
    /// What callers may be advised.
    pub(crate) advice: AdviceInput,
    /// The highest revision that it has adopted.
    pub(crate) revision: PresetRevision,
    /// When it was last heard.
    pub(crate) heard_at: Timestamp,
}

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
    /// Connections to agents; read without a lock.
    pub(crate) links: ArcSwap<HashMap<InstanceId, Arc<AgentLink>>>,
    /// The preset in force; read without a lock.
    pub(crate) force: ArcSwapOption<ForcedPreset>,
    /// When the table service last answered, as a timestamp's number.
    pub(crate) store_read_at: AtomicU64,
    /// Retries that this entry may make.
    pub(crate) retries: RetryBudget,
    /// Requests of callers in progress.
    pub(crate) in_flight: AtomicU32,
    /// Whether this entry leaves.
    pub(crate) leaving: AtomicBool,
    holder: Mutex<PresetHolder>,
    roster: Mutex<EndpointRoster>,
    cells: Mutex<EndpointCells>,
    peers: Mutex<BTreeMap<InstanceId, PeerEntry>>,
    peer_links: Mutex<Vec<WireSender>>,
    requests: AtomicU64,
}

impl EntryShared {
    /// The state of a process that has just started.
    pub(crate) fn new(
        settings: EntrySettings,
        table: Arc<dyn TableStore>,
        origin: Arc<dyn WeightSource>,
        metrics: EntryMetrics,
    ) -> Self {
        Self {
            settings,
            incarnation: Timestamp::now().0,
            table,
            origin,
            metrics,
            routes: ArcSwap::default(),
            links: ArcSwap::default(),
            force: ArcSwapOption::empty(),
            store_read_at: AtomicU64::new(0),
            retries: RetryBudget::default(),
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            holder: Mutex::default(),
            roster: Mutex::default(),
            cells: Mutex::default(),
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
    pub(crate) fn peers(&self) -> MutexGuard<'_, BTreeMap<InstanceId, PeerEntry>> {
        self.peers.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Connections that this entry dialled to other entries.
    pub(crate) fn peer_links(&self) -> MutexGuard<'_, Vec<WireSender>> {
        self.peer_links.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// An id that no other request has.
    pub(crate) fn next_request(&self) -> anyhow::Result<RequestId> {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let instance = &self.settings.place.instance;
        Ok(RequestId::new(&format!("{instance}-{:x}-{number:x}", self.incarnation))?)
    }

    /// Considers a preset; true if it is in force from now on.
    pub(crate) fn offer_preset(&self, preset: &Arc<ForcedPreset>) -> bool {
        let revision = preset.revision.0;
        let mut holder = self.holder.lock().unwrap_or_else(|poison| poison.into_inner());
        match holder.offer(preset.clone()) {
            Adoption::Adopted => {
                // Stored under the holder's lock, so that two offers cannot
                // publish in the reverse of the order of their revisions.
                self.force.store(Some(preset.clone()));
                self.metrics.revision.set(revision as i64);
                log::info!(target: "preset", revision = revision, preset:% = preset.preset, change:% = preset.change; "A preset is in force.");
                true
            }
            Adoption::Conflicting => {
                log::error!(target: "preset", revision = revision; "Two presets have the same revision.");
                false
            }
            Adoption::Known | Adoption::Older => false,
        }
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
        self.roster().forget(&link.instance, link.incarnation);
        self.rebuild_routes();
    }

    /// Takes an endpoint's report.
    ///
    /// Most reports change nothing but the load, which the snapshot's cells
    /// take; only another state is worth a new snapshot.
    pub(crate) fn hear_report(&self, report: EndpointReport) {
        let is_routed = match &report.state {
            EndpointState::Serving { version, .. } => {
                let routes = self.routes.load();
                routes.serves(&report.service, &report.instance, version.as_ref())
            }
            EndpointState::Empty | EndpointState::Switching | EndpointState::Draining => false,
        };
        let instance = report.instance.clone();
        let (load, limit) = (report.load, report.limit);
        let is_newest = self.roster().hear(report, Timestamp::now());
        if is_newest {
            self.cells().of(&instance).hear(&load, limit);
        }
        if !is_routed {
            self.rebuild_routes();
        }
    }

    /// Publishes which endpoints requests may be routed to.
    pub(crate) fn rebuild_routes(&self) {
        let roster = self.roster();
        let mut cells = self.cells();
        let own_domain = &self.settings.place.failure_domain;
        let mut services: HashMap<ServiceName, Vec<RouteCandidate>> = HashMap::new();
        for member in roster.members().filter(|member| !roster.is_leaving(member)) {
            let report = &member.report;
            let EndpointState::Serving { version, .. } = &report.state else {
                continue;
            };
            services.entry(report.service.clone()).or_default().push(RouteCandidate {
                instance: report.instance.clone(),
                version: version.clone(),
                is_near: report.failure_domain == *own_domain,
                cell: cells.of(&report.instance),
            });
        }
        cells.forget_unused();
        let routed = services.into_iter().map(|(service, candidates)| {
            let in_flight = cells.service(&service);
            (service, ServiceRoutes::new(candidates, in_flight))
        });
        let snapshot = RouteSnapshot::new(routed.collect());
        // Stored under the roster's lock: a snapshot from before a word of
        // leaving must not replace one from after it.
        self.routes.store(Arc::new(snapshot));
    }

    fn cells(&self) -> MutexGuard<'_, EndpointCells> {
        self.cells.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Counts that outlive the snapshots which point to them.
#[derive(Debug, Default)]
struct EndpointCells {
    endpoints: HashMap<InstanceId, Arc<EndpointCell>>,
    services: HashMap<ServiceName, Arc<AtomicU32>>,
}

impl EndpointCells {
    fn of(&mut self, instance: &InstanceId) -> Arc<EndpointCell> {
        self.endpoints.entry(instance.clone()).or_default().clone()
    }

    fn service(&mut self, service: &ServiceName) -> Arc<AtomicU32> {
        self.services.entry(service.clone()).or_default().clone()
    }

    /// Drops the cells of endpoints that neither a snapshot nor a request uses.
    fn forget_unused(&mut self) {
        self.endpoints.retain(|_, cell| Arc::strong_count(cell) > 1);
    }
}
