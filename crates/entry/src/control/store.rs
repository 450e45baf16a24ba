//! Client of the table service with a call budget, metrics and health.

use std::sync::{Arc, Mutex, MutexGuard};

use cassiawheel_decide::budget::CallBudget;
use cassiawheel_edge::{EdgeFuture, StoreError, TableRow, TableStore, TableWrite, WriteResult};
use cassiawheel_model::{Timestamp, record, settings::ControlSettings};
use macro_rules_attribute::apply;
use prometheus::IntCounter;

use crate::metrics::EntryMetrics;

/// Recent responses of the table service.
#[apply(record!)]
#[derive(Default)]
pub(crate) struct StoreHealth {
    /// When the service last responded.
    pub(crate) answered_at: Option<Timestamp>,
    /// Number of calls that have failed since.
    pub(crate) failures: u32,
    /// Error of the last failed call.
    pub(crate) last_failure: Option<String>,
}

/// The table service behind the rate limits of this process.
pub(crate) struct MeteredTable {
    inner: Arc<dyn TableStore>,
    reads: Mutex<CallBudget>,
    writes: Mutex<CallBudget>,
    health: Mutex<StoreHealth>,
    read_count: IntCounter,
    write_count: IntCounter,
    failure_count: IntCounter,
}

impl MeteredTable {
    /// Creates a client with the limits in `settings` and the counters in `metrics`.
    pub(crate) fn new(
        inner: Arc<dyn TableStore>,
        settings: &ControlSettings,
        metrics: &EntryMetrics,
    ) -> Self {
        let now = Timestamp::now();
        Self {
            inner,
            reads: Mutex::new(CallBudget::new(settings.store_reads_per_s, now)),
            writes: Mutex::new(CallBudget::new(settings.store_writes_per_s, now)),
            health: Mutex::default(),
            read_count: metrics.store_reads.clone(),
            write_count: metrics.store_writes.clone(),
            failure_count: metrics.store_failures.clone(),
        }
    }

    /// Recent responses of the service.
    pub(crate) fn health(&self) -> MutexGuard<'_, StoreHealth> {
        self.health.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    async fn call<T>(
        &self,
        budget: &Mutex<CallBudget>,
        count: &IntCounter,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let permit =
            budget.lock().unwrap_or_else(|poison| poison.into_inner()).take(Timestamp::now());
        permit.map_err(|retry_after| StoreError::RateLimited { retry_after })?;
        count.inc();
        let answer = call.await;
        let mut health = self.health();
        match &answer {
            Ok(_) => {
                *health =
                    StoreHealth { answered_at: Some(Timestamp::now()), ..StoreHealth::default() };
            }
            Err(error) => {
                self.failure_count.inc();
                health.failures += 1;
                health.last_failure = Some(error.to_string());
            }
        }
        answer
    }
}

impl TableStore for MeteredTable {
    fn read<'a>(&'a self, key: &'a str) -> EdgeFuture<'a, Result<Option<TableRow>, StoreError>> {
        Box::pin(self.call(&self.reads, &self.read_count, self.inner.read(key)))
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> EdgeFuture<'a, Result<Vec<TableRow>, StoreError>> {
        Box::pin(self.call(&self.reads, &self.read_count, self.inner.scan(prefix)))
    }

    fn write<'a>(
        &'a self,
        writes: &'a [TableWrite],
        atomic: bool,
    ) -> EdgeFuture<'a, Result<WriteResult, StoreError>> {
        Box::pin(self.call(&self.writes, &self.write_count, self.inner.write(writes, atomic)))
    }
}
