//! Walking through a settings file beside an example that is known to be good.
//!
//! Reading a file into its type ends at the first fault. The walk instead
//! tries each value of the file by itself in the example's place: whatever
//! the type refuses there is a finding, and the walk goes on. What was refused
//! or is missing keeps the example's value, so that the rest can be checked.

use serde_json::{Map, Value};

use super::{CheckedSettings, tree::key_path};
use crate::FindingList;

/// The outcome of a walk.
pub(super) struct WalkedSettings<T> {
    /// The file's values, with the example's where the file has none that fits.
    pub(super) settings: T,
    replaced: Vec<String>,
}

impl<T> WalkedSettings<T> {
    /// Whether a finding may come from one of the example's values.
    pub(super) fn depends_on_example(&self, path: &str, message: &str) -> bool {
        self.replaced.iter().any(|replaced| {
            path.starts_with(replaced.as_str()) || message.contains(replaced.as_str())
        })
    }
}

/// Walks through `tree`; `None` if nothing can be made of it.
pub(super) fn walk<T: CheckedSettings>(
    tree: &Value,
    findings: &mut FindingList,
) -> Option<WalkedSettings<T>> {
    let example = match serde_json::to_value(T::example()) {
        Ok(example) => example,
        Err(error) => {
            findings.push(".", format_args!("cannot be checked: {error}"));
            return None;
        }
    };
    let refusal = |trial: &Value| T::deserialize(trial).err().map(|error| error.to_string());
    let mut walker =
        TreeWalker { example: &example, refusal: &refusal, findings, replaced: vec![] };
    let known = walker.visit(tree, &example, "", "");
    let replaced = walker.replaced;
    match T::deserialize(&known) {
        Ok(settings) => Some(WalkedSettings { settings, replaced }),
        Err(error) => {
            findings.push(".", error);
            None
        }
    }
}

struct TreeWalker<'a> {
    example: &'a Value,
    refusal: &'a dyn Fn(&Value) -> Option<String>,
    findings: &'a mut FindingList,
    replaced: Vec<String>,
}

impl TreeWalker<'_> {
    /// Checks `given`; `known` is the example's value at `pointer`, `path` the place in the file.
    fn visit(&mut self, given: &Value, known: &Value, pointer: &str, path: &str) -> Value {
        match (given, known) {
            (Value::Object(given), Value::Object(known)) => {
                self.visit_object(given, known, pointer, path)
            }
            (Value::Array(given), Value::Array(known)) if !known.is_empty() => {
                let pointer = format!("{pointer}/0");
                let items = given.iter().enumerate();
                let visited = items.map(|(index, item)| {
                    self.visit(item, &known[0], &pointer, &format!("{path}[{index}]"))
                });
                Value::Array(visited.collect())
            }
            _ => self.visit_value(given, known, pointer, path),
        }
    }

    fn visit_object(
        &mut self,
        given: &Map<String, Value>,
        known: &Map<String, Value>,
        pointer: &str,
        path: &str,
    ) -> Value {
        let mut visited = Map::new();
        for (key, value) in given {
            let place = key_path(path, key);
            if let Some(known) = known.get(key) {
                let pointer = format!("{pointer}/{}", escape(key));
                visited.insert(key.clone(), self.visit(value, known, &pointer, &place));
            } else if let Some((sibling, known)) = self.free_key(known, pointer, key) {
                let pointer = format!("{pointer}/{}", escape(sibling));
                visited.insert(key.clone(), self.visit(value, known, &pointer, &place));
            } else {
                self.findings.push(&place, unknown_key(known));
            }
        }
        for (key, value) in known {
            if !given.contains_key(key) && self.is_required(pointer, key) {
                let place = key_path(path, key);
                self.findings.push(&place, "is missing");
                self.replaced.push(place);
                visited.insert(key.clone(), value.clone());
            }
        }
        Value::Object(visited)
    }

    fn visit_value(&mut self, given: &Value, known: &Value, pointer: &str, path: &str) -> Value {
        let mut trial = self.example.clone();
        if let Some(place) = trial.pointer_mut(pointer) {
            *place = given.clone();
        }
        let Some(refusal) = (self.refusal)(&trial) else {
            return given.clone();
        };
        let place = if path.is_empty() { "." } else { path };
        self.findings.push(place, format_args!("{refusal}{}", unit_hint(given, path)));
        self.replaced.push(place.to_owned());
        known.clone()
    }

    /// A key beside which `key` may stand freely, as in a map from names.
    fn free_key<'k>(
        &self,
        known: &'k Map<String, Value>,
        pointer: &str,
        key: &str,
    ) -> Option<(&'k String, &'k Value)> {
        let (sibling, value) = known.iter().next()?;
        let mut trial = self.example.clone();
        let object = trial.pointer_mut(pointer)?.as_object_mut()?;
        object.insert(key.to_owned(), value.clone());
        (self.refusal)(&trial).is_none().then_some((sibling, value))
    }

    fn is_required(&self, pointer: &str, key: &str) -> bool {
        let mut trial = self.example.clone();
        if let Some(Value::Object(object)) = trial.pointer_mut(pointer) {
            object.remove(key);
        }
        (self.refusal)(&trial).is_some()
    }
}

fn escape(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}

fn unknown_key(known: &Map<String, Value>) -> String {
    let known: Vec<_> = known.keys().map(String::as_str).collect();
    format!("is not a known key; known here are {}", known.join(", "))
}

/// What to write instead, where the key's name tells its unit.
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
