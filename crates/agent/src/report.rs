//! Heartbeats to the entries.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_decide::SentReport;
use cassiawheel_model::{EndpointReport, LoadReport, Timestamp};
use cassiawheel_wire::{ControlMessage, WireSender};
use smol::Timer;

use crate::{endpoint::EndpointShared, layers, orders};

/// Builds a report of the endpoint's current state, without a sequence number.
pub(crate) fn build_report(shared: &EndpointShared) -> EndpointReport {
    let settings = &shared.settings;
    let gate = shared.gate().clone();
    let order = shared.order().clone();
    let mut load = *shared.load();
    // The gate's count is exact for this process; the engine's count lags and may
    // include requests from an earlier process.
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
        layers: layers::reported_layers(shared, gate.state()),
        basis: shared.basis(),
    }
}

/// Sends a full report of the current state to every connected entry.
pub(crate) fn send_report(shared: &EndpointShared) {
    let mut last = shared.last_report();
    let report = build_report(shared);
    send_full_report(shared, &mut last, report);
}

/// Sends a full report of the current state to the entry at the other end of `sender`.
///
/// Only to this entry: if every connection or request by an entry triggered a broadcast,
/// the number of messages would grow with the square of the number of entries.
pub(crate) fn send_report_to(shared: &EndpointShared, sender: &WireSender) {
    // Holding the lock prevents a report of an earlier state from being queued after this one.
    let _last = shared.last_report();
    let report = with_sequence(shared, build_report(shared));
    let _ = sender.try_send(ControlMessage::Report(Box::new(report)));
}

/// Sends only the load if the last full report is still accurate, else a new full report.
fn send_heartbeat(shared: &EndpointShared) {
    let now = Timestamp::now();
    let mut last = shared.last_report();
    let report = build_report(shared);
    // A load would confirm withdrawn layers at an entry that the report has not reached yet.
    let is_withdrawn = shared.layers.release().is_withdrawn_recently(now);
    if !is_withdrawn && last.as_ref().is_some_and(|last| last.covers(&report, now)) {
        send_load(shared, report.load, now);
    } else {
        send_full_report(shared, &mut last, report);
    }
}

/// Sends `report` to every connected entry and stores it as the last one.
///
/// `last` stays locked from building the report to queueing it. If two reports were
/// queued in the wrong order, the entries would keep the older state, and the load
/// messages that follow would confirm it for ever.
fn send_full_report(
    shared: &EndpointShared,
    last: &mut Option<SentReport>,
    report: EndpointReport,
) {
    let message = ControlMessage::Report(Box::new(with_sequence(shared, report.clone())));
    let reached_all = broadcast(shared, &message);
    // An entry whose queue was full would apply the next load messages to the previous
    // state and might route to an endpoint that is switching.
    *last = reached_all.then(|| SentReport::new(report, Timestamp::now()));
}

/// Sets the next sequence number in `report`.
fn with_sequence(shared: &EndpointShared, report: EndpointReport) -> EndpointReport {
    EndpointReport { sequence: shared.next_report_sequence(), ..report }
}

/// Queues `message` for every connected entry; false if a queue was full.
fn broadcast(shared: &EndpointShared, message: &ControlMessage) -> bool {
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

/// Queues the load for the entries whose load interval has elapsed.
fn send_load(shared: &EndpointShared, load: LoadReport, now: Timestamp) {
    let message = ControlMessage::Beat(load);
    shared.entries().retain_mut(|entry| {
        !entry.schedule.take_due(now) || entry.sender.try_send(message.clone()).is_ok()
    });
}

/// Sends a heartbeat at every interval, after reading the engine's status; never returns.
pub(crate) async fn send_heartbeats(shared: Arc<EndpointShared>) {
    let mut is_reached = true;
    loop {
        let before = shared.gate().state().clone();
        let changes = shared.layers.release().changes();
        let status = layers::read_status(&shared).await;
        if status.is_ok() && !is_reached {
            // A restarted engine has no weights; the backoff before the next try to
            // stage them may be seconds.
            log::info!(target: "switch", "The engine is reachable again.");
            shared.transfer.wake();
        }
        is_reached = status.is_ok();
        shared.layers.set_reachable(is_reached);
        if let Ok(status) = status {
            orders::check_engine(&shared, &before, &status);
            layers::observe_engine(&shared, &status, changes);
            if shared.order().is_none() {
                orders::adopt_engine_version(&shared, &status);
            }
            shared.engine_fencing.fetch_max(status.fencing, Ordering::Relaxed);
            *shared.load() = status.load;
        }
        send_heartbeat(&shared);
        shared.transfer.resend_holdings();
        Timer::after(Duration::from_millis(shared.settings.heartbeat_ms)).await;
    }
}
