//! Exit codes and error messages of commands.

use std::process::ExitCode;

/// Exit codes, as printed by `--help` and listed in the operators' manual.
pub(super) const EXIT_CODES: &str = "\
Exit codes: 0 done; 1 failed; 2 wrong usage, or findings in a file; 3 conflict:
another change won, nothing of yours took effect; 4 unknown: the change may have
taken effect, ask again with the change id that was printed; 5 refused: no token,
a wrong one, or one that may only view.";

/// Error of a command.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The command failed, and nothing was changed.
    Failed(String),
    /// A file or argument is invalid.
    Findings(String),
    /// Another change was applied first.
    Conflict(String),
    /// The change may have taken effect.
    Unknown(String),
    /// The token does not permit the command.
    Refused(String),
}

impl CommandError {
    /// Exit code for scripts.
    pub(super) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Failed(_) => 1,
            Self::Findings(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unknown(_) => 4,
            Self::Refused(_) => 5,
        })
    }

    /// Text for standard error.
    pub(super) fn message(&self) -> &str {
        match self {
            Self::Failed(text)
            | Self::Findings(text)
            | Self::Conflict(text)
            | Self::Unknown(text)
            | Self::Refused(text) => text,
        }
    }
}

impl From<anyhow::Error> for CommandError {
    fn from(error: anyhow::Error) -> Self {
        Self::Failed(format!("{error:#}"))
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> Self {
        Self::Failed(error.to_string())
    }
}
