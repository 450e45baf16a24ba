//! The scenario of a run: checked JSON, all findings reported together.

mod arrivals;
mod check;

use cassiawheel_model::{ModelVersion, PresetName, label, record, settings::TransferMode};
use macro_rules_attribute::apply;

pub use self::arrivals::{ArrivalPlan, CallMix, RateBurst, RateStep, WorkspaceShare};
use crate::bound::RolloutBound;

/// A whole scenario.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct BurstScenario {
    /// Its name in reports.
    pub name: String,
    /// Entries.
    pub entries: usize,
    /// Model engines with their agents.
    pub model_replicas: usize,
    /// Replicas of the application, which is not idempotent.
    pub app_replicas: usize,
    /// Instances of the other web service, which is only read.
    pub web_services: usize,
    /// Failure domains over which instances are spread.
    pub failure_domains: usize,
    /// Bytes of each model version.
    pub model_bytes: usize,
    /// Bytes of a chunk.
    pub chunk_bytes: u32,
    /// Copies that the origin's link carries in a window.
    pub origin_copies_per_window: f64,
    /// Copies that an instance's link carries in a window.
    pub link_copies_per_window: f64,
    /// The window, in seconds.
    pub window_s: f64,
    /// Which figure the deployment weighs more.
    pub transfer_mode: TransferMode,
    /// Copies that all agents together may draw from the origin.
    #[serde(default = "default_origin_copies")]
    pub origin_copies: f64,
    /// Length of the arrivals, in seconds.
    pub duration_s: f64,
    /// Requests.
    pub arrivals: ArrivalPlan,
    /// Changes of the preset in force; the first one is made before the arrivals.
    pub presets: Vec<PresetChange>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
    /// Bounds of the invariants.
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
    /// When it is asked for, in seconds; two with the same time race.
    pub at_s: f64,
    /// The entry at which it is asked for.
    #[serde(default)]
    pub entry: usize,
    /// The preset.
    pub name: PresetName,
    /// The model version that it serves.
    pub version: ModelVersion,
    /// Model replicas wanted.
    pub replicas: u32,
}

/// A fault.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// What happens.
    pub kind: FaultKind,
    /// To whom: `entry-N`, `endpoint-N`, `domain-N`, `store`, `origin` or a version.
    pub target: String,
    /// How long it lasts, in seconds.
    #[serde(default)]
    pub for_s: f64,
}

/// What can happen.
#[apply(label!)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process is killed; it is started again at the end.
    Kill,
    /// The process is stopped gracefully and started again at once.
    Restart,
    /// The process is frozen.
    Pause,
    /// The platform lists the instance as leaving and stops the process
    /// gracefully; it is started again at the end.
    Drain,
    /// The links between this process and the others of the system carry nothing.
    StallLink,
    /// What this process sends to the others of the system is not carried.
    CutOut,
    /// The links between this process and the others of the system are slow.
    SlowLink,
    /// The links between this process and the others of the system are narrow.
    NarrowLink,
    /// Connections between this process and the others of the system are reset.
    ResetLink,
    /// Chunks from the origin arrive corrupt.
    CorruptChunks,
    /// The table service answers nothing but errors.
    StoreDown,
    /// The table service answers late.
    StoreSlow,
    /// The table service carries calls out and loses its answers.
    StoreLostAnswer,
    /// The origin answers nothing but errors.
    OriginDown,
    /// An operator asks for another version, whatever is under way.
    VersionChange,
    /// The links between a failure domain and the others carry nothing.
    Partition,
}

/// What a fault happens to, as its plan names it.
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

/// Bounds of the invariants.
#[apply(record!)]
#[serde(deny_unknown_fields, default)]
pub struct LimitPlan {
    /// Time after which a leaving endpoint may begin nothing, in seconds.
    pub leave_s: f64,
    /// Time after which an older preset may answer nothing, in seconds.
    pub converge_s: f64,
    /// Longest wait for the end state, in seconds.
    pub settle_s: f64,
}

impl Default for LimitPlan {
    fn default() -> Self {
        Self { leave_s: 3.0, converge_s: 5.0, settle_s: 30.0 }
    }
}

impl FaultKind {
    /// Whether it may cut requests that are in progress at its target.
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

    /// What it happens to.
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

    /// Whether it affects links between processes of the system.
    pub fn is_of_links(self) -> bool {
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

    /// Whether it affects the table service.
    pub fn is_of_store(self) -> bool {
        self.target() == FaultTarget::Store
    }
}

impl BurstScenario {
    /// Endpoints of all kinds.
    pub fn endpoints(&self) -> usize {
        self.model_replicas + self.app_replicas + self.web_services
    }

    /// Bytes per second of an instance's link.
    pub fn link_bytes_per_s(&self) -> u64 {
        (self.link_copies_per_window * self.model_bytes as f64 / self.window_s) as u64
    }

    /// Bytes per second of the origin's link.
    pub fn origin_bytes_per_s(&self) -> u64 {
        (self.origin_copies_per_window * self.model_bytes as f64 / self.window_s) as u64
    }

    /// Whether something goes wrong with links.
    pub fn has_link_faults(&self) -> bool {
        self.faults.iter().any(|fault| fault.kind.is_of_links())
    }

    /// What bounds a rollout to replicas that serve callers, or serve nothing yet.
    pub fn rollout_bound(&self, serves: bool) -> RolloutBound {
        RolloutBound {
            model_bytes: self.model_bytes as u64,
            agents: self.model_replicas,
            link_bytes_per_s: serves.then(|| self.link_bytes_per_s()),
            origin_bytes_per_s: self.origin_bytes_per_s(),
        }
    }
}

/// The number after `prefix`.
pub fn numbered(target: &str, prefix: &str) -> Option<usize> {
    target.strip_prefix(prefix)?.parse().ok()
}
