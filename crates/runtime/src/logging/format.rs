//! The two formats of log lines.
//!
//! Some values come from callers and operators. They are quoted so that a line can
//! be parsed unambiguously: a value cannot forge another key, and a newline in a
//! value cannot forge another line.

use std::{
    borrow::Cow,
    fmt::Display,
    io::{self, Write},
};

use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};

/// Writes `TIME LEVEL target: Sentence. key=value …`.
pub fn write_key_value(
    out: &mut dyn Write,
    time: impl Display,
    record: &Record<'_>,
) -> io::Result<()> {
    write!(out, "{time} {} {}: ", record.level(), record.target())?;
    let sentence = text_of(record.args());
    let plain = !sentence.chars().any(|c| c.is_control() || ['"', '='].contains(&c));
    write_text(out, &sentence, plain)?;
    let mut writer = PairWriter { out };
    record.key_values().visit(&mut writer).map_err(io::Error::other)
}

/// Writes a JSON object with `time`, `level`, `part` (the log target), `message` and the keys.
pub fn write_json(out: &mut dyn Write, time: impl Display, record: &Record<'_>) -> io::Result<()> {
    let mut line = serde_json::Map::new();
    let mut collector = JsonCollector { line: &mut line };
    record.key_values().visit(&mut collector).map_err(io::Error::other)?;
    line.insert("time".into(), time.to_string().into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("part".into(), record.target().into());
    line.insert("message".into(), record.args().to_string().into());
    serde_json::to_writer(out, &line).map_err(io::Error::other)
}

struct PairWriter<'a> {
    out: &'a mut dyn Write,
}

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.out, " {key}=")?;
        let text = match value.to_borrowed_str() {
            Some(text) => Cow::Borrowed(text),
            None => Cow::Owned(value.to_string()),
        };
        write_text(self.out, &text, is_plain_value(&text))?;
        Ok(())
    }
}

struct JsonCollector<'a> {
    line: &'a mut serde_json::Map<String, serde_json::Value>,
}

impl<'kvs> VisitSource<'kvs> for JsonCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.line.insert(key.as_str().to_owned(), json_value(&value));
        Ok(())
    }
}

fn json_value(value: &Value<'_>) -> serde_json::Value {
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    if let Some(flag) = value.to_bool() {
        return flag.into();
    }
    match value.to_f64() {
        // Infinity and NaN are not JSON numbers.
        Some(number) if number.is_finite() => number.into(),
        _ => value.to_string().into(),
    }
}

fn text_of<'a>(args: &std::fmt::Arguments<'a>) -> Cow<'a, str> {
    args.as_str().map_or_else(|| Cow::Owned(args.to_string()), Cow::Borrowed)
}

fn is_plain_value(text: &str) -> bool {
    let special = |c: char| c.is_control() || c.is_whitespace() || ['"', '=', '\\'].contains(&c);
    !text.is_empty() && !text.contains(special)
}

/// Writes `text` unquoted if it is `plain`, otherwise as a JSON string.
fn write_text(out: &mut dyn Write, text: &str, plain: bool) -> io::Result<()> {
    if plain {
        return out.write_all(text.as_bytes());
    }
    serde_json::to_writer(out, text).map_err(io::Error::other)
}
