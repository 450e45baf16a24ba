//! The scenario of a run, read from JSON; all findings of a check are reported together.

mod arrivals;
mod check;

use cassiawheel_model::{ModelVersion, PresetName, label, record, settings::TransferMode};
use macro_rules_attribute::apply;

pub use self::arrivals::{ArrivalPlan, CallMix, RateBurst, RateStep, WorkspaceShare};
use crate::bound::RolloutBound;

/// A scenario: the deployment, its load, the changes of the preset and the faults.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct BurstScenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines, each with an agent.
    pub model_replicas: usize,
    /// Replicas of the application, whose calls are not idempotent.
    pub app_replicas: usize,
    /// Instances of the other web service, whose calls are idempotent.
    pub web_services: usize,
    /// Number of failure domains over which instances are spread.
    pub failure_domains: usize,
    /// Size of the weights of each model version, in bytes.
    pub model_bytes: usize,
    /// Size of a chunk, in bytes.
    pub chunk_bytes: u32,
    /// Copies of a model version that the origin's link can carry in a window.
    pub origin_copies_per_window: f64,
    /// Copies of a model version that an instance's link can carry in a window.
    pub link_copies_per_window: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Whether transfers minimise bytes from the origin or the time of a rollout.
    pub transfer_mode: TransferMode,
    /// Copies of a model version that all agents together may fetch from the origin.
    #[serde(default = "default_origin_copies")]
    pub origin_copies: f64,
    /// Time in which requests arrive, in seconds.
    pub duration_s: f64,
    /// Rates and kinds of the requests.
    pub arrivals: ArrivalPlan,
    /// Changes of the preset in force; the first one is made before the arrivals.
    pub presets: Vec<PresetChange>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
    /// Time limits that the invariants allow.
    #[serde(default)]
    pub limits: LimitPlan,
}

fn default_origin_copies() -> f64 {
    1.0
}

/// An operator's change of the preset in force.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct PresetChange {
    /// When it is requested, in seconds; changes with the same time race.
    pub at_s: f64,
    /// Index of the entry that receives it first.
    #[serde(default)]
    pub entry: usize,
    /// Name of the preset.
    pub name: PresetName,
    /// Model version of the preset.
    pub version: ModelVersion,
    /// Model replicas that the preset requires.
    pub replicas: u32,
}

/// A fault to inject.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// When the fault begins, in seconds.
    pub at_s: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// What the fault affects: `entry-N`, `endpoint-N`, `domain-N`, `store`, `origin` or a version.
    pub target: String,
    /// Duration of the fault, in seconds.
    #[serde(default)]
    pub for_s: f64,
}

/// Kinds of faults.
#[apply(label!)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process is killed, and started again at the end of the fault.
    Kill,
    /// The process is stopped gracefully and started again at once.
    Restart,
    /// The process is suspended until the end of the fault.
    Pause,
    /// The platform lists the instance as leaving and stops the process
    /// gracefully; the process is started again at the end of the fault.
    Drain,
    /// The links between this process and the other processes carry no data.
    StallLink,
    /// The links from this process to the other processes carry no data.
    CutOut,
    /// The links between this process and the other processes add a delay.
    SlowLink,
    /// The links between this process and the other processes have little bandwidth.
    NarrowLink,
    /// Connections between this process and the other processes are reset.
    ResetLink,
    /// Chunks from the origin arrive corrupt.
    CorruptChunks,
    /// The table service answers with errors only.
    StoreDown,
    /// The table service delays each answer.
    StoreSlow,
    /// The table service performs the calls but its answers are lost.
    StoreLostAnswer,
    /// The origin answers with errors only.
    OriginDown,
    /// An operator requests another version, also during a rollout.
    VersionChange,
    /// The links between a failure domain and the others carry no data.
    Partition,
}

/// What a fault affects, and how a fault plan names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultTarget {
    /// A process: `entry-N` or `endpoint-N`.
    Process,
    /// A failure domain: `domain-N`.
    Domain,
    /// The table service: `store`.
    Store,
    /// The origin of weights: `origin`.
    Origin,
    /// A version by its name.
    Version,
}

/// Time limits that the invariants allow.
#[apply(record!)]
#[serde(deny_unknown_fields, default)]
pub struct LimitPlan {
    /// Time after the start of a planned stop from which the endpoint may begin no run,
    /// in seconds.
    pub leave_s: f64,
    /// Time after a change of the preset from which no answer may name an older one, in
    /// seconds.
    pub converge_s: f64,
    /// Longest wait for the replicas of the last preset, in seconds.
    pub settle_s: f64,
}

impl Default for LimitPlan {
    fn default() -> Self {
        Self { leave_s: 3.0, converge_s: 5.0, settle_s: 30.0 }
    }
}

impl FaultKind {
    /// Whether the fault may cut requests that are in progress at its target.
    pub fn is_disruptive(self) -> bool {
        match self {
            Self::Kill
            | Self::Pause
            | Self::StallLink
            | Self::CutOut
            | Self::ResetLink
            | Self::Partition => true,
            Self::Restart
            | Self::Drain
            | Self::SlowLink
            | Self::NarrowLink
            | Self::CorruptChunks
            | Self::StoreDown
            | Self::StoreSlow
            | Self::StoreLostAnswer
            | Self::OriginDown
            | Self::VersionChange => false,
        }
    }

    /// Kind of target that the fault affects.
    pub fn target(self) -> FaultTarget {
        match self {
            Self::Kill
            | Self::Restart
            | Self::Pause
            | Self::Drain
            | Self::StallLink
            | Self::CutOut
            | Self::SlowLink
            | Self::NarrowLink
            | Self::ResetLink => FaultTarget::Process,
            Self::Partition => FaultTarget::Domain,
            Self::StoreDown | Self::StoreSlow | Self::StoreLostAnswer => FaultTarget::Store,
            Self::CorruptChunks | Self::OriginDown => FaultTarget::Origin,
            Self::VersionChange => FaultTarget::Version,
        }
    }

    /// Whether the fault affects links between processes.
    pub fn affects_links(self) -> bool {
        matches!(
            self,
            Self::StallLink
                | Self::CutOut
                | Self::SlowLink
                | Self::NarrowLink
                | Self::ResetLink
                | Self::Partition
        )
    }

    /// Whether the fault affects the table service.
    pub fn affects_store(self) -> bool {
        self.target() == FaultTarget::Store
    }
}

impl BurstScenario {
    /// Number of endpoints of all services.
    pub fn endpoints(&self) -> usize {
        self.model_replicas + self.app_replicas + self.web_services
    }

    /// Bandwidth of an instance's link, in bytes per second.
    pub fn link_bytes_per_s(&self) -> u64 {
        (self.link_copies_per_window * self.model_bytes as f64 / self.window_s) as u64
    }

    /// Bandwidth of the origin's link, in bytes per second.
    pub fn origin_bytes_per_s(&self) -> u64 {
        (self.origin_copies_per_window * self.model_bytes as f64 / self.window_s) as u64
    }

    /// Whether any fault affects links.
    pub fn has_link_faults(&self) -> bool {
        self.faults.iter().any(|fault| fault.kind.affects_links())
    }

    /// Lower bound for a rollout; `serves` tells whether the replicas already serve callers.
    pub fn rollout_bound(&self, serves: bool) -> RolloutBound {
        RolloutBound {
            model_bytes: self.model_bytes as u64,
            agents: self.model_replicas,
            link_bytes_per_s: serves.then(|| self.link_bytes_per_s()),
            origin_bytes_per_s: self.origin_bytes_per_s(),
        }
    }
}

/// Parses the index in a name such as `entry-N`, whose `prefix` is `entry-`.
pub fn parse_index(target: &str, prefix: &str) -> Option<usize> {
    target.strip_prefix(prefix)?.parse().ok()
}
