//! Stand-in of a faulty agent, which announces chunks that it does not hold.
//!
//! It reports to an entry like any other agent, announces every chunk to each
//! peer that connects, and answers requests with wrong bytes, a refusal or nothing.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiawheel_model::{
    EndpointReport, EndpointRole, EndpointState, FailureDomain, InstanceId, LoadReport,
    ManifestDigest, PresetRevision, RegionName, ServiceName, Timestamp,
};
use cassiawheel_runtime::spawn;
use cassiawheel_wire::{
    ChunkMessage, ControlMessage, HelloMessage, ProcessKind, WireMessage, WireReceiver, WireSender,
    accept, connect, message::ChunkRefusal,
};
use smol::{Task, Timer, net::TcpListener};

/// Time between two reports to the entry.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// How the peer answers a request for a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFault {
    /// Sends bytes that do not match the chunk's digest.
    WrongBytes,
    /// Refuses a chunk that it has announced.
    Refusal,
    /// Sends no answer.
    Silence,
}

/// A running faulty agent, which stops when this is dropped.
#[derive(Debug)]
pub struct FaultyPeer {
    asked: Arc<AtomicU64>,
    _tasks: Vec<Task<()>>,
}

/// Settings of a faulty agent.
#[derive(Debug, Clone)]
pub struct FaultyPlan {
    /// Inner address of the entry that passes its address on to other agents.
    pub entry: SocketAddr,
    /// Key with which the deployment's processes authenticate to each other.
    pub inner_key: &'static str,
    /// Service named in its reports.
    pub service: &'static str,
    /// Manifest whose chunks it announces.
    pub manifest: ManifestDigest,
    /// Number of chunks in that manifest.
    pub chunks: usize,
    /// How it answers requests for chunks.
    pub fault: PeerFault,
}

impl FaultyPeer {
    /// Starts a faulty agent that listens at `listen` (port 0 picks a free one).
    pub async fn start(listen: SocketAddr, plan: FaultyPlan) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let report = build_report(listener.local_addr()?, &plan)?;
        let asked = Arc::new(AtomicU64::new(0));
        let serving = spawn(serve_peers(listener, plan.clone(), asked.clone()));
        let reporting = spawn(report_regularly(plan, report));
        Ok(Self { asked, _tasks: vec![serving, reporting] })
    }

    /// Number of requests for chunks so far.
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::Relaxed)
    }
}

fn build_report(inner_addr: SocketAddr, plan: &FaultyPlan) -> anyhow::Result<EndpointReport> {
    Ok(EndpointReport {
        instance: InstanceId::new("lying-peer")?,
        incarnation: 1,
        sequence: 0,
        region: RegionName::new("region-1")?,
        failure_domain: FailureDomain::new("domain-0")?,
        service: ServiceName::new(plan.service)?,
        role: EndpointRole::Model,
        inner_addr,
        endpoint_addr: None,
        state: EndpointState::Empty,
        staged: None,
        load: LoadReport { in_flight: 0, queued: 0, measured_at: Timestamp::now() },
        revision: PresetRevision(u64::MAX),
        order: u64::MAX,
        ordered: None,
        engine_fencing: 0,
        limit: 0,
        layers: None,
        basis: Default::default(),
    })
}

async fn report_regularly(plan: FaultyPlan, report: EndpointReport) {
    let Ok((sender, mut receiver)) = connect(plan.entry, plan.inner_key, None).await else {
        return;
    };
    let _reader = spawn(async move { while receiver.recv().await.is_ok() {} });
    let hello = HelloMessage {
        kind: ProcessKind::Agent,
        instance: report.instance.clone(),
        incarnation: report.incarnation,
    };
    if sender.send(hello).await.is_err() {
        return;
    }
    while sender.send(ControlMessage::Report(Box::new(report.clone()))).await.is_ok() {
        Timer::after(REPORT_TIME).await;
    }
}

async fn serve_peers(listener: TcpListener, plan: FaultyPlan, asked: Arc<AtomicU64>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (plan, asked) = (plan.clone(), asked.clone());
        spawn(async move {
            if let Ok((sender, receiver)) = accept(stream, plan.inner_key).await {
                answer_wrongly(&sender, receiver, &plan, &asked).await;
            }
        })
        .detach();
    }
}

async fn answer_wrongly(
    sender: &WireSender,
    mut receiver: WireReceiver,
    plan: &FaultyPlan,
    asked: &AtomicU64,
) {
    let bits = vec![u8::MAX; plan.chunks.div_ceil(8)];
    let announcement = ChunkMessage::Held { manifest: plan.manifest, bits };
    let _ = sender.send(announcement.clone()).await;
    let _ = sender.send(ChunkMessage::ToldAll).await;
    while let Ok(message) = receiver.recv().await {
        let WireMessage::Chunk(ChunkMessage::Wanted { call, .. }) = message else {
            continue;
        };
        asked.fetch_add(1, Ordering::Relaxed);
        let reply = match plan.fault {
            PeerFault::WrongBytes => {
                ChunkMessage::Bytes { call, bytes: vec![0; 1_024], last: true }
            }
            PeerFault::Refusal => ChunkMessage::Refused { call, reason: ChunkRefusal::NotHeld },
            PeerFault::Silence => continue,
        };
        let _ = sender.send(reply).await;
        // Real agents announce their chunks repeatedly as well.
        let _ = sender.send(announcement.clone()).await;
    }
}
