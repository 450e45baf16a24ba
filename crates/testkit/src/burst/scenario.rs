//! The scenario of a run: checked JSON, all findings reported together.

use cassiawheel_model::{
    FindingList, ModelVersion, PresetName, WorkspaceId, label, record,
    settings::{CheckedSettings, TransferMode},
};
use macro_rules_attribute::apply;

use crate::bound::RolloutBound;

/// Most entries and most endpoints: each is a process on this machine.
const MAX_ENTRIES: usize = 20;
const MAX_ENDPOINTS: usize = 200;
/// Longest run, in seconds.
const MAX_DURATION_S: f64 = 3_600.0;
/// Shares may differ from 1 by rounding only.
const SHARE_TOLERANCE: f64 = 1e-6;

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

/// Requests of a run.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct ArrivalPlan {
    /// Rates, each from its time until the next one's.
    pub curve: Vec<RateStep>,
    /// Further requests that begin at a fixed time.
    #[serde(default)]
    pub burst: Option<RateBurst>,
    /// Shares of the kinds; they add up to 1.
    pub mix: CallMix,
    /// Shares of the workspaces; they add up to 1.
    pub workspaces: Vec<WorkspaceShare>,
    /// Tokens of a generated answer.
    pub tokens: u32,
    /// Time between the tokens of an engine, in milliseconds.
    pub token_ms: u64,
    /// Time that callers allow a request, in milliseconds.
    pub deadline_ms: u64,
    /// Callers that each keep an advice of their own.
    #[serde(default = "default_callers")]
    pub callers: usize,
}

fn default_callers() -> usize {
    16
}

/// A rate from a time on.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct RateStep {
    /// When it begins, in seconds.
    pub from_s: f64,
    /// Requests per second.
    pub rps: f64,
}

/// Requests that arrive on top of the curve.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct RateBurst {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// Requests per second.
    pub rps: f64,
}

/// Shares of the kinds of requests.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct CallMix {
    /// Generations, streamed and idempotent.
    pub generate: f64,
    /// Idempotent calls of the other web service.
    pub read: f64,
    /// Calls of the application with an idempotency key.
    pub keyed: f64,
    /// Calls of the application that may not be repeated and have no key.
    pub unkeyed: f64,
}

/// A workspace's share of the requests.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceShare {
    /// The workspace.
    pub name: WorkspaceId,
    /// Its share.
    pub share: f64,
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
            Self::Kill | Self::Pause | Self::StallLink | Self::Partition => true,
            Self::Restart
            | Self::Drain
            | Self::CorruptChunks
            | Self::StoreDown
            | Self::StoreSlow
            | Self::StoreLostAnswer
            | Self::OriginDown
            | Self::VersionChange => false,
        }
    }

    /// Whether it affects the table service.
    pub fn is_of_store(self) -> bool {
        matches!(self, Self::StoreDown | Self::StoreSlow | Self::StoreLostAnswer)
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

    /// Whether links have to be stallable.
    pub fn stalls_links(&self) -> bool {
        let stalls = |kind| matches!(kind, FaultKind::StallLink | FaultKind::Partition);
        self.faults.iter().any(|fault| stalls(fault.kind))
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

impl CheckedSettings for BurstScenario {
    fn example() -> Self {
        Self {
            name: "example".to_owned(),
            entries: 1,
            model_replicas: 1,
            app_replicas: 1,
            web_services: 1,
            failure_domains: 1,
            model_bytes: 1 << 20,
            chunk_bytes: 1 << 16,
            origin_copies_per_window: 4.0,
            link_copies_per_window: 2.0,
            window_s: 1.0,
            transfer_mode: TransferMode::Bytes,
            origin_copies: default_origin_copies(),
            duration_s: 1.0,
            arrivals: ArrivalPlan::example(),
            presets: vec![PresetChange {
                at_s: 0.0,
                entry: 0,
                name: PresetName::example(),
                version: ModelVersion::example(),
                replicas: 1,
            }],
            faults: vec![FaultPlan {
                at_s: 0.0,
                kind: FaultKind::Kill,
                target: "entry-0".to_owned(),
                for_s: 1.0,
            }],
            limits: LimitPlan::default(),
        }
    }

    fn check(&self, findings: &mut FindingList) {
        self.check_sizes(findings);
        self.arrivals.check(self.duration_s, findings);
        self.check_presets(findings);
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(&format!("faults[{index}]"), fault, findings);
        }
        for (path, value) in [
            ("limits.leave_s", self.limits.leave_s),
            ("limits.converge_s", self.limits.converge_s),
            ("limits.settle_s", self.limits.settle_s),
        ] {
            findings.require(value > 0.0, path, "must be more than 0");
        }
    }
}

impl BurstScenario {
    fn check_sizes(&self, findings: &mut FindingList) {
        let counts = [
            ("entries", self.entries, MAX_ENTRIES),
            ("model_replicas", self.model_replicas, MAX_ENDPOINTS),
            ("app_replicas", self.app_replicas, MAX_ENDPOINTS),
            ("web_services", self.web_services, MAX_ENDPOINTS),
            ("failure_domains", self.failure_domains, MAX_ENDPOINTS),
        ];
        for (path, count, most) in counts {
            let message = format!("must lie between 1 and {most}, is {count}");
            findings.require((1..=most).contains(&count), path, message);
        }
        findings.require(
            self.endpoints() <= MAX_ENDPOINTS,
            "model_replicas",
            format_args!("all endpoints together must be at most {MAX_ENDPOINTS}"),
        );
        findings.require(self.chunk_bytes > 0, "chunk_bytes", "must be at least 1");
        findings.require(
            self.model_bytes >= self.chunk_bytes as usize,
            "model_bytes",
            "must be at least chunk_bytes",
        );
        for (path, value) in [
            ("origin_copies_per_window", self.origin_copies_per_window),
            ("link_copies_per_window", self.link_copies_per_window),
            ("window_s", self.window_s),
        ] {
            findings.require(value > 0.0, path, "must be more than 0");
        }
        findings.require(
            (1.0..=64.0).contains(&self.origin_copies),
            "origin_copies",
            "must lie between 1 and 64",
        );
        findings.require(
            self.duration_s > 0.0 && self.duration_s <= MAX_DURATION_S,
            "duration_s",
            format_args!("must be more than 0 and at most {MAX_DURATION_S}"),
        );
    }

    fn check_presets(&self, findings: &mut FindingList) {
        match self.presets.first() {
            None => findings.push("presets", "must have at least one"),
            Some(first) => {
                let message = "the first change is made before the arrivals: must be 0";
                findings.require(first.at_s == 0.0, "presets[0].at_s", message);
            }
        }
        for (index, change) in self.presets.iter().enumerate() {
            let path = format!("presets[{index}]");
            self.check_time(&format!("{path}.at_s"), change.at_s, findings);
            findings.require(
                change.entry < self.entries,
                format_args!("{path}.entry"),
                format_args!("there are only {} entries", self.entries),
            );
            findings.require(
                (1..=self.model_replicas as u32).contains(&change.replicas),
                format_args!("{path}.replicas"),
                format_args!("must lie between 1 and model_replicas, {}", self.model_replicas),
            );
        }
    }

    fn check_time(&self, path: &str, at_s: f64, findings: &mut FindingList) {
        let message = format!("must lie between 0 and duration_s, {}", self.duration_s);
        findings.require((0.0..=self.duration_s).contains(&at_s), path, message);
    }

    fn check_fault(&self, path: &str, fault: &FaultPlan, findings: &mut FindingList) {
        self.check_time(&format!("{path}.at_s"), fault.at_s, findings);
        let lasts = !matches!(fault.kind, FaultKind::Restart | FaultKind::VersionChange);
        let (holds, message) = match lasts {
            true => (fault.for_s > 0.0, "must be more than 0"),
            false => (fault.for_s == 0.0, "must be left out: the fault has no end of its own"),
        };
        findings.require(holds, format_args!("{path}.for_s"), message);
        let target = fault.target.as_str();
        let entry = numbered(target, "entry-").is_some_and(|index| index < self.entries);
        let endpoint = numbered(target, "endpoint-").is_some_and(|index| index < self.endpoints());
        let (holds, message) = match fault.kind {
            FaultKind::Kill | FaultKind::Restart | FaultKind::Pause | FaultKind::StallLink => {
                (entry || endpoint, "must be entry-N or endpoint-N of this scenario")
            }
            FaultKind::Drain => {
                (entry || endpoint, "must be entry-N or endpoint-N of this scenario")
            }
            FaultKind::CorruptChunks | FaultKind::OriginDown => {
                (target == "origin", "must be origin")
            }
            FaultKind::StoreDown | FaultKind::StoreSlow | FaultKind::StoreLostAnswer => {
                (target == "store", "must be store")
            }
            FaultKind::VersionChange => (
                ModelVersion::new(target).is_ok(),
                "must be the version that the operator asks for",
            ),
            FaultKind::Partition => (
                numbered(target, "domain-").is_some_and(|index| index < self.failure_domains),
                "must be domain-N of this scenario",
            ),
        };
        findings.require(holds, format_args!("{path}.target"), message);
    }
}

impl ArrivalPlan {
    fn example() -> Self {
        Self {
            curve: vec![RateStep { from_s: 0.0, rps: 1.0 }],
            burst: Some(RateBurst { at_s: 0.0, for_s: 1.0, rps: 1.0 }),
            mix: CallMix { generate: 1.0, read: 0.0, keyed: 0.0, unkeyed: 0.0 },
            workspaces: vec![WorkspaceShare { name: WorkspaceId::example(), share: 1.0 }],
            tokens: 1,
            token_ms: 1,
            deadline_ms: 1_000,
            callers: default_callers(),
        }
    }

    fn check(&self, duration_s: f64, findings: &mut FindingList) {
        findings.require(!self.curve.is_empty(), "arrivals.curve", "must have at least one step");
        let mut previous = None;
        for (index, step) in self.curve.iter().enumerate() {
            let path = format!("arrivals.curve[{index}]");
            let later = previous.is_none_or(|previous| step.from_s > previous);
            findings.require(later, format_args!("{path}.from_s"), "must be later than the last");
            findings.require(step.rps >= 0.0, format_args!("{path}.rps"), "must not be negative");
            previous = Some(step.from_s);
        }
        if let Some(burst) = &self.burst {
            let inside = burst.at_s >= 0.0 && burst.at_s + burst.for_s <= duration_s;
            findings.require(inside, "arrivals.burst", "must lie within duration_s");
            findings.require(burst.rps > 0.0, "arrivals.burst.rps", "must be more than 0");
        }
        let mix = &self.mix;
        let kinds = [mix.generate, mix.read, mix.keyed, mix.unkeyed];
        check_shares("arrivals.mix", &kinds, findings);
        let shares: Vec<_> = self.workspaces.iter().map(|workspace| workspace.share).collect();
        check_shares("arrivals.workspaces", &shares, findings);
        for (path, value) in [
            ("arrivals.tokens", u64::from(self.tokens)),
            ("arrivals.deadline_ms", self.deadline_ms),
            ("arrivals.callers", self.callers as u64),
        ] {
            findings.require(value > 0, path, "must be at least 1");
        }
    }
}

fn check_shares(path: &str, shares: &[f64], findings: &mut FindingList) {
    let sum: f64 = shares.iter().sum();
    let negative = shares.iter().any(|share| *share < 0.0);
    findings.require(!negative, path, "no share may be negative");
    let whole = (sum - 1.0).abs() <= SHARE_TOLERANCE;
    findings.require(whole, path, format_args!("the shares must add up to 1, are {sum}"));
}

/// The number after `prefix`.
pub fn numbered(target: &str, prefix: &str) -> Option<usize> {
    target.strip_prefix(prefix)?.parse().ok()
}
