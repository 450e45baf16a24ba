//! Test client that compares each answer with the expected one.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cassiawheel_edge::{ClientError, HttpClient};
use cassiawheel_runtime::timeout;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode, header::TE};

use crate::weights::answer_text;

/// Outcome of a call as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallVerdict {
    /// A complete answer with the expected body.
    Complete {
        /// Version named in the answer, if any.
        version: Option<String>,
        /// Preset revision named in the answer, if any.
        revision: Option<u64>,
    },
    /// The answer says that the request was not run; holds the body.
    NotRun(String),
    /// The request may have run: the answer says so, has no outcome or did not arrive; holds
    /// the reason.
    Unknown(String),
    /// An answer that claims to be complete but differs from the expected one.
    Wrong(WrongAnswer),
}

/// An answer that claims to be complete but differs from the expected one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WrongAnswer {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Version named in the answer, if any.
    pub version: Option<String>,
    /// Body of the answer.
    pub body: String,
}

/// Client that calls the entries of a deployment.
#[derive(Clone, Default)]
pub struct TestCaller {
    client: HttpClient,
}

/// Request to an entry.
#[derive(Debug, Clone)]
pub struct TestCall {
    /// Caller address of the entry.
    pub entry: SocketAddr,
    /// Path below `/v1/services/`.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(&'static str, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
}

impl TestCaller {
    /// Sends `call` and waits at most `span`; `expected` returns the complete body for the
    /// version named in the answer.
    pub async fn call(
        &self,
        call: TestCall,
        span: Duration,
        expected: impl Fn(Option<&str>) -> Option<String>,
    ) -> CallVerdict {
        match timeout(span, self.whole_answer(call)).await {
            None => CallVerdict::Unknown("the caller timed out".to_owned()),
            Some(Err(error)) => CallVerdict::Unknown(error.to_string()),
            Some(Ok(answer)) => answer.judge(expected),
        }
    }

    /// Sends a generation request for `tokens` tokens; `weights` returns the digest of a
    /// version's weights.
    pub async fn generate(
        &self,
        entry: SocketAddr,
        service: &str,
        prompt: &str,
        tokens: u32,
        token_ms: u64,
        weights: impl Fn(&str) -> Option<[u8; 32]>,
    ) -> CallVerdict {
        let body = serde_json::json!({ "prompt": prompt, "tokens": tokens, "token_ms": token_ms });
        let call = TestCall {
            entry,
            path: format!("{service}/v1/generate"),
            headers: vec![("cassiawheel-idempotent", "true".to_owned())],
            body: body.to_string().into_bytes(),
        };
        let span = Duration::from_secs(30);
        let expected =
            |version: Option<&str>| Some(answer_text(&weights(version?)?, prompt, tokens));
        self.call(call, span, expected).await
    }

    async fn whole_answer(&self, call: TestCall) -> Result<WholeAnswer, ClientError> {
        let mut request = Request::post(format!("http://{}/v1/services/{}", call.entry, call.path))
            .header(TE, "trailers");
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(Bytes::from(call.body)))
            .map_err(|error| ClientError::NotSent(error.to_string()))?;
        let (head, body) = self.client.send(request).await?.into_parts();
        let collected =
            body.collect().await.map_err(|error| ClientError::NoAnswer(error.to_string()))?;
        let mut headers = head.headers;
        if let Some(trailers) = collected.trailers() {
            headers.extend(trailers.clone());
        }
        Ok(WholeAnswer { status: head.status, headers, body: collected.to_bytes() })
    }
}

struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl WholeAnswer {
    fn judge(&self, expected: impl Fn(Option<&str>) -> Option<String>) -> CallVerdict {
        let text = |name: &str| {
            self.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let body = String::from_utf8_lossy(&self.body).into_owned();
        match text("cassiawheel-outcome").as_deref() {
            Some("not-run") => CallVerdict::NotRun(body),
            Some("unknown") => CallVerdict::Unknown(body),
            Some("complete") => {
                let version = text("cassiawheel-version");
                match expected(version.as_deref()) {
                    Some(wanted) if wanted == body => CallVerdict::Complete {
                        version,
                        revision: text("cassiawheel-revision").and_then(|r| r.parse().ok()),
                    },
                    _ => CallVerdict::Wrong(WrongAnswer { status: self.status, version, body }),
                }
            }
            // A success status without an outcome: a caller that does not use
            // outcomes takes such an answer for complete.
            None if self.status.is_success() => CallVerdict::Wrong(WrongAnswer {
                status: self.status,
                version: text("cassiawheel-version"),
                body,
            }),
            // Without the outcome header or trailer the answer may be incomplete.
            _ => CallVerdict::Unknown(format!("{} without an outcome: {body}", self.status)),
        }
    }
}
