//! Structured logs.
//!
//! A line is a short sentence under the fixed prefix of its part (the log
//! target), followed by its keys and values. Set up once per process.

use std::io::Write;

use anyhow::Context;
use cassiawheel_model::settings::{LogFormat, LogSettings};
use flexi_logger::{DeferredNow, FormatFunction, Logger, LoggerHandle, WriteMode};
use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};

/// Starts logging to standard error; keep the handle until the process ends.
pub fn start(settings: &LogSettings) -> anyhow::Result<LoggerHandle> {
    let format: FormatFunction = match settings.format {
        LogFormat::KeyValue => write_key_value,
        LogFormat::Json => write_json,
    };
    Logger::try_with_str(&settings.level)
        .with_context(|| format!("log.level {:?} is not understood", settings.level))?
        .log_to_stderr()
        .format(format)
        .write_mode(WriteMode::Async)
        .start()
        .context("cannot start the log")
}

fn write_key_value(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f%:z");
    write!(out, "{time} {} {}: {}", record.level(), record.target(), record.args())?;
    let mut visitor = KeyValueWriter { out };
    record.key_values().visit(&mut visitor).map_err(std::io::Error::other)
}

struct KeyValueWriter<'a> {
    out: &'a mut dyn Write,
}

impl<'kvs> VisitSource<'kvs> for KeyValueWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.out, " {key}={value}")?;
        Ok(())
    }
}

fn write_json(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let mut line = serde_json::Map::new();
    line.insert("time".into(), now.format("%Y-%m-%dT%H:%M:%S%.3f%:z").to_string().into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("part".into(), record.target().into());
    line.insert("message".into(), record.args().to_string().into());
    let mut visitor = JsonCollector { line: &mut line };
    record.key_values().visit(&mut visitor).map_err(std::io::Error::other)?;
    serde_json::to_writer(out, &line).map_err(std::io::Error::other)
}

struct JsonCollector<'a> {
    line: &'a mut serde_json::Map<String, serde_json::Value>,
}

impl<'kvs> VisitSource<'kvs> for JsonCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.line.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
