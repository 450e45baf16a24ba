//! Regression bounds on message sizes and on ratios of two times measured in the same run.
//!
//! The bounds are in `benches/bounds.json`. A ratio compares the minimum of many rounds with
//! that of another input size, so that it depends neither on the machine nor on its other
//! load.

use std::{
    collections::HashMap,
    hint::black_box,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use cassiawheel_decide::GateState;
use cassiawheel_model::{InstanceId, ModelVersion, PresetRevision};
use cassiawheel_testkit::samples;
use cassiawheel_wire::{WireMessage, codec};
use rstest::rstest;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BoundValues {
    /// Maximum size of a heartbeat.
    heartbeat_bytes: usize,
    /// Maximum size of a request beyond its body.
    dispatch_overhead_bytes: usize,
    /// Maximum size of a part of an answer beyond its text.
    answer_part_overhead_bytes: usize,
    /// Maximum time to decode four times the bytes, relative to the time for one.
    decode_4x_ratio: f64,
    /// Maximum time of the gate with a million requests in progress, relative to the time with
    /// none.
    gate_busy_ratio: f64,
    /// Maximum time to load a snapshot of 7,300 endpoints, relative to the time for 16.
    snapshot_size_ratio: f64,
}

fn bounds() -> BoundValues {
    serde_json::from_str(include_str!("../benches/bounds.json")).expect("valid bounds")
}

/// Minimum time of 200 rounds of 1,000 calls each.
fn min_round_time(mut call: impl FnMut()) -> Duration {
    let round = |call: &mut dyn FnMut()| {
        let begun = Instant::now();
        (0..1_000).for_each(|_| call());
        begun.elapsed()
    };
    (0..200).map(|_| round(&mut call)).min().unwrap_or_default()
}

fn ratio(longer: Duration, shorter: Duration) -> f64 {
    longer.as_secs_f64() / shorter.as_secs_f64().max(1e-9)
}

fn encoded(message: &WireMessage) -> usize {
    codec::encode(message).expect("the message can be encoded").len()
}

#[rstest]
fn messages_stay_small() {
    let bounds = bounds();
    let heartbeat = encoded(&samples::heartbeat().expect("valid names"));
    assert!(heartbeat <= bounds.heartbeat_bytes, "a heartbeat has {heartbeat} bytes");
    let body = 2 << 10;
    let dispatch = encoded(&samples::dispatch(body).expect("valid names")) - body;
    assert!(dispatch <= bounds.dispatch_overhead_bytes, "a request has {dispatch} bytes of head");
    let part = encoded(&samples::answer_part(body)) - body;
    assert!(part <= bounds.answer_part_overhead_bytes, "a part has {part} bytes of head");
}

#[rstest]
fn decoding_stays_linear() {
    let decode = |bytes: usize| {
        let message = codec::encode(&samples::answer_part(bytes)).expect("can be encoded");
        min_round_time(|| drop(black_box(codec::decode(black_box(&message)))))
    };
    let found = ratio(decode(64 << 10), decode(16 << 10));
    assert!(found <= bounds().decode_4x_ratio, "four times the bytes take {found:.1} times");
}

#[rstest]
fn the_gate_does_not_slow_with_its_load() {
    let version = ModelVersion::new("v1").expect("a valid name");
    let enter = |in_progress: u32| {
        let mut gate = GateState::new(u32::MAX);
        gate.begin_switch().expect("the gate is open");
        gate.commit_switch(Some(version.clone())).expect("a switch is under way");
        for _ in 0..in_progress {
            gate.acquire(PresetRevision(1), Some(&version)).expect("the gate admits");
        }
        min_round_time(|| {
            let _ = black_box(gate.acquire(PresetRevision(1), black_box(Some(&version))));
            gate.release();
        })
    };
    let found = ratio(enter(1_000_000), enter(0));
    assert!(found <= bounds().gate_busy_ratio, "a busy gate takes {found:.1} times as long");
}

#[rstest]
fn a_snapshot_loads_in_the_same_time_at_any_size() {
    let load = |size: usize| {
        let rows: HashMap<InstanceId, u32> = (0..size)
            .map(|index| (InstanceId::new(&format!("endpoint-{index}")).expect("valid"), 0))
            .collect();
        let snapshot = ArcSwap::from_pointee(rows);
        min_round_time(|| _ = black_box(snapshot.load()).len())
    };
    let found = ratio(load(7_300), load(16));
    assert!(found <= bounds().snapshot_size_ratio, "7,300 endpoints take {found:.1} times");
}
