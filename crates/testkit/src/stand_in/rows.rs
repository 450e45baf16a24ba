//! Stand-in of the platform's store: versioned rows, conditional writes and a change feed.
//!
//! It can return to an earlier copy of its rows. Positions after the copy are then given out again,
//! and the era that every answer states is one higher.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use cassiawheel_model::Timestamp;
use cassiawheel_runtime::http::{ReplyBody, error_reply, json_reply, read_body};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use smol::Timer;

use super::{RunningStandIn, query_of, start};
use crate::FaultSwitches;

/// Largest request body, in bytes.
const MAX_CALL_BYTES: usize = 1 << 20;

/// Era before the first return to a copy.
const FIRST_ERA: u64 = 1;

/// Interval at which a waiting feed request checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Table and key of a row. The store's third component, `part`, is always empty here.
type RowName = (String, String);

/// Current rows and the history of their changes.
#[derive(Debug, Default)]
pub struct StoreRows {
    inner: Mutex<StoreInner>,
}

/// An earlier state of the rows.
#[derive(Debug, Clone)]
pub struct StoreCopy(StoreInner);

/// A change that is gone since the store has returned to an earlier copy.
#[derive(Debug, Clone)]
pub struct LostChange {
    /// Position of the copy, after which all changes are newer.
    copied_at: u64,
    name: RowName,
    value: Option<String>,
}

impl LostChange {
    /// Table of the row.
    pub fn table(&self) -> &str {
        &self.name.0
    }
}

#[derive(Debug, Clone, Default)]
struct StoreInner {
    /// Number of returns to an earlier copy.
    returns: u64,
    position: u64,
    rows: BTreeMap<RowName, StoredRow>,
    /// Changes since the last compaction, oldest first.
    history: Vec<(RowName, StoredRow)>,
    /// Position up to which changes were compacted.
    compacted: u64,
    calls: u64,
}

#[derive(Debug, Clone)]
struct StoredRow {
    position: u64,
    /// Value in base64; none if the change removed the row.
    value: Option<String>,
}

impl StoreRows {
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

    /// Writes a JSON value to a row without a condition, as an operator or endpoint does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes arbitrary bytes to a row, which may be invalid for its table.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let value = STANDARD.encode(value);
        self.lock().change((table.to_owned(), key.to_owned()), Some(value));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.lock().change((table.to_owned(), key.to_owned()), None);
    }

    /// Discards the history, so that a feed from an earlier position gets 410.
    pub fn compact(&self) {
        let mut inner = self.lock();
        inner.history.clear();
        inner.compacted = inner.position;
    }

    /// Copies the rows.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().clone())
    }

    /// Returns to `copy`: every change since then is gone, and the next era begins. Returns the
    /// changes that are gone.
    pub fn return_to(&self, copy: &StoreCopy) -> Vec<LostChange> {
        let mut inner = self.lock();
        let (returns, calls) = (inner.returns + 1, inner.calls);
        let before =
            std::mem::replace(&mut *inner, StoreInner { returns, calls, ..copy.0.clone() });
        let value =
            |rows: &StoreInner, name: &RowName| rows.rows.get(name).map(|r| r.value.clone());
        let names: BTreeSet<_> = before.rows.keys().chain(copy.0.rows.keys()).cloned().collect();
        let lost = names.into_iter().filter(|name| value(&before, name) != value(&copy.0, name));
        let copied_at = copy.0.position;
        lost.map(|name| {
            let value = value(&before, &name).flatten();
            LostChange { copied_at, name, value }
        })
        .collect()
    }

    /// Makes a change again that a return has lost, unless its row has changed since.
    pub fn repeat(&self, lost: LostChange) {
        let mut inner = self.lock();
        let is_newer = inner.rows.get(&lost.name).is_some_and(|row| row.position > lost.copied_at);
        if !is_newer {
            inner.change(lost.name, lost.value);
        }
    }

    /// Number of requests so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Keys of the rows in a table, in order.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let inner = self.lock();
        let rows = inner.rows.keys().filter(|(of, _)| of == table);
        rows.map(|(_, key)| key.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, StoreInner> {
        self.inner.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        self.lock().calls += 1;
        let mut reply = self.answer(request).await;
        let era = FIRST_ERA + self.lock().returns;
        reply.headers_mut().insert("store-era", era.into());
        reply
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let query = query_of(request.uri());
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/rows-get") => self.get(&query),
            (&Method::GET, "/v1/rows-feed") => self.feed(&query).await,
            (&Method::POST, "/v1/rows-tx") => match read_body(request.into_body(), MAX_CALL_BYTES)
                .await
                .ok()
                .and_then(|body| serde_json::from_slice::<Value>(&body).ok())
            {
                Some(call) => self.lock().transact(&call),
                None => error_reply(StatusCode::BAD_REQUEST, "bad-request", "no call"),
            },
            _ => error_reply(StatusCode::NOT_FOUND, "not-found", "no such call"),
        }
    }

    fn get(&self, query: &HashMap<String, String>) -> Response<ReplyBody> {
        let table = query.get("table").cloned().unwrap_or_default();
        let from = query.get("from").cloned().unwrap_or_default();
        let inner = self.lock();
        let listed = inner.rows.range((table.clone(), from)..);
        let listed = listed.take_while(|((of, _), _)| *of == table);
        let rows: Vec<_> = listed.map(|(name, row)| wire_row(name, row)).collect();
        inner.page(rows)
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Response<ReplyBody> {
        let table = query.get("table").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms) = (number("after"), number("wait_ms"));
        let deadline = Timestamp::now().deadline_after(Duration::from_millis(wait_ms));
        loop {
            {
                let inner = self.lock();
                if after < inner.compacted || after > inner.position {
                    return error_reply(StatusCode::GONE, "gone", "the history is gone");
                }
                let changed = inner.history.iter();
                let changed = changed.filter(|((of, _), row)| *of == table && row.position > after);
                let rows: Vec<_> = changed.map(|(name, row)| wire_row(name, row)).collect();
                if !rows.is_empty() || deadline.is_past(Timestamp::now()) {
                    return inner.page(rows);
                }
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

impl StoreInner {
    fn change(&mut self, name: RowName, value: Option<String>) {
        self.position += 1;
        let row = StoredRow { position: self.position, value };
        self.history.push((name.clone(), row.clone()));
        match row.value {
            Some(_) => self.rows.insert(name, row),
            None => self.rows.remove(&name),
        };
    }

    fn page(&self, rows: Vec<Value>) -> Response<ReplyBody> {
        let page = json!({
            "rows": rows,
            "has_more": false,
            "row_version": self.position,
            "now_ms": Timestamp::now().0,
        });
        json_reply(StatusCode::OK, &page)
    }

    fn transact(&mut self, call: &Value) -> Response<ReplyBody> {
        let entries = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let name_of = |entry: &Value| {
            let text = |field: &str| entry[field].as_str().unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let conditions = entries("precondition");
        let holds = |entry: &Value| {
            let stored = self.rows.get(&name_of(entry)).map_or(0, |row| row.position);
            entry["row_version"].as_u64() == Some(stored)
        };
        if !conditions.iter().all(holds) {
            let found = conditions.iter().filter_map(|entry| {
                let name = name_of(entry);
                self.rows.get(&name).map(|row| wire_row(&name, row))
            });
            let mut reply = self.page(found.collect());
            *reply.status_mut() = StatusCode::PRECONDITION_FAILED;
            return reply;
        }
        for entry in entries("upserts") {
            self.change(name_of(&entry), entry["value"].as_str().map(str::to_owned));
        }
        for entry in entries("deletes") {
            self.change(name_of(&entry), None);
        }
        self.page(Vec::new())
    }
}

fn wire_row((table, key): &RowName, row: &StoredRow) -> Value {
    let mut wire = json!({ "table": table, "part": "", "key": key, "row_version": row.position });
    match &row.value {
        Some(value) => wire["value"] = json!(value),
        None => wire["removed"] = json!(true),
    }
    wire
}
