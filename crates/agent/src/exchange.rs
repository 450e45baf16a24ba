//! Following the preset in force: fetch, stage, exchange.
//!
//! The old version serves until the new one is staged as a whole. The exchange
//! waits for the requests in progress and trusts only the engine's own word of
//! what it loaded.

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::Adoption;
use cassiawheel_model::{
    EndpointRole, EndpointState, ForcedPreset, ManifestDigest, ModelVersion, ServiceTarget,
};
use cassiawheel_platform::LoadOrder;
use smol::Timer;

use crate::{endpoint::EndpointShared, report, transfer};

/// Wait before a failed step is tried again.
const TRY_AGAIN: Duration = Duration::from_millis(200);

/// The weights that the preset in force wants here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WeightTarget {
    /// The version.
    pub(crate) version: ModelVersion,
    /// Pins its bytes.
    pub(crate) manifest: ManifestDigest,
    /// Fencing token of the order to load it.
    pub(crate) fencing: u64,
}

/// Considers a preset that an entry sent.
pub(crate) fn offer_preset(shared: &Arc<EndpointShared>, preset: Arc<ForcedPreset>) {
    let revision = preset.revision;
    match shared.holder().offer(preset) {
        Adoption::Adopted => {
            shared.gate().raise_revision(revision);
            log::info!(target: "preset", revision = revision.0; "A preset is in force.");
            shared.transfer.wake();
            report::send_report(shared);
        }
        Adoption::Conflicting => {
            log::error!(target: "preset", revision = revision.0; "Two presets have the same revision.");
        }
        Adoption::Known | Adoption::Older => {}
    }
}

/// Brings the endpoint to what the preset in force wants, for ever.
pub(crate) async fn follow_preset(shared: Arc<EndpointShared>) {
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
        let target = wanted(shared);
        if target.is_none() || target == reached {
            shared.transfer.woken().await;
            continue;
        }
        let Some(wanted_now) = target else {
            continue;
        };
        match reach(shared, &wanted_now).await {
            Ok(()) => reached = Some(wanted_now),
            Err(error) => {
                log::warn!(target: "switch", version:% = wanted_now.version, cause:% = format!("{error:#}"); "Weights are not in place yet.");
                Timer::after(TRY_AGAIN).await;
            }
        }
    }
}

/// Takes up what the engine already answers from, as after a restart of the agent.
async fn resume_engine(shared: &EndpointShared) {
    while shared.holder().current().is_none() {
        shared.transfer.woken().await;
    }
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

fn wanted(shared: &EndpointShared) -> Option<WeightTarget> {
    let preset = shared.holder().current().cloned()?;
    let ServiceTarget { version, manifest, .. } =
        preset.content.services.get(&shared.settings.engine.service)?;
    Some(WeightTarget {
        version: version.clone()?,
        manifest: (*manifest)?,
        fencing: preset.revision.0,
    })
}

async fn reach(shared: &Arc<EndpointShared>, target: &WeightTarget) -> anyhow::Result<()> {
    let status = shared.engine.status().await?;
    let serving = matches!(
        shared.gate().state(),
        EndpointState::Serving { version, .. } if version.as_ref() == Some(&target.version)
    );
    if serving && status.manifest == Some(target.manifest) {
        return Ok(());
    }
    if !transfer::stage(shared, target).await? {
        anyhow::bail!("a newer preset came in force during the transfer");
    }
    exchange(shared, target).await
}

async fn exchange(shared: &EndpointShared, target: &WeightTarget) -> anyhow::Result<()> {
    shared.gate().begin_switch()?;
    while !shared.gate().may_exchange() {
        shared.permit_released().await;
    }
    let loaded = load(shared, target).await;
    if let Err(error) = loaded {
        shared.gate().abandon_switch();
        return Err(error);
    }
    let generation = shared.gate().commit_switch(Some(target.version.clone()))?;
    log::info!(target: "switch", version:% = target.version, generation = generation; "A new version serves.");
    report::send_report(shared);
    Ok(())
}

async fn load(shared: &EndpointShared, target: &WeightTarget) -> anyhow::Result<()> {
    let order = LoadOrder {
        version: target.version.clone(),
        manifest: target.manifest,
        fencing: target.fencing,
    };
    shared.engine.load(&order).await?;
    let status = shared.engine.status().await?;
    // The answer to an order tells what was asked, not what is loaded; another
    // process may have given an order in between.
    anyhow::ensure!(
        status.manifest == Some(target.manifest)
            && status.version.as_ref() == Some(&target.version),
        "the engine answers from other weights than ordered"
    );
    Ok(())
}
