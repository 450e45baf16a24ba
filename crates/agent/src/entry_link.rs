//! Connections to the entries.
//!
//! The agent dials; entries send presets and requests over the connection. A lost
//! connection is dialled again with jittered exponential backoff, so that not all
//! agents reconnect at the same moment after an entry restarts.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cassiawheel_decide::{LoadSchedule, RunLatch};
use cassiawheel_model::{EndpointState, PresetRevision, Repeatability, RequestHead, Timestamp};
use cassiawheel_runtime::spawn;
use cassiawheel_wire::{
    ControlMessage, RequestMessage, WireError, WireMessage, WireReceiver, WireSender, connect,
};
use rand::Rng;
use smol::{Task, Timer, channel::Sender};

use crate::{
    endpoint::{EndpointShared, EntryLink},
    orders, report, run,
    transfer::{self, ManifestReply},
};

/// Maximum backoff between two attempts to connect, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;

/// Initial backoff between two attempts to connect, in milliseconds; doubled each time.
const MIN_BACKOFF_MS: u64 = 50;

/// Keeps a connection to the entry at `addr` open; never returns.
pub(crate) async fn maintain_connection(shared: Arc<EndpointShared>, addr: SocketAddr) {
    let mut backoff = MIN_BACKOFF_MS;
    let local = Some(shared.settings.listen_inner.ip());
    loop {
        match connect(addr, &shared.settings.inner_key, local).await {
            Ok((sender, receiver)) => {
                backoff = MIN_BACKOFF_MS;
                let ended = run_connection(&shared, addr, sender, receiver).await;
                log::info!(target: "link", entry:% = addr, cause:% = ended; "The connection to an entry ended.");
                shared.notify_entries_changed();
            }
            Err(error) => {
                shared.entry_selector().avoid(addr, Timestamp::now());
                shared.notify_entries_changed();
                shared.start_hold().mark_answered(addr);
                log::debug!(target: "link", entry:% = addr, cause:% = error; "Cannot connect to an entry.");
            }
        }
        let wait = rand::rng().random_range(backoff / 2..=backoff);
        Timer::after(Duration::from_millis(wait)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF_MS);
    }
}

/// Attempts in progress that were dispatched over one connection.
#[derive(Default)]
struct LinkAttempts {
    running: HashMap<u64, RunningAttempt>,
}

struct RunningAttempt {
    grants: Sender<u32>,
    repeat: Repeatability,
    latch: Arc<RunLatch>,
    task: Task<()>,
}

async fn run_connection(
    shared: &Arc<EndpointShared>,
    addr: SocketAddr,
    sender: WireSender,
    mut receiver: WireReceiver,
) -> WireError {
    if let Err(error) = sender.send(shared.hello()).await {
        return error;
    }
    let schedule = LoadSchedule::every_heartbeat();
    shared.entries().push(EntryLink { addr, sender: sender.clone(), schedule });
    shared.notify_entries_changed();
    // An entry that restarted while the table service was down may have no preset.
    if let Some(preset) = shared.holder().current().cloned() {
        let _ = sender.try_send(ControlMessage::Force(preset));
    }
    report::send_report_to(shared, &sender);
    let mut attempts = LinkAttempts::default();
    let ended = loop {
        match receiver.recv().await {
            Ok(WireMessage::Control(message)) => {
                let is_preset = matches!(message, ControlMessage::Force(_));
                handle_control(shared, addr, &sender, message);
                if is_preset {
                    shared.start_hold().mark_answered(addr);
                }
            }
            Ok(WireMessage::Request(message)) => attempts.handle(shared, &sender, message),
            Ok(WireMessage::Hello(_) | WireMessage::Chunk(_)) => {}
            Err(error) => break error,
        }
    };
    sender.close();
    shared.transfer.remove_peers_from(addr);
    attempts.cancel_all();
    ended
}

fn handle_control(
    shared: &Arc<EndpointShared>,
    entry: SocketAddr,
    sender: &WireSender,
    message: ControlMessage,
) {
    match message {
        ControlMessage::Force(preset) => {
            let revision = preset.revision;
            orders::handle_preset(shared, preset);
            reply_newer_preset(shared, sender, revision);
        }
        ControlMessage::Peers(peers) => transfer::offer_peers(shared, entry, peers),
        ControlMessage::Order(order) => orders::handle_order(shared, sender, order),
        ControlMessage::Manifest(manifest) => {
            shared.transfer.manifest_replies.push(ManifestReply::Known(manifest));
        }
        ControlMessage::ManifestUnknown { manifest } => {
            shared.transfer.manifest_replies.push(ManifestReply::Unknown(manifest));
        }
        ControlMessage::Drain { instance } if instance == shared.settings.place.instance => {
            start_drain(shared);
        }
        ControlMessage::ReportWanted => report::send_report_to(shared, sender),
        ControlMessage::LoadWanted { every_ms } => set_load_schedule(shared, sender, every_ms),
        ControlMessage::Entries(addrs) => {
            shared.entry_selector().set_candidates(addrs);
            shared.notify_entries_changed();
        }
        ControlMessage::Report(_)
        | ControlMessage::Beat(_)
        | ControlMessage::Leaving { .. }
        | ControlMessage::Drain { .. }
        | ControlMessage::EntryAlive { .. }
        | ControlMessage::EntryBeat { .. }
        | ControlMessage::PresetWanted
        | ControlMessage::Named(_)
        | ControlMessage::Listing { .. }
        | ControlMessage::ListingWanted
        | ControlMessage::EntriesWanted { .. }
        | ControlMessage::Gossip(_)
        | ControlMessage::Flood(_)
        | ControlMessage::Orders(_)
        | ControlMessage::ManifestWanted { .. } => {}
    }
}

fn set_load_schedule(shared: &EndpointShared, sender: &WireSender, every_ms: u64) {
    let schedule = LoadSchedule::every(every_ms, Timestamp::now());
    let mut entries = shared.entries();
    for link in entries.iter_mut().filter(|link| link.sender.is_same(sender)) {
        link.schedule = schedule;
    }
}

/// Replies with the preset in force if it is newer than the entry's preset of `revision`.
///
/// An entry that was paused, or that started while neither the table service nor its
/// peers answered, would otherwise be refused here until a peer sends it the preset.
fn reply_newer_preset(shared: &EndpointShared, sender: &WireSender, revision: PresetRevision) {
    let newer = shared.holder().current().filter(|known| known.revision > revision).cloned();
    if let Some(newer) = newer {
        let _ = sender.try_send(ControlMessage::Force(newer));
    }
}

/// Closes the gate for new requests and announces the drain to every entry.
pub(crate) fn start_drain(shared: &EndpointShared) {
    let mut gate = shared.gate();
    if *gate.state() == EndpointState::Draining {
        return;
    }
    gate.drain();
    log::info!(target: "drain", in_progress = gate.in_progress(); "The agent starts to drain.");
    drop(gate);
    let instance = shared.settings.place.instance.clone();
    let message = ControlMessage::Leaving { instance, incarnation: shared.incarnation };
    shared.entries().retain(|entry| entry.sender.try_send(message.clone()).is_ok());
    report::send_report(shared);
}

impl LinkAttempts {
    fn handle(
        &mut self,
        shared: &Arc<EndpointShared>,
        sender: &WireSender,
        message: RequestMessage,
    ) {
        match message {
            RequestMessage::Dispatch { attempt, head, body } => {
                self.start(shared, sender, attempt, *head, Bytes::from(body));
            }
            RequestMessage::Cancel { attempt } => self.cancel(attempt),
            RequestMessage::Credit { attempt, bytes } => {
                if let Some(running) = self.running.get(&attempt) {
                    let _ = running.grants.try_send(bytes);
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
        self.running.retain(|_, running| !running.task.is_finished());
        let (grants, credits) = smol::channel::unbounded();
        let repeat = head.repeat;
        let latch = Arc::new(RunLatch::default());
        let link =
            run::AttemptLink { sender: sender.clone(), attempt, credits, latch: latch.clone() };
        let task = spawn(run::run_attempt(shared.clone(), link, head, body));
        self.running.insert(attempt, RunningAttempt { grants, repeat, latch, task });
    }

    /// Cancels an attempt whose answer is no longer needed.
    ///
    /// A request that runs at most once and has begun continues: its effect may be
    /// in progress, and its outcome must be recorded for retries with its key. One
    /// that has not begun never does, and releases its claim.
    fn cancel(&mut self, attempt: u64) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        match running.repeat {
            Repeatability::Idempotent => drop(running.task),
            Repeatability::AtMostOnce => {
                running.latch.cancel();
                running.task.detach();
            }
        }
    }

    fn cancel_all(&mut self) {
        let attempts: Vec<_> = self.running.keys().copied().collect();
        for attempt in attempts {
            self.cancel(attempt);
        }
    }
}
