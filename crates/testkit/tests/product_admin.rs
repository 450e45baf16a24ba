//! The admin API with invalid credentials and bad input, over real TCP.

use std::time::Duration;

use cassiawheel_testkit::{
    Deployment, DeploymentPlan,
    deployment::{OPERATOR_TOKEN, PLAIN_SERVICE, VIEWER_TOKEN},
};
use hyper::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Every method and path of the API.
const CALLS: [(Method, &str); 8] = [
    (Method::GET, "/v1/status"),
    (Method::GET, "/v1/force"),
    (Method::GET, "/v1/history"),
    (Method::GET, "/v1/presets"),
    (Method::GET, "/v1/presets/ordinary"),
    (Method::PUT, "/v1/presets/ordinary"),
    (Method::POST, "/v1/force"),
    (Method::POST, "/v1/drain/entry-0"),
];

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

fn content(replicas: u32) -> Value {
    json!({ "services": { PLAIN_SERVICE: { "kind": "plain", "replicas": replicas } } })
}

/// One entry with the preset `ordinary` in force.
async fn one_entry() -> anyhow::Result<Deployment> {
    let plan = DeploymentPlan { entries: 1, model_agents: 0, ..DeploymentPlan::default() };
    let deployment = Deployment::start(&plan).await?;
    deployment.wait_status(0, START_TIMEOUT, |_| true).await?;
    deployment.force("ordinary", &content(1), "change-1").await?;
    // A newly started entry adopts a preset only after messages from its peers.
    deployment.wait_status(0, START_TIMEOUT, |status| status["revision"] == 1).await?;
    Ok(deployment)
}

/// Everything that an unauthorized request could change: rows, the revision in force, the
/// entries.
async fn state(deployment: &Deployment) -> anyhow::Result<(String, Value, Value)> {
    let rows = format!("{:?}", deployment.table.scan("preset/"));
    let rows = format!("{rows}{:?}", deployment.table.scan("change"));
    let status = deployment.status(0).await?;
    Ok((rows, status["revision"].clone(), status["entries"].clone()))
}

fn body_of(path: &str) -> Vec<u8> {
    let body = match path {
        "/v1/force" => json!({ "preset": "ordinary", "change": "change-2" }),
        _ => content(7),
    };
    body.to_string().into_bytes()
}

/// Requests without a token, or with an invalid or outdated one, are refused on every path and
/// change nothing.
#[rstest]
#[case::no_token("")]
#[case::wrong_token("not-a-token-of-the-settings")]
#[case::longer_token("operator-token-for-tests-and-more")]
#[case::part_of_a_token("operator-token")]
fn a_stranger_is_refused_everywhere(#[case] token: &str) {
    run(async {
        let deployment = one_entry().await?;
        let before = state(&deployment).await?;
        for (method, path) in CALLS.into_iter().chain([(Method::GET, "/v1/no-such-call")]) {
            let reply = deployment.admin(0, token, method, path, body_of(path)).await?;
            assert_eq!(reply.status(), StatusCode::UNAUTHORIZED, "{path}");
            let body: Value = serde_json::from_slice(reply.body())?;
            assert_eq!(body["error"], "unauthorized", "{path}");
        }
        assert_eq!(state(&deployment).await?, before);
        Ok(())
    });
}

/// A viewer token may read everything and change nothing.
#[test]
fn a_viewer_changes_nothing() {
    run(async {
        let deployment = one_entry().await?;
        let before = state(&deployment).await?;
        for (method, path) in CALLS {
            let wanted = match method {
                Method::GET => StatusCode::OK,
                _ => StatusCode::FORBIDDEN,
            };
            let reply = deployment.admin(0, VIEWER_TOKEN, method, path, body_of(path)).await?;
            assert_eq!(reply.status(), wanted, "{path}");
        }
        assert_eq!(state(&deployment).await?, before);
        Ok(())
    });
}

/// Bad input gets an error that says what is wrong and where; nothing is stored, and the entry
/// keeps running.
#[rstest]
#[case::no_json(Method::PUT, "/v1/presets/peak", "{\"services\": ", 400, "bad-request", "")]
#[case::two_bodies(
    Method::PUT,
    "/v1/presets/peak",
    "{\"services\": {}} {}",
    400,
    "bad-request",
    ""
)]
#[case::wrong_type(
    Method::PUT,
    "/v1/presets/peak",
    "{\"services\":{\"desk\":{\"kind\":\"plain\",\"replicas\":\"many\"}}}",
    400,
    "bad-request",
    "services.desk.replicas"
)]
#[case::unknown_key(
    Method::PUT,
    "/v1/presets/peak",
    "{\"services\":{\"desk\":{\"kind\":\"plain\",\"replicas\":1,\"replica\":1}}}",
    400,
    "bad-request",
    "services.desk.replica"
)]
#[case::no_services(Method::PUT, "/v1/presets/peak", "{\"services\":{}}", 422, "findings", "")]
#[case::bad_name(Method::PUT, "/v1/presets/a%20b", "{\"services\":{}}", 400, "bad-request", "name")]
#[case::no_such_version(
    Method::PUT,
    "/v1/presets/peak",
    "{\"services\":{\"desk\":{\"kind\":\"model\",\"version\":\"v9\",\"replicas\":1}}}",
    422,
    "manifest",
    "services.desk.version"
)]
#[case::no_such_preset(
    Method::POST,
    "/v1/force",
    "{\"preset\":\"never\",\"change\":\"c\"}",
    404,
    "missing",
    "never"
)]
#[case::bad_change_id(
    Method::POST,
    "/v1/force",
    "{\"preset\":\"ordinary\",\"change\":\"\"}",
    400,
    "bad-request",
    "change"
)]
#[case::no_such_call(Method::DELETE, "/v1/presets/ordinary", "", 404, "not-found", "DELETE")]
fn bad_input_is_told_what_is_wrong(
    #[case] method: Method,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
    #[case] named: &str,
) {
    run(async {
        let deployment = one_entry().await?;
        let before = state(&deployment).await?;
        let body = body.as_bytes().to_vec();
        let reply = deployment.admin(0, OPERATOR_TOKEN, method, path, body).await?;
        let error: Value = serde_json::from_slice(reply.body())?;
        assert_eq!(reply.status().as_u16(), status, "{error}");
        assert_eq!(error["error"], code, "{error}");
        assert!(error["message"].as_str().is_some_and(|text| text.contains(named)), "{error}");
        assert_eq!(state(&deployment).await?, before);
        Ok(())
    });
}

/// All findings of a preset are reported at once, as with settings.
#[test]
fn all_findings_of_a_preset_are_told() {
    run(async {
        let deployment = one_entry().await?;
        let body = json!({ "services": {
            "desk": { "kind": "model", "replicas": 0 },
            "ledger": { "kind": "plain", "version": "v1", "replicas": 1, "max_in_flight": 0 },
        } });
        let body = body.to_string().into_bytes();
        let path = "/v1/presets/peak";
        let reply = deployment.admin(0, OPERATOR_TOKEN, Method::PUT, path, body).await?;
        assert_eq!(reply.status(), StatusCode::UNPROCESSABLE_ENTITY);
        let error: Value = serde_json::from_slice(reply.body())?;
        let paths: Vec<_> = error["findings"].as_array().into_iter().flatten().collect();
        let paths: Vec<_> = paths.iter().filter_map(|found| found["path"].as_str()).collect();
        let wanted = [
            "services.desk.version",
            "services.desk.replicas",
            "services.ledger.version",
            "services.ledger.max_in_flight",
        ];
        assert_eq!(paths, wanted, "{error}");
        Ok(())
    });
}

/// A body far larger than any preset is refused without being buffered.
#[test]
fn an_over_long_body_is_refused() {
    run(async {
        let deployment = one_entry().await?;
        let body = vec![b' '; 2 << 20];
        let path = "/v1/presets/peak";
        let reply = deployment.admin(0, OPERATOR_TOKEN, Method::PUT, path, body).await;
        // The entry may close the connection while the rest is still being sent.
        if let Ok(reply) = reply {
            assert_eq!(reply.status(), StatusCode::PAYLOAD_TOO_LARGE);
        }
        assert_eq!(deployment.status(0).await?["revision"], 1);
        Ok(())
    });
}
