//! The command line: `serve`, `check-config` and the operator's commands.

mod client;
mod deployment;
mod diff;
mod exit;
mod preset;
mod table;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
};

use argh::FromArgs;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::{
    FindingList,
    settings::{EntrySettings, parse_settings},
};
use cassiawheel_platform::{
    BootFile, OperatorTable, PlatformCallers, PlatformEndpoints, PlatformOrigin, PlatformTable,
    RowClient, ServerTable,
};

use crate::RoutedAdapters;
use exit::{CommandError, EXIT_CODES};

/// Usage example below the help text; `argh` would join its lines in a doc comment.
const FIRST_SESSION: &str = "\
A first session, with an entry's operator address and a token of its settings:
  export CASSIAWHEEL_ADMIN=10.0.0.11:7002 CASSIAWHEEL_TOKEN=...
  cassiawheel preset put peak peak.json    store what each service serves
  cassiawheel preset diff peak             compare it with what is in force
  cassiawheel preset force peak            put it in force everywhere
  cassiawheel rollout                      watch the new version arrive";

/// The entry process and the operator's commands.
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
    Preset(preset::PresetArgs),
    Rollout(deployment::RolloutArgs),
    Status(deployment::StatusArgs),
    Drain(deployment::DrainArgs),
}

/// Runs an entry until SIGTERM; then drains and ends.
///
/// Exits 0 if every request was finished, 1 if the deadline control.drain_ms or a
/// second SIGTERM cut some off, 2 if the settings have findings.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArgs {
    /// settings file (JSON), see samples/entry.json; without it, the file that
    /// the platform names in the environment is read
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Checks a settings file and reports every finding with its place.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckArgs {
    /// settings file (JSON)
    #[argh(positional)]
    file: PathBuf,
}

/// Runs the command line.
pub fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(code) => return code,
    };
    let done = match args.command {
        EntryCommand::Serve(args) => serve(args.config.as_deref()),
        EntryCommand::CheckConfig(args) => check(&args.file),
        EntryCommand::Preset(args) => preset::run(args),
        EntryCommand::Rollout(args) => deployment::rollout(args),
        EntryCommand::Status(args) => deployment::status(args),
        EntryCommand::Drain(args) => deployment::drain(args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", error.message());
            error.exit_code()
        }
    }
}

/// Parses the arguments; returns the exit code if help or a usage error was printed.
fn parse_args() -> Result<EntryArgs, ExitCode> {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    EntryArgs::from_args(&["cassiawheel"], &args).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}\n\n{FIRST_SESSION}\n\n{EXIT_CODES}", exit.output.trim_end());
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}\nRun cassiawheel --help for more.", exit.output.trim_end());
            CommandError::Findings(String::new()).exit_code()
        }
    })
}

fn serve(config: Option<&Path>) -> Result<(), CommandError> {
    match (config, BootFile::path()) {
        (Some(config), _) => Ok(crate::run(read_settings(config)?)?),
        (None, Some(path)) => serve_on_platform(&path),
        (None, None) => {
            let message = "name a settings file: cassiawheel serve --config FILE";
            Err(CommandError::Findings(message.to_owned()))
        }
    }
}

fn serve_on_platform(path: &Path) -> Result<(), CommandError> {
    let findings = |findings: FindingList| CommandError::Findings(findings.to_string());
    let boot = BootFile::read(path).map_err(findings)?;
    let (settings, routed) = boot.entry_settings().map_err(findings)?;
    let client = HttpClient::default();
    let rows = RowClient::new(client, boot.store_addr(), boot.store_timeout());
    let adapters = RoutedAdapters {
        settings: routed,
        callers: Arc::new(PlatformCallers),
        endpoints: Arc::new(PlatformEndpoints),
        operators: Arc::new(OperatorTable::new(rows.clone(), boot.regions())),
        list: Arc::new(ServerTable::new(rows.clone())),
        table: Arc::new(PlatformTable::new(rows)),
        origin: Arc::new(PlatformOrigin::default()),
    };
    Ok(crate::run_routed(settings, adapters)?)
}

fn check(file: &Path) -> Result<(), CommandError> {
    read_settings(file)?;
    println!("{}: no findings", file.display());
    Ok(())
}

fn read_settings(path: &Path) -> Result<EntrySettings, CommandError> {
    let source = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandError::Findings(format!("{source}: cannot be read: {error}")))?;
    parse_settings(&source, &text).map_err(|findings| CommandError::Findings(findings.to_string()))
}
