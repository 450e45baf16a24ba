//! Measures the control traffic: time until a change is in force everywhere, reaction time of
//! the membership, and resource use when idle.
//!
//! Entries and agents are separate processes on loopback.

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context;
use argh::FromArgs;
use bytes::Bytes;
use cassiawheel_edge::{HttpClient, ListedState};
use cassiawheel_model::ModelVersion;
use cassiawheel_runtime::spawn;
use cassiawheel_testkit::{
    Deployment, DeploymentPlan,
    deployment::{MODEL_SERVICE, OPERATOR_TOKEN, PLAIN_SERVICE, VIEWER_TOKEN},
    weights::WeightImage,
};
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::{Value, json};
use smol::Timer;

/// Measures control traffic on loopback.
#[derive(FromArgs)]
struct ControlArgs {
    /// changes per case
    #[argh(option, default = "10")]
    changes: u64,
    /// seconds over which the resource use is measured
    #[argh(option, default = "10")]
    seconds: u64,
    /// measure the resource use of one deployment size only
    #[argh(switch)]
    one_size: bool,
}

/// Size of the users' present deployment.
const TODAY: Size = Size { entries: 9, model_agents: 16, plain_agents: 4 };

/// Deployment sizes at which the resource use is measured.
const SIZES: [Size; 4] = [
    Size { entries: 3, model_agents: 8, plain_agents: 2 },
    TODAY,
    Size { entries: 9, model_agents: 60, plain_agents: 4 },
    Size { entries: 18, model_agents: 60, plain_agents: 4 },
];

/// Poll interval of a process's status.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of every wait.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_S: f64 = 100.0;

#[derive(Debug, Clone, Copy)]
struct Size {
    entries: usize,
    model_agents: usize,
    plain_agents: usize,
}

impl Size {
    fn agents(self) -> usize {
        self.model_agents + self.plain_agents
    }
}

fn main() -> anyhow::Result<()> {
    let args: ControlArgs = argh::from_env();
    cassiawheel_runtime::run(4, measure(args))?
}

async fn measure(args: ControlArgs) -> anyhow::Result<()> {
    let mut deployment = start(TODAY).await?;
    println!("{TODAY:?}; times in milliseconds");
    let mut revision = 1;
    for case in [ChangeCase::Quiet, ChangeCase::StoreDown, ChangeCase::EntryRestart] {
        let mut times = Vec::new();
        for _ in 0..args.changes {
            revision += 1;
            times.push(time_change(&mut deployment, case, revision).await?);
        }
        print_times(&format!("accepted to in force everywhere, {case:?}"), times);
    }
    time_membership(&mut deployment).await?;
    drop(deployment);
    time_with_cut_links(args.changes).await?;
    println!("cost per process and second; idle, then 1 change per 5 s");
    let sizes = if args.one_size { &SIZES[1..2] } else { &SIZES[..] };
    for size in sizes {
        let deployment = start(*size).await?;
        let span = Duration::from_secs(args.seconds);
        print_cost(*size, "idle", &deployment, span, false).await?;
        print_cost(*size, "changing", &deployment, span, true).await?;
    }
    Ok(())
}

/// Measures changes while a third of the links between entries is missing: the entries are
/// restarted with peer lists that leave out those links.
async fn time_with_cut_links(changes: u64) -> anyhow::Result<()> {
    let mut deployment = start(TODAY).await?;
    let inner: Vec<_> =
        deployment.entries.iter().map(|entry| entry.inner_addr.to_string()).collect();
    for index in 0..TODAY.entries {
        let entry = &mut deployment.entries[index];
        entry.process.as_mut().context("it runs")?.kill()?;
        let mut settings: Value = serde_json::from_slice(&fs::read(&entry.config)?)?;
        let kept = (0..TODAY.entries).filter(|other| *other != index && (index + other) % 3 > 0);
        settings["peers"] = kept.map(|other| inner[other].clone()).collect();
        fs::write(&entry.config, serde_json::to_vec(&settings)?)?;
        deployment.restart_entry(index)?;
    }
    for entry in 0..TODAY.entries {
        wait_everywhere(&deployment, entry, 1).await?;
    }
    let mut times = Vec::new();
    for revision in 2..changes + 2 {
        times.push(time_change(&mut deployment, ChangeCase::StoreDown, revision).await?);
        Timer::after(Duration::from_secs(2)).await;
    }
    print_times("a third of links between entries cut and StoreDown", times);
    Ok(())
}

async fn start(size: Size) -> anyhow::Result<Deployment> {
    let plan = DeploymentPlan {
        entries: size.entries,
        model_agents: size.model_agents,
        plain_agents: size.plain_agents,
        failure_domains: 3,
        control: Default::default(),
        log_level: "warn".to_owned(),
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan).await?;
    let version = ModelVersion::new("v1")?;
    deployment.origin.add(Arc::new(WeightImage::generate(version, 7, 1 << 20, 256 << 10)));
    deployment.wait_status(0, TEST_TIMEOUT, |_| true).await?;
    deployment.force("ordinary", &content(1), "change-1").await?;
    let body = serde_json::to_vec(&content(2))?;
    let stored = deployment.admin(0, OPERATOR_TOKEN, Method::PUT, "/v1/presets/peak", body).await?;
    anyhow::ensure!(stored.status().is_success(), "{:?}", stored.body());
    deployment.wait_engines("v1", size.model_agents, TEST_TIMEOUT).await?;
    for entry in 0..size.entries {
        wait_everywhere(&deployment, entry, 1).await?;
    }
    Ok(deployment)
}

fn content(replicas: u64) -> Value {
    json!({ "services": {
        MODEL_SERVICE: { "kind": "model", "version": "v1", "replicas": replicas },
        PLAIN_SERVICE: { "kind": "plain", "replicas": replicas },
    } })
}

async fn wait_everywhere(
    deployment: &Deployment,
    entry: usize,
    revision: u64,
) -> anyhow::Result<()> {
    let agents = deployment.endpoints.iter().filter(|e| e.agent.is_some()).count();
    let holds = |status: &Value| {
        let rows = status["endpoints"].as_array().cloned().unwrap_or_default();
        status["revision"] == revision
            && rows.len() == agents
            && rows.iter().all(|row| row["report"]["revision"] == revision)
    };
    deployment.wait_status(entry, TEST_TIMEOUT, holds).await.map(drop)
}

/// Event right after a change is accepted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ChangeCase {
    Quiet,
    StoreDown,
    EntryRestart,
}

/// Makes a change; returns the time from its acceptance until every process has it.
async fn time_change(
    deployment: &mut Deployment,
    case: ChangeCase,
    revision: u64,
) -> anyhow::Result<Duration> {
    let preset = if revision.is_multiple_of(2) { "peak" } else { "ordinary" };
    let call = json!({ "preset": preset, "change": format!("change-{revision}"), "fresh": true });
    let entry = revision as usize % (deployment.entries.len() - 1);
    let body = serde_json::to_vec(&call)?;
    let reply = deployment.admin(entry, OPERATOR_TOKEN, Method::POST, "/v1/force", body).await?;
    anyhow::ensure!(reply.status().is_success(), "{:?}", reply.body());
    let accepted_at = Instant::now();
    let last = deployment.entries.len() - 1;
    match case {
        ChangeCase::Quiet => {}
        ChangeCase::StoreDown => deployment.table_switches.set_down(true),
        ChangeCase::EntryRestart => {
            deployment.entries[last].process.as_mut().context("it runs")?.kill()?;
            deployment.restart_entry(last)?;
        }
    }
    let polls: Vec<_> = deployment
        .entries
        .iter()
        .map(|entry| spawn(entry_has(entry.admin_addr, revision)))
        .collect();
    let agents_addr = deployment.entries[0].admin_addr;
    let agents = deployment.endpoints.len();
    let agents = spawn(agents_have(agents_addr, revision, agents));
    for poll in polls {
        poll.await?;
    }
    agents.await?;
    let took = accepted_at.elapsed();
    deployment.table_switches.set_down(false);
    if case == ChangeCase::EntryRestart {
        wait_everywhere(deployment, last, revision).await?;
    }
    Ok(took)
}

async fn fetch(client: &HttpClient, addr: SocketAddr, path: &str) -> Option<Value> {
    let request = Request::get(format!("http://{addr}{path}"))
        .header("authorization", format!("Bearer {VIEWER_TOKEN}"))
        .body(Full::new(Bytes::new()))
        .ok()?;
    let reply = client.send_and_read(request, Duration::from_secs(2)).await.ok()?;
    serde_json::from_slice(reply.body()).ok()
}

async fn entry_has(addr: SocketAddr, revision: u64) -> anyhow::Result<()> {
    poll_until(addr, "/v1/force", |preset| preset["revision"] == revision).await
}

async fn agents_have(addr: SocketAddr, revision: u64, agents: usize) -> anyhow::Result<()> {
    poll_until(addr, "/v1/status", |status| {
        let rows = status["endpoints"].as_array().cloned().unwrap_or_default();
        rows.len() == agents && rows.iter().all(|row| row["report"]["revision"] == revision)
    })
    .await
}

async fn poll_until(
    addr: SocketAddr,
    path: &str,
    holds: impl Fn(&Value) -> bool,
) -> anyhow::Result<()> {
    let client = HttpClient::default();
    let end = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < end {
        if fetch(&client, addr, path).await.is_some_and(|found| holds(&found)) {
            return Ok(());
        }
        Timer::after(POLL_INTERVAL).await;
    }
    anyhow::bail!("{addr}{path} did not reach the expected state")
}

/// Measures the time until no entry routes to an endpoint after its agent announces its leave,
/// the platform's list marks it as leaving, its agent is killed, or its agent is paused.
async fn time_membership(deployment: &mut Deployment) -> anyhow::Result<()> {
    let endpoint = deployment.endpoints[0].agent.as_ref().context("it runs")?;
    endpoint.terminate()?;
    let took = time_gone(deployment, 0).await?;
    print_times("own word of leaving to no new request", vec![took]);
    deployment.instances.set(&deployment.endpoints[1].instance, Some(ListedState::Leaving));
    let took = time_gone(deployment, 1).await?;
    print_times("the list's word to no new request", vec![took]);
    deployment.endpoints[2].agent.as_mut().context("it runs")?.kill()?;
    let took = time_gone(deployment, 2).await?;
    print_times("kill to no new request", vec![took]);
    let frozen = deployment.endpoints[3].agent.as_ref().context("it runs")?;
    frozen.pause()?;
    let took = time_gone(deployment, 3).await?;
    print_times("freeze to no new request", vec![took]);
    Ok(())
}

async fn time_gone(deployment: &Deployment, index: usize) -> anyhow::Result<Duration> {
    let began = Instant::now();
    let instance = deployment.endpoints[index].instance.to_string();
    let polls: Vec<_> = deployment
        .entries
        .iter()
        .map(|entry| spawn(is_gone(entry.admin_addr, instance.clone())))
        .collect();
    for poll in polls {
        poll.await?;
    }
    Ok(began.elapsed())
}

async fn is_gone(addr: SocketAddr, instance: String) -> anyhow::Result<()> {
    poll_until(addr, "/v1/status", |status| {
        let rows = status["endpoints"].as_array().cloned().unwrap_or_default();
        rows.iter().all(|row| row["report"]["instance"] != *instance || row["leaving"] == true)
    })
    .await
}

fn print_times(what: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |share: usize| times[(times.len() - 1) * share / 100].as_millis();
    println!("{what}: n={} p50={} max={}", times.len(), at(50), at(100));
}

/// Resources that a set of processes has used so far.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    cpu_s: f64,
    rss_kib: f64,
    sent_bytes: f64,
}

async fn usage(processes: &[(u32, SocketAddr)]) -> anyhow::Result<Usage> {
    let client = HttpClient::default();
    let mut total = Usage::default();
    for (id, metrics) in processes {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let fields: Vec<_> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |index: usize| fields[index].parse::<f64>().unwrap_or_default();
        total.cpu_s += (ticks(11) + ticks(12)) / TICKS_PER_S;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss = rss.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
        total.rss_kib += rss.unwrap_or_default();
        total.sent_bytes += sent_bytes(&client, *metrics).await?;
    }
    Ok(total)
}

/// Bytes that a process has sent to other processes of the system, from its metrics.
async fn sent_bytes(client: &HttpClient, metrics: SocketAddr) -> anyhow::Result<f64> {
    let request = Request::get(format!("http://{metrics}/metrics")).body(Full::default())?;
    let reply = client.send_and_read(request, Duration::from_secs(2)).await?;
    let text = String::from_utf8_lossy(reply.body()).into_owned();
    let sent =
        text.lines().filter(|line| line.contains("sent_bytes_total ") && !line.starts_with('#'));
    Ok(sent.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum())
}

async fn print_cost(
    size: Size,
    what: &str,
    deployment: &Deployment,
    span: Duration,
    changing: bool,
) -> anyhow::Result<()> {
    let entries: Vec<_> = deployment
        .entries
        .iter()
        .filter_map(|entry| Some((entry.process.as_ref()?.id(), entry.metrics_addr)))
        .collect();
    let agents: Vec<_> = deployment
        .endpoints
        .iter()
        .filter_map(|endpoint| Some((endpoint.agent.as_ref()?.id(), endpoint.metrics_addr)))
        .collect();
    let before = (usage(&entries).await?, usage(&agents).await?);
    let (reads, writes) = (deployment.table.reads(), deployment.table.writes());
    let began = Instant::now();
    let mut revision = 1;
    while began.elapsed() < span {
        if changing {
            revision += 1;
            change(deployment, revision).await?;
        }
        Timer::after(Duration::from_secs(5).min(span)).await;
    }
    let seconds = began.elapsed().as_secs_f64();
    let after = (usage(&entries).await?, usage(&agents).await?);
    let reads = (deployment.table.reads() - reads) as f64 / seconds;
    let writes = (deployment.table.writes() - writes) as f64 / seconds;
    println!(
        "{} entries, {} agents, {what}: entry {}; agent {}; store {reads:.1} reads/s {writes:.2} writes/s",
        size.entries,
        size.agents(),
        describe(before.0, after.0, entries.len(), seconds),
        describe(before.1, after.1, agents.len(), seconds),
    );
    Ok(())
}

async fn change(deployment: &Deployment, revision: u64) -> anyhow::Result<()> {
    let preset = if revision.is_multiple_of(2) { "peak" } else { "ordinary" };
    let call = json!({ "preset": preset, "change": format!("cost-{revision}"), "fresh": true });
    let body = serde_json::to_vec(&call)?;
    let reply = deployment.admin(0, OPERATOR_TOKEN, Method::POST, "/v1/force", body).await?;
    anyhow::ensure!(reply.status().is_success(), "{:?}", reply.body());
    Ok(())
}

fn describe(before: Usage, after: Usage, count: usize, seconds: f64) -> String {
    let count = count as f64;
    format!(
        "{:.2} % of a core, {:.1} MiB, {:.0} bytes/s sent",
        (after.cpu_s - before.cpu_s) / seconds / count * 100.0,
        after.rss_kib / count / 1_024.0,
        (after.sent_bytes - before.sent_bytes) / seconds / count,
    )
}
