//! Budget of buffered bytes.

use cassiawheel_decide::ByteBudget;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

const LIMIT: usize = 8 << 20;
const LARGE: usize = 1 << 20;
const SMALL: usize = 4 << 10;

/// Guards against small bodies that are refused behind large ones.
#[rstest]
fn a_part_is_kept_for_small_bodies() {
    let budget = ByteBudget::new(LIMIT);
    let mut held = Vec::new();
    loop {
        let mut large = budget.begin();
        if !large.grow(LARGE) {
            break;
        }
        held.push(large);
    }
    assert_eq!(held.len(), 7);
    let mut small = budget.begin();
    assert!(small.grow(SMALL));
    drop(held);
    assert_eq!(budget.used(), SMALL);
}

/// Guards against bytes that are never given back, and against more than the limit.
#[rstest]
fn the_account_is_exact() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let budget = ByteBudget::new(LIMIT);
        let mut held = Vec::new();
        for _ in 0..2_000 {
            match rng.random_range(0..3) {
                0 => held.push(budget.begin()),
                1 if !held.is_empty() => {
                    let index = rng.random_range(0..held.len());
                    held[index].grow(rng.random_range(0..2 * LARGE));
                }
                _ if !held.is_empty() => {
                    held.swap_remove(rng.random_range(0..held.len()));
                }
                _ => {}
            }
            assert!(budget.used() <= LIMIT);
        }
        drop(held);
        assert_eq!(budget.used(), 0, "seed {seed}");
    }
}

/// Guards against a body that waits for room that there never is.
#[rstest]
fn a_body_above_the_limit_never_fits() {
    let budget = ByteBudget::new(LIMIT);
    assert_eq!(budget.largest_body(), 7 * LARGE);
    assert!(budget.begin().grow(7 * LARGE));
    assert!(!budget.begin().grow(7 * LARGE + 1));
    assert_eq!(ByteBudget::new(1_000).largest_body(), 1_000);
}
