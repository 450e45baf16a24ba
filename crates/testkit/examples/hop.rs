//! Measures the latency that one entry and one agent add to a call, and the throughput of one
//! entry.
//!
//! Open loop: calls at a fixed rate, each timed from the moment at which it was due, once
//! directly to the services and once through the entry. Closed loop: a fixed number of callers
//! that send one call after another. Load generator, services, entry and agents share the
//! machine; the decision log is enabled.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use argh::FromArgs;
use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::settings::AgentSettings;
use cassiawheel_runtime::spawn;
use cassiawheel_testkit::{
    Deployment, DeploymentPlan,
    deployment::{PLAIN_SERVICE, TestEndpoint},
};
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use smol::{Timer, channel::unbounded};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Measures the latency and throughput of one entry and its agents.
#[derive(FromArgs)]
struct HopArgs {
    /// calls per second in the open loop
    #[argh(option, default = "2000")]
    rate: u64,
    /// duration of each measurement in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// callers in the closed loop
    #[argh(option, default = "128")]
    callers: usize,
    /// plain services, each with its agent
    #[argh(option, default = "4")]
    endpoints: usize,
    /// threads of this process, which runs the load generator and the services
    #[argh(option, default = "6")]
    threads: usize,
}

fn main() -> anyhow::Result<()> {
    let args: HopArgs = argh::from_env();
    cassiawheel_runtime::run(args.threads, measure(args))?
}

async fn measure(args: HopArgs) -> anyhow::Result<()> {
    let plan = DeploymentPlan {
        entries: 1,
        model_agents: 0,
        plain_agents: args.endpoints,
        plain_work: Duration::ZERO,
        max_in_flight: 256,
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan).await?;
    deployment.wait_status(0, START_TIMEOUT, |_| true).await?;
    let count = args.endpoints;
    let service = json!({ "kind": "plain", "replicas": count, "max_in_flight": 256 });
    let content = json!({ "services": { PLAIN_SERVICE: service } });
    deployment.force("hop", &content, "change-1").await?;
    let ready =
        |status: &serde_json::Value| status["services"][PLAIN_SERVICE]["replicas_ready"] == count;
    deployment.wait_status(0, START_TIMEOUT, ready).await?;

    let direct: Vec<_> = deployment.endpoints.iter().map(service_url).collect::<Result<_, _>>()?;
    let entry = entry_url(deployment.entries[0].caller_addr);
    open_loop(&direct, args.rate, Duration::from_secs(1)).await?;
    open_loop(std::slice::from_ref(&entry), args.rate, Duration::from_secs(1)).await?;

    let span = Duration::from_secs(args.seconds);
    let straight = open_loop(&direct, args.rate, span).await?;
    let through = open_loop(std::slice::from_ref(&entry), args.rate, span).await?;
    println!("open loop, {} calls/s for {} s, in microseconds:", args.rate, args.seconds);
    print_row("straight", &straight);
    print_row("through", &through);
    let added = |quantile| {
        through.value_at_quantile(quantile) as i64 - straight.value_at_quantile(quantile) as i64
    };
    println!("  added      p50 {:>7}  p99 {:>7}", added(0.5), added(0.99));
    let before = ProcessorTime::read(&deployment)?;
    let (calls, failed) = closed_loop(&entry, args.callers, span).await?;
    let after = ProcessorTime::read(&deployment)?;
    let per_second = calls as f64 / span.as_secs_f64();
    println!("closed loop, {} callers: {per_second:.0} calls/s, {failed} failed", args.callers);
    let per_call = |ticks: u64| ticks as f64 * TICK_US / calls.max(1) as f64;
    println!(
        "processor time per call in microseconds: entry {:.1}, agents {:.1}",
        per_call(after.entry - before.entry),
        per_call(after.agents - before.agents)
    );
    Ok(())
}

/// Microseconds per clock tick of the processor times in `/proc`.
const TICK_US: f64 = 10_000.0;

/// Processor time of the entries and agents in ticks; other load on the machine barely affects
/// it.
struct ProcessorTime {
    entry: u64,
    agents: u64,
}

impl ProcessorTime {
    fn read(deployment: &Deployment) -> anyhow::Result<Self> {
        let entries = deployment.entries.iter().filter_map(|entry| entry.process.as_ref());
        let agents = deployment.endpoints.iter().filter_map(|e| e.agent.as_ref());
        Ok(Self {
            entry: entries.map(|process| ticks(process.id())).sum::<anyhow::Result<_>>()?,
            agents: agents.map(|process| ticks(process.id())).sum::<anyhow::Result<_>>()?,
        })
    }
}

/// User and system time of a process, in ticks.
fn ticks(process: u32) -> anyhow::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name in parentheses may contain spaces; the times are fields 12 and 13 after it.
    let (_, fields) = text.rsplit_once(')').context("not a stat line")?;
    let mut times = fields.split_whitespace().skip(11).take(2).map(str::parse::<u64>);
    let user = times.next().context("no user time")??;
    let system = times.next().context("no system time")??;
    Ok(user + system)
}

/// URL of an endpoint's service, from the settings of its agent.
fn service_url(endpoint: &TestEndpoint) -> anyhow::Result<String> {
    let settings: AgentSettings = serde_json::from_slice(&std::fs::read(&endpoint.config)?)?;
    Ok(format!("http://{}/ask", settings.engine.addr))
}

fn entry_url(addr: SocketAddr) -> String {
    format!("http://{addr}/v1/services/{PLAIN_SERVICE}/ask")
}

fn print_row(name: &str, times: &Histogram<u64>) {
    let at = |quantile| times.value_at_quantile(quantile);
    println!(
        "  {name:<10} p50 {:>7}  p99 {:>7}  p99.9 {:>7}  calls {}",
        at(0.5),
        at(0.99),
        at(0.999),
        times.len()
    );
}

async fn call(client: &HttpClient, url: &str) -> anyhow::Result<()> {
    let request = Request::post(url)
        .header("cassiawheel-idempotent", "true")
        .body(Full::new(Bytes::from_static(b"when does the lift tour start")))?;
    let reply = client.send_and_read(request, CALL_TIMEOUT).await?;
    anyhow::ensure!(reply.status().is_success(), "{}", reply.status());
    Ok(())
}

/// Sends calls at a fixed rate and times each from the moment at which it was due, so that
/// queueing delay is included.
async fn open_loop(urls: &[String], rate: u64, span: Duration) -> anyhow::Result<Histogram<u64>> {
    let client = HttpClient::default();
    let (times, results) = unbounded();
    let begun = Instant::now();
    let total = rate * span.as_secs();
    for number in 0..total {
        let due = begun + Duration::from_nanos(number * 1_000_000_000 / rate);
        let left = due.saturating_duration_since(Instant::now());
        if !left.is_zero() {
            Timer::after(left).await;
        }
        let url = urls[number as usize % urls.len()].clone();
        let (client, times) = (client.clone(), times.clone());
        spawn(async move {
            let ended = call(&client, &url).await.map(|()| due.elapsed());
            let _ = times.send(ended).await;
        })
        .detach();
    }
    drop(times);
    let mut histogram = Histogram::new_with_bounds(1, 60_000_000, 3)?;
    while let Ok(ended) = results.recv().await {
        histogram.saturating_record(ended.context("a call failed")?.as_micros() as u64);
    }
    Ok(histogram)
}

/// Runs `callers` that each send one call after another; returns the numbers of successful and
/// failed calls.
async fn closed_loop(url: &str, callers: usize, span: Duration) -> anyhow::Result<(u64, u64)> {
    let (calls, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let end = Instant::now() + span;
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let (client, url) = (HttpClient::default(), url.to_owned());
            let (calls, failed) = (calls.clone(), failed.clone());
            spawn(async move {
                while Instant::now() < end {
                    match call(&client, &url).await {
                        Ok(()) => calls.fetch_add(1, Ordering::Relaxed),
                        Err(_) => failed.fetch_add(1, Ordering::Relaxed),
                    };
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
    Ok((calls.load(Ordering::Relaxed), failed.load(Ordering::Relaxed)))
}
