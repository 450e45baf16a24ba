//! Injects faults at their planned times: signals to processes, link faults and
//! switches of the stand-ins.

use std::{
    collections::BTreeSet,
    net::IpAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context;
use cassiawheel_edge::ListedState;
use cassiawheel_model::Timestamp;
use cassiawheel_runtime::timeout;
use smol::{Timer, lock::Mutex};

use super::{
    records::{FaultRecord, LeaveRecord},
    scenario::{FaultKind, FaultPlan, parse_index},
};
use crate::{ChildProcess, Deployment, stand_in::link::LinkTrouble};

/// Delay of each answer of the table service during `StoreSlow`.
pub const SLOW_STORE: Duration = Duration::from_millis(400);
/// Delay of each piece of data on a slow link; a round trip takes twice as long.
const SLOW_LINK: Duration = Duration::from_millis(60);

/// Bandwidth of each connection on a narrow link, in bytes per second.
///
/// A chunk of 64 KiB takes a second; heartbeats, orders and answers still get through.
const NARROW_LINK: u64 = 64 << 10;

/// Longest wait for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Time between checks of a process that is stopping.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The deployment, shared by the tasks of a run.
pub type SharedDeployment = Arc<Mutex<Deployment>>;

/// Records of a fault that has ended.
pub struct FaultEnd {
    /// The fault itself.
    pub fault: FaultRecord,
    /// The planned stop of an endpoint, if the fault was one.
    pub leave: Option<LeaveRecord>,
}

/// Position of a process in the deployment.
#[derive(Debug, Clone, Copy)]
enum ProcessSlot {
    Entry(usize),
    Endpoint(usize),
}

impl ProcessSlot {
    fn parse(target: &str) -> anyhow::Result<Self> {
        let entry = parse_index(target, "entry-").map(Self::Entry);
        let endpoint = || parse_index(target, "endpoint-").map(Self::Endpoint);
        entry
            .or_else(endpoint)
            .with_context(|| format!("{target} is not a process of the deployment"))
    }

    fn process(self, deployment: &mut Deployment) -> &mut Option<ChildProcess> {
        match self {
            Self::Entry(index) => &mut deployment.entries[index].process,
            Self::Endpoint(index) => &mut deployment.endpoints[index].agent,
        }
    }

    /// Starts the process unless another fault has already done so.
    fn start(self, deployment: &mut Deployment) -> anyhow::Result<()> {
        if self.process(deployment).is_some() {
            return Ok(());
        }
        match self {
            Self::Entry(index) => deployment.restart_entry(index),
            Self::Endpoint(index) => deployment.restart_agent(index),
        }
    }

    fn ip(self, deployment: &Deployment) -> IpAddr {
        match self {
            Self::Entry(index) => deployment.entries[index].inner_addr.ip(),
            Self::Endpoint(index) => deployment.endpoints[index].inner_addr.ip(),
        }
    }
}

/// Waits for the start of the fault, injects it and reverts it at its end.
pub async fn apply(
    deployment: SharedDeployment,
    plan: FaultPlan,
    id: usize,
    started: Instant,
    failure_domains: usize,
) -> anyhow::Result<FaultEnd> {
    Timer::at(started + Duration::from_secs_f64(plan.at_s)).await;
    let from = Timestamp::now();
    let mut touched = Vec::new();
    let mut leave = None;
    match plan.kind {
        FaultKind::Kill | FaultKind::Pause => {
            touched.push(plan.target.clone());
            stop_hard(&deployment, &plan).await?;
        }
        FaultKind::Restart | FaultKind::Drain => {
            leave = stop_gracefully(&deployment, &plan).await?;
        }
        kind if kind.affects_links() => {
            let locked = deployment.lock().await;
            let side = link_side(&locked, &plan, failure_domains)?;
            locked.links.begin(id, side, link_trouble(kind));
            touched = match kind {
                // A partition may cut requests between its sides at processes on both.
                FaultKind::Partition => all_names(&locked),
                _ => vec![plan.target.clone()],
            };
            drop(locked);
            Timer::after(Duration::from_secs_f64(plan.for_s)).await;
            deployment.lock().await.links.end(id);
        }
        FaultKind::VersionChange => {}
        switch => {
            set_switch(&*deployment.lock().await, switch, true);
            Timer::after(Duration::from_secs_f64(plan.for_s)).await;
            set_switch(&*deployment.lock().await, switch, false);
        }
    }
    let fault = FaultRecord { kind: plan.kind, touched, from, until: Timestamp::now() };
    Ok(FaultEnd { fault, leave })
}

/// IP addresses of the instances on one side of the affected links.
fn link_side(
    deployment: &Deployment,
    plan: &FaultPlan,
    failure_domains: usize,
) -> anyhow::Result<BTreeSet<IpAddr>> {
    let slots = match plan.kind {
        FaultKind::Partition => {
            let domain = parse_index(&plan.target, "domain-")
                .context("the target is not a failure domain")?;
            domain_processes(deployment, domain, failure_domains)
        }
        _ => vec![ProcessSlot::parse(&plan.target)?],
    };
    Ok(slots.iter().map(|slot| slot.ip(deployment)).collect())
}

/// Maps the kind of a fault to the trouble of the affected links.
fn link_trouble(kind: FaultKind) -> LinkTrouble {
    match kind {
        FaultKind::CutOut => LinkTrouble::SeveredOut,
        FaultKind::SlowLink => LinkTrouble::Slow(SLOW_LINK),
        FaultKind::NarrowLink => LinkTrouble::Narrow(NARROW_LINK),
        FaultKind::ResetLink => LinkTrouble::Reset,
        _ => LinkTrouble::Severed,
    }
}

async fn stop_hard(deployment: &SharedDeployment, plan: &FaultPlan) -> anyhow::Result<()> {
    let slot = ProcessSlot::parse(&plan.target)?;
    let mut locked = deployment.lock().await;
    match (plan.kind, slot.process(&mut locked)) {
        (FaultKind::Pause, Some(process)) => process.pause()?,
        (_, process) => drop(process.take()),
    }
    drop(locked);
    Timer::after(Duration::from_secs_f64(plan.for_s)).await;
    let mut locked = deployment.lock().await;
    match (plan.kind, slot.process(&mut locked)) {
        (FaultKind::Pause, Some(process)) => process.resume()?,
        (FaultKind::Pause, None) => {}
        _ => slot.start(&mut locked)?,
    }
    Ok(())
}

async fn stop_gracefully(
    deployment: &SharedDeployment,
    plan: &FaultPlan,
) -> anyhow::Result<Option<LeaveRecord>> {
    let slot = ProcessSlot::parse(&plan.target)?;
    let from = Timestamp::now();
    let is_drain = plan.kind == FaultKind::Drain;
    if is_drain {
        set_listed_state(&*deployment.lock().await, slot, Some(ListedState::Leaving));
    }
    let id = match slot.process(&mut *deployment.lock().await) {
        Some(process) => {
            process.terminate()?;
            process.id()
        }
        None => return Ok(None),
    };
    let stopped = timeout(STOP_TIMEOUT, wait_until_stopped(deployment, slot, id)).await;
    stopped.with_context(|| format!("{} did not stop within {STOP_TIMEOUT:?}", plan.target))??;
    if is_drain {
        Timer::after(Duration::from_secs_f64(plan.for_s)).await;
        set_listed_state(&*deployment.lock().await, slot, None);
    }
    let until = Some(Timestamp::now());
    slot.start(&mut *deployment.lock().await)?;
    Ok(match slot {
        ProcessSlot::Entry(_) => None,
        ProcessSlot::Endpoint(_) => {
            Some(LeaveRecord { endpoint: plan.target.clone(), from, until })
        }
    })
}

/// Completes once the process `id` has ended or another one is in its slot.
///
/// The process stays in its slot while it is stopping, so that a pause that ends
/// meanwhile can resume it; a process that stays suspended would never stop.
async fn wait_until_stopped(
    deployment: &SharedDeployment,
    slot: ProcessSlot,
    id: u32,
) -> anyhow::Result<()> {
    loop {
        let mut locked = deployment.lock().await;
        let process = slot.process(&mut locked);
        let Some(running) = process.as_mut().filter(|running| running.id() == id) else {
            return Ok(());
        };
        if running.wait(Duration::ZERO).await?.is_some() {
            *process = None;
            return Ok(());
        }
        drop(locked);
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Sets or clears the state in which the platform lists an endpoint.
fn set_listed_state(deployment: &Deployment, slot: ProcessSlot, state: Option<ListedState>) {
    if let ProcessSlot::Endpoint(index) = slot {
        deployment.instances.set(&deployment.endpoints[index].instance, state);
    }
}

fn set_switch(deployment: &Deployment, kind: FaultKind, on: bool) {
    let (table, origin) = (&deployment.table_switches, &deployment.origin_switches);
    match kind {
        FaultKind::StoreDown => table.set_down(on),
        FaultKind::StoreLostAnswer => table.set_lose_answers(on),
        FaultKind::StoreSlow => table.set_delay(if on { SLOW_STORE } else { Duration::ZERO }),
        FaultKind::CorruptChunks => origin.set_corrupt(on),
        FaultKind::OriginDown => origin.set_down(on),
        FaultKind::Kill
        | FaultKind::Restart
        | FaultKind::Pause
        | FaultKind::Drain
        | FaultKind::StallLink
        | FaultKind::CutOut
        | FaultKind::SlowLink
        | FaultKind::NarrowLink
        | FaultKind::ResetLink
        | FaultKind::VersionChange
        | FaultKind::Partition => {}
    }
}

fn domain_processes(
    deployment: &Deployment,
    domain: usize,
    failure_domains: usize,
) -> Vec<ProcessSlot> {
    let in_domain = |index: &usize| index % failure_domains == domain;
    let entries = (0..deployment.entries.len()).filter(in_domain).map(ProcessSlot::Entry);
    let endpoints = (0..deployment.endpoints.len()).filter(in_domain).map(ProcessSlot::Endpoint);
    entries.chain(endpoints).collect()
}

fn all_names(deployment: &Deployment) -> Vec<String> {
    let entries = deployment.entries.iter().map(|entry| entry.instance.to_string());
    let endpoints = deployment.endpoints.iter().map(|endpoint| endpoint.instance.to_string());
    entries.chain(endpoints).collect()
}
