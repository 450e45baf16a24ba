//! Settings of both binaries.
//!
//! A settings file is JSON. Reading it collects every finding with its place;
//! a process starts only when there is none.

pub mod agent;
pub mod common;
pub mod entry;

pub use agent::{AgentSettings, EngineSettings, TransferMode, TransferSettings};
pub use common::{LogFormat, LogSettings, PlaceSettings, PlatformSettings};
pub use entry::{
    CallerSettings, ControlSettings, EntryListen, EntrySettings, OperatorRole, OperatorToken,
};

use serde::de::DeserializeOwned;

use crate::FindingList;

/// Settings that can be checked as a whole.
pub trait CheckedSettings: DeserializeOwned {
    /// Adds everything that is wrong with the values.
    fn check(&self, findings: &mut FindingList);
}

/// Parses and checks the settings in `text`; `source` names the file.
pub fn parse_settings<T: CheckedSettings>(source: &str, text: &str) -> Result<T, FindingList> {
    let mut findings = FindingList::new(source);
    let mut parser = serde_json::Deserializer::from_str(text);
    let settings: T = match serde_path_to_error::deserialize(&mut parser) {
        Ok(settings) => settings,
        Err(error) => {
            findings.push(error.path().to_string(), error.inner());
            return Err(findings);
        }
    };
    if let Err(error) = parser.end() {
        findings.push(".", error);
    }
    settings.check(&mut findings);
    findings.into_result(settings)
}
