//! Settings of the entry and agent binaries.
//!
//! A settings file is JSON. Parsing collects every finding with its path, and a
//! process starts only if there are none. The steps are:
//!
//! `text → tree (syntax, duplicate keys) → merge (unknown and missing keys,
//! wrong types) → check (limits, overlapping addresses)`
//!
//! The key `"//"` holds a comment; it is allowed in every object and ignored.
//! JSON has no comments, and a comment next to the value that it explains is read
//! more often than one in a separate file.

pub mod agent;
pub mod common;
pub mod entry;
pub mod listener;
mod merge;
pub mod routing;
mod tree;

pub use agent::{AgentSettings, EngineSettings, TransferMode, TransferSettings};
pub use common::{LogFormat, LogSettings, PlaceSettings, PlatformSettings};
pub use entry::{
    CallerSettings, ControlSettings, EntryListen, EntrySettings, OperatorRole, OperatorToken,
};
pub use listener::ListenerSettings;
pub use routing::RoutingSettings;

use serde::{Serialize, de::DeserializeOwned};

use crate::FindingList;

/// Settings that are parsed and checked by [`parse_settings`].
pub trait CheckedSettings: DeserializeOwned + Serialize {
    /// Returns valid settings in which every key is present.
    ///
    /// Parsing takes the known keys from the example and deserialises each value of the file in
    /// its place, so that the check accepts exactly what the type accepts.
    fn example() -> Self;

    /// Adds a finding for each invalid value.
    fn check(&self, findings: &mut FindingList);
}

/// Parses and checks the settings in `text`; `source` is the file name used in findings.
pub fn parse_settings<T: CheckedSettings>(source: &str, text: &str) -> Result<T, FindingList> {
    let mut findings = FindingList::new(source);
    let Some(tree) = tree::parse_tree(text, &mut findings) else {
        return Err(findings);
    };
    let Some(merged) = merge::merge_with_example::<T>(&tree, &mut findings) else {
        return Err(findings);
    };
    let mut checked = FindingList::new(source);
    merged.settings.check(&mut checked);
    let is_certain = |path: &str, message: &str| !merged.depends_on_example(path, message);
    findings.extend_where(checked, is_certain);
    findings.into_result(merged.settings)
}
