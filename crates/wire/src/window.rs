//! Limit of the messages that are on the way over a connection.
//!
//! What the buffers of the system hold cannot be overtaken: over a narrow link, or to a process
//! that is slow to read, urgent messages would wait behind it for seconds. The sender therefore
//! confirms by pings how far the other end has read, and pauses messages that are not urgent
//! until then. Requests and chunks do not count; they are limited by credit of their own.

use std::sync::{Mutex, MutexGuard};

use crate::WireMessage;

/// Maximum size of unconfirmed messages, in bytes.
///
/// A narrow link of 1.2 Mbit/s transmits it in 110 ms; between regions that are 25 ms apart it
/// allows 640 KB a second, many times what entries exchange.
const WINDOW_BYTES: u64 = 16 << 10;

/// Window of a connection.
#[derive(Debug, Default)]
pub(crate) struct SendWindow {
    state: Mutex<WindowState>,
}

/// Positions in the bytes of a connection that count for its window.
#[derive(Debug, Default)]
struct WindowState {
    sent: u64,
    confirmed: u64,
    /// Position that the answer to the outstanding ping confirms.
    pinged: Option<u64>,
    /// Whether answers to pings are no longer read.
    is_unlimited: bool,
}

impl SendWindow {
    /// Whether messages that count may be sent.
    pub(crate) fn is_open(&self) -> bool {
        let state = self.lock();
        state.is_unlimited || state.unconfirmed() < WINDOW_BYTES
    }

    /// Records that `message` was written with `bytes`.
    pub(crate) fn record_sent(&self, message: &WireMessage, bytes: usize) {
        if message.is_windowed() {
            self.lock().sent += bytes as u64;
        }
    }

    /// Whether a ping has to be sent now; counts as sent if so.
    pub(crate) fn take_ping(&self) -> bool {
        let mut state = self.lock();
        let is_due = state.pinged.is_none() && state.unconfirmed() >= WINDOW_BYTES / 2;
        if is_due {
            state.pinged = Some(state.sent);
        }
        is_due
    }

    /// Records that the other end has answered the ping.
    pub(crate) fn confirm(&self) {
        let mut state = self.lock();
        if let Some(pinged) = state.pinged.take() {
            state.confirmed = pinged;
        }
    }

    /// Removes the limit, since no answers to pings will be read.
    pub(crate) fn remove_limit(&self) {
        self.lock().is_unlimited = true;
    }

    fn lock(&self) -> MutexGuard<'_, WindowState> {
        self.state.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

impl WindowState {
    fn unconfirmed(&self) -> u64 {
        self.sent - self.confirmed
    }
}
