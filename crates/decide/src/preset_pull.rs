//! From which other entry a preset is asked.
//!
//! Some entries follow the operators' rows; the others learn of a new revision from
//! their neighbours. A preset with many routes is some hundred kilobytes, and what all
//! entries ask of each other at once shares the links between regions: asked for
//! again while it is on its way, it takes seconds instead of milliseconds.

use std::time::Duration;

use cassiawheel_model::{Deadline, InstanceId, PresetRevision, Timestamp};
use rand::{Rng, seq::IndexedRandom};

/// Time in which the own rows bring a preset before an entry of the own region is asked.
///
/// Rows come within 100 ms where the table service answers over a free link.
const OWN_TIME: Duration = Duration::from_millis(250);

/// Time in which the own rows bring it before one of another region is asked.
///
/// They cross the same link as the answer would, and fifteen copies of 100 KB that
/// share 40 Mbit/s with weights take a second. A change must be in force after two.
const OWN_FAR_TIME: Duration = Duration::from_millis(1_000);

/// The same where the table service does not answer: time in which the rows of
/// others in the region bring it.
const NEAR_TIME: Duration = Duration::from_millis(400);

/// Further wait of each entry of a region before one of another region is asked.
///
/// A preset of 300 KB crosses a link between regions of 40 Mbit/s that carries
/// nothing else in 60 ms. The first that has it serves its whole region.
const FAR_STEP: Duration = Duration::from_millis(100);

/// Entries of a region beyond which the wait grows no more.
///
/// What must be in force within two seconds may not wait for one and a half.
const MOST_STEPS: u32 = 5;

/// Wait for the answer of an entry of the own region before another one is asked.
///
/// An entry's own link of 40 Mbit/s sends 120 KB to fifteen others in 360 ms. Three
/// that are frozen may be asked one after the other without a change being late.
const NEAR_ANSWER_TIME: Duration = Duration::from_millis(500);

/// First wait for the answer of an entry of another region; doubled each time.
///
/// A link that carries weights as well delivers a preset of 300 KB in a second.
const FAR_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Most doublings of the wait for an answer.
const MOST_DOUBLINGS: usize = 3;

/// An entry that told of a revision, and when it told first of a newer one than was known.
#[derive(Debug, Clone)]
struct RevisionTeller<H> {
    told: PeerRevision<H>,
    told_at: Timestamp,
}

/// A question that may still be answered.
#[derive(Debug, Clone, Copy)]
struct PullQuestion {
    until: Deadline,
    /// The highest revision that was known when it was asked.
    known: PresetRevision,
}

/// What an entry tells of itself.
#[derive(Debug, Clone)]
pub struct PeerRevision<H> {
    /// The entry.
    pub instance: InstanceId,
    /// The highest revision that it has adopted.
    pub revision: PresetRevision,
    /// Whether no link that is shared and dear lies between.
    pub is_near: bool,
    /// How it is reached.
    pub handle: H,
}

/// What is known for a step.
#[derive(Debug, Clone, Copy)]
pub struct PullView {
    /// The highest revision known here; the lowest one if none is.
    pub known: PresetRevision,
    /// Whether the table service answers here, so that the own rows bring it too.
    pub follows_rows: bool,
    /// Entries of the own region that go before this one, in an order that all share.
    pub near_rank: u32,
    /// The present moment.
    pub now: Timestamp,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PullStep<H> {
    /// Nothing newer is told of; the pull is over.
    Done,
    /// Look again at this moment, or when something is told.
    Wait(Deadline),
    /// Ask this entry.
    Request(H),
}

/// The pull of a preset by one entry.
#[derive(Debug, Clone)]
pub struct PresetPull<H> {
    tellers: Vec<RevisionTeller<H>>,
    near_question: Option<PullQuestion>,
    far_question: Option<PullQuestion>,
    /// Who was asked since the last question that was answered.
    asked: Vec<InstanceId>,
    is_running: bool,
}

impl<H> Default for PresetPull<H> {
    fn default() -> Self {
        Self {
            tellers: Vec::new(),
            near_question: None,
            far_question: None,
            asked: Vec::new(),
            is_running: false,
        }
    }
}

impl PullQuestion {
    /// Whether an answer may still come; a preset that came meanwhile was one.
    fn is_open(&self, view: PullView) -> bool {
        !self.until.is_past(view.now) && self.known == view.known
    }
}

impl<H: Clone> PresetPull<H> {
    /// Takes what another entry tells; true if steps have to be made from now on.
    pub fn observe(
        &mut self,
        told: PeerRevision<H>,
        known: PresetRevision,
        now: Timestamp,
    ) -> bool {
        let before = self.tellers.iter().position(|teller| teller.told.instance == told.instance);
        let before = before.map(|position| self.tellers.swap_remove(position));
        if told.revision <= known {
            return false;
        }
        let before = before.filter(|teller| teller.told.revision > known);
        let told_at = before.map_or(now, |teller| teller.told_at);
        self.tellers.push(RevisionTeller { told, told_at });
        !std::mem::replace(&mut self.is_running, true)
    }

    /// Decides what to do next; `is_open` tells whether an entry can be reached.
    pub fn step(
        &mut self,
        view: PullView,
        is_open: impl Fn(&H) -> bool,
        rng: &mut impl Rng,
    ) -> PullStep<H> {
        self.tellers.retain(|t| t.told.revision > view.known && is_open(&t.told.handle));
        let Some(since) = self.tellers.iter().map(|teller| teller.told_at).min() else {
            *self = Self::default();
            return PullStep::Done;
        };
        let is_near = self.tellers.iter().any(|teller| teller.told.is_near);
        let begins = since.deadline_after(own_wait(view, is_near));
        // A near entry is asked also while a far one has yet to answer: its answer
        // overtakes one that crosses a full link.
        let question = if is_near { self.near_question } else { self.far_question };
        if question.is_some_and(|question| question.known < view.known) {
            self.asked.clear();
        }
        let open = question.filter(|question| question.is_open(view));
        let next_at = open.map_or(begins, |question| question.until.max(begins));
        if !next_at.is_past(view.now) {
            return PullStep::Wait(next_at);
        }
        let Some(told) = self.draw_teller(is_near, rng) else {
            return PullStep::Wait(view.now.deadline_after(OWN_TIME));
        };
        let handle = told.handle.clone();
        let instance = told.instance.clone();
        let patience = match is_near {
            true => NEAR_ANSWER_TIME,
            false => FAR_ANSWER_TIME * (1 << self.asked.len().min(MOST_DOUBLINGS)),
        };
        self.asked.push(instance);
        let until = view.now.deadline_after(patience);
        let question = Some(PullQuestion { until, known: view.known });
        match is_near {
            true => self.near_question = question,
            false => self.far_question = question,
        }
        PullStep::Request(handle)
    }

    /// One of those that told of the newest revision; one that was not asked yet if
    /// there is one, since the others may be frozen.
    fn draw_teller(&self, is_near: bool, rng: &mut impl Rng) -> Option<&PeerRevision<H>> {
        let tellers = self.tellers.iter().map(|teller| &teller.told);
        let tellers: Vec<_> = tellers.filter(|told| told.is_near == is_near).collect();
        let newest = tellers.iter().map(|told| told.revision).max()?;
        let newest: Vec<_> = tellers.into_iter().filter(|told| told.revision == newest).collect();
        let is_other = |told: &&PeerRevision<H>| !self.asked.contains(&told.instance);
        let others: Vec<_> = newest.iter().copied().filter(is_other).collect();
        others.choose(rng).or_else(|| newest.choose(rng)).copied()
    }
}

/// Wait from the first word of a newer revision until it is asked for.
fn own_wait(view: PullView, is_near: bool) -> Duration {
    // Who knows no preset at all serves nobody until it comes.
    let has_none = view.known == PresetRevision::default();
    let own = match (is_near, view.follows_rows) {
        _ if has_none => Duration::ZERO,
        (true, true) => OWN_TIME,
        (true, false) => Duration::ZERO,
        (false, true) => OWN_FAR_TIME,
        (false, false) => NEAR_TIME,
    };
    if is_near { own } else { own + FAR_STEP * view.near_rank.min(MOST_STEPS) }
}
