//! Budget of the bytes that a process buffers for its callers.
//!
//! A part of it is kept for small bodies, so that they are not refused behind large ones.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Largest body that may use the part kept for small ones, in bytes.
const SMALL_BYTES: usize = 64 << 10;

/// One part in this many is kept for small bodies.
const SMALL_PART: usize = 8;

/// Bytes that may be buffered, and those that are.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

/// Bytes reserved for one body; given back when dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, used: AtomicUsize::new(0) })
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Begins a reservation of no bytes.
    pub fn begin(self: &Arc<Self>) -> ByteReservation {
        ByteReservation { budget: self.clone(), bytes: 0 }
    }

    /// Largest body that can be buffered while nothing else is, in bytes.
    pub fn largest_body(&self) -> usize {
        self.limit_for(usize::MAX).max(self.limit.min(SMALL_BYTES))
    }

    fn limit_for(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BYTES { self.limit } else { self.limit - self.limit / SMALL_PART }
    }
}

impl ByteReservation {
    /// Reserves `bytes` in total, if that is more than before; false if they do not fit.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        self.grow(bytes.saturating_sub(self.bytes))
    }

    /// Reserves `more` bytes; false if they do not fit.
    pub fn grow(&mut self, more: usize) -> bool {
        let limit = self.budget.limit_for(self.bytes.saturating_add(more));
        let reserve = |used: usize| used.checked_add(more).filter(|used| *used <= limit);
        let reserved = self.budget.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserve);
        if reserved.is_ok() {
            self.bytes += more;
        }
        reserved.is_ok()
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
