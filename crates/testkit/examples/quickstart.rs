//! The main path of the system, from the weights at the origin to a caller's complete answer.
//!
//! Starts the stand-ins, three entries and eight agents as separate processes on loopback;
//! distributes a version, calls it, rolls out a second version, stops an agent under load, and
//! prints the results.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use argh::FromArgs;
use cassiawheel_decide::advice::EntryAdvice;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::{ModelVersion, Timestamp, settings::TransferSettings};
use cassiawheel_runtime::spawn;
use cassiawheel_testkit::{
    CallVerdict, Deployment, DeploymentPlan, TestCaller,
    bound::RolloutBound,
    caller::WrongAnswer,
    deployment::{MODEL_SERVICE, OPERATOR_TOKEN},
    processes::binary_path,
    weights::{WeightImage, answer_token},
};
use http_body_util::Full;
use serde_json::json;

/// Runs the main path on loopback and prints the results.
#[derive(FromArgs)]
struct QuickstartArgs {
    /// print the results as one line of JSON at the end
    #[argh(switch)]
    json: bool,
    /// keep the settings and logs of the processes and print their folder
    #[argh(switch)]
    keep_logs: bool,
}

/// Size of each version in bytes.
const MODEL_BYTES: usize = 32 << 20;
/// Size of a chunk in bytes.
const CHUNK_BYTES: u32 = 256 << 10;
/// Seconds in which the origin's link carries four copies and a machine's link two.
const WINDOW_S: u64 = 8;
/// Number of agents.
const AGENTS: usize = 8;
/// Number of concurrent callers during the rollout.
const CALLERS: usize = 8;

/// Number of tokens of an answer.
const TOKENS: u32 = 16;

/// Numbers of calls by outcome.
#[derive(Debug, Default)]
struct CallCounts {
    /// Complete answers that match the expected answer of their version.
    complete: u64,
    /// Reported as not run.
    not_run: u64,
    /// Reported as unknown, or cut off with an error.
    unknown: u64,
    /// Answers that look complete but are wrong, other than truncated or mixed ones.
    wrong: u64,
    /// Answers that look complete but lack their end.
    truncated: u64,
    /// Answers with tokens from the weights of more than one version, or of another
    /// version than the answer names.
    mixed: u64,
}

impl CallCounts {
    fn add(&mut self, other: &CallCounts) {
        self.complete += other.complete;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
        self.truncated += other.truncated;
        self.mixed += other.mixed;
    }

    /// Incorrect answers that a caller cannot tell from correct ones.
    fn undetected(&self) -> u64 {
        self.wrong + self.truncated + self.mixed
    }
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

    let folder = tempfile::tempdir()?;
    let started = Instant::now();
    put_in_force(&deployment, folder.path(), "ordinary", "v1").await?;
    deployment.wait_engines("v1", AGENTS, Duration::from_secs(40)).await?;
    let time_to_ready = started.elapsed();
    let copies = deployment.origin.sent_bytes() as f64 / MODEL_BYTES as f64;
    let bound = RolloutBound {
        model_bytes: MODEL_BYTES as u64,
        agents: AGENTS,
        // The engines serve nothing yet, so the agents' links are not limited.
        link_bytes_per_s: None,
        origin_bytes_per_s: plan.origin_bytes_per_s,
    };
    let time_ratio = bound.ratio(time_to_ready)?;
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

    let counts = rollout_under_load(&mut deployment, folder.path(), &images).await?;
    println!(
        "during the rollout of v2 and the planned stop of an agent callers were told: \
         {} complete, {} not run, {} unknown; {} wrong, {} truncated, {} mixed",
        counts.complete,
        counts.not_run,
        counts.unknown,
        counts.wrong,
        counts.truncated,
        counts.mixed
    );
    print!("{}", operate(&deployment, &["rollout"]).await?);
    if args.json {
        let line = json!({
            "complete": counts.complete,
            "not_run": counts.not_run,
            "unknown": counts.unknown,
            "wrong": counts.wrong,
            "truncated": counts.truncated,
            "mixed": counts.mixed,
            "replicas_ready": replicas_ready,
            "time_ratio": (time_ratio * 1_000.0).round() / 1_000.0,
            "origin_copies": (copies * 1_000.0).round() / 1_000.0,
        });
        println!("{line}");
    }
    anyhow::ensure!(counts.complete > 0, "no caller got an answer");
    anyhow::ensure!(counts.undetected() == 0, "some answers were wrong, truncated or mixed");
    Ok(())
}

/// Stores a preset and puts it in force with the operator's commands.
async fn put_in_force(
    deployment: &Deployment,
    folder: &Path,
    name: &str,
    version: &str,
) -> anyhow::Result<()> {
    let file = folder.join(format!("{name}.json"));
    std::fs::write(&file, preset(version).to_string())?;
    let file = file.to_str().context("the temporary folder's name is not UTF-8")?;
    operate(deployment, &["preset", "put", name, file]).await?;
    print!("{}", operate(deployment, &["preset", "force", name]).await?);
    Ok(())
}

/// Runs an operator's command against the first entry.
async fn operate(deployment: &Deployment, args: &[&str]) -> anyhow::Result<String> {
    println!("$ cassiawheel {}", args.join(" "));
    let mut command = std::process::Command::new(binary_path("cassiawheel")?);
    command
        .args(args)
        .env("CASSIAWHEEL_ADMIN", deployment.entries[0].admin_addr.to_string())
        .env("CASSIAWHEEL_TOKEN", OPERATOR_TOKEN);
    let output = smol::unblock(move || command.output()).await?;
    let error = String::from_utf8_lossy(&output.stderr);
    anyhow::ensure!(output.status.success(), "{}: {error}", args.join(" "));
    Ok(String::from_utf8(output.stdout)?)
}

fn preset(version: &str) -> serde_json::Value {
    json!({ "services": {
        MODEL_SERVICE: { "kind": "model", "version": version, "replicas": AGENTS }
    } })
}

async fn rollout_under_load(
    deployment: &mut Deployment,
    folder: &Path,
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
    put_in_force(deployment, folder, "peak", "v2").await?;
    deployment.wait_engines("v2", AGENTS, Duration::from_secs(40)).await?;
    let mut leaving = deployment.endpoints[0].agent.take().context("the agent is gone")?;
    leaving.terminate()?;
    let ended = leaving.wait(Duration::from_secs(15)).await?;
    anyhow::ensure!(ended.is_some_and(|status| status.success()), "the agent did not stop cleanly");
    stop.store(true, Ordering::SeqCst);
    let mut total = CallCounts::default();
    for caller in callers {
        total.add(&caller.await?);
    }
    Ok(total)
}

/// Fetches the advice on which entries to use from the first of `entries` that answers.
async fn fetch_advice(entries: &[SocketAddr]) -> anyhow::Result<EntryAdvice> {
    let client = HttpClient::default();
    for entry in entries {
        let request =
            hyper::Request::get(format!("http://{entry}/v1/entries")).body(Full::default())?;
        let Ok(reply) = client.send_and_read(request, Duration::from_secs(2)).await else {
            continue;
        };
        return Ok(serde_json::from_slice(reply.body())?);
    }
    anyhow::bail!("no entry answered the request for advice")
}

async fn call_until(
    stop: Arc<AtomicBool>,
    images: Arc<HashMap<String, Arc<WeightImage>>>,
    entries: Vec<SocketAddr>,
    caller: usize,
) -> anyhow::Result<CallCounts> {
    let client = TestCaller::default();
    let mut counts = CallCounts::default();
    let mut number = 0;
    let mut advice = fetch_advice(&entries).await?;
    while !stop.load(Ordering::SeqCst) {
        if advice.valid_until.is_past(Timestamp::now()) {
            advice = fetch_advice(&entries).await?;
        }
        number += 1;
        let prompt = format!("tour slot for caller {caller}, question {number}");
        let entry = advice.addresses[number % advice.addresses.len()];
        let weights = |version: &str| Some(images.get(version)?.answer_digest());
        match client.generate(entry, MODEL_SERVICE, &prompt, TOKENS, 2, weights).await {
            CallVerdict::Complete { .. } => counts.complete += 1,
            CallVerdict::NotRun(_) => counts.not_run += 1,
            CallVerdict::Unknown(detail) => {
                eprintln!("unknown: {detail}");
                counts.unknown += 1;
            }
            CallVerdict::Wrong(answer) => {
                eprintln!("incorrect answer: {answer:?}");
                count_wrong(&mut counts, &images, &prompt, &answer);
            }
        }
    }
    Ok(counts)
}

/// Classifies an incorrect answer by the weights that produced each token.
fn count_wrong(
    counts: &mut CallCounts,
    images: &HashMap<String, Arc<WeightImage>>,
    prompt: &str,
    answer: &WrongAnswer,
) {
    let digests = images.values().map(|image| image.answer_digest());
    let right: Vec<Vec<String>> = digests
        .map(|digest| (0..TOKENS).map(|index| answer_token(&digest, prompt, index)).collect())
        .collect();
    let wholes: Vec<String> = right.iter().map(|tokens| tokens.concat()).collect();
    if wholes.iter().any(|whole| whole.len() > answer.body.len() && whole.starts_with(&answer.body))
    {
        counts.truncated += 1;
        return;
    }
    let mut tokens = answer.body.split_inclusive(' ').enumerate();
    let known = tokens.all(|(index, token)| {
        right.iter().any(|version| version.get(index).is_some_and(|right| right == token))
    });
    if known {
        counts.mixed += 1;
    } else {
        counts.wrong += 1;
    }
}
