//! Telling when something that a process depends on is lost and regained.

use std::fmt::Display;

/// Whether one dependency answers.
pub(crate) struct DependencyMonitor {
    name: &'static str,
    is_lost: bool,
}

impl DependencyMonitor {
    /// A dependency that is taken to answer.
    pub(crate) fn new(name: &'static str) -> Self {
        Self { name, is_lost: false }
    }

    /// Notes a failed call; logs the first of a row.
    pub(crate) fn record_failure(&mut self, cause: &dyn Display) {
        if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(target: "dependency", name = self.name, cause:% = cause; "A dependency is lost.");
        }
    }

    /// Notes an answered call; logs the first after a failure.
    pub(crate) fn record_success(&mut self) {
        if std::mem::replace(&mut self.is_lost, false) {
            log::info!(target: "dependency", name = self.name; "A dependency is back.");
        }
    }
}
