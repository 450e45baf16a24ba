//! HTTP client of an engine or a plain service.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cassiawheel_model::{HeaderField, ManifestDigest, ModelVersion, RequestHead, WeightManifest};
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response,
    header::{CONNECTION, CONTENT_TYPE},
};

use crate::{
    CheckAge, ClientError, EdgeFuture, EngineError, EngineResponse, EngineStatus, HttpClient,
    LayerOrder, LoadOrder, MAX_REPLY_BYTES, ModelEngine, ReplyBounds, StagedBitmap,
};

/// Header with the version that gave a response.
pub const VERSION_HEADER: &str = "x-model-version";

/// Header with the id of a request sent to an engine.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the idempotency key of a request sent to an engine.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Timeout of control calls: status, staging and load orders.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// An engine over HTTP.
#[derive(Clone)]
pub struct HttpEngine {
    client: HttpClient,
    addr: SocketAddr,
}

impl HttpEngine {
    /// A client of the engine at `addr`.
    pub fn new(client: HttpClient, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    async fn control_call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, EngineError> {
        let bounds = ReplyBounds { max_wait: ORDER_TIMEOUT, max_bytes: MAX_REPLY_BYTES };
        let reply = self.client.call(method, self.addr, path, body, bounds).await?;
        if reply.status().is_success() {
            return Ok(reply);
        }
        let detail = String::from_utf8_lossy(reply.body()).into_owned();
        if reply.status().is_client_error() {
            Err(EngineError::Refused(detail))
        } else {
            Err(EngineError::NoAnswer(detail))
        }
    }
}

fn json<T: serde::de::DeserializeOwned>(reply: &Response<Bytes>) -> Result<T, EngineError> {
    serde_json::from_slice(reply.body()).map_err(|error| EngineError::NoAnswer(error.to_string()))
}

fn encode(value: &impl serde::Serialize) -> Result<Bytes, EngineError> {
    let text =
        serde_json::to_vec(value).map_err(|error| EngineError::NotSent(error.to_string()))?;
    Ok(Bytes::from(text))
}

impl ModelEngine for HttpEngine {
    fn status(&self) -> EdgeFuture<'_, Result<EngineStatus, EngineError>> {
        Box::pin(async move {
            json(&self.control_call(Method::GET, "/v1/engine/status", Bytes::new()).await?)
        })
    }

    fn open_staging<'a>(
        &'a self,
        manifest: &'a WeightManifest,
    ) -> EdgeFuture<'a, Result<StagedBitmap, EngineError>> {
        Box::pin(async move {
            let path = format!("/v1/engine/staging/{}", manifest.digest);
            json(&self.control_call(Method::PUT, &path, encode(manifest)?).await?)
        })
    }

    fn stage_chunk(
        &self,
        manifest: ManifestDigest,
        index: usize,
        bytes: Bytes,
    ) -> EdgeFuture<'_, Result<(), EngineError>> {
        Box::pin(async move {
            let path = format!("/v1/engine/staging/{manifest}/{index}");
            self.control_call(Method::PUT, &path, bytes).await?;
            Ok(())
        })
    }

    fn read_chunk(
        &self,
        manifest: ManifestDigest,
        index: usize,
    ) -> EdgeFuture<'_, Result<Bytes, EngineError>> {
        Box::pin(async move {
            let path = format!("/v1/engine/staging/{manifest}/{index}");
            Ok(self.control_call(Method::GET, &path, Bytes::new()).await?.into_body())
        })
    }

    fn discard_staging(&self, manifest: ManifestDigest) -> EdgeFuture<'_, Result<(), EngineError>> {
        Box::pin(async move {
            let path = format!("/v1/engine/staging/{manifest}");
            self.control_call(Method::DELETE, &path, Bytes::new()).await?;
            Ok(())
        })
    }

    fn load_weights<'a>(
        &'a self,
        order: &'a LoadOrder,
    ) -> EdgeFuture<'a, Result<Option<CheckAge>, EngineError>> {
        Box::pin(async move {
            self.control_call(Method::POST, "/v1/engine/load", encode(order)?).await?;
            Ok(None)
        })
    }

    fn load_layers<'a>(
        &'a self,
        _order: &'a LayerOrder,
    ) -> EdgeFuture<'a, Result<(), EngineError>> {
        Box::pin(async {
            Err(EngineError::Unsupported("this engine loads whole versions only".to_owned()))
        })
    }

    fn call<'a>(
        &'a self,
        head: &'a RequestHead,
        body: Bytes,
    ) -> EdgeFuture<'a, Result<EngineResponse, EngineError>> {
        Box::pin(async move {
            let request = call_request(self.addr, head, body)
                .map_err(|error| EngineError::NotSent(error.to_string()))?;
            let reply = self
                .client
                .send(request)
                .await
                .map_err(|error: ClientError| EngineError::from(error))?;
            let (parts, body) = reply.into_parts();
            let text = |name: &str| {
                parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
            };
            Ok(EngineResponse {
                status: parts.status.as_u16(),
                content_type: text(CONTENT_TYPE.as_str()),
                headers: end_to_end_headers(&parts.headers),
                version: text(VERSION_HEADER).and_then(|name| ModelVersion::new(&name).ok()),
                body,
            })
        })
    }
}

fn call_request(
    addr: SocketAddr,
    head: &RequestHead,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(head.method.as_str())
        .uri(format!("http://{addr}{}", head.path))
        .header(REQUEST_ID_HEADER, head.id.as_str());
    for field in &head.headers {
        request = request.header(&field.name, &field.value);
    }
    if let Some(kind) = &head.content_type {
        request = request.header(CONTENT_TYPE, kind);
    }
    if let Some(key) = &head.key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, key.as_str());
    }
    request.body(Full::new(body))
}

/// Returns the end-to-end fields of `headers`; values that are not text are omitted.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let connection = headers.get(CONNECTION).and_then(|value| value.to_str().ok());
    let pairs =
        headers.iter().filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    HeaderField::end_to_end(pairs, connection.unwrap_or_default())
}
