//! Measures the cost of control traffic for entries and agents at several deployment sizes.
//!
//! Starts deployments of growing size without requests, puts a preset in force every five
//! seconds, and prints the mean processor time, memory and control bytes per entry and agent,
//! and the store's reads and writes. The figures in `docs/CAPACITY.md` are derived from the
//! slopes between the sizes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::Context;
use argh::FromArgs;
use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::ModelVersion;
use cassiawheel_testkit::{
    ChildProcess, Deployment, DeploymentPlan, deployment::MODEL_SERVICE, weights::WeightImage,
};
use http_body_util::Full;
use hyper::Request;
use serde_json::json;

/// Measures the cost of control traffic at several sizes.
#[derive(FromArgs)]
struct CapacityArgs {
    /// deployment sizes as ENTRIESxAGENTS, separated by commas
    #[argh(option, default = "String::from(\"3x8,3x32,3x96,9x32\")")]
    sizes: String,
    /// duration of the measurement at each size in seconds
    #[argh(option, default = "15")]
    seconds: u64,
}

/// Interval between changes of the preset in force.
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Size of the version in bytes; small, since only control traffic is measured.
const MODEL_BYTES: usize = 1 << 20;

/// Resource counters of one process at one moment.
#[derive(Debug, Clone, Copy, Default)]
struct ProcessSample {
    cpu_s: f64,
    rss_mib: f64,
    control_bytes: f64,
}

fn main() -> anyhow::Result<()> {
    let args: CapacityArgs = argh::from_env();
    cassiawheel_runtime::run(4, run(args))?
}

async fn run(args: CapacityArgs) -> anyhow::Result<()> {
    println!("size     role   cpu % of a core   rss MiB   control KB/s   store reads/s   writes/s");
    for size in args.sizes.split(',') {
        let (entries, agents) = size.split_once('x').context("a size is ENTRIESxAGENTS")?;
        measure(entries.parse()?, agents.parse()?, Duration::from_secs(args.seconds)).await?;
    }
    Ok(())
}

async fn measure(entries: usize, agents: usize, span: Duration) -> anyhow::Result<()> {
    let plan = DeploymentPlan {
        entries,
        model_agents: agents,
        failure_domains: 4,
        log_level: "info".to_owned(),
        control: Default::default(),
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan).await?;
    let image = WeightImage::generate(ModelVersion::new("v1")?, 1, MODEL_BYTES, 64 << 10);
    deployment.origin.add(image.into());
    let content = json!({ "services": {
        MODEL_SERVICE: { "kind": "model", "version": "v1", "replicas": agents }
    } });
    deployment.force("ordinary", &content, "capacity-0").await?;
    deployment.wait_engines("v1", agents, Duration::from_secs(60)).await?;
    smol::Timer::after(Duration::from_secs(2)).await;

    let entry_before = sample_entries(&deployment).await?;
    let agent_before = sample_agents(&deployment).await?;
    let (reads, writes) = (deployment.table.reads(), deployment.table.writes());
    let started = Instant::now();
    let mut change = 0;
    while started.elapsed() < span {
        change += 1;
        deployment.force("ordinary", &content, &format!("capacity-{change}")).await?;
        smol::Timer::after(CHANGE_INTERVAL).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let reads = (deployment.table.reads() - reads) as f64 / seconds;
    let writes = (deployment.table.writes() - writes) as f64 / seconds;
    let entry_after = sample_entries(&deployment).await?;
    let agent_after = sample_agents(&deployment).await?;
    print_row(entries, agents, "entry", &entry_before, &entry_after, seconds);
    println!("{reads:>16.1}{writes:>11.1}");
    print_row(entries, agents, "agent", &agent_before, &agent_after, seconds);
    println!();
    Ok(())
}

fn print_row(
    entries: usize,
    agents: usize,
    role: &str,
    before: &[ProcessSample],
    after: &[ProcessSample],
    seconds: f64,
) {
    let count = after.len() as f64;
    let mean = |value: fn(&ProcessSample) -> f64, samples: &[ProcessSample]| {
        samples.iter().map(value).sum::<f64>() / count
    };
    let cpu = (mean(|s| s.cpu_s, after) - mean(|s| s.cpu_s, before)) / seconds * 100.0;
    let bytes = mean(|s| s.control_bytes, after) - mean(|s| s.control_bytes, before);
    let rss = mean(|s| s.rss_mib, after);
    let size = format!("{entries}x{agents}");
    print!("{size:<8} {role:<6}{cpu:>17.2}{rss:>10.1}{:>15.2}", bytes / seconds / 1_000.0);
}

async fn sample_entries(deployment: &Deployment) -> anyhow::Result<Vec<ProcessSample>> {
    let mut samples = Vec::new();
    for entry in &deployment.entries {
        samples.push(sample(entry.process.as_ref(), entry.metrics_addr).await?);
    }
    Ok(samples)
}

async fn sample_agents(deployment: &Deployment) -> anyhow::Result<Vec<ProcessSample>> {
    let mut samples = Vec::new();
    for endpoint in &deployment.endpoints {
        samples.push(sample(endpoint.agent.as_ref(), endpoint.metrics_addr).await?);
    }
    Ok(samples)
}

async fn sample(process: Option<&ChildProcess>, addr: SocketAddr) -> anyhow::Result<ProcessSample> {
    let id = process.context("the process is stopped")?.id();
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    // Fields 14, 15 and 24 of proc(5), counted after the command's name.
    let field = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    Ok(ProcessSample {
        cpu_s: (field(11) + field(12)) / TICKS_PER_S,
        rss_mib: field(21) * 4_096.0 / f64::from(1 << 20),
        control_bytes: control_bytes(addr).await?,
    })
}

async fn control_bytes(addr: SocketAddr) -> anyhow::Result<f64> {
    let request = Request::get(format!("http://{addr}/metrics")).body(Full::new(Bytes::new()))?;
    let reply = HttpClient::default().send_and_read(request, Duration::from_secs(5)).await?;
    let text = String::from_utf8_lossy(reply.body()).into_owned();
    let control = text.lines().filter(|line| line.starts_with("cassiawheel_wire_control_"));
    Ok(control.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum())
}
