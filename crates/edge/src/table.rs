//! The platform's transactional table service.
//!
//! Each row has a revision that increases with every write (optimistic concurrency). A
//! batch of guarded writes is applied either row by row or as one transaction.

use cassiawheel_model::record;
use macro_rules_attribute::apply;

use crate::{EdgeFuture, StoreError};

/// One row of the table.
#[apply(record!)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Value of the row, in JSON.
    pub value: serde_json::Value,
    /// Increases with every write of the row; starts at 1.
    pub revision: u64,
}

/// Precondition of a write.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum TableGuard {
    /// The row must not exist.
    Absent,
    /// The row must have this revision.
    Revision(u64),
}

/// One guarded write.
#[apply(record!)]
pub struct TableWrite {
    /// Key of the row to write.
    pub key: String,
    /// Condition under which the write is applied.
    pub guard: TableGuard,
    /// New value of the row.
    pub value: serde_json::Value,
}

/// Outcome of one write.
#[apply(record!)]
#[serde(rename_all = "kebab-case")]
pub enum WriteOutcome {
    /// Applied; contains the new revision of the row.
    Written(u64),
    /// Not applied; contains the conflicting row, if it exists.
    Conflict(Option<TableRow>),
    /// Not applied because another write of the same transaction conflicts.
    Aborted,
}

/// Outcomes of a batch, in the order of its writes.
pub type WriteResult = Vec<WriteOutcome>;

/// Client of the table service.
pub trait TableStore: Send + Sync {
    /// Reads one row.
    fn read<'a>(&'a self, key: &'a str) -> EdgeFuture<'a, Result<Option<TableRow>, StoreError>>;

    /// Reads all rows whose keys begin with `prefix`, sorted by key.
    fn scan<'a>(&'a self, prefix: &'a str) -> EdgeFuture<'a, Result<Vec<TableRow>, StoreError>>;

    /// Applies `writes`, all or none of them if `atomic` is set.
    fn write<'a>(
        &'a self,
        writes: &'a [TableWrite],
        atomic: bool,
    ) -> EdgeFuture<'a, Result<WriteResult, StoreError>>;
}
