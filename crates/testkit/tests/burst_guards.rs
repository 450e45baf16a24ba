//! A guard is disabled in a stand-in, and the count that it protects must rise.
//!
//! The system under test is unchanged; a stand-in behaves as if the guard were missing, and
//! the checker has to detect it in a real run.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::{ModelVersion, Timestamp, WorkspaceId};
use cassiawheel_testkit::{
    Deployment, DeploymentPlan,
    burst::{
        RunRecords, VerdictCounts, VerdictLimits,
        drive::{BurstCaller, CallPlan},
        judge,
        records::{CallKind, ForceSample, RequestRecord, ToldOutcome},
        run::collect_stand_ins,
        schedule::PlannedArrival,
    },
    deployment::{MODEL_SERVICE, PLAIN_SERVICE},
    weights::WeightImage,
};
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use serde_json::json;

const TOKENS: u32 = 8;

/// One model engine and two replicas of the application under one preset.
struct GuardBench {
    deployment: Deployment,
    image: Arc<WeightImage>,
    plan: CallPlan,
}

impl GuardBench {
    async fn start() -> anyhow::Result<Self> {
        let plan = DeploymentPlan {
            entries: 2,
            model_agents: 1,
            plain_agents: 2,
            ..DeploymentPlan::default()
        };
        let deployment = Deployment::start(&plan).await?;
        let image = WeightImage::generate(ModelVersion::new("v1")?, 3, 1 << 20, 128 << 10);
        let image = Arc::new(image);
        deployment.origin.add(image.clone());
        let plan = CallPlan {
            run: "guards".to_owned(),
            started: Instant::now(),
            started_at: Timestamp::now(),
            allowed: Duration::from_secs(60),
            tokens: TOKENS,
            token_ms: 0,
        };
        Ok(Self { deployment, image, plan })
    }

    async fn force(&self) -> anyhow::Result<()> {
        let content = json!({ "services": {
            MODEL_SERVICE: { "kind": "model", "version": "v1", "replicas": 1 },
            PLAIN_SERVICE: { "kind": "plain", "replicas": 2 },
        } });
        self.deployment.force("ordinary", &content, "change-1").await?;
        for entry in 0..2 {
            self.deployment
                .wait_status(entry, Duration::from_secs(30), |status| {
                    status["services"][MODEL_SERVICE]["replicas_ready"] == 1
                        && status["services"][PLAIN_SERVICE]["replicas_ready"] == 2
                })
                .await?;
        }
        Ok(())
    }

    /// Sends one request of a caller through one entry.
    async fn request(&self, entry: usize, kind: CallKind) -> anyhow::Result<RequestRecord> {
        let entries = Arc::new(vec![self.deployment.entries[entry].caller_addr]);
        let arrival = PlannedArrival {
            number: 1,
            at: self.plan.started.elapsed(),
            kind,
            workspace: WorkspaceId::new("schools")?,
            caller: 0,
        };
        Ok(BurstCaller::new(entries, 1).request(&self.plan, &arrival).await)
    }

    fn judge(&self, requests: Vec<RequestRecord>, forced: Vec<ForceSample>) -> VerdictCounts {
        let records = RunRecords {
            versions: [("v1".to_owned(), self.image.answer_digest())].into(),
            requests,
            forced,
            ..collect_stand_ins(&self.deployment, 1, 2)
        };
        let limits =
            VerdictLimits { leave: Duration::from_secs(3), converge: Duration::from_secs(5) };
        judge(&records, &limits)
    }
}

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

/// The engine does not verify its chunks and loads a corrupt one. The answer is one that no
/// version of the model would give.
#[rstest]
fn without_the_chunk_check_answers_are_mixed() {
    run(async {
        let bench = GuardBench::start().await?;
        let engine = bench.deployment.endpoints[0].engine.clone();
        engine.expect("a model engine").skip_chunk_check(true);
        bench.force().await?;
        let record = bench.request(0, CallKind::Generate).await?;
        assert_eq!(record.asks.last().map(|ask| ask.told), Some(ToldOutcome::Complete));
        assert_eq!(bench.judge(vec![record], Vec::new()).broken(), vec![("mixed", 1)]);
        Ok(())
    });
}

/// The table service never refuses the claim of a key. A request with a key that is retried at
/// another entry runs twice.
#[rstest]
fn without_the_claim_a_sale_doubles() {
    run(async {
        let bench = GuardBench::start().await?;
        bench.force().await?;
        let guarded =
            [bench.request(0, CallKind::Keyed).await?, bench.request(1, CallKind::Keyed).await?];
        let revisions = guarded.iter().filter_map(|sale| sale.asks.last()?.revision);
        assert_eq!(revisions.collect::<Vec<_>>(), [1, 1], "answers name the preset in force");
        assert_eq!(bench.judge(guarded.to_vec(), Vec::new()).doubles, 0);
        bench.deployment.table.ignore_guards(true);
        let sale = bench.request(0, CallKind::Keyed).await?;
        assert_eq!(bench.judge(vec![sale], Vec::new()).broken(), vec![("doubles", 1)]);
        Ok(())
    });
}

/// A request is refused because the preset in force has no such service, and a replica runs it
/// nevertheless, although it was reported as not run.
#[rstest]
fn a_run_after_a_refusal_is_seen() {
    run(async {
        let mut bench = GuardBench::start().await?;
        bench.force().await?;
        bench.plan.allowed = Duration::from_secs(2);
        let call = bench.request(0, CallKind::Read).await?;
        let refused = call.asks.iter().find(|ask| ask.told == ToldOutcome::NotRun);
        let id = refused.and_then(|ask| ask.request.clone()).expect("a refusal with its id");
        assert_eq!(bench.judge(vec![call.clone()], Vec::new()).not_run_but_ran, 0);
        let ledger = bench.deployment.endpoints[1].stand_in_addr;
        let rerun = Request::post(format!("http://{ledger}/sales"))
            .header("x-request-id", id)
            .body(Full::new(Bytes::from(call.text.clone())))?;
        HttpClient::default().send_and_read(rerun, Duration::from_secs(5)).await?;
        assert_eq!(bench.judge(vec![call], Vec::new()).not_run_but_ran, 1);
        Ok(())
    });
}

/// The table service is restored from an old backup, so the preset in force reverts to an earlier
/// revision.
#[rstest]
fn a_row_that_is_rolled_back_is_a_revert() {
    run(async {
        let bench = GuardBench::start().await?;
        let row = || {
            let row = bench.deployment.table.read("force").expect("a preset is in force");
            let change = row.value["change"].as_str().unwrap_or_default().to_owned();
            let revision = row.value["revision"].as_u64().unwrap_or_default();
            (row, ForceSample { at: Timestamp::now(), revision, change })
        };
        bench.force().await?;
        let (backup, first) = row();
        let call = json!({ "preset": "ordinary", "change": "change-2" });
        let body = serde_json::to_vec(&call)?;
        let token = cassiawheel_testkit::deployment::OPERATOR_TOKEN;
        bench.deployment.admin(0, token, hyper::Method::POST, "/v1/force", body).await?;
        let (_, second) = row();
        let samples = vec![first, second];
        assert_eq!(bench.judge(Vec::new(), samples.clone()).broken(), vec![]);
        bench.deployment.table.roll_back(backup);
        let (_, third) = row();
        let rolled = [samples, vec![third]].concat();
        assert_eq!(bench.judge(Vec::new(), rolled).broken(), vec![("reverts", 1)]);
        Ok(())
    });
}
