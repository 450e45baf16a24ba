//! Rows of the table service in which entries leave their addresses.

use std::net::SocketAddr;

use cassiawheel_model::{InstanceId, RegionName};
use serde_json::{Value, json};

use crate::TableRow;

/// What the keys of these rows begin with.
pub const ENTRY_KEY_PREFIX: &str = "entries/";

/// An entry that has left its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRow {
    /// Where our own processes reach it.
    pub inner_addr: SocketAddr,
    /// Its region, if the row has one.
    pub region: Option<RegionName>,
}

impl EntryRow {
    /// Reads a row; none if its key is no address.
    pub fn decode(row: &TableRow) -> Option<Self> {
        let inner_addr = row.key.strip_prefix(ENTRY_KEY_PREFIX)?.parse().ok()?;
        let region = row.value.get("region").and_then(Value::as_str);
        Some(Self { inner_addr, region: region.and_then(|name| RegionName::new(name).ok()) })
    }

    /// The key and the value of the row of an entry.
    pub fn encode(
        inner_addr: SocketAddr,
        instance: &InstanceId,
        region: &RegionName,
    ) -> (String, Value) {
        let value = json!({ "instance": instance.as_str(), "region": region.as_str() });
        (format!("{ENTRY_KEY_PREFIX}{inner_addr}"), value)
    }
}
