//! The operator's commands.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::Context;
use argh::FromArgs;
use cassiawheel_model::{ChangeId, PresetName, Timestamp};
use hyper::Method;

use super::client::AdminClient;
use crate::admin::ForceCall;

/// Environment variable with the token, if the option is not given.
const TOKEN_VARIABLE: &str = "CASSIAWHEEL_TOKEN";

/// Stores presets and puts one in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "preset")]
pub(super) struct PresetArgs {
    /// an entry's operator address, IP:PORT
    #[argh(option)]
    admin: SocketAddr,
    /// bearer token; the environment's CASSIAWHEEL_TOKEN if left out
    #[argh(option)]
    token: Option<String>,
    #[argh(subcommand)]
    command: PresetCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum PresetCommand {
    Put(PutArgs),
    Get(GetArgs),
    List(ListArgs),
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
    /// file with the preset's content (JSON)
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

/// Puts a stored preset in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "force")]
struct ForceArgs {
    /// the preset's name
    #[argh(positional)]
    name: PresetName,
    /// change id; asking again with the same id never makes a second change
    #[argh(option)]
    change: Option<ChangeId>,
}

/// Shows every change of the preset in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryArgs {}

/// Shows what an entry knows: preset in force, entries, services, endpoints.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(super) struct StatusArgs {
    /// an entry's operator address, IP:PORT
    #[argh(option)]
    admin: SocketAddr,
    /// bearer token; the environment's CASSIAWHEEL_TOKEN if left out
    #[argh(option)]
    token: Option<String>,
}

/// Runs a `preset` command.
pub(super) fn preset(args: PresetArgs) -> anyhow::Result<()> {
    let client = client(args.admin, args.token)?;
    match args.command {
        PresetCommand::Put(put) => {
            let content = std::fs::read(&put.file)
                .with_context(|| format!("{}: cannot be read", put.file.display()))?;
            show(&client, Method::PUT, &format!("/v1/presets/{}", put.name), content)
        }
        PresetCommand::Get(get) => {
            show(&client, Method::GET, &format!("/v1/presets/{}", get.name), Vec::new())
        }
        PresetCommand::List(_) => show(&client, Method::GET, "/v1/presets", Vec::new()),
        PresetCommand::History(_) => show(&client, Method::GET, "/v1/history", Vec::new()),
        PresetCommand::Force(force) => {
            let fresh = force.change.is_none();
            let change = match force.change {
                Some(change) => change,
                None => {
                    ChangeId::new(&format!("cli-{}-{}", Timestamp::now().0, std::process::id()))?
                }
            };
            let call = ForceCall { preset: force.name, change, fresh };
            show(&client, Method::POST, "/v1/force", serde_json::to_vec(&call)?)
        }
    }
}

/// Runs the `status` command.
pub(super) fn status(args: StatusArgs) -> anyhow::Result<()> {
    show(&client(args.admin, args.token)?, Method::GET, "/v1/status", Vec::new())
}

fn client(addr: SocketAddr, token: Option<String>) -> anyhow::Result<AdminClient> {
    let token = match token {
        Some(token) => token,
        None => std::env::var(TOKEN_VARIABLE)
            .with_context(|| format!("give --token or set {TOKEN_VARIABLE}"))?,
    };
    Ok(AdminClient { addr, token })
}

fn show(client: &AdminClient, method: Method, path: &str, body: Vec<u8>) -> anyhow::Result<()> {
    let reply = client.call(method, path, body)?;
    let value: serde_json::Value =
        serde_json::from_slice(reply.body()).context("the reply is not JSON")?;
    let text = serde_json::to_string_pretty(&value)?;
    if !reply.status().is_success() {
        anyhow::bail!("{}\n{text}", reply.status());
    }
    println!("{text}");
    Ok(())
}
