//! Group commit: rows of many requests in one write of the table service.
//!
//! The service takes several hundred writes a second, and each keyed request
//! needs two. While one write is under way, the next rows gather, so the rows
//! per write grow with the load and the writes per second do not.

use std::{collections::HashSet, sync::Arc, time::Duration};

use cassiawheel_edge::{StoreError, TableStore, TableWrite, WriteOutcome};
use cassiawheel_runtime::spawn;
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

/// Rows that may wait before their writers wait.
const QUEUE_LENGTH: usize = 1_024;

/// Most rows in one write.
const MAX_ROWS: usize = 64;

/// Most bytes of answers in one write.
const MAX_BYTES: usize = 2 << 20;

/// Longest pause that the service's wish to come back later is honoured for.
const MAX_PAUSE: Duration = Duration::from_secs(1);

type Verdict = Result<WriteOutcome, StoreError>;

/// Writes single rows, many at a time.
#[derive(Debug, Clone)]
pub(crate) struct ClaimWriter {
    queue: Sender<QueuedRow>,
}

#[derive(Debug)]
struct QueuedRow {
    write: TableWrite,
    bytes: usize,
    verdict: Sender<Verdict>,
}

impl ClaimWriter {
    /// Starts the task that writes to `table`.
    pub(crate) fn start(table: Arc<dyn TableStore>) -> Self {
        let (queue, rows) = bounded(QUEUE_LENGTH);
        spawn(write_rows(table, rows)).detach();
        Self { queue }
    }

    /// Writes one row whose value has about `bytes` bytes.
    ///
    /// If the returned future is dropped, the row may still be written.
    pub(crate) async fn write(&self, write: TableWrite, bytes: usize) -> Verdict {
        let (verdict, answer) = bounded(1);
        let row = QueuedRow { write, bytes, verdict };
        let ended = |_| StoreError::Unknown("the writer has ended".to_owned());
        self.queue.send(row).await.map_err(|_| StoreError::NoEffect("closed".to_owned()))?;
        answer.recv().await.map_err(ended)?
    }
}

async fn write_rows(table: Arc<dyn TableStore>, rows: Receiver<QueuedRow>) {
    let mut held = None;
    loop {
        let first = match held.take() {
            Some(row) => row,
            None => match rows.recv().await {
                Ok(row) => row,
                Err(_) => return,
            },
        };
        let batch = gather(first, &rows, &mut held);
        write_batch(table.as_ref(), batch).await;
    }
}

/// Takes what waits, up to the limits; a row that must go later is `held`.
fn gather(
    first: QueuedRow,
    rows: &Receiver<QueuedRow>,
    held: &mut Option<QueuedRow>,
) -> Vec<QueuedRow> {
    let mut keys = HashSet::from([first.write.key.clone()]);
    let mut bytes = first.bytes;
    let mut batch = vec![first];
    while batch.len() < MAX_ROWS {
        let Ok(row) = rows.try_recv() else {
            break;
        };
        bytes += row.bytes;
        // Two writes of one row in one call would depend on the order in which
        // the service applies them.
        if bytes > MAX_BYTES || !keys.insert(row.write.key.clone()) {
            *held = Some(row);
            break;
        }
        batch.push(row);
    }
    // Nobody waits for these any more, so nobody would run what they claim.
    batch.retain(|row| !row.verdict.is_closed());
    batch
}

async fn write_batch(table: &dyn TableStore, batch: Vec<QueuedRow>) {
    if batch.is_empty() {
        return;
    }
    let writes: Vec<_> = batch.iter().map(|row| row.write.clone()).collect();
    match table.write(&writes, false).await {
        Ok(verdicts) if verdicts.len() == batch.len() => {
            for (row, verdict) in batch.into_iter().zip(verdicts) {
                let _ = row.verdict.try_send(Ok(verdict));
            }
        }
        Ok(_) => refuse(batch, &StoreError::Unknown("an answer for other rows".to_owned())),
        Err(error) => {
            let pause = match error {
                StoreError::RateLimited { retry_after } => retry_after.min(MAX_PAUSE),
                StoreError::NoEffect(_) | StoreError::Unknown(_) => Duration::ZERO,
            };
            refuse(batch, &error);
            Timer::after(pause).await;
        }
    }
}

fn refuse(batch: Vec<QueuedRow>, error: &StoreError) {
    for row in batch {
        let _ = row.verdict.try_send(Err(error.clone()));
    }
}
