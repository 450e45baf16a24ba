//! Header fields passed through to a plain service and back.

use std::time::Duration;

use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use cassiawheel_testkit::{
    Deployment, DeploymentPlan, deployment::PLAIN_SERVICE, stand_in::plain::ECHO_HEADER,
};
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use serde_json::json;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// A request and its answer carry a header field of the service, which must be passed on in both
/// directions. A header field of the system that the service sets itself must be replaced.
#[rstest]
#[case::streamed("true")]
#[case::whole("false")]
fn fields_pass_but_the_systems_own_do_not(#[case] idempotent: &str) {
    run(async {
        let plan = DeploymentPlan { model_agents: 0, plain_agents: 1, ..Default::default() };
        let deployment = Deployment::start(&plan).await?;
        let content = json!({ "services": { PLAIN_SERVICE: { "kind": "plain", "replicas": 1 } } });
        deployment.force("ordinary", &content, "change-1").await?;
        // A plain service is ready before its agent has the preset. Until then the
        // agent returns a request once so that it is routed under the newer preset,
        // and the number of attempts would be higher.
        let ready = |status: &serde_json::Value| {
            status["services"][PLAIN_SERVICE]["replicas_ready"] == 1
                && status["behind"].as_array().is_some_and(Vec::is_empty)
        };
        deployment.wait_status(0, TEST_TIMEOUT, ready).await?;
        let entry = deployment.entries[0].caller_addr;
        let request = Request::post(format!("http://{entry}/v1/services/{PLAIN_SERVICE}/seat"))
            .header("cassiawheel-idempotent", idempotent)
            .header(ECHO_HEADER, "booth 7")
            .body(Full::new(Bytes::from_static(b"one seat")))?;
        let answer = HttpClient::default().send_and_read(request, TEST_TIMEOUT).await?;
        assert_eq!(answer.headers()[ECHO_HEADER], "booth 7");
        assert_eq!(answer.headers()["cassiawheel-attempts"], "1");
        assert_eq!(answer.headers().get_all("cassiawheel-attempts").iter().count(), 1);
        Ok(())
    });
}
