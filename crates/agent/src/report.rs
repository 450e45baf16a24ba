//! Heartbeats to the entries.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_model::EndpointReport;
use cassiawheel_wire::ControlMessage;
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
        region: settings.place.region.clone(),
        failure_domain: settings.place.failure_domain.clone(),
        service: settings.engine.service.clone(),
        role: settings.engine.role,
        inner_addr: settings.advertise_inner.unwrap_or(settings.listen_inner),
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

/// Sends the present report to every connected entry.
pub(crate) fn send_report(shared: &EndpointShared) {
    let report = build_report(shared);
    shared
        .entries()
        .retain(|entry| entry.try_send(ControlMessage::Report(Box::new(report.clone()))).is_ok());
}

/// Reports at every heartbeat, after asking the engine for its load.
pub(crate) async fn report_regularly(shared: Arc<EndpointShared>) {
    loop {
        let before = shared.gate().state().clone();
        if let Ok(status) = shared.engine.status().await {
            exchange::check_engine(&shared, &before, &status);
            shared.engine_fencing.fetch_max(status.fencing, Ordering::Relaxed);
            *shared.load() = status.load;
        }
        send_report(&shared);
        shared.transfer.announce_held();
        Timer::after(Duration::from_millis(shared.settings.heartbeat_ms)).await;
    }
}
