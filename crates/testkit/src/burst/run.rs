//! One run from the start of the processes to the report.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use cassiawheel_model::{
    ForcedPreset, ModelVersion, PresetName, Timestamp,
    settings::{ControlSettings, TransferSettings},
};
use cassiawheel_runtime::spawn;
use serde_json::Value;
use smol::{Task, Timer, lock};

use super::{
    drive::{BurstCaller, CallPlan, caller_seeds},
    faults::{self, FaultEnd, SharedDeployment},
    figures::CallFigures,
    operate::BurstOperator,
    plot,
    records::{ChangeRecord, ForceSample, HistoryRecord, RequestRecord, RunRecord, RunRecords},
    report::BurstReport,
    scenario::{BurstScenario, FaultKind, PresetChange},
    schedule::draw_arrivals,
    verdicts::{VerdictLimits, judge},
};
use crate::{
    Deployment, DeploymentPlan,
    deployment::MODEL_SERVICE,
    stand_in::{engine::EngineState, table::TableRows},
    traffic::{ControlBytes, read_control_bytes},
    weights::WeightImage,
};

/// Time between looks at the stand-ins.
const SAMPLE_TIME: Duration = Duration::from_millis(20);
/// Longest time for the processes to know each other and to serve.
const START_TIME: Duration = Duration::from_secs(60);
/// Time between progress lines.
const PROGRESS_TIME: Duration = Duration::from_secs(1);

/// How a run is made.
#[derive(Debug, Clone, Default)]
pub struct BurstOptions {
    /// Seed of arrivals and weights.
    pub seed: u64,
    /// Whether settings and logs are kept.
    pub keep_logs: bool,
    /// Whether progress lines go to standard error.
    pub progress: bool,
    /// Where the plot goes.
    pub plot: Option<PathBuf>,
}

/// Replicas that answered from the version in force at a time.
#[derive(Debug, Clone, Copy)]
pub struct ReadySample {
    /// When.
    pub at: Timestamp,
    /// How many.
    pub ready: usize,
}

/// A change of version and when all wanted replicas answered from it.
#[derive(Debug, Clone)]
struct VersionWait {
    version: String,
    wanted: usize,
    forced_at: Instant,
    waited: Option<Duration>,
}

/// What was seen at the stand-ins over time.
#[derive(Debug, Default)]
struct StandInSamples {
    forced: Vec<ForceSample>,
    ready: Vec<ReadySample>,
    waits: Vec<VersionWait>,
}

/// Looks at the stand-ins again and again.
struct StandInSampler {
    table: Arc<TableRows>,
    engines: Vec<Arc<EngineState>>,
    samples: Mutex<StandInSamples>,
    stopped: AtomicBool,
}

impl StandInSampler {
    fn samples(&self) -> MutexGuard<'_, StandInSamples> {
        self.samples.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    async fn run(self: Arc<Self>) {
        while !self.stopped.load(Ordering::Acquire) {
            self.look();
            Timer::after(SAMPLE_TIME).await;
        }
        self.look();
    }

    fn look(&self) {
        let row = self.table.read("force");
        let preset = row.and_then(|row| serde_json::from_value::<ForcedPreset>(row.value).ok());
        let Some(preset) = preset else {
            return;
        };
        let mut samples = self.samples();
        let (revision, change) = (preset.revision.0, preset.change.to_string());
        let known =
            samples.forced.last().is_some_and(|s| s.revision == revision && s.change == change);
        if !known {
            samples.forced.push(ForceSample { at: Timestamp::now(), revision, change });
        }
        let Some(target) = preset.content.services.get(MODEL_SERVICE) else {
            return;
        };
        let version = target.version.as_ref().map(ModelVersion::as_str).unwrap_or_default();
        let ready = self.ready(version);
        samples.ready.push(ReadySample { at: Timestamp::now(), ready });
        let wanted = target.replicas as usize;
        let same = |wait: &VersionWait| wait.version == version && wait.wanted == wanted;
        if !samples.waits.last().is_some_and(same) {
            let (version, forced_at) = (version.to_owned(), Instant::now());
            samples.waits.push(VersionWait { version, wanted, forced_at, waited: None });
        }
        let Some(wait) = samples.waits.last_mut() else {
            return;
        };
        if wait.waited.is_none() && ready >= wanted {
            wait.waited = Some(wait.forced_at.elapsed());
        }
    }

    fn ready(&self, version: &str) -> usize {
        let has = |engine: &&Arc<EngineState>| {
            engine.version().is_some_and(|loaded| loaded.as_str() == version)
        };
        self.engines.iter().filter(has).count()
    }

    /// Whether the replicas that the preset in force wants are there.
    fn is_settled(&self) -> bool {
        self.samples().waits.last().is_some_and(|wait| wait.waited.is_some())
    }
}

/// Runs `scenario` and judges it.
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
    let sampler = Arc::new(StandInSampler {
        table: deployment.table.clone(),
        engines: deployment.endpoints.iter().filter_map(|e| e.engine.clone()).collect(),
        samples: Mutex::default(),
        stopped: AtomicBool::new(false),
    });
    let sampling = spawn(sampler.clone().run());
    let operator = BurstOperator::new(deployment.entries.iter().map(|e| e.admin_addr).collect());
    let mut changes = begin(&deployment, scenario, &operator, options.seed).await?;
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
    settle(&sampler, scenario).await;
    sampler.stopped.store(true, Ordering::Release);
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
    let longest = longest_wait(&samples.waits);
    // The first version goes to replicas that serve nothing yet.
    let bound_s = |first: bool| scenario.rollout_bound(!first).span().as_secs_f64();
    let versions = samples.waits.iter().map(|w| &w.version).collect::<BTreeSet<_>>().len();
    let drawn = deployment.origin.drawn() as f64 / scenario.model_bytes as f64;
    let asks = records.requests.iter().map(|request| request.asks.len()).sum::<usize>();
    Ok(BurstReport {
        scenario: scenario.name.clone(),
        seed: options.seed,
        replicas_ready: samples.ready.last().map_or(0, |sample| sample.ready as u64),
        replicas_wanted: last.map_or(0, |wait| wait.wanted as u64),
        time_to_n_s: longest.map(|(_, span)| span),
        time_ratio: longest.map(|(index, span)| span / bound_s(index == 0)),
        origin_copies: drawn / versions.max(1) as f64,
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
        severable_links: scenario.stalls_links(),
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

/// Makes the first change and waits until all endpoints serve.
async fn begin(
    deployment: &Deployment,
    scenario: &BurstScenario,
    operator: &BurstOperator,
    seed: u64,
) -> anyhow::Result<Vec<ChangeRecord>> {
    let endpoints = scenario.endpoints();
    let reported =
        |status: &Value| status["endpoints"].as_array().is_some_and(|list| list.len() == endpoints);
    for entry in 0..scenario.entries {
        let waited = deployment.wait_status(entry, START_TIME, reported).await;
        waited.context("the agents did not report")?;
    }
    let first = &scenario.presets[0];
    let end = Instant::now() + START_TIME;
    let changes = operator.change(scenario, first, &format!("burst-{seed}-0"), end).await;
    let version = first.version.as_str();
    deployment.wait_engines(version, first.replicas as usize, START_TIME).await?;
    let serving = |status: &Value| {
        status["endpoints"].as_array().is_some_and(|list| {
            let serves = |e: &&Value| e["report"]["state"]["serving"].is_object();
            let plain = endpoints - scenario.model_replicas;
            list.iter().filter(serves).count() >= plain + first.replicas as usize
        })
    };
    for entry in 0..scenario.entries {
        let waited = deployment.wait_status(entry, START_TIME, serving).await;
        waited.context("not all endpoints serve")?;
    }
    Ok(changes)
}

/// Waits for the end state, at most as long as the scenario allows.
async fn settle(sampler: &StandInSampler, scenario: &BurstScenario) {
    let end = Instant::now() + Duration::from_secs_f64(scenario.limits.settle_s);
    while !sampler.is_settled() && Instant::now() < end {
        Timer::after(SAMPLE_TIME).await;
    }
}

/// The version that took longest, by its position, and its seconds.
fn longest_wait(waits: &[VersionWait]) -> Option<(usize, f64)> {
    let spans = waits.iter().enumerate();
    let spans = spans.filter_map(|(index, wait)| Some((index, wait.waited?.as_secs_f64())));
    spans.max_by(|(_, span), (_, other)| span.total_cmp(other))
}

/// What the stand-ins know at the end.
pub fn collect_stand_ins(
    deployment: &Deployment,
    model_replicas: usize,
    app_replicas: usize,
) -> RunRecords {
    let names: Vec<_> = deployment.endpoints.iter().map(|e| e.instance.to_string()).collect();
    let (model, plain) = names.split_at(model_replicas);
    let (app, web) = plain.split_at(app_replicas);
    let mut runs = Vec::new();
    for endpoint in &deployment.endpoints {
        let name = endpoint.instance.to_string();
        let begun = endpoint.engine.iter().flat_map(|engine| engine.begun_runs());
        runs.extend(begun.map(|run| RunRecord {
            endpoint: name.clone(),
            request: run.request,
            text: None,
            begun_at: run.begun_at,
        }));
        let carried = endpoint.ledger.iter().flat_map(|ledger| ledger.calls());
        runs.extend(carried.map(|call| RunRecord {
            endpoint: name.clone(),
            request: call.request,
            text: Some(String::from_utf8_lossy(&call.body).into_owned()),
            begun_at: call.begun_at,
        }));
    }
    let history = deployment.table.scan("change/").into_iter().filter_map(|row| {
        let preset: ForcedPreset = serde_json::from_value(row.value).ok()?;
        let (revision, change) = (preset.revision.0, preset.change.to_string());
        Some(HistoryRecord { revision, change })
    });
    RunRecords {
        model_endpoints: model.to_vec(),
        app_endpoints: app.to_vec(),
        web_endpoints: web.to_vec(),
        runs,
        history: history.collect(),
        ..RunRecords::default()
    }
}

/// Calls of the table per second.
struct StoreRates {
    reads_per_s: f64,
    writes_per_s: f64,
}

/// Bytes of control messages of all processes; none where one did not answer.
struct ProcessBytes {
    entries: Vec<Option<ControlBytes>>,
    agents: Vec<Option<ControlBytes>>,
}

/// The part of a run in which requests arrive.
struct BurstRun<'a> {
    scenario: &'a BurstScenario,
    options: &'a BurstOptions,
    deployment: SharedDeployment,
    started: Instant,
    started_at: Timestamp,
    reads: u64,
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
        let spans =
            Duration::from_secs_f64(self.scenario.duration_s + self.scenario.limits.settle_s);
        let end = self.started + spans;
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

    /// Starts each request at its time, whatever became of earlier ones.
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
            if self.options.progress && shown_at.elapsed() >= PROGRESS_TIME {
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
        eprintln!("{elapsed:>4} s: {} of {total} arrived, {ended} have ended", tasks.len());
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
