//! The chunk protocol between agents, over real TCP.

use std::{sync::Arc, time::Duration};

use cassiawheel_model::{
    InstanceId, ModelVersion, Timestamp, flags::iter_set_bits, settings::TransferSettings,
};
use cassiawheel_runtime::timeout;
use cassiawheel_testkit::{
    Deployment, DeploymentPlan,
    deployment::{INNER_KEY, MODEL_SERVICE},
    weights::WeightImage,
};
use cassiawheel_wire::{
    ChunkMessage, HelloMessage, ProcessKind, WireMessage, WireReceiver, WireSender, connect,
};
use serde_json::json;
use smol::Timer;

const MODEL_BYTES: usize = 1 << 20;
const CHUNK_BYTES: u32 = 128 << 10;

/// Generous timeout; a test that reaches it has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Generous, yet far below the five seconds after which a stalled upload is aborted.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(2);

/// A slow receiver abandons a chunk half-way. If the sender kept its only upload slot for the
/// rest, the other agents would be refused as busy and get the version seconds late.
#[test]
fn an_abandoned_chunk_gives_its_slot_back() {
    let image = image("v1");
    let plan = DeploymentPlan {
        model_agents: 1,
        transfer: TransferSettings { upload_slots: 1, ..TransferSettings::default() },
        ..DeploymentPlan::default()
    };
    let test = async {
        let deployment = serving_deployment(&plan, &image).await?;
        let mut client = ChunkClient::connect(&deployment).await?;
        client.request(1, &image, 0).await?;
        anyhow::ensure!(client.receives_part(1).await, "no part of the first chunk arrived");
        client.sender.send(ChunkMessage::Abandoned { call: 1 }).await?;
        anyhow::ensure!(client.gets_slot_soon(&image, 1).await?, "the slot is still taken");
        anyhow::Ok(())
    };
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes");
}

/// An agent restarts beside an engine that holds a version, and its load order arrives before the
/// engine answers. If the agent then considered the order complete, it would never announce the
/// chunks of the engine: engines that are added while the origin is down would wait for the
/// origin, and requests be refused meanwhile.
#[test]
fn an_engine_that_answers_after_its_order_offers_what_it_holds() {
    let image = image("v1");
    let plan = DeploymentPlan { model_agents: 1, ..DeploymentPlan::default() };
    let test = async {
        let mut deployment = serving_deployment(&plan, &image).await?;
        let endpoint = &mut deployment.endpoints[0];
        endpoint.switches.set_down(true);
        endpoint.agent.as_mut().expect("the agent runs").kill()?;
        deployment.restart_agent(0)?;
        let is_ordered = |status: &serde_json::Value| {
            status["endpoints"][0]["report"]["state"] == "empty"
                && status["endpoints"][0]["report"]["order"].as_u64().is_some_and(|order| order > 0)
        };
        deployment.wait_status(0, TEST_TIMEOUT, is_ordered).await?;
        deployment.endpoints[0].switches.set_down(false);
        let mut client = ChunkClient::connect(&deployment).await?;
        anyhow::ensure!(client.receives_offer(&image).await, "the chunks are not offered");
        client.request(1, &image, 0).await?;
        anyhow::ensure!(client.receives_part(1).await, "no part of the first chunk arrived");
        anyhow::Ok(())
    };
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes");
}

/// A deployment in which every engine serves `image`.
async fn serving_deployment(
    plan: &DeploymentPlan,
    image: &Arc<WeightImage>,
) -> anyhow::Result<Deployment> {
    let deployment = Deployment::start(plan).await?;
    deployment.origin.add(Arc::clone(image));
    let are_known = |status: &serde_json::Value| {
        status["endpoints"].as_array().is_some_and(|list| list.len() == plan.model_agents)
    };
    deployment.wait_status(0, TEST_TIMEOUT, are_known).await?;
    let content = json!({ "services": {
        MODEL_SERVICE: { "kind": "model", "version": "v1", "replicas": plan.model_agents }
    } });
    deployment.force("v1", &content, "change-v1").await?;
    deployment.wait_engines("v1", plan.model_agents, TEST_TIMEOUT).await?;
    Ok(deployment)
}

fn image(name: &str) -> Arc<WeightImage> {
    let version = ModelVersion::new(name).expect("a valid version");
    Arc::new(WeightImage::generate(version, 11, MODEL_BYTES, CHUNK_BYTES))
}

/// Backoff after a busy reply; agents use the same.
const BUSY_BACKOFF: Duration = Duration::from_millis(20);

/// Several times the longest backoff of an agent between two attempts to execute its order.
const OFFER_TIMEOUT: Duration = Duration::from_secs(10);

struct ChunkClient {
    sender: WireSender,
    receiver: WireReceiver,
}

impl ChunkClient {
    async fn connect(deployment: &Deployment) -> anyhow::Result<Self> {
        let addr = deployment.endpoints[0].inner_addr;
        let (sender, receiver) = connect(addr, INNER_KEY, None).await?;
        let hello = HelloMessage {
            kind: ProcessKind::Agent,
            instance: InstanceId::new("asker")?,
            incarnation: 1,
        };
        sender.send(hello).await?;
        Ok(Self { sender, receiver })
    }

    async fn request(&self, call: u64, image: &WeightImage, index: u32) -> anyhow::Result<()> {
        let manifest = image.manifest.digest;
        let wanted = ChunkMessage::Wanted { call, manifest, index, is_import: false };
        self.sender.send(wanted).await?;
        Ok(())
    }

    /// Whether part of a chunk arrives soon, although the first requests may be refused as busy.
    /// The sender handles the end of one upload and the next request on two threads, so a request
    /// may just miss the free slot; agents retry as well.
    async fn gets_slot_soon(&mut self, image: &WeightImage, index: u32) -> anyhow::Result<bool> {
        let until = Timestamp::now().deadline_after(CHUNK_TIMEOUT);
        for call in 2.. {
            self.request(call, image, index).await?;
            if self.receives_part(call).await {
                return Ok(true);
            }
            if until.is_past(Timestamp::now()) {
                break;
            }
            Timer::after(BUSY_BACKOFF).await;
        }
        Ok(false)
    }

    /// Whether the agent soon announces that it holds all chunks of `image`.
    async fn receives_offer(&mut self, image: &WeightImage) -> bool {
        let chunks = image.manifest.chunks.len();
        let offer = async {
            while let Ok(message) = self.receiver.recv().await {
                if let WireMessage::Chunk(ChunkMessage::Held { manifest, bits }) = message
                    && manifest == image.manifest.digest
                    && iter_set_bits(&bits, chunks).count() == chunks
                {
                    return true;
                }
            }
            false
        };
        timeout(OFFER_TIMEOUT, offer).await.unwrap_or(false)
    }

    /// Whether part of the requested chunk arrives, rather than a refusal.
    async fn receives_part(&mut self, wanted: u64) -> bool {
        let answer = async {
            while let Ok(message) = self.receiver.recv().await {
                match message {
                    WireMessage::Chunk(ChunkMessage::Bytes { call, .. }) if call == wanted => {
                        return true;
                    }
                    WireMessage::Chunk(ChunkMessage::Refused { call, .. }) if call == wanted => {
                        return false;
                    }
                    _ => {}
                }
            }
            false
        };
        timeout(CHUNK_TIMEOUT, answer).await.unwrap_or(false)
    }
}
