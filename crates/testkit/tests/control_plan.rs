//! Rollouts of versions over real TCP: load orders, waves and staging in advance.

use std::{sync::Arc, time::Duration};

use cassiawheel_model::{ModelVersion, Timestamp};
use cassiawheel_testkit::{
    CallVerdict, Deployment, DeploymentPlan, TestCaller,
    deployment::{MODEL_SERVICE, OPERATOR_TOKEN},
    weights::WeightImage,
};
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};

/// Timeout of every wait.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

const ENDPOINTS: usize = 4;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

fn content(version: &str, replicas: usize) -> Value {
    json!({ "services": {
        MODEL_SERVICE: { "kind": "model", "version": version, "replicas": replicas }
    } })
}

fn image(version: &str, seed: u64) -> anyhow::Result<Arc<WeightImage>> {
    Ok(Arc::new(WeightImage::generate(ModelVersion::new(version)?, seed, 4 << 20, 256 << 10)))
}

/// A deployment whose endpoints serve `v1`, with `v2` at the origin.
async fn start() -> anyhow::Result<(Deployment, [Arc<WeightImage>; 2])> {
    let plan = DeploymentPlan { model_agents: ENDPOINTS, ..DeploymentPlan::default() };
    let deployment = Deployment::start(&plan).await?;
    let images = [image("v1", 1)?, image("v2", 2)?];
    for image in &images {
        deployment.origin.add(image.clone());
    }
    deployment.wait_status(0, TEST_TIMEOUT, |_| true).await?;
    deployment.force("ordinary", &content("v1", ENDPOINTS), "first").await?;
    deployment.wait_engines("v1", ENDPOINTS, TEST_TIMEOUT).await?;
    Ok((deployment, images))
}

async fn put(deployment: &Deployment, name: &str, content: &Value) -> anyhow::Result<()> {
    let body = serde_json::to_vec(content)?;
    let path = format!("/v1/presets/{name}");
    let reply = deployment.admin(0, OPERATOR_TOKEN, Method::PUT, &path, body).await?;
    anyhow::ensure!(reply.status().is_success(), "put: {:?}", reply.body());
    Ok(())
}

async fn post(deployment: &Deployment, path: &str, body: &Value) -> anyhow::Result<Value> {
    let body = serde_json::to_vec(body)?;
    let reply = deployment.admin(0, OPERATOR_TOKEN, Method::POST, path, body).await?;
    anyhow::ensure!(reply.status().is_success(), "{path}: {:?}", reply.body());
    Ok(serde_json::from_slice(reply.body())?)
}

/// Sends requests until every engine serves `v2`; every request must be answered completely.
async fn call_until_switched(
    deployment: &Deployment,
    images: &[Arc<WeightImage>; 2],
) -> anyhow::Result<usize> {
    let digest = |version: &str| {
        let image = images.iter().find(|image| image.manifest.version.as_str() == version);
        image.map(|image| image.answer_digest())
    };
    let caller = TestCaller::default();
    let mut calls = 0;
    while deployment.engines_with("v2") < ENDPOINTS {
        let entry = deployment.entries[calls % deployment.entries.len()].caller_addr;
        let verdict = caller.generate(entry, MODEL_SERVICE, "when", 4, 1, digest).await;
        assert!(matches!(verdict, CallVerdict::Complete { .. }), "{verdict:?}");
        calls += 1;
        anyhow::ensure!(calls < 100_000, "the engines did not switch");
    }
    Ok(calls)
}

/// A version is rolled out under load. The endpoints switch one after another; if all switched at
/// once, requests would be refused.
#[rstest]
fn callers_are_answered_during_a_rollout() {
    run(async {
        let (deployment, images) = start().await?;
        deployment.force("peak", &content("v2", ENDPOINTS), "second").await?;
        let calls = call_until_switched(&deployment, &images).await?;
        println!("{calls} calls, all complete");
        Ok(())
    });
}

/// The table service goes down right after it accepted the new version. The rollout must not
/// depend on it any further; otherwise the old version would serve under the new preset for the
/// whole outage.
#[rstest]
fn a_rollout_goes_on_though_the_store_is_down() {
    run(async {
        let (deployment, images) = start().await?;
        deployment.force("peak", &content("v2", ENDPOINTS), "second").await?;
        deployment.table_switches.set_down(true);
        call_until_switched(&deployment, &images).await?;
        Ok(())
    });
}

/// A preset is staged in advance and the origin is down when it is put in force. The endpoints
/// already hold the weights and only switch; otherwise no replica would be ready at the start of
/// a burst.
#[rstest]
fn a_staged_preset_needs_no_origin_when_it_comes_in_force() {
    run(async {
        let (deployment, images) = start().await?;
        put(&deployment, "peak", &content("v2", ENDPOINTS)).await?;
        post(&deployment, "/v1/stage/peak", &json!({})).await?;
        let staged = |status: &Value| {
            let rows = status["endpoints"].as_array().cloned().unwrap_or_default();
            let whole = rows.iter().filter(|row| {
                let staged = &row["report"]["staged"];
                staged["version"] == "v2" && staged["chunks_ready"] == staged["chunks_total"]
            });
            whole.count() == ENDPOINTS
        };
        deployment.wait_status(1, TEST_TIMEOUT, staged).await?;
        assert_eq!(deployment.engines_with("v1"), ENDPOINTS, "staging must not switch");
        deployment.origin_switches.set_down(true);
        post(&deployment, "/v1/force", &json!({ "preset": "peak", "change": "second" })).await?;
        call_until_switched(&deployment, &images).await?;
        Ok(())
    });
}

/// An agent is killed during a rollout and restarts without state. It gets a new order and serves
/// the version in the end.
#[rstest]
fn a_killed_agent_joins_the_rollout_again() {
    run(async {
        let (mut deployment, _) = start().await?;
        deployment.force("peak", &content("v2", ENDPOINTS), "second").await?;
        deployment.endpoints[2].agent.as_mut().expect("it runs").kill()?;
        deployment.restart_agent(2)?;
        deployment.wait_engines("v2", ENDPOINTS, TEST_TIMEOUT).await?;
        let ready = |status: &Value| {
            status["services"][MODEL_SERVICE]["replicas_ready"] == ENDPOINTS as u64
        };
        deployment.wait_status(0, TEST_TIMEOUT, ready).await?;
        Ok(())
    });
}

/// All agents are restarted at once. They must adopt what their engines serve; a reload would
/// interrupt the service needlessly.
#[rstest]
fn agents_that_restart_together_move_no_weights() {
    run(async {
        let (mut deployment, _) = start().await?;
        let ready = |status: &Value| {
            status["services"][MODEL_SERVICE]["replicas_ready"] == ENDPOINTS as u64
        };
        deployment.wait_status(0, TEST_TIMEOUT, ready).await?;
        let tokens = |deployment: &Deployment| -> Vec<_> {
            let engines = deployment.endpoints.iter().filter_map(|e| e.engine.as_ref());
            engines.map(|engine| engine.fencing()).collect()
        };
        let before = tokens(&deployment);
        for endpoint in &mut deployment.endpoints {
            endpoint.agent.as_mut().expect("it runs").kill()?;
        }
        let restarted_at = Timestamp::now().0;
        for index in 0..ENDPOINTS {
            deployment.restart_agent(index)?;
        }
        for entry in 0..deployment.entries.len() {
            let rejoined = |status: &Value| {
                let rows = status["endpoints"].as_array().cloned().unwrap_or_default();
                let newer = rows
                    .iter()
                    .filter(|row| row["report"]["incarnation"].as_u64() > Some(restarted_at));
                newer.count() == ENDPOINTS && ready(status)
            };
            deployment.wait_status(entry, TEST_TIMEOUT, rejoined).await?;
        }
        // By now every order that results from the reports after the restart has been sent.
        smol::Timer::after(Duration::from_millis(500)).await;
        assert_eq!(before, tokens(&deployment), "an engine was loaded again");
        Ok(())
    });
}

/// Other bytes are published under the name of a version in use. Endpoints with the old bytes
/// would count as ready for the new ones, and no answer would show which bytes it came from.
#[rstest]
fn a_version_name_never_stands_for_other_bytes() {
    run(async {
        let plan = DeploymentPlan { model_agents: 1, ..DeploymentPlan::default() };
        let deployment = Deployment::start(&plan).await?;
        deployment.origin.add(image("v1", 1)?);
        deployment.force("ordinary", &content("v1", 1), "change-1").await?;
        deployment.origin.add(image("v1", 2)?);
        let body = serde_json::to_vec(&content("v1", 1))?;
        let path = "/v1/presets/peak";
        let refused = deployment.admin(1, OPERATOR_TOKEN, Method::PUT, path, body).await?;
        assert_eq!(refused.status(), 409);
        let error: Value = serde_json::from_slice(refused.body())?;
        assert_eq!(error["error"], "version-bound");
        Ok(())
    });
}
