//! The gate of one endpoint: which requests may start.
//!
//! A request takes a permit of the generation that serves. A switch of weights
//! begins only once every permit is back, so no answer is made from weights
//! that change underneath it.

use cassiawheel_model::{EndpointState, ModelVersion, NotRunReason, PresetRevision};

/// State of a gate.
#[derive(Debug, Clone)]
pub struct GateState {
    state: EndpointState,
    generation: u64,
    in_progress: u32,
    limit: u32,
    revision: PresetRevision,
}

/// Why a switch cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SwitchError {
    /// The endpoint leaves and will serve nothing more.
    #[error("the endpoint drains")]
    Draining,
    /// A switch must begin before it is committed.
    #[error("no switch is under way")]
    NotSwitching,
    /// Requests of the old generation are still in progress.
    #[error("requests are in progress")]
    Busy,
}

impl GateState {
    /// A gate that admits nothing yet and at most `limit` requests at a time later.
    pub fn new(limit: u32) -> Self {
        Self {
            state: EndpointState::Empty,
            generation: 0,
            in_progress: 0,
            limit,
            revision: PresetRevision::default(),
        }
    }

    /// Takes a permit for a request routed under `revision` to `version`.
    pub fn acquire(
        &mut self,
        revision: PresetRevision,
        version: Option<&ModelVersion>,
    ) -> Result<u64, NotRunReason> {
        // A request routed under a preset that is no longer in force must not
        // run: its caller would be answered by the rules of two presets.
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

    /// Gives a permit back.
    pub fn release(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Stops the start of requests, so that the weights can be exchanged.
    pub fn begin_switch(&mut self) -> Result<(), SwitchError> {
        if self.state == EndpointState::Draining {
            return Err(SwitchError::Draining);
        }
        self.state = EndpointState::Switching;
        Ok(())
    }

    /// Whether a begun switch may exchange the weights now.
    pub fn can_swap_weights(&self) -> bool {
        self.state == EndpointState::Switching && self.in_progress == 0
    }

    /// Serves `version` from now on.
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

    /// Gives a begun switch up; the endpoint serves nothing until the next one.
    pub fn abort_switch(&mut self) {
        if self.state == EndpointState::Switching {
            self.state = EndpointState::Empty;
        }
    }

    /// Admits nothing from now on; requests in progress finish.
    pub fn drain(&mut self) {
        self.state = EndpointState::Draining;
    }

    /// Notes that `revision` is in force; lower ones are refused from now on.
    pub fn raise_revision(&mut self, revision: PresetRevision) {
        self.revision = self.revision.max(revision);
    }

    /// The highest revision known.
    pub fn revision(&self) -> PresetRevision {
        self.revision
    }

    /// State as reported in heartbeats.
    pub fn state(&self) -> &EndpointState {
        &self.state
    }

    /// Whether any version has served since the process started.
    pub fn has_served(&self) -> bool {
        self.generation > 0
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Most requests at a time.
    pub fn limit(&self) -> u32 {
        self.limit
    }
}
