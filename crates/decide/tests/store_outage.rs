//! Compares ways to run keyed requests while the table service is down, in a seeded model.
//!
//! There are three replicas of a plain service, and the table service is down for two thirds
//! of the time. In every history one replica fails and restarts, and one is paused during
//! its work. Callers whose answer is lost or unknown retry with the same key. The model is
//! simpler than the production code: it compares rules, while `keyed_history` checks the
//! code.

use std::collections::{HashMap, HashSet};

use rand::{Rng, SeedableRng, rngs::SmallRng};

const REPLICAS: usize = 3;
const SPAN_MS: u64 = 60_000;
const OUTAGE: std::ops::Range<u64> = 10_000..50_000;
const RUN_MS: u64 = 40;
const PAUSE_MS: u64 = 6_000;
const RESTART_MS: u64 = 2_000;
const RETRY_MS: u64 = 700;
const MAX_REQUESTS: u32 = 4;
/// Time after the outage within which callers without an answer retry.
const LATE_MS: u64 = 10_000;
const HISTORIES: u64 = 150;

/// Rule that decides which replica may run a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimRule {
    /// The replica that inserts the key's row first; none while the store is down.
    Claims,
    /// The key's home replica while its lease is valid, from memory if necessary.
    HomeLease { life_ms: u64 },
    /// The home replica that holds a group of keys until it releases them.
    GroupClaims,
    /// The process that issued the caller's ticket, which is part of the key.
    Tickets,
}

#[derive(Debug, Default)]
struct Tally {
    requested: u32,
    served: u32,
    doubles: u32,
}

impl Tally {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requested)
    }
}

/// A replica's process.
#[derive(Debug, Default, Clone)]
struct Replica {
    incarnation: u64,
    down_until: u64,
    paused: std::ops::Range<u64>,
    memory: HashSet<usize>,
}

#[derive(Debug, Clone, Copy)]
struct HomeSlot {
    holder: usize,
    incarnation: u64,
    until: u64,
}

struct Sale {
    key: usize,
    next_request_at: u64,
    requests: u32,
    ticket: Option<(usize, u64)>,
    in_outage: bool,
}

struct Model {
    rule: ClaimRule,
    rng: SmallRng,
    replicas: Vec<Replica>,
    homes: Vec<HomeSlot>,
    rows: HashSet<usize>,
    runs: HashMap<usize, u32>,
    effects: Vec<(u64, usize)>,
}

impl Model {
    fn new(rule: ClaimRule, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let pause = rng.random_range(0..SPAN_MS);
        let mut replicas = vec![Replica::default(); REPLICAS];
        replicas[rng.random_range(0..REPLICAS)].paused = pause..pause + PAUSE_MS;
        let until = match rule {
            ClaimRule::HomeLease { life_ms } => life_ms,
            ClaimRule::Claims | ClaimRule::GroupClaims | ClaimRule::Tickets => u64::MAX,
        };
        let slot = |holder| HomeSlot { holder, incarnation: 0, until };
        Self {
            rule,
            rng,
            replicas,
            homes: (0..REPLICAS).map(slot).collect(),
            rows: HashSet::new(),
            runs: HashMap::new(),
            effects: Vec::new(),
        }
    }

    fn store_is_up(now: u64) -> bool {
        !OUTAGE.contains(&now)
    }

    fn answers(&self, replica: usize, now: u64) -> bool {
        let replica = &self.replicas[replica];
        now >= replica.down_until && !replica.paused.contains(&now)
    }

    /// Renews leases and takes over expired ones.
    fn keep_leases(&mut self, now: u64) {
        let ClaimRule::HomeLease { life_ms } = self.rule else {
            return;
        };
        for index in 0..REPLICAS {
            let slot = self.homes[index];
            let is_own = self.replicas[slot.holder].incarnation == slot.incarnation;
            if Self::store_is_up(now)
                && is_own
                && self.answers(slot.holder, now)
                && now < slot.until
            {
                self.homes[index].until = now + life_ms;
            } else if Self::store_is_up(now) && now >= slot.until {
                let next = (slot.holder + 1) % REPLICAS;
                let incarnation = self.replicas[next].incarnation;
                self.homes[index] = HomeSlot { holder: next, incarnation, until: now + life_ms };
            }
        }
    }

    /// The replica that may run the sale now under the rule.
    fn runner(&mut self, sale: &mut Sale, now: u64) -> Option<usize> {
        match self.rule {
            ClaimRule::Claims => {
                let start = self.rng.random_range(0..REPLICAS);
                let mut all = (start..start + REPLICAS).map(|replica| replica % REPLICAS);
                let up = Self::store_is_up(now) && !self.rows.contains(&sale.key);
                all.find(|replica| up && self.answers(*replica, now))
            }
            ClaimRule::HomeLease { .. } | ClaimRule::GroupClaims => {
                let slot = self.homes[sale.key % REPLICAS];
                let is_own = self.replicas[slot.holder].incarnation == slot.incarnation;
                let may = is_own && now < slot.until && self.answers(slot.holder, now);
                let known = self.replicas[slot.holder].memory.contains(&sale.key)
                    || Self::store_is_up(now) && self.rows.contains(&sale.key);
                (may && !known).then_some(slot.holder)
            }
            ClaimRule::Tickets => {
                let (replica, incarnation) = match sale.ticket {
                    Some(ticket) => ticket,
                    None => {
                        let replica = (0..REPLICAS)
                            .find(|replica| self.answers((sale.key + replica) % REPLICAS, now))?;
                        let replica = (sale.key + replica) % REPLICAS;
                        (replica, self.replicas[replica].incarnation)
                    }
                };
                sale.ticket = Some((replica, incarnation));
                let is_own = self.replicas[replica].incarnation == incarnation;
                let known = self.replicas[replica].memory.contains(&sale.key);
                (is_own && !known && self.answers(replica, now)).then_some(replica)
            }
        }
    }

    /// Whether a recorded or remembered answer can be returned.
    fn is_answered(&self, sale: &Sale, now: u64) -> bool {
        let ran = self.runs.contains_key(&sale.key);
        let recorded = Self::store_is_up(now) && self.rows.contains(&sale.key);
        let remembered =
            self.replicas.iter().enumerate().any(|(index, replica)| {
                replica.memory.contains(&sale.key) && self.answers(index, now)
            });
        ran && (recorded || remembered && self.rule != ClaimRule::Claims)
    }

    /// One request; returns whether the caller has its answer.
    fn send_request(&mut self, sale: &mut Sale, now: u64) -> bool {
        let lost = self.rng.random_bool(0.02);
        if self.is_answered(sale, now) {
            return !lost;
        }
        let Some(replica) = self.runner(sale, now) else {
            return false;
        };
        let pause = self.replicas[replica].paused.clone();
        let effect = now + RUN_MS / 2;
        // A pause between the last check and the effect delays the effect.
        let effect = if pause.contains(&effect) { pause.end } else { effect };
        self.effects.push((effect, sale.key));
        self.replicas[replica].memory.insert(sale.key);
        if Self::store_is_up(now) {
            self.rows.insert(sale.key);
        }
        let dies = self.replicas[replica].down_until > now;
        effect < now + RUN_MS && !dies && !lost
    }

    fn run(mut self) -> Tally {
        let dying = self.rng.random_range(0..REPLICAS);
        let dies_at = self.rng.random_range(0..SPAN_MS);
        let mut sales: Vec<_> = (0..SPAN_MS / 50)
            .map(|number| Sale {
                key: number as usize,
                next_request_at: number * 50,
                requests: 0,
                ticket: None,
                in_outage: OUTAGE.contains(&(number * 50)),
            })
            .collect();
        let requested = sales.iter().filter(|sale| sale.in_outage).count() as u32;
        let mut tally = Tally { requested, ..Tally::default() };
        for now in (0..SPAN_MS + LATE_MS + 5_000).step_by(20) {
            if now / 20 == dies_at / 20 {
                let replica = &mut self.replicas[dying];
                replica.incarnation += 1;
                replica.down_until = now + RESTART_MS;
                replica.memory.clear();
            }
            self.keep_leases(now);
            let (due, later) = self.effects.iter().partition(|(at, _)| *at <= now);
            self.effects = later;
            let due: Vec<(u64, usize)> = due;
            for (_, key) in due {
                *self.runs.entry(key).or_default() += 1;
            }
            for sale in
                sales.iter_mut().filter(|s| s.next_request_at <= now && s.requests < MAX_REQUESTS)
            {
                if self.send_request(sale, now) {
                    tally.served += u32::from(sale.in_outage && OUTAGE.contains(&now));
                    sale.requests = MAX_REQUESTS;
                } else {
                    sale.requests += 1;
                    sale.next_request_at = now + RETRY_MS;
                    if sale.requests + 1 == MAX_REQUESTS {
                        let late = self.rng.random_range(0..LATE_MS);
                        sale.next_request_at = sale.next_request_at.max(OUTAGE.end) + late;
                    }
                }
            }
        }
        tally.doubles = self.runs.values().map(|runs| runs - 1).sum();
        tally
    }
}

fn measure(rule: ClaimRule) -> Tally {
    let mut sum = Tally::default();
    for seed in 0..HISTORIES {
        let tally = Model::new(rule, seed).run();
        sum.requested += tally.requested;
        sum.served += tally.served;
        sum.doubles += tally.doubles;
    }
    println!(
        "{rule:?}: {:.4} of the sales in the outage served, {} doubles",
        sum.served_share(),
        sum.doubles
    );
    sum
}

/// A way to keep selling during a long outage is only useful if no seat is sold twice. A
/// lease that outlives the outage fails this: the next holder does not know what the failed
/// one sold from memory.
#[test]
fn leases_can_sell_twice_and_tickets_survive_a_store_outage() {
    let claims = measure(ClaimRule::Claims);
    let short = measure(ClaimRule::HomeLease { life_ms: 3_000 });
    let outage = measure(ClaimRule::HomeLease { life_ms: 42_000 });
    let long = measure(ClaimRule::HomeLease { life_ms: 90_000 });
    let groups = measure(ClaimRule::GroupClaims);
    let tickets = measure(ClaimRule::Tickets);
    assert_eq!(claims.doubles, 0);
    assert_eq!(tickets.doubles, 0);
    assert_eq!(groups.doubles, 0);
    assert!(outage.doubles > 0);
    assert!(tickets.served_share() > 0.9 && claims.served_share() < 0.1);
    assert!(groups.served_share() < tickets.served_share());
    assert!(long.served_share() > short.served_share());
}
