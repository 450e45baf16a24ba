//! Cost of a decision line for the thread that logs it.
//!
//! Run as `cargo bench -p cassiawheel-runtime --bench decision_line 2>/dev/null`:
//! the lines go to standard error, through the same logger as in a process.

#![allow(missing_docs)] // The criterion_group! macro generates items without docs.

use std::hint::black_box;

use cassiawheel_model::settings::{LogFormat, LogSettings};
use cassiawheel_runtime::logging::{self, sampler::DecisionSampler};
use criterion::{Criterion, criterion_group, criterion_main};

fn decide(request: &str) {
    log::info!(
        target: "route",
        request = request,
        workspace = "mokpo-hall",
        endpoint = "mokpo-hall-model-1",
        reason = "least-cost",
        cost = black_box(3.25),
        candidates = black_box(16),
        revision = black_box(41_u64);
        "Chose an endpoint."
    );
}

fn measure(criterion: &mut Criterion) {
    let settings = LogSettings {
        level: "info, quiet=off".to_owned(),
        format: LogFormat::KeyValue,
        decisions_per_s: u32::MAX,
    };
    let _log = logging::start(&settings).expect("the log starts");
    let mut group = criterion.benchmark_group("decision_line");
    group.bench_function("written", |bencher| bencher.iter(|| decide(black_box("entry-1-7f-2a"))));
    group.bench_function("off", |bencher| {
        bencher.iter(|| log::info!(target: "quiet", request = black_box("x"); "Off."));
    });
    let sampler = DecisionSampler::new(1);
    group.bench_function("left_out", |bencher| {
        bencher.iter(|| sampler.sample(cassiawheel_model::Timestamp::now()));
    });
    group.finish();
}

criterion_group!(benches, measure);
criterion_main!(benches);
