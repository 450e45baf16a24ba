//! Which requests may go on to an endpoint when there are more than fit.
//!
//! While there is room, a request passes with one atomic step. Beyond that,
//! requests wait in a bounded queue: by each workspace's fair share, then by
//! priority, then by arrival. Priority before share would let one workspace that
//! calls everything urgent starve the others. Before both goes whether its caller
//! asks for the first time: who was refused before has missed the aim, and a place
//! for that one would make a fresh request miss it too. A request that would wait too long
//! is refused at once, and a full queue sheds the lowest priority of the
//! workspace that has the most waiting. What is refused here was not run.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
};

use cassiawheel_model::{Deadline, NotRunReason, PriorityClass, Timestamp, WorkspaceId};

/// Longest time over which the rate of departures is measured, in milliseconds.
const WINDOW_MS: u64 = 200;

/// What admission needs to know of a request.
#[derive(Debug, Clone)]
pub struct AdmitTicket {
    /// Whose share it uses.
    pub workspace: WorkspaceId,
    /// Order of shedding.
    pub priority: PriorityClass,
    /// When its answer is of no more use.
    pub deadline: Deadline,
    /// Whether its caller asks for the first time.
    pub tier: AdmitTier,
}

/// Whether a caller asks for the first time; the first goes before the second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AdmitTier {
    /// It has asked nobody before.
    Fresh,
    /// It was refused before and has missed its aim.
    Returned,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitVerdict {
    /// It may go on, and has to be released later.
    Admitted,
    /// It was not run.
    Refused(NotRunReason),
}

/// Admission to one service at one entry; `T` is how a waiting request is reached.
#[derive(Debug)]
pub struct ServiceAdmission<T> {
    active: AtomicU32,
    waiting: AtomicU32,
    queue: Mutex<AdmitQueue<T>>,
}

/// Requests that wait.
#[derive(Debug)]
struct AdmitQueue<T> {
    workspaces: BTreeMap<QueueKey, WorkspaceQueue<T>>,
    length: usize,
    max_length: usize,
    /// Requests that each workspace got since the queue was last empty.
    served: HashMap<WorkspaceId, u64>,
    /// The share of the workspace that was served last.
    virtual_time: u64,
    departures: DepartureRate,
}

/// Part of the places that are kept free for callers that ask for the first time.
///
/// Where a third more callers come than there is room for, an eighth brings 4 in
/// 100 more answers in time and a fifth fewer late ones, and as many are answered.
/// A quarter brings more in time there, but refuses those that return together
/// after some seconds in which nobody was served.
const FRESH_RESERVE_DIVISOR: u32 = 8;

impl AdmitTier {
    /// Places of which a caller of this turn may take one.
    fn limit(self, capacity: u32) -> u32 {
        match self {
            Self::Fresh => capacity,
            Self::Returned => capacity - capacity / FRESH_RESERVE_DIVISOR,
        }
    }
}

/// Whose requests wait in a part of the queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    tier: AdmitTier,
    workspace: WorkspaceId,
}

impl QueueKey {
    fn of(ticket: &AdmitTicket) -> Self {
        Self { tier: ticket.tier, workspace: ticket.workspace.clone() }
    }
}

/// The waiting requests of one workspace and turn, by priority and arrival.
#[derive(Debug)]
struct WorkspaceQueue<T> {
    classes: BTreeMap<PriorityClass, VecDeque<WaitingRequest<T>>>,
    length: usize,
}

#[derive(Debug)]
struct WaitingRequest<T> {
    handle: T,
    give_up_at: Deadline,
}

/// How many requests leave the queue in a millisecond.
#[derive(Debug)]
struct DepartureRate {
    window_start: Timestamp,
    count: u32,
    per_ms: Option<f64>,
}

impl<T> ServiceAdmission<T> {
    /// An admission in which at most `most` requests wait.
    pub fn new(max_length: usize) -> Self {
        Self {
            active: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            queue: Mutex::new(AdmitQueue::new(max_length)),
        }
    }

    /// Requests that were admitted and not released yet.
    pub fn active(&self) -> u32 {
        self.active.load(Ordering::Relaxed)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Admits a request if there is room and nobody waits.
    pub fn try_admit(&self, tier: AdmitTier, capacity: u32) -> bool {
        self.waiting.load(Ordering::SeqCst) == 0 && self.take_slot(tier.limit(capacity))
    }

    /// Lets a request wait; `notify` tells verdicts and whether they were heard.
    pub fn enqueue(
        &self,
        ticket: &AdmitTicket,
        handle: T,
        capacity: u32,
        now: Timestamp,
        mut notify: impl FnMut(T, AdmitVerdict) -> bool,
    ) {
        let mut queue = self.lock();
        if let Some((shed, reason)) = queue.offer(ticket, handle, now) {
            notify(shed, AdmitVerdict::Refused(reason));
        }
        self.waiting.store(queue.length as u32, Ordering::SeqCst);
        // A place that was given back before this request was seen to wait.
        self.fill(&mut queue, capacity, now, &mut notify);
    }

    /// Gives a place back.
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
        while queue.next_tier().is_some_and(|tier| self.take_slot(tier.limit(capacity))) {
            if !queue.admit_next(now, notify) {
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
            workspaces: BTreeMap::new(),
            length: 0,
            max_length,
            served: HashMap::new(),
            virtual_time: 0,
            departures: DepartureRate { window_start: Timestamp(0), count: 0, per_ms: None },
        }
    }

    /// Takes a request in; gives back the one that is refused for it, if any.
    fn offer(
        &mut self,
        ticket: &AdmitTicket,
        handle: T,
        now: Timestamp,
    ) -> Option<(T, NotRunReason)> {
        // A request that is given up on gets its answer early, when its caller
        // can still go elsewhere: it waits for at most half of its time.
        let max_wait = ticket.deadline.remaining(now) / 2;
        let give_up_at = now.deadline_after(max_wait);
        let wait_ms = self.departures.expected_wait_ms(self.ahead_of(ticket));
        if wait_ms >= max_wait.as_millis() as f64 {
            return Some((handle, NotRunReason::DeadlineTooClose));
        }
        self.push(ticket, WaitingRequest { handle, give_up_at });
        if self.length > self.max_length {
            return self.shed().map(|handle| (handle, NotRunReason::Overloaded));
        }
        None
    }

    /// The turn of the request that is admitted next.
    fn next_tier(&self) -> Option<AdmitTier> {
        self.workspaces.first_key_value().map(|(key, _)| key.tier)
    }

    /// Requests that go before this one: all of an earlier turn, its workspace's of
    /// the same or a higher priority, and as many of each other workspace.
    fn ahead_of(&self, ticket: &AdmitTicket) -> usize {
        let own = self.workspaces.get(&QueueKey::of(ticket));
        let own = own.map_or(0, |queue| queue.ahead_of(ticket.priority));
        let others = self.workspaces.iter().filter(|(key, _)| key.workspace != ticket.workspace);
        let earlier = self.workspaces.iter().filter(|(key, _)| key.tier < ticket.tier);
        let others = others.filter(|(key, _)| key.tier == ticket.tier);
        own + earlier.map(|(_, queue)| queue.length).sum::<usize>()
            + others.map(|(_, queue)| queue.length.min(own + 1)).sum::<usize>()
    }

    fn push(&mut self, ticket: &AdmitTicket, request: WaitingRequest<T>) {
        // A workspace that was idle does not save its share up for a burst.
        let count = self.served.entry(ticket.workspace.clone()).or_insert(self.virtual_time);
        *count = (*count).max(self.virtual_time);
        let queue = self.workspaces.entry(QueueKey::of(ticket)).or_default();
        queue.classes.entry(ticket.priority).or_default().push_back(request);
        queue.length += 1;
        self.length += 1;
    }

    /// Takes out the newest request of the lowest priority of the workspace that
    /// has the most waiting, of those that have returned if there are any.
    fn shed(&mut self) -> Option<T> {
        let longest =
            self.workspaces.iter_mut().max_by_key(|(key, queue)| (key.tier, queue.length));
        let (key, queue) = longest?;
        let shed = queue.take_last()?;
        let key = key.clone();
        self.after_removal(&key);
        Some(shed.handle)
    }

    fn after_removal(&mut self, key: &QueueKey) {
        self.length -= 1;
        if self.workspaces.get(key).is_some_and(|queue| queue.length == 0) {
            self.workspaces.remove(key);
        }
    }

    /// Admits the next request that still has time and is still waiting.
    fn admit_next(
        &mut self,
        now: Timestamp,
        notify: &mut impl FnMut(T, AdmitVerdict) -> bool,
    ) -> bool {
        while let Some(next) = self.pop() {
            if next.give_up_at.is_past(now) {
                notify(next.handle, AdmitVerdict::Refused(NotRunReason::DeadlineTooClose));
            } else if notify(next.handle, AdmitVerdict::Admitted) {
                self.departures.count(now);
                return true;
            }
        }
        false
    }

    fn pop(&mut self) -> Option<WaitingRequest<T>> {
        let served = &self.served;
        let served_by = |name: &WorkspaceId| served.get(name).copied().unwrap_or_default();
        let waiting = self.workspaces.iter_mut();
        let least = waiting.min_by_key(|(key, _)| (key.tier, served_by(&key.workspace)));
        let (key, queue) = least?;
        let next = queue.take_first()?;
        let key = key.clone();
        self.after_removal(&key);
        let count = self.served.entry(key.workspace).or_default();
        self.virtual_time = self.virtual_time.max(*count);
        *count += 1;
        if self.length == 0 {
            self.served.clear();
            self.virtual_time = 0;
        }
        Some(next)
    }
}

impl<T> Default for WorkspaceQueue<T> {
    fn default() -> Self {
        Self { classes: BTreeMap::new(), length: 0 }
    }
}

impl<T> WorkspaceQueue<T> {
    fn ahead_of(&self, priority: PriorityClass) -> usize {
        self.classes.range(priority..).map(|(_, waiting)| waiting.len()).sum()
    }

    /// The oldest of the highest priority.
    fn take_first(&mut self) -> Option<WaitingRequest<T>> {
        let taken = self.classes.values_mut().rev().find_map(VecDeque::pop_front);
        self.length -= usize::from(taken.is_some());
        taken
    }

    /// The newest of the lowest priority.
    fn take_last(&mut self) -> Option<WaitingRequest<T>> {
        let taken = self.classes.values_mut().find_map(VecDeque::pop_back);
        self.length -= usize::from(taken.is_some());
        taken
    }
}

impl DepartureRate {
    fn count(&mut self, now: Timestamp) {
        self.count += 1;
        let span = now.since(self.window_start).as_millis() as u64;
        if span < WINDOW_MS {
            return;
        }
        // After an idle time the window says nothing of a busy queue.
        if span < 2 * WINDOW_MS {
            self.per_ms = Some(f64::from(self.count) / span as f64);
        }
        self.window_start = now;
        self.count = 0;
    }

    /// Milliseconds until `ahead` requests have left; nothing is known at first.
    fn expected_wait_ms(&self, ahead: usize) -> f64 {
        self.per_ms.map_or(0.0, |per_ms| ahead as f64 / per_ms)
    }
}
