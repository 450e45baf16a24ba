//! Demand for a service at each entry, and the share of its free slots that one entry may use.
//!
//! Callers are not spread evenly over the entries: an entry with more callers than the others would
//! refuse more of them if all entries got the same share. Each entry therefore measures its
//! first-time requests and gossips the rate; an entry's share is its part of the sum of all rates.
//! Each entry computes its own share, without agreement: with the same records all entries compute
//! shares whose sum is at most one.
//!
//! Where too few rates are known, or where they differ by no more than a tenth or than chance
//! explains, the even share applies. Rates are published only while the service is short of slots.

use std::collections::HashMap;

use cassiawheel_model::{Deadline, DemandRecord, Timestamp};

use crate::gossip::LinkId;

/// Time constant of the moving average that is published, in milliseconds.
const AVERAGE_MS: f64 = 1_000.0;

/// Time constant of the further average from which unevenness is detected, in milliseconds.
///
/// At 15 requests/s, averages over one second differ by a fifth by chance.
const TREND_MS: f64 = 4_000.0;

/// Interval between two published rates of an entry, in milliseconds.
///
/// Leaves 800 ms for the way of a record, which crosses a few links within 200 to 600 ms each.
const PUBLISH_INTERVAL_MS: u64 = 1_200;

/// Part of a service's slots in use from which its demand is published.
///
/// Shares matter only once less than a quarter of the slots is free; until then there is time to
/// tell unevenness from chance. Services that are not short of slots cause no control traffic.
const MIN_USED: f64 = 0.5;

/// Time for which demand is published after fewer slots are in use, in milliseconds.
const PUBLISH_TAIL_MS: u64 = 5_000;

/// Number of entries up to which demand is published.
///
/// Each record passes most links, so that the traffic of one entry grows with the number of entries;
/// at this number it is about 8 KB/s for each service that is short of slots.
const MAX_ENTRIES: usize = 64;

/// Age difference in milliseconds below which two records count as the same measurement, received
/// over different links.
const AGE_TOLERANCE_MS: u64 = 500;

/// Age from which a record does not count, in milliseconds.
const MAX_AGE_MS: u64 = 2_000;

/// Age up to which a record is kept so that a later one continues its trend, in milliseconds.
const RETENTION_MS: u64 = 10_000;

/// Maximum number of records.
const MAX_RECORDS: usize = 16_384;

/// Maximum number of records in one message.
const MAX_ROWS: usize = 512;

/// Highest ratio of two rates that count as equal.
const EVEN_RATIO: f64 = 1.1;

/// Standard deviations by which the variance of the rates must exceed the one by chance.
///
/// Fewer mistake the chance differences between some 30 entries for uneven demand.
const MIN_DEVIATIONS: f64 = 4.0;

/// Bounds of a share, as factors of the even one.
const MIN_FACTOR: f64 = 0.25;
const MAX_FACTOR: f64 = 4.0;

/// Rates of all entries, by service, as known to one entry.
#[derive(Debug)]
pub struct DemandTable {
    /// Hash of this entry's instance.
    own: u64,
    services: HashMap<u64, ServiceDemand>,
    changes: u64,
}

/// Rates of one service.
#[derive(Debug, Default)]
struct ServiceDemand {
    own: OwnDemand,
    /// Until when the rate is published.
    publish_until: Option<Deadline>,
    /// Published rates by the hash of the entry's instance, this entry's included.
    records: HashMap<u64, KnownDemand>,
}

/// This entry's own rate.
#[derive(Debug, Default)]
struct OwnDemand {
    per_second: f64,
    sampled_at: Option<Timestamp>,
}

/// Published rate of an entry.
#[derive(Debug)]
struct KnownDemand {
    per_second: f32,
    trend: DemandTrend,
    measured_at: Timestamp,
    change: u64,
    /// Links that delivered the record; it is not sent back over them.
    sources: Vec<LinkId>,
}

/// Average of an entry's published rates.
#[derive(Debug, Clone, Copy)]
struct DemandTrend {
    per_second: f64,
    began_at: Timestamp,
}

/// What an entry has observed of a service since the previous sample.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandSample {
    /// First-time requests that arrived at this entry.
    pub requests: u64,
    /// Part of the slots of the service that is in use, by the last load reports.
    pub used: f64,
    /// Number of entries, this one included.
    pub entries: usize,
}

/// Share of the free slots of a service that an entry may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandShare {
    /// Fraction of the free slots; `None` if the even one applies.
    pub fraction: Option<f64>,
    /// Rule that determined the fraction.
    pub reason: ShareReason,
    /// First-time requests per second at this entry.
    pub own_per_second: f64,
    /// Mean of the known rates, this entry's included, in requests per second.
    pub mean_per_second: f64,
    /// Number of other entries with a recent record.
    pub records: usize,
    /// Number of entries, this one included.
    pub entries: usize,
}

/// Rule that determined a share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareReason {
    /// Too few other entries have a recent record.
    FewRecords,
    /// The rates differ by no more than a tenth or than chance explains.
    EvenDemand,
    /// The share is this entry's part of the demand.
    Demand,
    /// This entry's part of the demand is below the lower bound.
    LowerBound,
    /// This entry's part of the demand is above the upper bound.
    UpperBound,
}

impl ShareReason {
    /// Name of the reason in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FewRecords => "few-records",
            Self::EvenDemand => "even-demand",
            Self::Demand => "demand",
            Self::LowerBound => "lower-bound",
            Self::UpperBound => "upper-bound",
        }
    }
}

impl DemandShare {
    /// Share in relation to the even one.
    pub fn factor(&self) -> f64 {
        self.fraction.map_or(1.0, |fraction| fraction * self.entries as f64)
    }
}

impl OwnDemand {
    fn add(&mut self, requests: u64, now: Timestamp) {
        if let Some(sampled_at) = self.sampled_at {
            let elapsed_ms = now.0.saturating_sub(sampled_at.0) as f64;
            if elapsed_ms == 0.0 {
                // Without elapsed time there is no rate; the requests count as one impulse.
                self.per_second += requests as f64 * 1_000.0 / AVERAGE_MS;
                return;
            }
            let rate = requests as f64 * 1_000.0 / elapsed_ms;
            self.per_second += (rate - self.per_second) * (1.0 - (-elapsed_ms / AVERAGE_MS).exp());
        }
        self.sampled_at = Some(now);
    }
}

impl DemandTrend {
    /// Adds a rate that was measured `elapsed_ms` after the previous one.
    ///
    /// A trend that has just begun is the plain mean of its rates.
    fn add(&mut self, per_second: f64, elapsed_ms: u64, measured_at: Timestamp) {
        let elapsed_ms = elapsed_ms as f64;
        let span_ms = measured_at.0.saturating_sub(self.began_at.0) as f64 + AVERAGE_MS;
        let weight = (elapsed_ms / span_ms).max(1.0 - (-elapsed_ms / TREND_MS).exp());
        self.per_second += (per_second - self.per_second) * weight.min(1.0);
    }

    /// Duration in seconds over which the trend effectively counts requests.
    ///
    /// The variance of an exponential average of random arrivals is that of a count over twice its
    /// time constant.
    fn window_s(&self, now: Timestamp) -> f64 {
        let span_ms = now.0.saturating_sub(self.began_at.0) as f64;
        (2.0 * AVERAGE_MS + span_ms).min(2.0 * (AVERAGE_MS + TREND_MS)) / 1_000.0
    }
}

impl KnownDemand {
    fn is_recent(&self, now: Timestamp) -> bool {
        self.age_ms(now) < MAX_AGE_MS
    }

    fn age_ms(&self, now: Timestamp) -> u64 {
        now.0.saturating_sub(self.measured_at.0)
    }
}

impl ServiceDemand {
    /// Replaces the record of `instance` and continues its trend.
    fn publish(&mut self, instance: u64, mut record: KnownDemand) {
        if let Some(known) = self.records.get(&instance) {
            let elapsed_ms = record.measured_at.0.saturating_sub(known.measured_at.0);
            record.trend = known.trend;
            record.trend.add(f64::from(record.per_second), elapsed_ms, record.measured_at);
        }
        self.records.insert(instance, record);
    }
}

impl DemandTable {
    /// Creates the table of the entry with this hash.
    pub fn new(own: u64) -> Self {
        Self { own, services: HashMap::new(), changes: 0 }
    }

    /// Adds a sample of a service, and publishes the rate when that is due.
    pub fn add_own(&mut self, service: u64, sample: DemandSample, now: Timestamp) {
        let (own, change) = (self.own, self.changes + 1);
        let demand = self.services.entry(service).or_default();
        demand.own.add(sample.requests, now);
        if sample.used >= MIN_USED {
            demand.publish_until = Some(Deadline(now.0 + PUBLISH_TAIL_MS));
        }
        let is_short = demand.publish_until.is_some_and(|until| !until.is_past(now));
        let published_at = demand.records.get(&own).map(|known| known.measured_at);
        let is_due = published_at.is_none_or(|at| now.0 >= at.0 + PUBLISH_INTERVAL_MS);
        if is_short && is_due && sample.entries <= MAX_ENTRIES {
            let record = known_demand(demand.own.per_second as f32, now, change, None);
            demand.publish(own, record);
            self.changes = change;
        }
    }

    /// Merges a record; true if it is newer than the known one.
    pub fn merge(&mut self, record: DemandRecord, source: LinkId, now: Timestamp) -> bool {
        let age_ms = u64::from(record.age_ms);
        let is_valid = record.per_second.is_finite() && record.per_second >= 0.0;
        if record.instance_hash == self.own || !is_valid || age_ms >= MAX_AGE_MS {
            return false;
        }
        let measured_at = Timestamp(now.0.saturating_sub(age_ms));
        let has_room = self.len() < MAX_RECORDS;
        let demand = self.services.get_mut(&record.service_hash);
        match demand.and_then(|demand| demand.records.get_mut(&record.instance_hash)) {
            Some(known) if measured_at.0 <= known.measured_at.0 + AGE_TOLERANCE_MS => {
                if !known.sources.contains(&source) {
                    known.sources.push(source);
                }
                return false;
            }
            None if !has_room => return false,
            Some(_) | None => {}
        }
        self.changes += 1;
        let known = known_demand(record.per_second, measured_at, self.changes, Some(source));
        let demand = self.services.entry(record.service_hash).or_default();
        demand.publish(record.instance_hash, known);
        true
    }

    /// Records to send over `link`, and the change number up to which it is current afterwards.
    ///
    /// If one message cannot hold them all, the oldest changes go first.
    pub fn rows_since(
        &self,
        cursor: u64,
        link: LinkId,
        now: Timestamp,
    ) -> (Vec<DemandRecord>, u64) {
        if cursor == self.changes {
            return (Vec::new(), cursor);
        }
        let records = self.services.iter().flat_map(|(service, demand)| {
            demand.records.iter().map(move |(instance, known)| (*service, *instance, known))
        });
        let is_due = |known: &KnownDemand| {
            known.change > cursor && known.is_recent(now) && !known.sources.contains(&link)
        };
        let mut due: Vec<_> = records.filter(|(.., known)| is_due(known)).collect();
        due.sort_unstable_by_key(|(.., known)| known.change);
        let is_truncated = due.len() > MAX_ROWS;
        due.truncate(MAX_ROWS);
        let last = due.last().map_or(cursor, |(.., known)| known.change);
        let cursor = if is_truncated { last } else { self.changes };
        let rows = due.into_iter().map(|(service_hash, instance_hash, known)| DemandRecord {
            instance_hash,
            service_hash,
            per_second: known.per_second,
            age_ms: known.age_ms(now) as u32,
        });
        (rows.collect(), cursor)
    }

    /// Share of this entry in the free slots of a service; `others` are the hashes of the other
    /// known entries.
    pub fn share(&self, service: u64, others: &[u64], now: Timestamp) -> DemandShare {
        let entries = others.len() + 1;
        let demand = self.services.get(&service);
        let own_per_second = demand.map_or(0.0, |demand| demand.own.per_second);
        let record = |instance: &u64| {
            let known = demand?.records.get(instance)?;
            known.is_recent(now).then_some(known)
        };
        let recent: Vec<_> = others.iter().filter_map(record).collect();
        let mut rates: Vec<_> = recent.iter().map(|known| f64::from(known.per_second)).collect();
        // The published rate is as old as those of the others. With the current one, a rise of all
        // rates would make each entry overestimate its part.
        let published = record(&self.own).map(|known| f64::from(known.per_second));
        let own_rate = published.unwrap_or(own_per_second);
        rates.push(own_rate);
        let mean_per_second = rates.iter().sum::<f64>() / rates.len() as f64;
        let share = DemandShare {
            fraction: None,
            reason: ShareReason::EvenDemand,
            own_per_second,
            mean_per_second,
            records: recent.len(),
            entries,
        };
        if recent.is_empty() || recent.len() * 2 < others.len() {
            return DemandShare { reason: ShareReason::FewRecords, ..share };
        }
        let trends = recent.iter().copied().chain(record(&self.own)).map(|known| known.trend);
        let trends: Vec<_> = trends.collect();
        if are_within_a_tenth(&rates) || is_explained_by_chance(&trends, now) {
            return share;
        }
        // An entry without a recent record gets the mean, so that the shares of the others do not
        // grow because of it.
        rates.resize(entries, mean_per_second);
        let fraction = own_rate * slots_per_rate(&rates);
        let even = 1.0 / entries as f64;
        let (fraction, reason) = match fraction {
            fraction if fraction < even * MIN_FACTOR => {
                (even * MIN_FACTOR, ShareReason::LowerBound)
            }
            fraction if fraction > even * MAX_FACTOR => {
                (even * MAX_FACTOR, ShareReason::UpperBound)
            }
            fraction => (fraction, ShareReason::Demand),
        };
        DemandShare { fraction: Some(fraction), reason, ..share }
    }

    /// Drops outdated records, and services that have none and were not sampled recently.
    pub fn expire(&mut self, now: Timestamp) {
        for demand in self.services.values_mut() {
            demand.records.retain(|_, known| known.age_ms(now) < RETENTION_MS);
        }
        self.services.retain(|_, demand| {
            let sampled_at = demand.own.sampled_at;
            let is_sampled = sampled_at.is_some_and(|at| now.0.saturating_sub(at.0) < RETENTION_MS);
            is_sampled || !demand.records.is_empty()
        });
    }

    /// Number of known records.
    pub fn len(&self) -> usize {
        self.services.values().map(|demand| demand.records.len()).sum()
    }

    /// Whether no record is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn known_demand(
    per_second: f32,
    measured_at: Timestamp,
    change: u64,
    source: Option<LinkId>,
) -> KnownDemand {
    let trend = DemandTrend { per_second: f64::from(per_second), began_at: measured_at };
    KnownDemand { per_second, trend, measured_at, change, sources: source.into_iter().collect() }
}

fn are_within_a_tenth(rates: &[f64]) -> bool {
    let lowest = rates.iter().copied().fold(f64::INFINITY, f64::min);
    let highest = rates.iter().copied().fold(0.0, f64::max);
    highest <= lowest * EVEN_RATIO
}

/// Whether the trends differ by no more than independent random arrivals at equal rates would, and
/// rates within a tenth of each other.
///
/// Compares the variance of the trends with that of such arrivals, whose variance equals their
/// number; its own standard deviation over `n` entries is the square root of `2 / n`.
fn is_explained_by_chance(trends: &[DemandTrend], now: Timestamp) -> bool {
    let count = trends.len() as f64;
    let mean = trends.iter().map(|trend| trend.per_second).sum::<f64>() / count;
    let deviations = trends.iter().map(|trend| (trend.per_second - mean).powi(2));
    let variance = deviations.sum::<f64>() / count;
    let by_chance = trends.iter().map(|trend| mean / trend.window_s(now)).sum::<f64>() / count;
    let tolerated = (mean * (EVEN_RATIO - 1.0) / 2.0).powi(2);
    variance <= by_chance * (1.0 + MIN_DEVIATIONS * (2.0 / count).sqrt()) + tolerated
}

/// Fraction of the slots for each request per second, so that the shares of all entries, raised to
/// the lower bound, add up to one.
fn slots_per_rate(rates: &[f64]) -> f64 {
    let lower_bound = MIN_FACTOR / rates.len() as f64;
    let mut per_rate = 1.0 / rates.iter().sum::<f64>();
    loop {
        // Raising the shares below the bound leaves less for the others, which may bring further
        // ones below it.
        let above = rates.iter().filter(|rate| **rate * per_rate >= lower_bound);
        let (above, sum) = above.fold((0, 0.0), |(count, sum), rate| (count + 1, sum + rate));
        let raised = (rates.len() - above) as f64;
        let next = (1.0 - raised * lower_bound) / sum;
        if next >= per_rate * (1.0 - f64::EPSILON * 4.0) {
            return per_rate;
        }
        per_rate = next;
    }
}
