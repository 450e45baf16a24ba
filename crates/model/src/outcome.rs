//! Outcome of a request, as reported to its caller.

use std::fmt;

use macro_rules_attribute::apply;

use crate::{Deadline, ModelVersion, PresetRevision};

/// Whether a request was run.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// The request ran and the caller received the complete answer.
    Complete,
    /// The request did not run and will not run later.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Reason for which a request was not run.
#[apply(label!)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// No endpoint currently serves the service.
    NoEndpoint,
    /// Every endpoint has reached its limit of concurrent requests.
    Overloaded,
    /// The deadline cannot be met.
    DeadlineTooClose,
    /// The endpoint is shutting down.
    Draining,
    /// The endpoint is switching its weights.
    Switching,
    /// The request was routed by an older preset than the endpoint knows.
    StaleRevision,
    /// The endpoint does not serve the version that the request was routed to.
    VersionMismatch,
    /// The entry does not yet know which preset is in force.
    NotReady,
    /// The table service is needed and cannot be reached.
    StoreUnavailable,
    /// The idempotency key is bound to another request.
    KeyConflict,
    /// The preset in force has no such service.
    UnknownService,
    /// The caller cancelled the request before it ran.
    Cancelled,
    /// The connection to the endpoint failed before anything was sent.
    ConnectFailed,
    /// Several endpoints have ended while they ran the same request.
    Quarantined,
    /// No region is a home of both the route and the workspace.
    NoHome,
    /// Every endpoint of the service has requested backoff.
    BackedOff,
}

impl NotRunReason {
    /// Whether the request may be retried at another endpoint at once.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Overloaded
            | Self::Draining
            | Self::Switching
            | Self::StaleRevision
            | Self::VersionMismatch
            | Self::ConnectFailed => true,
            Self::NoEndpoint
            | Self::DeadlineTooClose
            | Self::NotReady
            | Self::StoreUnavailable
            | Self::KeyConflict
            | Self::UnknownService
            | Self::Cancelled
            | Self::Quarantined
            | Self::NoHome
            | Self::BackedOff => false,
        }
    }

    /// Stable code used in headers and error bodies.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no-endpoint",
            Self::Overloaded => "overloaded",
            Self::DeadlineTooClose => "deadline-too-close",
            Self::Draining => "draining",
            Self::Switching => "switching",
            Self::StaleRevision => "stale-revision",
            Self::VersionMismatch => "version-mismatch",
            Self::NotReady => "not-ready",
            Self::StoreUnavailable => "store-unavailable",
            Self::KeyConflict => "key-conflict",
            Self::UnknownService => "unknown-service",
            Self::Cancelled => "cancelled",
            Self::ConnectFailed => "connect-failed",
            Self::Quarantined => "quarantined",
            Self::NoHome => "no-home",
            Self::BackedOff => "backed-off",
        }
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Final outcome of a request.
#[apply(record!)]
#[derive(Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The caller received the complete answer.
    Complete {
        /// Version that answered; none for plain services.
        version: Option<ModelVersion>,
        /// Preset revision under which the request was answered.
        revision: PresetRevision,
    },
    /// The request was not run.
    NotRun {
        /// Reason for which it was not run.
        reason: NotRunReason,
        /// Earliest time for a retry by the caller.
        retry_at: Deadline,
    },
    /// The request may have run.
    Unknown {
        /// Description of the failure, in one sentence.
        detail: String,
    },
}

impl RequestOutcome {
    /// The outcome without its details.
    pub fn kind(&self) -> OutcomeKind {
        match self {
            Self::Complete { .. } => OutcomeKind::Complete,
            Self::NotRun { .. } => OutcomeKind::NotRun,
            Self::Unknown { .. } => OutcomeKind::Unknown,
        }
    }
}
