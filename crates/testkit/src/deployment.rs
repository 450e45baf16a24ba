//! A complete deployment on loopback: stand-ins in this process, entries and
//! agents as child processes.
//!
//! Every instance has its own IP address in 127.0.0.0/8, so ports never collide
//! and a link is identified by its two addresses.

mod layout;

use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::{
    InstanceId,
    settings::{CallerSettings, ControlSettings, PlatformSettings, TransferSettings},
};
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, header::AUTHORIZATION};
use smol::{Task, net::TcpStream};
use tempfile::TempDir;

use self::layout::{
    DeploymentLayout, LIST_PORT, ORIGIN_PORT, PLATFORM_HOST, claim_net, start_process,
};
use crate::{
    ChildProcess, FaultSwitches,
    stand_in::{
        RunningStandIn, engine::EngineState, instances::InstanceRows, link::LinkFaults,
        origin::OriginImages, plain::PlainLedger, table::TableRows,
    },
};

/// API token with the operator role.
pub const OPERATOR_TOKEN: &str = "operator-token-for-tests";
/// API token with the view-only role.
pub const VIEWER_TOKEN: &str = "viewer-token-for-tests";
/// Key with which the deployment's processes authenticate to each other.
pub const INNER_KEY: &str = "inner-key-for-tests-only";
/// Name of the model service.
pub const MODEL_SERVICE: &str = "desk";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "ledger";
/// Name of the second plain service.
pub const WEB_SERVICE: &str = "site";

/// Longest wait until all entries listen.
const START_TIME: Duration = Duration::from_secs(20);

/// Size and settings of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines, each with an agent.
    pub model_agents: usize,
    /// Number of endpoints of [`PLAIN_SERVICE`], each with an agent.
    pub plain_agents: usize,
    /// Number of endpoints of [`WEB_SERVICE`], each with an agent.
    pub web_agents: usize,
    /// Number of failure domains over which instances are spread.
    pub failure_domains: usize,
    /// Whether a relay in front of each inner address can inject link faults.
    pub severable_links: bool,
    /// Rate of the origin's link, in bytes per second; zero is unlimited.
    pub origin_bytes_per_s: u64,
    /// Transfer settings of the agents.
    pub transfer: TransferSettings,
    /// Control settings of the entries.
    pub control: ControlSettings,
    /// Caller settings of the entries.
    pub caller: CallerSettings,
    /// Log level of all processes.
    pub log_level: String,
    /// Whether the model engines refuse load orders with an old fencing token.
    pub checks_fencing: bool,
    /// Highest number of requests that an agent admits at a time.
    pub max_in_flight: u32,
    /// Time that the plain services take for a call.
    pub plain_work: Duration,
}

impl Default for DeploymentPlan {
    fn default() -> Self {
        Self {
            entries: 3,
            model_agents: 4,
            plain_agents: 0,
            web_agents: 0,
            failure_domains: 2,
            severable_links: false,
            origin_bytes_per_s: 0,
            transfer: TransferSettings::default(),
            control: ControlSettings { poll_ms: 200, ..ControlSettings::default() },
            caller: CallerSettings { advice_ms: 300, ..CallerSettings::default() },
            log_level: "info".to_owned(),
            checks_fencing: true,
            max_in_flight: 32,
            plain_work: Duration::from_millis(5),
        }
    }
}

impl DeploymentPlan {
    /// Number of endpoints of all services.
    pub fn endpoints(&self) -> usize {
        self.model_agents + self.plain_agents + self.web_agents
    }
}

/// An endpoint and its agent.
pub struct TestEndpoint {
    /// Instance id of the agent.
    pub instance: InstanceId,
    /// Model engine; none if the endpoint is a plain service.
    pub engine: Option<Arc<EngineState>>,
    /// Plain service; none if the endpoint is a model engine.
    pub ledger: Option<Arc<PlainLedger>>,
    /// Fault switches of the engine or plain service.
    pub switches: Arc<FaultSwitches>,
    /// Process of the agent; none while it is stopped.
    pub agent: Option<ChildProcess>,
    /// Settings file of the agent.
    pub config: PathBuf,
    /// Address on which the agent listens for other processes of the deployment.
    pub inner_addr: SocketAddr,
    /// Address at which the agent serves its metrics.
    pub metrics_addr: SocketAddr,
    /// Address on which the engine or plain service listens.
    pub stand_in_addr: SocketAddr,
    _stand_in: RunningStandIn,
}

impl TestEndpoint {
    /// Address on which the engine or plain service listens.
    pub fn engine_addr(&self) -> SocketAddr {
        self._stand_in.addr
    }
}

/// An entry and the addresses on which it listens.
pub struct TestEntry {
    /// Instance id of the entry.
    pub instance: InstanceId,
    /// Process of the entry; none while it is stopped.
    pub process: Option<ChildProcess>,
    /// Settings file of the entry.
    pub config: PathBuf,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address of the operators' API.
    pub admin_addr: SocketAddr,
    /// Address for connections from other processes of the deployment.
    pub inner_addr: SocketAddr,
    /// Address at which it serves its metrics.
    pub metrics_addr: SocketAddr,
}

/// A running deployment; its processes and stand-ins stop when it is dropped.
pub struct Deployment {
    /// Rows of the table service.
    pub table: Arc<TableRows>,
    /// Fault switches of the table service.
    pub table_switches: Arc<FaultSwitches>,
    /// Versions and counters of the origin.
    pub origin: Arc<OriginImages>,
    /// Fault switches of the origin.
    pub origin_switches: Arc<FaultSwitches>,
    /// Rows of the platform's list of instances.
    pub instances: Arc<InstanceRows>,
    /// Endpoints with their agents: model engines first, then plain services.
    pub endpoints: Vec<TestEndpoint>,
    /// Entries, in the order of their start.
    pub entries: Vec<TestEntry>,
    /// Active link faults; they have an effect only if the links are severable.
    pub links: Arc<LinkFaults>,
    client: HttpClient,
    folder: TempDir,
    _stand_ins: Vec<RunningStandIn>,
    _relays: Vec<Task<()>>,
}

impl Deployment {
    /// Starts the stand-ins and processes of `plan` and waits until the entries listen.
    pub async fn start(plan: &DeploymentPlan) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir()?;
        let table = Arc::new(TableRows::default());
        let table_switches = Arc::new(FaultSwitches::default());
        let (net, table_stand_in) = claim_net(&table, &table_switches).await?;
        let platform_host = IpAddr::V4(net.host(PLATFORM_HOST));
        let origin = Arc::new(OriginImages::new(plan.origin_bytes_per_s));
        let origin_switches = Arc::new(FaultSwitches::default());
        let instances = Arc::new(InstanceRows::default());
        let platform = PlatformSettings {
            table: table_stand_in.addr,
            origin: SocketAddr::new(platform_host, ORIGIN_PORT),
            instances: SocketAddr::new(platform_host, LIST_PORT),
            timeout_ms: 1_000,
        };
        let stand_ins = vec![
            table_stand_in,
            origin.serve(platform.origin, origin_switches.clone()).await?,
            instances.serve(platform.instances, Arc::default()).await?,
        ];
        let layout = DeploymentLayout { plan, net, platform, folder: folder.path() };
        let links = Arc::new(LinkFaults::default());
        let relays = layout.start_relays(&links).await?;
        let mut entries = Vec::new();
        for index in 0..plan.entries {
            entries.push(layout.start_entry(index)?);
        }
        let mut endpoints = Vec::new();
        for index in 0..plan.endpoints() {
            endpoints.push(layout.start_endpoint(index).await?);
        }
        wait_listening(&entries).await?;
        let client = HttpClient::default();
        Ok(Self {
            table,
            table_switches,
            origin,
            origin_switches,
            instances,
            endpoints,
            entries,
            links,
            client,
            folder,
            _stand_ins: stand_ins,
            _relays: relays,
        })
    }

    /// Sends a request to the operators' API of the entry `index`.
    pub async fn admin(
        &self,
        index: usize,
        token: &str,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> anyhow::Result<Response<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entries[index].admin_addr))
            .header(AUTHORIZATION, format!("Bearer {token}"))
            .body(Full::new(Bytes::from(body)))?;
        Ok(self.client.send_and_read(request, Duration::from_secs(15)).await?)
    }

    /// Stores a preset, puts it in force and returns the reply, which holds its revision.
    pub async fn force(
        &self,
        name: &str,
        content: &serde_json::Value,
        change: &str,
    ) -> anyhow::Result<serde_json::Value> {
        let path = format!("/v1/presets/{name}");
        let body = serde_json::to_vec(content)?;
        let stored = self.admin(0, OPERATOR_TOKEN, Method::PUT, &path, body).await?;
        anyhow::ensure!(stored.status() == StatusCode::OK, "put: {:?}", stored.body());
        let call = serde_json::json!({ "preset": name, "change": change });
        let body = serde_json::to_vec(&call)?;
        let forced = self.admin(0, OPERATOR_TOKEN, Method::POST, "/v1/force", body).await?;
        anyhow::ensure!(forced.status() == StatusCode::OK, "force: {:?}", forced.body());
        Ok(serde_json::from_slice(forced.body())?)
    }

    /// Status that the entry `index` reports.
    pub async fn status(&self, index: usize) -> anyhow::Result<serde_json::Value> {
        let reply = self.admin(index, VIEWER_TOKEN, Method::GET, "/v1/status", Vec::new()).await?;
        Ok(serde_json::from_slice(reply.body())?)
    }

    /// Waits until the status of entry `index` satisfies `holds`.
    pub async fn wait_status(
        &self,
        index: usize,
        span: Duration,
        holds: impl Fn(&serde_json::Value) -> bool,
    ) -> anyhow::Result<serde_json::Value> {
        let end = Instant::now() + span;
        let mut last = None;
        while Instant::now() < end {
            match self.status(index).await {
                Ok(status) if holds(&status) => return Ok(status),
                other => last = Some(other),
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        anyhow::bail!("the status did not meet the condition within {span:?}; last: {last:?}")
    }

    /// Waits until at least `count` engines have loaded `version`.
    pub async fn wait_engines(
        &self,
        version: &str,
        count: usize,
        span: Duration,
    ) -> anyhow::Result<()> {
        let end = Instant::now() + span;
        while Instant::now() < end {
            if self.engines_with(version) >= count {
                return Ok(());
            }
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        let have = self.engines_with(version);
        anyhow::bail!("{have} of {count} engines have loaded {version} after {span:?}")
    }

    /// Number of engines that have loaded `version`.
    pub fn engines_with(&self, version: &str) -> usize {
        let engines = self.endpoints.iter().filter_map(|endpoint| endpoint.engine.as_ref());
        engines.filter(|engine| engine.version().is_some_and(|v| v.as_str() == version)).count()
    }

    /// Starts the agent of endpoint `index` again with the same settings.
    pub fn restart_agent(&mut self, index: usize) -> anyhow::Result<()> {
        let endpoint = &mut self.endpoints[index];
        endpoint.agent = Some(start_process(
            self.folder.path(),
            endpoint.instance.as_str(),
            "cassiawheel-agent",
            &endpoint.config,
        )?);
        Ok(())
    }

    /// Starts the entry `index` again with the same settings.
    pub fn restart_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let entry = &mut self.entries[index];
        entry.process = Some(start_process(
            self.folder.path(),
            entry.instance.as_str(),
            "cassiawheel",
            &entry.config,
        )?);
        Ok(())
    }

    /// Keeps settings and logs after the deployment is dropped, and returns their folder.
    pub fn keep_logs(&mut self) -> &Path {
        self.folder.disable_cleanup(true);
        self.folder.path()
    }
}

/// Waits until every entry accepts connections to the operators' API; earlier ones would be
/// refused.
async fn wait_listening(entries: &[TestEntry]) -> anyhow::Result<()> {
    let end = Instant::now() + START_TIME;
    for entry in entries {
        while TcpStream::connect(entry.admin_addr).await.is_err() {
            anyhow::ensure!(Instant::now() < end, "{} does not listen", entry.instance);
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    }
    Ok(())
}
