//! Calls of the operators' API.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use cassiawheel_platform::HttpClient;
use http_body_util::Full;
use hyper::{Method, Request, Response, header::AUTHORIZATION};

/// Longest wait for a reply.
const REPLY_TIME: Duration = Duration::from_secs(15);

/// Where the API is and who calls it.
pub(super) struct AdminClient {
    /// Address of an entry's operator listener.
    pub(super) addr: SocketAddr,
    /// Bearer token.
    pub(super) token: String,
}

impl AdminClient {
    /// Makes one call and waits for its reply.
    pub(super) fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> anyhow::Result<Response<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))?;
        let client = HttpClient::default();
        let reply = cassiawheel_runtime::run(1, client.send_whole(request, REPLY_TIME))?;
        reply.with_context(|| format!("{}: no reply", self.addr))
    }
}
