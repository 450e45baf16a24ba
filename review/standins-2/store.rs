//! The platform's store: rows, a change feed and conditional writes, as PROTOCOL.md says.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Reply, Request, Response, serve};

#[derive(Clone)]
struct Row {
    version: u64,
    /// In base64; none if the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct Inner {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
    history: Vec<(String, String, Row)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<Inner>>);

impl Store {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap()
    }

    /// Writes a row without a condition.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.lock().change(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.lock().change(table, key, None);
    }

    pub fn serve(&self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let store = self.clone();
        serve(addr, move |request, _| Reply::Whole(store.answer(&request)))
    }

    fn answer(&self, request: &Request) -> Response {
        let text = |name: &str| request.query.get(name).map_or("", String::as_str);
        match request.path.as_str() {
            "/v1/rows-get" => {
                let (inner, from) = (self.lock(), unescape(text("from")));
                let rows = inner.rows.iter();
                let rows = rows.filter(|((table, key), _)| table == text("table") && *key >= from);
                let rows = rows.map(|((table, key), row)| wire_row(table, key, row)).collect();
                inner.page(200, rows)
            }
            "/v1/rows-feed" => {
                let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(number("wait_ms"));
                loop {
                    {
                        let inner = self.lock();
                        let changed = inner.history.iter();
                        let changed = changed.filter(|(table, _, row)| {
                            table == text("table") && row.version > number("after")
                        });
                        let rows: Vec<_> =
                            changed.map(|(table, key, row)| wire_row(table, key, row)).collect();
                        if !rows.is_empty() || Instant::now() >= end {
                            return inner.page(200, rows);
                        }
                    }
                    thread::sleep(Duration::from_millis(3));
                }
            }
            "/v1/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    fn transact(&self, text: &str) -> Response {
        let mut inner = self.lock();
        let section = |name: &str| entries(text, name);
        let conditions = section("precondition");
        let holds = |entry: &&String| {
            let key = (field(entry, "table"), field(entry, "key"));
            let known = inner.rows.get(&key).map_or(0, |row| row.version);
            field(entry, "row_version") == known.to_string()
        };
        if !conditions.iter().all(|entry| holds(&entry)) {
            let found = conditions.iter().filter_map(|entry| {
                let (table, key) = (field(entry, "table"), field(entry, "key"));
                let row = inner.rows.get(&(table.clone(), key.clone()))?;
                Some(wire_row(&table, &key, row))
            });
            let found = found.collect();
            return inner.page(412, found);
        }
        for entry in section("upserts") {
            let value = Some(field(&entry, "value"));
            inner.change(&field(&entry, "table"), &field(&entry, "key"), value);
        }
        for entry in section("deletes") {
            inner.change(&field(&entry, "table"), &field(&entry, "key"), None);
        }
        inner.page(200, Vec::new())
    }
}

impl Inner {
    fn change(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row = Row { version: self.version, value };
        self.history.push((table.to_owned(), key.to_owned(), row.clone()));
        let name = (table.to_owned(), key.to_owned());
        match row.value {
            Some(_) => self.rows.insert(name, row),
            None => self.rows.remove(&name),
        };
    }

    fn page(&self, status: u16, rows: Vec<String>) -> Response {
        let body = format!(
            "{{\"rows\":[{}],\"has_more\":false,\"row_version\":{},\"now_ms\":1}}",
            rows.join(","),
            self.version
        );
        Response::json(status, body)
    }
}

fn wire_row(table: &str, key: &str, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    let version = row.version;
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"row_version\":{version},{value}}}")
}

/// Flat objects of the list `name` in a transaction; their texts hold no braces.
fn entries(text: &str, name: &str) -> Vec<String> {
    let Some((_, rest)) = text.split_once(&format!("\"{name}\":[")) else {
        return Vec::new();
    };
    let list = rest.split(']').next().unwrap_or_default();
    list.split('}').filter(|part| part.contains('{')).map(str::to_owned).collect()
}

fn field(entry: &str, name: &str) -> String {
    let Some((_, rest)) = entry.split_once(&format!("\"{name}\":")) else {
        return String::new();
    };
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next().unwrap_or_default().to_owned(),
        None => rest.split([',', '}']).next().unwrap_or_default().trim().to_owned(),
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        let code = (*byte == b'%').then(|| text_code(after)).flatten();
        bytes.push(code.unwrap_or(*byte));
        rest = if code.is_some() { &after[2..] } else { after };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn text_code(after: &[u8]) -> Option<u8> {
    u8::from_str_radix(std::str::from_utf8(after.get(..2)?).ok()?, 16).ok()
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let group = part.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - part.len()));
        for digit in 0..4 {
            match digit <= part.len() {
                true => text.push(DIGITS[(group >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
