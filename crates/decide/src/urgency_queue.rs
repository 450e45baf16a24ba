//! Waiting requests of one urgency.
//!
//! While more urgent requests wait, an urgency is owed a fraction of its share of the requests that
//! were offered lately, and one request is admitted ahead of the more urgent ones as soon as it is
//! owed a whole one. Without this guarantee, a lasting excess of urgent requests would starve all
//! others.

use std::collections::{BTreeMap, HashMap, VecDeque};

use cassiawheel_model::{Deadline, PriorityClass, Timestamp, WorkspaceId};

use crate::{
    admit::{AdmitTicket, AdmitTier},
    request_work::RequestWork,
};

/// Fraction of its share of the offered requests that an urgency gets at least.
///
/// Users count requests that are served less than a quarter as often as all others as starved. The
/// margin makes up for turns that are lost because none of its requests waits for long.
pub(crate) const GUARANTEED_FRACTION: f64 = 0.3;

/// Most requests that an urgency can be owed. More would admit a burst of old requests at once.
const MAX_OWED: f64 = 2.0;

/// Time constant of the moving count of offered requests, in milliseconds.
const OFFER_DECAY_MS: f64 = 1_000.0;

/// Waiting requests of one urgency, ordered by tier and workspace.
#[derive(Debug)]
pub(crate) struct UrgencyQueue<T> {
    workspaces: BTreeMap<QueueKey, WorkspaceQueue<T>>,
    length: usize,
    /// Work admitted for each workspace since the queues were last empty.
    served: HashMap<WorkspaceId, u64>,
    /// Count of the workspace that was served last; new workspaces start from it.
    virtual_time: u64,
    /// Whether its requests leave reserved slots free.
    yields: bool,
    /// Moving count of offered requests, as of `offered_at`.
    offered: f64,
    offered_at: Timestamp,
    /// Requests that the urgency is owed.
    owed: f64,
}

/// Key of a per-workspace queue.
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

/// Waiting requests of one workspace and tier, by priority and arrival.
#[derive(Debug)]
struct WorkspaceQueue<T> {
    classes: BTreeMap<PriorityClass, VecDeque<WaitingRequest<T>>>,
    length: usize,
}

/// A waiting request.
#[derive(Debug)]
pub(crate) struct WaitingRequest<T> {
    /// Handle of the receiver of the verdict.
    pub(crate) handle: T,
    /// Time after which the request no longer waits.
    pub(crate) give_up_at: Deadline,
    /// Work that counts for the fair share of the workspace.
    pub(crate) work: RequestWork,
}

impl<T> UrgencyQueue<T> {
    /// Number of waiting requests.
    pub(crate) fn length(&self) -> usize {
        self.length
    }

    /// Whether its requests leave reserved slots free.
    pub(crate) fn yields(&self) -> bool {
        self.yields
    }

    /// Requests that the urgency is owed.
    pub(crate) fn owed(&self) -> f64 {
        self.owed
    }

    /// Whether it is owed a whole request and a first-time request waits. Returned ones have missed
    /// their targets, and would use up the few turns of the others.
    pub(crate) fn is_owed(&self) -> bool {
        self.owed >= 1.0 && self.next_tier() == Some(AdmitTier::Fresh)
    }

    /// Moving count of the offered requests.
    pub(crate) fn offered(&self, now: Timestamp) -> f64 {
        let age_ms = now.since(self.offered_at).as_millis() as f64;
        self.offered * (-age_ms / OFFER_DECAY_MS).exp()
    }

    /// Counts a request that was offered to the queue.
    pub(crate) fn count_offer(&mut self, yields: bool, now: Timestamp) {
        self.offered = self.offered(now) + 1.0;
        self.offered_at = now;
        self.yields = yields;
    }

    /// Settles the guaranteed share after an admission; `all` is the moving count of all offered
    /// requests.
    pub(crate) fn settle(&mut self, is_admitted: bool, all: f64, now: Timestamp) {
        if all > 0.0 {
            // Also while none waits: requests wait for a tenth of a second, so that an urgency with
            // few of them often has none at the moment of an admission.
            let share = GUARANTEED_FRACTION * self.offered(now) / all;
            self.owed = (self.owed + share).min(MAX_OWED);
        }
        if is_admitted {
            self.owed = (self.owed - 1.0).max(0.0);
        }
    }

    /// Forgets what was served and is owed, since no request waits.
    pub(crate) fn forget(&mut self) {
        self.served.clear();
        self.virtual_time = 0;
        self.owed = 0.0;
    }

    /// Tier of the request at the head of the queue.
    pub(crate) fn next_tier(&self) -> Option<AdmitTier> {
        self.workspaces.first_key_value().map(|(key, _)| key.tier)
    }

    /// Number of requests of this urgency that are served before this one: all of a higher tier,
    /// those of its workspace with the same or a higher priority, and as many of each other
    /// workspace.
    pub(crate) fn ahead_of(&self, ticket: &AdmitTicket) -> usize {
        let own = self.workspaces.get(&QueueKey::of(ticket));
        let own = own.map_or(0, |queue| queue.ahead_of(ticket.priority));
        let others = self.workspaces.iter().filter(|(key, _)| key.workspace != ticket.workspace);
        let earlier = self.workspaces.iter().filter(|(key, _)| key.tier < ticket.tier);
        let others = others.filter(|(key, _)| key.tier == ticket.tier);
        own + earlier.map(|(_, queue)| queue.length).sum::<usize>()
            + others.map(|(_, queue)| queue.length.min(own + 1)).sum::<usize>()
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, ticket: &AdmitTicket, request: WaitingRequest<T>) {
        // An idle workspace does not accumulate credit for a burst.
        let count = self.served.entry(ticket.workspace.clone()).or_insert(self.virtual_time);
        *count = (*count).max(self.virtual_time);
        let queue = self.workspaces.entry(QueueKey::of(ticket)).or_default();
        queue.classes.entry(ticket.priority).or_default().push_back(request);
        queue.length += 1;
        self.length += 1;
    }

    /// Removes the newest request of the lowest priority from the longest workspace queue, from the
    /// returned tier if it has any.
    pub(crate) fn shed(&mut self) -> Option<WaitingRequest<T>> {
        let longest =
            self.workspaces.iter_mut().max_by_key(|(key, queue)| (key.tier, queue.length));
        let (key, queue) = longest?;
        let shed = queue.take_last()?;
        let key = key.clone();
        self.after_removal(&key);
        Some(shed)
    }

    /// Removes the next request of the workspace that was served the least work.
    pub(crate) fn pop(&mut self) -> Option<WaitingRequest<T>> {
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
        *count = count.saturating_add(next.work.as_ms());
        Some(next)
    }

    /// Removes the oldest requests whose time to wait has passed.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<WaitingRequest<T>> {
        let mut expired = Vec::new();
        for queue in self.workspaces.values_mut() {
            for waiting in queue.classes.values_mut() {
                while let Some(oldest) = waiting.pop_front_if(|next| next.give_up_at.is_past(now)) {
                    queue.length -= 1;
                    expired.push(oldest);
                }
            }
        }
        self.length -= expired.len();
        self.workspaces.retain(|_, queue| queue.length > 0);
        expired
    }

    fn after_removal(&mut self, key: &QueueKey) {
        self.length -= 1;
        if self.workspaces.get(key).is_some_and(|queue| queue.length == 0) {
            self.workspaces.remove(key);
        }
    }
}

impl<T> Default for UrgencyQueue<T> {
    fn default() -> Self {
        Self {
            workspaces: BTreeMap::new(),
            length: 0,
            served: HashMap::new(),
            virtual_time: 0,
            yields: false,
            offered: 0.0,
            offered_at: Timestamp(0),
            owed: 0.0,
        }
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

    /// Removes the oldest request of the highest priority.
    fn take_first(&mut self) -> Option<WaitingRequest<T>> {
        let taken = self.classes.values_mut().rev().find_map(VecDeque::pop_front);
        self.length -= usize::from(taken.is_some());
        taken
    }

    /// Removes the newest request of the lowest priority.
    fn take_last(&mut self) -> Option<WaitingRequest<T>> {
        let taken = self.classes.values_mut().find_map(VecDeque::pop_back);
        self.length -= usize::from(taken.is_some());
        taken
    }
}
