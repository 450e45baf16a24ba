//! A small deployment on a stand-in of the users' platform: a store, endpoints
//! without agents, and entries as separate processes.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::Timestamp;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use smol::Timer;
use tempfile::TempDir;

use crate::{
    ChildProcess, FaultSwitches,
    processes::binary_path,
    stand_in::{RunningStandIn, replica::Replica, rows::StoreRows},
};

/// Host of every route.
pub const HOST: &str = "desk.example";

/// Key of the only workspace.
pub const KEY: &str = "a-key-of-the-booth";

/// Ports of an entry, which has an address of its own.
const FRONT_PORT: u16 = 8_005;
const READY_PORT: u16 = 8_002;
const DIRECTORY_PORT: u16 = 8_009;
const CONTROL_PORT: u16 = 8_000;
const METRICS_PORT: u16 = 9_464;

/// Time between looks whether something has come about.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest wait for something to come about.
const PATIENCE: Duration = Duration::from_secs(10);

/// The deployment.
pub struct PlatformSite {
    /// The store's rows.
    pub rows: Arc<StoreRows>,
    /// Faults of the store.
    pub store_faults: Arc<FaultSwitches>,
    /// The endpoints, those that have ended too.
    pub replicas: Vec<Arc<Replica>>,
    /// Where they listen.
    addrs: Vec<SocketAddr>,
    /// The entries.
    pub entries: Vec<PlatformEntry>,
    store_addr: SocketAddr,
    /// First three numbers of the entries' addresses, a network of their own.
    network: [u8; 3],
    _store: RunningStandIn,
    dir: TempDir,
}

/// One entry process.
pub struct PlatformEntry {
    /// The process.
    pub process: ChildProcess,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where it tells whether it is ready.
    pub ready: SocketAddr,
    /// Where callers ask which entries to use.
    pub directory: SocketAddr,
    /// Where our own processes reach it.
    pub control: SocketAddr,
    /// Where it tells its metrics.
    pub metrics: SocketAddr,
}

/// A call of a caller.
#[derive(Debug, Clone, Copy)]
pub struct SiteCall<'a> {
    /// The request's id.
    pub id: &'a str,
    /// Its path; routes are `/safe/`, `/unsafe/` and `/stream/`.
    pub path: &'a str,
    /// The caller's key.
    pub key: Option<&'a str>,
    /// How long the caller waits, in milliseconds.
    pub patience_ms: u64,
}

impl<'a> SiteCall<'a> {
    /// A call of the workspace with two seconds of patience.
    pub fn new(id: &'a str, path: &'a str) -> Self {
        Self { id, path, key: Some(KEY), patience_ms: 2_000 }
    }
}

impl PlatformSite {
    /// Starts the store and `replicas` endpoints, but no entry.
    pub async fn prepare(replicas: usize) -> anyhow::Result<Self> {
        let rows = Arc::new(StoreRows::default());
        let store_faults = Arc::new(FaultSwitches::default());
        let store = rows.serve(loopback(0), store_faults.clone()).await?;
        let mut site = Self {
            store_addr: store.addr,
            network: [127, rand::random_range(1..=254), rand::random_range(0..=255)],
            rows,
            store_faults,
            replicas: Vec::new(),
            entries: Vec::new(),
            addrs: Vec::new(),
            _store: store,
            dir: tempfile::tempdir()?,
        };
        site.rows.put("op", "config", &config(1, &["safe", "unsafe", "stream"], 1_500));
        for index in 0..replicas {
            site.add_replica(&format!("i-{index}")).await?;
        }
        Ok(site)
    }

    /// Starts the store, `replicas` endpoints and `entries` entries, and waits until they serve.
    pub async fn start(replicas: usize, entries: usize) -> anyhow::Result<Self> {
        let mut site = Self::prepare(replicas).await?;
        for _ in 0..entries {
            site.add_entry()?;
        }
        for entry in &site.entries {
            site.wait_ready(entry, true).await?;
        }
        Ok(site)
    }

    /// Adds an endpoint that registers itself.
    pub async fn add_replica(&mut self, id: &str) -> anyhow::Result<()> {
        let replica = Replica::new(id);
        let addr = replica.serve(loopback(0)).await?;
        self.list(id, addr, "ready");
        self.replicas.push(replica);
        self.addrs.push(addr);
        Ok(())
    }

    /// Replaces each endpoint that has ended by one with a new name; how many there were.
    pub async fn replace_ended(&mut self) -> anyhow::Result<usize> {
        let listed = self.rows.keys("servers");
        let is_due = |replica: &&Arc<Replica>| replica.has_ended() && listed.contains(&replica.id);
        let ended: Vec<_> = self.replicas.iter().filter(is_due).map(|r| r.id.clone()).collect();
        for id in &ended {
            self.rows.remove("servers", id);
            self.add_replica(&format!("i-{}", self.replicas.len())).await?;
        }
        Ok(ended.len())
    }

    /// Has an endpoint say that it leaves, and adds another one; it goes on serving.
    pub async fn release(&mut self, index: usize) -> anyhow::Result<()> {
        let is_listed = self.rows.keys("servers").contains(&self.replicas[index].id);
        if is_listed && !self.replicas[index].has_ended() {
            self.set_state(index, "draining");
            self.add_replica(&format!("i-{}", self.replicas.len())).await?;
        }
        Ok(())
    }

    /// Endpoints that have ended.
    pub fn ended(&self) -> usize {
        self.replicas.iter().filter(|replica| replica.has_ended()).count()
    }

    /// Writes the state of an endpoint into the list.
    pub fn set_state(&self, index: usize, state: &str) {
        self.list(&self.replicas[index].id, self.addrs[index], state);
    }

    /// The row of an endpoint that serves.
    pub fn row_of(&self, index: usize) -> Value {
        server_row(self.addrs[index], "ready")
    }

    fn list(&self, id: &str, addr: SocketAddr, state: &str) {
        self.rows.put("servers", id, &server_row(addr, state));
    }

    /// Starts one more entry; the first two are seeds of those that follow.
    pub fn add_entry(&mut self) -> anyhow::Result<()> {
        let index = self.entries.len();
        let [a, b, c] = self.network;
        let ip = Ipv4Addr::new(a, b, c, 10 + index as u8);
        let seeds: Vec<_> = self.entries.iter().take(2).map(|entry| entry.control).collect();
        let settings = self.settings(index, ip, &seeds);
        let path = self.dir.path().join(format!("entry-{index}.toml"));
        std::fs::write(&path, settings)?;
        let name = format!("entry-{index}");
        let binary = binary_path("cassiawheel")?;
        let process = ChildProcess::start_on_platform(&name, &binary, &path, &self.log(index))?;
        self.entries.push(PlatformEntry {
            process,
            front: SocketAddr::from((ip, FRONT_PORT)),
            ready: SocketAddr::from((ip, READY_PORT)),
            directory: SocketAddr::from((ip, DIRECTORY_PORT)),
            control: SocketAddr::from((ip, CONTROL_PORT)),
            metrics: SocketAddr::from((ip, METRICS_PORT)),
        });
        Ok(())
    }

    /// Starts an entry again that has ended.
    pub fn restart_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let name = format!("entry-{index}");
        let path = self.dir.path().join(format!("{name}.toml"));
        let binary = binary_path("cassiawheel")?;
        self.entries[index].process =
            ChildProcess::start_on_platform(&name, &binary, &path, &self.log(index))?;
        Ok(())
    }

    /// The log of an entry.
    pub fn log(&self, index: usize) -> PathBuf {
        self.dir.path().join(format!("entry-{index}.log"))
    }

    fn settings(&self, index: usize, ip: Ipv4Addr, seeds: &[SocketAddr]) -> String {
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        format!(
            "node_name = \"entry-{index}\"\nip = \"{ip}\"\nzone = \"hall\"\n\
             region = \"north\"\ninternal_port_range = [7700, 7715]\nseeds = {seeds:?}\n\
             heartbeat_ms = 1200\n[zones]\nhall = \"north\"\n[listen]\n\
             front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             directory = \"{ip}:{DIRECTORY_PORT}\"\ncontrol = \"{ip}:{CONTROL_PORT}\"\n\
             [limits]\ncpu_cores = 2\nmax_fds = 1024\n\
             [bounds]\ngrace_s = 8\nversion_ms = 8000\nretry_budget_ratio = 0.2\n\
             retry_slack = 90\n[platform]\naddress = \"{}\"\n",
            self.store_addr,
        )
    }

    /// Waits until an entry says that it is ready, or no longer.
    pub async fn wait_ready(&self, entry: &PlatformEntry, ready: bool) -> anyhow::Result<()> {
        let url = format!("http://{}/v1/ready", entry.ready);
        let client = HttpClient::default();
        let is_so = async || {
            let request = Request::get(&url).body(Full::new(Bytes::new()))?;
            let status = client.send_and_read(request, PATIENCE).await.map(|reply| reply.status());
            anyhow::Ok(status.is_ok_and(|status| status == StatusCode::OK) == ready)
        };
        wait_until(is_so).await
    }

    /// Calls the first entry.
    pub async fn call(&self, call: SiteCall<'_>) -> anyhow::Result<Response<Bytes>> {
        let request = self.request(0, call)?;
        Ok(HttpClient::default().send_and_read(request, PATIENCE).await?)
    }

    /// The request of a call to an entry.
    pub fn request(
        &self,
        entry: usize,
        call: SiteCall<'_>,
    ) -> anyhow::Result<Request<Full<Bytes>>> {
        let front = self.entries[entry].front;
        let method = if call.path.starts_with("/safe/") { "GET" } else { "POST" };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{front}{}", call.path))
            .header("host", HOST)
            .header("x-cassiawheel-attempt-id", call.id)
            .header("x-cassiawheel-deadline-ms", call.patience_ms.to_string());
        if let Some(key) = call.key {
            request = request.header("x-cassiawheel-key", key);
        }
        Ok(request.body(Full::new(Bytes::from_static(b"a seat")))?)
    }

    /// Runs of a request at all endpoints.
    pub fn runs_of(&self, id: &str) -> u32 {
        let runs = self.replicas.iter().filter_map(|replica| replica.runs().get(id).copied());
        runs.sum()
    }
}

/// Waits until `is_so` holds.
pub async fn wait_until(is_so: impl AsyncFn() -> anyhow::Result<bool>) -> anyhow::Result<()> {
    let deadline = Timestamp::now().deadline_after(PATIENCE);
    while !is_so().await? {
        anyhow::ensure!(!deadline.is_past(Timestamp::now()), "it did not come about in time");
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(())
}

/// A configuration with the named routes, each below a path of its name; those
/// that are neither `unsafe` nor `stream` may be repeated.
pub fn config(version: u64, routes: &[&str], timeout_ms: u64) -> Value {
    let route = |name: &&str| {
        let kind = match *name {
            "stream" => "streaming",
            "unsafe" => "unsafe",
            _ => "safe",
        };
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 400, "priority": 1,
            "service": "ledger", "max_attempts": 2, "public": false,
            "stream_resume": *name == "stream",
        })
    };
    json!({
        "version": version,
        "routes": routes.iter().map(route).collect::<Vec<_>>(),
        "services": [{ "name": "ledger", "health_path": "/health", "max_connections": 100 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
        "tenants": [{ "name": "booth", "api_keys": [KEY] }],
    })
}

/// [`config`] with a model service whose weights come from `origin`, which admits `places`
/// connections.
pub fn model_config(version: u64, model: &str, origin: SocketAddr, places: usize) -> Value {
    let mut config = config(version, &["safe"], 1_500);
    let engine = json!({
        "slots": 8, "stride": 1, "models": [{ "name": model }], "step_ms": 7.0,
        "read_per_s": 30_600.0,
    });
    let services = [
        json!({ "name": "guide", "health_path": "/health", "engine": engine }),
        json!({
            "name": "weights", "origin": origin, "zone": "hall", "link_mbps": 9.0,
            "max_connections": places,
        }),
    ];
    if let Some(listed) = config["services"].as_array_mut() {
        listed.extend(services);
    }
    config
}

fn server_row(addr: SocketAddr, state: &str) -> Value {
    json!({
        "service": "ledger", "address": addr, "zone": "hall", "version": "v1", "slots": 8,
        "state": state, "cold_remaining_ms": 0, "sequence": 1,
    })
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
