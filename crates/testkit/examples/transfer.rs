//! Distributes one version to many agents over real TCP and compares time and origin copies
//! with the lower bound and two baselines.
//!
//! The origin's link carries four copies per window and each machine's link two. With faults,
//! two agents are killed, one is paused, one chunk in a hundred from the origin is corrupt,
//! and the version changes half-way.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use argh::FromArgs;
use cassiawheel_model::{
    ModelVersion,
    settings::{TransferMode, TransferSettings},
};
use cassiawheel_runtime::spawn;
use cassiawheel_testkit::{
    CallVerdict, Deployment, DeploymentPlan, TestCaller, bound::RolloutBound,
    deployment::MODEL_SERVICE, weights::WeightImage,
};
use serde_json::json;
use smol::Timer;

/// Distributes a version over TCP and prints time and origin copies.
#[derive(FromArgs)]
struct TransferArgs {
    /// number of agents (16)
    #[argh(option, default = "16")]
    agents: usize,
    /// size of a version in MiB (64)
    #[argh(option, default = "64")]
    mib: usize,
    /// size of a chunk in KiB (256)
    #[argh(option, default = "256")]
    chunk_kib: u32,
    /// seconds in which the origin's link carries four copies (16)
    #[argh(option, default = "16")]
    window_s: u64,
    /// share of each link that is reserved for live requests (0)
    #[argh(option, default = "0.0")]
    live_share: f64,
    /// optimise for time: allow up to four copies from the origin
    #[argh(switch)]
    time_mode: bool,
    /// kill two agents, pause one, corrupt one chunk in a hundred, change the version half-way
    #[argh(switch)]
    faults: bool,
    /// also send calls, and print their latencies with and without a transfer
    #[argh(switch)]
    calls: bool,
    /// keep the settings and logs of the processes and print their folder
    #[argh(switch)]
    keep_logs: bool,
}

/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Duration of the latency measurement without a transfer.
const QUIET_TIME: Duration = Duration::from_secs(8);

fn main() -> anyhow::Result<()> {
    let args: TransferArgs = argh::from_env();
    cassiawheel_runtime::run(4, run(args))?
}

impl TransferArgs {
    fn model_bytes(&self) -> usize {
        self.mib << 20
    }

    fn link(&self) -> u64 {
        2 * self.model_bytes() as u64 / self.window_s
    }

    /// Lower bound on a rollout. The agents' links limit it only if their engines already serve.
    fn bound(&self, serves: bool) -> RolloutBound {
        let share = 1.0 - self.live_share;
        RolloutBound {
            model_bytes: self.model_bytes() as u64,
            agents: self.agents,
            link_bytes_per_s: serves.then_some((self.link() as f64 * share) as u64),
            origin_bytes_per_s: 2 * self.link(),
        }
    }

    fn image(&self, name: &str, seed: u64) -> anyhow::Result<Arc<WeightImage>> {
        let version = ModelVersion::new(name)?;
        let chunk_bytes = self.chunk_kib << 10;
        Ok(Arc::new(WeightImage::generate(version, seed, self.model_bytes(), chunk_bytes)))
    }

    fn preset(&self, version: &str) -> serde_json::Value {
        json!({ "services": {
            MODEL_SERVICE: { "kind": "model", "version": version, "replicas": self.agents }
        } })
    }

    fn plan(&self) -> DeploymentPlan {
        DeploymentPlan {
            model_agents: self.agents,
            origin_bytes_per_s: 2 * self.link(),
            transfer: TransferSettings {
                mode: if self.time_mode { TransferMode::Time } else { TransferMode::Bytes },
                origin_copies: if self.time_mode { 4.0 } else { 1.0 },
                link_bytes_per_s: self.link(),
                live_share: self.live_share,
                ..TransferSettings::default()
            },
            ..DeploymentPlan::default()
        }
    }
}

async fn run(args: TransferArgs) -> anyhow::Result<()> {
    let mut deployment = Deployment::start(&args.plan()).await?;
    if args.keep_logs {
        println!("settings and logs are kept in {}", deployment.keep_logs().display());
    }
    let images = [args.image("v1", 1)?, args.image("v2", 2)?];
    for image in &images {
        deployment.origin.add(image.clone());
    }
    deployment
        .wait_status(0, Duration::from_secs(20), |status| {
            status["endpoints"].as_array().is_some_and(|list| list.len() == args.agents)
        })
        .await
        .context("the agents did not report")?;
    // The agents get their peer lists after their reports.
    Timer::after(Duration::from_secs(1)).await;
    if args.faults {
        return run_faulty(&args, &mut deployment).await;
    }
    let span = args.bound(true).span() * 10;
    let started = Instant::now();
    deployment.force("ordinary", &args.preset("v1"), "transfer-1").await?;
    deployment.wait_engines("v1", args.agents, span).await?;
    print("whole transfer", &args, &deployment, started.elapsed(), 0)?;
    print_baselines(&args);
    if args.calls {
        print_latencies(&args, &deployment, &images).await?;
    }
    Ok(())
}

async fn run_faulty(args: &TransferArgs, deployment: &mut Deployment) -> anyhow::Result<()> {
    deployment.origin.corrupt_every(100);
    let bound = args.bound(false).span();
    deployment.force("ordinary", &args.preset("v1"), "transfer-1").await?;
    Timer::after(bound / 2).await;
    let before = deployment.origin.sent_bytes();
    let started = Instant::now();
    deployment.force("peak", &args.preset("v2"), "transfer-2").await?;
    Timer::after(bound / 4).await;
    for index in [1, 2] {
        let agent = deployment.endpoints[index].agent.as_mut().context("no agent")?;
        agent.kill()?;
    }
    deployment.endpoints[3].agent.as_ref().context("no agent")?.pause()?;
    deployment.wait_engines("v2", args.agents - 3, args.bound(true).span() * 10).await?;
    print("v2 under faults", args, deployment, started.elapsed(), before)?;
    let bad = deployment.endpoints.iter().filter_map(|endpoint| endpoint.engine.as_ref());
    let v2 = args.image("v2", 2)?;
    let bad = bad
        .filter(|engine| engine.version().is_some_and(|version| version.as_str() == "v2"))
        .filter(|engine| engine.answer_digest() != Some(v2.answer_digest()))
        .count();
    println!("engines that answer from bad bytes: {bad}");
    Ok(())
}

/// Prints the result of a rollout to engines that served nothing before.
fn print(
    case: &str,
    args: &TransferArgs,
    deployment: &Deployment,
    took: Duration,
    before: u64,
) -> anyhow::Result<()> {
    let copies = (deployment.origin.sent_bytes() - before) as f64 / args.model_bytes() as f64;
    let bound = args.bound(false);
    let (ratio, least) = (bound.ratio(took)?, bound.span());
    println!("{case}: {took:.2?}, {ratio:.3} x the least time of {least:.2?}, {copies:.3} copies");
    Ok(())
}

/// Prints the best possible times of two baselines; they are computed, not run.
fn print_baselines(args: &TransferArgs) {
    let (size, origin) = (args.model_bytes() as f64, 2.0 * args.link() as f64);
    let link = args.link() as f64 * (1.0 - args.live_share);
    let bound = args.bound(true).span().as_secs_f64();
    let all = args.agents as f64 * size / origin / bound;
    let tree = 2.0 * size / link / bound;
    println!("computed: all from the origin {all:.2} x bound, {} copies", args.agents);
    println!("computed: fixed tree of two children {tree:.2} x bound, 2 copies");
}

async fn print_latencies(
    args: &TransferArgs,
    deployment: &Deployment,
    images: &[Arc<WeightImage>],
) -> anyhow::Result<()> {
    let quiet = measure(deployment, images, async {
        Timer::after(QUIET_TIME).await;
        Ok(())
    })
    .await?;
    let busy = measure(deployment, images, async {
        deployment.force("peak", &args.preset("v2"), "transfer-2").await?;
        deployment.wait_engines("v2", args.agents, args.bound(true).span() * 10).await
    })
    .await?;
    let p99 = |latencies: &[Duration]| latencies[latencies.len() * 99 / 100];
    println!(
        "p99 of {} calls without a transfer {:.2?}, of {} calls during one {:.2?}",
        quiet.len(),
        p99(&quiet),
        busy.len(),
        p99(&busy)
    );
    Ok(())
}

/// Latencies of the calls that complete while `work` runs, ascending.
async fn measure(
    deployment: &Deployment,
    images: &[Arc<WeightImage>],
    work: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<Vec<Duration>> {
    let stop = Arc::new(AtomicBool::new(false));
    let digests: Arc<Vec<_>> =
        Arc::new(images.iter().map(|i| (i.manifest.version.clone(), i.answer_digest())).collect());
    let entries: Vec<_> = deployment.entries.iter().map(|entry| entry.caller_addr).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (stop, digests) = (stop.clone(), digests.clone());
            let entry = entries[caller % entries.len()];
            spawn(async move {
                let client = TestCaller::default();
                let mut latencies = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let weights = |version: &str| {
                        let found = digests.iter().find(|(name, _)| name.as_str() == version);
                        found.map(|(_, digest)| *digest)
                    };
                    let begun = Instant::now();
                    let verdict =
                        client.generate(entry, MODEL_SERVICE, "lift tour", 8, 2, weights).await;
                    match verdict {
                        CallVerdict::Complete { .. } => latencies.push(begun.elapsed()),
                        other => eprintln!("{other:?}"),
                    }
                }
                latencies
            })
        })
        .collect();
    work.await?;
    stop.store(true, Ordering::SeqCst);
    let mut all = Vec::new();
    for caller in callers {
        all.extend(caller.await);
    }
    all.sort_unstable();
    anyhow::ensure!(!all.is_empty(), "no call was answered");
    Ok(all)
}
