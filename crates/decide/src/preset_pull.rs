//! Selects the entry from which a newer preset is requested, and when.
//!
//! Some entries follow the operators' rows; the others learn of a new revision from
//! their peers. A preset with many routes has a few hundred kilobytes, and all requests
//! between entries share the links between regions. Repeated requests while a transfer is
//! in progress make it take seconds instead of milliseconds.

use std::time::Duration;

use cassiawheel_model::{Deadline, InstanceId, PresetRevision, Timestamp};
use rand::{Rng, seq::IndexedRandom};

/// Time for the operators' rows to deliver a preset before a request within the region.
///
/// Rows arrive within 100 ms if the table service answers over an idle link.
const ROWS_TIME: Duration = Duration::from_millis(250);

/// Time for the operators' rows to deliver it before a request to another region.
///
/// Rows use the same link as the response would, and fifteen copies of 100 KB that share
/// 40 Mbit/s with weights take a second. A change must be in force after two.
const ROWS_FAR_TIME: Duration = Duration::from_millis(1_000);

/// The same while the table service does not answer: time for the rows that other entries
/// of the region follow.
const REGION_ROWS_TIME: Duration = Duration::from_millis(400);

/// Additional delay of each rank in a region before a request to another region.
///
/// A preset of 300 KB crosses an otherwise idle link of 40 Mbit/s between regions in
/// 60 ms. The first entry that has it serves its whole region.
const FAR_RANK_DELAY: Duration = Duration::from_millis(100);

/// Rank from which on the delay stays the same.
///
/// A change must be in force within two seconds, so the delay may not reach 1.5 s.
const MAX_RANK: u32 = 5;

/// Timeout of a request to an entry of the same region.
///
/// An entry's link of 40 Mbit/s sends 120 KB to fifteen others in 360 ms. Three
/// unresponsive entries may be tried in sequence without a change being late.
const NEAR_TIMEOUT: Duration = Duration::from_millis(500);

/// First timeout of a request to an entry of another region; doubled each time.
///
/// A link that also carries weights delivers a preset of 300 KB in a second.
const FAR_TIMEOUT: Duration = Duration::from_secs(1);

/// Limit of the doublings of that timeout.
const MAX_DOUBLINGS: usize = 3;

/// The revision of another entry, and when it first announced one newer than known here.
#[derive(Debug, Clone)]
struct AnnouncedRevision<H> {
    peer: PeerRevision<H>,
    announced_at: Timestamp,
}

/// An outstanding request.
#[derive(Debug, Clone, Copy)]
struct PullRequest {
    until: Deadline,
    /// The highest revision known when the request was sent.
    known: PresetRevision,
}

/// The revision that another entry has announced.
#[derive(Debug, Clone)]
pub struct PeerRevision<H> {
    /// The entry that announced it.
    pub instance: InstanceId,
    /// The highest revision that it has adopted.
    pub revision: PresetRevision,
    /// Whether the entry is in the same region, so that no inter-region link is used.
    pub is_near: bool,
    /// Handle for sending it a request.
    pub handle: H,
}

/// Input of [`PresetPull::step`].
#[derive(Debug, Clone, Copy)]
pub struct PullView {
    /// The highest revision known here; the default revision if none is.
    pub known: PresetRevision,
    /// Whether this entry follows the operators' rows, which deliver the preset as well.
    pub follows_rows: bool,
    /// Rank of this entry among those of its region with a link to another one, in an order that
    /// all entries share.
    pub near_rank: u32,
    /// Current time.
    pub now: Timestamp,
}

/// Next action of a pull.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PullStep<H> {
    /// No newer revision is announced; the pull has ended.
    Done,
    /// Call [`PresetPull::step`] again at this deadline or on a new announcement.
    Wait(Deadline),
    /// Request the preset from this entry; [`PresetPull::discard_request`] if it cannot be sent.
    Request {
        /// Handle of the entry.
        handle: H,
        /// Whether the entry is in the same region.
        is_near: bool,
    },
}

/// Pulls newer presets from other entries.
#[derive(Debug, Clone)]
pub struct PresetPull<H> {
    announced: Vec<AnnouncedRevision<H>>,
    near_request: Option<PullRequest>,
    far_request: Option<PullRequest>,
    /// Entries that got a request since the last one that was answered.
    asked: Vec<InstanceId>,
    is_running: bool,
}

impl<H> Default for PresetPull<H> {
    fn default() -> Self {
        Self {
            announced: Vec::new(),
            near_request: None,
            far_request: None,
            asked: Vec::new(),
            is_running: false,
        }
    }
}

impl PullRequest {
    /// Whether a response may still arrive; a preset adopted meanwhile counts as one.
    fn is_open(&self, view: PullView) -> bool {
        !self.until.is_past(view.now) && self.known == view.known
    }
}

impl<H: Clone> PresetPull<H> {
    /// Records the revision of another entry; returns true if a pull has to be started.
    pub fn observe(
        &mut self,
        peer: PeerRevision<H>,
        known: PresetRevision,
        now: Timestamp,
    ) -> bool {
        let before = self.announced.iter().position(|entry| entry.peer.instance == peer.instance);
        let before = before.map(|position| self.announced.swap_remove(position));
        if peer.revision <= known {
            return false;
        }
        let before = before.filter(|entry| entry.peer.revision > known);
        let announced_at = before.map_or(now, |entry| entry.announced_at);
        self.announced.push(AnnouncedRevision { peer, announced_at });
        !std::mem::replace(&mut self.is_running, true)
    }

    /// Decides the next action; `is_open` returns whether an entry can be reached.
    pub fn step(
        &mut self,
        view: PullView,
        is_open: impl Fn(&H) -> bool,
        rng: &mut impl Rng,
    ) -> PullStep<H> {
        self.announced.retain(|t| t.peer.revision > view.known && is_open(&t.peer.handle));
        let Some(since) = self.announced.iter().map(|entry| entry.announced_at).min() else {
            *self = Self::default();
            return PullStep::Done;
        };
        let is_near = self.announced.iter().any(|entry| entry.peer.is_near);
        let earliest = since.deadline_after(request_delay(view, is_near));
        // An entry of the same region gets a request even while one to another region is
        // outstanding: its response overtakes one that crosses a congested link.
        let request = if is_near { self.near_request } else { self.far_request };
        if request.is_some_and(|request| request.known < view.known) {
            self.asked.clear();
        }
        let open = request.filter(|request| request.is_open(view));
        let next_at = open.map_or(earliest, |request| request.until.max(earliest));
        if !next_at.is_past(view.now) {
            return PullStep::Wait(next_at);
        }
        let Some(peer) = self.select_peer(is_near, rng) else {
            return PullStep::Wait(view.now.deadline_after(ROWS_TIME));
        };
        let handle = peer.handle.clone();
        let instance = peer.instance.clone();
        let timeout = match is_near {
            true => NEAR_TIMEOUT,
            false => FAR_TIMEOUT * (1 << self.asked.len().min(MAX_DOUBLINGS)),
        };
        self.asked.push(instance);
        let until = view.now.deadline_after(timeout);
        let request = Some(PullRequest { until, known: view.known });
        match is_near {
            true => self.near_request = request,
            false => self.far_request = request,
        }
        PullStep::Request { handle, is_near }
    }

    /// Discards the last request, which could not be sent.
    ///
    /// No response to it will arrive, so the next step may send another without waiting for one.
    pub fn discard_request(&mut self, is_near: bool) {
        self.asked.pop();
        match is_near {
            true => self.near_request = None,
            false => self.far_request = None,
        }
    }

    /// Selects a random entry among those with the newest revision, preferably one that got
    /// no request yet, since the others may be unresponsive.
    fn select_peer(&self, is_near: bool, rng: &mut impl Rng) -> Option<&PeerRevision<H>> {
        let announced = self.announced.iter().map(|entry| &entry.peer);
        let announced: Vec<_> = announced.filter(|peer| peer.is_near == is_near).collect();
        let newest = announced.iter().map(|peer| peer.revision).max()?;
        let newest: Vec<_> = announced.into_iter().filter(|peer| peer.revision == newest).collect();
        let is_other = |peer: &&PeerRevision<H>| !self.asked.contains(&peer.instance);
        let others: Vec<_> = newest.iter().copied().filter(is_other).collect();
        others.choose(rng).or_else(|| newest.choose(rng)).copied()
    }
}

/// Delay from the first announcement of a newer revision until it is requested.
fn request_delay(view: PullView, is_near: bool) -> Duration {
    // An entry without any preset cannot serve until it has one.
    let has_no_preset = view.known == PresetRevision::default();
    let delay = match (is_near, view.follows_rows) {
        _ if has_no_preset => Duration::ZERO,
        (true, true) => ROWS_TIME,
        (true, false) => Duration::ZERO,
        (false, true) => ROWS_FAR_TIME,
        (false, false) => REGION_ROWS_TIME,
    };
    if is_near { delay } else { delay + FAR_RANK_DELAY * view.near_rank.min(MAX_RANK) }
}
