//! HTTP client of the table service.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cassiawheel_model::record;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, header::RETRY_AFTER};
use macro_rules_attribute::apply;
use serde::{Serialize, de::DeserializeOwned};

use crate::{EdgeFuture, HttpClient, StoreError, TableRow, TableStore, TableWrite, WriteResult};

/// Body of `POST /v1/table/read`.
#[apply(record!)]
pub struct ReadRequest {
    /// Key of the row to read.
    pub key: String,
}

/// Body of `POST /v1/table/scan`.
#[apply(record!)]
pub struct ScanRequest {
    /// Prefix of the keys.
    pub prefix: String,
}

/// Body of `POST /v1/table/write`.
#[apply(record!)]
pub struct WriteRequest {
    /// Whether to apply all writes or none.
    pub atomic: bool,
    /// Writes of the batch, in order.
    pub writes: Vec<TableWrite>,
}

/// HTTP client of the table service.
#[derive(Clone)]
pub struct HttpTable {
    client: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpTable {
    /// Creates a client of the service at `addr` with this timeout for each call.
    pub fn new(client: HttpClient, addr: SocketAddr, timeout: Duration) -> Self {
        Self { client, addr, timeout }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let text =
            serde_json::to_vec(body).map_err(|error| StoreError::NoEffect(error.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.addr))
            .body(Full::new(Bytes::from(text)))
            .map_err(|error| StoreError::NoEffect(error.to_string()))?;
        let reply = self.client.send_and_read(request, self.timeout).await?;
        match reply.status() {
            StatusCode::OK => serde_json::from_slice(reply.body())
                .map_err(|error| StoreError::Unknown(error.to_string())),
            StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::RateLimited { retry_after: retry_after(&reply) })
            }
            status if status.is_client_error() => Err(StoreError::NoEffect(status.to_string())),
            status => Err(StoreError::Unknown(status.to_string())),
        }
    }
}

/// Parses the `retry-after` header of a reply, in seconds; one second if it has none.
pub fn retry_after<T>(reply: &Response<T>) -> Duration {
    let named = reply.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds = named.and_then(|text| text.parse::<f64>().ok()).filter(|s| s.is_finite());
    Duration::from_secs_f64(seconds.unwrap_or(1.0).clamp(0.0, 60.0))
}

impl TableStore for HttpTable {
    fn read<'a>(&'a self, key: &'a str) -> EdgeFuture<'a, Result<Option<TableRow>, StoreError>> {
        Box::pin(
            async move { self.call("/v1/table/read", &ReadRequest { key: key.to_owned() }).await },
        )
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> EdgeFuture<'a, Result<Vec<TableRow>, StoreError>> {
        let call = ScanRequest { prefix: prefix.to_owned() };
        Box::pin(async move { self.call("/v1/table/scan", &call).await })
    }

    fn write<'a>(
        &'a self,
        writes: &'a [TableWrite],
        atomic: bool,
    ) -> EdgeFuture<'a, Result<WriteResult, StoreError>> {
        let call = WriteRequest { atomic, writes: writes.to_vec() };
        Box::pin(async move { self.call("/v1/table/write", &call).await })
    }
}
