//! Write queue of a connection, with a lane for each urgency of messages.
//!
//! Presets are not queued one after another: the queue holds the newest one only, so that a
//! connection that is slow or was stalled does not carry those that it replaces.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, Ordering},
};

use cassiawheel_model::{ForcedPreset, GossipDelta};
use smol::channel::{Receiver, SendError, Sender, TrySendError, WeakSender, bounded};

use crate::{ControlMessage, WireMessage, traffic::TRAFFIC, window::SendWindow};

/// Capacity of the lane of ordinary messages.
///
/// The slots are allocated with the connection, about 140 bytes each, and an agent may be
/// connected to hundreds of others.
const ORDINARY_LENGTH: usize = 96;

/// Capacity of the lane of urgent messages, of which only a few are due at a time.
const URGENT_LENGTH: usize = 16;

/// Capacity of the lane of state.
const STATE_LENGTH: usize = 32;

/// Number of queued messages with state from which on a connection is congested.
const CONGESTED_LENGTH: usize = 4;

/// Lane in which a message is queued, in the order in which lanes are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageLane {
    /// Small messages that must take effect within seconds: departures, announcements of presets
    /// and requests for presets and lists.
    Urgent,
    /// The newest preset.
    Preset,
    /// Reports, lists and gossip; written while the window of the connection is open.
    State,
    /// All other messages; written in turns with state.
    Ordinary,
}

/// Sending half of a write queue; clones share the queue.
#[derive(Debug, Clone)]
pub struct LaneSender {
    urgent: Sender<WireMessage>,
    state: Sender<WireMessage>,
    ordinary: Sender<WireMessage>,
    preset: Arc<PresetSlot>,
    window: Arc<SendWindow>,
    /// Holds an item while a message may be due.
    queued: Sender<()>,
}

/// Receiving half of a write queue.
pub struct LaneReceiver {
    urgent: Receiver<WireMessage>,
    state: Receiver<WireMessage>,
    ordinary: Receiver<WireMessage>,
    preset: Arc<PresetSlot>,
    window: Arc<SendWindow>,
    /// Whether an ordinary message is next where some wait beside state.
    ordinary_is_next: AtomicBool,
    queued: Receiver<()>,
}

/// Confirms to a write queue that the other end has read what was sent before a ping.
#[derive(Debug)]
pub struct LaneConfirmer {
    window: Arc<SendWindow>,
    queued: WeakSender<()>,
}

/// What is written next.
#[derive(Debug, PartialEq)]
pub enum WriteItem {
    /// A message.
    Message(WireMessage),
    /// A ping, whose answer [`LaneConfirmer::confirm`] records.
    Ping,
}

/// The newest preset that is due on a connection.
#[derive(Debug, Default)]
struct PresetSlot {
    newest: Mutex<Option<Arc<ForcedPreset>>>,
}

/// Creates an empty write queue.
pub fn message_lanes() -> (LaneSender, LaneReceiver) {
    let (urgent, urgent_receiver) = bounded(URGENT_LENGTH);
    let (state, state_receiver) = bounded(STATE_LENGTH);
    let (ordinary, ordinary_receiver) = bounded(ORDINARY_LENGTH);
    let (queued, queued_receiver) = bounded(1);
    let (preset, window) = (Arc::<PresetSlot>::default(), Arc::<SendWindow>::default());
    let receiver = LaneReceiver {
        urgent: urgent_receiver,
        state: state_receiver,
        ordinary: ordinary_receiver,
        preset: preset.clone(),
        window: window.clone(),
        ordinary_is_next: AtomicBool::new(false),
        queued: queued_receiver,
    };
    let sender = LaneSender { urgent, state, ordinary, preset, window, queued };
    (sender, receiver)
}

impl WireMessage {
    /// Lane in which the message is queued.
    pub fn lane(&self) -> MessageLane {
        match self {
            Self::Hello(_) => MessageLane::Urgent,
            Self::Control(message) => message.lane(),
            Self::Request(_) | Self::Chunk(_) => MessageLane::Ordinary,
        }
    }

    /// Whether the message counts for the window of its connection.
    pub(crate) fn is_windowed(&self) -> bool {
        match self {
            Self::Control(message) => match message.lane() {
                MessageLane::Urgent | MessageLane::Preset => false,
                MessageLane::State | MessageLane::Ordinary => true,
            },
            Self::Hello(_) | Self::Request(_) | Self::Chunk(_) => false,
        }
    }
}

impl ControlMessage {
    /// Lane in which the message is queued.
    ///
    /// Heartbeats of entries do not overtake the preset that was sent before them: a process that
    /// starts takes the first one as the end of the initial state. Manifests do not follow the
    /// versions that name them, so both are in the same lane.
    fn lane(&self) -> MessageLane {
        match self {
            Self::Leaving { .. }
            | Self::Drain { .. }
            | Self::PresetWanted
            | Self::ListingWanted
            | Self::ReportWanted => MessageLane::Urgent,
            Self::Gossip(delta) if is_announcement(delta) => MessageLane::Urgent,
            Self::Report(_) | Self::Beat(_) | Self::Listing { .. } | Self::Gossip(_) => {
                MessageLane::State
            }
            Self::Force(_) => MessageLane::Preset,
            Self::EntryAlive { .. }
            | Self::EntryBeat { .. }
            | Self::LoadWanted { .. }
            | Self::Order(_)
            | Self::Orders(_)
            | Self::Peers(_)
            | Self::Named(_)
            | Self::ManifestWanted { .. }
            | Self::Manifest(_)
            | Self::ManifestUnknown { .. }
            | Self::Entries(_)
            | Self::EntriesWanted { .. } => MessageLane::Ordinary,
            Self::Flood(message) => message.content.lane(),
        }
    }
}

/// Whether gossip carries nothing but the revision of the sender's preset.
fn is_announcement(delta: &GossipDelta) -> bool {
    *delta == GossipDelta { revision: delta.revision, ..GossipDelta::default() }
}

impl LaneSender {
    /// Queues `message`; waits while its lane is full.
    pub async fn send(&self, message: WireMessage) -> Result<(), SendError<WireMessage>> {
        let lane = message.lane();
        match self.lane(lane) {
            Some(queue) => queue.send(message).await?,
            None => self.replace_preset(message).map_err(SendError)?,
        }
        self.notify(lane);
        Ok(())
    }

    /// Queues `message` if its lane has room.
    pub fn try_send(&self, message: WireMessage) -> Result<(), TrySendError<WireMessage>> {
        let lane = message.lane();
        match self.lane(lane) {
            Some(queue) => queue.try_send(message)?,
            None => self.replace_preset(message).map_err(TrySendError::Closed)?,
        }
        self.notify(lane);
        Ok(())
    }

    /// Whether messages with state wait, so that state which can be merged should not be added.
    pub fn is_congested(&self) -> bool {
        self.state.len() >= CONGESTED_LENGTH
    }

    /// Whether both send to the same queue.
    pub fn is_same(&self, other: &Self) -> bool {
        self.ordinary.same_channel(&other.ordinary)
    }

    /// Whether the queue is closed.
    pub fn is_closed(&self) -> bool {
        self.queued.is_closed()
    }

    /// Closes the queue; messages in it can still be received.
    pub fn close(&self) {
        self.urgent.close();
        self.state.close();
        self.ordinary.close();
        // The other end may be about to close the connection and answer no ping.
        self.window.remove_limit();
        self.queued.close();
    }

    /// Returns the confirmer of this queue, which does not keep it open.
    pub fn confirmer(&self) -> LaneConfirmer {
        LaneConfirmer { window: self.window.clone(), queued: self.queued.downgrade() }
    }

    /// Queue of a lane; `None` for presets, which are not queued one after another.
    fn lane(&self, lane: MessageLane) -> Option<&Sender<WireMessage>> {
        match lane {
            MessageLane::Urgent => Some(&self.urgent),
            MessageLane::Preset => None,
            MessageLane::State => Some(&self.state),
            MessageLane::Ordinary => Some(&self.ordinary),
        }
    }

    /// Makes the preset in `message` the one to be sent if it is the newest.
    fn replace_preset(&self, message: WireMessage) -> Result<(), WireMessage> {
        if self.is_closed() {
            return Err(message);
        }
        if let WireMessage::Control(ControlMessage::Force(preset)) = message {
            self.preset.replace(preset);
        }
        Ok(())
    }

    /// Wakes the receiver after a message was added to `lane`.
    fn notify(&self, lane: MessageLane) {
        TRAFFIC.add_queued(lane, 1);
        // If an item is held already, the receiver is about to look for messages.
        let _ = self.queued.try_send(());
    }
}

impl LaneReceiver {
    /// Receives what is written next, urgent messages first; `None` once the queue is closed and
    /// empty.
    pub async fn recv(&self) -> Option<WriteItem> {
        loop {
            if let Some(item) = self.try_recv() {
                return Some(item);
            }
            if self.queued.recv().await.is_err() {
                self.window.remove_limit();
                return self.try_recv();
            }
        }
    }

    /// Receives what is written next, urgent messages first, if anything is due.
    pub fn try_recv(&self) -> Option<WriteItem> {
        if self.window.take_ping() {
            return Some(WriteItem::Ping);
        }
        let preset = || Some(ControlMessage::Force(self.preset.take()?).into());
        let message = self
            .urgent
            .try_recv()
            .ok()
            .or_else(preset)
            .or_else(|| self.window.is_open().then(|| self.next_in_turn())?)?;
        TRAFFIC.add_queued(message.lane(), -1);
        Some(WriteItem::Message(message))
    }

    /// Receives state and ordinary messages in turns, so that neither holds up the other.
    fn next_in_turn(&self) -> Option<WireMessage> {
        let ordinary_is_next = self.ordinary_is_next.load(Ordering::Relaxed);
        let (first, second) = match ordinary_is_next {
            true => (&self.ordinary, &self.state),
            false => (&self.state, &self.ordinary),
        };
        let message = first.try_recv().or_else(|_| second.try_recv()).ok()?;
        let was_state = message.lane() == MessageLane::State;
        self.ordinary_is_next.store(was_state, Ordering::Relaxed);
        Some(message)
    }

    /// Records that `message` was written with `bytes`.
    pub fn record_sent(&self, message: &WireMessage, bytes: usize) {
        self.window.record_sent(message, bytes);
    }

    /// Closes the queue.
    pub fn close(&self) {
        self.urgent.close();
        self.state.close();
        self.ordinary.close();
        self.queued.close();
    }
}

impl Drop for LaneReceiver {
    fn drop(&mut self) {
        self.close();
        TRAFFIC.add_queued(MessageLane::Urgent, -(self.urgent.len() as i64));
        TRAFFIC.add_queued(MessageLane::State, -(self.state.len() as i64));
        TRAFFIC.add_queued(MessageLane::Ordinary, -(self.ordinary.len() as i64));
    }
}

impl LaneConfirmer {
    /// Records that the other end has answered the last ping.
    pub fn confirm(&self) {
        self.window.confirm();
        self.notify();
    }

    fn notify(&self) {
        if let Some(queued) = self.queued.upgrade() {
            let _ = queued.try_send(());
        }
    }
}

impl Drop for LaneConfirmer {
    fn drop(&mut self) {
        self.window.remove_limit();
        self.notify();
    }
}

impl PresetSlot {
    fn replace(&self, preset: Arc<ForcedPreset>) {
        let mut newest = self.lock();
        if newest.as_ref().is_none_or(|held| held.revision < preset.revision) {
            *newest = Some(preset);
        }
    }

    fn take(&self) -> Option<Arc<ForcedPreset>> {
        self.lock().take()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<ForcedPreset>>> {
        self.newest.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}
