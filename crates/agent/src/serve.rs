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
    endpoint::EndpointShared, entry_choice, entry_link, exchange, metrics::AgentMetrics, report,
    transfer,
};

/// Time for the last answers to leave the sockets.
const LINGER: Duration = Duration::from_millis(200);

/// Longest wait for an answer of the origin.
const ORIGIN_TIME: Duration = Duration::from_secs(60);

/// What an agent stands between.
pub struct AgentClients {
    /// The engine or plain service.
    pub engine: Arc<dyn ModelEngine>,
    /// The table service.
    pub table: Arc<dyn TableStore>,
    /// The origin of weights.
    pub origin: Arc<dyn WeightSource>,
}

impl AgentClients {
    /// The clients that the settings name.
    pub fn from_settings(settings: &AgentSettings) -> Self {
        let client = HttpClient::default();
        let platform = &settings.platform;
        let span = Duration::from_millis(platform.timeout_ms);
        Self {
            engine: Arc::new(HttpEngine::new(client.clone(), settings.engine.addr)),
            table: Arc::new(HttpTable::new(client, platform.table, span)),
            // Every fetch has a deadline of its own, which grows with the origin's queue.
            origin: Arc::new(HttpWeights::new(platform.origin, ORIGIN_TIME)),
        }
    }
}

/// Runs until the process is asked to stop; then drains.
pub(crate) async fn serve(settings: AgentSettings, clients: AgentClients) -> anyhow::Result<()> {
    let mut signals = ProcessSignals::listen()?;
    // Both addresses are taken before anything else begins: an agent that
    // finds one in use ends without having spoken to an entry or its engine.
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
        exchange::resume_engine(&shared).await;
    }
    connect_to_entries(&shared);
    spawn(exchange::follow_orders(shared.clone())).detach();
    spawn(report::report_regularly(shared.clone())).detach();
    log::info!(target: "process", instance:% = shared.settings.place.instance, inner:% = shared.settings.listen_inner; "The agent runs.");

    signals
        .wait_or_reload(|| {
            log::info!(target: "process", "The settings file has changed; it is read at the next start.");
        })
        .await;
    let deadline = Timestamp::now().deadline_after(Duration::from_millis(shared.settings.drain_ms));
    let end = signals.drain_until(deadline, drain(&shared)).await;
    trigger.fire();
    let left = shared.open_attempts();
    log::info!(target: "drain", in_progress = left; "The agent ends.");
    end.into_result(left)
}

/// Connects to the entries of the settings, or uses them as seeds where requests bypass the agent.
fn connect_to_entries(shared: &Arc<EndpointShared>) {
    if shared.settings.engine.is_direct() {
        spawn(entry_choice::keep_chosen(shared.clone())).detach();
        return;
    }
    for addr in chosen_entries(&shared.settings) {
        spawn(entry_link::keep_connected(shared.clone(), addr)).detach();
    }
}

async fn bind(addr: std::net::SocketAddr, path: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{path}: cannot listen at {addr}"))
}

/// The entries to dial: the same choice after every restart, spread over the agents.
pub(crate) fn chosen_entries(settings: &AgentSettings) -> Vec<std::net::SocketAddr> {
    let names: Vec<_> = settings.entries.iter().map(ToString::to_string).collect();
    let subject = subject_of(settings.place.instance.as_str());
    first_ranked(subject, names.iter().map(String::as_str), settings.entry_links)
        .into_iter()
        .filter_map(|name| name.parse().ok())
        .collect()
}

/// Admits nothing more, tells the entries, and finishes the requests in progress.
async fn drain(shared: &EndpointShared) {
    entry_link::leave(shared);
    while shared.open_attempts() > 0 {
        shared.permit_released().await;
    }
    smol::Timer::after(LINGER).await;
}
