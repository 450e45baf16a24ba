//! Loads of staged chunks under pauses, corruption and lost answers, with simulated time.

use std::ops::Range;

use cassiawheel_decide::{LoadEnd, LoadProofs, LoadStep, VerifiedLoad};
use cassiawheel_model::{ModelVersion, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

const CHUNKS: usize = 6;

/// Time for which a chunk may have been corrupt when the engine takes it.
const EXCUSED_MS: u64 = 3_000;

/// Timeout of a call of the engine.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Time after the last trouble within which the endpoint must serve.
const RECOVERY_MS: u64 = 6_000;

/// An order on its way to the engine.
struct PendingOrder {
    accepted_at: u64,
    sequence: u64,
    is_drop: bool,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderAnswer {
    /// It has begun, or is in effect already.
    Accepted,
    /// The engine has accepted another order meanwhile.
    Refused,
    /// The call timed out or its answer was lost.
    None,
}

/// What may go wrong in a run.
#[derive(Clone, Copy)]
struct Trouble {
    pauses: bool,
    corruption: bool,
    lost_answers: bool,
    restarts: bool,
}

const NO_TROUBLE: Trouble =
    Trouble { pauses: false, corruption: false, lost_answers: false, restarts: false };

struct Simulation {
    seed: u64,
    rng: StdRng,
    trouble: Trouble,
    now: u64,
    /// Trouble ends at this time.
    calm_from: u64,
    bad_since: [Option<u64>; CHUNKS],
    /// Whether the held weights were taken while a chunk had been corrupt for too long.
    held: Option<bool>,
    sequence: u64,
    orders: Vec<PendingOrder>,
    accepted: usize,
    last_answer: OrderAnswer,
    proofs: LoadProofs,
    /// Last report of the agent, as its entries remember it.
    is_loading: bool,
    version: ModelVersion,
}

impl Simulation {
    fn new(seed: u64, trouble: Trouble) -> Self {
        Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            trouble,
            now: 1_000,
            calm_from: 30_000,
            bad_since: [None; CHUNKS],
            held: None,
            sequence: 0,
            orders: Vec::new(),
            accepted: 0,
            last_answer: OrderAnswer::None,
            proofs: LoadProofs::default(),
            is_loading: false,
            version: ModelVersion::new("m:2").expect("a valid name"),
        }
    }

    fn is_troubled(&self) -> bool {
        self.now < self.calm_from
    }

    fn happens(&mut self, is_possible: bool, probability: f64) -> bool {
        is_possible && self.is_troubled() && self.rng.random_bool(probability)
    }

    /// Lets `ms` pass, and sometimes a pause of the machine.
    fn pass(&mut self, ms: u64) {
        let pause = match self.happens(self.trouble.pauses, 0.08) {
            true => self.rng.random_range(100..10_000).min(self.calm_from - self.now),
            false => 0,
        };
        for _ in 0..ms + pause {
            self.now += 1;
            // Corruption is more frequent during a pause, so that short runs meet both.
            let probability = if pause > 0 { 0.000_3 } else { 0.000_05 };
            if self.happens(self.trouble.corruption, probability) {
                let index = self.rng.random_range(0..CHUNKS);
                let now = self.now;
                self.bad_since[index].get_or_insert(now);
            }
            self.accept_due();
        }
    }

    fn accept_due(&mut self) {
        let now = self.now;
        let (due, pending) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition::<Vec<_>, _>(|order| order.accepted_at <= now);
        self.orders = pending;
        for order in due {
            self.accept(&order);
        }
    }

    fn accept(&mut self, order: &PendingOrder) {
        self.last_answer = match order.sequence == self.sequence {
            true => OrderAnswer::Accepted,
            false => OrderAnswer::Refused,
        };
        let has_effect = self.held.is_some() == order.is_drop;
        if self.last_answer == OrderAnswer::Refused || !has_effect {
            return;
        }
        self.sequence += 1;
        self.accepted += 1;
        let is_old = |since: &u64| self.now - since > EXCUSED_MS;
        let is_bad = self.bad_since.iter().flatten().any(is_old);
        self.held = (!order.is_drop).then_some(is_bad);
    }

    /// Sends an order and waits for its answer.
    fn order(&mut self, is_drop: bool, sequence: u64) -> OrderAnswer {
        let delay = match self.happens(self.trouble.pauses, 0.1) {
            true => self.rng.random_range(1..6_000),
            false => 1,
        };
        let accepted_at = self.now + delay;
        self.orders.push(PendingOrder { accepted_at, sequence, is_drop });
        self.pass(delay.min(CALL_TIMEOUT_MS));
        let is_lost = delay > CALL_TIMEOUT_MS || self.happens(self.trouble.lost_answers, 0.1);
        if is_lost { OrderAnswer::None } else { self.last_answer }
    }

    fn read_chunks(&mut self) -> bool {
        let mut is_intact = true;
        for index in 0..CHUNKS {
            self.pass(2);
            is_intact &= self.bad_since[index].is_none();
        }
        self.pass(1);
        is_intact
    }

    fn repair_chunks(&mut self) {
        for index in 0..CHUNKS {
            self.pass(1);
            if self.bad_since[index].is_some() {
                self.proofs.write_sent(index, Timestamp(self.now));
                self.pass(5);
                self.bad_since[index] = None;
                self.proofs.write_ended(index);
            }
        }
    }

    /// Replaces the agent's process by one that knows what the entries remember.
    fn restart_agent(&mut self) {
        self.proofs = LoadProofs::default();
        if self.is_loading {
            self.proofs.distrust_held();
        }
    }

    /// Tries once to load the version; none if the agent is killed or the order is not accepted.
    fn load(&mut self) -> Option<LoadEnd> {
        self.is_loading = true;
        let chunks: Range<usize> = 0..CHUNKS;
        let mut load = VerifiedLoad::new(self.version.clone(), chunks);
        loop {
            self.pass(1);
            if self.happens(self.trouble.restarts, 0.05) {
                self.restart_agent();
                return None;
            }
            match load.step() {
                LoadStep::ReadReport => {
                    let (may_hold, sequence) = (self.held.is_some(), Some(self.sequence));
                    self.pass(1);
                    let now = Timestamp(self.now);
                    load.report_read(&mut self.proofs, may_hold, sequence, now);
                }
                LoadStep::CheckChunks => {
                    let begun_at = Timestamp(self.now);
                    let is_intact = self.read_chunks();
                    let now = Timestamp(self.now);
                    load.chunks_checked(&mut self.proofs, begun_at, now, is_intact);
                }
                LoadStep::SendOrder => {
                    let sequence = load.order_sent(&mut self.proofs, Timestamp(self.now));
                    let sequence = sequence.expect("the engine counts");
                    self.pass(1);
                    if self.order(false, sequence) != OrderAnswer::Accepted {
                        return None;
                    }
                    self.pass(1);
                    load.order_answered(&mut self.proofs, Timestamp(self.now));
                }
                LoadStep::DropLayers => {
                    self.order(true, self.sequence);
                    load.layers_dropped();
                }
                LoadStep::End(end) => return Some(end),
            }
        }
    }

    /// Loads until the version is served; returns when it is.
    fn run(&mut self) -> u64 {
        loop {
            if self.happens(self.trouble.restarts, 0.1) {
                self.restart_agent();
            }
            self.pass(1);
            let is_shown = self.proofs.may_serve(&self.version, Timestamp(self.now));
            if let Some(is_bad) = self.held.filter(|_| is_shown) {
                assert!(!is_bad, "corrupt weights are served, seed {}", self.seed);
                return self.now;
            }
            self.repair_chunks();
            let end = self.load();
            if end != Some(LoadEnd::Proved) {
                self.pass(100);
            }
            assert!(self.now < self.calm_from + RECOVERY_MS, "the version is never served");
        }
    }
}

/// Guards against answers from a chunk that had been corrupt for longer than is excused when the
/// engine took it, after pauses, lost answers and late orders at any step of a load.
#[rstest]
#[case::pauses(Trouble { pauses: true, corruption: true, ..NO_TROUBLE })]
#[case::lost_answers(Trouble { pauses: true, corruption: true, lost_answers: true, ..NO_TROUBLE })]
fn no_corrupt_weights_are_served(#[case] trouble: Trouble) {
    for seed in 0..4_000 {
        Simulation::new(seed, trouble).run();
    }
}

/// Guards against corrupt weights that a restarted agent adopts, as it does not know how its
/// engine came to hold them.
#[rstest]
fn a_restarted_agent_adopts_no_corrupt_weights() {
    let trouble = Trouble { pauses: true, corruption: true, lost_answers: true, restarts: true };
    for seed in 0..4_000 {
        Simulation::new(seed, trouble).run();
    }
}

/// Guards against loads that are repeated or refused without need.
#[rstest]
fn a_load_without_trouble_takes_one_order() {
    let mut simulation = Simulation::new(0, NO_TROUBLE);
    let served_at = simulation.run();
    assert_eq!(simulation.accepted, 1);
    assert!(served_at < 1_100, "{served_at}");
}

/// Guards against an endpoint that stays out of service after pauses alone.
#[rstest]
fn pauses_alone_end_no_service() {
    for seed in 0..500 {
        let trouble = Trouble { pauses: true, ..NO_TROUBLE };
        let mut simulation = Simulation::new(seed, trouble);
        simulation.run();
        assert_eq!(simulation.accepted, 1, "seed {seed}");
    }
}
