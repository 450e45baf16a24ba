//! Operators that change the preset in force and retry until the result is definite.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::PresetName;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, header::AUTHORIZATION};
use serde::Deserialize;
use serde_json::{Value, json};
use smol::Timer;

use super::{
    records::{ChangeRecord, ToldChange},
    scenario::{BurstScenario, PresetChange},
};
use crate::deployment::{MODEL_SERVICE, OPERATOR_TOKEN, PLAIN_SERVICE, WEB_SERVICE};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait before an operator retries.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// An operator that calls the admin listeners of all entries.
#[derive(Clone)]
pub struct BurstOperator {
    client: HttpClient,
    entries: Vec<SocketAddr>,
}

/// Responses to a change; all others are treated as indefinite.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
enum ChangeText {
    Accepted { preset: RevisionText },
    Conflict {},
    NotAccepted {},
    Unknown {},
}

#[derive(Deserialize)]
struct RevisionText {
    revision: u64,
}

/// Result of one call.
enum CallEnd {
    /// The change was accepted or refused.
    Known(ToldChange),
    /// The change took no effect and may be retried with a new id.
    NotAccepted,
    /// The change may or may not have taken effect.
    Open,
}

impl BurstOperator {
    /// Creates an operator; `entries` are the admin addresses of the entries.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self { client: HttpClient::default(), entries }
    }

    /// Stores the preset and puts it in force, starting with the entry that the
    /// change names; retries at the other entries until the result is definite or
    /// `end` is reached.
    pub async fn change(
        &self,
        scenario: &BurstScenario,
        change: &PresetChange,
        id: &str,
        end: Instant,
    ) -> Vec<ChangeRecord> {
        let content = preset_content(scenario, change);
        let mut entry = change.entry;
        while !self.put(entry, &change.name, &content).await {
            if Instant::now() >= end {
                // The change was not requested, so there is no result to record.
                return Vec::new();
            }
            Timer::after(RETRY_WAIT).await;
            entry = (entry + 1) % self.entries.len();
        }
        self.force(entry, &change.name, id, end).await
    }

    async fn put(&self, entry: usize, name: &PresetName, content: &Value) -> bool {
        let path = format!("/v1/presets/{name}");
        let reply = self.call(entry, Method::PUT, &path, content).await;
        reply.is_some_and(|reply| reply.status() == StatusCode::OK)
    }

    async fn force(
        &self,
        first: usize,
        name: &PresetName,
        id: &str,
        end: Instant,
    ) -> Vec<ChangeRecord> {
        let mut records = Vec::new();
        let mut entry = first;
        for round in 0.. {
            let change = format!("{id}-{round}");
            let body = json!({ "preset": name, "change": change });
            let told = loop {
                match self.force_once(entry, &body).await {
                    CallEnd::Known(told) => break Some(told),
                    CallEnd::NotAccepted => break None,
                    CallEnd::Open if Instant::now() >= end => break Some(ToldChange::Unresolved),
                    CallEnd::Open => {
                        Timer::after(RETRY_WAIT).await;
                        entry = (entry + 1) % self.entries.len();
                    }
                }
            };
            let may_retry = told.is_none() && Instant::now() < end;
            records.push(ChangeRecord { change, told: told.unwrap_or(ToldChange::Refused) });
            if !may_retry {
                break;
            }
            Timer::after(RETRY_WAIT).await;
        }
        records
    }

    async fn force_once(&self, entry: usize, body: &Value) -> CallEnd {
        let reply = self.call(entry, Method::POST, "/v1/force", body).await;
        let Some(reply) = reply else {
            return CallEnd::Open;
        };
        match serde_json::from_slice(reply.body()) {
            Ok(ChangeText::Accepted { preset }) => {
                CallEnd::Known(ToldChange::Accepted(preset.revision))
            }
            Ok(ChangeText::Conflict {}) => CallEnd::Known(ToldChange::Refused),
            Ok(ChangeText::NotAccepted {}) => CallEnd::NotAccepted,
            Ok(ChangeText::Unknown {}) | Err(_) => CallEnd::Open,
        }
    }

    async fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<Response<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entries[entry]))
            .header(AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        self.client.send_and_read(request, CALL_TIMEOUT).await.ok()
    }
}

fn preset_content(scenario: &BurstScenario, change: &PresetChange) -> Value {
    json!({ "services": {
        MODEL_SERVICE: {
            "kind": "model", "version": change.version, "replicas": change.replicas,
        },
        PLAIN_SERVICE: { "kind": "plain", "replicas": scenario.app_replicas },
        WEB_SERVICE: { "kind": "plain", "replicas": scenario.web_services },
    } })
}
