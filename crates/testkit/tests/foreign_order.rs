//! Load orders that reach an engine without its agent.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiawheel_edge::{HttpClient, HttpEngine, LoadOrder, ModelEngine};
use cassiawheel_model::ModelVersion;
use cassiawheel_runtime::spawn;
use cassiawheel_testkit::{
    CallVerdict, Deployment, DeploymentPlan, TestCaller, deployment::MODEL_SERVICE,
    weights::WeightImage,
};
use rstest::rstest;
use serde_json::json;
use smol::Timer;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Stages `image` and orders `engine` to load it, as an outdated process does that was paused and
/// resumes.
async fn load_directly(engine: &HttpEngine, image: &WeightImage) -> anyhow::Result<()> {
    let manifest = &image.manifest;
    engine.open_staging(manifest).await?;
    for index in 0..manifest.chunks.len() {
        let chunk = image.chunk(index).expect("the chunk is in the image");
        engine.stage_chunk(manifest.digest, index, Bytes::copy_from_slice(chunk)).await?;
    }
    let version = manifest.version.clone();
    engine.load_weights(&LoadOrder { version, manifest: manifest.digest, fencing: 0 }).await?;
    Ok(())
}

/// A process that was paused resumes and orders the engine back to an old version while the
/// engine streams an answer; this engine ignores fencing tokens. The answer would start in one
/// version and end in another, with no sign of it, so it must not be reported as complete.
#[rstest]
fn an_answer_during_a_foreign_order_is_not_called_whole() {
    run(async {
        let plan =
            DeploymentPlan { model_agents: 1, checks_fencing: false, ..DeploymentPlan::default() };
        let deployment = Deployment::start(&plan).await?;
        let image = |name: &str, seed| -> anyhow::Result<Arc<WeightImage>> {
            let version = ModelVersion::new(name)?;
            Ok(Arc::new(WeightImage::generate(version, seed, 1 << 20, 256 << 10)))
        };
        let (old, new) = (image("v1", 1)?, image("v2", 2)?);
        deployment.origin.add(new.clone());
        let content = json!({ "services": {
            MODEL_SERVICE: { "kind": "model", "version": "v2", "replicas": 1 }
        } });
        deployment.force("ordinary", &content, "change-1").await?;
        let ready =
            |status: &serde_json::Value| status["services"][MODEL_SERVICE]["replicas_ready"] == 1;
        deployment.wait_status(0, TEST_TIMEOUT, ready).await?;

        let entry = deployment.entries[0].caller_addr;
        let digest = new.answer_digest();
        let call = spawn(async move {
            let weights = |version: &str| (version == "v2").then_some(digest);
            TestCaller::default().generate(entry, MODEL_SERVICE, "lift tour", 100, 5, weights).await
        });
        Timer::after(Duration::from_millis(200)).await;
        let engine = HttpEngine::new(HttpClient::default(), deployment.endpoints[0].engine_addr());
        load_directly(&engine, &old).await?;
        let verdict = call.await;
        assert!(matches!(verdict, CallVerdict::Unknown(_)), "{verdict:?}");
        // The agent detects the foreign version and restores the ordered one.
        deployment.wait_status(0, TEST_TIMEOUT, ready).await?;
        deployment.wait_engines("v2", 1, TEST_TIMEOUT).await
    });
}
