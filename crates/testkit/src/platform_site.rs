//! A small deployment on a stand-in of the platform: a store, endpoints without
//! agents, and entries that run as separate processes.

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

/// Host name of every route.
pub const HOST: &str = "desk.example";

/// API key of the only workspace.
pub const KEY: &str = "a-key-of-the-booth";

/// Ports of an entry; they are the same for all, as each entry has its own IP address.
const FRONT_PORT: u16 = 8_005;
const READY_PORT: u16 = 8_002;
const DIRECTORY_PORT: u16 = 8_009;
const CONTROL_PORT: u16 = 8_000;
const METRICS_PORT: u16 = 9_464;

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between two requests of a load to one entry.
const LOAD_INTERVAL: Duration = Duration::from_millis(10);

/// Longest wait for a condition to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A running deployment; its processes and stand-ins stop when it is dropped.
pub struct PlatformSite {
    /// Rows of the store.
    pub rows: Arc<StoreRows>,
    /// Fault switches of the store.
    pub store_faults: Arc<FaultSwitches>,
    /// All endpoints, including crashed ones, in the order of their start.
    pub replicas: Vec<Arc<Replica>>,
    /// Addresses on which the endpoints listen, in the order of `replicas`.
    addrs: Vec<SocketAddr>,
    /// Memory that entries started from now on may use, in MB; zero if it has no limit.
    pub memory_mb: u32,
    /// Entry processes, in the order of their start.
    pub entries: Vec<PlatformEntry>,
    store_addr: SocketAddr,
    /// First three octets of the entries' addresses: a random loopback /24 network.
    network: [u8; 3],
    _store: RunningStandIn,
    dir: TempDir,
}

/// An entry process and the addresses on which it listens.
pub struct PlatformEntry {
    /// Handle of the process.
    pub process: ChildProcess,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address at which callers look up the entries.
    pub directory: SocketAddr,
    /// Address for connections from other entries.
    pub control: SocketAddr,
    /// Address at which it serves its metrics.
    pub metrics: SocketAddr,
}

/// A request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct SiteCall<'a> {
    /// Attempt id of the request.
    pub id: &'a str,
    /// Path of the request; routes are `/safe/`, `/unsafe/` and `/stream/`.
    pub path: &'a str,
    /// API key of the caller, if it sends one.
    pub key: Option<&'a str>,
    /// Deadline that is sent with the request, in milliseconds.
    pub patience_ms: u64,
    /// Parts of the prompt, if the request has one.
    pub prompt: Option<&'a str>,
}

impl<'a> SiteCall<'a> {
    /// A request with the key of the workspace and a deadline of two seconds.
    pub fn new(id: &'a str, path: &'a str) -> Self {
        Self { id, path, key: Some(KEY), patience_ms: 2_000, prompt: None }
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
            memory_mb: 0,
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

    /// Starts an endpoint and lists it in the store as ready.
    pub async fn add_replica(&mut self, id: &str) -> anyhow::Result<()> {
        let replica = Replica::new(id);
        let addr = replica.serve(loopback(0)).await?;
        self.list(id, addr, "ready");
        self.replicas.push(replica);
        self.addrs.push(addr);
        Ok(())
    }

    /// Replaces each crashed endpoint by one with a new id, and returns their number.
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

    /// Lists an endpoint as draining and adds another one, unless it is listed no more. The
    /// draining endpoint goes on serving. Returns whether it was listed.
    pub async fn release(&mut self, index: usize) -> anyhow::Result<bool> {
        let is_listed = self.rows.keys("servers").contains(&self.replicas[index].id);
        let is_released = is_listed && !self.replicas[index].has_ended();
        if is_released {
            self.set_state(index, "draining");
            self.add_replica(&format!("i-{}", self.replicas.len())).await?;
        }
        Ok(is_released)
    }

    /// Removes the row of an endpoint and adds another one, unless it is listed no more. The removed
    /// endpoint goes on serving. Returns whether it was listed.
    pub async fn remove_row(&mut self, index: usize) -> anyhow::Result<bool> {
        let id = &self.replicas[index].id;
        let is_removed =
            self.rows.keys("servers").contains(id) && !self.replicas[index].has_ended();
        if is_removed {
            self.rows.remove("servers", id);
            self.add_replica(&format!("i-{}", self.replicas.len())).await?;
        }
        Ok(is_removed)
    }

    /// Number of endpoints that have crashed.
    pub fn ended(&self) -> usize {
        self.replicas.iter().filter(|replica| replica.has_ended()).count()
    }

    /// Writes the row of an endpoint with this state to the store.
    pub fn set_state(&self, index: usize, state: &str) {
        self.list(&self.replicas[index].id, self.addrs[index], state);
    }

    /// Row of an endpoint in the state `ready`.
    pub fn row_of(&self, index: usize) -> Value {
        server_row(self.addrs[index], "ready")
    }

    fn list(&self, id: &str, addr: SocketAddr, state: &str) {
        self.rows.put("servers", id, &server_row(addr, state));
    }

    /// Starts another entry, with the first two entries as its gossip seeds.
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

    /// Starts the process of an entry again, with the same settings.
    pub fn restart_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let name = format!("entry-{index}");
        let path = self.dir.path().join(format!("{name}.toml"));
        let binary = binary_path("cassiawheel")?;
        self.entries[index].process =
            ChildProcess::start_on_platform(&name, &binary, &path, &self.log(index))?;
        Ok(())
    }

    /// Path of the log of an entry.
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
             [limits]\ncpu_cores = 2\nmax_fds = 1024\nmemory_mb = {}\n\
             [bounds]\ngrace_s = 8\nversion_ms = 8000\nretry_budget_ratio = 0.2\n\
             retry_slack = 90\n[platform]\naddress = \"{}\"\n",
            self.memory_mb, self.store_addr,
        )
    }

    /// Waits until the readiness of an entry matches `ready`; any answer but 200 means not
    /// ready.
    pub async fn wait_ready(&self, entry: &PlatformEntry, ready: bool) -> anyhow::Result<()> {
        let url = format!("http://{}/v1/ready", entry.ready);
        let client = HttpClient::default();
        let condition = async || {
            let request = Request::get(&url).body(Full::new(Bytes::new()))?;
            let status =
                client.send_and_read(request, WAIT_TIMEOUT).await.map(|reply| reply.status());
            anyhow::Ok(status.is_ok_and(|status| status == StatusCode::OK) == ready)
        };
        wait_until(condition).await
    }

    /// Sends a request to the first entry and returns its answer.
    pub async fn call(&self, call: SiteCall<'_>) -> anyhow::Result<Response<Bytes>> {
        let request = self.request(0, call)?;
        Ok(HttpClient::default().send_and_read(request, WAIT_TIMEOUT).await?)
    }

    /// Builds the HTTP request for a call to an entry.
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
        if let Some(prompt) = call.prompt {
            request = request.header("x-cassiawheel-prompt-prefix", prompt);
        }
        Ok(request.body(Full::new(Bytes::from_static(b"a seat")))?)
    }

    /// The bytes of a request for a call, for tests that use a connection of their own.
    pub fn raw_request(&self, call: SiteCall<'_>) -> Vec<u8> {
        let method = if call.path.starts_with("/safe/") { "GET" } else { "POST" };
        let key = call.key.map(|key| format!("x-cassiawheel-key: {key}\r\n")).unwrap_or_default();
        format!(
            "{method} {} HTTP/1.1\r\nhost: {HOST}\r\nx-cassiawheel-attempt-id: {}\r\n\
             x-cassiawheel-deadline-ms: {}\r\n{key}content-length: 6\r\n\r\na seat",
            call.path, call.id, call.patience_ms,
        )
        .into_bytes()
    }

    /// Sends requests on `route` to every entry in turn for `span`; returns how many were not
    /// answered with 200. Each id begins with the index of its entry.
    pub async fn load(&self, route: &str, span: Duration, name: &str) -> anyhow::Result<usize> {
        let client = HttpClient::default();
        let until = Timestamp::now().deadline_after(span);
        let (mut number, mut failed) = (0, 0);
        while !until.is_past(Timestamp::now()) {
            for entry in 0..self.entries.len() {
                number += 1;
                let (id, path) = (format!("{entry}-{name}-{number}"), format!("/{route}/{number}"));
                let request = self.request(entry, SiteCall::new(&id, &path))?;
                let answer = client.send_and_read(request, WAIT_TIMEOUT).await?;
                failed += usize::from(answer.status() != StatusCode::OK);
            }
            Timer::after(LOAD_INTERVAL).await;
        }
        Ok(failed)
    }

    /// Number of runs of a request, over all endpoints.
    pub fn runs_of(&self, id: &str) -> u32 {
        let runs = self.replicas.iter().filter_map(|replica| replica.runs().get(id).copied());
        runs.sum()
    }
}

/// Checks `condition` repeatedly until it holds; an error if it does not within 10 seconds.
pub async fn wait_until(condition: impl AsyncFn() -> anyhow::Result<bool>) -> anyhow::Result<()> {
    let deadline = Timestamp::now().deadline_after(WAIT_TIMEOUT);
    while !condition().await? {
        anyhow::ensure!(!deadline.is_past(Timestamp::now()), "the condition did not hold in time");
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(())
}

/// A configuration with the named routes, each with its name as path prefix. Routes that
/// are neither `unsafe` nor `stream` may be retried.
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

/// [`config`] with a model service that loads its weights from `origin`, which admits
/// `places` connections.
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
