//! Inner listener for connections from agents and other entries.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cassiawheel_model::{EndpointReport, LoadReport, PresetRevision, RegionName, Timestamp};
use cassiawheel_runtime::{ShutdownSignal, listener::accept_connections, timeout};
use cassiawheel_wire::{
    ControlMessage, HelloMessage, ProcessKind, WireMessage, WireReceiver, WireSender, accept,
};
use smol::net::{TcpListener, TcpStream};

use crate::{
    control::{gossip, links, manifests, orders, peers},
    link::AgentLink,
    overlay::entry_addrs_for,
    shared::EntryShared,
};

/// Longest wait for the hello of a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);

/// Accepts connections until `shutdown`.
pub(crate) async fn serve_inner(
    shared: Arc<EntryShared>,
    listener: TcpListener,
    shutdown: ShutdownSignal,
) {
    let connections = shared.settings.limits.inner_connections;
    accept_connections(listener, connections, shutdown, move |stream, _| {
        serve_connection(shared.clone(), stream)
    })
    .await;
}

async fn serve_connection(shared: Arc<EntryShared>, stream: TcpStream) {
    let (sender, mut receiver) = match accept(stream, &shared.settings.inner_key).await {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!(target: "inner", cause:% = error; "Refused a connection.");
            return;
        }
    };
    let hello = match timeout(HELLO_TIMEOUT, receiver.recv()).await {
        Some(Ok(WireMessage::Hello(hello))) => hello,
        Some(Ok(_) | Err(_)) | None => {
            log::warn!(target: "inner", "A connection did not start with a hello.");
            sender.close();
            return;
        }
    };
    match hello.kind {
        ProcessKind::Agent => serve_agent(&shared, hello, sender, receiver).await,
        ProcessKind::Entry => match &shared.routed {
            Some(routed) => links::accept(&shared, routed, sender, receiver, hello).await,
            None => peers::serve_peer(&shared, sender, receiver, None).await,
        },
    }
}

/// Interval at which an agent in another region reports its load, in milliseconds.
///
/// An entry sends an endpoint in another region only requests that its own region has no
/// capacity for. Two messages may be lost before the agent counts as silent after 1.5 s.
const REMOTE_LOAD_INTERVAL_MS: u64 = 600;

async fn serve_agent(
    shared: &Arc<EntryShared>,
    hello: HelloMessage,
    sender: WireSender,
    mut receiver: WireReceiver,
) {
    let link = Arc::new(AgentLink::new(hello.instance, hello.incarnation, sender));
    // With a route table, an agent that has no entry addresses connects only to request them.
    let mut is_added = shared.routed.is_none();
    if is_added {
        shared.add_link(link.clone());
    }
    orders::send_preset(shared, &link, PresetRevision::default());
    let silence_timeout = Duration::from_millis(shared.settings.control.heartbeat_timeout_ms);
    let mut region = None;
    loop {
        let received = match &shared.routed {
            Some(_) => timeout(silence_timeout, receiver.recv()).await,
            None => Some(receiver.recv().await),
        };
        let Some(received) = received else {
            log::warn!(target: "roster", instance:% = link.instance; "An endpoint is silent.");
            break;
        };
        match received {
            Ok(WireMessage::Control(ControlMessage::EntriesWanted { region })) => {
                send_entries(shared, &link, &region);
            }
            Ok(WireMessage::Control(message)) => {
                if !is_added && matches!(message, ControlMessage::Report(_)) {
                    shared.add_link(link.clone());
                    is_added = true;
                }
                if let (None, ControlMessage::Report(report)) = (&region, &message) {
                    request_load_interval(shared, &link, &report.region);
                    region = Some(report.region.clone());
                }
                handle_agent_message(shared, &link, message);
            }
            Ok(WireMessage::Request(message)) => link.deliver(message),
            Ok(WireMessage::Hello(_) | WireMessage::Chunk(_)) => {}
            Err(error) => {
                log::info!(target: "inner", instance:% = link.instance, cause:% = error; "The connection to an agent ended.");
                break;
            }
        }
    }
    link.close();
    if is_added {
        shared.remove_link(&link);
    }
}

/// Sends an agent the addresses of the entries that it may connect to.
fn send_entries(shared: &EntryShared, link: &AgentLink, region: &RegionName) {
    let Some(routed) = &shared.routed else {
        return;
    };
    let state = routed.overlay.lock();
    let present = state.present(&shared.settings.place.instance);
    let _ = link.sender.try_send(ControlMessage::Entries(entry_addrs_for(&present, region)));
}

/// Requests a longer load interval from an agent in another region.
fn request_load_interval(shared: &EntryShared, link: &AgentLink, region: &RegionName) {
    if *region != shared.settings.place.region {
        let _ =
            link.sender.try_send(ControlMessage::LoadWanted { every_ms: REMOTE_LOAD_INTERVAL_MS });
    }
}

fn handle_agent_message(shared: &Arc<EntryShared>, link: &AgentLink, message: ControlMessage) {
    match message {
        ControlMessage::Report(report) if report.instance == link.instance => {
            orders::send_preset(shared, link, report.revision);
            handle_report(shared, *report);
        }
        ControlMessage::Beat(load) => handle_heartbeat(shared, link, load),
        ControlMessage::Leaving { instance, incarnation } if instance == link.instance => {
            shared.roster().mark_leaving(&instance, incarnation, Timestamp::now());
            shared.rebuild_routes();
            if shared.routed.is_some() {
                peers::send_to_peers(
                    shared,
                    &ControlMessage::Leaving { instance: instance.clone(), incarnation },
                );
            }
            log::info!(target: "roster", instance:% = instance; "An endpoint is leaving.");
        }
        ControlMessage::Force(preset) => peers::adopt(shared, &preset),
        ControlMessage::ManifestWanted { manifest } => {
            manifests::send_manifest(shared.routed.as_deref(), &link.sender, manifest);
        }
        ControlMessage::Report(_)
        | ControlMessage::ReportWanted
        | ControlMessage::Leaving { .. }
        | ControlMessage::Drain { .. }
        | ControlMessage::LoadWanted { .. }
        | ControlMessage::EntryAlive { .. }
        | ControlMessage::EntryBeat { .. }
        | ControlMessage::Order(_)
        | ControlMessage::Peers(_)
        | ControlMessage::PresetWanted
        | ControlMessage::Named(_)
        | ControlMessage::Listing { .. }
        | ControlMessage::ListingWanted
        | ControlMessage::Manifest(_)
        | ControlMessage::ManifestUnknown { .. }
        | ControlMessage::Entries(_)
        | ControlMessage::EntriesWanted { .. }
        | ControlMessage::Gossip(_)
        | ControlMessage::Flood(_)
        | ControlMessage::Orders(_) => {}
    }
}

/// Handles a heartbeat that carries only the load.
fn handle_heartbeat(shared: &EntryShared, link: &AgentLink, load: LoadReport) {
    let mut roster = shared.roster();
    let known = roster.apply_load(&link.instance, link.incarnation, load, Timestamp::now());
    let known = known.map(|report| (report.revision, report.limit));
    drop(roster);
    let Some((revision, limit)) = known else {
        let _ = link.sender.try_send(ControlMessage::ReportWanted);
        return;
    };
    // Resends a preset that a full queue dropped.
    orders::send_preset(shared, link, revision);
    if let Some(routed) = &shared.routed {
        gossip::publish_load(routed, &link.instance, &load);
    }
    shared.update_load(&link.instance, &load, limit);
}

/// Handles a heartbeat that carries the whole state.
///
/// Rebuilding the routes takes time proportional to the number of endpoints, so a rebuild for each
/// heartbeat would take quadratic time. Only a changed state needs one; the load is stored in
/// counters that all snapshots share.
fn handle_report(shared: &EntryShared, mut report: EndpointReport) {
    let (load, limit) = (report.load, report.limit);
    let instance = report.instance.clone();
    let mut roster = shared.roster();
    roster.check_basis(&mut report);
    let known = roster.member(&instance).map(|member| &member.report);
    let changed = known.is_none_or(|known| !known.routes_alike(&report));
    let published = shared.routed.is_some().then(|| report.clone());
    if !roster.apply_report(report, Timestamp::now()) {
        return;
    }
    drop(roster);
    if let (Some(routed), Some(report)) = (&shared.routed, published) {
        gossip::publish_report(routed, &report);
        // The report is published at once because requests may be routed to the endpoint as soon as
        // it counts as connected.
        gossip::refresh_own_record(shared, routed);
    }
    shared.plan_stale.store(true, Ordering::Release);
    shared.update_load(&instance, &load, limit);
    if changed {
        shared.rebuild_routes();
    }
}
