//! Commands that show the deployment or drain an instance.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use cassiawheel_model::{
    EndpointState, InstanceId, ModelVersion, ServiceName, StagedWeights, record,
};
use hyper::Method;
use macro_rules_attribute::apply;

use super::{
    client::{AdminClient, ConnectOptions},
    exit::CommandError,
    table::TextTable,
};
use crate::admin::{DrainReply, EndpointStatus, StatusReply};

/// Shows how far each service has come with the version that the preset in force names.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
pub(super) struct RolloutArgs {
    /// an entry's operator address, IP:PORT; the environment's CASSIAWHEEL_ADMIN if left out
    #[argh(option)]
    admin: Option<SocketAddr>,
    /// file with the bearer token; the environment's CASSIAWHEEL_TOKEN if left out
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

/// Shows the state at an entry: preset in force, entries, services, endpoints.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(super) struct StatusArgs {
    /// an entry's operator address, IP:PORT; the environment's CASSIAWHEEL_ADMIN if left out
    #[argh(option)]
    admin: Option<SocketAddr>,
    /// file with the bearer token; the environment's CASSIAWHEEL_TOKEN if left out
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

/// Takes an entry or endpoint instance out of service without cutting a request off.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(super) struct DrainArgs {
    /// an entry's operator address, IP:PORT; the environment's CASSIAWHEEL_ADMIN if left out
    #[argh(option)]
    admin: Option<SocketAddr>,
    /// file with the bearer token; the environment's CASSIAWHEEL_TOKEN if left out
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON instead of a sentence
    #[argh(switch)]
    json: bool,
    /// the instance, as `status` names it
    #[argh(positional)]
    instance: InstanceId,
}

/// Rollout progress of one service.
#[apply(record!)]
struct RolloutProgress {
    service: ServiceName,
    version: Option<ModelVersion>,
    replicas_wanted: u32,
    replicas_ready: u32,
    /// Endpoints that hold all of the version and do not serve it yet.
    replicas_staged: u32,
    /// Verified chunks of the version at endpoints that do not hold all of it.
    chunks_ready: u64,
    /// Chunks of the version that those endpoints have to hold.
    chunks_total: u64,
}

/// Runs the `rollout` command.
pub(super) fn rollout(args: RolloutArgs) -> Result<(), CommandError> {
    let client = connect(args.admin, args.token_file, args.json)?;
    let status: StatusReply = client.get("/v1/status")?;
    client.print(&progress(&status), |progress| progress_table(progress))
}

/// Runs the `status` command.
pub(super) fn status(args: StatusArgs) -> Result<(), CommandError> {
    let client = connect(args.admin, args.token_file, args.json)?;
    let status: StatusReply = client.get("/v1/status")?;
    client.print(&status, status_text)
}

/// Runs the `drain` command.
pub(super) fn drain(args: DrainArgs) -> Result<(), CommandError> {
    let client = connect(args.admin, args.token_file, args.json)?;
    let path = format!("/v1/drain/{}", args.instance);
    let reply: DrainReply = client.call(Method::POST, &path, Vec::new())?.parse_success()?;
    client.print(&reply, |reply| {
        format!("{} was asked to leave; watch it with `cassiawheel status`", reply.instance)
    })
}

fn connect(
    admin: Option<SocketAddr>,
    token_file: Option<PathBuf>,
    json: bool,
) -> Result<AdminClient, CommandError> {
    ConnectOptions { admin, token_file, json }.client()
}

fn progress(status: &StatusReply) -> Vec<RolloutProgress> {
    let row = |(name, target): (&ServiceName, &crate::admin::ServiceStatus)| {
        let endpoints = status.endpoints.iter().filter(|endpoint| endpoint.report.service == *name);
        let staging: Vec<&StagedWeights> = endpoints
            .filter(|endpoint| !is_serving(endpoint, target.version.as_ref()))
            .filter_map(|endpoint| endpoint.report.staged.as_ref())
            .filter(|staged| Some(&staged.version) == target.version.as_ref())
            .collect();
        let whole = |staged: &&&StagedWeights| staged.chunks_ready == staged.chunks_total;
        let partial: Vec<_> = staging.iter().filter(|staged| !whole(staged)).collect();
        RolloutProgress {
            service: name.clone(),
            version: target.version.clone(),
            replicas_wanted: target.replicas_wanted,
            replicas_ready: target.replicas_ready,
            replicas_staged: staging.iter().filter(whole).count() as u32,
            chunks_ready: partial.iter().map(|staged| u64::from(staged.chunks_ready)).sum(),
            chunks_total: partial.iter().map(|staged| u64::from(staged.chunks_total)).sum(),
        }
    };
    status.services.iter().map(row).collect()
}

fn is_serving(endpoint: &EndpointStatus, wanted: Option<&ModelVersion>) -> bool {
    let state = &endpoint.report.state;
    matches!(state, EndpointState::Serving { version, .. } if version.as_ref() == wanted)
}

fn version_text(version: Option<&ModelVersion>) -> String {
    version.map_or("plain".to_owned(), ToString::to_string)
}

fn progress_table(rows: &[RolloutProgress]) -> String {
    let mut table =
        TextTable::new(&["SERVICE", "VERSION", "WANTED", "READY", "STAGED", "FETCHING"]);
    for row in rows {
        let fetching = match row.chunks_total {
            0 => "-".to_owned(),
            total => format!("{}/{total} chunks", row.chunks_ready),
        };
        table.push([
            row.service.to_string(),
            version_text(row.version.as_ref()),
            row.replicas_wanted.to_string(),
            row.replicas_ready.to_string(),
            row.replicas_staged.to_string(),
            fetching,
        ]);
    }
    table.to_string()
}

fn status_text(status: &StatusReply) -> String {
    let preset = status.preset.as_ref().map_or("none".to_owned(), ToString::to_string);
    let store = match status.store_age_ms {
        Some(age) => format!("answered {age} ms ago"),
        None => "has not answered yet".to_owned(),
    };
    let mut entries = TextTable::new(&["ENTRY", "REVISION"]);
    for (instance, revision) in &status.entries {
        entries.push([instance.to_string(), revision.0.to_string()]);
    }
    let mut endpoints =
        TextTable::new(&["ENDPOINT", "FAILURE DOMAIN", "SERVICE", "STATE", "REVISION"]);
    for endpoint in &status.endpoints {
        let report = &endpoint.report;
        endpoints.push([
            report.instance.to_string(),
            report.failure_domain.to_string(),
            report.service.to_string(),
            state_text(endpoint),
            report.revision.0.to_string(),
        ]);
    }
    format!(
        "in force: {preset}, revision {}; the table service {store}\n\n{entries}\n{}\n{endpoints}",
        status.revision.0,
        progress_table(&progress(status)),
    )
}

fn state_text(endpoint: &EndpointStatus) -> String {
    if endpoint.leaving {
        return "leaving".to_owned();
    }
    match &endpoint.report.state {
        EndpointState::Empty => "empty".to_owned(),
        EndpointState::Serving { version, .. } => {
            format!("serves {}", version_text(version.as_ref()))
        }
        EndpointState::Switching => "switching".to_owned(),
        EndpointState::Draining => "draining".to_owned(),
    }
}
