//! Percentiles of what callers saw.

use cassiawheel_model::record;
use hdrhistogram::Histogram;
use macro_rules_attribute::apply;

use super::records::{RequestRecord, ToldOutcome};

/// Percentiles in milliseconds.
#[apply(record!)]
#[derive(Default)]
pub struct LatencyFigures {
    /// Values.
    pub count: u64,
    /// Half of them are at most this.
    pub p50: f64,
    /// 95 in 100.
    pub p95: f64,
    /// 99 in 100.
    pub p99: f64,
    /// 999 in 1,000.
    pub p999: f64,
}

impl LatencyFigures {
    /// Percentiles of `values_us`, in microseconds.
    pub fn of(values_us: impl Iterator<Item = u64>) -> anyhow::Result<Self> {
        let mut histogram = Histogram::<u64>::new(3)?;
        for value in values_us {
            histogram.record(value)?;
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Ok(Self {
            count: histogram.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            p999: at(0.999),
        })
    }
}

/// Latency of whole answers, each from its scheduled arrival.
#[apply(record!)]
#[derive(Default)]
pub struct CallFigures {
    /// To the end of the answer.
    pub latency_ms: LatencyFigures,
    /// To the first part of a generated answer.
    pub first_token_ms: LatencyFigures,
    /// Between the parts of a generated answer.
    pub between_tokens_ms: LatencyFigures,
}

impl CallFigures {
    /// Figures of the requests that were answered as a whole.
    pub fn of(requests: &[RequestRecord]) -> anyhow::Result<Self> {
        let answers = || {
            let last = requests.iter().filter_map(|request| Some((request, request.asks.last()?)));
            last.filter(|(_, ask)| ask.told == ToldOutcome::Complete)
        };
        let generated = || answers().filter(|(request, _)| request.tokens > 0).map(|(_, ask)| ask);
        Ok(Self {
            latency_ms: LatencyFigures::of(answers().map(|(_, ask)| ask.total_us))?,
            first_token_ms: LatencyFigures::of(generated().filter_map(|ask| ask.first_us))?,
            between_tokens_ms: LatencyFigures::of(
                generated().flat_map(|ask| ask.gaps_us.iter().copied()),
            )?,
        })
    }
}
