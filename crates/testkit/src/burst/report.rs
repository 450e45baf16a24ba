//! The report of a run, printed as a table or as one line of JSON.

use std::fmt;

use cassiawheel_model::record;
use macro_rules_attribute::apply;

use super::{
    figures::{CallFigures, LatencyFigures},
    verdicts::{KindCounts, VerdictCounts},
};

/// Counts and figures of a run.
#[apply(record!)]
pub struct BurstReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the arrivals and weights.
    pub seed: u64,
    /// Outcomes and invariant violations.
    #[serde(flatten)]
    pub counts: VerdictCounts,
    /// Engines that have loaded the version in force at the end.
    pub replicas_ready: u64,
    /// Replicas that the preset in force at the end requires.
    pub replicas_wanted: u64,
    /// Longest time from a change until all required replicas are ready, in seconds;
    /// `None` if no change got that far.
    pub time_to_n_s: Option<f64>,
    /// `time_to_n_s` divided by the lower bound of the rollout.
    pub time_ratio: Option<f64>,
    /// Copies fetched from the origin per version put in force.
    pub origin_copies: f64,
    /// Latency figures.
    #[serde(flatten)]
    pub calls: CallFigures,
    /// Complete answers per second of the scenario's duration.
    pub goodput_rps: f64,
    /// Attempts of callers per request.
    pub attempts_per_request: f64,
    /// Runs of stand-ins per request.
    pub runs_per_request: f64,
    /// Read calls to the table service per second.
    pub store_reads_per_s: f64,
    /// Write calls to the table service per second.
    pub store_writes_per_s: f64,
    /// Bytes of control messages per second and entry, in both directions.
    pub control_bytes_per_s_per_daemon: Option<f64>,
    /// Bytes of control messages per second and agent, in both directions.
    pub control_bytes_per_s_per_agent: Option<f64>,
}

impl fmt::Display for BurstReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        writeln!(f, "scenario {}, seed {}", self.scenario, self.seed)?;
        for (name, value) in [
            ("requests", counts.requests),
            ("complete", counts.complete),
            ("not run", counts.not_run),
            ("unknown", counts.unknown),
            ("wrong", counts.wrong),
            ("truncated", counts.truncated),
            ("mixed", counts.mixed),
            ("doubles", counts.doubles),
            ("not run but ran", counts.not_run_but_ran),
            ("cut off", counts.cut_off),
            ("late after leave", counts.late_after_leave),
            ("reverts", counts.reverts),
            ("two in force", counts.two_in_force),
            ("lost changes", counts.lost_changes),
            ("cut at the deadline", counts.deadline_cuts),
            ("refused after a run", counts.refused_after_run),
        ] {
            writeln!(f, "  {name:<24}{value:>10}")?;
        }
        for (kind, last) in &counts.by_kind {
            let KindCounts { requests, complete, not_run, unknown } = last;
            let name = format!("{kind:?} requests").to_lowercase();
            writeln!(
                f,
                "  {name:<24}{requests:>10}: {complete} complete, {not_run} not run, {unknown} unknown"
            )?;
        }
        writeln!(f, "  {:<24}{:>7}/{}", "replicas", self.replicas_ready, self.replicas_wanted)?;
        let optional = |value: Option<f64>| value.map_or("-".to_owned(), |v| format!("{v:.2}"));
        for (name, value) in [
            ("convergence, s", Some(counts.converge_s_max)),
            ("time to N, s", self.time_to_n_s),
            ("by the lower bound", self.time_ratio),
            ("origin copies", Some(self.origin_copies)),
            ("goodput, 1/s", Some(self.goodput_rps)),
            ("asks per request", Some(self.attempts_per_request)),
            ("runs per request", Some(self.runs_per_request)),
            ("store reads, 1/s", Some(self.store_reads_per_s)),
            ("store writes, 1/s", Some(self.store_writes_per_s)),
            ("control, B/s per entry", self.control_bytes_per_s_per_daemon),
            ("control, B/s per agent", self.control_bytes_per_s_per_agent),
        ] {
            writeln!(f, "  {name:<24}{:>10}", optional(value))?;
        }
        writeln!(f, "  {:<20}{:>10}{:>10}{:>10}{:>10}", "ms", "p50", "p95", "p99", "p999")?;
        write_figures(f, "latency", &self.calls.latency_ms)?;
        write_figures(f, "first token", &self.calls.first_token_ms)?;
        write_figures(f, "between tokens", &self.calls.between_tokens_ms)
    }
}

fn write_figures(f: &mut fmt::Formatter<'_>, name: &str, figures: &LatencyFigures) -> fmt::Result {
    let LatencyFigures { p50, p95, p99, p999, .. } = figures;
    writeln!(f, "  {name:<20}{p50:>10.1}{p95:>10.1}{p99:>10.1}{p999:>10.1}")
}
