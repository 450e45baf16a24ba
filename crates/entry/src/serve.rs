//! Start and graceful shutdown of an entry.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use anyhow::Context;
use cassiawheel_edge::{HttpClient, HttpInstances, HttpTable, HttpWeights, ORIGIN_METRICS};
use cassiawheel_model::{
    Timestamp,
    settings::{EntryListen, EntrySettings, ListenerSettings},
};
use cassiawheel_runtime::{
    ProcessSignals, ShutdownSignal, ShutdownTrigger,
    http::{ListenerLimits, serve as serve_http},
    probes::serve_probes,
    spawn,
};
use cassiawheel_wire::traffic::TRAFFIC;
use prometheus::Registry;
use smol::{Timer, net::TcpListener};

use crate::{
    admin, caller,
    control::{
        chunk_peers, entries, gossip, links, listing, manifests, membership, operators, orders,
        peers, poll, quarantine,
    },
    inner::serve_inner,
    metrics::EntryMetrics,
    pauses,
    routed::{RoutedAdapters, RoutedState},
    shared::EntryShared,
};

/// Longest idle time of a caller's connection.
///
/// Presets specify a shorter one, and callers reuse a connection only for part of that; a
/// connection closed during reuse costs a request.
const MAX_IDLE_TIME: Duration = Duration::from_secs(60);

/// Shortest time for which a leaving entry accepts new connections.
///
/// Callers keep an address for the advised time, some of them longer; the rest of the shutdown is
/// for requests in progress.
const MIN_LEAVE_TIME: Duration = Duration::from_millis(3_000);

/// Bound listeners of an entry.
struct EntryListeners {
    caller: TcpListener,
    admin: TcpListener,
    inner: TcpListener,
    metrics: TcpListener,
    routed: Option<RoutedListeners>,
}

/// Additional listeners of an entry with a route table.
struct RoutedListeners {
    ready: TcpListener,
    advice: TcpListener,
}

/// Runs until the process receives a termination signal, then drains.
pub(crate) async fn serve(
    settings: EntrySettings,
    adapters: Option<RoutedAdapters>,
) -> anyhow::Result<()> {
    let mut signals = ProcessSignals::listen()?;
    // All addresses are bound before anything else starts, so an entry that finds one in use exits
    // before it has announced itself.
    let listeners = EntryListeners::bind(&settings.listen, adapters.as_ref()).await?;
    let registry = Registry::new();
    let metrics = EntryMetrics::register(&registry)?;
    TRAFFIC.register(&registry)?;
    ORIGIN_METRICS.register(&registry)?;

    let shared = build_shared(settings, adapters, metrics);
    let (trigger, shutdown) = ShutdownTrigger::new();
    let (caller_trigger, caller_shutdown) = ShutdownTrigger::new();
    let ready = shared.clone();
    let is_ready =
        move || ready.active_preset.load().is_some() && !ready.leaving.load(Ordering::Acquire);
    spawn(serve_probes(listeners.metrics, registry, is_ready, shutdown.clone())).detach();
    spawn(serve_inner(shared.clone(), listeners.inner, shutdown.clone())).detach();
    start_control(&shared);
    spawn(serve_operators(shared.clone(), listeners.admin, shutdown)).detach();
    if let (Some(routed), Some(listeners)) = (&shared.routed, listeners.routed) {
        start_routed(&shared, routed, listeners, &caller_shutdown);
    }
    let callers = spawn(serve_callers(shared.clone(), listeners.caller, caller_shutdown));
    let caller_addr = shared.settings.listen.caller;
    log::info!(target: "process", instance:% = shared.settings.place.instance, caller:% = caller_addr; "The entry has started.");

    signals
        .wait_or_reload(|| {
            log::info!(target: "process", "The settings file has changed; restart to apply it.");
        })
        .await;
    let span = Duration::from_millis(shared.settings.control.drain_ms);
    let now = Timestamp::now();
    let deadline = now.deadline_after(span);
    shared.shutdown.begin(now, deadline);
    let drained = async {
        leave(&shared).await;
        caller_trigger.fire();
        callers.await;
    };
    let end = signals.drain_until(deadline, drained).await;
    trigger.fire();
    let remaining = shared.in_flight.load(Ordering::Relaxed);
    log::info!(target: "drain", in_flight = remaining; "The entry is exiting.");
    end.into_result(remaining)
}

impl EntryListeners {
    async fn bind(listen: &EntryListen, adapters: Option<&RoutedAdapters>) -> anyhow::Result<Self> {
        let routed = match adapters {
            Some(adapters) => Some(RoutedListeners {
                ready: bind(adapters.settings.listen_ready, "listen.ready").await?,
                advice: bind(adapters.settings.listen_advice, "listen.directory").await?,
            }),
            None => None,
        };
        Ok(Self {
            routed,
            caller: bind(listen.caller, "listen.caller").await?,
            admin: bind(listen.admin, "listen.admin").await?,
            inner: bind(listen.inner, "listen.inner").await?,
            metrics: bind(listen.metrics, "listen.metrics").await?,
        })
    }
}

fn build_shared(
    settings: EntrySettings,
    adapters: Option<RoutedAdapters>,
    metrics: EntryMetrics,
) -> Arc<EntryShared> {
    if let Some(adapters) = adapters {
        let (table, origin) = (adapters.table.clone(), adapters.origin.clone());
        let routed = Arc::new(RoutedState::new(adapters));
        return Arc::new(EntryShared::new(settings, table, origin, metrics, Some(routed)));
    }
    let client = HttpClient::default();
    let platform = &settings.platform;
    let span = Duration::from_millis(platform.timeout_ms);
    let table = Arc::new(HttpTable::new(client, platform.table, span));
    let origin = Arc::new(HttpWeights::new(platform.origin, span));
    Arc::new(EntryShared::new(settings, table, origin, metrics, None))
}

/// Starts the tasks that keep the active preset and the membership up to date.
fn start_control(shared: &Arc<EntryShared>) {
    spawn(chunk_peers::send_chunk_peers(shared.clone())).detach();
    spawn(orders::run_planner(shared.clone())).detach();
    spawn(peers::await_start_hold(shared.clone())).detach();
    match &shared.routed {
        Some(routed) => follow_feeds(shared, routed),
        None => poll_services(shared),
    }
}

/// Starts the tasks that follow the platform's tables.
fn follow_feeds(shared: &Arc<EntryShared>, routed: &Arc<RoutedState>) {
    spawn(operators::follow_operators(shared.clone(), routed.clone())).detach();
    spawn(listing::follow_listing(shared.clone(), routed.clone())).detach();
    spawn(manifests::pin_versions(shared.clone(), routed.clone())).detach();
    spawn(entries::keep_registered(shared.clone(), routed.clone())).detach();
    spawn(links::maintain_links(shared.clone(), routed.clone())).detach();
    spawn(gossip::send_changes(shared.clone(), routed.clone())).detach();
    spawn(quarantine::sync_barred(shared.clone(), routed.clone())).detach();
    spawn(pauses::watch(shared.clone(), routed.clone())).detach();
}

/// Starts the tasks that poll the platform's services.
fn poll_services(shared: &Arc<EntryShared>) {
    let platform = &shared.settings.platform;
    let span = Duration::from_millis(platform.timeout_ms);
    let list = Arc::new(HttpInstances::new(HttpClient::default(), platform.instances, span));
    spawn(peers::send_heartbeats(shared.clone())).detach();
    spawn(membership::expire_silent(shared.clone())).detach();
    spawn(poll::poll_force(shared.clone())).detach();
    spawn(membership::follow_list(shared.clone(), list)).detach();
    for peer in peers::dialled_peers(&shared.settings) {
        spawn(peers::maintain_peer(shared.clone(), peer)).detach();
    }
}

/// Serves the readiness probe and the advice to callers which entries to use.
fn start_routed(
    shared: &Arc<EntryShared>,
    routed: &Arc<RoutedState>,
    listeners: RoutedListeners,
    shutdown: &ShutdownSignal,
) {
    let limits = ListenerLimits::default();
    let (state, routed_state) = (shared.clone(), routed.clone());
    let ready =
        move |request, _| caller::answer_ready(state.clone(), routed_state.clone(), request);
    spawn(serve_http(listeners.ready, limits, shutdown.clone(), ready)).detach();
    let (state, routed_state) = (shared.clone(), routed.clone());
    let advice =
        move |request, _| caller::answer_advice(state.clone(), routed_state.clone(), request);
    spawn(serve_http(listeners.advice, limits, shutdown.clone(), advice)).detach();
}

async fn serve_operators(
    shared: Arc<EntryShared>,
    listener: TcpListener,
    shutdown: ShutdownSignal,
) {
    let limits = &shared.settings.limits;
    let limits = listener_limits(limits, limits.admin_connections);
    let answer = move |request, _| admin::accept(shared.clone(), request);
    serve_http(listener, limits, shutdown, answer).await;
}

async fn serve_callers(shared: Arc<EntryShared>, listener: TcpListener, shutdown: ShutdownSignal) {
    let settings = &shared.settings;
    let limits = listener_limits(&settings.limits, settings.caller.max_connections);
    match shared.routed.clone() {
        Some(routed) => {
            let limits = ListenerLimits { head_timeout: MAX_IDLE_TIME, ..limits };
            let answer =
                move |request, _| caller::accept_routed(shared.clone(), routed.clone(), request);
            serve_http(listener, limits, shutdown, answer).await;
        }
        None => {
            let answer = move |request, remote| caller::accept(shared.clone(), request, remote);
            serve_http(listener, limits, shutdown, answer).await;
        }
    }
}

fn listener_limits(settings: &ListenerSettings, connections: usize) -> ListenerLimits {
    ListenerLimits {
        connections,
        head_bytes: settings.head_bytes,
        head_timeout: Duration::from_millis(settings.head_ms),
        write_timeout: Duration::from_millis(settings.write_ms),
    }
}

async fn bind(addr: SocketAddr, path: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{path}: cannot listen at {addr}"))
}

/// Removes this entry from the advice and keeps serving until the last advice that named it has
/// expired.
async fn leave(shared: &EntryShared) {
    peers::announce_leaving(shared);
    log::info!(target: "drain", in_flight = shared.in_flight.load(Ordering::Relaxed); "The entry is leaving.");
    let advised = Duration::from_millis(shared.settings.caller.advice_ms);
    let span = if shared.routed.is_some() { MIN_LEAVE_TIME.max(advised) } else { advised };
    Timer::after(span).await;
}
