//! The platform's transactional table service.
//!
//! Rows have a revision that rises with each write. A batch of guarded writes
//! is applied either row by row or as one transaction.

use cassiawheel_model::record;
use macro_rules_attribute::apply;

use crate::{EdgeFuture, StoreError};

/// One row.
#[apply(record!)]
pub struct TableRow {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: serde_json::Value,
    /// Rises with each write of the row; starts at 1.
    pub revision: u64,
}

/// What must hold for a write to be applied.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum TableGuard {
    /// The row does not exist.
    Absent,
    /// The row has this revision.
    Revision(u64),
}

/// One guarded write.
#[apply(record!)]
pub struct TableWrite {
    /// The row.
    pub key: String,
    /// What must hold.
    pub guard: TableGuard,
    /// The new value.
    pub value: serde_json::Value,
}

/// What became of one write.
#[apply(record!)]
#[serde(rename_all = "kebab-case")]
pub enum WriteOutcome {
    /// Applied; the row has this revision now.
    Written(u64),
    /// Not applied; this is the row that stood in the way, if there is one.
    Conflict(Option<TableRow>),
    /// Not applied since another write of the same transaction conflicts.
    Aborted,
}

/// What became of a batch, in the order of its writes.
pub type WriteResult = Vec<WriteOutcome>;

/// The table service.
pub trait TableStore: Send + Sync {
    /// Reads one row.
    fn read<'a>(&'a self, key: &'a str) -> EdgeFuture<'a, Result<Option<TableRow>, StoreError>>;

    /// Reads all rows whose keys begin with `prefix`, in the order of their keys.
    fn scan<'a>(&'a self, prefix: &'a str) -> EdgeFuture<'a, Result<Vec<TableRow>, StoreError>>;

    /// Applies `writes`; all or none of them if `atomic`.
    fn write<'a>(
        &'a self,
        writes: &'a [TableWrite],
        atomic: bool,
    ) -> EdgeFuture<'a, Result<WriteResult, StoreError>>;
}
