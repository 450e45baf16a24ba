//! Orders to agents: which weights to stage and to serve.
//!
//! `reports → plan → orders`, a batch at a time. Each order that is due is sent
//! to every agent that is connected here, and again with the next batch until
//! its report shows it, so that a lost push heals by itself.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_decide::{
    TurnLedger,
    plan::{PlanInput, PlannedOrder, plan_orders},
};
use cassiawheel_model::{PresetRevision, Timestamp};
use cassiawheel_wire::{ControlMessage, message::WeightOrder};
use smol::Timer;

use super::ahead::staged_now;
use crate::{link::AgentLink, shared::EntryShared};

/// Time after which orders are planned again though nothing has changed, so that
/// one that a full queue swallowed is sent again.
const REPEAT_TIME: Duration = Duration::from_millis(500);

/// Time between two plans.
const PLAN_TIME: Duration = Duration::from_millis(50);

/// Sends an agent that knows `revision` the preset in force, if that is newer.
pub(crate) fn send_preset(shared: &EntryShared, link: &AgentLink, revision: PresetRevision) {
    if shared.routed.is_some() {
        // No request passes the agent, so it needs orders only.
        return;
    }
    let force = shared.force.load_full();
    if let Some(preset) = force.filter(|preset| preset.revision > revision) {
        let _ = link.sender.try_send(ControlMessage::Force(preset));
    }
}

/// Plans again whenever a report or the preset changed, and now and then without a change.
pub(crate) async fn plan_regularly(shared: Arc<EntryShared>) {
    let mut repeat_at = Timestamp::now().deadline_after(REPEAT_TIME);
    let mut turns = TurnLedger::default();
    loop {
        Timer::after(PLAN_TIME).await;
        let now = Timestamp::now();
        if shared.plan_stale.swap(false, Ordering::AcqRel) || repeat_at.is_past(now) {
            repeat_at = now.deadline_after(REPEAT_TIME);
            let planned = due_orders(&shared);
            let released = match &shared.routed {
                Some(_) => turns.release(planned, shared.own_rank(), now),
                // Agents are connected to a few entries only, and each of these
                // has to give them their orders.
                None => planned,
            };
            for order in released {
                send_order(&shared, order);
            }
        }
    }
}

fn due_orders(shared: &EntryShared) -> Vec<PlannedOrder> {
    let Some(preset) = shared.force.load_full() else {
        return Vec::new();
    };
    let ahead = staged_now(shared);
    let roster = shared.roster();
    let reports: Vec<_> = roster
        .members()
        .filter(|member| !roster.is_leaving(member))
        .map(|member| &member.report)
        .collect();
    let ahead = ahead.as_ref().map(|ahead| &ahead.staged.content);
    match &shared.routed {
        Some(routed) => {
            let pace = routed.pace(&preset, Timestamp::now());
            let preset = routed.with_versions(&preset);
            let pace = pace.as_ref();
            plan_orders(PlanInput { preset: &preset, ahead, reports: &reports, pace })
        }
        None => plan_orders(PlanInput { preset: &preset, ahead, reports: &reports, pace: None }),
    }
}

fn send_order(shared: &EntryShared, planned: PlannedOrder) {
    let links = shared.links.load();
    let Some(link) = links.get(&planned.instance) else {
        return;
    };
    let PlannedOrder { instance, version, manifest, fencing, serve, reason } = planned;
    log::info!(target: "place", instance:% = instance, version:% = version, fencing = fencing, serve = serve, reason:? = reason; "Orders an endpoint.");
    let origin = shared.origin_place();
    let order = WeightOrder { version, manifest, fencing, serve, origin };
    let _ = link.sender.try_send(ControlMessage::Order(order));
}
