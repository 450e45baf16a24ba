//! Settings of both binaries.
//!
//! A settings file is JSON. Reading it collects every finding with its place;
//! a process starts only when there is none. The steps:
//!
//! `text → tree (syntax, keys given twice) → walk (unknown and missing keys,
//! wrong types) → check (limits, overlapping addresses)`
//!
//! A key `"//"` holds a note for people; it may stand in every object and is
//! ignored. JSON has no comments, and a note beside the value that it explains
//! is read more often than a file of its own.

pub mod agent;
pub mod common;
pub mod entry;
pub mod listener;
pub mod routing;
mod tree;
mod walk;

pub use agent::{AgentSettings, EngineSettings, TransferMode, TransferSettings};
pub use common::{LogFormat, LogSettings, PlaceSettings, PlatformSettings};
pub use entry::{
    CallerSettings, ControlSettings, EntryListen, EntrySettings, OperatorRole, OperatorToken,
};
pub use listener::ListenerSettings;
pub use routing::RoutingSettings;

use serde::{Serialize, de::DeserializeOwned};

use crate::FindingList;

/// Settings that can be checked as a whole.
pub trait CheckedSettings: DeserializeOwned + Serialize {
    /// Valid settings in which every key is present.
    ///
    /// The walk through a file takes the known keys from it and tries each
    /// value of the file in its place, so that what is checked can never
    /// differ from what is read.
    fn example() -> Self;

    /// Adds everything that is wrong with the values.
    fn check(&self, findings: &mut FindingList);
}

/// Parses and checks the settings in `text`; `source` names the file.
pub fn parse_settings<T: CheckedSettings>(source: &str, text: &str) -> Result<T, FindingList> {
    let mut findings = FindingList::new(source);
    let Some(tree) = tree::read_tree(text, &mut findings) else {
        return Err(findings);
    };
    let Some(walked) = walk::walk::<T>(&tree, &mut findings) else {
        return Err(findings);
    };
    let mut checked = FindingList::new(source);
    walked.settings.check(&mut checked);
    let certain = |path: &str, message: &str| !walked.depends_on_example(path, message);
    findings.extend_where(checked, certain);
    findings.into_result(walked.settings)
}
