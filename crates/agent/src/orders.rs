//! Carries out orders: fetches weights, stages them and switches the engine to them.
//!
//! An order names the weights to hold; the engine switches to them only if `serve`
//! is set. An order whose fencing token is not higher than that of the newest order
//! is ignored.
//!
//! The old version serves until the new one is completely staged. The switch waits
//! for the requests in progress and relies only on the version that the engine
//! reports after loading.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use anyhow::Context;
use cassiawheel_decide::Adoption;
use cassiawheel_edge::{EngineError, EngineStatus, LoadOrder};
use cassiawheel_model::{EndpointRole, EndpointState, ForcedPreset, WeightsBasis};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::{WireSender, message::WeightOrder};

use crate::{endpoint::EndpointShared, layers, report, transfer};

/// Delay before a failed order is retried; doubles with every further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Upper bound of the delay before a failed order is retried.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Limit on how long the agent waits for the engine's status before its first report.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

/// Adopts a preset received from an entry if its revision is higher than the known one.
pub(crate) fn handle_preset(shared: &Arc<EndpointShared>, preset: Arc<ForcedPreset>) {
    let revision = preset.revision;
    match shared.holder().offer(preset) {
        Adoption::Adopted => {
            shared.gate().raise_revision(revision);
            log::info!(target: "preset", revision = revision.0; "A preset is in force.");
            report::send_report(shared);
        }
        Adoption::Conflicting => {
            log::error!(target: "preset", revision = revision.0; "Two presets have the same revision.");
        }
        Adoption::Unchanged | Adoption::Stale => {}
    }
}

/// Accepts an order received over the connection `entry` if its fencing token is the highest.
pub(crate) fn handle_order(shared: &EndpointShared, entry: &WireSender, mut order: WeightOrder) {
    if !shared.settings.transfer.partial_loads {
        order.layers = 0;
    }
    let mut newest = shared.order();
    // A planner that was paused may send an order that a later planner has replaced.
    if newest.as_ref().is_some_and(|known| known.fencing >= order.fencing) {
        return;
    }
    log::info!(target: "order", version:% = order.version, fencing = order.fencing, serve = order.serve; "A new order.");
    if let Some(origin) = &order.origin {
        shared.origin.set_addr(origin.addr);
    }
    if order.distrusts_held && shared.basis() == WeightsBasis::Adopted {
        let is_repeated = shared.engine.distrust_held();
        log::warn!(target: "switch", version:% = order.version, is_repeated = is_repeated; "The former process ended during a load.");
        shared.set_basis(match is_repeated {
            true => WeightsBasis::Unproved,
            false => WeightsBasis::Loaded,
        });
    }
    shared.layers.record_order(&order);
    *newest = Some(order);
    drop(newest);
    shared.set_order_source(entry.clone());
    // Entries resend an order until a report contains its fencing token.
    report::send_report(shared);
    shared.transfer.wake();
}

/// Carries out the newest order, for as long as the process runs.
pub(crate) async fn follow_orders(shared: Arc<EndpointShared>) {
    match shared.settings.engine.role {
        EndpointRole::Plain => open_plain_gate(&shared).await,
        EndpointRole::Model => follow_weight_orders(&shared).await,
    }
}

async fn open_plain_gate(shared: &EndpointShared) {
    let mut gate = shared.gate();
    let opened = gate.begin_switch().and_then(|()| gate.commit_switch(None));
    drop(gate);
    if let Err(error) = opened {
        log::info!(target: "switch", cause:% = error; "The gate stays closed.");
    }
}

async fn follow_weight_orders(shared: &Arc<EndpointShared>) {
    let mut done = None;
    let mut backoff = MIN_BACKOFF;
    loop {
        let newest = shared.order().clone();
        let Some(order) = newest.filter(|order| !is_carried_out(shared, order, done.as_ref()))
        else {
            shared.transfer.await_wake().await;
            continue;
        };
        match carry_out(shared, &order).await {
            Ok(OrderOutcome::Done) => {
                done = Some(order);
                backoff = MIN_BACKOFF;
            }
            Ok(OrderOutcome::Superseded) => {
                log::info!(target: "switch", version:% = order.version; "Stopped a transfer: a newer order replaced this one.");
                backoff = MIN_BACKOFF;
            }
            Err(error) => {
                log::warn!(target: "switch", version:% = order.version, cause:% = format!("{error:#}"); "Weights are not in place yet.");
                timeout(backoff, shared.transfer.await_wake()).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Outcome of an order that did not fail.
enum OrderOutcome {
    /// The ordered weights are staged, and loaded if `serve` is set.
    Done,
    /// A newer order arrived meanwhile; it is carried out next.
    Superseded,
}

/// Whether `order` was carried out and its weights are still in place.
fn is_carried_out(
    shared: &EndpointShared,
    order: &WeightOrder,
    done: Option<&WeightOrder>,
) -> bool {
    // An engine that lost its weights empties the gate; the order must then be
    // carried out again, or the endpoint would stay out of service.
    let lost = order.serve && *shared.gate().state() == EndpointState::Empty;
    done == Some(order) && !lost
}

/// Stops serving if the engine no longer holds the version that the gate reports.
///
/// An engine that restarts loses its weights, and one that ignores fencing
/// tokens may load an old version on a late order from an agent that was paused.
/// Callers would be routed here and get no answer, or one from another version.
/// `before` is the gate's state before the engine's status was requested.
pub(crate) fn check_engine(shared: &EndpointShared, before: &EndpointState, status: &EngineStatus) {
    let EndpointState::Serving { version: Some(version), .. } = before else {
        return;
    };
    if status.version.as_ref() == Some(version) {
        return;
    }
    let mut gate = shared.gate();
    if gate.state() != before || gate.begin_switch().is_err() {
        return;
    }
    gate.abort_switch();
    drop(gate);
    log::warn!(target: "switch", wanted:% = version, told:? = status.version; "The engine lost its weights.");
    shared.transfer.wake();
}

/// Adopts the version that the engine already serves, as after a restart of the agent.
///
/// Runs before the first report: a report of an empty endpoint would make an entry
/// order it to switch out of turn.
pub(crate) async fn resume_engine(shared: &EndpointShared) {
    let changes = shared.layers.release().changes();
    let Some(Ok(status)) = timeout(RESUME_TIMEOUT, layers::read_status(shared)).await else {
        return;
    };
    layers::observe_engine(shared, &status, changes);
    shared.engine_fencing.fetch_max(status.fencing, Ordering::Relaxed);
    adopt_engine_version(shared, &status);
}

/// Opens the gate for the version that the engine serves, unless a version has served before.
///
/// The engine may start later than the agent and may already hold weights when it
/// first answers, before any order has arrived.
pub(crate) fn adopt_engine_version(shared: &EndpointShared, status: &EngineStatus) {
    let Some(version) = &status.version else {
        return;
    };
    let mut gate = shared.gate();
    if *gate.state() != EndpointState::Empty || gate.has_served() {
        return;
    }
    let resumed = gate.begin_switch().and_then(|()| gate.commit_switch(Some(version.clone())));
    drop(gate);
    if resumed.is_ok() {
        shared.confirm_load();
        layers::withdraw(shared);
        log::info!(target: "switch", version:% = version; "Adopted the version that the engine serves.");
    }
}

async fn carry_out(
    shared: &Arc<EndpointShared>,
    order: &WeightOrder,
) -> anyhow::Result<OrderOutcome> {
    let status = layers::read_status(shared).await?;
    ensure_current(order, &status)?;
    if status.layers.is_some() {
        // Before the first order, the number of layers was unknown and the engine's version was
        // not adopted.
        adopt_engine_version(shared, &status);
    }
    let is_loaded = status.serves(&order.version, order.manifest);
    if is_loaded && is_empty(shared) {
        // The engine's answer to the load order was lost, or the engine started with
        // these weights after the order had arrived.
        shared.gate().begin_switch()?;
        layers::withdraw(shared);
        shared.gate().commit_switch(Some(order.version.clone()))?;
        shared.confirm_load();
        report::send_report(shared);
    }
    if is_loaded && gate_serves(shared, order) {
        // Entries stop resending the order once a report contains it. If the agent did
        // not offer its engine's chunks here, it never would, and agents that join while
        // the origin is unreachable would have no source.
        transfer::offer_served_weights(shared, order)
            .await
            .context("the served weights cannot be offered")?;
        return Ok(OrderOutcome::Done);
    }
    if !transfer::stage(shared, order).await? {
        return Ok(OrderOutcome::Superseded);
    }
    if order.serve && !switch_weights(shared, order).await? {
        return Ok(OrderOutcome::Superseded);
    }
    Ok(OrderOutcome::Done)
}

/// Whether the gate serves the version that `order` names.
fn gate_serves(shared: &EndpointShared, order: &WeightOrder) -> bool {
    matches!(
        shared.gate().state(),
        EndpointState::Serving { version, .. } if version.as_ref() == Some(&order.version)
    )
}

fn is_empty(shared: &EndpointShared) -> bool {
    *shared.gate().state() == EndpointState::Empty
}

/// Fails if `order` is older than the last order that the engine has carried out.
///
/// Some engines ignore fencing tokens. A restarted agent has seen no order yet and
/// would revert such an engine to an old version.
pub(crate) fn ensure_current(order: &WeightOrder, status: &EngineStatus) -> anyhow::Result<()> {
    anyhow::ensure!(
        order.fencing >= status.fencing,
        "the engine has already carried out order {}, which is newer than order {}",
        status.fencing,
        order.fencing
    );
    Ok(())
}

/// Loads the staged weights and serves them; false if others were ordered meanwhile.
async fn switch_weights(shared: &EndpointShared, order: &WeightOrder) -> anyhow::Result<bool> {
    let _engine = shared.layers.lock_engine().await;
    if !layers::await_release(shared, order, || !shared.is_still_ordered(order)).await {
        return Ok(false);
    }
    let before = shared.gate().state().clone();
    shared.gate().begin_switch()?;
    shared.set_basis(WeightsBasis::Unproved);
    let has_layers = shared.layers.release().reported().is_some();
    // An empty endpoint with some layers gets only requests of paths; its engine loads the rest
    // beside them.
    if before != EndpointState::Empty || !has_layers {
        announce_switch(shared).await;
    }
    while !shared.gate().can_swap_weights() {
        shared.permit_released().await;
    }
    if let Err(error) = load_and_verify(shared, order).await {
        recover_failed_load(shared, before, &error).await;
        return Err(error);
    }
    layers::withdraw(shared);
    shared.set_basis(WeightsBasis::Loaded);
    let generation = shared.gate().commit_switch(Some(order.version.clone()))?;
    log::info!(target: "switch", version:% = order.version, generation = generation; "A new version serves.");
    report::send_report(shared);
    transfer::discard_other_staging(shared, &[order.manifest]).await;
    Ok(true)
}

/// Reports to the entries that a switch has begun and waits until they stop routing here.
///
/// Only needed where requests bypass the agent: those that arrive during the switch
/// would wait in the engine until it has loaded the new version.
pub(crate) async fn announce_switch(shared: &EndpointShared) {
    let engine = &shared.settings.engine;
    if engine.is_direct() {
        report::send_report(shared);
        smol::Timer::after(Duration::from_millis(engine.notice_ms)).await;
    }
}

/// Serves the old version again if the engine refused the load and still holds that version.
async fn recover_failed_load(
    shared: &EndpointShared,
    before: EndpointState,
    error: &anyhow::Error,
) {
    let refused = matches!(error.downcast_ref(), Some(EngineError::Refused(_)));
    let loaded = layers::read_status(shared).await.ok().and_then(|status| status.version);
    let mut gate = shared.gate();
    // After a load order without an answer the engine may still change its weights;
    // requests admitted now could be answered from both versions.
    if let EndpointState::Serving { version: Some(version), .. } = before
        && refused
        && loaded.as_ref() == Some(&version)
        && gate.commit_switch(Some(version)).is_ok()
    {
        shared.set_basis(WeightsBasis::Loaded);
        return;
    }
    gate.abort_switch();
}

async fn load_and_verify(shared: &EndpointShared, order: &WeightOrder) -> anyhow::Result<()> {
    let load = LoadOrder {
        version: order.version.clone(),
        manifest: order.manifest,
        fencing: order.fencing,
    };
    ensure_current(order, &shared.engine.status().await?)?;
    let loaded = shared.engine.load_weights(&load).await;
    if matches!(loaded, Err(EngineError::Unproved(_))) {
        shared.metrics.unproved_loads.inc();
    }
    if let Some(age) = loaded? {
        shared.metrics.check_age_at_order.observe(age.at_order_ms as f64 / 1_000.0);
        shared.metrics.check_age_at_answer.observe(age.at_answer_ms as f64 / 1_000.0);
    }
    let status = layers::read_status(shared).await?;
    // The answer to a load order does not prove what is loaded: another process may
    // have sent an order in between.
    anyhow::ensure!(
        status.serves(&order.version, order.manifest),
        "after a load, the engine serves other weights than those ordered"
    );
    Ok(())
}
