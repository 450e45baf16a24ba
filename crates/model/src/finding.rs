//! Findings: errors in operator input, each with the path at which it occurs.
//!
//! Checks continue after the first error, so that one run reports all of them.

use std::fmt;

use macro_rules_attribute::apply;

/// An error in operator input.
#[apply(record!)]
#[derive(Eq)]
pub struct InputFinding {
    /// File or part of a request, for example `entry.json`.
    pub source: String,
    /// JSON path inside the source, for example `listen.caller`.
    pub path: String,
    /// What is wrong and what is accepted instead.
    pub message: String,
}

/// The findings of one check, in the order in which they were found.
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

    /// Adds a finding.
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

    /// Adds the findings of `other` for whose path and message `holds` returns true.
    pub fn extend_where(&mut self, other: FindingList, holds: impl Fn(&str, &str) -> bool) {
        let kept = other.items.into_iter().filter(|finding| holds(&finding.path, &finding.message));
        self.items.extend(kept);
    }

    /// The findings in the order in which they were found.
    pub fn as_slice(&self) -> &[InputFinding] {
        &self.items
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns `value` if there are no findings, otherwise the findings.
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
        for (index, finding) in self.items.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}
