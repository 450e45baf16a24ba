//! The table service as the rest of an entry sees it: within a budget, counted
//! and watched.

use std::sync::{Arc, Mutex, MutexGuard};

use cassiawheel_decide::budget::CallBudget;
use cassiawheel_edge::{EdgeFuture, StoreError, TableRow, TableStore, TableWrite, WriteResult};
use cassiawheel_model::{Timestamp, record, settings::ControlSettings};
use macro_rules_attribute::apply;
use prometheus::IntCounter;

use crate::metrics::EntryMetrics;

/// How the table service has answered lately.
#[apply(record!)]
#[derive(Default)]
pub(crate) struct StoreHealth {
    /// When it last answered.
    pub(crate) answered_at: Option<Timestamp>,
    /// Calls that failed since.
    pub(crate) failures: u32,
    /// Why the last of them failed.
    pub(crate) last_failure: Option<String>,
}

/// The table service within the process' budget.
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
    /// A budget as in `settings`, counted in `metrics`.
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

    /// How the service has answered lately.
    pub(crate) fn health(&self) -> MutexGuard<'_, StoreHealth> {
        self.health.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    async fn call<T>(
        &self,
        budget: &Mutex<CallBudget>,
        count: &IntCounter,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let taken =
            budget.lock().unwrap_or_else(|poison| poison.into_inner()).take(Timestamp::now());
        taken.map_err(|retry_after| StoreError::RateLimited { retry_after })?;
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
