//! Keyed requests that run at most once: claim, run, record.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiawheel_decide::claim::{
    ClaimRecord, ClaimStep, ClaimView, RecordedAnswer, claim_row, next_step,
};
use cassiawheel_model::{AttemptNonce, NotRunReason, Repeatability, RequestHead, Timestamp};
use cassiawheel_platform::{StoreError, TableGuard, TableRow, TableWrite, WriteVerdict};
use http_body_util::BodyExt;
use smol::Timer;

use crate::{
    endpoint::EndpointShared,
    run::{AttemptLink, RunFailure, call_engine, send_whole},
};

/// Wait before the row is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// Whether the request has to be claimed before it runs.
pub(crate) fn needs_claim(head: &RequestHead) -> bool {
    head.repeat == Repeatability::AtMostOnce && head.key.is_some()
}

/// Claims, runs and records a keyed request, or gives its recorded answer.
pub(crate) async fn run_claimed(
    shared: &Arc<EndpointShared>,
    link: AttemptLink,
    head: &RequestHead,
    body: Bytes,
) -> Result<(), RunFailure> {
    let Some(key) = &head.key else {
        return Err(RunFailure::NotRun(NotRunReason::KeyConflict));
    };
    let row = claim_row(&head.workspace, &head.service, key);
    let own = ClaimRecord {
        nonce: new_nonce(shared, head)?,
        fingerprint: fingerprint(head, &body),
        answer: None,
    };
    match claim(shared, &row, &own, head).await? {
        ClaimStep::Replay(answer) => replay(link, head, answer).await,
        ClaimStep::Conflict => Err(RunFailure::NotRun(NotRunReason::KeyConflict)),
        ClaimStep::Wait | ClaimStep::Insert => {
            Err(RunFailure::Unknown("another attempt with this key has no outcome yet".to_owned()))
        }
        ClaimStep::Run => {
            let answer = run_whole(shared, head, body).await?;
            record(shared, &row, own, &answer).await;
            replay(link, head, answer).await
        }
    }
}

/// Looks at the row until the request may run, is answered, or its deadline is reached.
async fn claim(
    shared: &EndpointShared,
    row: &str,
    own: &ClaimRecord,
    head: &RequestHead,
) -> Result<ClaimStep, RunFailure> {
    let mut view = insert(shared, row, own).await;
    let mut uncertain = matches!(view, Err(StoreError::Unknown(_)));
    loop {
        let step = match view {
            Ok(view) => next_step(&own.nonce, &own.fingerprint, view),
            Err(_) => ClaimStep::Insert,
        };
        match step {
            ClaimStep::Wait | ClaimStep::Insert if head.deadline.is_past(Timestamp::now()) => {
                // A claim without a run is never run later: this attempt ends
                // here, and a claim is never taken over.
                return match step {
                    ClaimStep::Wait => Ok(ClaimStep::Wait),
                    _ => Err(RunFailure::NotRun(NotRunReason::StoreUnavailable)),
                };
            }
            ClaimStep::Wait => {
                Timer::after(LOOK_AGAIN).await;
                view = look(shared, row).await;
            }
            ClaimStep::Insert => {
                Timer::after(LOOK_AGAIN).await;
                view = if uncertain { look(shared, row).await } else { Ok(ClaimView::Absent) };
                if matches!(view, Ok(ClaimView::Absent)) {
                    view = insert(shared, row, own).await;
                    uncertain |= matches!(view, Err(StoreError::Unknown(_)));
                }
            }
            ClaimStep::Run | ClaimStep::Replay(_) | ClaimStep::Conflict => return Ok(step),
        }
    }
}

async fn insert(
    shared: &EndpointShared,
    row: &str,
    own: &ClaimRecord,
) -> Result<ClaimView, StoreError> {
    let write = TableWrite {
        key: row.to_owned(),
        guard: TableGuard::Absent,
        value: serde_json::to_value(own).map_err(|e| StoreError::NoEffect(e.to_string()))?,
    };
    match shared.table.write(&[write], true).await?.pop() {
        Some(WriteVerdict::Written(_)) => Ok(ClaimView::Inserted),
        Some(WriteVerdict::Conflict(Some(found))) => view_of(found),
        _ => Ok(ClaimView::Absent),
    }
}

async fn look(shared: &EndpointShared, row: &str) -> Result<ClaimView, StoreError> {
    match shared.table.read(row).await? {
        Some(found) => view_of(found),
        None => Ok(ClaimView::Absent),
    }
}

fn view_of(row: TableRow) -> Result<ClaimView, StoreError> {
    let record = serde_json::from_value(row.value);
    record.map(ClaimView::Found).map_err(|error| StoreError::Unknown(error.to_string()))
}

async fn run_whole(
    shared: &EndpointShared,
    head: &RequestHead,
    body: Bytes,
) -> Result<RecordedAnswer, RunFailure> {
    let answer = call_engine(shared, head, body).await?;
    let whole = answer.body.collect().await;
    let whole = whole.map_err(|error| RunFailure::Unknown(format!("answer cut: {error}")))?;
    Ok(RecordedAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: hex::encode(whole.to_bytes()),
    })
}

/// Records the answer; without it later arrivals of the key learn "unknown".
async fn record(shared: &EndpointShared, row: &str, own: ClaimRecord, answer: &RecordedAnswer) {
    let recorded = ClaimRecord { answer: Some(answer.clone()), ..own };
    let Ok(value) = serde_json::to_value(&recorded) else {
        return;
    };
    let write = TableWrite { key: row.to_owned(), guard: TableGuard::Revision(1), value };
    if let Err(error) = shared.table.write(&[write], true).await {
        log::warn!(target: "claim", row = row, cause:% = error; "An outcome was not recorded.");
    }
}

async fn replay(
    link: AttemptLink,
    head: &RequestHead,
    answer: RecordedAnswer,
) -> Result<(), RunFailure> {
    let body = hex::decode(&answer.body)
        .map_err(|_| RunFailure::Unknown("the recorded answer is damaged".to_owned()))?;
    send_whole(link, head, answer.status, answer.content_type, body).await
}

fn new_nonce(shared: &EndpointShared, head: &RequestHead) -> Result<AttemptNonce, RunFailure> {
    let instance = &shared.settings.place.instance;
    let text = format!("{instance}-{}-{}", shared.incarnation, shared.next_attempt());
    AttemptNonce::new(&text).map_err(|error| {
        log::error!(target: "claim", request:% = head.id, cause:% = error; "No nonce can be made.");
        RunFailure::NotRun(NotRunReason::StoreUnavailable)
    })
}

fn fingerprint(head: &RequestHead, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [head.service.as_str(), &head.method, &head.path] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(body);
    hasher.finalize().to_hex().to_string()
}
