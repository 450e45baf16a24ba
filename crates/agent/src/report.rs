//! Heartbeats to the entries.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_decide::SentReport;
use cassiawheel_model::{EndpointReport, LoadReport, Timestamp};
use cassiawheel_wire::{ControlMessage, WireSender};
use smol::Timer;

use crate::{endpoint::EndpointShared, exchange};

/// The endpoint's present report.
pub(crate) fn build_report(shared: &EndpointShared) -> EndpointReport {
    let settings = &shared.settings;
    let gate = shared.gate().clone();
    let order = shared.order().clone();
    let mut load = *shared.load();
    // The gate counts exactly what passes it; the engine's own number lags and
    // may hold work of an earlier process.
    load.in_flight = load.in_flight.max(gate.in_progress());
    EndpointReport {
        instance: settings.place.instance.clone(),
        incarnation: shared.incarnation,
        sequence: 0,
        region: settings.place.region.clone(),
        failure_domain: settings.place.failure_domain.clone(),
        service: settings.engine.service.clone(),
        role: settings.engine.role,
        inner_addr: settings.advertise_inner.unwrap_or(settings.listen_inner),
        endpoint_addr: settings.engine.is_direct().then_some(settings.engine.addr),
        state: gate.state().clone(),
        staged: shared.transfer.staged(),
        load,
        revision: gate.revision(),
        order: order.as_ref().map_or(0, |order| order.fencing),
        ordered: order.map(|order| order.manifest),
        engine_fencing: shared.engine_fencing.load(Ordering::Relaxed),
        limit: gate.limit(),
    }
}

/// Sends the whole present report to every connected entry.
pub(crate) fn send_report(shared: &EndpointShared) {
    let mut last = shared.last_report();
    let report = build_report(shared);
    send_whole(shared, &mut last, report);
}

/// Sends the whole present report to the entry at the other end of `sender`.
///
/// Only to this one: if each entry that connects or asks made the agent tell all
/// of them, their number would enter as its square.
pub(crate) fn send_report_to(shared: &EndpointShared, sender: &WireSender) {
    // Locked so that a report of an earlier state cannot be queued after it.
    let _last = shared.last_report();
    let report = numbered(shared, build_report(shared));
    let _ = sender.try_send(ControlMessage::Report(Box::new(report)));
}

/// Sends the load if the last whole report still holds, else a new one.
fn send_heartbeat(shared: &EndpointShared) {
    let now = Timestamp::now();
    let mut last = shared.last_report();
    let report = build_report(shared);
    if last.as_ref().is_some_and(|last| last.covers(&report, now)) {
        send_load(shared, report.load, now);
    } else {
        send_whole(shared, &mut last, report);
    }
}

/// Sends `report` and notes it as the last one.
///
/// `last` stays locked from the building of the report to its queueing: two
/// reports that overtook each other would leave the entries with the older
/// state, and the beats that follow would confirm it for ever.
fn send_whole(shared: &EndpointShared, last: &mut Option<SentReport>, report: EndpointReport) {
    let message = ControlMessage::Report(Box::new(numbered(shared, report.clone())));
    let reached_all = send_to_entries(shared, &message);
    // An entry whose queue was full would take the next beats for the state
    // before this one, and might route to an endpoint that switches.
    *last = reached_all.then(|| SentReport::new(report, Timestamp::now()));
}

/// `report` with the next sequence number.
fn numbered(shared: &EndpointShared, report: EndpointReport) -> EndpointReport {
    EndpointReport { sequence: shared.next_report(), ..report }
}

/// Queues `message` for every connected entry; false if a queue was full.
fn send_to_entries(shared: &EndpointShared, message: &ControlMessage) -> bool {
    let mut reached_all = true;
    shared.entries().retain(|entry| match entry.sender.try_send(message.clone()) {
        Ok(queued) => {
            reached_all &= queued;
            true
        }
        Err(_) => false,
    });
    reached_all
}

/// Queues the load for the entries that want to hear it now.
fn send_load(shared: &EndpointShared, load: LoadReport, now: Timestamp) {
    let message = ControlMessage::Beat(load);
    shared.entries().retain_mut(|entry| {
        !entry.pace.take_due(now) || entry.sender.try_send(message.clone()).is_ok()
    });
}

/// Reports at every heartbeat, after asking the engine for its load.
pub(crate) async fn report_regularly(shared: Arc<EndpointShared>) {
    let mut is_reached = true;
    loop {
        let before = shared.gate().state().clone();
        let status = shared.engine.status().await;
        if status.is_ok() && !is_reached {
            // An engine that starts again waits for weights; the next try to
            // bring them may be seconds away.
            log::info!(target: "switch", "The engine answers again.");
            shared.transfer.wake();
        }
        is_reached = status.is_ok();
        if let Ok(status) = status {
            exchange::check_engine(&shared, &before, &status);
            if shared.order().is_none() {
                exchange::take_up(&shared, &status);
            }
            shared.engine_fencing.fetch_max(status.fencing, Ordering::Relaxed);
            *shared.load() = status.load;
        }
        send_heartbeat(&shared);
        shared.transfer.repeat_held();
        Timer::after(Duration::from_millis(shared.settings.heartbeat_ms)).await;
    }
}
