//! Requests over real TCP under faults; every entry and agent is a separate process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cassiawheel_edge::{HttpClient, HttpEngine, LoadOrder, ModelEngine};
use cassiawheel_model::{
    ModelVersion, Timestamp,
    settings::{AgentSettings, CallerSettings},
};
use cassiawheel_runtime::spawn;
use cassiawheel_testkit::{
    CallVerdict, Deployment, DeploymentPlan, TestCaller,
    caller::TestCall,
    deployment::{MODEL_SERVICE, PLAIN_SERVICE, TestEndpoint},
    stand_in::plain::CarriedCall,
    weights::WeightImage,
};
use rstest::rstest;
use serde_json::json;
use smol::Timer;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const START_TIMEOUT: Duration = Duration::from_secs(20);

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// Starts a deployment of `count` plain services and waits until every entry sees all of them
/// ready.
async fn start_plain_services(
    count: usize,
    entries: usize,
    work: Duration,
) -> anyhow::Result<Deployment> {
    let plan = DeploymentPlan {
        entries,
        model_agents: 0,
        plain_agents: count,
        plain_work: work,
        caller: CallerSettings { advice_ms: 3_000, ..CallerSettings::default() },
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan).await?;
    for index in 0..entries {
        deployment.wait_status(index, START_TIMEOUT, |_| true).await?;
    }
    let content = json!({ "services": { PLAIN_SERVICE: { "kind": "plain", "replicas": count } } });
    deployment.force("ordinary", &content, "change-1").await?;
    for index in 0..entries {
        let ready = |status: &serde_json::Value| {
            status["services"][PLAIN_SERVICE]["replicas_ready"] == count
        };
        deployment.wait_status(index, START_TIMEOUT, ready).await?;
    }
    Ok(deployment)
}

/// A non-idempotent request with an idempotency key.
fn sale(entry: SocketAddr, key: &str, deadline: Duration) -> TestCall {
    let deadline = Timestamp::now().deadline_after(deadline);
    TestCall {
        entry,
        path: format!("{PLAIN_SERVICE}/sell"),
        headers: vec![
            ("idempotency-key", key.to_owned()),
            ("cassiawheel-deadline", deadline.0.to_string()),
        ],
        body: format!("seat of {key}").into_bytes(),
    }
}

/// A request that is marked as idempotent.
fn question(entry: SocketAddr, text: &str) -> TestCall {
    TestCall {
        entry,
        path: format!("{PLAIN_SERVICE}/ask"),
        headers: vec![("cassiawheel-idempotent", "true".to_owned())],
        body: text.as_bytes().to_vec(),
    }
}

async fn send(call: TestCall) -> CallVerdict {
    let expected = format!("done {} ", String::from_utf8_lossy(&call.body));
    TestCaller::default().call(call, CALL_TIMEOUT, |_| Some(expected.clone())).await
}

fn is_complete(verdict: &CallVerdict) -> bool {
    matches!(verdict, CallVerdict::Complete { .. })
}

/// All requests that the plain services executed.
fn executed_calls(deployment: &Deployment) -> Vec<CarriedCall> {
    deployment.endpoints.iter().filter_map(|e| e.ledger.as_ref()).flat_map(|l| l.calls()).collect()
}

/// How often the request with this idempotency key was executed.
fn runs_of(deployment: &Deployment, key: &str) -> usize {
    executed_calls(deployment).iter().filter(|call| call.key.as_deref() == Some(key)).count()
}

async fn wait_for(what: &str, mut holds: impl FnMut() -> bool) -> anyhow::Result<()> {
    for _ in 0..2_000 {
        if holds() {
            return Ok(());
        }
        Timer::after(Duration::from_millis(5)).await;
    }
    anyhow::bail!("timed out waiting for: {what}")
}

/// The table service stores the claim of an idempotency key, but its reply is lost, so the agent
/// cannot tell whether it may run the request. The request must still run exactly once, and a
/// retry with the same key must get the same answer.
#[test]
fn a_sale_whose_store_answer_is_lost_runs_once() {
    run(async {
        let deployment = start_plain_services(2, 1, Duration::from_millis(5)).await?;
        let entry = deployment.entries[0].caller_addr;
        deployment.table_switches.set_lose_answers(true);
        let first = spawn(send(sale(entry, "lift-1", Duration::from_secs(10))));
        wait_for("the claim", || !deployment.table.scan("request/").is_empty()).await?;
        deployment.table_switches.set_lose_answers(false);
        let verdict = first.await;
        assert!(is_complete(&verdict), "{verdict:?}");
        let verdict = send(sale(entry, "lift-1", Duration::from_secs(10))).await;
        assert!(is_complete(&verdict), "{verdict:?}");
        assert_eq!(runs_of(&deployment, "lift-1"), 1);
        Ok(())
    });
}

/// The entry is killed while the table service is slow to write the claim. The agent cancels the
/// request before it runs, and the claim is written a moment later. The claim used to stay held
/// by an attempt that never ran, so every retry with the key was answered "unknown" forever. The
/// agent's log showed the claim written and the request refused as cancelled in the same
/// millisecond, and no release of the row.
#[test]
fn a_sale_that_is_cancelled_while_it_is_claimed_can_be_made_again() {
    run(async {
        let mut deployment = start_plain_services(1, 2, Duration::from_millis(5)).await?;
        let slow = Duration::from_millis(400);
        deployment.table_switches.set_delay(slow);
        let first =
            spawn(send(sale(deployment.entries[0].caller_addr, "lift-7", Duration::from_secs(10))));
        Timer::after(slow / 2).await;
        let entry = deployment.entries[0].process.as_mut().expect("the entry runs");
        entry.kill()?;
        Timer::after(slow).await;
        deployment.table_switches.set_delay(Duration::ZERO);
        assert!(!is_complete(&first.await));
        let again = sale(deployment.entries[1].caller_addr, "lift-7", Duration::from_secs(10));
        let verdict = send(again).await;
        assert!(is_complete(&verdict), "{verdict:?}");
        assert_eq!(runs_of(&deployment, "lift-7"), 1);
        Ok(())
    });
}

/// An agent dies while it runs a request with a key. Whether the request took effect is unknown,
/// so it must not be reported as not run, and it must not run again, not even on a retry with the
/// same key.
#[test]
fn a_sale_whose_agent_dies_is_unknown_and_never_doubled() {
    run(async {
        let mut deployment = start_plain_services(2, 1, Duration::from_millis(700)).await?;
        let entry = deployment.entries[0].caller_addr;
        let first = spawn(send(sale(entry, "card-1", Duration::from_secs(10))));
        wait_for("the run", || runs_of(&deployment, "card-1") == 1).await?;
        let ran = |e: &cassiawheel_testkit::deployment::TestEndpoint| {
            e.ledger.as_ref().is_some_and(|ledger| !ledger.calls().is_empty())
        };
        let index = deployment.endpoints.iter().position(ran).expect("one of them runs it");
        deployment.endpoints[index].agent.as_mut().expect("it runs").kill()?;
        let verdict = first.await;
        assert!(matches!(verdict, CallVerdict::Unknown(_)), "{verdict:?}");
        let verdict = send(sale(entry, "card-1", Duration::from_secs(10))).await;
        assert!(matches!(verdict, CallVerdict::Unknown(_)), "{verdict:?}");
        assert_eq!(runs_of(&deployment, "card-1"), 1);
        Ok(())
    });
}

/// The table service is down. Idempotent requests do not need it and are answered as usual.
/// Requests with a key are refused as not run within seconds and do not run; the same key
/// succeeds once the service is back.
#[test]
fn an_outage_of_the_store_refuses_sales_and_nothing_else() {
    run(async {
        let deployment = start_plain_services(2, 1, Duration::from_millis(5)).await?;
        let entry = deployment.entries[0].caller_addr;
        deployment.table_switches.set_down(true);
        let sales: Vec<_> = (0..4)
            .map(|n| spawn(send(sale(entry, &format!("seat-{n}"), Duration::from_secs(10)))))
            .collect();
        for number in 0..50 {
            let verdict = send(question(entry, &format!("question {number}"))).await;
            assert!(is_complete(&verdict), "{verdict:?}");
        }
        for sale in sales {
            let verdict = sale.await;
            assert!(matches!(&verdict, CallVerdict::NotRun(_)), "{verdict:?}");
        }
        assert!(executed_calls(&deployment).iter().all(|call| call.key.is_none()));
        deployment.table_switches.set_down(false);
        for number in 0..4 {
            let key = format!("seat-{number}");
            let verdict = send(sale(entry, &key, Duration::from_secs(10))).await;
            assert!(is_complete(&verdict), "{verdict:?}");
            assert_eq!(runs_of(&deployment, &key), 1);
        }
        Ok(())
    });
}

/// An agent is paused with a request in its socket and resumes after the outcome was reported as
/// unknown. It must not execute the request after its deadline.
#[test]
fn a_paused_agent_runs_nothing_after_the_deadline() {
    run(async {
        let deployment = start_plain_services(1, 1, Duration::from_millis(5)).await?;
        let entry = deployment.entries[0].caller_addr;
        let agent = deployment.endpoints[0].agent.as_ref().expect("it runs");
        agent.pause()?;
        let call = sale(entry, "late-1", Duration::from_millis(800));
        let mut unkeyed = call.clone();
        unkeyed.headers.remove(0);
        let (first, second) = (spawn(send(call)), spawn(send(unkeyed)));
        let verdicts = [first.await, second.await];
        assert!(verdicts.iter().all(|v| matches!(v, CallVerdict::Unknown(_))), "{verdicts:?}");
        agent.resume()?;
        Timer::after(Duration::from_millis(800)).await;
        assert_eq!(executed_calls(&deployment), []);
        Ok(())
    });
}

/// The caller disconnects while its request runs. The run must not be interrupted half-way: it
/// completes, and a retry with the same key gets its outcome.
#[test]
fn a_sale_whose_caller_goes_away_is_finished_and_recorded() {
    run(async {
        let deployment = start_plain_services(1, 1, Duration::from_millis(400)).await?;
        let entry = deployment.entries[0].caller_addr;
        let caller = spawn(send(sale(entry, "gone-1", Duration::from_secs(10))));
        wait_for("the run", || runs_of(&deployment, "gone-1") == 1).await?;
        drop(caller);
        let verdict = send(sale(entry, "gone-1", Duration::from_secs(10))).await;
        assert!(is_complete(&verdict), "{verdict:?}");
        assert_eq!(runs_of(&deployment, "gone-1"), 1);
        Ok(())
    });
}

/// Agents and entries are stopped one after another under load. A planned stop completes the
/// requests in progress: none may be cut off, and none may run twice.
#[test]
fn planned_stops_cut_off_no_request() {
    run(async {
        let mut deployment = start_plain_services(3, 2, Duration::from_millis(60)).await?;
        let steady = deployment.entries[0].caller_addr;
        let leaving = deployment.entries[1].caller_addr;
        let callers: Vec<_> = (0..12)
            .map(|caller| spawn(call_for_a_while(caller, steady)))
            .chain([spawn(call_for_a_while(100, leaving))])
            .collect();
        Timer::after(Duration::from_millis(300)).await;
        deployment.endpoints[0].agent.as_ref().expect("it runs").terminate()?;
        deployment.entries[1].process.as_ref().expect("it runs").terminate()?;
        Timer::after(Duration::from_millis(400)).await;
        deployment.endpoints[1].agent.as_ref().expect("it runs").terminate()?;
        let mut verdicts = Vec::new();
        for caller in callers {
            verdicts.extend(caller.await);
        }
        let cut: Vec<_> = verdicts.iter().filter(|(_, verdict)| !is_complete(verdict)).collect();
        assert!(cut.is_empty(), "{} of {}: {cut:?}", cut.len(), verdicts.len());
        for (key, _) in verdicts.iter().filter(|(key, _)| key.starts_with("sale")) {
            assert_eq!(runs_of(&deployment, key), 1, "{key}");
        }
        let process = deployment.entries[1].process.as_mut().expect("it was started");
        assert!(process.wait(CALL_TIMEOUT).await?.is_some_and(|status| status.success()));
        Ok(())
    });
}

/// Sends requests with and without a key in turn. A caller of an entry that is being stopped ends
/// well before its advice expires.
async fn call_for_a_while(caller: usize, entry: SocketAddr) -> Vec<(String, CallVerdict)> {
    let rounds = if caller >= 100 { 3 } else { 12 };
    let mut verdicts = Vec::new();
    for round in 0..rounds {
        let key = format!("sale-{caller}-{round}");
        let sold = send(sale(entry, &key, Duration::from_secs(10))).await;
        verdicts.push((key, sold));
        let text = format!("question-{caller}-{round}");
        let answered = send(question(entry, &text)).await;
        verdicts.push((text, answered));
    }
    verdicts
}

/// Far more requests arrive at once than the services may run. Each must either be answered
/// completely or be refused as not run and then not run; no service may exceed its limit.
#[test]
fn an_overload_is_answered_or_refused_and_nothing_between() {
    run(async {
        let deployment = start_plain_services(2, 1, Duration::from_secs(1)).await?;
        let entry = deployment.entries[0].caller_addr;
        let calls: Vec<_> = (0..600)
            .map(|number| {
                let deadline = Timestamp::now().deadline_after(Duration::from_millis(1_500));
                let text = format!("call-{number}");
                let mut call = question(entry, &text);
                call.headers = vec![("cassiawheel-deadline", deadline.0.to_string())];
                (text, spawn(send(call)))
            })
            .collect();
        let (mut complete, mut refused) = (0, 0);
        let mut verdicts = Vec::new();
        for (text, call) in calls {
            verdicts.push((text, call.await));
        }
        let ran = executed_calls(&deployment);
        for (text, verdict) in &verdicts {
            let runs = ran.iter().filter(|call| call.body == text.as_bytes()).count();
            match verdict {
                CallVerdict::Complete { .. } => {
                    complete += 1;
                    assert_eq!(runs, 1, "{text}");
                }
                CallVerdict::NotRun(_) => {
                    refused += 1;
                    assert_eq!(runs, 0, "{text}");
                }
                CallVerdict::Unknown(_) => assert!(runs <= 1, "{text}"),
                CallVerdict::Wrong(answer) => panic!("{text}: {answer:?}"),
            }
        }
        // 64 calls of one second each run at a time, and every deadline is 1.5 s.
        assert!(complete >= 1 && refused >= 300, "{complete} complete, {refused} refused");
        Ok(())
    });
}

/// Two model engines that serve the same version.
async fn engines() -> anyhow::Result<(Deployment, Arc<WeightImage>)> {
    let plan = DeploymentPlan { entries: 1, model_agents: 2, ..DeploymentPlan::default() };
    let deployment = Deployment::start(&plan).await?;
    deployment.wait_status(0, START_TIMEOUT, |_| true).await?;
    let image = Arc::new(WeightImage::generate(ModelVersion::new("v1")?, 7, 1 << 20, 256 << 10));
    deployment.origin.add(image.clone());
    let service = json!({ "kind": "model", "version": "v1", "replicas": 2 });
    let content = json!({ "services": { MODEL_SERVICE: service } });
    deployment.force("ordinary", &content, "change-1").await?;
    let ready =
        |status: &serde_json::Value| status["services"][MODEL_SERVICE]["replicas_ready"] == 2;
    deployment.wait_status(0, START_TIMEOUT, ready).await?;
    Ok((deployment, image))
}

/// Requests an answer of eight tokens, generated 100 ms apart.
fn ask_engine(deployment: &Deployment, image: &WeightImage) -> smol::Task<CallVerdict> {
    let (entry, digest) = (deployment.entries[0].caller_addr, image.answer_digest());
    spawn(async move {
        let weights = |version: &str| (version == "v1").then_some(digest);
        let prompt = "when does the lift tour start";
        TestCaller::default().generate(entry, MODEL_SERVICE, prompt, 8, 100, weights).await
    })
}

/// Index of the endpoint whose engine started the only run.
async fn running_engine(deployment: &Deployment) -> anyhow::Result<usize> {
    wait_for("the run", || deployment.endpoints.iter().any(has_run)).await?;
    Ok(deployment.endpoints.iter().position(has_run).expect("one of them runs it"))
}

fn has_run(endpoint: &TestEndpoint) -> bool {
    endpoint.engine.as_ref().is_some_and(|engine| !engine.runs().is_empty())
}

/// An engine's instance dies while it processes a long prompt or in the middle of its answer. The
/// request is idempotent, so another engine of the same version runs it again, and the caller
/// sees one whole answer and no error.
#[rstest]
#[case::before_the_first_token(0)]
#[case::in_the_middle(350)]
fn an_engine_that_dies_is_replaced(#[case] killed_after_ms: u64) {
    run(async {
        let (mut deployment, image) = engines().await?;
        let answer = ask_engine(&deployment, &image);
        let index = running_engine(&deployment).await?;
        Timer::after(Duration::from_millis(killed_after_ms)).await;
        deployment.endpoints[index].agent.as_mut().expect("it runs").kill()?;
        let verdict = answer.await;
        assert!(is_complete(&verdict), "{verdict:?}");
        assert!(deployment.endpoints.iter().all(has_run), "the other engine answered");
        Ok(())
    });
}

/// An engine dies in the middle of its answer, and the other one generates a different answer, as
/// with random sampling. Parts of the two answers must not be joined into one that looks whole.
#[test]
fn two_different_answers_are_not_joined() {
    run(async {
        let (mut deployment, image) = engines().await?;
        let answer = ask_engine(&deployment, &image);
        let index = running_engine(&deployment).await?;
        let other = WeightImage::generate(ModelVersion::new("v1")?, 8, 1 << 20, 256 << 10);
        load_behind_the_agent(&deployment.endpoints[1 - index], &other).await?;
        Timer::after(Duration::from_millis(350)).await;
        deployment.endpoints[index].agent.as_mut().expect("it runs").kill()?;
        let verdict = answer.await;
        assert!(matches!(verdict, CallVerdict::Unknown(_)), "{verdict:?}");
        assert!(deployment.endpoints.iter().all(has_run), "the other engine got the request");
        Ok(())
    });
}

/// Loads other weights under the same version directly into an engine, without its agent.
async fn load_behind_the_agent(endpoint: &TestEndpoint, image: &WeightImage) -> anyhow::Result<()> {
    let settings: AgentSettings = serde_json::from_slice(&std::fs::read(&endpoint.config)?)?;
    let engine = HttpEngine::new(HttpClient::default(), settings.engine.addr);
    let manifest = &image.manifest;
    engine.open_staging(manifest).await?;
    for index in 0..manifest.chunks.len() {
        let chunk = image.chunk(index).expect("a chunk").to_vec();
        engine.stage_chunk(manifest.digest, index, chunk.into()).await?;
    }
    let order = LoadOrder {
        version: manifest.version.clone(),
        manifest: manifest.digest,
        fencing: u64::MAX,
    };
    engine.load_weights(&order).await?;
    Ok(())
}

/// The table service handles a few hundred writes per second with high latency, and three hundred
/// requests with keys arrive at once. Each needs two rows; without batching of the writes, most
/// requests would be refused.
#[test]
fn many_sales_share_the_writes_of_the_store() {
    run(async {
        let deployment = start_plain_services(2, 1, Duration::ZERO).await?;
        let entry = deployment.entries[0].caller_addr;
        deployment.table_switches.set_delay(Duration::from_millis(20));
        let before = deployment.table.writes();
        let sales: Vec<_> = (0..300)
            .map(|n| spawn(send(sale(entry, &format!("seat-{n}"), Duration::from_secs(15)))))
            .collect();
        for sale in sales {
            let verdict = sale.await;
            assert!(is_complete(&verdict), "{verdict:?}");
        }
        let writes = deployment.table.writes() - before;
        println!("600 rows in {writes} writes");
        assert!(writes <= 200, "{writes} writes for 600 rows");
        Ok(())
    });
}
