//! Proof that an engine has loaded only intact chunks.

use std::ops::Range;

use cassiawheel_decide::{ChunkCheck, LoadProofs};
use cassiawheel_model::{ModelVersion, Timestamp};
use rstest::rstest;

const CHUNKS: usize = 8;
const START: Timestamp = Timestamp(1_000_000);

/// Time for which a chunk may have been corrupt when an engine takes it.
const EXCUSED_MS: u64 = 3_000;

fn at(ms: u64) -> Timestamp {
    Timestamp(START.0 + ms)
}

fn version() -> ModelVersion {
    ModelVersion::new("m:2").expect("a valid name")
}

/// Loads with one order, sent after a check that began at the start.
fn ordered() -> LoadProofs {
    let mut proofs = LoadProofs::default();
    order(&mut proofs, 0..CHUNKS, START);
    proofs
}

/// Records an order after a check that began at `begun_at`; the engine has accepted none.
fn order(proofs: &mut LoadProofs, chunks: Range<usize>, begun_at: Timestamp) {
    proofs.order_sent(&version(), chunks, ChunkCheck::begin(begun_at), Some(0), begun_at);
}

fn write(proofs: &mut LoadProofs, index: usize) {
    proofs.write_sent(index, at(4_000));
    proofs.write_ended(index);
}

/// Guards against an order that is sent so long after the check that its answer can come too late.
#[rstest]
fn a_check_permits_no_order_once_it_is_old() {
    let check = ChunkCheck::begin(START);
    assert!(check.permits_order(at(100)));
    assert!(!check.permits_order(at(EXCUSED_MS - 1_500)));
}

/// Guards against a load that counts as proved although a chunk may have been corrupt for longer
/// than is excused.
#[rstest]
#[case::in_time(200, true)]
#[case::late(EXCUSED_MS, false)]
#[case::after_a_long_pause(60_000, false)]
fn an_answer_proves_a_load_only_in_time(#[case] answered_ms: u64, #[case] is_proved: bool) {
    let mut proofs = ordered();
    assert_eq!(proofs.order_answered(&version(), at(answered_ms)), is_proved);
    assert_eq!(proofs.may_serve(&version(), at(answered_ms + 60_000)), is_proved);
}

/// Guards against weights that are served after an order whose answer was lost.
#[rstest]
fn an_order_without_an_answer_leaves_the_load_unproved() {
    let proofs = ordered();
    assert!(proofs.may_serve(&version(), at(200)), "taken within the time of the check");
    assert!(!proofs.may_serve(&version(), at(EXCUSED_MS)));
    let other = ModelVersion::new("m:1").expect("a valid name");
    assert!(proofs.may_serve(&other, at(EXCUSED_MS)));
}

/// Guards against a second check that passes only because the corrupt chunk was staged again.
#[rstest]
#[case::of_the_load(3, false)]
#[case::of_other_layers(CHUNKS, true)]
fn a_later_check_proves_nothing_once_a_chunk_was_staged(
    #[case] staged: usize,
    #[case] is_proved: bool,
) {
    let mut proofs = ordered();
    assert!(!proofs.order_answered(&version(), at(EXCUSED_MS)));
    write(&mut proofs, staged);
    assert_eq!(proofs.chunks_intact(&version(), &(0..CHUNKS)), is_proved);
    assert_eq!(proofs.may_serve(&version(), at(60_000)), is_proved);
}

/// Guards against a new order, answered in time, that hides an older one that was taken too late.
#[rstest]
fn another_order_does_not_prove_a_refuted_load() {
    let mut proofs = ordered();
    write(&mut proofs, 0);
    order(&mut proofs, 0..CHUNKS, at(5_000));
    assert!(!proofs.order_answered(&version(), at(5_100)));
    proofs.holds_nothing(&version(), Some(2), at(6_000));
    order(&mut proofs, 0..CHUNKS, at(6_000));
    assert!(proofs.order_answered(&version(), at(6_100)), "the engine held nothing of it");
}

/// Guards against a check of some layers that proves the load of all.
#[rstest]
#[case::of_all(0..CHUNKS, true)]
#[case::of_a_half(0..CHUNKS / 2, false)]
fn a_check_proves_only_the_chunks_that_it_read(
    #[case] checked: Range<usize>,
    #[case] is_proved: bool,
) {
    let mut proofs = ordered();
    assert_eq!(proofs.chunks_intact(&version(), &checked), is_proved);

    let mut proofs = ordered();
    order(&mut proofs, checked, at(5_000));
    assert_eq!(proofs.order_answered(&version(), at(5_100)), is_proved);
}

/// Guards against a chunk of another version that a late write puts in place between the check and
/// the order.
#[rstest]
#[case::answered(Some(0), 100, true)]
#[case::unanswered(None, 100, false)]
#[case::unanswered_long_ago(None, 60_000, true)]
fn a_write_without_an_answer_calls_for_a_check_after_the_order(
    #[case] ended: Option<usize>,
    #[case] ordered_ms: u64,
    #[case] is_proved: bool,
) {
    let mut proofs = LoadProofs::default();
    proofs.write_sent(0, START);
    ended.into_iter().for_each(|index| proofs.write_ended(index));
    order(&mut proofs, 0..CHUNKS, at(ordered_ms));
    assert_eq!(proofs.order_answered(&version(), at(ordered_ms + 50)), is_proved);
    assert!(proofs.chunks_intact(&version(), &(0..CHUNKS)));
}

/// Guards against an order that takes effect after the engine was found without the version.
#[rstest]
#[case::not_accepted_yet(Some(0), false)]
#[case::later_order_accepted(Some(1), true)]
#[case::restarted(None, true)]
fn an_order_without_an_answer_may_take_effect_until_another_one(
    #[case] sequence: Option<u64>,
    #[case] is_over: bool,
) {
    let mut proofs = ordered();
    proofs.holds_nothing(&version(), sequence, at(2_000));
    write(&mut proofs, 0);
    assert_eq!(proofs.may_serve(&version(), at(5_000)), is_over);
}
