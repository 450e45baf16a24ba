//! The inner listener: agents and other entries connect here.

use std::{pin::pin, sync::Arc};

use cassiawheel_runtime::{ShutdownSignal, spawn};
use cassiawheel_wire::{
    ControlMessage, HelloMessage, ProcessKind, WireMessage, WireReceiver, WireSender, accept,
};
use futures_util::future::{Either, select};
use smol::net::{TcpListener, TcpStream};

use crate::{
    control::{orders, spread},
    link::AgentLink,
    shared::EntryShared,
};

/// Accepts connections until `shutdown`.
pub(crate) async fn serve_inner(
    shared: Arc<EntryShared>,
    listener: TcpListener,
    shutdown: ShutdownSignal,
) {
    loop {
        match select(pin!(listener.accept()), pin!(shutdown.wait())).await {
            Either::Left((Ok((stream, _)), _)) => {
                spawn(serve_connection(shared.clone(), stream)).detach();
            }
            Either::Left((Err(error), _)) => {
                log::warn!(target: "inner", cause:% = error; "Cannot accept a connection.");
            }
            Either::Right(_) => return,
        }
    }
}

async fn serve_connection(shared: Arc<EntryShared>, stream: TcpStream) {
    let (sender, mut receiver) = match accept(stream, &shared.settings.inner_key).await {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!(target: "inner", cause:% = error; "Refused a connection.");
            return;
        }
    };
    let hello = match receiver.recv().await {
        Ok(WireMessage::Hello(hello)) => hello,
        Ok(_) | Err(_) => {
            log::warn!(target: "inner", "A connection did not begin with a hello.");
            sender.close();
            return;
        }
    };
    match hello.kind {
        ProcessKind::Agent => serve_agent(&shared, hello, sender, receiver).await,
        ProcessKind::Entry => serve_entry(&shared, sender, receiver).await,
    }
}

async fn serve_agent(
    shared: &Arc<EntryShared>,
    hello: HelloMessage,
    sender: WireSender,
    mut receiver: WireReceiver,
) {
    let link = Arc::new(AgentLink::new(hello.instance, hello.incarnation, sender));
    shared.add_link(link.clone());
    if let Some(preset) = shared.force.load_full() {
        let _ = link.sender.try_send(ControlMessage::Force(preset));
    }
    loop {
        match receiver.recv().await {
            Ok(WireMessage::Control(message)) => handle_agent_control(shared, &link, message),
            Ok(WireMessage::Request(message)) => link.deliver(message),
            Ok(WireMessage::Hello(_) | WireMessage::Chunk(_)) => {}
            Err(error) => {
                log::info!(target: "inner", instance:% = link.instance, cause:% = error; "Connection to an agent ended.");
                break;
            }
        }
    }
    link.close();
    shared.remove_link(&link);
}

fn handle_agent_control(shared: &Arc<EntryShared>, link: &AgentLink, message: ControlMessage) {
    match message {
        ControlMessage::Report(report) if report.instance == link.instance => {
            orders::send_missing(shared, link, &report);
            shared.hear_report(*report);
        }
        ControlMessage::Leaving { instance } if instance == link.instance => {
            shared.roster().leave(&instance);
            shared.rebuild_routes();
            log::info!(target: "roster", instance:% = instance; "An endpoint leaves.");
        }
        ControlMessage::Force(preset) => spread::adopt(shared, &preset),
        ControlMessage::Report(_)
        | ControlMessage::Leaving { .. }
        | ControlMessage::EntryBeat { .. }
        | ControlMessage::Order(_)
        | ControlMessage::Peers(_) => {}
    }
}

async fn serve_entry(shared: &Arc<EntryShared>, sender: WireSender, mut receiver: WireReceiver) {
    while let Ok(message) = receiver.recv().await {
        if let WireMessage::Control(message) = message {
            spread::handle_peer(shared, message);
        }
    }
    sender.close();
}
