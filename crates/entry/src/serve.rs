//! Start and graceful shutdown of an entry.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use anyhow::Context;
use cassiawheel_model::{Timestamp, settings::EntrySettings};
use cassiawheel_platform::{HttpClient, HttpInstances, HttpTable, HttpWeights};
use cassiawheel_runtime::{
    ShutdownTrigger,
    http::{ListenerLimits, serve as serve_http},
    probes::serve_probes,
    shutdown::termination,
    spawn, timeout,
};
use cassiawheel_wire::traffic::TRAFFIC;
use prometheus::Registry;
use smol::{Timer, net::TcpListener};

use crate::{
    admin, caller,
    control::{membership, poll, spread},
    inner::serve_inner,
    metrics::EntryMetrics,
    shared::EntryShared,
};

/// Time between looks at the requests in progress during a shutdown.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// Runs until the process is asked to stop; then drains.
pub(crate) async fn serve(settings: EntrySettings) -> anyhow::Result<()> {
    let listen = settings.listen.clone();
    let caller_listener = bind(listen.caller, "listen.caller").await?;
    let admin_listener = bind(listen.admin, "listen.admin").await?;
    let inner_listener = bind(listen.inner, "listen.inner").await?;
    let metrics_listener = bind(listen.metrics, "listen.metrics").await?;
    let registry = Registry::new();
    let metrics = EntryMetrics::register(&registry)?;
    TRAFFIC.register(&registry)?;

    let client = HttpClient::default();
    let span = Duration::from_millis(settings.platform.timeout_ms);
    let table = Arc::new(HttpTable::new(client.clone(), settings.platform.table, span));
    let origin = Arc::new(HttpWeights::new(client.clone(), settings.platform.origin, span));
    let list = Arc::new(HttpInstances::new(client, settings.platform.instances, span));
    let shared = Arc::new(EntryShared::new(settings, table, origin, metrics));
    let (trigger, shutdown) = ShutdownTrigger::new();

    let ready = shared.clone();
    let is_ready = move || ready.force.load().is_some() && !ready.leaving.load(Ordering::Acquire);
    spawn(serve_probes(metrics_listener, registry, is_ready, shutdown.clone())).detach();
    spawn(serve_inner(shared.clone(), inner_listener, shutdown.clone())).detach();
    spawn(poll::poll_force(shared.clone())).detach();
    spawn(spread::beat(shared.clone())).detach();
    spawn(membership::expire_silent(shared.clone())).detach();
    spawn(membership::follow_list(shared.clone(), list)).detach();
    spawn(membership::introduce_agents(shared.clone())).detach();
    for peer in shared.settings.peers.clone() {
        spawn(spread::keep_peer(shared.clone(), peer)).detach();
    }

    let admin_shared = shared.clone();
    let limits = ListenerLimits { connections: 128, ..ListenerLimits::default() };
    let admin = serve_http(admin_listener, limits, shutdown.clone(), move |request, _| {
        admin::accept(admin_shared.clone(), request)
    });
    spawn(admin).detach();
    let caller_shared = shared.clone();
    let connections = shared.settings.caller.max_connections;
    let limits = ListenerLimits { connections, ..ListenerLimits::default() };
    let callers = serve_http(caller_listener, limits, shutdown, move |request, remote| {
        caller::accept(caller_shared.clone(), request, remote)
    });
    let callers = spawn(callers);
    log::info!(target: "process", instance:% = shared.settings.place.instance, caller:% = listen.caller; "The entry runs.");

    termination().await?;
    drain(&shared).await;
    trigger.fire();
    timeout(Duration::from_millis(shared.settings.control.drain_ms), callers).await;
    log::info!(target: "drain", "The entry ends.");
    Ok(())
}

async fn bind(addr: SocketAddr, path: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{path}: cannot listen at {addr}"))
}

/// Leaves the advice at once, and serves until the last answer that named this
/// entry has run out and the last request is done.
async fn drain(shared: &EntryShared) {
    let control = &shared.settings.control;
    let deadline = Timestamp::now().deadline_after(Duration::from_millis(control.drain_ms));
    spread::announce_leaving(shared);
    log::info!(target: "drain", in_flight = shared.in_flight.load(Ordering::Relaxed); "The entry leaves.");
    Timer::after(Duration::from_millis(shared.settings.caller.advice_ms)).await;
    while shared.in_flight.load(Ordering::Relaxed) > 0 && !deadline.is_past(Timestamp::now()) {
        Timer::after(DRAIN_STEP).await;
    }
}
