//! Start and graceful shutdown of an entry.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use anyhow::Context;
use cassiawheel_model::{
    Timestamp,
    settings::{EntrySettings, ListenerSettings},
};
use cassiawheel_platform::{HttpClient, HttpInstances, HttpTable, HttpWeights};
use cassiawheel_runtime::{
    ShutdownTrigger, TerminationSignals,
    http::{ListenerLimits, serve as serve_http},
    probes::serve_probes,
    spawn,
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

/// Runs until the process is asked to stop; then drains.
pub(crate) async fn serve(settings: EntrySettings) -> anyhow::Result<()> {
    let mut signals = TerminationSignals::listen()?;
    // Every address is taken before anything else begins: an entry that finds
    // one in use ends without having told anyone that it is there.
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
    let (caller_trigger, caller_shutdown) = ShutdownTrigger::new();

    let ready = shared.clone();
    let is_ready = move || ready.force.load().is_some() && !ready.leaving.load(Ordering::Acquire);
    spawn(serve_probes(metrics_listener, registry, is_ready, shutdown.clone())).detach();
    spawn(serve_inner(shared.clone(), inner_listener, shutdown.clone())).detach();
    spawn(poll::poll_force(shared.clone())).detach();
    spawn(spread::beat(shared.clone())).detach();
    spawn(membership::expire_silent(shared.clone())).detach();
    spawn(membership::follow_list(shared.clone(), list)).detach();
    spawn(membership::introduce_agents(shared.clone())).detach();
    spawn(spread::settle(shared.clone())).detach();
    for peer in spread::chosen_peers(&shared.settings) {
        spawn(spread::keep_peer(shared.clone(), peer)).detach();
    }

    let admin_shared = shared.clone();
    let limits = &shared.settings.limits;
    let connections = shared.settings.caller.max_connections;
    let caller_limits = listener_limits(limits, connections);
    let admin_limits = listener_limits(limits, limits.admin_connections);
    let admin = serve_http(admin_listener, admin_limits, shutdown.clone(), move |request, _| {
        admin::accept(admin_shared.clone(), request)
    });
    spawn(admin).detach();
    let caller_shared = shared.clone();
    let callers =
        serve_http(caller_listener, caller_limits, caller_shutdown, move |request, remote| {
            caller::accept(caller_shared.clone(), request, remote)
        });
    let callers = spawn(callers);
    log::info!(target: "process", instance:% = shared.settings.place.instance, caller:% = listen.caller; "The entry runs.");

    signals.asked().await;
    let span = Duration::from_millis(shared.settings.control.drain_ms);
    let deadline = Timestamp::now().deadline_after(span);
    let drained = async {
        leave(&shared).await;
        caller_trigger.fire();
        callers.await;
    };
    let end = signals.finish(deadline, drained).await;
    trigger.fire();
    let left = shared.in_flight.load(Ordering::Relaxed);
    log::info!(target: "drain", in_flight = left; "The entry ends.");
    end.into_result(left)
}

fn listener_limits(settings: &ListenerSettings, connections: usize) -> ListenerLimits {
    ListenerLimits {
        connections,
        head_bytes: settings.head_bytes,
        head_time: Duration::from_millis(settings.head_ms),
        write_time: Duration::from_millis(settings.write_ms),
    }
}

async fn bind(addr: SocketAddr, path: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{path}: cannot listen at {addr}"))
}

/// Leaves the advice at once, and serves until the last answer that named this
/// entry has run out.
async fn leave(shared: &EntryShared) {
    spread::announce_leaving(shared);
    log::info!(target: "drain", in_flight = shared.in_flight.load(Ordering::Relaxed); "The entry leaves.");
    Timer::after(Duration::from_millis(shared.settings.caller.advice_ms)).await;
}
