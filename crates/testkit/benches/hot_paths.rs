//! Benchmarks of the steps on the path of every request or heartbeat: the codec, the gate, and
//! the load and swap of a snapshot.
//!
//! Run as `cargo bench -p cassiawheel-testkit --bench hot_paths`.

#![allow(missing_docs)] // `criterion_group!` generates items without docs.

use std::{collections::HashMap, hint::black_box, sync::Arc};

use arc_swap::ArcSwap;
use cassiawheel_decide::GateState;
use cassiawheel_model::{InstanceId, ModelVersion, PresetRevision};
use cassiawheel_testkit::samples;
use cassiawheel_wire::codec;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn measure_codec(criterion: &mut Criterion) {
    let messages = [
        ("heartbeat", samples::heartbeat().expect("valid names")),
        ("dispatch-2k", samples::dispatch(2 << 10).expect("valid names")),
        ("answer-part-8", samples::answer_part(8)),
        ("answer-part-64k", samples::answer_part(64 << 10)),
    ];
    let mut group = criterion.benchmark_group("codec");
    for (name, message) in &messages {
        group.bench_function(BenchmarkId::new("encode", name), |bencher| {
            bencher.iter(|| codec::encode(black_box(message)).map(|bytes| bytes.len()));
        });
        let bytes = codec::encode(message).expect("the message can be encoded");
        group.bench_function(BenchmarkId::new("decode", name), |bencher| {
            bencher.iter(|| codec::decode(black_box(&bytes)).is_ok());
        });
    }
    group.finish();
}

fn measure_gate(criterion: &mut Criterion) {
    let version = ModelVersion::new("visitor-desk-2026.12.1").expect("a valid name");
    let mut gate = GateState::new(u32::MAX);
    gate.begin_switch().expect("the gate is open");
    gate.commit_switch(Some(version.clone())).expect("a switch is under way");
    criterion.bench_function("gate/enter-and-leave", |bencher| {
        bencher.iter(|| {
            let entered = gate.acquire(black_box(PresetRevision(7)), black_box(Some(&version)));
            gate.release();
            entered.is_ok()
        });
    });
}

fn measure_snapshot(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("snapshot");
    for size in [16_usize, 7_300] {
        let rows: HashMap<InstanceId, u32> = (0..size)
            .map(|index| (InstanceId::new(&format!("endpoint-{index}")).expect("valid"), 0))
            .collect();
        let snapshot = ArcSwap::from_pointee(rows.clone());
        group.bench_function(BenchmarkId::new("load", size), |bencher| {
            bencher.iter(|| black_box(snapshot.load()).len());
        });
        let next = Arc::new(rows);
        group.bench_function(BenchmarkId::new("swap", size), |bencher| {
            bencher.iter(|| snapshot.store(next.clone()));
        });
    }
    group.finish();
}

criterion_group!(benches, measure_codec, measure_gate, measure_snapshot);
criterion_main!(benches);
