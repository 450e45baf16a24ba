//! Metrics of the list of endpoints and of how current it is when a request is routed.

use std::time::Duration;

use prometheus::{
    Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Upper bounds of the histogram of ages, in seconds.
///
/// An endpoint gets no requests from two seconds after its departure on.
const AGE_BUCKETS: [f64; 8] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 5.0];

/// How current the list of endpoints is.
pub(crate) struct ListMetrics {
    age: Histogram,
    in_grace: IntGauge,
    longest_pause: Gauge,
    withdrawn: IntCounter,
    unusable: IntCounterVec,
}

impl ListMetrics {
    /// Creates the metrics and registers them in `registry`.
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let age = HistogramOpts::new(
            "cassiawheel_entry_list_age_seconds",
            "Age of the list of endpoints when an endpoint is chosen",
        );
        let metrics = Self {
            age: Histogram::with_opts(age.buckets(AGE_BUCKETS.to_vec()))?,
            in_grace: IntGauge::new(
                "cassiawheel_entry_endpoints_in_grace",
                "Endpoints without a row that may return after an outage of the table service",
            )?,
            longest_pause: Gauge::new(
                "cassiawheel_entry_longest_pause_seconds",
                "Longest time for which the process stood still",
            )?,
            withdrawn: IntCounter::new(
                "cassiawheel_entry_withdrawn_choices_total",
                "Choices of endpoints that left before the request was sent",
            )?,
            unusable: IntCounterVec::new(
                Opts::new(
                    "cassiawheel_entry_unusable_rows_total",
                    "Rows of other writers, or parts of them, that this entry read and can't use",
                ),
                &["table"],
            )?,
        };
        registry.register(Box::new(metrics.unusable.clone()))?;
        registry.register(Box::new(metrics.withdrawn.clone()))?;
        registry.register(Box::new(metrics.age.clone()))?;
        registry.register(Box::new(metrics.in_grace.clone()))?;
        registry.register(Box::new(metrics.longest_pause.clone()))?;
        Ok(metrics)
    }

    /// Observes the age of the list when an endpoint is chosen.
    pub(crate) fn observe_age(&self, age: Duration) {
        self.age.observe(age.as_secs_f64());
    }

    /// Counts a choice that was withdrawn before the request was sent.
    pub(crate) fn count_withdrawn(&self) {
        self.withdrawn.inc();
    }

    /// Counts a row, or a part of one, that can't be used; `table` is `endpoints` or `operators`.
    pub(crate) fn count_unusable(&self, table: &str) {
        self.unusable.with_label_values(&[table]).inc();
    }

    /// Sets the number of endpoints in their grace period.
    pub(crate) fn set_in_grace(&self, count: usize) {
        self.in_grace.set(count as i64);
    }

    /// Sets the longest time for which the process stood still.
    pub(crate) fn set_longest_pause(&self, span: Duration) {
        self.longest_pause.set(span.as_secs_f64());
    }
}
