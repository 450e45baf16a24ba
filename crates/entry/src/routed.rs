//! What an entry has beside [`crate::shared`] where callers are routed by the
//! table of the preset in force and endpoints are reached directly.

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
    CallerIndex, EndpointListing, EndpointTracker, FeedRole, PresetPull, RetryBudget,
    VersionRegistry, plan::RolloutSchedule,
};
use cassiawheel_edge::{
    CallerProtocol, EndpointFeed, EndpointProtocol, OperatorFeed, TableStore, WeightSource,
};
use cassiawheel_model::{
    EndpointReport, EndpointState, ForcedPreset, ListedEndpoint, ModelVersion, ServiceName,
    ServiceTarget, TargetVersion, Timestamp, settings::RoutingSettings,
};
use cassiawheel_wire::WireSender;
use smol::channel::{Receiver, Sender, bounded};

use crate::{
    control::manifest_cache::ManifestCache, crashes::CrashGuard, direct::DirectClient,
    limits::LimitTracker, overlay::Overlay,
};

/// Entries among which the retries of a service are shared at least.
///
/// An entry that starts knows of no other yet, and would take all of them.
const MIN_BUDGET_SHARES: usize = 9;

/// The edges of such an entry.
pub struct RoutedAdapters {
    /// Settings beside those of every entry.
    pub settings: RoutingSettings,
    /// The callers' protocol.
    pub callers: Arc<dyn CallerProtocol>,
    /// The endpoints' protocol.
    pub endpoints: Arc<dyn EndpointProtocol>,
    /// The operators' rows.
    pub operators: Arc<OperatorFeed>,
    /// The list of endpoints.
    pub list: Arc<EndpointFeed>,
    /// The project's own rows.
    pub table: Arc<dyn TableStore>,
    /// The origin of weights.
    pub origin: Arc<dyn WeightSource>,
}

/// State of such an entry.
pub(crate) struct RoutedState {
    /// Settings.
    pub(crate) settings: RoutingSettings,
    /// The callers' protocol.
    pub(crate) callers: Arc<dyn CallerProtocol>,
    /// The client of endpoints.
    pub(crate) direct: Arc<DirectClient>,
    /// The operators' rows.
    pub(crate) operators: Arc<OperatorFeed>,
    /// The list of endpoints.
    pub(crate) list: Arc<EndpointFeed>,
    /// Routes and keys of the preset in force; read without a lock.
    pub(crate) index: ArcSwapOption<CallerIndex>,
    /// The versions that operators named; read without a lock.
    pub(crate) versions: ArcSwap<VersionRegistry>,
    /// Manifests of named versions.
    pub(crate) manifests: ManifestCache,
    /// Whether the last call for the operators' rows was answered.
    pub(crate) follows_rows: AtomicBool,
    feed_role: Mutex<FeedRole>,
    versions_changed: (Sender<()>, Receiver<()>),
    listing: Mutex<EndpointListing>,
    pull: Mutex<PresetPull<WireSender>>,
    /// Links to other entries.
    pub(crate) overlay: Overlay,
    /// Limits that endpoints name.
    pub(crate) limits: Arc<LimitTracker>,
    /// Requests under which endpoints have ended.
    pub(crate) crashes: Arc<CrashGuard>,
    /// Cells of endpoints by the hashes of their agents; read without a lock.
    pub(crate) counters_by_agent: ArcSwap<HashMap<u64, Arc<EndpointTracker>>>,
    budgets: ArcSwap<HashMap<ServiceName, Arc<RetryBudget>>>,
    /// Longest patience of a caller by the name of its route, in milliseconds.
    patience: ArcSwap<HashMap<String, Arc<AtomicU64>>>,
}

/// Part of the longest patience on a route below which a request is not its caller's first try.
///
/// Callers give a first try all of their time, and come back after some hundred
/// milliseconds at least.
const FIRST_TRY_FRACTION: f64 = 0.97;

/// An endpoint that requests may be sent to.
pub(crate) struct DirectCandidate<'a> {
    /// The endpoint.
    pub(crate) listed: &'a ListedEndpoint,
    /// The version that it serves; none for plain services.
    pub(crate) version: Option<ModelVersion>,
    /// Requests that it may have at a time.
    pub(crate) limit: u32,
}

impl RoutedState {
    /// The state of a process that has just started.
    pub(crate) fn new(adapters: RoutedAdapters) -> Self {
        let overlay = Overlay::default();
        let limits = Arc::new(LimitTracker::new(overlay.waker()));
        let mut listing = EndpointListing::new(adapters.settings.list_heartbeat_ms);
        // The first read of the table is under way as soon as the process runs.
        listing.begin_snapshot_request(Timestamp::now());
        Self {
            listing: Mutex::new(listing),
            settings: adapters.settings,
            callers: adapters.callers,
            direct: Arc::new(DirectClient::new(adapters.endpoints, limits.clone())),
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
            crashes: Arc::default(),
            counters_by_agent: ArcSwap::default(),
            budgets: ArcSwap::default(),
            patience: ArcSwap::default(),
        }
    }

    /// The list of endpoints.
    pub(crate) fn listing(&self) -> MutexGuard<'_, EndpointListing> {
        self.listing.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// The pull of a preset that other entries have and this one lacks.
    pub(crate) fn pull(&self) -> MutexGuard<'_, PresetPull<WireSender>> {
        self.pull.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// What this entry does about the operators' rows.
    pub(crate) fn feed_role(&self) -> FeedRole {
        *self.feed_role.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Changes what this entry does about the operators' rows.
    pub(crate) fn set_row_duty(&self, duty: FeedRole) {
        *self.feed_role.lock().unwrap_or_else(|poison| poison.into_inner()) = duty;
    }

    /// Takes up the routes and keys of the preset that is in force from now on.
    pub(crate) fn apply_preset(&self, preset: &ForcedPreset) {
        let table = preset.content.callers.clone();
        self.index.store(table.map(|table| Arc::new(CallerIndex::new(table))));
    }

    /// Whether a caller that waits for `patience` asks for the first time.
    pub(crate) fn is_first_try(&self, route: &str, patience: Duration) -> bool {
        let patience = patience.as_millis() as u64;
        if let Some(longest) = self.patience.load().get(route) {
            let longest = longest.fetch_max(patience, Ordering::Relaxed).max(patience);
            return patience as f64 >= longest as f64 * FIRST_TRY_FRACTION;
        }
        self.patience.rcu(|known| {
            let mut known = HashMap::clone(known);
            known.entry(route.to_owned()).or_insert_with(|| Arc::new(AtomicU64::new(patience)));
            known
        });
        true
    }

    /// Takes in a named version; true if it or its manifest was not known.
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

    /// Completes when a version or a manifest became known.
    pub(crate) async fn versions_changed(&self) {
        let _ = self.versions_changed.1.recv().await;
    }

    /// The only versions that may answer requests of `target` now; none if all may.
    pub(crate) fn allowed_versions(
        &self,
        target: &ServiceTarget,
        now: Timestamp,
    ) -> Option<Vec<ModelVersion>> {
        let engine = target.engine.as_ref()?;
        self.versions.load().allowed(&engine.model, now)
    }

    /// What the platform asks of the versions of the preset's model.
    pub(crate) fn pace(&self, preset: &ForcedPreset, now: Timestamp) -> Option<RolloutSchedule> {
        let mut targets = preset.content.services.values();
        let engine = targets.find_map(|target| target.engine.as_ref())?;
        self.versions.load().schedule(&engine.model, now)
    }

    /// `preset` with the versions that were named since.
    pub(crate) fn with_versions(&self, preset: &ForcedPreset) -> ForcedPreset {
        let versions = self.versions.load();
        let mut planned = preset.clone();
        planned.content.callers = None;
        for target in planned.content.services.values_mut() {
            let model = target.engine.as_ref().map(|engine| engine.model.as_str());
            if let Some(wanted) = model.and_then(|model| versions.newest(model)) {
                target.version = Some(wanted.version.clone());
                target.manifest = wanted.manifest;
            }
        }
        planned
    }

    /// Retries of `service`; this entry's share of those that all entries may make.
    pub(crate) fn retry_budget(&self, service: &ServiceName, entries: usize) -> Arc<RetryBudget> {
        let savings = self.settings.retry_slack / entries.max(MIN_BUDGET_SHARES) as f64;
        if let Some(budget) = self.budgets.load().get(service) {
            budget.set_burst(savings);
            return budget.clone();
        }
        let fresh = Arc::new(RetryBudget::new(self.settings.retry_ratio, savings));
        self.budgets.rcu(|known| {
            let mut known = HashMap::clone(known);
            known.entry(service.clone()).or_insert_with(|| fresh.clone());
            known
        });
        self.budgets.load().get(service).cloned().unwrap_or(fresh)
    }
}

/// The listed endpoints that requests may be sent to.
///
/// The list lags by seconds; the word of the agent beside an engine is newer
/// and goes before it.
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
        if target.engine.is_none() {
            return Some(DirectCandidate { listed, version: None, limit });
        }
        let version = served_version(listed, reports.get(&listed.addr).copied())?;
        Some(DirectCandidate { listed, version: Some(version), limit })
    };
    present.filter_map(candidate).collect()
}

fn served_version(
    listed: &ListedEndpoint,
    report: Option<&EndpointReport>,
) -> Option<ModelVersion> {
    match report.map(|report| &report.state) {
        Some(EndpointState::Serving { version, .. }) => version.clone(),
        Some(EndpointState::Empty | EndpointState::Switching) => None,
        // An agent that leaves says nothing of its engine, which stays.
        Some(EndpointState::Draining) | None => listed.version.clone(),
    }
}

/// Reports of agents by the endpoint beside which they run.
pub(crate) fn reports_by_endpoint<'a>(
    reports: impl Iterator<Item = &'a EndpointReport>,
) -> HashMap<SocketAddr, &'a EndpointReport> {
    reports.filter_map(|report| Some((report.endpoint_addr?, report))).collect()
}
