//! The operator's commands as used by a script: output and exit codes.

use std::{path::Path, process::Output, time::Duration};

use cassiawheel_testkit::{
    Deployment, DeploymentPlan,
    deployment::{OPERATOR_TOKEN, PLAIN_SERVICE, VIEWER_TOKEN},
    processes::binary_path,
};
use rstest::rstest;
use serde_json::{Value, json};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Starts one entry and one plain service with its agent.
async fn start_pair() -> anyhow::Result<Deployment> {
    let plan = DeploymentPlan {
        entries: 1,
        model_agents: 0,
        plain_agents: 1,
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan).await?;
    deployment.wait_status(0, TEST_TIMEOUT, |status| status["endpoints"][0].is_object()).await?;
    Ok(deployment)
}

/// Runs `cassiawheel ARGS` against the only entry.
async fn command(deployment: &Deployment, token: &str, args: &[&str]) -> anyhow::Result<Output> {
    let mut command = std::process::Command::new(binary_path("cassiawheel")?);
    command
        .args(args)
        .env("CASSIAWHEEL_ADMIN", deployment.entries[0].admin_addr.to_string())
        .env("CASSIAWHEEL_TOKEN", token);
    Ok(smol::unblock(move || command.output()).await?)
}

async fn operate(deployment: &Deployment, args: &[&str]) -> anyhow::Result<String> {
    let output = command(deployment, OPERATOR_TOKEN, args).await?;
    anyhow::ensure!(output.status.code() == Some(0), "{args:?}: {output:?}");
    Ok(String::from_utf8(output.stdout)?)
}

fn write_preset(folder: &Path, name: &str, limit: u32) -> anyhow::Result<String> {
    let content = json!({ "services": {
        PLAIN_SERVICE: { "kind": "plain", "replicas": 1, "max_in_flight": limit }
    } });
    let file = folder.join(format!("{name}.json"));
    std::fs::write(&file, content.to_string())?;
    Ok(file.display().to_string())
}

#[test]
fn a_session_of_an_operator() {
    run(async {
        let deployment = start_pair().await?;
        let folder = tempfile::tempdir()?;
        for (name, limit) in [("ordinary", 32), ("peak", 64)] {
            let file = write_preset(folder.path(), name, limit)?;
            let output = operate(&deployment, &["preset", "put", name, &file]).await?;
            assert!(output.contains("not in force yet"), "{output}");
        }
        let listed = operate(&deployment, &["preset", "list"]).await?;
        assert_eq!(listed.lines().collect::<Vec<_>>(), ["PRESET", "ordinary", "peak"]);
        let output = operate(&deployment, &["preset", "force", "ordinary"]).await?;
        assert_eq!(output.trim(), "in force: ordinary as of revision 1");
        deployment.wait_status(0, TEST_TIMEOUT, |status| status["revision"] == 1).await?;

        let changed = operate(&deployment, &["preset", "diff", "peak"]).await?;
        assert!(changed.contains("max_in_flight") && changed.contains("64"), "{changed}");
        let same = operate(&deployment, &["preset", "diff", "ordinary"]).await?;
        assert_eq!(same.trim(), "no difference");

        let output = operate(&deployment, &["preset", "--json", "force", "peak"]).await?;
        let output: Value = serde_json::from_str(&output)?;
        assert_eq!(output["result"], "accepted");
        assert_eq!(output["preset"]["revision"], 2);
        let history = operate(&deployment, &["preset", "history"]).await?;
        assert_eq!(history.lines().count(), 3, "{history}");
        let got = operate(&deployment, &["preset", "get", "peak"]).await?;
        assert!(got.contains(PLAIN_SERVICE), "{got}");

        let one_ready = |status: &Value| status["services"][PLAIN_SERVICE]["replicas_ready"] == 1;
        deployment.wait_status(0, TEST_TIMEOUT, one_ready).await?;
        let rollout = operate(&deployment, &["rollout", "--json"]).await?;
        let rollout: Value = serde_json::from_str(&rollout)?;
        assert_eq!(rollout[0]["replicas_wanted"], 1);
        assert_eq!(rollout[0]["replicas_ready"], 1);
        let status = operate(&deployment, &["status"]).await?;
        assert!(status.contains("in force: peak, revision 2"), "{status}");
        Ok(())
    });
}

/// A drained endpoint stops taking requests and its status shows that it is leaving.
#[test]
fn a_drained_endpoint_leaves() {
    run(async {
        let deployment = start_pair().await?;
        let output = operate(&deployment, &["drain", "endpoint-0"]).await?;
        assert!(output.contains("was asked to leave"), "{output}");
        let leaves = |status: &Value| status["endpoints"][0]["leaving"] != false;
        deployment.wait_status(0, TEST_TIMEOUT, leaves).await?;
        Ok(())
    });
}

/// Scripts branch on the exit code, so each kind of failure has its own.
#[rstest]
#[case::usage(OPERATOR_TOKEN, &["preset", "force"], 2, "cassiawheel --help")]
#[case::no_such_command(OPERATOR_TOKEN, &["restart"], 2, "cassiawheel --help")]
#[case::no_file(OPERATOR_TOKEN, &["preset", "put", "peak", "/no/such/file"], 2, "/no/such/file")]
#[case::missing(OPERATOR_TOKEN, &["preset", "force", "never"], 1, "no preset never")]
#[case::stranger("not-a-token-of-anyone", &["status"], 5, "bearer token")]
#[case::viewer(VIEWER_TOKEN, &["drain", "entry-0"], 5, "may only view")]
#[case::wrong_entry(
    OPERATOR_TOKEN, &["status", "--admin", "127.0.0.1:1"], 1, "operator address"
)]
fn an_exit_code_tells_the_cause(
    #[case] token: &str,
    #[case] args: &[&str],
    #[case] code: i32,
    #[case] expected: &str,
) {
    run(async {
        let deployment = start_pair().await?;
        let output = command(&deployment, token, args).await?;
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{error}");
        assert!(error.contains(expected), "{error}");
        Ok(())
    });
}

#[test]
fn findings_of_a_preset_are_told_with_their_places() {
    run(async {
        let deployment = start_pair().await?;
        let folder = tempfile::tempdir()?;
        let file = write_preset(folder.path(), "peak", 0)?;
        let args = ["preset", "put", "peak", &file];
        let output = command(&deployment, OPERATOR_TOKEN, &args).await?;
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{error}");
        assert!(error.contains("services.ledger.max_in_flight"), "{error}");
        Ok(())
    });
}

/// The table service performs the change, but this reply and all later ones are lost. The command
/// must report neither success nor failure; the retry command that it prints, run once the
/// service answers again, finds the one change.
#[test]
fn an_unknown_outcome_prints_how_to_ask_again() {
    run(async {
        let deployment = start_pair().await?;
        let folder = tempfile::tempdir()?;
        let file = write_preset(folder.path(), "peak", 8)?;
        operate(&deployment, &["preset", "put", "peak", &file]).await?;
        deployment.table_switches.set_lose_answers(true);
        let args = ["preset", "force", "peak", "--change", "change-7"];
        let output = command(&deployment, OPERATOR_TOKEN, &args).await?;
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(4), "{error}");
        let again = error.lines().find_map(|line| line.strip_prefix("ask again by: cassiawheel "));
        let again: Vec<_> = again.expect("the command").split(' ').collect();
        deployment.table_switches.set_lose_answers(false);
        operate(&deployment, &again).await?;
        operate(&deployment, &again).await?;
        let history = operate(&deployment, &["preset", "history"]).await?;
        assert_eq!(history.lines().count(), 2, "one change: {history}");
        Ok(())
    });
}

/// Two operators concurrently put different presets in force, and the table service is slow, so
/// that both read the same revision before either writes. One change wins; the other command must
/// report the conflict and the winning preset.
#[test]
fn the_loser_of_a_race_is_told_the_winner() {
    run(async {
        let deployment = start_pair().await?;
        let folder = tempfile::tempdir()?;
        for name in ["ordinary", "peak"] {
            let file = write_preset(folder.path(), name, 8)?;
            operate(&deployment, &["preset", "put", name, &file]).await?;
        }
        deployment.table_switches.set_delay(Duration::from_millis(500));
        let force =
            async |name| command(&deployment, OPERATOR_TOKEN, &["preset", "force", name]).await;
        let (one, other) = smol::future::zip(force("ordinary"), force("peak")).await;
        deployment.table_switches.set_delay(Duration::ZERO);
        let mut ends = [(one?, "ordinary"), (other?, "peak")];
        ends.sort_by_key(|(output, _)| output.status.code());
        let [(won, winner), (lost, _)] = ends;
        let error = String::from_utf8_lossy(&lost.stderr);
        assert_eq!((won.status.code(), lost.status.code()), (Some(0), Some(3)), "{error}");
        let stdout = String::from_utf8_lossy(&lost.stdout);
        assert!(stdout.contains(winner), "{stdout}");
        let history = operate(&deployment, &["preset", "history"]).await?;
        assert_eq!(history.lines().count(), 2, "one change: {history}");
        Ok(())
    });
}
