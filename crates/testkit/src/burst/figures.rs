//! Latency percentiles as measured by callers.

use cassiawheel_model::record;
use hdrhistogram::Histogram;
use macro_rules_attribute::apply;

use super::records::{RequestRecord, ToldOutcome};

/// Percentiles of a latency, in milliseconds.
#[apply(record!)]
#[derive(Default)]
pub struct LatencyFigures {
    /// Number of measured values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

impl LatencyFigures {
    /// Computes the percentiles of `values_us`, given in microseconds.
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

/// Latency of complete answers, measured from the scheduled arrival.
#[apply(record!)]
#[derive(Default)]
pub struct CallFigures {
    /// Time to the end of the answer.
    pub latency_ms: LatencyFigures,
    /// Time to the first part of a generated answer.
    pub first_token_ms: LatencyFigures,
    /// Time between the parts of a generated answer.
    pub between_tokens_ms: LatencyFigures,
}

impl CallFigures {
    /// Computes the figures of the requests with a complete answer.
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
