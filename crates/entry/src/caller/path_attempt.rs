//! One attempt on a path of endpoints, and the member that refused it.

use std::sync::{Arc, OnceLock};

use cassiawheel_decide::{AttemptFailure, PathCandidate};
use cassiawheel_edge::ResponseMetadata;
use cassiawheel_model::{InstanceId, LayerPath, RequestHead, Timestamp};
use hyper::StatusCode;

/// An attempt on a path.
pub(crate) struct PathAttempt {
    candidate: Arc<PathCandidate>,
    refused: OnceLock<usize>,
}

impl PathAttempt {
    /// Creates an attempt that no member has refused.
    pub(super) fn new(candidate: Arc<PathCandidate>) -> Self {
        Self { candidate, refused: OnceLock::new() }
    }

    /// Path that the request is sent on.
    pub(crate) fn path(&self) -> &LayerPath {
        self.candidate.path()
    }

    /// Whether a member has left the routes since the path was chosen.
    pub(crate) fn is_withdrawn(&self) -> bool {
        self.candidate.is_withdrawn()
    }

    /// The member that a response is about as it refuses or cannot compute the request.
    pub(super) fn refused_member(&self) -> Option<&InstanceId> {
        let member = self.path().members().get(*self.refused.get()?)?;
        Some(&member.instance)
    }

    /// Whether a response is about another member than the one that sent it.
    pub(crate) fn is_about_other(&self) -> bool {
        self.refused.get().is_some_and(|position| *position > 0)
    }

    /// Takes the member that a refusal names out of the paths of this entry for a while.
    ///
    /// A 421 that names no member comes from the first one, or from another process at its address.
    pub(crate) fn observe(
        &self,
        head: &RequestHead,
        status: StatusCode,
        metadata: &ResponseMetadata,
    ) {
        let named = metadata.at_server.as_deref();
        let position = match (named.and_then(|name| self.path().position_of(name)), status) {
            (None, StatusCode::MISDIRECTED_REQUEST) => 0,
            (Some(position), _) => position,
            (None, _) => return,
        };
        if self.refused.set(position).is_err() {
            return;
        }
        if let Some(tracker) = self.candidate.tracker(position) {
            tracker.leave_paths(Timestamp::now());
        }
        let member = &self.path().members()[position].instance;
        let named = named.unwrap_or_default();
        log::info!(target: "path", request:% = head.id, endpoint:% = member, path:% = self.path(), status = status.as_u16(), named = named, not_run = metadata.not_run; "A member of a path refuses a request.");
    }

    /// How the attempt failed if a member could not compute it and may have run a part of it.
    ///
    /// The status alone would tell a caller that the request was not run.
    pub(crate) fn failure(
        &self,
        status: StatusCode,
        metadata: &ResponseMetadata,
    ) -> Option<AttemptFailure> {
        if metadata.not_run {
            return None;
        }
        let member = match (self.refused_member(), status) {
            (Some(member), _) => member.as_str(),
            (None, StatusCode::SERVICE_UNAVAILABLE) => "a member",
            (None, _) => return None,
        };
        Some(AttemptFailure::Unknown(format!("{member} on the path failed")))
    }

    /// Records that the attempt failed without a member that is named; returns whether the first
    /// member was ejected.
    pub(super) fn record_failure(&self, now: Timestamp) -> bool {
        let tracker = &self.candidate.first().tracker;
        let is_due = tracker.record_failure() && !tracker.is_ejected(now);
        if is_due {
            tracker.eject(now);
        }
        is_due
    }
}
