//! Group commit: writes the rows of many requests with one call of the table service.
//!
//! The service accepts several hundred writes a second, and each keyed request needs
//! two. Rows that arrive during a write are queued for the next one, so that the rows
//! per write grow with the load and the writes per second do not.

use std::{collections::HashSet, sync::Arc, time::Duration};

use cassiawheel_edge::{StoreError, TableStore, TableWrite, WriteOutcome};
use cassiawheel_runtime::spawn;
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

/// Capacity of the queue, in rows; writers wait while it is full.
const QUEUE_LENGTH: usize = 1_024;

/// Maximum number of rows in one write.
const MAX_ROWS: usize = 64;

/// Maximum size of the recorded answers in one write, in bytes.
const MAX_BYTES: usize = 2 << 20;

/// Upper bound of the delay that the service may impose with `retry_after`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

type WriteReply = Result<WriteOutcome, StoreError>;

/// Handle that queues single rows to be written in batches.
#[derive(Debug, Clone)]
pub(crate) struct ClaimWriter {
    queue: Sender<QueuedRow>,
}

#[derive(Debug)]
struct QueuedRow {
    write: TableWrite,
    bytes: usize,
    reply: Sender<WriteReply>,
}

impl ClaimWriter {
    /// Starts the task that writes the queued rows to `table`.
    pub(crate) fn start(table: Arc<dyn TableStore>) -> Self {
        let (queue, rows) = bounded(QUEUE_LENGTH);
        spawn(write_rows(table, rows)).detach();
        Self { queue }
    }

    /// Writes one row whose value has about `bytes` bytes.
    ///
    /// If the returned future is dropped, the row may still be written.
    pub(crate) async fn write(&self, write: TableWrite, bytes: usize) -> WriteReply {
        let (reply, replies) = bounded(1);
        let row = QueuedRow { write, bytes, reply };
        let ended = |_| StoreError::Unknown("the claim writer has ended".to_owned());
        self.queue
            .send(row)
            .await
            .map_err(|_| StoreError::NoEffect("the claim writer has ended".to_owned()))?;
        replies.recv().await.map_err(ended)?
    }
}

async fn write_rows(table: Arc<dyn TableStore>, rows: Receiver<QueuedRow>) {
    let mut deferred = None;
    loop {
        let first = match deferred.take() {
            Some(row) => row,
            None => match rows.recv().await {
                Ok(row) => row,
                Err(_) => return,
            },
        };
        let batch = collect_batch(first, &rows, &mut deferred);
        write_batch(table.as_ref(), batch).await;
    }
}

/// Takes queued rows up to the limits; a row left for the next batch goes to `deferred`.
fn collect_batch(
    first: QueuedRow,
    rows: &Receiver<QueuedRow>,
    deferred: &mut Option<QueuedRow>,
) -> Vec<QueuedRow> {
    let mut keys = HashSet::from([first.write.key.clone()]);
    let mut bytes = first.bytes;
    let mut batch = vec![first];
    while batch.len() < MAX_ROWS {
        let Ok(row) = rows.try_recv() else {
            break;
        };
        bytes += row.bytes;
        // The result of two writes of one row in one call would depend on the order in
        // which the service applies them.
        if bytes > MAX_BYTES || !keys.insert(row.write.key.clone()) {
            *deferred = Some(row);
            break;
        }
        batch.push(row);
    }
    // The attempts behind these rows have ended, so nothing would run under their claims.
    batch.retain(|row| !row.reply.is_closed());
    batch
}

async fn write_batch(table: &dyn TableStore, batch: Vec<QueuedRow>) {
    if batch.is_empty() {
        return;
    }
    let writes: Vec<_> = batch.iter().map(|row| row.write.clone()).collect();
    match table.write(&writes, false).await {
        Ok(outcomes) if outcomes.len() == batch.len() => {
            for (row, outcome) in batch.into_iter().zip(outcomes) {
                let _ = row.reply.try_send(Ok(outcome));
            }
        }
        Ok(_) => fail_batch(
            batch,
            &StoreError::Unknown("the answer has another number of rows than the write".to_owned()),
        ),
        Err(error) => {
            let delay = match error {
                StoreError::RateLimited { retry_after } => retry_after.min(MAX_RETRY_AFTER),
                StoreError::NoEffect(_) | StoreError::Unknown(_) => Duration::ZERO,
            };
            fail_batch(batch, &error);
            Timer::after(delay).await;
        }
    }
}

fn fail_batch(batch: Vec<QueuedRow>, error: &StoreError) {
    for row in batch {
        let _ = row.reply.try_send(Err(error.clone()));
    }
}
