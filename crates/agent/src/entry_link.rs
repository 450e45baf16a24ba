//! Connections to the entries.
//!
//! The agent dials; entries send presets and requests down the connection.
//! A lost connection is dialled again with jittered backoff, so that a restart
//! of an entry does not bring all agents back at the same moment.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cassiawheel_model::{Repeatability, RequestHead};
use cassiawheel_runtime::spawn;
use cassiawheel_wire::{
    ControlMessage, HelloMessage, ProcessKind, RequestMessage, WireError, WireMessage,
    WireReceiver, WireSender, connect,
};
use rand::Rng;
use smol::{Task, Timer, channel::Sender};

use crate::{endpoint::EndpointShared, exchange, report, run, transfer};

/// Longest wait between two attempts to connect, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;

/// First wait between two attempts to connect, in milliseconds.
const MIN_BACKOFF_MS: u64 = 50;

/// Keeps a connection to the entry at `addr`.
pub(crate) async fn keep_connected(shared: Arc<EndpointShared>, addr: SocketAddr) {
    let mut backoff = MIN_BACKOFF_MS;
    loop {
        match connect(addr, &shared.settings.inner_key, None).await {
            Ok((sender, receiver)) => {
                backoff = MIN_BACKOFF_MS;
                let ended = converse(&shared, addr, sender, receiver).await;
                log::info!(target: "link", entry:% = addr, cause:% = ended; "Connection to an entry ended.");
            }
            Err(error) => {
                log::debug!(target: "link", entry:% = addr, cause:% = error; "Cannot reach an entry.");
            }
        }
        let wait = rand::rng().random_range(backoff / 2..=backoff);
        Timer::after(Duration::from_millis(wait)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF_MS);
    }
}

/// Attempts of one connection that are in progress.
#[derive(Default)]
struct LinkAttempts {
    running: HashMap<u64, RunningAttempt>,
}

struct RunningAttempt {
    credits: Sender<u32>,
    repeat: Repeatability,
    task: Task<()>,
}

async fn converse(
    shared: &Arc<EndpointShared>,
    entry: SocketAddr,
    sender: WireSender,
    mut receiver: WireReceiver,
) -> WireError {
    let hello = HelloMessage {
        kind: ProcessKind::Agent,
        instance: shared.settings.place.instance.clone(),
        incarnation: shared.incarnation,
    };
    if let Err(error) = sender.send(hello).await {
        return error;
    }
    shared.entries().push(sender.clone());
    report::send_report(shared);
    let mut attempts = LinkAttempts::default();
    let ended = loop {
        match receiver.recv().await {
            Ok(WireMessage::Control(message)) => handle_control(shared, entry, message),
            Ok(WireMessage::Request(message)) => attempts.handle(shared, &sender, message),
            Ok(WireMessage::Hello(_) | WireMessage::Chunk(_)) => {}
            Err(error) => break error,
        }
    };
    sender.close();
    shared.transfer.forget_peers_of(entry);
    attempts.entry_is_gone();
    ended
}

fn handle_control(shared: &Arc<EndpointShared>, entry: SocketAddr, message: ControlMessage) {
    match message {
        ControlMessage::Force(preset) => exchange::offer_preset(shared, preset),
        ControlMessage::Peers(peers) => transfer::offer_peers(shared, entry, peers),
        ControlMessage::Order(order) => exchange::offer_order(shared, order),
        ControlMessage::Report(_)
        | ControlMessage::Leaving { .. }
        | ControlMessage::EntryBeat { .. } => {}
    }
}

impl LinkAttempts {
    fn handle(
        &mut self,
        shared: &Arc<EndpointShared>,
        sender: &WireSender,
        message: RequestMessage,
    ) {
        self.running.retain(|_, running| !running.task.is_finished());
        match message {
            RequestMessage::Dispatch { attempt, head, body } => {
                self.start(shared, sender, attempt, *head, Bytes::from(body));
            }
            RequestMessage::Cancel { attempt } => self.cancel(attempt),
            RequestMessage::Credit { attempt, bytes } => {
                if let Some(running) = self.running.get(&attempt) {
                    let _ = running.credits.try_send(bytes);
                }
            }
            RequestMessage::Refused { .. }
            | RequestMessage::Head { .. }
            | RequestMessage::Data { .. }
            | RequestMessage::End { .. }
            | RequestMessage::Failed { .. } => {}
        }
    }

    fn start(
        &mut self,
        shared: &Arc<EndpointShared>,
        sender: &WireSender,
        attempt: u64,
        head: RequestHead,
        body: Bytes,
    ) {
        let (credits, granted) = smol::channel::unbounded();
        let repeat = head.repeat;
        let link = run::AttemptLink { sender: sender.clone(), attempt, granted };
        let task = spawn(run::run_attempt(shared.clone(), link, head, body));
        self.running.insert(attempt, RunningAttempt { credits, repeat, task });
    }

    /// Ends an attempt whose answer nobody waits for.
    ///
    /// A request that runs at most once goes on: its effect may be under way,
    /// and its outcome must be recorded for whoever asks again with its key.
    fn cancel(&mut self, attempt: u64) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        match running.repeat {
            Repeatability::Idempotent => drop(running.task),
            Repeatability::AtMostOnce => running.task.detach(),
        }
    }

    fn entry_is_gone(&mut self) {
        let attempts: Vec<_> = self.running.keys().copied().collect();
        for attempt in attempts {
            self.cancel(attempt);
        }
    }
}
