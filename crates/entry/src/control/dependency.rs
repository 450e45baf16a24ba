//! Logging when a dependency of the process fails and recovers.

use std::fmt::Display;

/// Tracks whether a dependency responds.
pub(crate) struct DependencyMonitor {
    name: &'static str,
    is_lost: bool,
}

impl DependencyMonitor {
    /// Creates a monitor that assumes the dependency responds.
    pub(crate) fn new(name: &'static str) -> Self {
        Self { name, is_lost: false }
    }

    /// Records a failed call; logs the first of consecutive failures.
    pub(crate) fn record_failure(&mut self, cause: &dyn Display) {
        if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(target: "dependency", name = self.name, cause:% = cause; "A dependency does not respond.");
        }
    }

    /// Records a successful call; logs the first after a failure.
    pub(crate) fn record_success(&mut self) {
        if std::mem::replace(&mut self.is_lost, false) {
            log::info!(target: "dependency", name = self.name; "A dependency responds again.");
        }
    }
}
