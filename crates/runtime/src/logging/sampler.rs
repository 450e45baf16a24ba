//! Rate limit of decision lines.
//!
//! A line for each routing decision is needed to explain incidents, but a burst of
//! requests must not flood the log. Lines beyond the limit per second are
//! dropped and counted, and their number is logged before the first line of a
//! later second.

use std::{
    io,
    sync::atomic::{AtomicU64, Ordering},
};

use cassiawheel_model::Timestamp;
use flexi_logger::{
    DeferredNow,
    filter::{LogLineFilter, LogLineWriter},
};
use log::{Level, Record};

/// Log targets of routing and placement decisions.
pub const DECISION_TARGETS: [&str; 3] = ["route", "admit", "place"];

/// Bits of a window that hold its line count; the other bits hold its second.
const COUNT_BITS: u32 = 24;

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampleOutcome {
    /// The line is written.
    Written,
    /// The line is written after a line with the number of dropped lines.
    WrittenAfter {
        /// Number of dropped lines.
        dropped: u64,
    },
    /// The line is dropped.
    Dropped,
}

/// Limits the number of decision lines per second.
#[derive(Debug)]
pub struct DecisionSampler {
    per_s: u64,
    window: AtomicU64,
}

impl DecisionSampler {
    /// Creates a sampler that passes `per_s` lines per second.
    pub fn new(per_s: u32) -> Self {
        Self { per_s: u64::from(per_s).min(MAX_COUNT - 1), window: AtomicU64::new(0) }
    }

    /// Counts a line and decides whether it is written.
    ///
    /// This runs for each request, so second and count share one atomic: no lock is needed, and no
    /// line is counted twice.
    pub fn sample(&self, now: Timestamp) -> SampleOutcome {
        let second = now.0 / 1_000;
        let advance = |window| Some(advance(window, second));
        let previous = self
            .window
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, advance)
            .unwrap_or_else(|window| window);
        if previous >> COUNT_BITS < second {
            return match (previous & MAX_COUNT).saturating_sub(self.per_s) {
                0 => SampleOutcome::Written,
                dropped => SampleOutcome::WrittenAfter { dropped },
            };
        }
        if previous & MAX_COUNT < self.per_s {
            SampleOutcome::Written
        } else {
            SampleOutcome::Dropped
        }
    }
}

/// Largest line count of a window.
const MAX_COUNT: u64 = (1 << COUNT_BITS) - 1;

fn advance(window: u64, second: u64) -> u64 {
    // A second before the current window, as after a clock was set back, is counted in the window.
    if window >> COUNT_BITS < second {
        return (second << COUNT_BITS) | 1;
    }
    if window & MAX_COUNT == MAX_COUNT { window } else { window + 1 }
}

impl LogLineFilter for DecisionSampler {
    fn write(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
        writer: &dyn LogLineWriter,
    ) -> io::Result<()> {
        let limited = record.level() >= Level::Info && DECISION_TARGETS.contains(&record.target());
        if !limited {
            return writer.write(now, record);
        }
        match self.sample(Timestamp::now()) {
            SampleOutcome::Written => writer.write(now, record),
            SampleOutcome::WrittenAfter { dropped } => {
                write_dropped(now, dropped, writer)?;
                writer.write(now, record)
            }
            SampleOutcome::Dropped => Ok(()),
        }
    }
}

fn write_dropped(
    now: &mut DeferredNow,
    dropped: u64,
    writer: &dyn LogLineWriter,
) -> io::Result<()> {
    let pairs = ("lines", dropped);
    let record = Record::builder()
        .level(Level::Info)
        .target("log")
        .key_values(&pairs)
        .args(format_args!("Decision lines were left out."))
        .build();
    writer.write(now, &record)
}
