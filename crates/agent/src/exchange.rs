//! Following orders: fetch, stage, exchange.
//!
//! An order names the weights to hold; only one with `serve` set exchanges
//! them. An order with an older fencing token than the newest is ignored.
//!
//! The old version serves until the new one is staged as a whole. The exchange
//! waits for the requests in progress and trusts only the engine's own word of
//! what it loaded.

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::Adoption;
use cassiawheel_model::{EndpointRole, EndpointState, ForcedPreset};
use cassiawheel_platform::LoadOrder;
use cassiawheel_wire::message::WeightOrder;
use smol::Timer;

use crate::{endpoint::EndpointShared, report, transfer};

/// Wait before a failed step is tried again.
const TRY_AGAIN: Duration = Duration::from_millis(200);

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
        Adoption::Known | Adoption::Older => {}
    }
}

/// Considers an order that an entry sent.
pub(crate) fn offer_order(shared: &EndpointShared, order: WeightOrder) {
    let mut newest = shared.order();
    // A planner that was paused may send what a later one has replaced.
    if newest.as_ref().is_some_and(|known| known.fencing >= order.fencing) {
        return;
    }
    log::info!(target: "order", version:% = order.version, fencing = order.fencing, serve = order.serve; "A new order.");
    *newest = Some(order);
    drop(newest);
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
    resume_engine(shared).await;
    let mut reached = None;
    loop {
        let newest = shared.order().clone();
        let Some(order) = newest.filter(|order| reached.as_ref() != Some(order)) else {
            shared.transfer.woken().await;
            continue;
        };
        match reach(shared, &order).await {
            Ok(()) => reached = Some(order),
            Err(error) => {
                log::warn!(target: "switch", version:% = order.version, cause:% = format!("{error:#}"); "Weights are not in place yet.");
                Timer::after(TRY_AGAIN).await;
            }
        }
    }
}

/// Takes up what the engine already answers from, as after a restart of the agent.
async fn resume_engine(shared: &EndpointShared) {
    let Ok(status) = shared.engine.status().await else {
        return;
    };
    let Some(version) = status.version else {
        return;
    };
    let mut gate = shared.gate();
    let resumed = gate.begin_switch().and_then(|()| gate.commit_switch(Some(version.clone())));
    drop(gate);
    if resumed.is_ok() {
        log::info!(target: "switch", version:% = version; "Took up the engine's version.");
    }
}

async fn reach(shared: &Arc<EndpointShared>, order: &WeightOrder) -> anyhow::Result<()> {
    let status = shared.engine.status().await?;
    let serving = matches!(
        shared.gate().state(),
        EndpointState::Serving { version, .. } if version.as_ref() == Some(&order.version)
    );
    if serving && status.manifest == Some(order.manifest) {
        return Ok(());
    }
    if !transfer::stage(shared, order).await? {
        anyhow::bail!("a newer order came during the transfer");
    }
    if order.serve {
        exchange(shared, order).await?;
    }
    Ok(())
}

async fn exchange(shared: &EndpointShared, order: &WeightOrder) -> anyhow::Result<()> {
    shared.gate().begin_switch()?;
    while !shared.gate().may_exchange() {
        shared.permit_released().await;
    }
    let loaded = load(shared, order).await;
    if let Err(error) = loaded {
        shared.gate().abandon_switch();
        return Err(error);
    }
    let generation = shared.gate().commit_switch(Some(order.version.clone()))?;
    log::info!(target: "switch", version:% = order.version, generation = generation; "A new version serves.");
    report::send_report(shared);
    Ok(())
}

async fn load(shared: &EndpointShared, order: &WeightOrder) -> anyhow::Result<()> {
    let load = LoadOrder {
        version: order.version.clone(),
        manifest: order.manifest,
        fencing: order.fencing,
    };
    shared.engine.load(&load).await?;
    let status = shared.engine.status().await?;
    // The answer to an order tells what was asked, not what is loaded; another
    // process may have given an order in between.
    anyhow::ensure!(
        status.manifest == Some(order.manifest) && status.version.as_ref() == Some(&order.version),
        "the engine answers from other weights than ordered"
    );
    Ok(())
}
