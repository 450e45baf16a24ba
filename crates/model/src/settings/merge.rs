//! Merges a settings file with example settings to find all errors at once.
//!
//! Deserialising a file stops at the first error. The merge instead puts each
//! value of the file separately into the valid example and deserialises that; an
//! error there becomes a finding, and the merge continues. A value that is
//! rejected or missing is replaced by the example's, so that the rest can be
//! checked.

use serde_json::{Map, Value};

use super::{CheckedSettings, tree::key_path};
use crate::FindingList;

/// Settings merged from a file and the example.
pub(super) struct MergedSettings<T> {
    /// Values of the file, replaced by the example's where they are missing or invalid.
    pub(super) settings: T,
    replaced: Vec<String>,
}

impl<T> MergedSettings<T> {
    /// Whether a finding may be caused by a value that was replaced by the example's.
    pub(super) fn depends_on_example(&self, path: &str, message: &str) -> bool {
        self.replaced.iter().any(|replaced| {
            path.starts_with(replaced.as_str()) || message.contains(replaced.as_str())
        })
    }
}

/// Merges `tree` with the example; returns `None` if no settings can be built from it.
pub(super) fn merge_with_example<T: CheckedSettings>(
    tree: &Value,
    findings: &mut FindingList,
) -> Option<MergedSettings<T>> {
    let example = match serde_json::to_value(T::example()) {
        Ok(example) => example,
        Err(error) => {
            findings.push(".", format_args!("cannot be checked: {error}"));
            return None;
        }
    };
    let parse_error = |trial: &Value| T::deserialize(trial).err().map(|error| error.to_string());
    let mut merger =
        TreeMerger { example: &example, parse_error: &parse_error, findings, replaced: vec![] };
    let tree = merger.merge(tree, &example, "", "");
    let replaced = merger.replaced;
    match T::deserialize(&tree) {
        Ok(settings) => Some(MergedSettings { settings, replaced }),
        Err(error) => {
            findings.push(".", error);
            None
        }
    }
}

struct TreeMerger<'a> {
    example: &'a Value,
    parse_error: &'a dyn Fn(&Value) -> Option<String>,
    findings: &'a mut FindingList,
    replaced: Vec<String>,
}

impl TreeMerger<'_> {
    /// Merges `given`; `known` is the example's value at `pointer`, `path` the path in the file.
    fn merge(&mut self, given: &Value, known: &Value, pointer: &str, path: &str) -> Value {
        match (given, known) {
            (Value::Object(given), Value::Object(known)) => {
                self.merge_object(given, known, pointer, path)
            }
            (Value::Array(given), Value::Array(known)) if !known.is_empty() => {
                let pointer = format!("{pointer}/0");
                let items = given.iter().enumerate();
                let merged = items.map(|(index, item)| {
                    self.merge(item, &known[0], &pointer, &format!("{path}[{index}]"))
                });
                Value::Array(merged.collect())
            }
            _ => self.merge_value(given, known, pointer, path),
        }
    }

    fn merge_object(
        &mut self,
        given: &Map<String, Value>,
        known: &Map<String, Value>,
        pointer: &str,
        path: &str,
    ) -> Value {
        let mut merged = Map::new();
        for (key, value) in given {
            let path = key_path(path, key);
            if let Some(known) = known.get(key) {
                let pointer = format!("{pointer}/{}", escape(key));
                merged.insert(key.clone(), self.merge(value, known, &pointer, &path));
            } else if let Some((sibling, known)) = self.map_sibling(known, pointer, key) {
                let pointer = format!("{pointer}/{}", escape(sibling));
                merged.insert(key.clone(), self.merge(value, known, &pointer, &path));
            } else {
                self.findings.push(&path, unknown_key(known));
            }
        }
        for (key, value) in known {
            if !given.contains_key(key) && self.is_required(pointer, key) {
                let path = key_path(path, key);
                self.findings.push(&path, "is missing");
                self.replaced.push(path);
                merged.insert(key.clone(), value.clone());
            }
        }
        Value::Object(merged)
    }

    fn merge_value(&mut self, given: &Value, known: &Value, pointer: &str, path: &str) -> Value {
        let mut trial = self.example.clone();
        if let Some(slot) = trial.pointer_mut(pointer) {
            *slot = given.clone();
        }
        let Some(error) = (self.parse_error)(&trial) else {
            return given.clone();
        };
        let shown_path = if path.is_empty() { "." } else { path };
        self.findings.push(shown_path, format_args!("{error}{}", unit_hint(given, path)));
        self.replaced.push(shown_path.to_owned());
        known.clone()
    }

    /// Returns a known key and value if `key` is accepted next to it, as in a map.
    fn map_sibling<'k>(
        &self,
        known: &'k Map<String, Value>,
        pointer: &str,
        key: &str,
    ) -> Option<(&'k String, &'k Value)> {
        let (sibling, value) = known.iter().next()?;
        let mut trial = self.example.clone();
        let object = trial.pointer_mut(pointer)?.as_object_mut()?;
        object.insert(key.to_owned(), value.clone());
        (self.parse_error)(&trial).is_none().then_some((sibling, value))
    }

    fn is_required(&self, pointer: &str, key: &str) -> bool {
        let mut trial = self.example.clone();
        if let Some(Value::Object(object)) = trial.pointer_mut(pointer) {
            object.remove(key);
        }
        (self.parse_error)(&trial).is_some()
    }
}

fn escape(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}

fn unknown_key(known: &Map<String, Value>) -> String {
    let known: Vec<_> = known.keys().map(String::as_str).collect();
    format!("is not a known key; known here are {}", known.join(", "))
}

/// Hint on the correct form of a value whose key ends in a unit.
fn unit_hint(given: &Value, path: &str) -> &'static str {
    if !given.is_string() && !given.is_f64() {
        return "";
    }
    match path.rsplit('_').next() {
        Some("ms") => "; write whole milliseconds without a unit, for example 2000",
        Some("bytes") => "; write whole bytes without a unit, for example 65536",
        Some("s") => "; write a whole number per second without a unit",
        _ => "",
    }
}
