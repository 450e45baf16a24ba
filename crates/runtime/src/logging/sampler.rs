//! A limit on decision lines.
//!
//! One line for each routing decision is what explains an incident, but a
//! burst must not drown in its own log. Lines beyond the limit of a second are
//! counted, and the first line of a later second tells how many there were.

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

/// Parts whose lines tell a routing or placement decision.
pub const DECISION_TARGETS: [&str; 3] = ["route", "admit", "place"];

/// Bits of a window that hold its lines; the rest holds its second.
const COUNT_BITS: u32 = 24;

/// What happens to a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampleOutcome {
    /// It is written.
    Written,
    /// It is written after a word about the lines that were left out.
    WrittenAfter {
        /// Lines left out.
        left_out: u64,
    },
    /// It is left out.
    LeftOut,
}

/// Limits the decision lines of each second.
#[derive(Debug)]
pub struct DecisionSampler {
    per_s: u64,
    window: AtomicU64,
}

impl DecisionSampler {
    /// Lets `per_s` lines of a second through.
    pub fn new(per_s: u32) -> Self {
        Self { per_s: u64::from(per_s).min(MAX_COUNT - 1), window: AtomicU64::new(0) }
    }

    /// Counts one line.
    ///
    /// Second and count share one atomic, since this runs on the path of each
    /// request: there is no lock to wait for, and no line is counted twice.
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
                left_out => SampleOutcome::WrittenAfter { left_out },
            };
        }
        if previous & MAX_COUNT < self.per_s {
            SampleOutcome::Written
        } else {
            SampleOutcome::LeftOut
        }
    }
}

/// Largest count of a window.
const MAX_COUNT: u64 = (1 << COUNT_BITS) - 1;

fn advance(window: u64, second: u64) -> u64 {
    // A clock that was set back stays in the newer second's window.
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
            SampleOutcome::WrittenAfter { left_out } => {
                write_left_out(now, left_out, writer)?;
                writer.write(now, record)
            }
            SampleOutcome::LeftOut => Ok(()),
        }
    }
}

fn write_left_out(
    now: &mut DeferredNow,
    left_out: u64,
    writer: &dyn LogLineWriter,
) -> io::Result<()> {
    let pairs = ("lines", left_out);
    let record = Record::builder()
        .level(Level::Info)
        .target("log")
        .key_values(&pairs)
        .args(format_args!("Decision lines were left out."))
        .build();
    writer.write(now, &record)
}
