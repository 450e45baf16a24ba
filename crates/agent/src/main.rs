//! The process at an endpoint instance.

use std::{path::PathBuf, process::ExitCode};

use anyhow::Context;
use argh::FromArgs;
use cassiawheel_model::settings::{AgentSettings, parse_settings};

/// The process at an endpoint instance: fetches weights, gates the engine and
/// runs requests that entries send it.
#[derive(FromArgs)]
struct AgentArgs {
    #[argh(subcommand)]
    command: AgentCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum AgentCommand {
    Serve(ServeArgs),
    CheckConfig(CheckArgs),
}

/// Runs the agent until SIGTERM; then drains and ends.
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

fn main() -> ExitCode {
    let args: AgentArgs = argh::from_env();
    let done = match args.command {
        AgentCommand::Serve(args) => read_settings(&args.config).and_then(cassiawheel_agent::run),
        AgentCommand::CheckConfig(args) => read_settings(&args.file).map(|_| {
            println!("{}: no findings", args.file.display());
        }),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &std::path::Path) -> anyhow::Result<AgentSettings> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("{}: cannot be read", path.display()))?;
    Ok(parse_settings(&path.display().to_string(), &text)?)
}
