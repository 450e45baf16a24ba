//! Distribution of weights under faults, over real TCP between processes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cassiawheel_edge::{HttpClient, HttpEngine, LoadOrder, ModelEngine};
use cassiawheel_model::{ManifestDigest, ModelVersion, WeightManifest, settings::TransferSettings};
use cassiawheel_runtime::spawn;
use cassiawheel_testkit::{
    CallVerdict, Deployment, DeploymentPlan, TestCaller,
    deployment::{INNER_KEY, MODEL_SERVICE},
    stand_in::{
        engine::EngineState,
        peer::{FaultyPeer, FaultyPlan, PeerFault},
    },
    weights::WeightImage,
};
use rstest::rstest;
use serde_json::json;
use smol::Timer;

/// Size of a version in bytes.
const MODEL_BYTES: usize = 4 << 20;
/// Size of a chunk in bytes.
const CHUNK_BYTES: u32 = 64 << 10;
/// Number of chunks of a version.
const CHUNKS: u64 = MODEL_BYTES as u64 / CHUNK_BYTES as u64;
/// Generous timeout; a test that reaches it has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes")
}

fn image(name: &str, seed: u64) -> Arc<WeightImage> {
    let version = ModelVersion::new(name).expect("a valid version");
    Arc::new(WeightImage::generate(version, seed, MODEL_BYTES, CHUNK_BYTES))
}

/// `base` under another version name, with the chunks at `changed` modified.
fn changed_image(name: &str, base: &WeightImage, changed: &[usize]) -> Arc<WeightImage> {
    let mut bytes = base.bytes.clone();
    for index in changed {
        bytes[base.manifest.offset(*index) as usize] ^= 1;
    }
    let version = ModelVersion::new(name).expect("a valid version");
    let manifest = WeightManifest::build(version, &bytes, CHUNK_BYTES);
    Arc::new(WeightImage { manifest, bytes })
}

/// Links slow enough to inject a fault during the transfer: about two seconds with four agents.
fn slow_plan(agents: usize) -> DeploymentPlan {
    let link = MODEL_BYTES as u64 / 2;
    DeploymentPlan {
        model_agents: agents,
        origin_bytes_per_s: 2 * link,
        transfer: TransferSettings {
            link_bytes_per_s: link,
            live_share: 0.0,
            stall_ms: 1_000,
            ..TransferSettings::default()
        },
        ..DeploymentPlan::default()
    }
}

fn fast_plan(agents: usize) -> DeploymentPlan {
    DeploymentPlan { model_agents: agents, ..DeploymentPlan::default() }
}

async fn start(plan: &DeploymentPlan, images: &[&Arc<WeightImage>]) -> anyhow::Result<Deployment> {
    let deployment = Deployment::start(plan).await?;
    for image in images {
        deployment.origin.add(Arc::clone(image));
    }
    let agents = plan.model_agents;
    deployment
        .wait_status(0, TEST_TIMEOUT, |status| {
            status["endpoints"].as_array().is_some_and(|list| list.len() == agents)
        })
        .await?;
    Ok(deployment)
}

async fn force(deployment: &Deployment, version: &str, replicas: usize) -> anyhow::Result<()> {
    let content = json!({ "services": {
        MODEL_SERVICE: { "kind": "model", "version": version, "replicas": replicas }
    } });
    deployment.force(version, &content, &format!("change-{version}")).await?;
    Ok(())
}

fn engine(deployment: &Deployment, index: usize) -> &Arc<EngineState> {
    deployment.endpoints[index].engine.as_ref().expect("a model engine")
}

/// Asserts that every engine of `indices` serves exactly the bytes of `image`.
fn check_bytes(deployment: &Deployment, indices: std::ops::Range<usize>, image: &WeightImage) {
    for index in indices {
        let digest = engine(deployment, index).answer_digest();
        assert_eq!(digest, Some(image.answer_digest()), "engine {index} has other bytes");
    }
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) -> anyhow::Result<()> {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        anyhow::ensure!(Instant::now() < end, "timed out waiting for: {what}");
        Timer::after(Duration::from_millis(5)).await;
    }
    Ok(())
}

async fn wait_staged(
    deployment: &Deployment,
    index: usize,
    manifest: ManifestDigest,
    chunks: usize,
) -> anyhow::Result<()> {
    let engine = engine(deployment, index).clone();
    wait_until("chunks are staged", || engine.staged_chunks(manifest) >= chunks).await
}

/// Some chunks arrive from the origin with a flipped bit, and some truncated. If they were
/// staged, every answer of that version would be garbage.
#[rstest]
#[case::corrupt(10, 0)]
#[case::short(0, 10)]
#[case::both(10, 7)]
fn damaged_chunks_are_never_staged(#[case] corrupt_every: u64, #[case] shorten_every: u64) {
    run(async {
        let v1 = image("v1", 1);
        let deployment = start(&fast_plan(4), &[&v1]).await?;
        deployment.origin.corrupt_every(corrupt_every);
        deployment.origin.shorten_every(shorten_every);
        force(&deployment, "v1", 4).await?;
        deployment.wait_engines("v1", 4, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..4, &v1);
        Ok(())
    });
}

/// The origin sends a manifest that does not match its own digest. A rollout pinned to it could
/// never complete, so the change is refused.
#[rstest]
fn a_corrupt_manifest_is_not_rolled_out() {
    run(async {
        let v1 = image("v1", 1);
        let deployment = start(&fast_plan(2), &[&v1]).await?;
        deployment.origin.corrupt_manifests(true);
        assert!(force(&deployment, "v1", 2).await.is_err(), "the change is refused");
        deployment.origin.corrupt_manifests(false);
        force(&deployment, "v1", 2).await?;
        deployment.wait_engines("v1", 2, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..2, &v1);
        Ok(())
    });
}

/// A peer claims to hold all chunks but sends wrong bytes, refuses, or does not answer. The
/// agents must not keep waiting for it instead of fetching from the origin.
#[rstest]
#[case::wrong_bytes(PeerFault::WrongBytes)]
#[case::refusal(PeerFault::Refusal)]
#[case::silence(PeerFault::Silence)]
fn a_lying_peer_is_left_aside(#[case] fault: PeerFault) {
    run(async {
        let v1 = image("v1", 1);
        let deployment = start(&slow_plan(4), &[&v1]).await?;
        let plan = FaultyPlan {
            entry: deployment.entries[0].inner_addr,
            inner_key: INNER_KEY,
            service: MODEL_SERVICE,
            manifest: v1.manifest.digest,
            chunks: v1.manifest.chunks.len(),
            fault,
        };
        let peer = FaultyPeer::start("127.0.0.1:0".parse()?, plan).await?;
        deployment
            .wait_status(0, TEST_TIMEOUT, |status| {
                status["endpoints"].as_array().is_some_and(|list| list.len() == 5)
            })
            .await?;
        // The peer list reaches the agents long before half of the chunks are transferred.
        force(&deployment, "v1", 4).await?;
        deployment.wait_engines("v1", 4, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..4, &v1);
        assert!(peer.asked() > 0, "the agents requested chunks from the lying peer");
        Ok(())
    });
}

/// An agent is killed during a transfer and restarted. The engine still holds the staged chunks;
/// fetching them again would cost the origin a second copy.
#[rstest]
fn a_restarted_agent_finds_its_staged_chunks() {
    run(async {
        let v1 = image("v1", 1);
        let mut deployment = start(&slow_plan(1), &[&v1]).await?;
        force(&deployment, "v1", 1).await?;
        wait_staged(&deployment, 0, v1.manifest.digest, 20).await?;
        deployment.endpoints[0].agent.as_mut().expect("an agent").kill()?;
        let staged = engine(&deployment, 0).staged_chunks(v1.manifest.digest) as u64;
        assert!(staged < CHUNKS, "the agent was killed in the middle");
        deployment.restart_agent(0)?;
        deployment.wait_engines("v1", 1, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..1, &v1);
        let drawn: u64 =
            (0..CHUNKS as usize).map(|i| deployment.origin.send_count(v1.manifest.digest, i)).sum();
        // Two fetches from the origin may be in progress when the agent is killed,
        // and some chunks may not be staged yet.
        assert!(drawn <= CHUNKS + 4, "{drawn} draws of {CHUNKS} chunks");
        Ok(())
    });
}

/// Two agents are killed and one is paused during a transfer. The chunks that were assigned to
/// them must still reach the other agents.
#[rstest]
fn dead_and_paused_agents_do_not_hold_the_others_up() {
    run(async {
        let v1 = image("v1", 1);
        let mut deployment = start(&slow_plan(6), &[&v1]).await?;
        force(&deployment, "v1", 6).await?;
        wait_staged(&deployment, 0, v1.manifest.digest, 8).await?;
        for index in [3, 4] {
            deployment.endpoints[index].agent.as_mut().expect("an agent").kill()?;
        }
        deployment.endpoints[5].agent.as_ref().expect("an agent").pause()?;
        deployment.wait_engines("v1", 3, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..3, &v1);
        Ok(())
    });
}

/// A new version is put in force while the old one is being fetched, and most of their chunks are
/// identical. Fetching those again would double time and bytes.
#[rstest]
fn a_version_change_keeps_the_chunks_that_both_share() {
    run(async {
        let v1 = image("v1", 1);
        let changed = [3, 30, 60];
        let v2 = changed_image("v2", &v1, &changed);
        let deployment = start(&slow_plan(3), &[&v1, &v2]).await?;
        force(&deployment, "v1", 3).await?;
        wait_staged(&deployment, 0, v1.manifest.digest, 30).await?;
        force(&deployment, "v2", 3).await?;
        deployment.wait_engines("v2", 3, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..3, &v2);
        let engines: Vec<_> = (0..3).map(|index| engine(&deployment, index).clone()).collect();
        let released = || engines.iter().all(|e| e.staged() == [v2.manifest.digest]);
        wait_until("staging of the old version is released", released).await?;
        let drawn = deployment.origin.sent_bytes() / u64::from(CHUNK_BYTES);
        // Chunks in transit at the change are lost, two at each agent.
        let most = CHUNKS + changed.len() as u64 + 3 * 2 + 3;
        assert!(drawn <= most, "{drawn} chunks drawn, at most {most} were needed");
        Ok(())
    });
}

/// A version that differs in a few chunks from the active one is rolled out. Only those chunks
/// may be fetched from the origin.
#[rstest]
fn a_delta_draws_the_changed_chunks_only() {
    run(async {
        let v1 = image("v1", 1);
        let changed = [0, 17, 63];
        let v2 = changed_image("v2", &v1, &changed);
        let deployment = start(&fast_plan(3), &[&v1, &v2]).await?;
        force(&deployment, "v1", 3).await?;
        deployment.wait_engines("v1", 3, TEST_TIMEOUT).await?;
        force(&deployment, "v2", 3).await?;
        deployment.wait_engines("v2", 3, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..3, &v2);
        for index in 0..CHUNKS as usize {
            let draws = deployment.origin.send_count(v2.manifest.digest, index);
            assert_eq!(draws > 0, changed.contains(&index), "chunk {index}: {draws} draws");
        }
        Ok(())
    });
}

/// An agent starts with an empty engine while the origin is down or sends a corrupt manifest. It
/// must be able to fetch the whole version from its peers.
#[rstest]
#[case::down(true, false)]
#[case::corrupt_manifest(false, true)]
fn peers_suffice_without_the_origin(#[case] down: bool, #[case] corrupt: bool) {
    run(async {
        let v1 = image("v1", 1);
        let mut deployment = start(&fast_plan(4), &[&v1]).await?;
        force(&deployment, "v1", 4).await?;
        deployment.wait_engines("v1", 4, TEST_TIMEOUT).await?;
        deployment.endpoints[3].agent.as_mut().expect("an agent").kill()?;
        engine(&deployment, 3).restart();
        deployment.origin_switches.set_down(down);
        deployment.origin.corrupt_manifests(corrupt);
        let drawn = deployment.origin.sent_bytes();
        deployment.restart_agent(3)?;
        deployment.wait_engines("v1", 4, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..4, &v1);
        assert_eq!(deployment.origin.sent_bytes(), drawn, "nothing is drawn again");
        Ok(())
    });
}

/// The origin answers some requests with 429 and a `Retry-After` of one second. An agent that
/// does not wait would be refused ever more often.
#[rstest]
fn the_origins_rate_limit_is_honoured() {
    run(async {
        let v1 = image("v1", 1);
        let deployment = start(&fast_plan(2), &[&v1]).await?;
        deployment.origin.limit_every(8);
        force(&deployment, "v1", 2).await?;
        deployment.wait_engines("v1", 2, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..2, &v1);
        let (drawn, limited) =
            (deployment.origin.sent_bytes() / u64::from(CHUNK_BYTES), deployment.origin.limited());
        assert!(limited > 0, "some calls were refused");
        // One request in eight is refused. This bound alone does not show the wait: an agent
        // that retries at once is refused no more often.
        assert!(limited <= drawn / 4, "{limited} refusals for {drawn} chunks");
        Ok(())
    });
}

/// An engine restarts and loses its weights while its agent keeps running. Requests must not be
/// routed to it until the weights are loaded again.
#[rstest]
fn an_engine_that_lost_its_weights_does_not_serve() {
    run(async {
        let v1 = image("v1", 1);
        let deployment = start(&fast_plan(3), &[&v1]).await?;
        force(&deployment, "v1", 3).await?;
        deployment
            .wait_status(0, TEST_TIMEOUT, |s| s["services"][MODEL_SERVICE]["replicas_ready"] == 3)
            .await?;
        let drawn = deployment.origin.sent_bytes();
        engine(&deployment, 1).restart();
        deployment.wait_engines("v1", 3, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..3, &v1);
        deployment
            .wait_status(0, TEST_TIMEOUT, |s| s["services"][MODEL_SERVICE]["replicas_ready"] == 3)
            .await?;
        assert_eq!(deployment.origin.sent_bytes(), drawn, "the peers hold all chunks");
        Ok(())
    });
}

/// An agent that was paused resumes and sends its outdated order to the engine. One kind of
/// engine refuses it by the fencing token; the other obeys and serves the old version until the
/// current agent notices. No caller may get such an answer.
#[rstest]
#[case::refuses(true)]
#[case::ignores(false)]
fn an_old_order_reaches_no_caller(#[case] checks_fencing: bool) {
    run(async {
        let (v1, v2) = (image("v1", 1), image("v2", 2));
        let plan = DeploymentPlan { checks_fencing, ..fast_plan(1) };
        let deployment = start(&plan, &[&v1, &v2]).await?;
        force(&deployment, "v1", 1).await?;
        deployment.wait_engines("v1", 1, TEST_TIMEOUT).await?;
        let old = LoadOrder {
            version: v1.manifest.version.clone(),
            manifest: v1.manifest.digest,
            fencing: engine(&deployment, 0).fencing(),
        };
        force(&deployment, "v2", 1).await?;
        deployment
            .wait_status(0, TEST_TIMEOUT, |s| {
                s["services"][MODEL_SERVICE]["replicas_ready"] == 1
                    && s["services"][MODEL_SERVICE]["version"] == "v2"
            })
            .await?;
        let client = HttpEngine::new(HttpClient::default(), deployment.endpoints[0].engine_addr());
        client.open_staging(&v1.manifest).await?;
        for index in 0..CHUNKS as usize {
            let bytes = v1.chunk(index).expect("a chunk").to_vec();
            client.stage_chunk(v1.manifest.digest, index, bytes.into()).await?;
        }
        let refused = client.load_weights(&old).await.is_err();
        assert_eq!(refused, checks_fencing);
        let digest = v2.answer_digest();
        let verdict = TestCaller::default()
            .generate(deployment.entries[0].caller_addr, MODEL_SERVICE, "a slot", 4, 1, |_| {
                Some(digest)
            })
            .await;
        assert!(!matches!(verdict, CallVerdict::Wrong(_)), "{verdict:?}");
        let state = engine(&deployment, 0).clone();
        wait_until("the new version is back", || state.answer_digest() == Some(v2.answer_digest()))
            .await?;
        Ok(())
    });
}

/// Requests are in progress when the version changes. Replacing the weights during a run would
/// give answers that mix both versions.
#[rstest]
fn a_switch_waits_for_the_requests_in_progress() {
    run(async {
        let (v1, v2) = (image("v1", 1), image("v2", 2));
        let deployment = start(&fast_plan(2), &[&v1, &v2]).await?;
        force(&deployment, "v1", 2).await?;
        deployment
            .wait_status(0, TEST_TIMEOUT, |s| s["services"][MODEL_SERVICE]["replicas_ready"] == 2)
            .await?;
        let digests = [("v1", v1.answer_digest()), ("v2", v2.answer_digest())];
        let entry = deployment.entries[0].caller_addr;
        let calls: Vec<_> = (0..8)
            .map(|number| {
                spawn(async move {
                    let weights = |version: &str| {
                        digests.iter().find(|(name, _)| *name == version).map(|(_, digest)| *digest)
                    };
                    let prompt = format!("group booking {number}");
                    TestCaller::default()
                        .generate(entry, MODEL_SERVICE, &prompt, 40, 20, weights)
                        .await
                })
            })
            .collect();
        let engines: Vec<_> = (0..2).map(|index| engine(&deployment, index).clone()).collect();
        wait_until("the calls run", || {
            engines.iter().map(|engine| engine.runs().len()).sum::<usize>() == 8
        })
        .await?;
        force(&deployment, "v2", 2).await?;
        for call in calls {
            let verdict = call.await;
            let version = Some("v1".to_owned());
            assert!(
                matches!(&verdict, CallVerdict::Complete { version: answered, .. } if *answered == version),
                "{verdict:?}"
            );
        }
        deployment.wait_engines("v2", 2, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..2, &v2);
        Ok(())
    });
}

/// An agent is paused while the others switch to a newer version. After it resumes it must switch
/// too.
#[rstest]
fn a_paused_agent_follows_the_newer_order() {
    run(async {
        let (v1, v2) = (image("v1", 1), image("v2", 2));
        let deployment = start(&fast_plan(3), &[&v1, &v2]).await?;
        force(&deployment, "v1", 3).await?;
        deployment.wait_engines("v1", 3, TEST_TIMEOUT).await?;
        let paused = deployment.endpoints[0].agent.as_ref().expect("an agent");
        paused.pause()?;
        force(&deployment, "v2", 3).await?;
        deployment.wait_engines("v2", 2, TEST_TIMEOUT).await?;
        paused.resume()?;
        deployment.wait_engines("v2", 3, TEST_TIMEOUT).await?;
        check_bytes(&deployment, 0..3, &v2);
        Ok(())
    });
}
