//! Following orders: fetch, stage, exchange.
//!
//! An order names the weights to hold; only one with `serve` set exchanges
//! them. An order with an older fencing token than the newest is ignored.
//!
//! The old version serves until the new one is staged as a whole. The exchange
//! waits for the requests in progress and trusts only the engine's own word of
//! what it loaded.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use anyhow::Context;
use cassiawheel_decide::Adoption;
use cassiawheel_edge::{EngineError, EngineStatus, LoadOrder};
use cassiawheel_model::{EndpointRole, EndpointState, ForcedPreset};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::{WireSender, message::WeightOrder};

use crate::{endpoint::EndpointShared, report, transfer};

/// Wait before a failed step is tried again; doubles with every further failure.
const TRY_AGAIN: Duration = Duration::from_millis(100);

/// Longest wait before a failed step is tried again.
const LONGEST_TRY_AGAIN: Duration = Duration::from_secs(2);

/// Longest wait for the engine's word before the agent reports.
const RESUME_TIME: Duration = Duration::from_secs(1);

/// Considers a preset that an entry sent.
pub(crate) fn offer_preset(shared: &Arc<EndpointShared>, preset: Arc<ForcedPreset>) {
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

/// Considers an order that came over the connection of `entry`.
pub(crate) fn offer_order(shared: &EndpointShared, entry: &WireSender, order: WeightOrder) {
    let mut newest = shared.order();
    // A planner that was paused may send what a later one has replaced.
    if newest.as_ref().is_some_and(|known| known.fencing >= order.fencing) {
        return;
    }
    log::info!(target: "order", version:% = order.version, fencing = order.fencing, serve = order.serve; "A new order.");
    if let Some(origin) = &order.origin {
        shared.origin.set_addr(origin.addr);
    }
    *newest = Some(order);
    drop(newest);
    shared.note_order_giver(entry.clone());
    // The entries repeat an order until a report shows it.
    report::send_report(shared);
    shared.transfer.wake();
}

/// Brings the endpoint to what the newest order wants, for ever.
pub(crate) async fn follow_orders(shared: Arc<EndpointShared>) {
    match shared.settings.engine.role {
        EndpointRole::Plain => serve_plain(&shared).await,
        EndpointRole::Model => follow_weights(&shared).await,
    }
}

async fn serve_plain(shared: &EndpointShared) {
    let mut gate = shared.gate();
    let opened = gate.begin_switch().and_then(|()| gate.commit_switch(None));
    drop(gate);
    if let Err(error) = opened {
        log::info!(target: "switch", cause:% = error; "The gate stays closed.");
    }
}

async fn follow_weights(shared: &Arc<EndpointShared>) {
    let mut reached = None;
    let mut wait = TRY_AGAIN;
    loop {
        let newest = shared.order().clone();
        let Some(order) = newest.filter(|order| !is_reached(shared, order, reached.as_ref()))
        else {
            shared.transfer.woken().await;
            continue;
        };
        match reach(shared, &order).await {
            Ok(ReachEnd::Reached) => {
                reached = Some(order);
                wait = TRY_AGAIN;
            }
            Ok(ReachEnd::Superseded) => {
                log::info!(target: "switch", version:% = order.version; "A newer order goes before.");
                wait = TRY_AGAIN;
            }
            Err(error) => {
                log::warn!(target: "switch", version:% = order.version, cause:% = format!("{error:#}"); "Weights are not in place yet.");
                timeout(wait, shared.transfer.woken()).await;
                wait = (wait * 2).min(LONGEST_TRY_AGAIN);
            }
        }
    }
}

/// How an order ended that did not fail.
enum ReachEnd {
    /// The endpoint is where the order wants it.
    Reached,
    /// A newer order came meanwhile, and is followed at once.
    Superseded,
}

/// Whether `order` was carried out and still holds.
fn is_reached(shared: &EndpointShared, order: &WeightOrder, reached: Option<&WeightOrder>) -> bool {
    // An engine that lost its weights empties the gate; the order must then be
    // carried out again, or the endpoint would stay out of service.
    let lost = order.serve && *shared.gate().state() == EndpointState::Empty;
    reached == Some(order) && !lost
}

/// Compares the engine's word with what the gate lets callers believe.
///
/// An engine that restarts loses its weights, and one that ignores fencing
/// tokens may be given an old version by an agent that was paused. Callers
/// would be routed here and get nothing, or an answer of another version.
/// `before` is the gate's state before the engine was asked.
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

/// Takes up what the engine already answers from, as after a restart of the agent.
///
/// Done before the first report: one that calls the endpoint empty would make
/// an entry order it to switch out of its turn.
pub(crate) async fn resume_engine(shared: &EndpointShared) {
    let Some(Ok(status)) = timeout(RESUME_TIME, shared.engine.status()).await else {
        return;
    };
    shared.engine_fencing.fetch_max(status.fencing, Ordering::Relaxed);
    take_up(shared, &status);
}

/// Opens the gate for what the engine answers from, if it is the first to do so.
///
/// The engine may start later than the agent; it then already holds weights at
/// the first report, before anybody has ordered any.
pub(crate) fn take_up(shared: &EndpointShared, status: &EngineStatus) {
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
        log::info!(target: "switch", version:% = version; "Took up the engine's version.");
    }
}

async fn reach(shared: &Arc<EndpointShared>, order: &WeightOrder) -> anyhow::Result<ReachEnd> {
    let status = shared.engine.status().await?;
    ensure_current(order, &status)?;
    let answers = status.serves(&order.version, order.manifest);
    if answers && is_empty(shared) {
        // The engine's answer to the order that did this was lost, or the engine
        // started with these weights after the order had come.
        shared.gate().begin_switch()?;
        shared.gate().commit_switch(Some(order.version.clone()))?;
        report::send_report(shared);
    }
    if answers && serves(shared, order) {
        // Nobody repeats the order once a report shows it. An agent that did not
        // tell what its engine holds would never do so, and agents that join
        // while the origin is away would have nobody to fetch from.
        transfer::resume(shared, order).await.context("the served weights cannot be offered")?;
        return Ok(ReachEnd::Reached);
    }
    if !transfer::stage(shared, order).await? {
        return Ok(ReachEnd::Superseded);
    }
    if order.serve {
        exchange(shared, order).await?;
    }
    Ok(ReachEnd::Reached)
}

/// Whether callers are answered from what `order` names.
fn serves(shared: &EndpointShared, order: &WeightOrder) -> bool {
    matches!(
        shared.gate().state(),
        EndpointState::Serving { version, .. } if version.as_ref() == Some(&order.version)
    )
}

fn is_empty(shared: &EndpointShared) -> bool {
    *shared.gate().state() == EndpointState::Empty
}

/// Refuses an order that is older than what the engine has carried out.
///
/// Some engines ignore fencing tokens. A new agent, which knows no order yet,
/// would make such an engine go back to an old version.
fn ensure_current(order: &WeightOrder, status: &EngineStatus) -> anyhow::Result<()> {
    anyhow::ensure!(
        order.fencing >= status.fencing,
        "the engine has carried out order {}, which is newer than {}",
        status.fencing,
        order.fencing
    );
    Ok(())
}

async fn exchange(shared: &EndpointShared, order: &WeightOrder) -> anyhow::Result<()> {
    let before = shared.gate().state().clone();
    shared.gate().begin_switch()?;
    announce_switch(shared).await;
    while !shared.gate().can_swap_weights() {
        shared.permit_released().await;
    }
    if let Err(error) = load(shared, order).await {
        settle_failed_load(shared, before, &error).await;
        return Err(error);
    }
    let generation = shared.gate().commit_switch(Some(order.version.clone()))?;
    log::info!(target: "switch", version:% = order.version, generation = generation; "A new version serves.");
    report::send_report(shared);
    transfer::release_others(shared, &[order.manifest]).await;
    Ok(())
}

/// Tells the entries that the engine takes nothing new, and leaves them time to hear it.
///
/// Where requests reach the engine without the agent, those that come during
/// the exchange would wait in the engine until it is over.
async fn announce_switch(shared: &EndpointShared) {
    let engine = &shared.settings.engine;
    if engine.is_direct() {
        report::send_report(shared);
        smol::Timer::after(Duration::from_millis(engine.notice_ms)).await;
    }
}

/// Serves the old version again, if it is certain that the engine kept it.
async fn settle_failed_load(shared: &EndpointShared, before: EndpointState, error: &anyhow::Error) {
    let refused = matches!(error.downcast_ref(), Some(EngineError::Refused(_)));
    let told = shared.engine.status().await.ok().and_then(|status| status.version);
    let mut gate = shared.gate();
    // After an order without an answer the engine may still change its weights;
    // requests let in now could be answered from both versions.
    if let EndpointState::Serving { version: Some(version), .. } = before
        && refused
        && told.as_ref() == Some(&version)
        && gate.commit_switch(Some(version)).is_ok()
    {
        return;
    }
    gate.abort_switch();
}

async fn load(shared: &EndpointShared, order: &WeightOrder) -> anyhow::Result<()> {
    let load = LoadOrder {
        version: order.version.clone(),
        manifest: order.manifest,
        fencing: order.fencing,
    };
    ensure_current(order, &shared.engine.status().await?)?;
    shared.engine.load_weights(&load).await?;
    let status = shared.engine.status().await?;
    // The answer to an order tells what was asked, not what is loaded; another
    // process may have given an order in between.
    anyhow::ensure!(
        status.serves(&order.version, order.manifest),
        "the engine answers from other weights than ordered"
    );
    Ok(())
}
