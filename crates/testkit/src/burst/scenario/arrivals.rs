//! Requests of a scenario: rates, kinds and workspaces.

use cassiawheel_model::{FindingList, WorkspaceId, record};
use macro_rules_attribute::apply;

/// Difference between 1 and a sum of shares that rounding may cause.
const SHARE_TOLERANCE: f64 = 1e-6;

/// Rates and kinds of the requests of a run.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct ArrivalPlan {
    /// Arrival rates; each applies until the start of the next one.
    pub curve: Vec<RateStep>,
    /// Further requests on top of the curve, for a limited time.
    #[serde(default)]
    pub burst: Option<RateBurst>,
    /// Shares of the kinds of requests; they add up to 1.
    pub mix: CallMix,
    /// Shares of the workspaces; they add up to 1.
    pub workspaces: Vec<WorkspaceShare>,
    /// Number of tokens of a generated answer.
    pub tokens: u32,
    /// Time between the tokens of an engine, in milliseconds.
    pub token_ms: u64,
    /// Time from the scheduled arrival to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Number of callers; each caches its own advice.
    #[serde(default = "default_callers")]
    pub callers: usize,
}

fn default_callers() -> usize {
    16
}

/// An arrival rate from a given time on.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct RateStep {
    /// When the rate starts, in seconds.
    pub from_s: f64,
    /// Requests per second.
    pub rps: f64,
}

/// Requests that arrive on top of the curve.
#[apply(record!)]
#[serde(deny_unknown_fields)]
pub struct RateBurst {
    /// When the burst begins, in seconds.
    pub at_s: f64,
    /// Duration of the burst, in seconds.
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
    /// Id of the workspace.
    pub name: WorkspaceId,
    /// Its share of the requests, between 0 and 1.
    pub share: f64,
}

impl ArrivalPlan {
    pub(super) fn example() -> Self {
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

    pub(super) fn check(&self, duration_s: f64, findings: &mut FindingList) {
        findings.require(!self.curve.is_empty(), "arrivals.curve", "must have at least one step");
        let mut previous = None;
        for (index, step) in self.curve.iter().enumerate() {
            let path = format!("arrivals.curve[{index}]");
            let later = previous.is_none_or(|previous| step.from_s > previous);
            findings.require(
                later,
                format_args!("{path}.from_s"),
                "must be later than the previous step",
            );
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
