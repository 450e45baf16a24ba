//! The stage that a request has reached.
//!
//! A caller may disconnect at any stage. The request is then dropped with its connection to the
//! endpoint, and the stage shows how much work was wasted.

use std::sync::atomic::{AtomicU8, Ordering};

use cassiawheel_model::{RequestId, Timestamp};

/// Stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// Waits for admission.
    Admission,
    /// Waits for its next attempt.
    Pending,
    /// Is being sent to an endpoint.
    Sending,
    /// Waits for the endpoint's response.
    Waiting,
    /// The response is being relayed.
    Relaying,
}

/// Progress of one request, shared by its guard and its attempts.
#[derive(Debug)]
pub(crate) struct RequestProgress {
    request: RequestId,
    began_at: Timestamp,
    stage: AtomicU8,
}

impl RequestStage {
    /// All stages, in the order of their discriminants.
    pub(crate) const ALL: [Self; 5] =
        [Self::Admission, Self::Pending, Self::Sending, Self::Waiting, Self::Relaying];

    /// Name of the stage in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Admission => "admission",
            Self::Pending => "pending",
            Self::Sending => "sending",
            Self::Waiting => "waiting",
            Self::Relaying => "relaying",
        }
    }
}

impl RequestProgress {
    /// Creates the progress of a request that waits for admission.
    pub(crate) fn new(request: RequestId, now: Timestamp) -> Self {
        Self { request, began_at: now, stage: AtomicU8::new(RequestStage::Admission as u8) }
    }

    /// Id of the request.
    pub(crate) fn request(&self) -> &RequestId {
        &self.request
    }

    /// When the entry had read the request.
    pub(crate) fn began_at(&self) -> Timestamp {
        self.began_at
    }

    /// Current stage.
    pub(crate) fn stage(&self) -> RequestStage {
        RequestStage::ALL[usize::from(self.stage.load(Ordering::Relaxed))]
    }

    /// Sets the stage.
    pub(crate) fn enter(&self, stage: RequestStage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
    }
}
