//! Operators that change the preset in force and keep asking until they know.

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

/// Longest wait for one answer.
const CALL_TIME: Duration = Duration::from_secs(10);
/// Wait before an operator asks again.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// An operator with the addresses of all entries.
#[derive(Clone)]
pub struct BurstOperator {
    client: HttpClient,
    entries: Vec<SocketAddr>,
}

/// The answers to a change that matter here.
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

/// What one call told.
enum CallEnd {
    Told(ToldChange),
    /// The change took no effect; a new id may be tried.
    NotAccepted,
    /// Nothing definite.
    Open,
}

impl BurstOperator {
    /// An operator who knows the admin addresses `entries`.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self { client: HttpClient::default(), entries }
    }

    /// Stores the preset and puts it in force, beginning at the entry that the
    /// change names; keeps asking until there is a definite answer or `end`.
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
                // Nothing was put in force, so there is nothing to be told about.
                return Vec::new();
            }
            Timer::after(ASK_AGAIN).await;
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
                    CallEnd::Told(told) => break Some(told),
                    CallEnd::NotAccepted => break None,
                    CallEnd::Open if Instant::now() >= end => break Some(ToldChange::Unresolved),
                    CallEnd::Open => {
                        Timer::after(ASK_AGAIN).await;
                        entry = (entry + 1) % self.entries.len();
                    }
                }
            };
            let again = told.is_none() && Instant::now() < end;
            records.push(ChangeRecord { change, told: told.unwrap_or(ToldChange::Refused) });
            if !again {
                break;
            }
            Timer::after(ASK_AGAIN).await;
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
                CallEnd::Told(ToldChange::Accepted(preset.revision))
            }
            Ok(ChangeText::Conflict {}) => CallEnd::Told(ToldChange::Refused),
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
        self.client.send_and_read(request, CALL_TIME).await.ok()
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
