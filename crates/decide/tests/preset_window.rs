//! Compares two ways to distribute a change to all processes.
//!
//! Push: a process that receives the change applies and forwards it at once. Two-phase: all
//! processes prepare, and the switch is sent only after all have acknowledged, so that no
//! two processes are more than one revision apart. The test measures the time until the
//! change is in force everywhere and the window in which endpoints answer under two
//! revisions.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const ENTRIES: usize = 9;
const AGENTS: usize = 20;
const HISTORIES: u64 = 1_000;

/// One-way delays, in microseconds.
const DELAY: std::ops::Range<u64> = 500..1_500;

/// Share of pushes dropped by a full queue and repaired by a heartbeat.
const LOST_SHARE: f64 = 0.02;
const HEARTBEAT: u64 = 250_000;

/// Duration of an entry's pause, and the timeout after which it counts as failed.
const PAUSE: u64 = 4_000_000;
const HEARTBEAT_TIMEOUT: u64 = 1_500_000;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Scheme {
    Push,
    TwoSteps,
}

/// Results of one change, in microseconds after it was accepted.
struct ChangeFigures {
    in_force: u64,
    window: u64,
}

/// Arrival time of a message sent at `at`, with the next heartbeat if it is dropped.
fn arrival(at: u64, rng: &mut SmallRng) -> u64 {
    let delayed = at + rng.random_range(DELAY);
    if rng.random_bool(LOST_SHARE) { delayed + rng.random_range(0..HEARTBEAT) } else { delayed }
}

/// When each process switches if the first one does at `start`, entries first.
fn spread(start: u64, paused: Option<usize>, rng: &mut SmallRng) -> Vec<u64> {
    let mut times = vec![u64::MAX; ENTRIES + AGENTS];
    times[0] = start;
    let mut left: Vec<_> = (0..ENTRIES).collect();
    while let Some(next) = left.iter().copied().min_by_key(|entry| times[*entry]) {
        left.retain(|entry| *entry != next);
        if Some(next) == paused {
            times[next] = times[next].max(PAUSE);
        }
        for other in 0..times.len() {
            times[other] = times[other].min(arrival(times[next], rng));
        }
    }
    times
}

fn change(seed: u64, scheme: Scheme, one_paused: bool) -> ChangeFigures {
    let mut rng = SmallRng::seed_from_u64(seed);
    let paused = one_paused.then_some(ENTRIES - 1);
    let start = match (scheme, paused) {
        (Scheme::Push, _) => 0,
        (Scheme::TwoSteps, Some(_)) => HEARTBEAT_TIMEOUT,
        (Scheme::TwoSteps, None) => {
            let answers = (1..ENTRIES + AGENTS).map(|_| {
                let requested_at = arrival(0, &mut rng);
                arrival(requested_at, &mut rng)
            });
            answers.max().unwrap_or_default()
        }
    };
    let times = spread(start, paused, &mut rng);
    let running = (0..times.len()).filter(|process| Some(*process) != paused);
    let in_force = running.map(|process| times[process]).max().unwrap_or_default();
    // An endpoint refuses the old revision once it has received the new one, from a push or
    // from a request routed under it.
    let first_request: Vec<_> = (0..AGENTS)
        .map(|_| (0..ENTRIES).map(|entry| times[entry] + rng.random_range(DELAY)).min())
        .collect();
    let first_new = first_request.iter().flatten().min().copied().unwrap_or_default();
    let last_old = (0..AGENTS)
        .filter_map(|agent| first_request[agent].map(|first| first.min(times[ENTRIES + agent])))
        .max()
        .unwrap_or_default();
    ChangeFigures { in_force, window: last_old.saturating_sub(first_new) }
}

fn percentiles(mut values: Vec<u64>) -> [u64; 2] {
    values.sort_unstable();
    [values[values.len() / 2], values[values.len() - 1]]
}

/// Two phases would justify their additional round trip only if they narrowed the window in
/// which callers are answered under two presets; they do not.
#[rstest]
fn two_steps_take_longer_and_do_not_narrow_the_window(#[values(false, true)] one_paused: bool) {
    let measure = |scheme| {
        let all: Vec<_> = (0..HISTORIES).map(|seed| change(seed, scheme, one_paused)).collect();
        let in_force = percentiles(all.iter().map(|figures| figures.in_force).collect());
        let window = percentiles(all.iter().map(|figures| figures.window).collect());
        println!(
            "{scheme:?}, one paused {one_paused}: in force {in_force:?} window {window:?} (p50, max; µs)"
        );
        (in_force, window)
    };
    let (push_force, push_window) = measure(Scheme::Push);
    let (two_force, two_window) = measure(Scheme::TwoSteps);
    assert!(push_force[0] < two_force[0]);
    assert!(push_window[0] * 9 < two_window[0] * 10, "two steps narrow the window");
}
