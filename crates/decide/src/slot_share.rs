//! Share of an overloaded service's slots that one entry may use.
//!
//! Where no gate protects the endpoints, every entry sees the same free slots in load reports that
//! are some hundred milliseconds old. If each entry used all of them, they would together send far
//! more than fits, and every answer would be late. An entry therefore keeps the slots that its own
//! requests held when the endpoints last reported, and adds only its part of those that were free.
//! The parts are even or follow the demand at each entry ([`crate::demand`]). If more was in flight
//! than fits, all entries give up the same fraction.

use cassiawheel_model::Timestamp;

/// Fraction of all slots that is divided among the entries when it is free. Slots beyond it are
/// open to every entry, so that callers who arrive at one entry at once are not refused.
const DIVIDED_FRACTION: f64 = 0.25;

/// Fraction of the slots that is left free for what entries cannot see of each other: an endpoint
/// that gets one request too many lets all those that come after it wait.
const HEADROOM_FRACTION: f64 = 1.0 / 12.0;

/// Interval at which the rounding of an entry's part changes, in milliseconds.
const ROUNDING_INTERVAL_MS: u64 = 200;

/// Spacing of the roundings of consecutive intervals; the golden ratio spreads them evenly.
const ROUNDING_STEP: f64 = 0.618_033_988_749_895;

/// An entry among those that use the same endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotCompetitor {
    /// Number of entries, this one included.
    entries: usize,
    /// Fraction of a slot that is added before rounding down.
    rounding: f64,
    /// Fraction of the free slots that this entry may use; `None` if all entries use the same.
    fraction: Option<f64>,
    /// Whether all free slots are divided, however many there are.
    divides_all: bool,
}

impl SlotCompetitor {
    /// An entry that has the endpoints for itself.
    pub const ALONE: Self = Self { entries: 1, rounding: 0.0, fraction: None, divides_all: false };

    /// One of `entries` entries. Their hashes make them round up at different times.
    pub fn new(entries: usize, instance_hash: u64, now: Timestamp) -> Self {
        let phase = instance_hash as f64 / u64::MAX as f64;
        let intervals = (now.0 / ROUNDING_INTERVAL_MS) as f64;
        let rounding = (phase + intervals * ROUNDING_STEP).fract();
        Self { entries: entries.max(1), rounding, fraction: None, divides_all: false }
    }

    /// The same entry with this fraction of the free slots; `None` for the even one.
    pub fn with_fraction(self, fraction: Option<f64>) -> Self {
        Self { fraction, ..self }
    }

    /// The same entry, with all free slots divided among the entries if `divides_all` is set.
    ///
    /// After an outage all entries have waiting callers, so that free slots beyond the divided
    /// fraction are needed by each of them.
    pub fn dividing_all(self, divides_all: bool) -> Self {
        Self { divides_all, ..self }
    }

    /// Fraction of the slots to leave free.
    fn headroom(&self) -> f64 {
        HEADROOM_FRACTION * (1.0 - 1.0 / self.entries as f64)
    }
}

/// Slots of one service as one entry sees them.
#[derive(Debug, Clone, Copy)]
pub struct SlotShare {
    competitor: SlotCompetitor,
    kept: f64,
    free: f64,
    total: f64,
}

impl SlotShare {
    /// Creates the share of an entry, without slots.
    pub fn new(competitor: SlotCompetitor) -> Self {
        Self { competitor, kept: 0.0, free: 0.0, total: 0.0 }
    }

    /// Adds slots that the entry may use whatever other entries do.
    pub fn add_reserved(&mut self, slots: u32) {
        self.kept += f64::from(slots);
    }

    /// Adds an endpoint with `limit` slots. By its last report, `own` requests of this entry and
    /// `others` of other entries were in flight there.
    pub fn add_endpoint(&mut self, limit: u32, own: u32, others: u32) {
        let limit = f64::from(limit) * (1.0 - self.competitor.headroom());
        let (own, others) = (f64::from(own), f64::from(others));
        let used = own + others;
        self.total += limit;
        if used > limit {
            self.kept += own * limit / used;
        } else {
            self.kept += own;
            self.free += limit - used;
        }
    }

    /// Requests that the entry may have in flight at all endpoints together; zero if there are no
    /// slots.
    pub fn capacity(&self) -> u32 {
        let part = match self.competitor.fraction {
            Some(fraction) => self.free * fraction,
            None => self.free / self.competitor.entries as f64,
        };
        let open = match self.competitor.divides_all {
            true => 0.0,
            false => self.free - self.total * DIVIDED_FRACTION,
        };
        let capacity = (self.kept + part.max(open) + self.competitor.rounding) as u32;
        // An entry that holds no slot would otherwise never get one from the others.
        capacity.max(u32::from(self.total > 0.0))
    }
}
