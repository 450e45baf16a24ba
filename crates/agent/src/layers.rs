//! Loads half of the layers of a version while the rest is still being staged.
//!
//! An engine that serves nothing can so take part in paths through several engines before it
//! holds a whole version. The load runs beside staging. Before each load of another version than
//! that of the reported layers, the agent stops reporting them and waits until no entry uses them
//! any more; this also holds for loads of whole versions.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cassiawheel_decide::{
    EngineHolding, LayerHalf, LayerRelease,
    layers::{may_load_part, should_give_up_layers},
};
use cassiawheel_edge::{EngineError, EngineStatus, LayerOrder, LoadOrder};
use cassiawheel_model::{
    EndpointState, LayerRange, LoadedLayers, ManifestDigest, ModelVersion, Timestamp,
};
use cassiawheel_wire::message::WeightOrder;
use smol::{Timer, lock};

use crate::{endpoint::EndpointShared, orders, report};

/// Interval at which a waiting load checks whether it is still needed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Delay before a failed load is retried; doubles with every further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Upper bound of that delay.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Number of ordered versions whose numbers of layers are kept.
const MAX_TOTALS: usize = 4;

/// Layers of the engine, as known to the tasks of an agent.
pub(crate) struct LayerState {
    partial_loads: bool,
    release: Mutex<LayerRelease>,
    /// Numbers of layers by ordered version, newest last; empty before the first order.
    totals: Mutex<Vec<(ModelVersion, u32)>>,
    /// The newest ordered manifest, and when it was first ordered.
    ordered: Mutex<Option<(ManifestDigest, Timestamp)>>,
    refuses_ranges: AtomicBool,
    /// Whether the last status call failed.
    engine_unreachable: AtomicBool,
    engine_lock: lock::Mutex<()>,
}

impl LayerState {
    /// State of a process that has just started; without `partial_loads`, reported layers count as
    /// a whole version.
    pub(crate) fn new(now: Timestamp, partial_loads: bool) -> Self {
        Self {
            partial_loads,
            release: Mutex::new(LayerRelease::new(now)),
            totals: Mutex::default(),
            ordered: Mutex::default(),
            refuses_ranges: AtomicBool::new(false),
            engine_unreachable: AtomicBool::new(false),
            engine_lock: lock::Mutex::new(()),
        }
    }

    /// Locks the layers to report and the release of earlier ones.
    pub(crate) fn release(&self) -> MutexGuard<'_, LayerRelease> {
        self.release.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Records whether the engine answered the last status call.
    pub(crate) fn set_reachable(&self, is_reachable: bool) {
        self.engine_unreachable.store(!is_reachable, Ordering::Relaxed);
    }

    /// Excludes other loads of the engine until the guard is dropped.
    pub(crate) async fn lock_engine(&self) -> lock::MutexGuard<'_, ()> {
        self.engine_lock.lock().await
    }

    /// Records the number of layers and the time of an accepted order.
    pub(crate) fn record_order(&self, order: &WeightOrder) {
        let mut totals = self.totals.lock().unwrap_or_else(|poison| poison.into_inner());
        // An entry of an older build names no layers; the engine may still hold some.
        if order.layers > 0 || totals.is_empty() {
            totals.retain(|(version, _)| *version != order.version);
            totals.push((order.version.clone(), order.layers));
            let surplus = totals.len().saturating_sub(MAX_TOTALS);
            totals.drain(..surplus);
        }
        drop(totals);
        let mut ordered = self.ordered.lock().unwrap_or_else(|poison| poison.into_inner());
        if ordered.is_none_or(|(manifest, _)| manifest != order.manifest) {
            *ordered = Some((order.manifest, Timestamp::now()));
        }
    }

    fn holding(&self, status: &EngineStatus) -> EngineHolding {
        let totals = self.totals.lock().unwrap_or_else(|poison| poison.into_inner());
        let held = status.layers.as_ref().map(|layers| &layers.version);
        let of_held = totals.iter().find(|(version, _)| Some(version) == held);
        let total = of_held.or_else(|| totals.last()).map(|(_, total)| *total);
        let total = if self.partial_loads { total } else { Some(0) };
        EngineHolding::new(status.version.as_ref(), status.layers.as_ref(), total)
    }

    fn since_ordered(&self, now: Timestamp) -> Duration {
        let ordered = *self.ordered.lock().unwrap_or_else(|poison| poison.into_inner());
        ordered.map_or(Duration::ZERO, |(_, at)| now.since(at))
    }
}

/// Reads the engine's status, without the version of an engine that has only some of its layers.
pub(crate) async fn read_status(shared: &EndpointShared) -> Result<EngineStatus, EngineError> {
    let mut status = shared.engine.status().await?;
    status.version = shared.layers.holding(&status).whole().cloned();
    Ok(status)
}

/// Compares the engine's status with the reported layers.
///
/// `changes` is the number of changes before the status was read.
pub(crate) fn observe_engine(shared: &EndpointShared, status: &EngineStatus, changes: u64) {
    let holding = shared.layers.holding(status);
    let mut release = shared.layers.release();
    if !release.observe(&holding, changes, Timestamp::now()) {
        return;
    }
    let reported = release.reported().cloned();
    drop(release);
    set_loaded_metric(shared, reported.as_ref());
    match reported {
        Some(layers) => {
            log::info!(target: "layers", version:% = layers.version, from = layers.range.from(), to = layers.range.to(); "The engine holds layers of a version.");
        }
        None => log::warn!(target: "layers", "The engine no longer holds the reported layers."),
    }
}

fn set_loaded_metric(shared: &EndpointShared, layers: Option<&LoadedLayers>) {
    let count = layers.map_or(0, |layers| layers.range.to() - layers.range.from());
    shared.metrics.loaded_layers.set(i64::from(count));
}

/// Layers for the report; none once the endpoint serves a whole version or leaves.
pub(crate) fn reported_layers(
    shared: &EndpointShared,
    state: &EndpointState,
) -> Option<LoadedLayers> {
    // Entries would send requests on paths through a dead engine as long as its agent reports.
    let is_unreachable = shared.layers.engine_unreachable.load(Ordering::Relaxed);
    let is_idle = matches!(state, EndpointState::Empty | EndpointState::Switching);
    let may_report = is_idle && !is_unreachable;
    shared.layers.release().reported().filter(|_| may_report).cloned()
}

/// Stops reporting layers; false if none were reported.
pub(crate) fn withdraw(shared: &EndpointShared) -> bool {
    let is_withdrawn = shared.layers.release().withdraw(Timestamp::now());
    if is_withdrawn {
        set_loaded_metric(shared, None);
    }
    is_withdrawn
}

/// Stops reporting layers of other versions than `version`, and tells the entries.
fn withdraw_others(shared: &EndpointShared, version: &ModelVersion) {
    let is_other = shared.layers.release().reports_other(version);
    if is_other && withdraw(shared) {
        log::info!(target: "layers", next:% = version; "Layers of an older version are no longer offered.");
        report::send_report(shared);
    }
}

/// Waits until the engine may load the version of `order`; false if `is_over` before that.
pub(crate) async fn await_release(
    shared: &EndpointShared,
    order: &WeightOrder,
    is_over: impl Fn() -> bool,
) -> bool {
    if order.layers <= 1 && shared.layers.release().changes() == 0 {
        return true;
    }
    withdraw_others(shared, &order.version);
    loop {
        let may_load_at = shared.layers.release().may_load_at(&order.version);
        if may_load_at.is_some_and(|at| at.is_past(Timestamp::now())) {
            return true;
        }
        if is_over() {
            return false;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// The half of the layers that this agent loads first; none if the model is not divided.
pub(crate) fn own_half(shared: &EndpointShared, order: &WeightOrder) -> Option<LayerRange> {
    let place = &shared.settings.place;
    if !shared.settings.engine.is_direct() {
        return None;
    }
    let peers = shared.transfer.peers();
    let near = peers.iter().filter(|peer| peer.region == place.region);
    let names = near.map(|peer| &peer.instance);
    LayerHalf::first_of(order.manifest, &place.instance, names).range(order.layers)
}

/// Gives up the layers of an older version once enough chunks of the own half are staged.
pub(crate) fn give_up_older_layers(shared: &EndpointShared, staged: usize, half_chunks: usize) {
    let has_layers = shared.layers.release().reported().is_some();
    if !has_layers || !should_give_up_layers(staged, half_chunks) {
        return;
    }
    let newest = shared.order().clone();
    if let Some(order) = newest.filter(|order| order.serve) {
        withdraw_others(shared, &order.version);
    }
}

/// Returns the newest order if the engine may load a part of its version now.
pub(crate) fn due_order(shared: &EndpointShared) -> Option<WeightOrder> {
    let order = shared.order().clone().filter(|order| order.serve && order.layers > 1)?;
    // If the engine has the other half of this version, all layers are loaded next.
    let has_layers = shared.layers.release().reported().is_some_and(|l| l.version == order.version);
    let is_refused = shared.layers.refuses_ranges.load(Ordering::Relaxed);
    let may_load = may_load_part(shared.gate().state(), order.retired.as_ref());
    (may_load && !has_layers && !is_refused).then_some(order)
}

/// How the load of a half ended.
#[derive(Debug)]
pub(crate) enum HalfOutcome {
    /// The engine says that it has the layers.
    Loaded,
    /// These staged chunks are missing or corrupt; nothing was loaded.
    Damaged(Vec<usize>),
    /// The load is not needed or not possible any more.
    Ended,
}

/// Load of the own half, beside staging.
pub(crate) struct HalfLoad {
    /// Order that names the version.
    pub(crate) order: WeightOrder,
    /// The layers to load.
    pub(crate) range: LayerRange,
    /// Set when staging has ended; the whole version or another one is loaded next.
    pub(crate) staging_ended: Arc<AtomicBool>,
}

impl HalfLoad {
    /// Loads the half, with retries until staging ends.
    pub(crate) async fn run(&self, shared: &EndpointShared) -> HalfOutcome {
        let mut backoff = MIN_BACKOFF;
        loop {
            match self.attempt(shared).await {
                Ok(outcome) => return outcome,
                Err(EngineError::Damaged(chunks)) => {
                    shared.metrics.failed_partial_loads.inc();
                    log::warn!(target: "layers", version:% = self.order.version, chunks:? = chunks; "Staged chunks are missing or corrupt; they are fetched again.");
                    return HalfOutcome::Damaged(chunks);
                }
                Err(EngineError::Unsupported(detail)) => {
                    shared.metrics.failed_partial_loads.inc();
                    shared.layers.refuses_ranges.store(true, Ordering::Relaxed);
                    log::warn!(target: "layers", cause:% = detail; "The engine loads whole versions only.");
                    return HalfOutcome::Ended;
                }
                Err(error) => {
                    shared.metrics.failed_partial_loads.inc();
                    if matches!(error, EngineError::Unproved(_)) {
                        shared.metrics.unproved_loads.inc();
                    }
                    log::warn!(target: "layers", version:% = self.order.version, cause:% = error; "Layers are not loaded yet.");
                }
            }
            Timer::after(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn attempt(&self, shared: &EndpointShared) -> Result<HalfOutcome, EngineError> {
        let _engine = shared.layers.lock_engine().await;
        let may_load = await_release(shared, &self.order, || self.is_over()).await;
        if !may_load || self.is_over() {
            return Ok(HalfOutcome::Ended);
        }
        orders::ensure_current(&self.order, &shared.engine.status().await?)
            .map_err(|error| EngineError::Refused(error.to_string()))?;
        let was_serving = match self.begin_drain(shared) {
            Some(was_serving) => was_serving,
            None => return Ok(HalfOutcome::Ended),
        };
        let loaded = self.drain_and_load(shared, was_serving).await;
        // The version that was served before may not answer any more, whatever the engine holds.
        if was_serving {
            shared.gate().abort_switch();
            report::send_report(shared);
        }
        loaded
    }

    fn is_over(&self) -> bool {
        self.staging_ended.load(Ordering::Relaxed)
    }

    /// Closes the gate of an endpoint that serves a retired version, and tells whether it did;
    /// none if the endpoint may not load a part any more.
    fn begin_drain(&self, shared: &EndpointShared) -> Option<bool> {
        let mut gate = shared.gate();
        if !may_load_part(gate.state(), self.order.retired.as_ref()) {
            return None;
        }
        let is_serving = *gate.state() != EndpointState::Empty;
        if is_serving && gate.begin_switch().is_err() {
            return None;
        }
        Some(is_serving)
    }

    async fn drain_and_load(
        &self,
        shared: &EndpointShared,
        was_serving: bool,
    ) -> Result<HalfOutcome, EngineError> {
        if was_serving {
            orders::announce_switch(shared).await;
            while !shared.gate().can_swap_weights() {
                shared.permit_released().await;
            }
        }
        if self.is_over() {
            return Ok(HalfOutcome::Ended);
        }
        let WeightOrder { version, manifest, fencing, layers, .. } = &self.order;
        let load = LoadOrder { version: version.clone(), manifest: *manifest, fencing: *fencing };
        let order = LayerOrder { load, range: self.range, layers: *layers };
        let answer = shared.engine.load_layers(&order).await;
        if let Err(error @ (EngineError::Damaged(_) | EngineError::Unsupported(_))) = answer {
            return Err(error);
        }
        // An answer may be lost, and it does not prove what is loaded.
        let holding = shared.layers.holding(&shared.engine.status().await?);
        match holding {
            EngineHolding::Part(loaded) if self.is_covered_by(&loaded) => {
                self.record_loaded(shared, loaded);
                Ok(HalfOutcome::Loaded)
            }
            other => Err(answer.err().unwrap_or_else(|| {
                EngineError::Refused(format!("after the load, the engine holds {other:?}"))
            })),
        }
    }

    fn is_covered_by(&self, loaded: &LoadedLayers) -> bool {
        loaded.version == self.order.version && loaded.range.contains(self.range)
    }

    fn record_loaded(&self, shared: &EndpointShared, loaded: LoadedLayers) {
        let since_ms = shared.layers.since_ordered(Timestamp::now()).as_millis() as u64;
        log::info!(target: "layers", version:% = loaded.version, from = loaded.range.from(), to = loaded.range.to(), since_ordered_ms = since_ms; "Layers are loaded.");
        shared.metrics.partial_loads.inc();
        set_loaded_metric(shared, Some(&loaded));
        shared.layers.release().loaded(loaded);
        report::send_report(shared);
    }
}
