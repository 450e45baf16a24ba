//! Write queue of a connection, with one lane for each urgency of messages.

use smol::{
    channel::{Receiver, SendError, Sender, TrySendError, bounded},
    future,
};

use crate::{ControlMessage, WireMessage};

/// Capacity of the lane of ordinary messages.
///
/// The slots are allocated with the connection, about 140 bytes each, and an agent may be
/// connected to hundreds of others.
const ORDINARY_LENGTH: usize = 96;

/// Capacity of the lane of urgent messages, of which only a few are due at a time.
const URGENT_LENGTH: usize = 32;

/// Lane in which a message is queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageLane {
    /// Written before ordinary messages: presets, departures and membership, which must take
    /// effect within seconds.
    Urgent,
    /// Written when no urgent message is queued.
    Ordinary,
}

/// Sending half of a write queue; clones share the queue.
#[derive(Debug, Clone)]
pub(crate) struct LaneSender {
    urgent: Sender<WireMessage>,
    ordinary: Sender<WireMessage>,
}

/// Receiving half of a write queue.
pub(crate) struct LaneReceiver {
    urgent: Receiver<WireMessage>,
    ordinary: Receiver<WireMessage>,
}

/// Creates an empty write queue.
pub(crate) fn message_lanes() -> (LaneSender, LaneReceiver) {
    let (urgent_sender, urgent) = bounded(URGENT_LENGTH);
    let (ordinary_sender, ordinary) = bounded(ORDINARY_LENGTH);
    let sender = LaneSender { urgent: urgent_sender, ordinary: ordinary_sender };
    (sender, LaneReceiver { urgent, ordinary })
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
}

impl ControlMessage {
    /// Lane in which the message is queued.
    ///
    /// A version is sent before its manifest is needed, so both are in the same lane.
    fn lane(&self) -> MessageLane {
        match self {
            Self::Report(_)
            | Self::Beat(_)
            | Self::ReportWanted
            | Self::Leaving { .. }
            | Self::Drain { .. }
            | Self::Force(_)
            | Self::EntryAlive { .. }
            | Self::EntryBeat { .. }
            | Self::PresetWanted
            | Self::Listing { .. }
            | Self::ListingWanted
            | Self::Gossip(_) => MessageLane::Urgent,
            Self::LoadWanted { .. }
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

impl LaneSender {
    /// Queues `message`; waits while its lane is full.
    pub(crate) async fn send(&self, message: WireMessage) -> Result<(), SendError<WireMessage>> {
        self.lane(&message).send(message).await
    }

    /// Queues `message` if its lane has room.
    pub(crate) fn try_send(&self, message: WireMessage) -> Result<(), TrySendError<WireMessage>> {
        self.lane(&message).try_send(message)
    }

    /// Whether both send to the same queue.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.ordinary.same_channel(&other.ordinary)
    }

    /// Whether the queue is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.ordinary.is_closed()
    }

    /// Closes the queue; messages in it can still be received.
    pub(crate) fn close(&self) {
        self.urgent.close();
        self.ordinary.close();
    }

    fn lane(&self, message: &WireMessage) -> &Sender<WireMessage> {
        match message.lane() {
            MessageLane::Urgent => &self.urgent,
            MessageLane::Ordinary => &self.ordinary,
        }
    }
}

impl LaneReceiver {
    /// Receives the next message, urgent ones first; `None` once the queue is closed and empty.
    pub(crate) async fn recv(&self) -> Option<WireMessage> {
        future::or(
            receive_until_closed(&self.urgent, &self.ordinary),
            receive_until_closed(&self.ordinary, &self.urgent),
        )
        .await
    }

    /// Receives the next message, urgent ones first, if one is queued.
    pub(crate) fn try_recv(&self) -> Option<WireMessage> {
        self.urgent.try_recv().or_else(|_| self.ordinary.try_recv()).ok()
    }

    /// Closes the queue.
    pub(crate) fn close(&self) {
        self.urgent.close();
        self.ordinary.close();
    }
}

/// Receives from `first`, or from `second` once `first` is closed and empty.
async fn receive_until_closed(
    first: &Receiver<WireMessage>,
    second: &Receiver<WireMessage>,
) -> Option<WireMessage> {
    match first.recv().await {
        Ok(message) => Some(message),
        Err(_) => second.recv().await.ok(),
    }
}
