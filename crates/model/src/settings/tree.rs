//! Parsing of JSON into a tree that reports duplicate keys.
//!
//! `serde_json::Value` silently keeps the last of two equal keys, so an edit of
//! the first one would have no effect. Here the second one is a finding. Comments
//! (`"//"`) are omitted.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

use crate::FindingList;

/// Key of comments.
const COMMENT_KEY: &str = "//";

/// Parses `text`; returns `None` if it is not JSON.
pub(super) fn parse_tree(text: &str, findings: &mut FindingList) -> Option<Value> {
    let mut parser = serde_json::Deserializer::from_str(text);
    let seed = TreeSeed { path: String::new(), findings };
    let parsed = seed.deserialize(&mut parser).and_then(|tree| parser.end().map(|()| tree));
    match parsed {
        Ok(tree) => Some(tree),
        Err(error) => {
            findings.push(".", format_args!("is not JSON: {error}"));
            None
        }
    }
}

/// Joins `path` and `key`.
pub(super) fn key_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

struct TreeSeed<'a> {
    path: String,
    findings: &'a mut FindingList,
}

impl<'de> DeserializeSeed<'de> for TreeSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, parser: D) -> Result<Value, D::Error> {
        parser.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for TreeSeed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, list.len());
            let seed = TreeSeed { path, findings: &mut *self.findings };
            let Some(item) = items.next_element_seed(seed)? else {
                return Ok(Value::Array(list));
            };
            list.push(item);
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            let path = key_path(&self.path, &key);
            let seed = TreeSeed { path: path.clone(), findings: &mut *self.findings };
            let value = entries.next_value_seed(seed)?;
            if key == COMMENT_KEY {
                continue;
            }
            if object.insert(key, value).is_some() {
                self.findings.push(path, "is given twice");
            }
        }
        Ok(Value::Object(object))
    }
}
