//! What the request path knows of requests under which endpoints have ended.
//!
//! The facts lie in the state of the overlay, from where neighbours get them; a copy
//! of the verdicts is read without a lock. It is empty on a calm day, and requests
//! are not even digested then.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard},
};

use arc_swap::ArcSwap;
use cassiawheel_decide::{CrashTracker, CrashVerdict, LinkId, rank::rendezvous_weight};
use cassiawheel_model::{CrashEvent, CrashRecord, InstanceId, RequestDigest};
use smol::channel::{Receiver, Sender, bounded};

/// Verdicts on requests, and runs of suspects that this entry has under way.
pub(crate) struct CrashGuard {
    verdicts: ArcSwap<HashMap<RequestDigest, CrashVerdict>>,
    running: Mutex<HashSet<RequestDigest>>,
    own_barred: (Sender<()>, Receiver<()>),
}

/// The only run of a suspect at this entry, until it is dropped.
pub(crate) struct SuspectRun {
    tracker: Arc<CrashGuard>,
    digest: RequestDigest,
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.tracker.running().remove(&self.digest);
    }
}

impl Default for CrashGuard {
    fn default() -> Self {
        Self { verdicts: ArcSwap::default(), running: Mutex::default(), own_barred: bounded(1) }
    }
}

impl CrashGuard {
    /// Completes when an own run has had a request barred.
    pub(crate) async fn await_own_barred(&self) {
        let _ = self.own_barred.1.recv().await;
    }

    /// Whether nothing speaks against any request.
    pub(crate) fn is_empty(&self) -> bool {
        self.verdicts.load().is_empty()
    }

    /// What is known of a request; none if no endpoint has ended under it.
    pub(crate) fn verdict(&self, digest: RequestDigest) -> Option<CrashVerdict> {
        self.verdicts.load().get(&digest).copied()
    }

    /// Takes up the verdicts of `book` after it has learned `rows`, from a neighbour over
    /// the link `source` or from an own run.
    pub(crate) fn apply_rows(
        &self,
        book: &CrashTracker,
        rows: &[CrashRecord],
        source: Option<LinkId>,
    ) {
        if rows.is_empty() {
            return;
        }
        self.refresh(book);
        for row in rows {
            let verdict = book.verdict(row.digest);
            log_row(row, verdict, source);
            if source.is_none() && matches!(verdict, CrashVerdict::Barred { .. }) {
                let _ = self.own_barred.0.try_send(());
            }
        }
    }

    /// Takes up the verdicts of `book`.
    pub(crate) fn refresh(&self, book: &CrashTracker) {
        self.verdicts.store(Arc::new(book.verdicts()));
    }

    /// Begins a run of a suspect; none while another one is under way here.
    pub(crate) fn begin_suspect_run(self: &Arc<Self>, digest: RequestDigest) -> Option<SuspectRun> {
        let begins = self.running().insert(digest);
        begins.then(|| SuspectRun { tracker: self.clone(), digest })
    }

    fn running(&self) -> MutexGuard<'_, HashSet<RequestDigest>> {
        self.running.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

fn log_row(row: &CrashRecord, verdict: CrashVerdict, source: Option<LinkId>) {
    let learned = if source.is_some() { "neighbour" } else { "own run" };
    match (row.event, verdict) {
        (CrashEvent::Begun, _) => {
            log::debug!(target: "quarantine", digest:% = row.digest, age_ms = row.age_ms, learned = learned; "A run of a suspect request begins.");
        }
        (CrashEvent::Answered, _) => {
            log::info!(target: "quarantine", digest:% = row.digest, age_ms = row.age_ms, learned = learned; "A suspect request was answered whole.");
        }
        (event, CrashVerdict::Barred { .. }) => {
            log::warn!(target: "quarantine", digest:% = row.digest, event:? = event, age_ms = row.age_ms, learned = learned; "Barred a request under which endpoints end.");
        }
        (event, _) => {
            log::info!(target: "quarantine", digest:% = row.digest, event:? = event, age_ms = row.age_ms, learned = learned; "An endpoint ended under a request.");
        }
    }
}

/// Rank of the entry `own` among `others` for a request, where zero goes first, and how
/// many entries there are.
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
