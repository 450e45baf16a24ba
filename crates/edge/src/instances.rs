//! The platform's lagging list of instances.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cassiawheel_model::{InstanceId, record};
use http_body_util::Full;
use hyper::Request;
use macro_rules_attribute::apply;

use crate::{ClientError, EdgeFuture, HttpClient};

/// What the list says of an instance.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// It runs.
    Live,
    /// It will be stopped soon.
    Leaving,
}

/// One entry of the list.
#[apply(record!)]
pub struct ListedInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Its state, some seconds old.
    pub state: ListedState,
}

/// The list of instances.
pub trait InstanceList: Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> EdgeFuture<'_, Result<Vec<ListedInstance>, ClientError>>;
}

/// The list over HTTP: `GET /v1/instances`.
#[derive(Clone)]
pub struct HttpInstances {
    client: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpInstances {
    /// A client of the list at `addr` that waits at most `timeout` for an answer.
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
