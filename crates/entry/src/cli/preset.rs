//! The commands for presets.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use cassiawheel_model::{ChangeId, ForcedPreset, PresetContent, PresetName, Timestamp};
use hyper::Method;

use super::{
    client::{AdminClient, AdminReply, CallFailure, ConnectOptions},
    diff::{PresetDifference, differences},
    exit::CommandError,
    table::TextTable,
};
use crate::{
    admin::{ForceCall, StoredReply},
    control::change::ChangeReply,
};

/// Stores presets, compares them and puts one in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "preset")]
pub(super) struct PresetArgs {
    /// an entry's operator address, IP:PORT; the environment's CASSIAWHEEL_ADMIN if left out
    #[argh(option)]
    admin: Option<SocketAddr>,
    /// file with the bearer token; the environment's CASSIAWHEEL_TOKEN if left out
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: PresetCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum PresetCommand {
    Put(PutArgs),
    Get(GetArgs),
    List(ListArgs),
    Diff(DiffArgs),
    Force(ForceArgs),
    History(HistoryArgs),
}

/// Stores a preset without putting it in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct PutArgs {
    /// the preset's name
    #[argh(positional)]
    name: PresetName,
    /// file with the preset's content (JSON); see docs/operators-api.md
    #[argh(positional)]
    file: PathBuf,
}

/// Shows a stored preset.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct GetArgs {
    /// the preset's name
    #[argh(positional)]
    name: PresetName,
}

/// Lists the stored presets.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

/// Shows what putting a preset in force would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffArgs {
    /// the preset that would be put in force
    #[argh(positional)]
    name: PresetName,
    /// another stored preset to compare with; the one in force if left out
    #[argh(positional)]
    other: Option<PresetName>,
}

/// Puts a stored preset in force.
///
/// If the outcome is unknown (exit code 4), run the printed command again: asking
/// with the same change id never makes a second change.
#[derive(FromArgs)]
#[argh(subcommand, name = "force")]
struct ForceArgs {
    /// the preset's name
    #[argh(positional)]
    name: PresetName,
    /// change id of an earlier call whose outcome is unknown
    #[argh(option)]
    change: Option<ChangeId>,
}

/// Shows every change of the preset in force, oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryArgs {}

/// Runs a `preset` command.
pub(super) fn run(args: PresetArgs) -> Result<(), CommandError> {
    let options =
        ConnectOptions { admin: args.admin, token_file: args.token_file, json: args.json };
    let client = options.client()?;
    match args.command {
        PresetCommand::Put(args) => put(&client, &args),
        PresetCommand::Get(args) => {
            let content: PresetContent = client.get(&preset_path(&args.name))?;
            client.print(&content, content_table)
        }
        PresetCommand::List(_) => {
            let names: Vec<PresetName> = client.get("/v1/presets")?;
            client.print(&names, |names| name_table(names))
        }
        PresetCommand::Diff(args) => diff(&client, &args),
        PresetCommand::Force(args) => force(&client, args),
        PresetCommand::History(_) => {
            let changes: Vec<ForcedPreset> = client.get("/v1/history")?;
            client.print(&changes, |changes| change_table(changes))
        }
    }
}

fn preset_path(name: &PresetName) -> String {
    format!("/v1/presets/{name}")
}

fn put(client: &AdminClient, args: &PutArgs) -> Result<(), CommandError> {
    let file = args.file.display();
    let content = std::fs::read(&args.file)
        .map_err(|error| CommandError::Findings(format!("{file}: cannot be read: {error}")))?;
    let reply = client.call(Method::PUT, &preset_path(&args.name), content)?;
    let stored: StoredReply = reply.parse_success()?;
    client.print(&stored, |stored| {
        let table = content_table(&stored.content);
        format!("{table}stored as {}, not in force yet", stored.preset)
    })
}

fn diff(client: &AdminClient, args: &DiffArgs) -> Result<(), CommandError> {
    let to: PresetContent = client.get(&preset_path(&args.name))?;
    let from = match &args.other {
        Some(other) => client.get(&preset_path(other))?,
        None => {
            let in_force: Option<ForcedPreset> = client.get("/v1/force")?;
            in_force.map(|preset| preset.content).unwrap_or_default()
        }
    };
    client.print(&differences(&from, &to), |differences| difference_table(differences))
}

fn force(client: &AdminClient, args: ForceArgs) -> Result<(), CommandError> {
    let fresh = args.change.is_none();
    let change = match args.change {
        Some(change) => change,
        None => new_change_id()?,
    };
    let call = ForceCall { preset: args.name, change, fresh };
    let body = serde_json::to_vec(&call).map_err(anyhow::Error::from)?;
    match client.call(Method::POST, "/v1/force", body) {
        Ok(reply) => report_change(client, reply, &call),
        Err(failure @ CallFailure::NotSent(_)) => Err(failure.into()),
        Err(CallFailure::NoAnswer(detail)) => Err(unknown_outcome(&call, &detail)),
    }
}

fn new_change_id() -> Result<ChangeId, CommandError> {
    let text = format!("cli-{}-{:08x}", Timestamp::now().0, rand::random::<u32>());
    ChangeId::new(&text).map_err(|error| CommandError::Failed(error.to_string()))
}

fn report_change(
    client: &AdminClient,
    reply: AdminReply,
    call: &ForceCall,
) -> Result<(), CommandError> {
    let Ok(change) = reply.parse::<ChangeReply>() else {
        return Err(reply.refusal());
    };
    client.print(&change, change_text)?;
    match change {
        ChangeReply::Accepted { .. } => Ok(()),
        ChangeReply::Conflict { .. } => Err(CommandError::Conflict(
            "another change was applied first; see `preset history`, then force again if needed"
                .to_owned(),
        )),
        ChangeReply::NotAccepted { detail } => {
            Err(CommandError::Failed(format!("nothing was changed: {detail}; try again later")))
        }
        ChangeReply::Unknown { detail, .. } => Err(unknown_outcome(call, &detail)),
    }
}

/// Error that states how to retry.
///
/// The lost reply may have been a success. A retry with a new change id could apply the change a
/// second time, possibly over a change of another operator in between.
fn unknown_outcome(call: &ForceCall, detail: &str) -> CommandError {
    let ForceCall { preset, change, .. } = call;
    CommandError::Unknown(format!(
        "it is unknown whether the change took effect: {detail}\n\
         ask again by: cassiawheel preset force {preset} --change {change}"
    ))
}

fn change_text(change: &ChangeReply) -> String {
    match change {
        ChangeReply::Accepted { preset } => {
            format!("in force: {} as of revision {}", preset.preset, preset.revision.0)
        }
        ChangeReply::Conflict { winner } => match winner {
            Some(winner) => change_table(&[ForcedPreset::clone(winner)]),
            None => "another change was applied first".to_owned(),
        },
        ChangeReply::NotAccepted { .. } => "not accepted".to_owned(),
        ChangeReply::Unknown { change, .. } => format!("unknown: change {change}"),
    }
}

fn name_table(names: &[PresetName]) -> String {
    let mut table = TextTable::new(&["PRESET"]);
    for name in names {
        table.push([name.to_string()]);
    }
    table.to_string()
}

fn content_table(content: &PresetContent) -> String {
    let mut table = TextTable::new(&["SERVICE", "VERSION", "REPLICAS", "LIMIT", "READY BY (ms)"]);
    for (name, target) in &content.services {
        table.push([
            name.to_string(),
            target.version.as_ref().map_or("plain".to_owned(), ToString::to_string),
            target.replicas.to_string(),
            target.max_in_flight.to_string(),
            target.ready_by.map_or("-".to_owned(), |deadline| deadline.0.to_string()),
        ]);
    }
    table.to_string()
}

fn change_table(changes: &[ForcedPreset]) -> String {
    let mut table = TextTable::new(&["REVISION", "PRESET", "OPERATOR", "AT (ms)", "CHANGE"]);
    for change in changes {
        table.push([
            change.revision.0.to_string(),
            change.preset.to_string(),
            change.operator.to_string(),
            change.changed_at.0.to_string(),
            change.change.to_string(),
        ]);
    }
    table.to_string()
}

fn difference_table(differences: &[PresetDifference]) -> String {
    if differences.is_empty() {
        return "no difference".to_owned();
    }
    let text = |value: &Option<String>| value.clone().unwrap_or("-".to_owned());
    let mut table = TextTable::new(&["SERVICE", "KEY", "FROM", "TO"]);
    for difference in differences {
        let PresetDifference { service, key, from, to } = difference;
        table.push([service.to_string(), key.clone(), text(from), text(to)]);
    }
    table.to_string()
}
