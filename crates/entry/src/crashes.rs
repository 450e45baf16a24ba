//! Crash data as the request path uses it.
//!
//! The rows are part of the overlay state, from where they are sent to neighbours; a copy of the
//! verdicts is read without a lock. It is empty unless endpoints have crashed, and requests are
//! then not even digested.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard},
};

use arc_swap::ArcSwap;
use cassiawheel_decide::{
    AnsweredParts, CrashTracker, CrashVerdict, LinkId, rank::rendezvous_weight,
};
use cassiawheel_model::{CrashEvent, CrashRecord, InstanceId, RequestDigest, Timestamp};
use smol::channel::{Receiver, Sender, bounded};

/// Lock-free copy of the verdicts on requests, and the runs of suspect requests at this entry.
pub(crate) struct VerdictCache {
    answered_parts: AnsweredParts,
    verdicts: ArcSwap<HashMap<RequestDigest, CrashVerdict>>,
    running: Mutex<HashSet<RequestDigest>>,
    own_barred: (Sender<()>, Receiver<()>),
}

/// The only run of a suspect request at this entry, until it is dropped.
pub(crate) struct SuspectRun {
    cache: Arc<VerdictCache>,
    digest: RequestDigest,
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.cache.running().remove(&self.digest);
    }
}

impl Default for VerdictCache {
    fn default() -> Self {
        Self {
            answered_parts: AnsweredParts::default(),
            verdicts: ArcSwap::default(),
            running: Mutex::default(),
            own_barred: bounded(1),
        }
    }
}

impl VerdictCache {
    /// Completes when a run at this entry caused a request to be barred (quarantined).
    pub(crate) async fn await_own_barred(&self) {
        let _ = self.own_barred.1.recv().await;
    }

    /// Whether there are no verdicts.
    pub(crate) fn is_empty(&self) -> bool {
        self.verdicts.load().is_empty()
    }

    /// Returns the verdict on a request; none if no endpoint has crashed while running it.
    pub(crate) fn verdict(&self, digest: RequestDigest) -> Option<CrashVerdict> {
        self.verdicts.load().get(&digest).copied()
    }

    /// Prompt parts that this entry has seen answered completely.
    pub(crate) fn answered_parts(&self) -> &AnsweredParts {
        &self.answered_parts
    }

    /// Adds what this entry knows in favour of prompt parts that `rows` accuse.
    pub(crate) fn add_known_answers(
        &self,
        tracker: &mut CrashTracker,
        rows: &[CrashRecord],
        now: Timestamp,
    ) {
        let accused = rows.iter().filter(|row| row.event.endpoint_hash().is_some());
        for row in accused.filter(|row| row.digest.is_prompt_part()) {
            if let Some(age) = self.answered_parts.age(row.digest, now) {
                let age_ms = age.as_millis() as u32;
                let answer = CrashRecord { event: CrashEvent::Answered, age_ms, ..*row };
                tracker.record(answer, None, now);
            }
        }
    }

    /// Updates the verdicts from `tracker` after `rows` changed it.
    ///
    /// `source` is the link that the rows came from; none for rows from a run at this entry.
    pub(crate) fn apply_rows(
        &self,
        tracker: &CrashTracker,
        rows: &[CrashRecord],
        source: Option<LinkId>,
    ) {
        if rows.is_empty() {
            return;
        }
        self.refresh(tracker);
        for row in rows {
            let verdict = tracker.verdict(row.digest);
            log_row(row, verdict, source);
            if source.is_none() && matches!(verdict, CrashVerdict::Barred { .. }) {
                let _ = self.own_barred.0.try_send(());
            }
        }
    }

    /// Replaces the verdicts with those of `tracker`.
    pub(crate) fn refresh(&self, tracker: &CrashTracker) {
        self.verdicts.store(Arc::new(tracker.verdicts()));
    }

    /// Starts a run of a suspect request; none while this entry has another run of it.
    pub(crate) fn begin_suspect_run(self: &Arc<Self>, digest: RequestDigest) -> Option<SuspectRun> {
        let is_first = self.running().insert(digest);
        is_first.then(|| SuspectRun { cache: self.clone(), digest })
    }

    fn running(&self) -> MutexGuard<'_, HashSet<RequestDigest>> {
        self.running.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

fn log_row(row: &CrashRecord, verdict: CrashVerdict, source: Option<LinkId>) {
    let learned = if source.is_some() { "neighbour" } else { "own run" };
    match (row.event, verdict) {
        (CrashEvent::Begun, _) => {
            log::debug!(target: "quarantine", digest:% = row.digest, age_ms = row.age_ms, learned = learned; "Started a run of a suspect request.");
        }
        (CrashEvent::Answered, _) => {
            log::info!(target: "quarantine", digest:% = row.digest, age_ms = row.age_ms, learned = learned; "A suspect request was answered completely.");
        }
        (event, CrashVerdict::Barred { .. }) => {
            log::warn!(target: "quarantine", digest:% = row.digest, event:? = event, age_ms = row.age_ms, learned = learned; "Quarantined a request because endpoints crash while running it.");
        }
        (event, _) => {
            log::info!(target: "quarantine", digest:% = row.digest, event:? = event, age_ms = row.age_ms, learned = learned; "An endpoint crashed while running a request.");
        }
    }
}

/// Rank of the entry `own` among all entries for a request, where zero is first, and the number of
/// entries.
pub(crate) fn suspect_rank<'a>(
    digest: RequestDigest,
    own: &InstanceId,
    others: impl Iterator<Item = &'a InstanceId>,
) -> (usize, usize) {
    let subject = digest.rendezvous_key();
    let weight = rendezvous_weight(subject, own.as_str());
    let weights = others.map(|other| rendezvous_weight(subject, other.as_str()));
    weights.fold((0, 1), |(rank, entries), other| (rank + usize::from(other > weight), entries + 1))
}
