//! Rows of the table service in which entries register their addresses.

use std::net::SocketAddr;

use cassiawheel_model::{InstanceId, RegionName};
use serde_json::{Value, json};

use crate::TableRow;

/// Prefix of the keys of these rows; an entry's inner address follows.
pub const ENTRY_KEY_PREFIX: &str = "entries/";

/// Registration of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRow {
    /// Address at which agents and other entries connect to it.
    pub inner_addr: SocketAddr,
    /// Region of the entry, if the row has a valid one.
    pub region: Option<RegionName>,
}

impl EntryRow {
    /// Decodes a row; none if its key does not hold an address.
    pub fn decode(row: &TableRow) -> Option<Self> {
        let inner_addr = row.key.strip_prefix(ENTRY_KEY_PREFIX)?.parse().ok()?;
        let region = row.value.get("region").and_then(Value::as_str);
        Some(Self { inner_addr, region: region.and_then(|name| RegionName::new(name).ok()) })
    }

    /// Encodes the key and the value of the row of an entry.
    pub fn encode(
        inner_addr: SocketAddr,
        instance: &InstanceId,
        region: &RegionName,
    ) -> (String, Value) {
        let value = json!({ "instance": instance.as_str(), "region": region.as_str() });
        (format!("{ENTRY_KEY_PREFIX}{inner_addr}"), value)
    }
}
