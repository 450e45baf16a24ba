//! The command line: `serve`, `check-config` and the operator's commands.

mod client;
mod operate;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Context;
use argh::FromArgs;
use cassiawheel_model::settings::{EntrySettings, parse_settings};

/// cassiawheel: the entry process and the operator's commands.
#[derive(FromArgs)]
struct EntryArgs {
    #[argh(subcommand)]
    command: EntryCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum EntryCommand {
    Serve(ServeArgs),
    CheckConfig(CheckArgs),
    Preset(operate::PresetArgs),
    Status(operate::StatusArgs),
}

/// Runs an entry until SIGTERM; then drains and ends.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArgs {
    /// settings file (JSON)
    #[argh(option)]
    config: PathBuf,
}

/// Checks a settings file and reports every finding with its place.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckArgs {
    /// settings file (JSON)
    #[argh(positional)]
    file: PathBuf,
}

/// Runs the command line; exit code 0 is success, 1 a failure.
pub fn main() -> ExitCode {
    let args: EntryArgs = argh::from_env();
    let done = match args.command {
        EntryCommand::Serve(args) => read_settings(&args.config).and_then(crate::run),
        EntryCommand::CheckConfig(args) => read_settings(&args.file).map(|_| {
            println!("{}: no findings", args.file.display());
        }),
        EntryCommand::Preset(args) => operate::preset(args),
        EntryCommand::Status(args) => operate::status(args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &Path) -> anyhow::Result<EntrySettings> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("{}: cannot be read", path.display()))?;
    Ok(parse_settings(&path.display().to_string(), &text)?)
}
