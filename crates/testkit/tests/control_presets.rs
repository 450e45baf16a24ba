//! Changes of the preset in force over real TCP, under faults.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cassiawheel_testkit::{
    CallVerdict, Deployment, DeploymentPlan, TestCaller,
    caller::TestCall,
    deployment::{OPERATOR_TOKEN, PLAIN_SERVICE},
};
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};

/// Timeout of every wait; the actual times are measured elsewhere.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

fn plan() -> DeploymentPlan {
    DeploymentPlan { entries: 3, model_agents: 0, plain_agents: 3, ..DeploymentPlan::default() }
}

fn content(replicas: u32) -> Value {
    json!({ "services": { PLAIN_SERVICE: { "kind": "plain", "replicas": replicas } } })
}

/// Starts a deployment with the preset `ordinary` in force and `peak` stored.
async fn start() -> anyhow::Result<Deployment> {
    let deployment = Deployment::start(&plan()).await?;
    wait_admin(&deployment, 0).await?;
    deployment.force("ordinary", &content(3), "first").await?;
    put(&deployment, "peak", &content(2)).await?;
    wait_revision(&deployment, 1).await?;
    Ok(deployment)
}

async fn wait_admin(deployment: &Deployment, entry: usize) -> anyhow::Result<()> {
    deployment.wait_status(entry, TEST_TIMEOUT, |_| true).await.map(drop)
}

async fn put(deployment: &Deployment, name: &str, content: &Value) -> anyhow::Result<()> {
    let path = format!("/v1/presets/{name}");
    let body = serde_json::to_vec(content)?;
    let reply = deployment.admin(0, OPERATOR_TOKEN, Method::PUT, &path, body).await?;
    anyhow::ensure!(reply.status().is_success(), "put: {:?}", reply.body());
    Ok(())
}

/// Requests at entry `entry` that `preset` be put in force; returns the reply.
async fn request_change(
    deployment: &Deployment,
    entry: usize,
    preset: &str,
    change: &str,
) -> anyhow::Result<Value> {
    let body = serde_json::to_vec(&json!({ "preset": preset, "change": change }))?;
    let reply = deployment.admin(entry, OPERATOR_TOKEN, Method::POST, "/v1/force", body).await?;
    Ok(serde_json::from_slice(reply.body())?)
}

async fn history(deployment: &Deployment) -> anyhow::Result<Vec<Value>> {
    let reply = deployment.admin(0, OPERATOR_TOKEN, Method::GET, "/v1/history", Vec::new()).await?;
    Ok(serde_json::from_slice(reply.body())?)
}

fn plain_call(deployment: &Deployment, entry: usize) -> TestCall {
    TestCall {
        entry: deployment.entries[entry].caller_addr,
        path: format!("{PLAIN_SERVICE}/seats"),
        headers: vec![("cassiawheel-idempotent", "true".to_owned())],
        body: b"seat".to_vec(),
    }
}

fn plain_answer(_: Option<&str>) -> Option<String> {
    Some("done seat ".to_owned())
}

/// Whether an entry's status shows `revision` for every entry and endpoint.
fn shows_revision(status: &Value, revision: u64, entries: usize, endpoints: usize) -> bool {
    let entry_rows: Vec<_> = status["entries"].as_object().into_iter().flatten().collect();
    let endpoint_rows: Vec<_> = status["endpoints"].as_array().into_iter().flatten().collect();
    status["revision"] == revision
        && entry_rows.len() == entries
        && entry_rows.iter().all(|(_, shown)| **shown == revision)
        && endpoint_rows.len() == endpoints
        && endpoint_rows.iter().all(|row| row["report"]["revision"] == revision)
}

/// Waits until every running entry shows `revision` for all processes.
async fn wait_revision(deployment: &Deployment, revision: u64) -> anyhow::Result<()> {
    let running: Vec<_> = (0..deployment.entries.len())
        .filter(|index| deployment.entries[*index].process.is_some())
        .collect();
    let endpoints = deployment.endpoints.iter().filter(|e| e.agent.is_some()).count();
    for index in &running {
        let holds = |status: &Value| shows_revision(status, revision, running.len(), endpoints);
        deployment.wait_status(*index, TEST_TIMEOUT, holds).await?;
    }
    Ok(())
}

/// The table service performs the write but its reply is lost. The outcome is reported as
/// unknown, and the operator retries with the same change id at other entries. The change must be
/// made once, not twice.
#[rstest]
fn a_change_whose_answer_was_lost_is_made_once() {
    run(async {
        let deployment = start().await?;
        deployment.table_switches.set_lose_answers(true);
        let first = request_change(&deployment, 0, "peak", "lost").await?;
        assert_eq!(first["result"], "unknown", "{first}");
        assert_eq!(first["change"], "lost");
        deployment.table_switches.set_lose_answers(false);
        let mut last = Value::Null;
        for entry in [1, 2, 0] {
            last = request_change(&deployment, entry, "peak", "lost").await?;
            assert_eq!(last["result"], "accepted", "{last}");
            assert_eq!(last["preset"]["revision"], 2);
        }
        wait_revision(&deployment, 2).await?;
        let made = history(&deployment).await?;
        assert_eq!(made.iter().filter(|change| change["change"] == "lost").count(), 1);
        let other = request_change(&deployment, 0, "ordinary", "lost").await?;
        assert_eq!(other["result"], "not-accepted", "an id names one change: {other} {last}");
        Ok(())
    });
}

/// The table service goes down right after it accepted a change. Entries and agents that have not
/// read it yet must get it by gossip; otherwise requests would be answered under two presets for
/// the whole outage.
#[rstest]
fn a_change_reaches_everyone_though_the_store_goes_down() {
    run(async {
        let deployment = start().await?;
        let reply = request_change(&deployment, 1, "peak", "before-outage").await?;
        deployment.table_switches.set_down(true);
        assert_eq!(reply["result"], "accepted");
        let began = Instant::now();
        wait_revision(&deployment, 2).await?;
        println!("in force everywhere {:?} after the reply", began.elapsed());
        let refused = request_change(&deployment, 0, "ordinary", "in-outage").await?;
        assert_eq!(
            refused["result"], "unknown",
            "an earlier attempt may still take effect: {refused}"
        );
        Ok(())
    });
}

/// An entry is restarted while the table service is down. It takes the highest revision of its
/// peers; without a preset it would refuse all requests during the outage.
#[rstest]
fn an_entry_starts_from_its_peers_while_the_store_is_down() {
    run(async {
        let mut deployment = start().await?;
        request_change(&deployment, 0, "peak", "second").await?;
        wait_revision(&deployment, 2).await?;
        deployment.table_switches.set_down(true);
        let entry = &mut deployment.entries[2];
        entry.process.as_mut().expect("it runs").kill()?;
        deployment.restart_entry(2)?;
        deployment.wait_status(2, TEST_TIMEOUT, |status| shows_revision(status, 2, 3, 3)).await?;
        Ok(())
    });
}

/// All entries are restarted at once while the table service is down. The agents still hold the
/// preset in force and send it; otherwise requests would be refused until the service is back.
#[rstest]
fn entries_start_from_the_agents_when_nobody_else_knows() {
    run(async {
        let mut deployment = start().await?;
        deployment.table_switches.set_down(true);
        for entry in &mut deployment.entries {
            entry.process.as_mut().expect("it runs").kill()?;
        }
        for index in 0..3 {
            deployment.restart_entry(index)?;
        }
        wait_revision(&deployment, 1).await
    });
}

/// Several operators concurrently put different presets in force at different entries. Each is
/// accepted, or refused with the winning change, and the history is linear and holds exactly the
/// accepted changes.
#[rstest]
fn racing_operators_make_one_history() {
    run(async {
        let deployment = Arc::new(start().await?);
        let mut accepted = vec![(1, "first".to_owned())];
        for round in 0..8 {
            let tasks = (0..3).map(|entry| {
                let deployment = deployment.clone();
                cassiawheel_runtime::spawn(async move {
                    let preset = if entry == 0 { "ordinary" } else { "peak" };
                    let change = format!("race-{round}-{entry}");
                    (request_change(&deployment, entry, preset, &change).await, change)
                })
            });
            for task in tasks.collect::<Vec<_>>() {
                let (reply, change) = task.await;
                let reply = reply?;
                match reply["result"].as_str() {
                    Some("accepted") => {
                        let revision = reply["preset"]["revision"].as_u64();
                        accepted.push((revision.expect("a revision"), change));
                    }
                    Some("conflict") => assert!(reply["winner"]["revision"].is_u64(), "{reply}"),
                    _ => panic!("neither accepted nor refused: {reply}"),
                }
            }
        }
        accepted.sort();
        let made: Vec<_> = history(&deployment)
            .await?
            .iter()
            .map(|change| {
                let revision = change["revision"].as_u64().expect("a revision");
                (revision, change["change"].as_str().expect("an id").to_owned())
            })
            .collect();
        assert_eq!(made, accepted);
        assert!(made.iter().map(|(revision, _)| *revision).eq(1..=made.len() as u64));
        wait_revision(&deployment, made.len() as u64).await
    });
}

/// An agent is restarted. It runs nothing until it has the preset in force, and then runs
/// requests under that preset and no earlier one.
#[rstest]
fn a_restarted_agent_takes_up_the_preset_in_force() {
    run(async {
        let mut deployment = start().await?;
        request_change(&deployment, 0, "peak", "second").await?;
        wait_revision(&deployment, 2).await?;
        deployment.endpoints[1].agent.as_mut().expect("it runs").kill()?;
        deployment.restart_agent(1)?;
        wait_revision(&deployment, 2).await
    });
}

/// An entry is paused, the preset changes, and the entry resumes with the old one in memory. No
/// process may revert to it, and no request may be answered under the old preset by an endpoint
/// that has the new one.
#[rstest]
fn a_resumed_entry_reverts_nobody() {
    run(async {
        let deployment = start().await?;
        let frozen = deployment.entries[2].process.as_ref().expect("it runs");
        frozen.pause()?;
        request_change(&deployment, 0, "peak", "second").await?;
        let endpoints_know = |status: &Value| {
            let rows = status["endpoints"].as_array().cloned().unwrap_or_default();
            rows.len() == 3 && rows.iter().all(|row| row["report"]["revision"] == 2)
        };
        deployment.wait_status(0, TEST_TIMEOUT, endpoints_know).await?;
        deployment.wait_status(1, TEST_TIMEOUT, endpoints_know).await?;
        frozen.resume()?;
        let caller = TestCaller::default();
        let mut complete = 0;
        for _ in 0..50 {
            let verdict = caller.call(plain_call(&deployment, 2), TEST_TIMEOUT, plain_answer).await;
            if let CallVerdict::Complete { revision, .. } = verdict {
                assert_eq!(revision, Some(2), "answered under a preset that was replaced");
                complete += 1;
            }
            let status = deployment.status(0).await?;
            assert_eq!(status["revision"], 2);
        }
        assert!(complete > 0, "the resumed entry answered no request");
        wait_revision(&deployment, 2).await
    });
}
