//! Demand for services at this entry and at the others, and this entry's share of the slots.
//!
//! `request → count → rate → neighbours`, and `rates, present entries → shares`. Requests read
//! counts and shares without a lock; the task that sends changes to neighbours updates both.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use cassiawheel_decide::{
    DemandSample, DemandShare, DemandTable, LinkId, RouteSnapshot, rank::subject_of,
};
use cassiawheel_model::{Deadline, DemandRecord, InstanceId, ServiceName, Timestamp};

use crate::shared::EntryShared;

/// Shortest time between two updates of the rates and shares.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a share may be used after its computation.
///
/// If the task that computes shares is held up, the even share applies again.
const SHARE_TTL: Duration = Duration::from_secs(1);

/// Shortest time between two log lines about the share of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Difference between a share and the even one from which it is logged, as a fraction of the even
/// one.
const LOGGED_DIFFERENCE: f64 = 0.25;

/// Measures the demand at this entry and derives its share of the slots.
pub(crate) struct DemandMonitor {
    /// First-time requests by service; services that are not reached directly have no count.
    counts: ArcSwap<HashMap<ServiceName, Arc<AtomicU64>>>,
    /// Shares that differ from the even one, by service.
    shares: ArcSwap<HashMap<ServiceName, CurrentShare>>,
    state: Mutex<MonitorState>,
}

/// State that requests do not read.
struct MonitorState {
    table: DemandTable,
    update_at: Deadline,
    /// When the next line about the share of a service may be logged.
    log_at: HashMap<ServiceName, Deadline>,
}

/// A share of the free slots and the time until which it may be used.
#[derive(Debug, Clone, Copy)]
struct CurrentShare {
    fraction: f64,
    until: Deadline,
}

impl DemandMonitor {
    /// Creates a monitor of the entry `instance`, without demand.
    pub(crate) fn new(instance: &InstanceId) -> Self {
        let state = MonitorState {
            table: DemandTable::new(subject_of(instance.as_str())),
            update_at: Deadline(0),
            log_at: HashMap::new(),
        };
        Self { counts: ArcSwap::default(), shares: ArcSwap::default(), state: Mutex::new(state) }
    }

    /// Counts a first-time request for `service`.
    pub(crate) fn count(&self, service: &ServiceName) {
        if let Some(count) = self.counts.load().get(service) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the fraction of the free slots of `service` that this entry may use; `None` if the
    /// even one applies.
    pub(crate) fn fraction(&self, service: &ServiceName, now: Timestamp) -> Option<f64> {
        let shares = self.shares.load();
        let share = shares.get(service).filter(|share| !share.until.is_past(now))?;
        Some(share.fraction)
    }

    /// Merges the records that a neighbour has sent.
    pub(crate) fn merge(&self, records: &[DemandRecord], source: LinkId, now: Timestamp) {
        if records.is_empty() {
            return;
        }
        let mut state = self.lock();
        for record in records {
            state.table.merge(*record, source, now);
        }
    }

    /// Returns the records to send over `link`, and the change number up to which it is current
    /// afterwards.
    pub(crate) fn rows_since(
        &self,
        cursor: u64,
        link: LinkId,
        now: Timestamp,
    ) -> (Vec<DemandRecord>, u64) {
        self.lock().table.rows_since(cursor, link, now)
    }

    fn lock(&self) -> MutexGuard<'_, MonitorState> {
        self.state.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Keeps counts for the services that are reached directly, and for those that were before as
    /// long as `is_configured` is true.
    ///
    /// Without an endpoint a service is not in the snapshot. If its demand were not counted
    /// meanwhile, the rates of all entries would be wrong after an outage.
    fn refresh_counts(
        &self,
        routes: &RouteSnapshot,
        is_configured: impl Fn(&ServiceName) -> bool,
    ) -> Arc<HashMap<ServiceName, Arc<AtomicU64>>> {
        let known = self.counts.load_full();
        let direct = routes.services().filter(|(_, routes)| routes.has_direct());
        let mut names: Vec<_> = direct.map(|(name, _)| name).collect();
        names.extend(known.keys().filter(|name| is_configured(name)));
        names.sort_unstable();
        names.dedup();
        if names.len() == known.len() && names.iter().all(|name| known.contains_key(*name)) {
            return known;
        }
        let counts = names.into_iter().map(|name| {
            let count = known.get(name).cloned().unwrap_or_default();
            (name.clone(), count)
        });
        let counts: Arc<HashMap<_, _>> = Arc::new(counts.collect());
        self.counts.store(counts.clone());
        counts
    }
}

/// Updates the rates of this entry and its shares of the slots, unless that was done just before.
pub(crate) fn update_shares(shared: &EntryShared, now: Timestamp) {
    let monitor = &shared.demand;
    let mut state = monitor.lock();
    if !state.update_at.is_past(now) {
        return;
    }
    state.update_at = now.deadline_after(UPDATE_INTERVAL);
    let others: Vec<_> =
        shared.peers().iter().map(|(instance, _)| subject_of(instance.as_str())).collect();
    let routes = shared.routes.load();
    let preset = shared.active_preset.load();
    let services = preset.as_ref().map(|preset| &preset.content.services);
    let counts = monitor.refresh_counts(&routes, |name| {
        services.is_some_and(|services| services.contains_key(name))
    });
    shared.metrics.demand.retain(|name| counts.keys().any(|service| service.as_str() == name));
    let mut shares = HashMap::new();
    for (service, count) in counts.iter() {
        let subject = subject_of(service.as_str());
        let service_routes = routes.service(service);
        let sample = DemandSample {
            requests: count.swap(0, Ordering::Relaxed),
            used: service_routes.map_or(0.0, |routes| routes.used_fraction(now)),
            entries: others.len() + 1,
        };
        state.table.add_own(subject, sample, now);
        let share = state.table.share(subject, &others, now);
        let slow = service_routes.map_or(0, |routes| routes.slow_count(now));
        shared.metrics.demand.set(service.as_str(), &share, slow);
        state.log_share(service, &share, now);
        if let Some(fraction) = share.fraction {
            let until = now.deadline_after(SHARE_TTL);
            shares.insert(service.clone(), CurrentShare { fraction, until });
        }
    }
    state.log_at.retain(|service, _| counts.contains_key(service));
    state.table.expire(now);
    drop(state);
    monitor.shares.store(Arc::new(shares));
}

impl MonitorState {
    fn log_share(&mut self, service: &ServiceName, share: &DemandShare, now: Timestamp) {
        let is_due = self.log_at.get(service).is_none_or(|log_at| log_at.is_past(now));
        if !is_due || (share.factor() - 1.0).abs() < LOGGED_DIFFERENCE {
            return;
        }
        self.log_at.insert(service.clone(), now.deadline_after(LOG_INTERVAL));
        let factor = share.factor();
        log::info!(target: "demand", service:% = service, reason = share.reason.as_str(), factor:% = format_args!("{factor:.2}"), per_second:% = format_args!("{:.1}", share.own_per_second), mean_per_second:% = format_args!("{:.1}", share.mean_per_second), records = share.records, entries = share.entries; "The share of the free slots differs from the even one.");
    }
}
