//! Executes one run, from the start of the processes to the report.

mod sampler;
mod stand_ins;

use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context;
use cassiawheel_model::{
    ModelVersion, PresetName, Timestamp,
    settings::{ControlSettings, TransferSettings},
};
use cassiawheel_runtime::spawn;
use serde_json::Value;
use smol::{Task, Timer, lock};

use self::sampler::StandInSampler;
pub use self::{sampler::ReadySample, stand_ins::collect_stand_ins};
use super::{
    drive::{BurstCaller, CallPlan, caller_seeds},
    faults::{self, FaultEnd, SharedDeployment},
    figures::CallFigures,
    operate::BurstOperator,
    plot,
    records::{ChangeRecord, RequestRecord, RunRecords},
    report::BurstReport,
    scenario::{BurstScenario, FaultKind, PresetChange},
    schedule::draw_arrivals,
    verdicts::{VerdictLimits, judge},
};
use crate::{
    Deployment, DeploymentPlan,
    traffic::{ControlBytes, read_control_bytes},
    weights::WeightImage,
};

/// Longest wait for all agents to report, and for all endpoints to serve.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Options of a run, which do not depend on the scenario.
#[derive(Debug, Clone, Default)]
pub struct BurstOptions {
    /// Seed of the arrivals and weights.
    pub seed: u64,
    /// Whether the settings and logs of the processes are kept after the run.
    pub keep_logs: bool,
    /// Whether progress lines are written to standard error.
    pub progress: bool,
    /// Path of the SVG plot, if one is to be drawn.
    pub plot: Option<PathBuf>,
}

/// Runs `scenario` and checks its records against the invariants.
pub async fn run_burst(
    scenario: &BurstScenario,
    options: &BurstOptions,
) -> anyhow::Result<BurstReport> {
    let images = draw_images(scenario, options.seed)?;
    let mut deployment = Deployment::start(&deployment_plan(scenario)).await?;
    for image in images.values() {
        deployment.origin.add(image.clone());
    }
    if options.keep_logs {
        eprintln!("settings and logs are kept in {}", deployment.keep_logs().display());
    }
    let sampler = StandInSampler::new(&deployment);
    let sampling = spawn(sampler.clone().run());
    let operator = BurstOperator::new(deployment.entries.iter().map(|e| e.admin_addr).collect());
    let mut changes = start_serving(&deployment, scenario, &operator, options.seed).await?;
    let mut run = BurstRun::new(scenario, options, deployment).await;
    let control_before = run.control_bytes().await;

    let operators = run.start_changes(&operator);
    let running_faults = run.start_faults();
    let requests = run.drive().await;
    let mut fault_ends: Vec<FaultEnd> = Vec::new();
    for fault in running_faults {
        fault_ends.push(fault.await?);
    }
    for operator in operators {
        changes.extend(operator.await);
    }
    let driven = run.started.elapsed().as_secs_f64();
    let control_after = run.control_bytes().await;
    let store = run.store_rates(driven).await;
    sampler.settle(scenario).await;
    sampler.stop();
    sampling.await;

    let deployment = run.deployment.lock().await;
    let samples = sampler.samples();
    let records = RunRecords {
        versions: images.iter().map(|(v, image)| (v.clone(), image.answer_digest())).collect(),
        requests,
        changes,
        forced: samples.forced.clone(),
        leaves: fault_ends.iter().filter_map(|end| end.leave.clone()).collect(),
        faults: fault_ends.into_iter().map(|end| end.fault).collect(),
        ..collect_stand_ins(&deployment, scenario.model_replicas, scenario.app_replicas)
    };
    if let Some(path) = &options.plot {
        plot::draw(path, scenario, run.started_at, &records, &samples.ready)?;
    }
    let limits = VerdictLimits {
        leave: Duration::from_secs_f64(scenario.limits.leave_s),
        converge: Duration::from_secs_f64(scenario.limits.converge_s),
    };
    let counts = judge(&records, &limits);
    let (requests, last) = (counts.requests.max(1) as f64, samples.waits.last());
    let longest = samples.longest_wait();
    // The replicas do not serve callers yet while they load the first version.
    let bound_s = |first: bool| scenario.rollout_bound(!first).span().as_secs_f64();
    let versions = samples.waits.iter().map(|w| &w.version).collect::<BTreeSet<_>>().len();
    let fetched = deployment.origin.sent_bytes() as f64 / scenario.model_bytes as f64;
    let asks = records.requests.iter().map(|request| request.asks.len()).sum::<usize>();
    Ok(BurstReport {
        scenario: scenario.name.clone(),
        seed: options.seed,
        replicas_ready: samples.ready.last().map_or(0, |sample| sample.ready as u64),
        replicas_wanted: last.map_or(0, |wait| wait.wanted as u64),
        time_to_n_s: longest.map(|(_, span)| span),
        time_ratio: longest.map(|(index, span)| span / bound_s(index == 0)),
        origin_copies: fetched / versions.max(1) as f64,
        calls: CallFigures::of(&records.requests)?,
        goodput_rps: counts.complete as f64 / scenario.duration_s,
        attempts_per_request: asks as f64 / requests,
        runs_per_request: records.runs.len() as f64 / requests,
        store_reads_per_s: store.reads_per_s,
        store_writes_per_s: store.writes_per_s,
        control_bytes_per_s_per_daemon: ControlBytes::mean_rate(
            &control_before.entries,
            &control_after.entries,
            driven,
        ),
        control_bytes_per_s_per_agent: ControlBytes::mean_rate(
            &control_before.agents,
            &control_after.agents,
            driven,
        ),
        counts,
    })
}

fn draw_images(
    scenario: &BurstScenario,
    seed: u64,
) -> anyhow::Result<BTreeMap<String, Arc<WeightImage>>> {
    let presets = scenario.presets.iter().map(|change| change.version.to_string());
    let is_change = |kind| kind == FaultKind::VersionChange;
    let changes = scenario.faults.iter().filter(|fault| is_change(fault.kind));
    let names: BTreeSet<_> = presets.chain(changes.map(|fault| fault.target.clone())).collect();
    let images = names.into_iter().enumerate().map(|(index, name)| {
        let version = ModelVersion::new(&name)?;
        let seed = seed.wrapping_mul(1_000).wrapping_add(index as u64);
        let (bytes, chunk) = (scenario.model_bytes, scenario.chunk_bytes);
        Ok((name, Arc::new(WeightImage::generate(version, seed, bytes, chunk))))
    });
    images.collect()
}

fn deployment_plan(scenario: &BurstScenario) -> DeploymentPlan {
    DeploymentPlan {
        entries: scenario.entries,
        model_agents: scenario.model_replicas,
        plain_agents: scenario.app_replicas,
        web_agents: scenario.web_services,
        failure_domains: scenario.failure_domains,
        severable_links: scenario.has_link_faults(),
        origin_bytes_per_s: scenario.origin_bytes_per_s(),
        transfer: TransferSettings {
            mode: scenario.transfer_mode,
            origin_copies: scenario.origin_copies,
            link_bytes_per_s: scenario.link_bytes_per_s(),
            ..TransferSettings::default()
        },
        control: ControlSettings::default(),
        ..DeploymentPlan::default()
    }
}

/// Makes the first change of the preset and waits until all endpoints serve.
async fn start_serving(
    deployment: &Deployment,
    scenario: &BurstScenario,
    operator: &BurstOperator,
    seed: u64,
) -> anyhow::Result<Vec<ChangeRecord>> {
    let endpoints = scenario.endpoints();
    let reported =
        |status: &Value| status["endpoints"].as_array().is_some_and(|list| list.len() == endpoints);
    for entry in 0..scenario.entries {
        let waited = deployment.wait_status(entry, START_TIMEOUT, reported).await;
        waited.context("not all agents have reported")?;
    }
    let first = &scenario.presets[0];
    let end = Instant::now() + START_TIMEOUT;
    let changes = operator.change(scenario, first, &format!("burst-{seed}-0"), end).await;
    let version = first.version.as_str();
    deployment.wait_engines(version, first.replicas as usize, START_TIMEOUT).await?;
    let serving = |status: &Value| {
        status["endpoints"].as_array().is_some_and(|list| {
            let serves = |e: &&Value| e["report"]["state"]["serving"].is_object();
            let plain = endpoints - scenario.model_replicas;
            list.iter().filter(serves).count() >= plain + first.replicas as usize
        })
    };
    for entry in 0..scenario.entries {
        let waited = deployment.wait_status(entry, START_TIMEOUT, serving).await;
        waited.context("not all endpoints are serving")?;
    }
    Ok(changes)
}

/// Calls to the table service per second.
struct StoreRates {
    reads_per_s: f64,
    writes_per_s: f64,
}

/// Bytes of control messages of all processes; `None` for a process that did not answer.
struct ProcessBytes {
    entries: Vec<Option<ControlBytes>>,
    agents: Vec<Option<ControlBytes>>,
}

/// State of a run while requests arrive.
struct BurstRun<'a> {
    scenario: &'a BurstScenario,
    options: &'a BurstOptions,
    deployment: SharedDeployment,
    started: Instant,
    started_at: Timestamp,
    /// Read calls to the table service before the arrivals.
    reads: u64,
    /// Write calls to the table service before the arrivals.
    writes: u64,
}

impl<'a> BurstRun<'a> {
    async fn new(
        scenario: &'a BurstScenario,
        options: &'a BurstOptions,
        deployment: Deployment,
    ) -> Self {
        let (reads, writes) = (deployment.table.reads(), deployment.table.writes());
        Self {
            scenario,
            options,
            deployment: Arc::new(lock::Mutex::new(deployment)),
            started: Instant::now(),
            started_at: Timestamp::now(),
            reads,
            writes,
        }
    }

    fn start_changes(&self, operator: &BurstOperator) -> Vec<Task<Vec<ChangeRecord>>> {
        let presets = self.scenario.presets.iter().skip(1).cloned();
        let faults = self.scenario.faults.iter().enumerate();
        let by_fault = faults.filter(|(_, fault)| fault.kind == FaultKind::VersionChange);
        let by_fault = by_fault.filter_map(|(index, fault)| {
            Some(PresetChange {
                at_s: fault.at_s,
                entry: index % self.scenario.entries,
                name: PresetName::new(&format!("version-change-{index}")).ok()?,
                version: ModelVersion::new(&fault.target).ok()?,
                replicas: self.scenario.presets[0].replicas,
            })
        });
        let changes = presets.chain(by_fault).enumerate();
        let longest =
            Duration::from_secs_f64(self.scenario.duration_s + self.scenario.limits.settle_s);
        let end = self.started + longest;
        changes
            .map(|(index, change)| {
                let (operator, scenario) = (operator.clone(), self.scenario.clone());
                let at = self.started + Duration::from_secs_f64(change.at_s);
                let id = format!("burst-{}-{}", self.options.seed, index + 1);
                spawn(async move {
                    Timer::at(at).await;
                    operator.change(&scenario, &change, &id, end).await
                })
            })
            .collect()
    }

    fn start_faults(&self) -> Vec<Task<anyhow::Result<FaultEnd>>> {
        let domains = self.scenario.failure_domains;
        let faults = self.scenario.faults.iter().enumerate();
        faults
            .map(|(id, plan)| {
                let deployment = self.deployment.clone();
                spawn(faults::apply(deployment, plan.clone(), id, self.started, domains))
            })
            .collect()
    }

    /// Starts each request at its scheduled time, without waiting for earlier ones.
    async fn drive(&mut self) -> Vec<RequestRecord> {
        let arrivals = draw_arrivals(self.scenario, self.options.seed);
        let plan = &self.scenario.arrivals;
        let entries: Vec<_> =
            self.deployment.lock().await.entries.iter().map(|e| e.caller_addr).collect();
        let entries = Arc::new(entries);
        let seeds = caller_seeds(self.options.seed, plan.callers);
        let callers: Vec<_> = seeds
            .into_iter()
            .map(|seed| Arc::new(BurstCaller::new(entries.clone(), seed)))
            .collect();
        let calls = Arc::new(CallPlan {
            run: self.options.seed.to_string(),
            started: self.started,
            started_at: self.started_at,
            allowed: Duration::from_millis(plan.deadline_ms),
            tokens: plan.tokens,
            token_ms: plan.token_ms,
        });
        let total = arrivals.len();
        let mut tasks = Vec::with_capacity(total);
        let mut shown_at = self.started;
        for arrival in arrivals {
            Timer::at(self.started + arrival.at).await;
            if self.options.progress && shown_at.elapsed() >= PROGRESS_INTERVAL {
                shown_at = Instant::now();
                self.show_progress(&tasks, total);
            }
            let (caller, calls) = (callers[arrival.caller].clone(), calls.clone());
            tasks.push(spawn(async move { caller.request(&calls, &arrival).await }));
        }
        let mut records = Vec::with_capacity(total);
        for task in tasks {
            records.push(task.await);
        }
        records
    }

    fn show_progress(&self, tasks: &[Task<RequestRecord>], total: usize) {
        let ended = tasks.iter().filter(|task| task.is_finished()).count();
        let elapsed = self.started.elapsed().as_secs();
        eprintln!("{elapsed:>4} s: {} of {total} arrived, {ended} ended", tasks.len());
    }

    async fn store_rates(&self, span_s: f64) -> StoreRates {
        let deployment = self.deployment.lock().await;
        StoreRates {
            reads_per_s: (deployment.table.reads() - self.reads) as f64 / span_s,
            writes_per_s: (deployment.table.writes() - self.writes) as f64 / span_s,
        }
    }

    async fn control_bytes(&self) -> ProcessBytes {
        let deployment = self.deployment.lock().await;
        let mut bytes = ProcessBytes { entries: Vec::new(), agents: Vec::new() };
        for entry in &deployment.entries {
            bytes.entries.push(read_control_bytes(entry.metrics_addr).await);
        }
        for endpoint in &deployment.endpoints {
            bytes.agents.push(read_control_bytes(endpoint.metrics_addr).await);
        }
        bytes
    }
}
