//! Structured logs.
//!
//! A line consists of time, level, log target, a short sentence, and keys with
//! values. Logging is set up once per process.

pub mod format;
pub mod sampler;

use std::io::Write;

use anyhow::Context;
use cassiawheel_model::settings::{LogFormat, LogSettings};
use flexi_logger::{DeferredNow, FormatFunction, Logger, LoggerHandle, WriteMode};
use log::Record;

use sampler::DecisionSampler;

/// Format of the time in a line, in the local time zone.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";

/// Starts logging to standard output; the handle must be kept until the process ends.
pub fn start(settings: &LogSettings) -> anyhow::Result<LoggerHandle> {
    let format: FormatFunction = match settings.format {
        LogFormat::KeyValue => write_key_value,
        LogFormat::Json => write_json,
    };
    Logger::try_with_str(&settings.level)
        .with_context(|| format!("log.level {:?} is invalid", settings.level))?
        .log_to_stdout()
        .format(format)
        .filter(Box::new(DecisionSampler::new(settings.decisions_per_s)))
        .write_mode(WriteMode::Async)
        .start()
        .context("cannot start logging")
}

fn write_key_value(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    format::write_key_value(out, now.format(TIME_FORMAT), record)
}

fn write_json(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    format::write_json(out, now.format(TIME_FORMAT), record)
}
