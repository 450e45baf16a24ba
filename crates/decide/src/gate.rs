//! Admission gate of one endpoint: decides which requests may start.
//!
//! A request acquires a permit for the generation of weights that serves. Weights are
//! swapped only after all permits have been released, so no response is produced from
//! weights that change while it runs.

use cassiawheel_model::{EndpointState, ModelVersion, NotRunReason, PresetRevision};

/// State of an endpoint's gate.
#[derive(Debug, Clone)]
pub struct GateState {
    state: EndpointState,
    generation: u64,
    in_progress: u32,
    limit: u32,
    revision: PresetRevision,
}

/// Why a switch of weights cannot proceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SwitchError {
    /// The endpoint is draining and will not serve again.
    #[error("the endpoint is draining")]
    Draining,
    /// [`GateState::begin_switch`] was not called before the commit.
    #[error("no switch is in progress")]
    NotSwitching,
    /// Requests of the old generation are still in progress.
    #[error("requests are still in progress")]
    Busy,
}

impl GateState {
    /// Creates a gate that admits nothing yet, with a limit of `limit` concurrent requests.
    pub fn new(limit: u32) -> Self {
        Self {
            state: EndpointState::Empty,
            generation: 0,
            in_progress: 0,
            limit,
            revision: PresetRevision::default(),
        }
    }

    /// Acquires a permit for a request routed under `revision` to `version`.
    ///
    /// Returns the generation of the weights that serve it.
    pub fn acquire(
        &mut self,
        revision: PresetRevision,
        version: Option<&ModelVersion>,
    ) -> Result<u64, NotRunReason> {
        // A request routed under a preset that is no longer in force must not run: the
        // rules of two presets would apply to it.
        if revision < self.revision {
            return Err(NotRunReason::StaleRevision);
        }
        self.revision = revision;
        let (serving, generation) = match &self.state {
            EndpointState::Serving { version, generation } => (version, *generation),
            EndpointState::Empty => return Err(NotRunReason::VersionMismatch),
            EndpointState::Switching => return Err(NotRunReason::Switching),
            EndpointState::Draining => return Err(NotRunReason::Draining),
        };
        if serving.as_ref() != version {
            return Err(NotRunReason::VersionMismatch);
        }
        if self.in_progress >= self.limit {
            return Err(NotRunReason::Overloaded);
        }
        self.in_progress += 1;
        Ok(generation)
    }

    /// Releases a permit.
    pub fn release(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Stops admitting requests so that the weights can be swapped.
    pub fn begin_switch(&mut self) -> Result<(), SwitchError> {
        if self.state == EndpointState::Draining {
            return Err(SwitchError::Draining);
        }
        self.state = EndpointState::Switching;
        Ok(())
    }

    /// Whether a switch has begun and no request is in progress any more.
    pub fn can_swap_weights(&self) -> bool {
        self.state == EndpointState::Switching && self.in_progress == 0
    }

    /// Completes a switch: admits requests for `version` and returns its generation.
    pub fn commit_switch(&mut self, version: Option<ModelVersion>) -> Result<u64, SwitchError> {
        match self.state {
            EndpointState::Draining => return Err(SwitchError::Draining),
            EndpointState::Switching if self.in_progress > 0 => return Err(SwitchError::Busy),
            EndpointState::Switching => {}
            _ => return Err(SwitchError::NotSwitching),
        }
        self.generation += 1;
        self.state = EndpointState::Serving { version, generation: self.generation };
        Ok(self.generation)
    }

    /// Aborts a switch; the endpoint serves nothing until the next one.
    pub fn abort_switch(&mut self) {
        if self.state == EndpointState::Switching {
            self.state = EndpointState::Empty;
        }
    }

    /// Stops admitting requests permanently; those in progress finish.
    pub fn drain(&mut self) {
        self.state = EndpointState::Draining;
    }

    /// Raises the revision below which requests are refused.
    pub fn raise_revision(&mut self, revision: PresetRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the highest preset revision seen.
    pub fn revision(&self) -> PresetRevision {
        self.revision
    }

    /// Returns the state that heartbeats report.
    pub fn state(&self) -> &EndpointState {
        &self.state
    }

    /// Whether any version has served since the process started.
    pub fn has_served(&self) -> bool {
        self.generation > 0
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Returns the limit of concurrent requests.
    pub fn limit(&self) -> u32 {
        self.limit
    }
}
