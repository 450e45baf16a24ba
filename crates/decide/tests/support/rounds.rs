//! A round-based simulation of the chunk selection, without network or processes.
//!
//! In one round each agent's link carries one chunk in and one out, and the origin's link
//! carries two out. Sources queue fetches, and announcements arrive one round later. The
//! seed determines everything.

use std::collections::{HashMap, VecDeque};

use cassiawheel_decide::{
    ChunkPicker, ChunkSource, FetchFailure, FetchOrder, LayerHalf, PickerSettings,
};
use cassiawheel_model::{InstanceId, ManifestDigest, Timestamp};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

/// Duration of a round, in milliseconds of the pickers' clock.
pub const ROUND_MS: u64 = 20;
/// Chunks that the origin sends in a round.
pub const ORIGIN_RATE: usize = 2;
/// Latency of fetches from peers above which their concurrency is reduced, in milliseconds.
const QUEUE_MS: u64 = 350;
/// Rounds between two announcements of all chunks that an agent holds.
const REPEAT_ROUNDS: usize = 40;
/// Rounds after which an unfinished run is aborted.
const LONGEST_FACTOR: usize = 20;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct RoundPlan {
    pub agents: usize,
    pub chunks: usize,
    pub seed: u64,
    /// Additional copies that may be fetched from the origin.
    pub extra_copies: f64,
    /// Probability that a chunk arrives corrupt.
    pub corrupt: f64,
    pub faults: Vec<RoundFault>,
    /// Agents that hold all chunks at the start.
    pub full_holders: usize,
    /// Rounds in which the origin sends nothing.
    pub origin_down: std::ops::Range<usize>,
    /// Chunks that the origin sends in a round.
    pub origin_rate: usize,
    /// Link profile of the agents.
    pub profile: LinkProfile,
    /// Layers of the model; with more than one, each agent fetches half of them first.
    pub layers: u32,
}

/// Settings of all agents for one link speed.
#[derive(Debug, Clone, Copy)]
pub struct LinkProfile {
    /// Transmission time of a chunk on a link, in milliseconds of the pickers' clock.
    pub round_ms: u64,
    /// Limit of an agent's concurrent fetches from peers.
    pub max_peer_fetches: usize,
    /// Limit of uploads queued at one agent.
    pub upload_slots: usize,
    /// Whether fetches from the origin are scheduled and concurrency falls with congestion.
    pub in_turns: bool,
}

/// Fast links, and an origin that serves all agents concurrently.
const WIDE: LinkProfile =
    LinkProfile { round_ms: ROUND_MS, max_peer_fetches: 8, upload_slots: 32, in_turns: false };

impl RoundPlan {
    pub fn new(agents: usize, chunks: usize, seed: u64) -> Self {
        Self {
            agents,
            chunks,
            seed,
            extra_copies: 0.0,
            corrupt: 0.0,
            faults: Vec::new(),
            full_holders: 0,
            origin_down: 0..0,
            origin_rate: ORIGIN_RATE,
            profile: WIDE,
            layers: 0,
        }
    }
}

/// A fault of one agent.
#[derive(Debug, Clone, Copy)]
pub enum RoundFault {
    /// The agent fails at this round, and its connections close.
    Dies { agent: usize, round: usize },
    /// The agent's link carries nothing from this round on, but its connections stay open.
    Stalls { agent: usize, round: usize },
    /// The agent announces all chunks and sends none.
    Lies { agent: usize },
    /// The agent starts at this round.
    Joins { agent: usize, round: usize },
}

/// Result of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoundResult {
    pub rounds: usize,
    /// Rounds until half of the agents held all chunks.
    pub half_rounds: usize,
    /// Rounds until half of the agents held all chunks that they fetch first.
    pub first_rounds: usize,
    pub bound: f64,
    pub origin_chunks: usize,
    pub chunks: usize,
    /// Largest number of copies of one chunk fetched from the origin.
    pub max_copies: usize,
    pub complete: bool,
    pub selections: u64,
    pub selection_ns: u64,
}

impl RoundResult {
    pub fn time_ratio(&self) -> f64 {
        self.rounds as f64 / self.bound
    }

    pub fn origin_copies(&self) -> f64 {
        self.origin_chunks as f64 / self.chunks as f64
    }
}

/// Lower bound of the rounds until all agents hold all chunks.
pub fn lower_bound(agents: usize, chunks: usize, origin_rate: usize) -> f64 {
    let (agents, chunks, origin) = (agents as f64, chunks as f64, origin_rate as f64);
    chunks.max(chunks / origin).max(agents * chunks / (agents + origin))
}

/// Rounds if every agent fetches all chunks from the origin.
pub fn all_from_origin(agents: usize, chunks: usize) -> usize {
    (agents * chunks).div_ceil(ORIGIN_RATE)
}

/// Rounds of a fixed tree: the origin feeds `ORIGIN_RATE` roots, every agent two others.
///
/// An agent with two children sends each chunk twice, so a level forwards one chunk in two
/// rounds.
pub fn fixed_tree(agents: usize, chunks: usize) -> usize {
    let (mut reached, mut width, mut levels) = (0, ORIGIN_RATE, 0);
    while reached < agents {
        reached += width;
        width *= 2;
        levels += 1;
    }
    2 * chunks + 2 * levels
}

#[derive(Debug, Clone)]
struct QueuedFetch {
    agent: usize,
    order: FetchOrder,
}

struct RoundAgent {
    picker: ChunkPicker,
    /// Chunks that it fetches first.
    first: std::ops::Range<usize>,
    name: InstanceId,
    running: bool,
    stalled: bool,
    lies: bool,
    upload: VecDeque<QueuedFetch>,
    gained: Vec<usize>,
    open_origin_fetches: Vec<usize>,
    waiting: HashMap<usize, FetchOrder>,
}

struct RoundBench {
    plan: RoundPlan,
    rng: SmallRng,
    agents: Vec<RoundAgent>,
    agent_index: HashMap<InstanceId, usize>,
    origin: VecDeque<QueuedFetch>,
    origin_sends: Vec<usize>,
    round: usize,
    selections: u64,
    selection_ns: u64,
}

/// Runs `plan` to its end.
pub fn run_rounds(plan: &RoundPlan) -> RoundResult {
    let mut bench = RoundBench::new(plan.clone());
    let bound = lower_bound(plan.agents, plan.chunks, plan.origin_rate);
    let longest = plan.chunks * LONGEST_FACTOR;
    let mut half_rounds = None;
    let mut first_rounds = None;
    while !bench.is_complete() && bench.round < longest {
        bench.run_round();
        if half_rounds.is_none() && bench.whole() * 2 >= plan.agents {
            half_rounds = Some(bench.round);
        }
        if first_rounds.is_none() && bench.first_whole() * 2 >= plan.agents {
            first_rounds = Some(bench.round);
        }
    }
    RoundResult {
        rounds: bench.round,
        half_rounds: half_rounds.unwrap_or(bench.round),
        first_rounds: first_rounds.unwrap_or(bench.round),
        bound,
        origin_chunks: bench.origin_sends.iter().sum(),
        chunks: plan.chunks,
        max_copies: bench.origin_sends.iter().copied().max().unwrap_or(0),
        complete: bench.is_complete(),
        selections: bench.selections,
        selection_ns: bench.selection_ns,
    }
}

impl RoundBench {
    fn new(plan: RoundPlan) -> Self {
        let agents: Vec<_> = (0..plan.agents).map(|agent| RoundAgent::new(&plan, agent)).collect();
        let names = agents.iter().map(|agent| agent.name.clone());
        let agent_index = names.enumerate().map(|(index, name)| (name, index)).collect();
        let mut bench = Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            agents,
            agent_index,
            origin: VecDeque::new(),
            origin_sends: vec![0; plan.chunks],
            round: 0,
            selections: 0,
            selection_ns: 0,
            plan,
        };
        for agent in 0..bench.agents.len() {
            if bench.agents[agent].running {
                bench.connect_peers(agent, 0..agent);
            }
        }
        bench
    }

    fn now(&self) -> Timestamp {
        Timestamp(1_000 + self.round as u64 * self.plan.profile.round_ms)
    }

    fn is_complete(&self) -> bool {
        let joins_later =
            self.plan.faults.iter().any(
                |fault| matches!(fault, RoundFault::Joins { round, .. } if *round > self.round),
            );
        let busy = self.agents.iter().any(RoundAgent::is_waiting);
        !joins_later && !busy
    }

    /// Agents that hold all chunks.
    fn whole(&self) -> usize {
        self.agents.iter().filter(|agent| agent.picker.missing() == 0).count()
    }

    /// Agents that hold all chunks that they fetch first.
    fn first_whole(&self) -> usize {
        let holds_first =
            |agent: &&RoundAgent| agent.picker.held_of(agent.first.clone()) == agent.first.len();
        self.agents.iter().filter(holds_first).count()
    }

    fn run_round(&mut self) {
        self.start_faults();
        let mut order: Vec<_> = (0..self.agents.len()).collect();
        order.shuffle(&mut self.rng);
        for agent in &order {
            self.time_out(*agent);
            self.request_chunks(*agent);
        }
        self.deliver(&order);
        self.round += 1;
        self.announce();
    }

    fn start_faults(&mut self) {
        for fault in self.plan.faults.clone() {
            match fault {
                RoundFault::Dies { agent, round } if round == self.round => self.end_agent(agent),
                RoundFault::Stalls { agent, round } if round == self.round => {
                    self.agents[agent].stalled = true;
                }
                RoundFault::Joins { agent, round } if round == self.round => {
                    self.agents[agent].running = true;
                    self.connect_peers(agent, 0..self.agents.len());
                }
                _ => {}
            }
        }
    }

    fn connect_peers(&mut self, joining: usize, others: std::ops::Range<usize>) {
        let now = self.now();
        for other in others {
            if other == joining || !self.agents[other].running {
                continue;
            }
            for (to, sender) in [(joining, other), (other, joining)] {
                let name = self.agents[sender].name.clone();
                let announced = self.agents[sender].announced_chunks();
                let picker = &mut self.agents[to].picker;
                picker.expect_peer(&name, now);
                picker.peer_connected(&name, now);
                picker.peer_holds(&name, announced, now);
                picker.peer_inventory_complete(&name);
            }
        }
    }

    fn end_agent(&mut self, agent: usize) {
        self.agents[agent].running = false;
        self.agents[agent].upload.clear();
        self.origin.retain(|fetch| fetch.agent != agent);
        let name = self.agents[agent].name.clone();
        for other in &mut self.agents {
            other.upload.retain(|fetch| fetch.agent != agent);
            other.picker.remove_peer(&name);
            let source = ChunkSource::Peer(name.clone());
            other.waiting.retain(|_, order| order.source != source);
        }
    }

    fn time_out(&mut self, agent: usize) {
        let now = self.now();
        let agent = &mut self.agents[agent];
        let mut late: Vec<_> =
            agent.waiting.values().filter(|order| order.deadline.is_past(now)).cloned().collect();
        late.sort_by_key(|order| order.index);
        for order in late {
            agent.waiting.remove(&order.index);
            agent.picker.fetch_failed(&order, FetchFailure::TimedOut, now);
        }
    }

    fn request_chunks(&mut self, agent: usize) {
        if !self.agents[agent].running || self.agents[agent].lies {
            return;
        }
        let now = self.now();
        // Refusals arrive within a fraction of a round, so a few fetches are retried.
        for _ in 0..4 * self.plan.profile.max_peer_fetches {
            let started_at = std::time::Instant::now();
            let order = self.agents[agent].picker.next(now, &mut self.rng);
            self.selection_ns += started_at.elapsed().as_nanos() as u64;
            self.selections += 1;
            let Some(order) = order else {
                return;
            };
            self.enqueue(agent, order, now);
        }
    }

    fn enqueue(&mut self, agent: usize, order: FetchOrder, now: Timestamp) {
        let fetch = QueuedFetch { agent, order: order.clone() };
        let ChunkSource::Peer(peer) = &order.source else {
            self.origin.push_back(fetch);
            self.agents[agent].waiting.insert(order.index, order);
            return;
        };
        let Some(source) = self.agent_index.get(peer) else {
            return;
        };
        let source = &mut self.agents[*source];
        if source.lies {
            self.agents[agent].picker.fetch_failed(&order, FetchFailure::Corrupt, now);
        } else if source.upload.len() >= self.plan.profile.upload_slots {
            self.agents[agent].picker.fetch_deferred(&order, now);
        } else {
            source.upload.push_back(fetch);
            self.agents[agent].waiting.insert(order.index, order);
        }
    }

    fn deliver(&mut self, order: &[usize]) {
        let mut can_receive: Vec<_> =
            self.agents.iter().map(|agent| agent.running && !agent.stalled).collect();
        if !self.plan.origin_down.contains(&self.round) {
            for _ in 0..self.plan.origin_rate {
                let Some(fetch) = take_deliverable(&mut self.origin, &can_receive, &self.agents)
                else {
                    break;
                };
                can_receive[fetch.agent] = false;
                self.origin_sends[fetch.order.index] += 1;
                self.complete_fetch(fetch);
            }
        }
        for source in order {
            if !self.agents[*source].running || self.agents[*source].stalled {
                continue;
            }
            let mut queue = std::mem::take(&mut self.agents[*source].upload);
            let fetch = take_deliverable(&mut queue, &can_receive, &self.agents);
            self.agents[*source].upload = queue;
            if let Some(fetch) = fetch {
                can_receive[fetch.agent] = false;
                self.complete_fetch(fetch);
            }
        }
    }

    fn complete_fetch(&mut self, fetch: QueuedFetch) {
        let corrupt = self.plan.corrupt > 0.0 && self.rng.random_bool(self.plan.corrupt);
        let now = Timestamp(self.now().0 + self.plan.profile.round_ms);
        let agent = &mut self.agents[fetch.agent];
        agent.waiting.remove(&fetch.order.index);
        if corrupt {
            agent.picker.fetch_failed(&fetch.order, FetchFailure::Corrupt, now);
        } else {
            agent.picker.fetch_succeeded(&fetch.order, now);
            agent.gained.push(fetch.order.index);
        }
    }

    fn announce(&mut self) {
        let now = self.now();
        let repeat = self.round.is_multiple_of(REPEAT_ROUNDS);
        for sender in 0..self.agents.len() {
            if !self.agents[sender].running || self.agents[sender].stalled {
                continue;
            }
            let gained = std::mem::take(&mut self.agents[sender].gained);
            let announced = if repeat { self.agents[sender].announced_chunks() } else { gained };
            let open_origin_fetches = self.agents[sender].picker.origin_fetches();
            let fetches_changed = open_origin_fetches != self.agents[sender].open_origin_fetches;
            self.agents[sender].open_origin_fetches.clone_from(&open_origin_fetches);
            if announced.is_empty() && !fetches_changed && !repeat {
                continue;
            }
            let name = self.agents[sender].name.clone();
            for (_, other) in self.agents.iter_mut().enumerate().filter(|(o, _)| *o != sender) {
                if !other.running || other.stalled {
                    continue;
                }
                other.picker.peer_holds(&name, announced.iter().copied(), now);
                if fetches_changed || repeat {
                    other.picker.set_peer_origin_fetches(&name, open_origin_fetches.clone(), now);
                }
            }
        }
    }
}

impl RoundAgent {
    fn new(plan: &RoundPlan, agent: usize) -> Self {
        let name = agent_name(agent);
        let profile = plan.profile;
        let turn_ms = profile.round_ms as f64 / plan.origin_rate as f64;
        let settings = PickerSettings {
            origin_chunk_ms: if profile.in_turns { turn_ms } else { 0.0 },
            queue_ms: if profile.in_turns { QUEUE_MS } else { 0 },
            rescue_ms: 0,
            in_origin_region: false,
            max_origin_fetches: 0,
            instance: name.clone(),
            stall_ms: 2_000,
            origin_step_ms: 500,
            max_fetches_per_peer: 2,
            max_peer_fetches: profile.max_peer_fetches,
            extra_copies: plan.extra_copies,
        };
        let mut picker = ChunkPicker::new(settings, plan.chunks, Timestamp(1_000));
        if agent < plan.full_holders {
            (0..plan.chunks).for_each(|index| picker.mark_held(index));
        }
        let first = first_chunks(plan, &name);
        if plan.layers > 1 {
            picker.prefer(first.clone());
        }
        let joins_later = |fault: &RoundFault| matches!(fault, RoundFault::Joins { agent: joining, .. } if *joining == agent);
        let lies = |fault: &RoundFault| matches!(fault, RoundFault::Lies { agent: liar } if *liar == agent);
        Self {
            picker,
            first,
            name,
            running: !plan.faults.iter().any(joins_later),
            stalled: false,
            lies: plan.faults.iter().any(lies),
            upload: VecDeque::new(),
            gained: Vec::new(),
            open_origin_fetches: Vec::new(),
            waiting: HashMap::new(),
        }
    }

    /// Whether the agent is running and still lacks chunks.
    fn is_waiting(&self) -> bool {
        self.running && !self.stalled && !self.lies && self.picker.missing() > 0
    }

    fn announced_chunks(&self) -> Vec<usize> {
        if self.lies {
            return (0..self.picker.missing()).collect();
        }
        self.picker.held().iter().collect()
    }
}

/// Chunks that the agent `own` fetches first; all of them if it has no preference.
fn first_chunks(plan: &RoundPlan, own: &InstanceId) -> std::ops::Range<usize> {
    let names: Vec<_> = (0..plan.agents).map(agent_name).collect();
    let manifest = ManifestDigest::from([7; 32]);
    let range = LayerHalf::first_of(manifest, own, names.iter()).range(plan.layers);
    range.map_or(0..plan.chunks, |range| range.chunks(plan.chunks, plan.layers))
}

fn agent_name(agent: usize) -> InstanceId {
    InstanceId::new(&format!("endpoint-{agent}")).expect("a valid name")
}

/// The first fetch in `queue` whose agent still waits for it and can receive in this round.
fn take_deliverable(
    queue: &mut VecDeque<QueuedFetch>,
    can_receive: &[bool],
    agents: &[RoundAgent],
) -> Option<QueuedFetch> {
    queue.retain(|fetch| agents[fetch.agent].waiting.get(&fetch.order.index) == Some(&fetch.order));
    let position = queue.iter().position(|fetch| can_receive[fetch.agent])?;
    queue.remove(position)
}
