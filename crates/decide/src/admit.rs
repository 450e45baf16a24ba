//! Admission control of one service under overload.
//!
//! While capacity is free, a request is admitted with one atomic step. Beyond that, requests wait
//! in a bounded queue ordered by urgency, then by tier, then by the fair share of each workspace,
//! then by priority, then by arrival. Fair shares count the expected work of requests. Urgencies
//! are assigned by operators; the module `urgency_queue` describes how a less urgent request still
//! gets its turn. Priority is chosen by callers and ranks below the fair share, or one workspace
//! that marks all its requests as urgent would starve the others. Among requests of equal urgency,
//! first-time ones rank above all, because a request that was refused before has already missed its
//! latency target; a slot for it would make a first-time request miss its target too. A request that would wait too long is refused at once,
//! and a full queue sheds the lowest priority of the workspace with the most waiting requests.
//! Refused requests were not run.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
};

use cassiawheel_model::{Deadline, NotRunReason, PriorityClass, Timestamp, Urgency, WorkspaceId};

use crate::{
    request_work::RequestWork,
    urgency_queue::{GUARANTEED_FRACTION, UrgencyQueue, WaitingRequest},
};

/// Minimum length of a window over which the departure rate is measured, in milliseconds.
const WINDOW_MS: u64 = 200;

/// Properties of a request that admission depends on.
#[derive(Debug, Clone)]
pub struct AdmitTicket {
    /// Workspace whose fair share the request uses.
    pub workspace: WorkspaceId,
    /// Priority within the workspace; the lowest is shed first.
    pub priority: PriorityClass,
    /// Time after which the answer is useless.
    pub deadline: Deadline,
    /// Whether the caller was refused before.
    pub tier: AdmitTier,
}

/// Tier of a request; [`Self::Fresh`] is admitted before [`Self::Returned`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AdmitTier {
    /// First request of the caller.
    Fresh,
    /// The caller was refused before and has missed its latency target.
    Returned,
}

/// Result of admission for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitVerdict {
    /// The request may proceed and must be released later.
    Admitted,
    /// The request was refused and not run.
    Refused(NotRunReason),
}

/// Admission to one service at one entry; `T` is the handle of a waiting request.
#[derive(Debug)]
pub struct ServiceAdmission<T> {
    active: AtomicU32,
    waiting: AtomicU32,
    queue: Mutex<AdmitQueue<T>>,
}

/// Rank of a request beside its ticket; the default ranks all requests equally.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmitRank {
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Whether the request leaves the slots free that are reserved for more urgent ones.
    pub yields: bool,
    /// Work that counts for the fair share of the workspace.
    pub work: RequestWork,
}

impl Default for AdmitRank {
    fn default() -> Self {
        Self { urgency: Urgency::DEFAULT, yields: false, work: RequestWork::UNIT }
    }
}

/// Waiting requests of one service.
#[derive(Debug)]
struct AdmitQueue<T> {
    /// Queues of the urgencies that have occurred; at most ten.
    urgencies: BTreeMap<Urgency, UrgencyQueue<T>>,
    length: usize,
    max_length: usize,
    departures: DepartureRate,
}

/// Divisor of the capacity that is reserved for first-time requests.
///
/// At an offered load of a third above capacity, reserving an eighth answers 4 % more requests in
/// time and a fifth fewer late, with the same total. A quarter answers more in time there, but
/// refuses the callers that return together after an outage of some seconds.
const FRESH_RESERVE_DIVISOR: u32 = 8;

/// Divisor of the capacity that is reserved for all urgencies except the least urgent one. An entry
/// with fewer than six slots reserves none.
///
/// Reserved slots look idle to all entries at once, so that a larger reserve lets them use far more
/// slots than there are.
const URGENT_RESERVE_DIVISOR: u32 = 8;

impl AdmitTier {
    /// Slots of which a request of this tier may take one.
    fn limit(self, capacity: u32) -> u32 {
        match self {
            Self::Fresh => capacity,
            Self::Returned => capacity - capacity / FRESH_RESERVE_DIVISOR,
        }
    }
}

/// Slots of which a request may take one; `yields` as in [`AdmitRank`].
fn slot_limit(tier: AdmitTier, yields: bool, capacity: u32) -> u32 {
    let reserve = (capacity + URGENT_RESERVE_DIVISOR / 4) / URGENT_RESERVE_DIVISOR;
    let unreserved = if yields { capacity - reserve } else { capacity };
    tier.limit(capacity).min(unreserved)
}

/// Rate at which requests leave the queue, per millisecond.
#[derive(Debug)]
struct DepartureRate {
    window_start: Timestamp,
    count: u32,
    per_ms: Option<f64>,
}

impl<T> ServiceAdmission<T> {
    /// Creates an admission queue of at most `max_length` requests.
    pub fn new(max_length: usize) -> Self {
        Self {
            active: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            queue: Mutex::new(AdmitQueue::new(max_length)),
        }
    }

    /// Requests that were admitted and not yet released.
    pub fn active(&self) -> u32 {
        self.active.load(Ordering::Relaxed)
    }

    /// Requests in the queue.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Admits a request if a slot is free and the queue is empty.
    pub fn try_admit(&self, tier: AdmitTier, capacity: u32) -> bool {
        self.try_admit_ranked(tier, AdmitRank::default(), capacity)
    }

    /// Like [`Self::try_admit`], by rank.
    pub fn try_admit_ranked(&self, tier: AdmitTier, rank: AdmitRank, capacity: u32) -> bool {
        self.waiting.load(Ordering::SeqCst) == 0
            && self.take_slot(slot_limit(tier, rank.yields, capacity))
    }

    /// Queues a request. `notify` delivers a verdict and returns whether the receiver still waited.
    pub fn enqueue(
        &self,
        ticket: &AdmitTicket,
        handle: T,
        capacity: u32,
        now: Timestamp,
        notify: impl FnMut(T, AdmitVerdict) -> bool,
    ) {
        self.enqueue_ranked(ticket, AdmitRank::default(), handle, capacity, now, notify);
    }

    /// Like [`Self::enqueue`], by rank.
    pub fn enqueue_ranked(
        &self,
        ticket: &AdmitTicket,
        rank: AdmitRank,
        handle: T,
        capacity: u32,
        now: Timestamp,
        mut notify: impl FnMut(T, AdmitVerdict) -> bool,
    ) {
        let mut queue = self.lock();
        for (refused, reason) in queue.offer(ticket, rank, handle, now) {
            notify(refused, AdmitVerdict::Refused(reason));
        }
        self.waiting.store(queue.length as u32, Ordering::SeqCst);
        // A slot may have been released before this request became visible in the queue.
        self.fill(&mut queue, capacity, now, &mut notify);
    }

    /// Releases the slot of an admitted request and admits waiting ones.
    pub fn release(
        &self,
        capacity: u32,
        now: Timestamp,
        mut notify: impl FnMut(T, AdmitVerdict) -> bool,
    ) {
        self.active.fetch_sub(1, Ordering::SeqCst);
        if self.waiting.load(Ordering::SeqCst) > 0 {
            self.fill(&mut self.lock(), capacity, now, &mut notify);
        }
    }

    fn fill(
        &self,
        queue: &mut AdmitQueue<T>,
        capacity: u32,
        now: Timestamp,
        notify: &mut impl FnMut(T, AdmitVerdict) -> bool,
    ) {
        while let Some(urgency) = queue.next_urgency(capacity, |limit| self.take_slot(limit)) {
            if !queue.admit_next(urgency, now, notify) {
                self.active.fetch_sub(1, Ordering::SeqCst);
            }
        }
        self.waiting.store(queue.length as u32, Ordering::SeqCst);
    }

    fn take_slot(&self, capacity: u32) -> bool {
        let next = |active: u32| (active < capacity).then_some(active + 1);
        self.active.fetch_update(Ordering::SeqCst, Ordering::SeqCst, next).is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, AdmitQueue<T>> {
        self.queue.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

impl<T> AdmitQueue<T> {
    fn new(max_length: usize) -> Self {
        Self {
            urgencies: BTreeMap::new(),
            length: 0,
            max_length,
            departures: DepartureRate { window_start: Timestamp(0), count: 0, per_ms: None },
        }
    }

    /// Queues a request; returns the requests that are refused in exchange.
    fn offer(
        &mut self,
        ticket: &AdmitTicket,
        rank: AdmitRank,
        handle: T,
        now: Timestamp,
    ) -> Vec<(T, NotRunReason)> {
        // A request waits for at most half of its remaining time, so that a refused caller can
        // still try elsewhere.
        let max_wait = ticket.deadline.remaining(now) / 2;
        let give_up_at = now.deadline_after(max_wait);
        let more_urgent = self.urgencies.range(..rank.urgency);
        let more_urgent = more_urgent.map(|(_, queue)| queue.length()).sum::<usize>();
        let own = self.urgencies.entry(rank.urgency).or_default();
        own.count_offer(rank.yields, now);
        let mut refused = Vec::new();
        if more_urgent > 0 {
            // The urgency has few turns. Requests whose callers have given up would otherwise let
            // later ones be refused because of a long queue.
            let expired = own.take_expired(now);
            self.length -= expired.len();
            let expired = expired.into_iter().map(|request| request.handle);
            refused.extend(expired.map(|handle| (handle, NotRunReason::DeadlineTooClose)));
        }
        if self.expected_wait_ms(ticket, rank, more_urgent, now) >= max_wait.as_millis() as f64 {
            refused.push((handle, NotRunReason::DeadlineTooClose));
            return refused;
        }
        let request = WaitingRequest { handle, give_up_at, work: rank.work };
        self.urgencies.entry(rank.urgency).or_default().push(ticket, request);
        self.length += 1;
        if self.length > self.max_length {
            refused.extend(self.shed().map(|handle| (handle, NotRunReason::Overloaded)));
        }
        refused
    }

    /// Expected wait of a request: until all that are ahead of it have left, or until its urgency
    /// has got its guaranteed share that often, whichever is earlier.
    fn expected_wait_ms(
        &self,
        ticket: &AdmitTicket,
        rank: AdmitRank,
        more_urgent: usize,
        now: Timestamp,
    ) -> f64 {
        let own = self.urgencies.get(&rank.urgency).map_or(0, |queue| queue.ahead_of(ticket));
        let by_order = self.departures.expected_wait_ms((own + more_urgent) as f64);
        if more_urgent == 0 {
            return by_order;
        }
        let share = self.guaranteed_share(rank.urgency, now);
        by_order.min(self.departures.expected_wait_ms(own as f64 / share))
    }

    /// Fraction of the admitted requests that an urgency gets at least while its requests wait.
    fn guaranteed_share(&self, urgency: Urgency, now: Timestamp) -> f64 {
        let offered = |queue: &UrgencyQueue<T>| queue.offered(now);
        let all: f64 = self.urgencies.values().map(offered).sum();
        let own = self.urgencies.get(&urgency).map_or(0.0, offered);
        GUARANTEED_FRACTION * own / all.max(f64::MIN_POSITIVE)
    }

    /// Urgency whose first request is admitted next, once `take_slot` has taken a slot for it.
    ///
    /// An urgency that is owed a request comes first, whatever slots are reserved. Otherwise the
    /// most urgent one does that may take a slot.
    fn next_urgency(&self, capacity: u32, take_slot: impl Fn(u32) -> bool) -> Option<Urgency> {
        let mut waiting = self.urgencies.iter().filter(|(_, queue)| queue.length() > 0);
        let owed = waiting.clone().filter(|(_, queue)| queue.is_owed());
        let owed = owed.max_by(|(_, one), (_, other)| one.owed().total_cmp(&other.owed()));
        if let Some((urgency, _)) = owed {
            return take_slot(capacity).then_some(*urgency);
        }
        let next = waiting.find(|(_, queue)| {
            let limit = queue.next_tier().map(|tier| slot_limit(tier, queue.yields(), capacity));
            limit.is_some_and(&take_slot)
        });
        next.map(|(urgency, _)| *urgency)
    }

    /// Removes a request of the least urgent queue.
    ///
    /// The last request of an urgency remains while another has more, or a queue full of urgent
    /// requests would leave nothing of the others to which their guaranteed share could go.
    fn shed(&mut self) -> Option<T> {
        let least = |min_length: usize| {
            let mut queues = self.urgencies.iter().rev();
            queues.find(|(_, queue)| queue.length() >= min_length).map(|(urgency, _)| *urgency)
        };
        let urgency = least(2).or_else(|| least(1))?;
        let shed = self.urgencies.get_mut(&urgency)?.shed()?;
        self.length -= 1;
        Some(shed.handle)
    }

    /// Admits the next request of an urgency that has time left and whose receiver still waits.
    fn admit_next(
        &mut self,
        urgency: Urgency,
        now: Timestamp,
        notify: &mut impl FnMut(T, AdmitVerdict) -> bool,
    ) -> bool {
        while let Some(next) = self.pop(urgency) {
            if next.give_up_at.is_past(now) {
                notify(next.handle, AdmitVerdict::Refused(NotRunReason::DeadlineTooClose));
            } else if notify(next.handle, AdmitVerdict::Admitted) {
                self.departures.count(now);
                self.settle_shares(urgency, now);
                return true;
            }
        }
        false
    }

    fn pop(&mut self, urgency: Urgency) -> Option<WaitingRequest<T>> {
        let next = self.urgencies.get_mut(&urgency)?.pop()?;
        self.length -= 1;
        if self.length == 0 {
            self.urgencies.values_mut().for_each(UrgencyQueue::forget);
        }
        Some(next)
    }

    /// Adds the guaranteed share of one admission to every urgency that waits.
    fn settle_shares(&mut self, admitted: Urgency, now: Timestamp) {
        let all: f64 = self.urgencies.values().map(|queue| queue.offered(now)).sum();
        for (urgency, queue) in &mut self.urgencies {
            queue.settle(*urgency == admitted, all, now);
        }
    }
}

impl DepartureRate {
    fn count(&mut self, now: Timestamp) {
        self.count += 1;
        let span = now.since(self.window_start).as_millis() as u64;
        if span < WINDOW_MS {
            return;
        }
        // A window that spans an idle period does not measure the rate of a busy queue.
        if span < 2 * WINDOW_MS {
            self.per_ms = Some(f64::from(self.count) / span as f64);
        }
        self.window_start = now;
        self.count = 0;
    }

    /// Expected time until `ahead` requests have left, in milliseconds; zero before the first
    /// measurement.
    fn expected_wait_ms(&self, ahead: f64) -> f64 {
        self.per_ms.map_or(0.0, |per_ms| ahead / per_ms)
    }
}
