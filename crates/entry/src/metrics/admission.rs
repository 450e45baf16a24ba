//! Metrics of admission by service and urgency.

use std::sync::OnceLock;

use cassiawheel_decide::{RequestUrgency, RequestWork};
use cassiawheel_model::ServiceName;
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Number of values of the label `urgency`: the urgencies and `none`.
const URGENCY_LABELS: usize = 11;

/// Metrics of admission at an entry.
pub(crate) struct AdmissionMetrics {
    admitted: IntCounterVec,
    refused: IntCounterVec,
    work: IntCounterVec,
    told: IntCounterVec,
}

/// Metrics of admission to one service. Counters are looked up once, so that admission takes no
/// lock for them.
#[derive(Debug)]
pub(crate) struct ServiceAdmissionMetrics {
    service: ServiceName,
    vectors: [IntCounterVec; 2],
    admitted: [OnceLock<IntCounter>; URGENCY_LABELS],
    refused: [OnceLock<IntCounter>; URGENCY_LABELS],
    work: IntCounter,
    told: IntCounter,
}

impl AdmissionMetrics {
    /// Creates the metrics and registers them in `registry`.
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter =
                IntCounterVec::new(Opts::new(format!("cassiawheel_entry_{name}"), help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let by_urgency = ["service", "urgency"];
        Ok(Self {
            admitted: counter(
                "admitted_total",
                "Admitted requests by service and urgency",
                &by_urgency,
            )?,
            refused: counter(
                "admission_refused_total",
                "Requests that admission refused, by service and urgency",
                &by_urgency,
            )?,
            work: counter(
                "admitted_work_ms_total",
                "Expected time of the admitted requests in slots of endpoints, by service",
                &["service"],
            )?,
            told: counter(
                "retry_told_total",
                "Refused callers that were told when to retry, by service",
                &["service"],
            )?,
        })
    }

    /// Metrics of one service.
    pub(crate) fn service(&self, service: &ServiceName) -> ServiceAdmissionMetrics {
        ServiceAdmissionMetrics {
            service: service.clone(),
            vectors: [self.admitted.clone(), self.refused.clone()],
            admitted: Default::default(),
            refused: Default::default(),
            work: self.work.with_label_values(&[service.as_str()]),
            told: self.told.with_label_values(&[service.as_str()]),
        }
    }
}

impl ServiceAdmissionMetrics {
    /// Counts an admitted request.
    pub(crate) fn count_admitted(&self, urgency: Option<RequestUrgency>, work: RequestWork) {
        self.counter(&self.vectors[0], &self.admitted, urgency).inc();
        self.work.inc_by(work.as_ms());
    }

    /// Counts a refused request.
    pub(crate) fn count_refused(&self, urgency: Option<RequestUrgency>) {
        self.counter(&self.vectors[1], &self.refused, urgency).inc();
    }

    /// Counts a caller that was told when to retry.
    pub(crate) fn count_told(&self) {
        self.told.inc();
    }

    fn counter<'a>(
        &self,
        vector: &IntCounterVec,
        counters: &'a [OnceLock<IntCounter>; URGENCY_LABELS],
        urgency: Option<RequestUrgency>,
    ) -> &'a IntCounter {
        let rank = urgency.map(|urgency| urgency.urgency.rank());
        let position = rank.map_or(URGENCY_LABELS - 1, usize::from);
        counters[position].get_or_init(|| {
            let label = urgency_label(urgency);
            vector.with_label_values(&[self.service.as_str(), label.as_str()])
        })
    }
}

/// Urgency in metrics and log lines; `none` where urgencies are not in use.
pub(crate) fn urgency_label(urgency: Option<RequestUrgency>) -> String {
    urgency.map_or_else(|| "none".to_owned(), |urgency| urgency.urgency.to_string())
}
