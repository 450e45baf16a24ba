//! The main job, from the weights at the origin to a caller's whole answer.
//!
//! Starts the stand-ins, three entries and eight agents as separate processes
//! on loopback; distributes a version, calls it, rolls a second version out and
//! stops an agent under load, then prints what happened.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use argh::FromArgs;
use cassiawheel_model::{ModelVersion, settings::TransferSettings};
use cassiawheel_runtime::spawn;
use cassiawheel_testkit::{
    CallVerdict, Deployment, DeploymentPlan, TestCaller, deployment::MODEL_SERVICE,
    weights::WeightImage,
};
use serde_json::json;

/// Runs the main job on loopback and prints what happened.
#[derive(FromArgs)]
struct QuickstartArgs {
    /// end with one line of JSON
    #[argh(switch)]
    json: bool,
    /// keep settings and logs of the processes and tell where they are
    #[argh(switch)]
    keep_logs: bool,
}

/// Bytes of each version.
const MODEL_BYTES: usize = 32 << 20;
/// Bytes of a chunk.
const CHUNK_BYTES: u32 = 256 << 10;
/// Time in which the origin's link carries four copies and a machine's two.
const WINDOW_S: u64 = 8;
/// Agents.
const AGENTS: usize = 8;
/// Callers at a time during the rollout.
const CALLERS: usize = 8;

/// What callers were told.
#[derive(Debug, Default)]
struct CallCounts {
    complete: u64,
    not_run: u64,
    unknown: u64,
    wrong: u64,
}

fn main() -> anyhow::Result<()> {
    let args: QuickstartArgs = argh::from_env();
    cassiawheel_runtime::run(4, run(args))?
}

async fn run(args: QuickstartArgs) -> anyhow::Result<()> {
    let link = 2 * MODEL_BYTES as u64 / WINDOW_S;
    let plan = DeploymentPlan {
        entries: 3,
        model_agents: AGENTS,
        origin_bytes_per_s: 2 * link,
        transfer: TransferSettings {
            link_bytes_per_s: link,
            live_share: 0.0,
            origin_step_ms: 4_000,
            ..TransferSettings::default()
        },
        ..DeploymentPlan::default()
    };
    let images: Arc<HashMap<_, _>> = Arc::new(
        [("v1", 1), ("v2", 2)]
            .into_iter()
            .map(|(name, seed)| {
                let version = ModelVersion::new(name)?;
                let image = WeightImage::generate(version, seed, MODEL_BYTES, CHUNK_BYTES);
                Ok((name.to_owned(), Arc::new(image)))
            })
            .collect::<anyhow::Result<_>>()?,
    );
    let mut deployment = Deployment::start(&plan).await?;
    for image in images.values() {
        deployment.origin.add(image.clone());
    }
    if args.keep_logs {
        println!("settings and logs are kept in {}", deployment.keep_logs().display());
    }
    println!("started 3 entries and {AGENTS} agents");
    deployment
        .wait_status(0, Duration::from_secs(10), |status| {
            status["endpoints"].as_array().is_some_and(|list| list.len() == AGENTS)
        })
        .await
        .context("the agents did not report")?;

    let started = Instant::now();
    deployment.force("ordinary", &preset("v1"), "quickstart-1").await?;
    deployment.wait_engines("v1", AGENTS, Duration::from_secs(40)).await?;
    let time_to_ready = started.elapsed();
    let copies = deployment.origin.drawn() as f64 / MODEL_BYTES as f64;
    let bound = lower_bound(link);
    let time_ratio = time_to_ready.as_secs_f64() / bound.as_secs_f64();
    println!(
        "v1 on {AGENTS} replicas after {time_to_ready:.2?} ({time_ratio:.2} of the lower bound), \
         {copies:.2} copies drawn from the origin"
    );
    let status = deployment
        .wait_status(0, Duration::from_secs(5), |status| {
            status["services"][MODEL_SERVICE]["replicas_ready"] == AGENTS
        })
        .await?;
    let replicas_ready = status["services"][MODEL_SERVICE]["replicas_ready"].as_u64();

    let counts = rollout_under_load(&mut deployment, &images).await?;
    println!(
        "during the rollout of v2 and the planned stop of an agent callers were told: \
         {} complete, {} not run, {} unknown, {} wrong",
        counts.complete, counts.not_run, counts.unknown, counts.wrong
    );
    if args.json {
        let line = json!({
            "complete": counts.complete,
            "not_run": counts.not_run,
            "unknown": counts.unknown,
            "wrong": counts.wrong,
            "truncated": counts.unknown,
            "mixed": counts.wrong,
            "replicas_ready": replicas_ready,
            "time_ratio": (time_ratio * 1_000.0).round() / 1_000.0,
            "origin_copies": (copies * 1_000.0).round() / 1_000.0,
        });
        println!("{line}");
    }
    anyhow::ensure!(counts.wrong == 0, "some answers were wrong");
    Ok(())
}

fn preset(version: &str) -> serde_json::Value {
    json!({ "services": {
        MODEL_SERVICE: { "kind": "model", "version": version, "replicas": AGENTS }
    } })
}

/// The least time in which all agents can have all bytes.
fn lower_bound(link: u64) -> Duration {
    let (size, link) = (MODEL_BYTES as f64, link as f64);
    let origin = 2.0 * link;
    let agents = AGENTS as f64;
    let seconds = (size / link).max(size / origin).max(agents * size / (agents * link + origin));
    Duration::from_secs_f64(seconds)
}

async fn rollout_under_load(
    deployment: &mut Deployment,
    images: &Arc<HashMap<String, Arc<WeightImage>>>,
) -> anyhow::Result<CallCounts> {
    let stop = Arc::new(AtomicBool::new(false));
    let entries: Vec<_> = deployment.entries.iter().map(|entry| entry.caller_addr).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (stop, images, entries) = (stop.clone(), images.clone(), entries.clone());
            spawn(call_until(stop, images, entries, caller))
        })
        .collect();
    deployment.force("peak", &preset("v2"), "quickstart-2").await?;
    deployment.wait_engines("v2", AGENTS, Duration::from_secs(40)).await?;
    let mut leaving = deployment.endpoints[0].agent.take().context("the agent is gone")?;
    leaving.terminate()?;
    let ended = leaving.wait(Duration::from_secs(15)).await?;
    anyhow::ensure!(ended.is_some_and(|status| status.success()), "the agent did not stop well");
    stop.store(true, Ordering::SeqCst);
    let mut total = CallCounts::default();
    for caller in callers {
        let counts = caller.await;
        total.complete += counts.complete;
        total.not_run += counts.not_run;
        total.unknown += counts.unknown;
        total.wrong += counts.wrong;
    }
    Ok(total)
}

async fn call_until(
    stop: Arc<AtomicBool>,
    images: Arc<HashMap<String, Arc<WeightImage>>>,
    entries: Vec<SocketAddr>,
    caller: usize,
) -> CallCounts {
    let client = TestCaller::default();
    let mut counts = CallCounts::default();
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let prompt = format!("tour slot for caller {caller}, question {number}");
        let entry = entries[(caller + number) % entries.len()];
        let weights = |version: &str| Some(images.get(version)?.answer_digest());
        match client.generate(entry, MODEL_SERVICE, &prompt, 16, 2, weights).await {
            CallVerdict::Complete { .. } => counts.complete += 1,
            CallVerdict::NotRun(_) => counts.not_run += 1,
            CallVerdict::Unknown(detail) => {
                eprintln!("unknown: {detail}");
                counts.unknown += 1;
            }
            CallVerdict::Wrong(detail) => {
                eprintln!("wrong: {detail}");
                counts.wrong += 1;
            }
        }
    }
    counts
}
