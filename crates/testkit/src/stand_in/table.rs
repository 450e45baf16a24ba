//! Stand-in of the table service: rows in memory with conditional writes (guards).

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use cassiawheel_edge::{
    TableGuard, TableRow, WriteOutcome, WriteResult,
    table_http::{ReadRequest, ScanRequest, WriteRequest},
};
use cassiawheel_runtime::http::{ReplyBody, error_reply, json_reply, read_body};
use hyper::{Request, Response, StatusCode, body::Incoming};

use super::{RunningStandIn, start};
use crate::FaultSwitches;

/// Largest request body, in bytes.
const MAX_CALL_BYTES: usize = 8 << 20;

/// Rows and counters of the stand-in.
#[derive(Debug, Default)]
pub struct TableRows {
    rows: Mutex<BTreeMap<String, TableRow>>,
    reads: AtomicU64,
    writes: AtomicU64,
    ignores_guards: AtomicBool,
}

impl TableRows {
    /// Serves the rows at `addr`.
    pub async fn serve(
        self: &Arc<Self>,
        addr: SocketAddr,
        switches: Arc<FaultSwitches>,
    ) -> std::io::Result<RunningStandIn> {
        let rows = self.clone();
        start(addr, switches, move |request| {
            let rows = rows.clone();
            async move { rows.handle(request).await }
        })
        .await
    }

    /// Ignores the guards of writes, as a table without conditional writes would.
    pub fn ignore_guards(&self, on: bool) {
        self.ignores_guards.store(on, Ordering::SeqCst);
    }

    /// Overwrites a row by an older one with its revision, as a restore from a backup would.
    pub fn roll_back(&self, row: TableRow) {
        let mut rows = self.rows.lock().unwrap_or_else(|poison| poison.into_inner());
        rows.insert(row.key.clone(), row);
    }

    /// Number of read and scan requests so far.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Number of write requests so far.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// All rows whose keys begin with `prefix`, in the order of their keys.
    pub fn scan(&self, prefix: &str) -> Vec<TableRow> {
        let rows = self.rows.lock().unwrap_or_else(|poison| poison.into_inner());
        let matching = rows.range(prefix.to_owned()..);
        matching
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// The row at `key`, if there is one.
    pub fn read(&self, key: &str) -> Option<TableRow> {
        let rows = self.rows.lock().unwrap_or_else(|poison| poison.into_inner());
        rows.get(key).cloned()
    }

    /// Applies a batch of writes and returns one result per write; if the batch is atomic, a
    /// conflict aborts the others.
    pub fn apply(&self, call: WriteRequest) -> WriteResult {
        let mut rows = self.rows.lock().unwrap_or_else(|poison| poison.into_inner());
        let ignores_guards = self.ignores_guards.load(Ordering::SeqCst);
        let conflicts = |rows: &BTreeMap<String, TableRow>, key: &str, guard| {
            if ignores_guards {
                return false;
            }
            let revision = rows.get(key).map(|row| row.revision);
            match guard {
                TableGuard::Absent => revision.is_some(),
                TableGuard::Revision(wanted) => revision != Some(wanted),
            }
        };
        let any_conflict =
            call.writes.iter().any(|write| conflicts(&rows, &write.key, write.guard));
        let mut verdicts = Vec::with_capacity(call.writes.len());
        for write in call.writes {
            let verdict = if conflicts(&rows, &write.key, write.guard) {
                WriteOutcome::Conflict(rows.get(&write.key).cloned())
            } else if call.atomic && any_conflict {
                WriteOutcome::Aborted
            } else {
                let revision = rows.get(&write.key).map_or(1, |row| row.revision + 1);
                let row = TableRow { key: write.key.clone(), value: write.value, revision };
                rows.insert(write.key, row);
                WriteOutcome::Written(revision)
            };
            verdicts.push(verdict);
        }
        verdicts
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path().to_owned();
        let Ok(body) = read_body(request.into_body(), MAX_CALL_BYTES).await else {
            return error_reply(StatusCode::BAD_REQUEST, "body", "the body cannot be read");
        };
        let reply = match path.as_str() {
            "/v1/table/read" => serde_json::from_slice::<ReadRequest>(&body).map(|call| {
                self.reads.fetch_add(1, Ordering::Relaxed);
                json_reply(StatusCode::OK, &self.read(&call.key))
            }),
            "/v1/table/scan" => serde_json::from_slice::<ScanRequest>(&body).map(|call| {
                self.reads.fetch_add(1, Ordering::Relaxed);
                json_reply(StatusCode::OK, &self.scan(&call.prefix))
            }),
            "/v1/table/write" => serde_json::from_slice::<WriteRequest>(&body).map(|call| {
                self.writes.fetch_add(1, Ordering::Relaxed);
                json_reply(StatusCode::OK, &self.apply(call))
            }),
            _ => return error_reply(StatusCode::NOT_FOUND, "not-found", path),
        };
        reply
            .unwrap_or_else(|error| error_reply(StatusCode::BAD_REQUEST, "body", error.to_string()))
    }
}
