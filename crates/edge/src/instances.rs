//! The platform's list of instances, which lags behind by some seconds.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cassiawheel_model::{InstanceId, record};
use http_body_util::Full;
use hyper::Request;
use macro_rules_attribute::apply;

use crate::{ClientError, EdgeFuture, HttpClient};

/// State of an instance according to the list.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The instance runs.
    Live,
    /// The instance will be stopped soon.
    Leaving,
}

/// One item of the list.
#[apply(record!)]
pub struct ListedInstance {
    /// Id of the instance.
    pub instance: InstanceId,
    /// State of the instance some seconds ago.
    pub state: ListedState,
}

/// Client of the list of instances.
pub trait InstanceList: Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> EdgeFuture<'_, Result<Vec<ListedInstance>, ClientError>>;
}

/// HTTP client of the list: `GET /v1/instances`.
#[derive(Clone)]
pub struct HttpInstances {
    client: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpInstances {
    /// Creates a client of the list at `addr` with this timeout for each call.
    pub fn new(client: HttpClient, addr: SocketAddr, timeout: Duration) -> Self {
        Self { client, addr, timeout }
    }
}

impl InstanceList for HttpInstances {
    fn list(&self) -> EdgeFuture<'_, Result<Vec<ListedInstance>, ClientError>> {
        Box::pin(async move {
            let request = Request::get(format!("http://{}/v1/instances", self.addr))
                .body(Full::new(Bytes::new()))
                .map_err(|error| ClientError::NotSent(error.to_string()))?;
            let reply = self.client.send_and_read(request, self.timeout).await?;
            serde_json::from_slice(reply.body())
                .map_err(|error| ClientError::NoAnswer(error.to_string()))
        })
    }
}
