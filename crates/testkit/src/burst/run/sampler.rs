//! Samples the state of the stand-ins during a run.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use cassiawheel_model::{ForcedPreset, ModelVersion, Timestamp};
use smol::Timer;

use crate::{
    Deployment,
    burst::{records::ForceSample, scenario::BurstScenario},
    deployment::MODEL_SERVICE,
    stand_in::{engine::EngineState, table::TableRows},
};

/// Time between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Number of replicas that had loaded the version in force at a given time.
#[derive(Debug, Clone, Copy)]
pub struct ReadySample {
    /// When the sample was taken.
    pub at: Timestamp,
    /// Number of ready replicas.
    pub ready: usize,
}

/// A change of the version or replica count, and the time until that many replicas
/// were ready.
#[derive(Debug, Clone)]
pub(super) struct VersionWait {
    pub(super) version: String,
    pub(super) wanted: usize,
    forced_at: Instant,
    /// `None` until enough replicas are ready.
    waited: Option<Duration>,
}

/// Samples of the stand-ins over time.
#[derive(Debug, Default)]
pub(super) struct StandInSamples {
    pub(super) forced: Vec<ForceSample>,
    pub(super) ready: Vec<ReadySample>,
    pub(super) waits: Vec<VersionWait>,
}

/// Samples the stand-ins at a fixed interval.
pub(super) struct StandInSampler {
    table: Arc<TableRows>,
    engines: Vec<Arc<EngineState>>,
    samples: Mutex<StandInSamples>,
    stopped: AtomicBool,
}

impl StandInSampler {
    pub(super) fn new(deployment: &Deployment) -> Arc<Self> {
        Arc::new(Self {
            table: deployment.table.clone(),
            engines: deployment.endpoints.iter().filter_map(|e| e.engine.clone()).collect(),
            samples: Mutex::default(),
            stopped: AtomicBool::new(false),
        })
    }

    pub(super) fn samples(&self) -> MutexGuard<'_, StandInSamples> {
        self.samples.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Takes samples until `stop` is called, and a last one after that.
    pub(super) async fn run(self: Arc<Self>) {
        while !self.stopped.load(Ordering::Acquire) {
            self.sample();
            Timer::after(SAMPLE_INTERVAL).await;
        }
        self.sample();
    }

    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Takes one sample.
    fn sample(&self) {
        let row = self.table.read("force");
        let preset = row.and_then(|row| serde_json::from_value::<ForcedPreset>(row.value).ok());
        let Some(preset) = preset else {
            return;
        };
        let mut samples = self.samples();
        let (revision, change) = (preset.revision.0, preset.change.to_string());
        let unchanged =
            samples.forced.last().is_some_and(|s| s.revision == revision && s.change == change);
        if !unchanged {
            samples.forced.push(ForceSample { at: Timestamp::now(), revision, change });
        }
        let Some(target) = preset.content.services.get(MODEL_SERVICE) else {
            return;
        };
        let version = target.version.as_ref().map(ModelVersion::as_str).unwrap_or_default();
        let ready = self.count_ready(version);
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

    fn count_ready(&self, version: &str) -> usize {
        let has_loaded = |engine: &&Arc<EngineState>| {
            engine.version().is_some_and(|loaded| loaded.as_str() == version)
        };
        self.engines.iter().filter(has_loaded).count()
    }

    /// Waits until the replicas of the last preset are ready, for at most `settle_s`.
    pub(super) async fn settle(&self, scenario: &BurstScenario) {
        let end = Instant::now() + Duration::from_secs_f64(scenario.limits.settle_s);
        while !self.is_settled() && Instant::now() < end {
            Timer::after(SAMPLE_INTERVAL).await;
        }
    }

    /// Whether the replicas that the preset in force requires have become ready.
    fn is_settled(&self) -> bool {
        self.samples().waits.last().is_some_and(|wait| wait.waited.is_some())
    }
}

impl StandInSamples {
    /// Index and seconds of the longest wait that has ended.
    pub(super) fn longest_wait(&self) -> Option<(usize, f64)> {
        let spans = self.waits.iter().enumerate();
        let spans = spans.filter_map(|(index, wait)| Some((index, wait.waited?.as_secs_f64())));
        spans.max_by(|(_, span), (_, other)| span.total_cmp(other))
    }
}
