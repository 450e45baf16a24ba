//! Stand-in of an agent whose engine has loaded a part of the layers.
//!
//! It reports to one entry, which passes the reports on to others, and ignores all orders.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cassiawheel_model::{
    EndpointReport, EndpointRole, EndpointState, FailureDomain, InstanceId, LoadReport,
    LoadedLayers, PresetRevision, RegionName, ServiceName, Timestamp, WeightsBasis,
};
use cassiawheel_runtime::spawn;
use cassiawheel_wire::{ControlMessage, HelloMessage, ProcessKind, WireSender, connect};
use smol::{Task, Timer};

/// Time between two reports to the entry.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of the agent.
#[derive(Debug, Clone)]
pub struct LayerPlan {
    /// Name of the agent's instance.
    pub instance: String,
    /// Inner address of the entry that it reports to.
    pub entry: SocketAddr,
    /// Key with which the deployment's processes authenticate to each other.
    pub inner_key: &'static str,
    /// Service named in its reports.
    pub service: &'static str,
    /// Region and failure domain named in its reports.
    pub place: (&'static str, &'static str),
    /// Address of its engine.
    pub endpoint: SocketAddr,
}

/// What the agent reports.
#[derive(Debug, Clone)]
struct AgentState {
    layers: Option<LoadedLayers>,
    endpoint: EndpointState,
    basis: WeightsBasis,
    is_silent: bool,
}

/// A running agent, which stops when this is dropped.
#[derive(Debug)]
pub struct LayerAgent {
    state: Arc<Mutex<AgentState>>,
    _task: Task<()>,
}

impl LayerAgent {
    /// Starts an agent whose engine has loaded `layers`.
    pub fn start(plan: &LayerPlan, layers: Option<LoadedLayers>) -> anyhow::Result<Self> {
        let state = Arc::new(Mutex::new(AgentState {
            layers,
            endpoint: EndpointState::Empty,
            basis: WeightsBasis::Loaded,
            is_silent: false,
        }));
        let report = build_report(plan)?;
        let task = spawn(report_regularly(plan.clone(), report, state.clone()));
        Ok(Self { state, _task: task })
    }

    /// Changes the layers that the engine has loaded.
    pub fn set_layers(&self, layers: Option<LoadedLayers>) {
        lock(&self.state).layers = layers;
    }

    /// Changes the state of the endpoint and how it came to hold its weights.
    pub fn set_state(&self, endpoint: EndpointState, basis: WeightsBasis) {
        let mut state = lock(&self.state);
        state.endpoint = endpoint;
        state.basis = basis;
    }

    /// Stops or continues the reports; the connection stays open.
    pub fn set_silent(&self, is_silent: bool) {
        lock(&self.state).is_silent = is_silent;
    }
}

fn lock(state: &Mutex<AgentState>) -> MutexGuard<'_, AgentState> {
    state.lock().unwrap_or_else(|poison| poison.into_inner())
}

fn build_report(plan: &LayerPlan) -> anyhow::Result<EndpointReport> {
    let (region, failure_domain) = plan.place;
    Ok(EndpointReport {
        instance: InstanceId::new(&plan.instance)?,
        incarnation: Timestamp::now().0,
        sequence: 0,
        region: RegionName::new(region)?,
        failure_domain: FailureDomain::new(failure_domain)?,
        service: ServiceName::new(plan.service)?,
        role: EndpointRole::Model,
        inner_addr: plan.endpoint,
        endpoint_addr: Some(plan.endpoint),
        state: EndpointState::Empty,
        staged: None,
        load: idle(),
        revision: PresetRevision(u64::MAX),
        order: 0,
        ordered: None,
        engine_fencing: 0,
        limit: 0,
        layers: None,
        basis: Default::default(),
    })
}

fn idle() -> LoadReport {
    LoadReport { in_flight: 0, queued: 0, measured_at: Timestamp::now() }
}

/// Reports until the task is dropped; connects again when the connection has ended.
async fn report_regularly(
    plan: LayerPlan,
    mut report: EndpointReport,
    state: Arc<Mutex<AgentState>>,
) {
    loop {
        if let Ok((sender, mut receiver)) = connect(plan.entry, plan.inner_key, None).await {
            let _reader = spawn(async move { while receiver.recv().await.is_ok() {} });
            let hello = HelloMessage {
                kind: ProcessKind::Agent,
                instance: report.instance.clone(),
                incarnation: report.incarnation,
            };
            if sender.send(hello).await.is_ok() {
                report_over(&sender, &mut report, &state).await;
            }
        }
        Timer::after(REPORT_INTERVAL).await;
    }
}

/// Reports over one connection until it ends. The first report is whole, and so is each one after
/// a change; the others are loads.
async fn report_over(sender: &WireSender, report: &mut EndpointReport, state: &Mutex<AgentState>) {
    let mut is_known = false;
    loop {
        let AgentState { layers, endpoint, basis, is_silent } = lock(state).clone();
        let is_same = report.layers == layers && report.state == endpoint && report.basis == basis;
        let message = if is_silent {
            // Entries ignore it, but it keeps the connection open.
            ControlMessage::ReportWanted
        } else if is_known && is_same {
            ControlMessage::Beat(idle())
        } else {
            report.sequence += 1;
            report.layers = layers;
            report.state = endpoint;
            report.basis = basis;
            report.load = idle();
            ControlMessage::Report(Box::new(report.clone()))
        };
        if sender.send(message).await.is_err() {
            return;
        }
        is_known |= !is_silent;
        Timer::after(REPORT_INTERVAL).await;
    }
}
