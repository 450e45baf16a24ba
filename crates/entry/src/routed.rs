//! State of an entry that routes callers by the route table of the active preset and reaches
//! endpoints directly. Complements [`crate::shared`].

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use cassiawheel_decide::{
    CallerIndex, EndpointListing, EndpointTracker, EvacuationTable, FeedRole, PresetPull,
    RegionDelay, RegionDelays, RetryBudget, VersionRegistry, layers::resumed_version,
    plan::RolloutSchedule,
};
use cassiawheel_edge::{
    CallerProtocol, EndpointFeed, EndpointProtocol, OperatorFeed, TableStore, WeightSource,
};
use cassiawheel_model::{
    Deadline, EndpointReport, EndpointState, EngineProfile, ForcedPreset, ListedEndpoint,
    ModelVersion, RegionName, ServiceName, ServiceTarget, TargetVersion, Timestamp,
    settings::RoutingSettings,
};
use cassiawheel_wire::WireSender;
use smol::channel::{Receiver, Sender, bounded};

use crate::{
    control::manifest_cache::ManifestCache, crashes::VerdictCache, departures::DepartureMonitor,
    direct::DirectClient, freshness::ListFreshness, limits::LimitTracker, overlay::Overlay,
};

/// Minimum number of entries among which the retries of a service are divided.
///
/// An entry that has just started has discovered no other entry and would otherwise use the whole
/// budget.
const MIN_BUDGET_SHARES: usize = 9;

/// Adapters to the platform for an entry with a route table.
pub struct RoutedAdapters {
    /// Settings in addition to those of every entry.
    pub settings: RoutingSettings,
    /// Protocol of callers.
    pub callers: Arc<dyn CallerProtocol>,
    /// Protocol of endpoints.
    pub endpoints: Arc<dyn EndpointProtocol>,
    /// Feed of the rows that operators write.
    pub operators: Arc<OperatorFeed>,
    /// Feed of the platform's list of endpoints.
    pub list: Arc<EndpointFeed>,
    /// Table with the rows that this software stores.
    pub table: Arc<dyn TableStore>,
    /// Origin of model weights.
    pub origin: Arc<dyn WeightSource>,
}

/// State of an entry with a route table.
pub(crate) struct RoutedState {
    /// Settings in addition to those of every entry.
    pub(crate) settings: RoutingSettings,
    /// Protocol of callers.
    pub(crate) callers: Arc<dyn CallerProtocol>,
    /// Client for requests to endpoints.
    pub(crate) direct: Arc<DirectClient>,
    /// Feed of the rows that operators write.
    pub(crate) operators: Arc<OperatorFeed>,
    /// Feed of the platform's list of endpoints.
    pub(crate) list: Arc<EndpointFeed>,
    /// Routes and keys of the active preset; read without a lock.
    pub(crate) index: ArcSwapOption<CallerIndex>,
    /// Versions that operators have named; read without a lock.
    pub(crate) versions: ArcSwap<VersionRegistry>,
    /// Manifests of named versions.
    pub(crate) manifests: ManifestCache,
    /// Whether the last read of the operators' rows succeeded.
    pub(crate) follows_rows: AtomicBool,
    feed_role: Mutex<FeedRole>,
    versions_changed: (Sender<()>, Receiver<()>),
    listing: Mutex<EndpointListing>,
    /// How current the list of endpoints is.
    pub(crate) freshness: Arc<ListFreshness>,
    pull: Mutex<PresetPull<WireSender>>,
    /// Links to other entries.
    pub(crate) overlay: Overlay,
    /// Rate limits that endpoints advertise.
    pub(crate) limits: Arc<LimitTracker>,
    /// Endpoints that leave.
    pub(crate) departures: Arc<DepartureMonitor>,
    evacuations: Mutex<EvacuationTable>,
    /// Verdicts on requests during which endpoints have crashed.
    pub(crate) crashes: Arc<VerdictCache>,
    /// Load counters of endpoints by the hash of their agent's instance; read without a lock.
    pub(crate) counters_by_agent: ArcSwap<HashMap<u64, Arc<EndpointTracker>>>,
    budgets: ArcSwap<HashMap<ServiceName, Arc<RetryBudget>>>,
    /// From when on this process may send the bursts of its retry budgets.
    retry_bursts_from: Deadline,
    /// Delays of the answers by service and region.
    region_delays: Mutex<HashMap<(ServiceName, RegionName), Arc<RegionDelay>>>,
    /// Longest caller timeout seen on each route, in milliseconds.
    caller_timeouts: ArcSwap<HashMap<String, Arc<AtomicU64>>>,
}

/// Fraction of a route's longest caller timeout below which a request counts as a retry.
///
/// Callers give a first try their whole timeout and retry after at least a few hundred
/// milliseconds.
const FIRST_TRY_FRACTION: f64 = 0.97;

/// An endpoint that requests may be sent to.
pub(crate) struct DirectCandidate<'a> {
    /// Row of the endpoint in the platform's list.
    pub(crate) listed: &'a ListedEndpoint,
    /// Version that the endpoint serves; none for plain services.
    pub(crate) version: Option<ModelVersion>,
    /// Maximum number of concurrent requests.
    pub(crate) limit: u32,
}

impl RoutedState {
    /// Creates the state of a process that has just started.
    pub(crate) fn new(adapters: RoutedAdapters) -> Self {
        let overlay = Overlay::default();
        let limits = Arc::new(LimitTracker::new(overlay.waker()));
        let departures = Arc::new(DepartureMonitor::new(overlay.waker()));
        let now = Timestamp::now();
        let freshness = Arc::new(ListFreshness::new(now));
        let direct = DirectClient::new(
            adapters.endpoints,
            limits.clone(),
            departures.clone(),
            freshness.clone(),
        );
        let mut listing = EndpointListing::new(adapters.settings.list_heartbeat_ms);
        // The first read of the list starts together with the process.
        listing.begin_snapshot_request(now);
        let retry_window = Duration::from_millis(adapters.settings.retry_window_ms);
        Self {
            retry_bursts_from: now.deadline_after(retry_window),
            listing: Mutex::new(listing),
            freshness,
            settings: adapters.settings,
            callers: adapters.callers,
            direct: Arc::new(direct),
            operators: adapters.operators,
            list: adapters.list,
            index: ArcSwapOption::empty(),
            versions: ArcSwap::default(),
            manifests: ManifestCache::default(),
            follows_rows: AtomicBool::new(true),
            feed_role: Mutex::new(FeedRole::Follow),
            pull: Mutex::default(),
            versions_changed: bounded(1),
            overlay,
            limits,
            departures,
            evacuations: Mutex::default(),
            crashes: Arc::default(),
            counters_by_agent: ArcSwap::default(),
            budgets: ArcSwap::default(),
            region_delays: Mutex::default(),
            caller_timeouts: ArcSwap::default(),
        }
    }

    /// Locks the list of endpoints.
    pub(crate) fn listing(&self) -> MutexGuard<'_, EndpointListing> {
        self.listing.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Locks the evacuations that operators have ordered.
    pub(crate) fn evacuations(&self) -> MutexGuard<'_, EvacuationTable> {
        self.evacuations.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Locks the pull of a preset that other entries have and this one lacks.
    pub(crate) fn pull(&self) -> MutexGuard<'_, PresetPull<WireSender>> {
        self.pull.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Returns whether this entry follows, probes or ignores the operators' rows.
    pub(crate) fn feed_role(&self) -> FeedRole {
        *self.feed_role.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Sets whether this entry follows, probes or ignores the operators' rows.
    pub(crate) fn set_feed_role(&self, role: FeedRole) {
        *self.feed_role.lock().unwrap_or_else(|poison| poison.into_inner()) = role;
    }

    /// Replaces the routes and keys with those of a newly activated preset.
    pub(crate) fn apply_preset(&self, preset: &ForcedPreset) {
        let table = preset.content.callers.clone();
        self.index.store(table.map(|table| Arc::new(CallerIndex::new(table))));
    }

    /// Whether a request with this caller timeout is a first try rather than a retry.
    pub(crate) fn is_first_try(&self, route: &str, caller_timeout: Duration) -> bool {
        let caller_timeout = caller_timeout.as_millis() as u64;
        if let Some(longest) = self.caller_timeouts.load().get(route) {
            let longest = longest.fetch_max(caller_timeout, Ordering::Relaxed).max(caller_timeout);
            return caller_timeout as f64 >= longest as f64 * FIRST_TRY_FRACTION;
        }
        self.caller_timeouts.rcu(|known| {
            let mut known = HashMap::clone(known);
            known
                .entry(route.to_owned())
                .or_insert_with(|| Arc::new(AtomicU64::new(caller_timeout)));
            known
        });
        true
    }

    /// Adds a named version; true if the version or its manifest is new.
    pub(crate) fn add_version(&self, named: &TargetVersion) -> bool {
        let span = Duration::from_millis(self.settings.version_ms);
        let now = Timestamp::now();
        let mut is_new = false;
        self.versions.rcu(|known| {
            let mut versions = VersionRegistry::clone(known);
            is_new = versions.record(named, span, now);
            versions
        });
        if is_new {
            let _ = self.versions_changed.0.try_send(());
        }
        is_new
    }

    /// Completes when a version or a manifest was added.
    pub(crate) async fn versions_changed(&self) {
        let _ = self.versions_changed.1.recv().await;
    }

    /// Returns the only versions that may answer requests of `target` now; none if all may.
    pub(crate) fn allowed_versions(
        &self,
        target: &ServiceTarget,
        now: Timestamp,
    ) -> Option<Vec<ModelVersion>> {
        let engine = target.engine.as_ref()?;
        self.versions.load().allowed(&engine.model, now)
    }

    /// Returns the time that the endpoints of `service` take to warm up after their start.
    pub(crate) fn warm_up(&self, service: &ServiceName) -> Option<Duration> {
        let index = self.index.load();
        let warm_up_ms = *index.as_ref()?.table().warm_up_ms.get(service)?;
        Some(Duration::from_millis(warm_up_ms))
    }

    /// Returns the schedule on which the platform requires the preset's model to change versions.
    pub(crate) fn rollout_schedule(
        &self,
        preset: &ForcedPreset,
        now: Timestamp,
    ) -> Option<RolloutSchedule> {
        let mut targets = preset.content.services.values();
        let engine = targets.find_map(|target| target.engine.as_ref())?;
        let versions = self.versions.load();
        let mut schedule = versions.schedule(&engine.model, now)?;
        if let Some(copy_ms) = self.copy_ms(&versions, engine) {
            schedule.copy_ms = copy_ms;
        }
        Some(schedule)
    }

    /// Time in which the origin can send the newest version, in milliseconds.
    fn copy_ms(&self, versions: &VersionRegistry, engine: &EngineProfile) -> Option<u64> {
        let origin = engine.origin.as_ref().filter(|origin| origin.bytes_per_s > 0)?;
        let digest = versions.newest_pinned(&engine.model)?.manifest?;
        let manifest = self.manifests.find(digest)?;
        let bytes: u64 = manifest.chunks.iter().map(|chunk| u64::from(chunk.bytes)).sum();
        Some(bytes * 1_000 / origin.bytes_per_s)
    }

    /// Returns `preset` with the versions that were named since it was stored.
    pub(crate) fn with_versions(&self, preset: &ForcedPreset) -> ForcedPreset {
        let versions = self.versions.load();
        let mut planned = preset.clone();
        planned.content.callers = None;
        for target in planned.content.services.values_mut() {
            let model = target.engine.as_ref().map(|engine| engine.model.as_str());
            let wanted = model
                .and_then(|model| versions.newest_pinned(model).or_else(|| versions.newest(model)));
            if let Some(wanted) = wanted {
                target.version = Some(wanted.version.clone());
                target.manifest = wanted.manifest;
            }
        }
        planned
    }

    /// Returns the delays for the endpoints of `service` in `region`, compared with those in `own`.
    pub(crate) fn region_delays(
        &self,
        service: &ServiceName,
        region: &RegionName,
        own: &RegionName,
    ) -> RegionDelays {
        let mut delays = self.region_delays.lock().unwrap_or_else(|poison| poison.into_inner());
        let mut delay_of = |region: &RegionName| {
            delays.entry((service.clone(), region.clone())).or_default().clone()
        };
        let own = (region != own).then(|| delay_of(own));
        RegionDelays::new(delay_of(region), own)
    }

    /// Returns the retry budget of `service`: this entry's share of the retries of all entries.
    pub(crate) fn retry_budget(&self, service: &ServiceName, entries: usize) -> Arc<RetryBudget> {
        let burst = self.settings.retry_slack / entries.max(MIN_BUDGET_SHARES) as f64;
        let budget = match self.budgets.load().get(service) {
            Some(budget) => budget.clone(),
            None => self.add_retry_budget(service, burst),
        };
        budget.set_burst(burst);
        if self.retry_bursts_from.is_past(Timestamp::now()) {
            budget.grant_burst();
        }
        budget
    }

    fn add_retry_budget(&self, service: &ServiceName, burst: f64) -> Arc<RetryBudget> {
        let new_budget = Arc::new(RetryBudget::starting(self.settings.retry_ratio, burst));
        self.budgets.rcu(|known| {
            let mut known = HashMap::clone(known);
            known.entry(service.clone()).or_insert_with(|| new_budget.clone());
            known
        });
        self.budgets.load().get(service).cloned().unwrap_or(new_budget)
    }
}

/// Returns the listed endpoints that requests may be sent to.
///
/// The list lags by seconds, so a report of the agent next to an engine takes precedence.
pub(crate) fn direct_candidates<'a>(
    listing: &'a EndpointListing,
    preset: &ForcedPreset,
    reports: &HashMap<SocketAddr, &EndpointReport>,
) -> Vec<DirectCandidate<'a>> {
    let present = listing.latest_per_addr(|service| preset.content.services.contains_key(service));
    let present = present.into_iter().filter(|listed| !listed.is_leaving);
    let candidate = |listed: &'a ListedEndpoint| {
        let target = preset.content.services.get(&listed.service)?;
        let limit = listed.slots;
        let Some(engine) = &target.engine else {
            return Some(DirectCandidate { listed, version: None, limit });
        };
        let version = served_version(listed, reports.get(&listed.addr).copied(), engine.layers)?;
        Some(DirectCandidate { listed, version: Some(version), limit })
    };
    present.filter_map(candidate).collect()
}

fn served_version(
    listed: &ListedEndpoint,
    report: Option<&EndpointReport>,
    layers: u32,
) -> Option<ModelVersion> {
    if report.is_some_and(EndpointReport::is_unproved) {
        return None;
    }
    match report.map(|report| &report.state) {
        Some(EndpointState::Serving { version, .. }) => version.clone(),
        Some(EndpointState::Empty) => resumed_version(report?, layers).cloned(),
        Some(EndpointState::Switching) => None,
        // The report of a leaving agent does not describe its engine, which keeps running.
        Some(EndpointState::Draining) | None => listed.version.clone(),
    }
}

/// Indexes reports by the address of the endpoint next to the agent.
pub(crate) fn reports_by_endpoint<'a>(
    reports: impl Iterator<Item = &'a EndpointReport>,
) -> HashMap<SocketAddr, &'a EndpointReport> {
    reports.filter_map(|report| Some((report.endpoint_addr?, report))).collect()
}
