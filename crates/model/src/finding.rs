//! Findings: everything wrong with an operator's input, each with its place.
//!
//! A check goes on after the first fault, so that one run names them all.

use std::fmt;

use macro_rules_attribute::apply;

/// Where a fault lies.
#[apply(record!)]
#[derive(Eq)]
pub struct InputFinding {
    /// The file or request part, for example `entry.json`.
    pub source: String,
    /// The JSON path inside the source, for example `listen.caller`.
    pub path: String,
    /// What is wrong there and what would be right.
    pub message: String,
}

/// The findings of one check.
#[apply(record!)]
#[derive(Eq, Default)]
pub struct FindingList {
    source: String,
    #[serde(rename = "places")]
    items: Vec<InputFinding>,
}

impl FindingList {
    /// An empty list for `source`.
    pub fn new(source: &str) -> Self {
        Self { source: source.to_owned(), items: Vec::new() }
    }

    /// Adds one finding.
    pub fn push(&mut self, path: impl fmt::Display, message: impl fmt::Display) {
        self.items.push(InputFinding {
            source: self.source.clone(),
            path: path.to_string(),
            message: message.to_string(),
        });
    }

    /// Adds a finding unless `holds`.
    pub fn require(&mut self, holds: bool, path: impl fmt::Display, message: impl fmt::Display) {
        if !holds {
            self.push(path, message);
        }
    }

    /// Adds those findings of `other` for whose path and message `holds`.
    pub fn extend_where(&mut self, other: FindingList, holds: impl Fn(&str, &str) -> bool) {
        let kept = other.items.into_iter().filter(|place| holds(&place.path, &place.message));
        self.items.extend(kept);
    }

    /// The findings in the order of their discovery.
    pub fn as_slice(&self) -> &[InputFinding] {
        &self.items
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// `value` if nothing was found, otherwise the findings.
    pub fn into_result<T>(self, value: T) -> Result<T, FindingList> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for InputFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.source, self.path, self.message)
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, place) in self.items.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{place}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}
