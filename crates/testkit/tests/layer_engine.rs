//! The platform's engine adapter with orders for a range of layers.

use std::time::Duration;

use bytes::Bytes;
use cassiawheel_edge::{EngineError, HttpClient, LayerOrder, LoadOrder, ModelEngine};
use cassiawheel_model::{
    ChunkDigest, ChunkEntry, ChunkHash, LayerRange, LoadedLayers, ModelVersion, WeightManifest,
};
use cassiawheel_platform::PlatformEngine;
use cassiawheel_testkit::stand_in::layer_engine::LayerEngine;
use rstest::rstest;
use serde_json::json;
use smol::Timer;

const LAYERS: u32 = 4;
const CHUNKS: usize = 8;

fn run(test: impl Future<Output = anyhow::Result<()>>) {
    cassiawheel_runtime::run(4, test).expect("the executor runs").expect("the test passes");
}

fn chunk_bytes(version: u64, index: usize) -> Bytes {
    Bytes::from(format!("version {version}, chunk {index}"))
}

fn manifest(version: u64) -> anyhow::Result<WeightManifest> {
    let entry = |index| {
        let bytes = chunk_bytes(version, index);
        ChunkEntry { digest: ChunkDigest::of(&bytes), bytes: bytes.len() as u32 }
    };
    let chunks: Vec<_> = (0..CHUNKS).map(entry).collect();
    let (name, length) = (ModelVersion::new(&format!("m:{version}"))?, chunks[0].bytes);
    Ok(WeightManifest::from_chunks(name, length, ChunkHash::Blake3, chunks))
}

fn load_order(manifest: &WeightManifest) -> LoadOrder {
    LoadOrder { version: manifest.version.clone(), manifest: manifest.digest, fencing: 1 }
}

fn lower_half(manifest: &WeightManifest) -> anyhow::Result<LayerOrder> {
    let range = LayerRange::new(0, LAYERS / 2)?;
    Ok(LayerOrder { load: load_order(manifest), range, layers: LAYERS })
}

/// An engine, its adapter, and version 1 with the chunks below `staged` staged.
async fn staged_engine(
    staged: usize,
) -> anyhow::Result<(LayerEngine, PlatformEngine, WeightManifest)> {
    let engine = LayerEngine::start().await?;
    let adapter = PlatformEngine::new(HttpClient::default(), engine.addr());
    let first = manifest(1)?;
    adapter.open_staging(&first).await?;
    for index in 0..staged {
        adapter.stage_chunk(first.digest, index, chunk_bytes(1, index)).await?;
    }
    Ok((engine, adapter, first))
}

/// Guards against a range that waits for chunks of other layers, or is ordered with other fields
/// than the platform's, and against a part that is reported as a served version.
#[rstest]
fn a_range_is_loaded_without_the_other_chunks() {
    run(async {
        let (engine, adapter, first) = staged_engine(CHUNKS / 2).await?;
        let order = lower_half(&first)?;
        adapter.load_layers(&order).await?;
        let sent = engine.state().orders[0].body.clone();
        let expected = json!({
            "operation": "start", "model": "m", "version": 1, "drain_mode": "queue",
            "from": 0, "target": 2, "precondition": 0,
        });
        anyhow::ensure!(sent == expected, "{sent}");
        let status = adapter.status().await?;
        let loaded = LoadedLayers { version: first.version.clone(), range: order.range };
        anyhow::ensure!(status.version.is_none() && status.layers == Some(loaded), "{status:?}");

        for index in CHUNKS / 2..CHUNKS {
            adapter.stage_chunk(first.digest, index, chunk_bytes(1, index)).await?;
        }
        adapter.load_weights(&load_order(&first)).await?;
        let sent = engine.state().orders[1].body.clone();
        anyhow::ensure!(sent.get("from").is_none() && sent.get("target").is_none(), "{sent}");
        let status = adapter.status().await?;
        anyhow::ensure!(status.version == Some(first.version) && status.layers.is_none());
        Ok(())
    });
}

/// Guards against an answer from layers of which a chunk is missing or corrupt.
#[rstest]
#[case::missing(None)]
#[case::corrupt(Some(Bytes::from_static(b"corrupt")))]
fn a_range_with_a_damaged_chunk_is_not_loaded(#[case] found: Option<Bytes>) {
    run(async {
        let (engine, adapter, first) = staged_engine(CHUNKS).await?;
        engine.state().chunks.remove(&2);
        if let Some(bytes) = found {
            engine.state().chunks.insert(2, bytes);
        }
        let answer = adapter.load_layers(&lower_half(&first)?).await;
        let is_named = matches!(&answer, Err(EngineError::Damaged(chunks)) if *chunks == [2]);
        anyhow::ensure!(is_named && engine.state().orders.is_empty(), "{answer:?}");
        Ok(())
    });
}

/// Guards against weights that turn corrupt while the agent stands still between the check of the
/// staged chunks and its order.
#[rstest]
fn chunks_are_checked_again_after_a_pause_before_the_order() {
    run(async {
        let (engine, adapter, first) = staged_engine(CHUNKS).await?;
        engine.state().read_delay = Duration::from_millis(20);
        let order = load_order(&first);
        let reads_before = engine.state().reads;
        let pause = async {
            while engine.state().reads < reads_before + CHUNKS {
                Timer::after(Duration::from_millis(1)).await;
            }
            // The last answer is on its way; this thread also runs the adapter.
            engine.state().chunks.insert(0, Bytes::from_static(b"corrupt"));
            std::thread::sleep(Duration::from_millis(3_200));
        };
        let (answer, ()) = futures_util::future::join(adapter.load_weights(&order), pause).await;
        anyhow::ensure!(matches!(answer, Err(EngineError::Refused(_))), "{answer:?}");
        let taken = engine.state().orders.clone();
        anyhow::ensure!(taken.is_empty(), "loaded with a corrupt chunk: {taken:?}");
        Ok(())
    });
}

/// Guards against weights that turned corrupt while an order lay unread at the engine: they must
/// not be reported, and are loaded anew although the engine holds their version.
#[rstest]
#[case::intact(false, 1)]
#[case::corrupt(true, 3)]
fn an_order_that_is_accepted_late_is_proved_by_another_check(
    #[case] is_corrupt: bool,
    #[case] orders: usize,
) {
    run(async {
        let (engine, adapter, first) = staged_engine(CHUNKS).await?;
        engine.state().order_delay = Duration::from_millis(3_200);
        let answer = adapter.load_weights(&load_order(&first)).await;
        anyhow::ensure!(matches!(answer, Err(EngineError::NoAnswer(_))), "{answer:?}");
        engine.state().order_delay = Duration::ZERO;
        if is_corrupt {
            engine.state().chunks.insert(0, Bytes::from_static(b"corrupt"));
        }
        while engine.state().orders.is_empty() {
            Timer::after(Duration::from_millis(20)).await;
        }
        Timer::after(Duration::from_millis(100)).await;
        let status = adapter.status().await?;
        anyhow::ensure!(status.version.is_none(), "not proved: {status:?}");

        adapter.open_staging(&first).await?;
        if is_corrupt {
            adapter.stage_chunk(first.digest, 0, chunk_bytes(1, 0)).await?;
            let answer = adapter.load_weights(&load_order(&first)).await;
            anyhow::ensure!(matches!(answer, Err(EngineError::Unproved(_))), "{answer:?}");
        }
        adapter.load_weights(&load_order(&first)).await?;
        let served = adapter.status().await?.version;
        anyhow::ensure!(served.as_ref() == Some(&first.version), "{served:?}");
        let sent = engine.state().orders.clone();
        anyhow::ensure!(sent.len() == orders, "{sent:?}");
        let last = sent.last().is_some_and(|order| order.chunks[&0] == chunk_bytes(1, 0));
        anyhow::ensure!(last, "{sent:?}");
        Ok(())
    });
}

/// Guards against corrupt weights that a restarted agent serves: the former process was killed
/// between an order that was accepted late and its proof, maybe after it had repaired a chunk.
#[rstest]
fn a_restarted_agent_repeats_a_load_that_was_cut_short() {
    run(async {
        let (engine, killed, first) = staged_engine(CHUNKS).await?;
        killed.load_weights(&load_order(&first)).await?;
        let adapter = PlatformEngine::new(HttpClient::default(), engine.addr());
        let adopted = adapter.status().await?.version;
        anyhow::ensure!(adopted.as_ref() == Some(&first.version), "{adopted:?}");
        adapter.distrust_held();
        let status = adapter.status().await?;
        anyhow::ensure!(status.version.is_none() && status.layers.is_none(), "{status:?}");

        adapter.open_staging(&first).await?;
        let answer = adapter.load_weights(&load_order(&first)).await;
        anyhow::ensure!(matches!(answer, Err(EngineError::Unproved(_))), "{answer:?}");
        adapter.load_weights(&load_order(&first)).await?;
        let served = adapter.status().await?.version;
        anyhow::ensure!(served.as_ref() == Some(&first.version), "{served:?}");
        anyhow::ensure!(engine.state().orders.len() == 3, "{:?}", engine.state().orders);
        Ok(())
    });
}

/// Guards against an engine that drops the version it holds because an order for the next one, which
/// it has not read yet, cannot be proved.
#[rstest]
fn another_version_is_kept_when_a_load_is_not_proved() {
    run(async {
        let (engine, adapter, first) = staged_engine(CHUNKS).await?;
        adapter.load_weights(&load_order(&first)).await?;
        let second = manifest(2)?;
        adapter.open_staging(&second).await?;
        for index in 0..CHUNKS {
            adapter.stage_chunk(second.digest, index, chunk_bytes(2, index)).await?;
        }
        engine.state().order_delay = Duration::from_secs(60);
        let answer = adapter.load_weights(&load_order(&second)).await;
        anyhow::ensure!(matches!(answer, Err(EngineError::NoAnswer(_))), "{answer:?}");
        engine.state().order_delay = Duration::ZERO;
        engine.state().chunks.insert(0, Bytes::from_static(b"corrupt"));
        let answer = adapter.load_weights(&load_order(&second)).await;
        anyhow::ensure!(matches!(answer, Err(EngineError::Unproved(_))), "{answer:?}");
        let served = adapter.status().await?.version;
        anyhow::ensure!(served.as_ref() == Some(&first.version), "{served:?}");
        Ok(())
    });
}

/// Guards against a chunk of another version from a write that timed out and takes effect between
/// the check of the chunks and the order.
#[rstest]
fn a_write_without_an_answer_calls_for_a_check_after_the_order() {
    run(async {
        let (engine, adapter, first) = staged_engine(CHUNKS).await?;
        engine.state().write_delay = Duration::from_secs(60);
        let bytes = Bytes::from_static(b"late");
        let late = adapter.stage_chunk(first.digest, 0, bytes.clone()).await;
        anyhow::ensure!(matches!(late, Err(EngineError::NoAnswer(_))), "{late:?}");
        let reads_before = engine.state().reads;
        engine.state().read_delay = Duration::from_millis(20);
        let order = load_order(&first);
        let take_effect = async {
            while engine.state().reads < reads_before + CHUNKS {
                Timer::after(Duration::from_millis(1)).await;
            }
            engine.state().chunks.insert(0, bytes);
        };
        let (answer, ()) =
            futures_util::future::join(adapter.load_weights(&order), take_effect).await;
        anyhow::ensure!(matches!(answer, Err(EngineError::Unproved(_))), "{answer:?}");
        let reads = engine.state().reads - reads_before;
        anyhow::ensure!(reads == 2 * CHUNKS, "{reads}");
        let status = adapter.status().await?;
        anyhow::ensure!(status.version.is_none(), "{status:?}");
        Ok(())
    });
}

/// Guards against an order that the engine reads after a later one, and that would then replace
/// what the later one has loaded.
#[rstest]
fn an_order_that_is_read_after_a_later_one_has_no_effect() {
    run(async {
        let (engine, adapter, first) = staged_engine(CHUNKS).await?;
        engine.state().order_delay = Duration::from_millis(2_500);
        let answer = adapter.load_weights(&load_order(&first)).await;
        anyhow::ensure!(matches!(answer, Err(EngineError::NoAnswer(_))), "{answer:?}");
        engine.state().order_delay = Duration::ZERO;
        let second = manifest(2)?;
        adapter.open_staging(&second).await?;
        for index in 0..CHUNKS {
            adapter.stage_chunk(second.digest, index, chunk_bytes(2, index)).await?;
        }
        adapter.load_weights(&load_order(&second)).await?;
        Timer::after(Duration::from_millis(1_500)).await;
        let served = adapter.status().await?.version;
        anyhow::ensure!(served.as_ref() == Some(&second.version), "{served:?}");
        anyhow::ensure!(engine.state().orders.len() == 1, "{:?}", engine.state().orders);
        Ok(())
    });
}

/// Guards against an engine without ranges that is ordered to load parts again and again.
#[rstest]
fn a_refused_range_is_told_from_other_refusals() {
    run(async {
        let (engine, adapter, first) = staged_engine(CHUNKS).await?;
        engine.state().refuses_ranges = true;
        let answer = adapter.load_layers(&lower_half(&first)?).await;
        anyhow::ensure!(matches!(answer, Err(EngineError::Unsupported(_))), "{answer:?}");
        adapter.load_weights(&load_order(&first)).await?;
        Ok(())
    });
}

/// Guards against a mixture of two versions: the next one is staged over the chunks of the range
/// while they are being checked.
#[rstest]
fn another_version_is_not_staged_between_check_and_order() {
    run(async {
        let (engine, adapter, first) = staged_engine(CHUNKS).await?;
        engine.state().read_delay = Duration::from_millis(20);
        let second = manifest(2)?;
        let order = lower_half(&first)?;
        let stage_next = async {
            // By now the first chunk of the range has been checked.
            Timer::after(Duration::from_millis(30)).await;
            adapter.open_staging(&second).await?;
            adapter.stage_chunk(second.digest, 0, chunk_bytes(2, 0)).await?;
            anyhow::Ok(())
        };
        let (loaded, staged) =
            futures_util::future::join(adapter.load_layers(&order), stage_next).await;
        staged?;
        loaded?;
        let received = engine.state().orders[0].clone();
        let is_first = |(index, bytes): (&usize, &Bytes)| *bytes == chunk_bytes(1, *index);
        anyhow::ensure!(received.chunks.iter().all(is_first), "{received:?}");
        Ok(())
    });
}
