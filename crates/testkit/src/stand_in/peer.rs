//! Stand-in of an agent that lies about the chunks it holds.
//!
//! It reports to an entry like any other agent, tells whoever connects that it
//! holds every chunk, and sends wrong bytes or none.

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

/// How the peer lies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerLie {
    /// It sends other bytes than asked for.
    WrongBytes,
    /// It says that it does not hold what it has just told.
    Refusal,
    /// It never answers.
    Silence,
}

/// A lying agent; dropping it ends it.
#[derive(Debug)]
pub struct LyingPeer {
    asked: Arc<AtomicU64>,
    _tasks: Vec<Task<()>>,
}

/// What a lying agent tells and to whom.
#[derive(Debug, Clone)]
pub struct LyingPlan {
    /// The entry that introduces it to the others.
    pub entry: SocketAddr,
    /// Key between the deployment's processes.
    pub inner_key: &'static str,
    /// The service that it says it belongs to.
    pub service: &'static str,
    /// The manifest of which it says it holds all chunks.
    pub manifest: ManifestDigest,
    /// Chunks in that manifest.
    pub chunks: usize,
    /// How it lies.
    pub lie: PeerLie,
}

impl LyingPeer {
    /// Starts a lying agent that listens at a free port of `listen`.
    pub async fn start(listen: SocketAddr, plan: LyingPlan) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let report = build_report(listener.local_addr()?, &plan)?;
        let asked = Arc::new(AtomicU64::new(0));
        let serving = spawn(serve_peers(listener, plan.clone(), asked.clone()));
        let reporting = spawn(report_regularly(plan, report));
        Ok(Self { asked, _tasks: vec![serving, reporting] })
    }

    /// Chunks that it was asked for so far.
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::Relaxed)
    }
}

fn build_report(inner_addr: SocketAddr, plan: &LyingPlan) -> anyhow::Result<EndpointReport> {
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
    })
}

async fn report_regularly(plan: LyingPlan, report: EndpointReport) {
    let Ok((sender, _receiver)) = connect(plan.entry, plan.inner_key, None).await else {
        return;
    };
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

async fn serve_peers(listener: TcpListener, plan: LyingPlan, asked: Arc<AtomicU64>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (plan, asked) = (plan.clone(), asked.clone());
        spawn(async move {
            if let Ok((sender, receiver)) = accept(stream, plan.inner_key).await {
                lie_to(&sender, receiver, &plan, &asked).await;
            }
        })
        .detach();
    }
}

async fn lie_to(
    sender: &WireSender,
    mut receiver: WireReceiver,
    plan: &LyingPlan,
    asked: &AtomicU64,
) {
    let bits = vec![u8::MAX; plan.chunks.div_ceil(8)];
    let told = ChunkMessage::Held { manifest: plan.manifest, bits };
    let _ = sender.send(told.clone()).await;
    let _ = sender.send(ChunkMessage::ToldAll).await;
    while let Ok(message) = receiver.recv().await {
        let WireMessage::Chunk(ChunkMessage::Wanted { call, .. }) = message else {
            continue;
        };
        asked.fetch_add(1, Ordering::Relaxed);
        let reply = match plan.lie {
            PeerLie::WrongBytes => ChunkMessage::Bytes { call, bytes: vec![0; 1_024], last: true },
            PeerLie::Refusal => ChunkMessage::Refused { call, reason: ChunkRefusal::NotHeld },
            PeerLie::Silence => continue,
        };
        let _ = sender.send(reply).await;
        // Others repeat what they hold, too.
        let _ = sender.send(told.clone()).await;
    }
}
