//! Command line of the agent, the process at an endpoint instance.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
};

use argh::FromArgs;
use cassiawheel_agent::AgentClients;
use cassiawheel_edge::HttpClient;
use cassiawheel_model::settings::{AgentSettings, parse_settings};
use cassiawheel_platform::{BootFile, PlatformEngine, PlatformOrigin, PlatformTable, RowClient};

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
///
/// Exits 0 if every request was finished, 1 if the deadline drain_ms or a second
/// SIGTERM cut some off, 2 if the settings have findings.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArgs {
    /// settings file (JSON), see samples/agent.json; without it, the file that
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

/// Description of the exit codes, appended to the help text.
const EXIT_CODES: &str = "\
Exit codes: 0 done, every request was finished; 1 failed, or a stop cut requests
off; 2 wrong usage, or findings in the settings.";

/// Exit code of wrong usage and of settings with findings.
const FINDINGS_CODE: u8 = 2;

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(code) => return code,
    };
    match args.command {
        AgentCommand::Serve(args) => match (args.config, BootFile::path()) {
            (Some(config), _) => with_settings(&config, serve),
            (None, Some(path)) => serve_on_platform(&path),
            (None, None) => {
                eprintln!("name a settings file: cassiawheel-agent serve --config FILE");
                ExitCode::from(FINDINGS_CODE)
            }
        },
        AgentCommand::CheckConfig(args) => with_settings(&args.file, |_| {
            println!("{}: no findings", args.file.display());
            ExitCode::SUCCESS
        }),
    }
}

/// Parses the command line; on `--help` or wrong usage prints and returns the exit code.
fn parse_args() -> Result<AgentArgs, ExitCode> {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    AgentArgs::from_args(&["cassiawheel-agent"], &args).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}\n\n{EXIT_CODES}", exit.output.trim_end());
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}\nRun cassiawheel-agent --help for more.", exit.output.trim_end());
            ExitCode::from(FINDINGS_CODE)
        }
    })
}

fn serve(settings: AgentSettings) -> ExitCode {
    exit_code(cassiawheel_agent::run(settings))
}

fn serve_on_platform(path: &Path) -> ExitCode {
    let read = BootFile::read(path).and_then(|boot| Ok((boot.agent_settings()?, boot)));
    let (settings, boot) = match read {
        Ok(read) => read,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(FINDINGS_CODE);
        }
    };
    let client = HttpClient::default();
    let rows = RowClient::new(client.clone(), boot.store_addr(), boot.store_timeout());
    let clients = AgentClients {
        engine: Arc::new(PlatformEngine::new(client, settings.engine.addr)),
        table: Arc::new(PlatformTable::new(rows)),
        origin: Arc::new(PlatformOrigin::default()),
    };
    exit_code(cassiawheel_agent::run_with(settings, clients, boot.threads()))
}

fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings in `file` and passes them to `run`, or prints their findings.
fn with_settings(file: &Path, run: impl FnOnce(AgentSettings) -> ExitCode) -> ExitCode {
    let source = file.display().to_string();
    let read = std::fs::read_to_string(file)
        .map_err(|error| format!("{source}: cannot be read: {error}"))
        .and_then(|text| parse_settings(&source, &text).map_err(|found| found.to_string()));
    match read {
        Ok(settings) => run(settings),
        Err(findings) => {
            eprintln!("{findings}");
            ExitCode::from(FINDINGS_CODE)
        }
    }
}
