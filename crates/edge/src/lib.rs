//! Traits for the external services of a process, namely the platform and engines, and
//! their HTTP clients.
//!
//! Each protocol is a narrow trait in a small file of its own, so that an adapter for
//! another platform takes about a day. The traits are used as trait objects; their
//! methods return boxed futures.

pub mod callers;
pub mod client;
pub mod endpoints;
pub mod engine;
pub mod engine_http;
pub mod entry_rows;
pub mod feed;
pub mod instances;
pub mod origin_client;
pub mod store_error;
pub mod table;
pub mod table_http;
pub mod weights;

pub use callers::{AdviceQuery, CallerHead, CallerProtocol, HeaderError};
pub use client::{ClientError, HttpClient, MAX_REPLY_BYTES, ReplyBounds};
pub use endpoints::{
    BackoffRequest, EndpointProtocol, ForwardMetadata, ReportedLoad, ResponseMetadata,
};
pub use engine::{
    CheckAge, EngineError, EngineResponse, EngineStatus, LayerOrder, LoadOrder, ModelEngine,
    StagedBitmap,
};
pub use engine_http::HttpEngine;
pub use entry_rows::{ENTRY_KEY_PREFIX, EntryRow};
pub use feed::{EndpointFeed, FeedError, FeedPage, FeedSource, OperatorFeed, OperatorRow};
pub use instances::{HttpInstances, InstanceList, ListedInstance, ListedState};
pub use origin_client::{ORIGIN_METRICS, OriginClient};
pub use store_error::StoreError;
pub use table::{TableGuard, TableRow, TableStore, TableWrite, WriteOutcome, WriteResult};
pub use table_http::HttpTable;
pub use weights::{HttpWeights, WeightError, WeightSource};

use std::{future::Future, pin::Pin};

/// A boxed future, which makes the traits usable as trait objects.
pub type EdgeFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
