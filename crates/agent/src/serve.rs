//! Start and graceful shutdown of an agent.

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use cassiawheel_decide::rank::{first_ranked, subject_of};
use cassiawheel_edge::{
    HttpClient, HttpEngine, HttpTable, HttpWeights, ModelEngine, ORIGIN_METRICS, TableStore,
    WeightSource,
};
use cassiawheel_model::{EndpointRole, Timestamp, settings::AgentSettings};
use cassiawheel_runtime::{ProcessSignals, ShutdownTrigger, probes::serve_probes, spawn};
use cassiawheel_wire::traffic::TRAFFIC;
use prometheus::Registry;
use smol::net::TcpListener;

use crate::{
    endpoint::EndpointShared, entry_link, entry_selection, metrics::AgentMetrics, orders, report,
    transfer,
};

/// Delay before the process exits, so that the last answers leave the sockets.
const CLOSE_GRACE: Duration = Duration::from_millis(200);

/// Timeout of a call to the origin.
const ORIGIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Clients of the external services that an agent uses.
pub struct AgentClients {
    /// Client of the engine or plain service at this instance.
    pub engine: Arc<dyn ModelEngine>,
    /// Client of the table service.
    pub table: Arc<dyn TableStore>,
    /// Client of the origin of weights.
    pub origin: Arc<dyn WeightSource>,
}

impl AgentClients {
    /// Creates HTTP clients for the addresses in `settings`.
    pub fn from_settings(settings: &AgentSettings) -> Self {
        let client = HttpClient::default();
        let platform = &settings.platform;
        let timeout = Duration::from_millis(platform.timeout_ms);
        Self {
            engine: Arc::new(HttpEngine::new(client.clone(), settings.engine.addr)),
            table: Arc::new(HttpTable::new(client, platform.table, timeout)),
            // Every fetch also has its own deadline, which grows with the origin's queue.
            origin: Arc::new(HttpWeights::new(platform.origin, ORIGIN_TIMEOUT)),
        }
    }
}

/// Runs the agent until a termination signal arrives, then drains.
pub async fn serve(settings: AgentSettings, clients: AgentClients) -> anyhow::Result<()> {
    let mut signals = ProcessSignals::listen()?;
    // Both listeners are bound before anything else starts: if an address is in use,
    // the agent exits before it contacts an entry or its engine.
    let inner = bind(settings.listen_inner, "listen_inner").await?;
    let metrics_listener = bind(settings.listen_metrics, "listen_metrics").await?;
    let registry = Registry::new();
    let metrics = AgentMetrics::register(&registry)?;
    TRAFFIC.register(&registry)?;
    ORIGIN_METRICS.register(&registry)?;
    let shared = Arc::new(EndpointShared::new(settings, clients, metrics));
    let (trigger, shutdown) = ShutdownTrigger::new();

    let ready = shared.clone();
    let is_ready = move || ready.holder().current().is_some();
    spawn(serve_probes(metrics_listener, registry, is_ready, shutdown.clone())).detach();
    spawn(transfer::serve_peers(shared.clone(), inner, shutdown.clone())).detach();
    if shared.settings.engine.role == EndpointRole::Model {
        orders::resume_engine(&shared).await;
    }
    connect_to_entries(&shared);
    spawn(orders::follow_orders(shared.clone())).detach();
    spawn(report::send_heartbeats(shared.clone())).detach();
    log::info!(target: "process", instance:% = shared.settings.place.instance, inner:% = shared.settings.listen_inner; "The agent has started.");

    signals
        .wait_or_reload(|| {
            log::info!(target: "process", "The settings file has changed; restart to apply it.");
        })
        .await;
    let deadline = Timestamp::now().deadline_after(Duration::from_millis(shared.settings.drain_ms));
    let end = signals.drain_until(deadline, drain(&shared)).await;
    trigger.fire();
    let unfinished = shared.open_attempts();
    log::info!(target: "drain", in_progress = unfinished; "The agent is exiting.");
    end.into_result(unfinished)
}

/// Connects to the entries in the settings, or uses them as seeds where requests bypass the agent.
fn connect_to_entries(shared: &Arc<EndpointShared>) {
    if shared.settings.engine.is_direct() {
        spawn(entry_selection::maintain_connections(shared.clone())).detach();
        return;
    }
    for addr in chosen_entries(&shared.settings) {
        spawn(entry_link::maintain_connection(shared.clone(), addr)).detach();
    }
}

async fn bind(addr: std::net::SocketAddr, path: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{path}: cannot listen at {addr}"))
}

/// Entries to dial, chosen by rendezvous hashing: the choice is stable across restarts, and
/// the agents spread over the entries.
pub(crate) fn chosen_entries(settings: &AgentSettings) -> Vec<std::net::SocketAddr> {
    let names: Vec<_> = settings.entries.iter().map(ToString::to_string).collect();
    let subject = subject_of(settings.place.instance.as_str());
    first_ranked(subject, names.iter().map(String::as_str), settings.entry_links)
        .into_iter()
        .filter_map(|name| name.parse().ok())
        .collect()
}

/// Stops admission, announces the drain and waits for the requests in progress.
async fn drain(shared: &EndpointShared) {
    entry_link::start_drain(shared);
    while shared.open_attempts() > 0 {
        shared.permit_released().await;
    }
    smol::Timer::after(CLOSE_GRACE).await;
}
