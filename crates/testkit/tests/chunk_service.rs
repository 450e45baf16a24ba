//! What agents send to each other, over real TCP.

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

/// Generous: a test that waits this long has failed.
const LONG: Duration = Duration::from_secs(60);

/// Generous, and far below the five seconds after which a stuck upload ends by itself.
const SOON: Duration = Duration::from_secs(2);

/// A link has narrowed, and whoever asked for a chunk has given it up half-way.
/// The sender keeps its only slot for the rest, and the agents that could use it
/// are told that it is busy; a version reaches them seconds later.
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
        let mut asker = ChunkAsker::connect(&deployment).await?;
        asker.ask(1, &image, 0).await?;
        anyhow::ensure!(asker.part_of(1).await, "the first chunk begins");
        asker.sender.send(ChunkMessage::Abandoned { call: 1 }).await?;
        anyhow::ensure!(asker.gets_slot_soon(&image, 1).await?, "the slot is still taken");
        anyhow::Ok(())
    };
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes");
}

/// An agent starts again beside an engine that holds a version, and the order to
/// serve it comes before the engine answers. If the agent took that for all there
/// is to do, nobody would ever learn what the engine holds: engines that are added
/// while the origin is away would wait for it, and callers be refused meanwhile.
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
        deployment.wait_status(0, LONG, is_ordered).await?;
        deployment.endpoints[0].switches.set_down(false);
        let mut asker = ChunkAsker::connect(&deployment).await?;
        anyhow::ensure!(asker.offer_of(&image).await, "the chunks are not offered");
        asker.ask(1, &image, 0).await?;
        anyhow::ensure!(asker.part_of(1).await, "the first chunk comes");
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
    deployment.wait_status(0, LONG, are_known).await?;
    let content = json!({ "services": {
        MODEL_SERVICE: { "kind": "model", "version": "v1", "replicas": plan.model_agents }
    } });
    deployment.force("v1", &content, "change-v1").await?;
    deployment.wait_engines("v1", plan.model_agents, LONG).await?;
    Ok(deployment)
}

fn image(name: &str) -> Arc<WeightImage> {
    let version = ModelVersion::new(name).expect("a valid version");
    Arc::new(WeightImage::generate(version, 11, MODEL_BYTES, CHUNK_BYTES))
}

/// Wait after a sender was busy, as agents take it.
const ASK_AGAIN: Duration = Duration::from_millis(20);

/// Several times the longest wait between two tries of an agent to carry out its order.
const OFFER_TIME: Duration = Duration::from_secs(10);

struct ChunkAsker {
    sender: WireSender,
    receiver: WireReceiver,
}

impl ChunkAsker {
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

    async fn ask(&self, call: u64, image: &WeightImage, index: u32) -> anyhow::Result<()> {
        let manifest = image.manifest.digest;
        let wanted = ChunkMessage::Wanted { call, manifest, index, is_import: false };
        self.sender.send(wanted).await?;
        Ok(())
    }

    /// Whether a part of a chunk comes soon, though the first calls may meet a busy sender.
    ///
    /// The sender notes the end of one upload and the call for the next on two
    /// threads, so that the next may just miss the slot; agents ask again, too.
    async fn gets_slot_soon(&mut self, image: &WeightImage, index: u32) -> anyhow::Result<bool> {
        let until = Timestamp::now().deadline_after(SOON);
        for call in 2.. {
            self.ask(call, image, index).await?;
            if self.part_of(call).await {
                return Ok(true);
            }
            if until.is_past(Timestamp::now()) {
                break;
            }
            Timer::after(ASK_AGAIN).await;
        }
        Ok(false)
    }

    /// Whether the agent tells soon that it holds all chunks of `image`.
    async fn offer_of(&mut self, image: &WeightImage) -> bool {
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
        timeout(OFFER_TIME, offer).await.unwrap_or(false)
    }

    /// Whether a part of the call's chunk comes, and not a refusal.
    async fn part_of(&mut self, wanted: u64) -> bool {
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
        timeout(SOON, answer).await.unwrap_or(false)
    }
}
