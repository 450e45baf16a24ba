//! The row of one keyed request in the table service.

use std::{sync::Arc, time::Duration};

use cassiawheel_decide::claim::{
    ClaimGuard, ClaimRecord, ClaimReply, ClaimState, ClaimTracker, ReleaseStep, release_step,
};
use cassiawheel_edge::{StoreError, TableGuard, TableRow, TableWrite, WriteOutcome};
use cassiawheel_model::{Deadline, Timestamp};
use cassiawheel_runtime::{spawn, timeout};
use rand::Rng;
use smol::{Task, Timer};

use crate::endpoint::EndpointShared;

/// How long an outcome is written again while the table service is away.
const SETTLE_TIME: Duration = Duration::from_secs(15 * 60);

/// First wait before a row is written again, in milliseconds; doubled each time.
const MIN_BACKOFF_MS: u64 = 50;

/// Longest wait before a row is written again, in milliseconds.
const MAX_BACKOFF_MS: u64 = 5_000;

/// Writes the claim; a write without an answer by `give_up_at` counts as lost.
pub(crate) async fn write_claim(
    shared: &EndpointShared,
    row: &str,
    record: &ClaimRecord,
    guard: ClaimGuard,
    give_up_at: Deadline,
) -> ClaimReply {
    let span = give_up_at.remaining(Timestamp::now());
    timeout(span, write(shared, row, record, guard)).await.unwrap_or(ClaimReply::Lost)
}

/// Reads the row; a read without an answer by `give_up_at` tells nothing.
///
/// A slow store would otherwise hold the refusal back beyond the caller's
/// deadline, and the caller would hear "unknown" of a request that never ran.
pub(crate) async fn look_until(
    shared: &EndpointShared,
    row: &str,
    give_up_at: Deadline,
) -> ClaimReply {
    let span = give_up_at.remaining(Timestamp::now());
    timeout(span, look(shared, row)).await.unwrap_or(ClaimReply::Lost)
}

async fn look(shared: &EndpointShared, row: &str) -> ClaimReply {
    match shared.table.read(row).await {
        Ok(Some(found)) => view_of(found),
        Ok(None) => ClaimReply::Absent,
        Err(error) => view_of_error(&error),
    }
}

async fn write(
    shared: &EndpointShared,
    row: &str,
    record: &ClaimRecord,
    guard: ClaimGuard,
) -> ClaimReply {
    let Ok(value) = serde_json::to_value(record) else {
        return ClaimReply::NoEffect;
    };
    let guard = match guard {
        ClaimGuard::Absent => TableGuard::Absent,
        ClaimGuard::Revision(revision) => TableGuard::Revision(revision),
    };
    let bytes = match &record.state {
        ClaimState::Answered(answer) => answer.body.len(),
        ClaimState::Held | ClaimState::Released | ClaimState::Unanswered { .. } => 0,
    };
    let write = TableWrite { key: row.to_owned(), guard, value };
    match shared.claims.write(write, bytes).await {
        Ok(WriteOutcome::Written(revision)) => ClaimReply::Written(revision),
        Ok(WriteOutcome::Conflict(Some(found))) => view_of(found),
        Ok(WriteOutcome::Conflict(None)) => ClaimReply::Absent,
        Ok(WriteOutcome::Aborted) => ClaimReply::NoEffect,
        Err(error) => view_of_error(&error),
    }
}

fn view_of(row: TableRow) -> ClaimReply {
    match serde_json::from_value(row.value) {
        Ok(record) => ClaimReply::Found { record, revision: row.revision },
        Err(error) => {
            log::error!(target: "claim", row = row.key, cause:% = error; "A row is not a claim.");
            ClaimReply::Lost
        }
    }
}

fn view_of_error(error: &StoreError) -> ClaimReply {
    match error {
        StoreError::NoEffect(_) | StoreError::RateLimited { .. } => ClaimReply::NoEffect,
        StoreError::Unknown(_) => ClaimReply::Lost,
    }
}

/// Writes the final state of a claim that we hold, until it is written.
///
/// Lost answers are harmless: the row's revision lets only one of the repeated
/// writes take effect, and a conflict then shows our own record.
pub(crate) fn settle(
    shared: &Arc<EndpointShared>,
    row: &str,
    record: ClaimRecord,
    revision: u64,
) -> Task<()> {
    let (shared, row) = (shared.clone(), row.to_owned());
    spawn(async move {
        let _open = shared.open_attempt();
        let mut backoff = RowBackoff::begin();
        loop {
            match write(&shared, &row, &record, ClaimGuard::Revision(revision)).await {
                ClaimReply::Written(_) => return,
                ClaimReply::Found { record: found, .. } if found == record => return,
                ClaimReply::Found { .. } | ClaimReply::Absent => {
                    log::error!(target: "claim", row = row; "A held claim was changed by another.");
                    return;
                }
                ClaimReply::NoEffect | ClaimReply::Lost => {}
            }
            if !backoff.wait().await {
                log::warn!(target: "claim", row = row; "An outcome was not recorded.");
                return;
            }
        }
    })
}

/// Makes sure that a claim which may yet take effect stands in nobody's way.
pub(crate) fn release_late(shared: &Arc<EndpointShared>, row: &str, tracker: &ClaimTracker) {
    let (shared, row) = (shared.clone(), row.to_owned());
    let released = tracker.record_as(ClaimState::Released);
    spawn(async move {
        let _open = shared.open_attempt();
        let mut backoff = RowBackoff::begin();
        let mut view = look(&shared, &row).await;
        loop {
            view = match release_step(&released.nonce, &view) {
                ReleaseStep::Done => return,
                ReleaseStep::Write(guard) => write(&shared, &row, &released, guard).await,
                ReleaseStep::Poll if backoff.wait().await => look(&shared, &row).await,
                ReleaseStep::Poll => {
                    log::warn!(target: "claim", row = row; "A claim was not released.");
                    return;
                }
            };
        }
    })
    .detach();
}

/// Waits between tries, until they are given up.
struct RowBackoff {
    next_ms: u64,
    give_up_at: Deadline,
}

impl RowBackoff {
    fn begin() -> Self {
        Self { next_ms: MIN_BACKOFF_MS, give_up_at: Timestamp::now().deadline_after(SETTLE_TIME) }
    }

    /// Waits; false once it is time to give up.
    async fn wait(&mut self) -> bool {
        let wait = rand::rng().random_range(self.next_ms / 2..=self.next_ms);
        Timer::after(Duration::from_millis(wait)).await;
        self.next_ms = (self.next_ms * 2).min(MAX_BACKOFF_MS);
        !self.give_up_at.is_past(Timestamp::now())
    }
}
