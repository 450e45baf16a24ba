//! Tables of the platform that are followed: all rows at first, then changes.

use std::time::Duration;

use cassiawheel_model::{ForcedPreset, ListedRow, TargetVersion};

use crate::{EdgeFuture, StoreError};

/// Rows of a followed table.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedPage<T> {
    /// The rows, or what is left of those that were removed.
    pub rows: Vec<T>,
    /// Where to go on from; rises with every write to the platform's store.
    pub position: u64,
}

/// Why a change feed cannot be followed.
#[derive(Debug, Clone, thiserror::Error)]
pub enum FeedError {
    /// The history since the position is gone; all rows have to be read again.
    #[error("the history since the last position is gone")]
    HistoryLost,
    /// The call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// A table that can be followed.
pub trait FeedSource: Send + Sync {
    /// One row.
    type Row: Send + 'static;

    /// All rows.
    fn read_all(&self) -> EdgeFuture<'_, Result<FeedPage<Self::Row>, FeedError>>;

    /// Rows that changed after `position`; waits at most `wait` for the first.
    fn read_changes(
        &self,
        position: u64,
        wait: Duration,
    ) -> EdgeFuture<'_, Result<FeedPage<Self::Row>, FeedError>>;
}

/// What an operator's row says.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRow {
    /// The preset in force.
    Preset(Box<ForcedPreset>),
    /// A version that was named for a model.
    Version(TargetVersion),
    /// A row that cannot be read; the text says why.
    Invalid(String),
}

/// The operators' rows.
pub type OperatorFeed = dyn FeedSource<Row = OperatorRow>;

/// The list of endpoints.
pub type EndpointFeed = dyn FeedSource<Row = ListedRow>;
