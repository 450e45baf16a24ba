//! Orders to agents: which weights to stage and to serve.
//!
//! `reports → plan → orders`, in batches. An order that is due is sent to every connected agent,
//! and again with later batches until the agent's report shows it, so a lost message needs no other
//! recovery.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_decide::{
    SwitchStagger,
    plan::{PlanInput, PlannedOrder, plan_orders},
};
use cassiawheel_model::{InstanceId, PresetRevision, Timestamp};
use cassiawheel_wire::{
    ControlMessage,
    message::{EndpointOrder, WeightOrder},
};
use smol::Timer;

use super::{peers, staging::current_staging};
use crate::{link::AgentLink, shared::EntryShared};

/// Interval after which orders are planned again without a change, to resend orders that a full
/// queue dropped.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two checks whether to plan.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Sends the active preset to an agent that has an older `revision`.
pub(crate) fn send_preset(shared: &EntryShared, link: &AgentLink, revision: PresetRevision) {
    if shared.routed.is_some() {
        // Requests do not pass through the agent, so it needs only orders.
        return;
    }
    let active = shared.active_preset.load_full();
    if let Some(preset) = active.filter(|preset| preset.revision > revision) {
        let _ = link.sender.try_send(ControlMessage::Force(preset));
    }
}

/// Plans again after each change of a report or the preset, and at a regular interval.
pub(crate) async fn run_planner(shared: Arc<EntryShared>) {
    let mut resend_at = Timestamp::now().deadline_after(RESEND_INTERVAL);
    let mut stagger = SwitchStagger::default();
    let mut sent = SentOrders::default();
    loop {
        Timer::after(PLAN_INTERVAL).await;
        let now = Timestamp::now();
        if shared.plan_stale.swap(false, Ordering::AcqRel) || resend_at.is_past(now) {
            resend_at = now.deadline_after(RESEND_INTERVAL);
            let planned = current_orders(&shared);
            if shared.routed.is_none() {
                planned.into_iter().for_each(|order| send_order(&shared, order));
                continue;
            }
            let mut released = stagger.release(planned, shared.own_rank(), now);
            released.retain(|order| sent.record(order, now));
            send_orders(&shared, released);
        }
    }
}

fn current_orders(shared: &EntryShared) -> Vec<PlannedOrder> {
    let Some(preset) = shared.active_preset.load_full() else {
        return Vec::new();
    };
    let staging = current_staging(shared);
    let roster = shared.roster();
    let reports: Vec<_> = roster
        .members()
        .filter(|member| !roster.is_leaving(member))
        .map(|member| &member.report)
        .collect();
    let ahead = staging.as_ref().map(|row| &row.staged.content);
    match &shared.routed {
        Some(routed) => {
            let schedule = routed.rollout_schedule(&preset, Timestamp::now());
            let preset = routed.with_versions(&preset);
            let rollout = schedule.as_ref();
            plan_orders(PlanInput { preset: &preset, ahead, reports: &reports, rollout })
        }
        None => plan_orders(PlanInput { preset: &preset, ahead, reports: &reports, rollout: None }),
    }
}

/// Fencing number and time of the last order to each instance.
#[derive(Default)]
struct SentOrders {
    sent: HashMap<InstanceId, (u64, Timestamp)>,
}

impl SentOrders {
    /// Records an order; false if it was sent too recently to show in a report.
    fn record(&mut self, order: &PlannedOrder, now: Timestamp) -> bool {
        let last = self.sent.get(&order.instance);
        let is_due = last.is_none_or(|(fencing, sent_at)| {
            *fencing != order.fencing || now.since(*sent_at) >= RESEND_INTERVAL
        });
        if is_due {
            self.sent.insert(order.instance.clone(), (order.fencing, now));
        }
        is_due
    }
}

/// Sends orders to connected agents, and switch orders also through the other entries.
///
/// All other orders are derived by each entry for its own agents.
fn send_orders(shared: &EntryShared, released: Vec<PlannedOrder>) {
    let mut switches = Vec::new();
    for planned in released {
        let instance = planned.instance.clone();
        if planned.is_switch() {
            switches.push(EndpointOrder { instance, order: weight_order(shared, &planned) });
        }
        send_order(shared, planned);
    }
    if !switches.is_empty() {
        peers::send_to_peers(shared, &ControlMessage::Orders(switches));
    }
}

/// Sends orders from another entry to the agents that are connected here.
pub(crate) fn forward_orders(shared: &EntryShared, orders: Vec<EndpointOrder>) {
    let links = shared.links.load();
    for EndpointOrder { instance, order } in orders {
        if let Some(link) = links.get(&instance) {
            let _ = link.sender.try_send(ControlMessage::Order(order));
        }
    }
}

fn send_order(shared: &EntryShared, planned: PlannedOrder) {
    let links = shared.links.load();
    let Some(link) = links.get(&planned.instance) else {
        return;
    };
    let order = weight_order(shared, &planned);
    let PlannedOrder { instance, version, fencing, serve, reason, .. } = planned;
    log::info!(target: "place", instance:% = instance, version:% = version, fencing = fencing, serve = serve, reason:? = reason; "Sent an order to an endpoint.");
    let _ = link.sender.try_send(ControlMessage::Order(order));
}

fn weight_order(shared: &EntryShared, planned: &PlannedOrder) -> WeightOrder {
    WeightOrder {
        version: planned.version.clone(),
        manifest: planned.manifest,
        fencing: planned.fencing,
        serve: planned.serve,
        origin: shared.origin_place(),
        layers: planned.layers,
        retired: planned.retired.clone(),
        distrusts_held: planned.distrusts_held,
    }
}
