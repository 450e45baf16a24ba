//! Reads and writes the claim row of one keyed request in the table service.

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

/// Time for which writing an outcome is retried while the table service fails.
const MAX_RETRY_TIME: Duration = Duration::from_secs(15 * 60);

/// First backoff before a row is accessed again, in milliseconds; doubled each time.
const MIN_BACKOFF_MS: u64 = 50;

/// Longest backoff before a row is accessed again, in milliseconds.
const MAX_BACKOFF_MS: u64 = 5_000;

/// Writes the claim; a write without an answer by `give_up_at` counts as lost.
pub(crate) async fn write_claim(
    shared: &EndpointShared,
    row: &str,
    record: &ClaimRecord,
    guard: ClaimGuard,
    give_up_at: Deadline,
) -> ClaimReply {
    let time_left = give_up_at.remaining(Timestamp::now());
    timeout(time_left, write(shared, row, record, guard)).await.unwrap_or(ClaimReply::Lost)
}

/// Reads the row; a read without an answer by `give_up_at` counts as lost.
///
/// A slow store would otherwise delay the refusal beyond the caller's deadline, and the
/// caller would get "unknown" for a request that never ran.
pub(crate) async fn read_claim(
    shared: &EndpointShared,
    row: &str,
    give_up_at: Deadline,
) -> ClaimReply {
    let time_left = give_up_at.remaining(Timestamp::now());
    timeout(time_left, read_row(shared, row)).await.unwrap_or(ClaimReply::Lost)
}

async fn read_row(shared: &EndpointShared, row: &str) -> ClaimReply {
    match shared.table.read(row).await {
        Ok(Some(found)) => reply_from_row(found),
        Ok(None) => ClaimReply::Absent,
        Err(error) => reply_from_error(&error),
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
        Ok(WriteOutcome::Conflict(Some(found))) => reply_from_row(found),
        Ok(WriteOutcome::Conflict(None)) => ClaimReply::Absent,
        Ok(WriteOutcome::Aborted) => ClaimReply::NoEffect,
        Err(error) => reply_from_error(&error),
    }
}

fn reply_from_row(row: TableRow) -> ClaimReply {
    match serde_json::from_value(row.value) {
        Ok(record) => ClaimReply::Found { record, revision: row.revision },
        Err(error) => {
            log::error!(target: "claim", row = row.key, cause:% = error; "Cannot parse the row of a claim.");
            ClaimReply::Lost
        }
    }
}

fn reply_from_error(error: &StoreError) -> ClaimReply {
    match error {
        StoreError::NoEffect(_) | StoreError::RateLimited { .. } => ClaimReply::NoEffect,
        StoreError::Unknown(_) => ClaimReply::Lost,
    }
}

/// Writes the final state of a claim held by this process, with retries.
///
/// A lost answer is harmless: the guard on the row's revision lets only one of the
/// repeated writes take effect, and a conflict then returns the record of this process.
pub(crate) fn write_final_state(
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
                    log::error!(target: "claim", row = row; "Another process changed a claim that this one holds.");
                    return;
                }
                ClaimReply::NoEffect | ClaimReply::Lost => {}
            }
            if !backoff.wait().await {
                log::warn!(target: "claim", row = row; "Gave up recording an outcome.");
                return;
            }
        }
    })
}

/// Releases a claim whose write may still take effect, so that it does not block its key.
pub(crate) fn release_uncertain(shared: &Arc<EndpointShared>, row: &str, tracker: &ClaimTracker) {
    let (shared, row) = (shared.clone(), row.to_owned());
    let released = tracker.record_as(ClaimState::Released);
    spawn(async move {
        let _open = shared.open_attempt();
        let mut backoff = RowBackoff::begin();
        let mut reply = read_row(&shared, &row).await;
        loop {
            reply = match release_step(&released.nonce, &reply) {
                ReleaseStep::Done => return,
                ReleaseStep::Write(guard) => write(&shared, &row, &released, guard).await,
                ReleaseStep::Poll if backoff.wait().await => read_row(&shared, &row).await,
                ReleaseStep::Poll => {
                    log::warn!(target: "claim", row = row; "Gave up releasing a claim.");
                    return;
                }
            };
        }
    })
    .detach();
}

/// Jittered exponential backoff with a deadline for the last try.
struct RowBackoff {
    next_ms: u64,
    give_up_at: Deadline,
}

impl RowBackoff {
    fn begin() -> Self {
        Self {
            next_ms: MIN_BACKOFF_MS,
            give_up_at: Timestamp::now().deadline_after(MAX_RETRY_TIME),
        }
    }

    /// Waits for the next backoff; false once the deadline is past.
    async fn wait(&mut self) -> bool {
        let wait = rand::rng().random_range(self.next_ms / 2..=self.next_ms);
        Timer::after(Duration::from_millis(wait)).await;
        self.next_ms = (self.next_ms * 2).min(MAX_BACKOFF_MS);
        !self.give_up_at.is_past(Timestamp::now())
    }
}
