//! The whole path over real TCP; every entry and agent is a separate process.

use std::{sync::Arc, time::Duration};

use cassiawheel_model::ModelVersion;
use cassiawheel_testkit::{
    CallVerdict, Deployment, DeploymentPlan, TestCaller, deployment::MODEL_SERVICE,
    weights::WeightImage,
};
use rstest::rstest;
use serde_json::json;

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// A new version is distributed from the origin to every engine, and a caller gets a complete
/// answer from that version.
#[rstest]
fn a_version_is_distributed_and_answers() {
    run(async {
        let plan = DeploymentPlan { model_agents: 3, ..DeploymentPlan::default() };
        let deployment = Deployment::start(&plan).await?;
        let image = WeightImage::generate(ModelVersion::new("v1")?, 7, 4 << 20, 256 << 10);
        let image = Arc::new(image);
        deployment.origin.add(image.clone());
        let content = json!({ "services": {
            MODEL_SERVICE: { "kind": "model", "version": "v1", "replicas": 3 }
        } });
        deployment.force("ordinary", &content, "change-1").await?;
        deployment
            .wait_status(0, Duration::from_secs(20), |status| {
                status["services"][MODEL_SERVICE]["replicas_ready"] == 3
            })
            .await?;
        let entry = deployment.entries[0].caller_addr;
        let weights = |version: &str| (version == "v1").then(|| image.answer_digest());
        let verdict = TestCaller::default()
            .generate(entry, MODEL_SERVICE, "when does the lift tour start", 12, 1, weights)
            .await;
        let complete = CallVerdict::Complete { version: Some("v1".to_owned()), revision: Some(1) };
        assert_eq!(verdict, complete);
        Ok(())
    });
}
