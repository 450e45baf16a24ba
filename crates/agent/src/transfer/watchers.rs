//! Connections over which other agents are notified of the chunks held here.

use cassiawheel_decide::ResyncSchedule;
use cassiawheel_model::Timestamp;
use cassiawheel_wire::{ChunkMessage, WireSender};

/// The connections; one that has ended is dropped when the next message is sent.
#[derive(Default)]
pub(super) struct WatcherLinks {
    links: Vec<WatcherLink>,
}

struct WatcherLink {
    sender: WireSender,
    schedule: ResyncSchedule,
}

impl WatcherLinks {
    /// Adds a connection and sends `messages` over it.
    pub(super) fn add(&mut self, sender: WireSender, messages: &[ChunkMessage], now: Timestamp) {
        let mut link = WatcherLink { sender, schedule: ResyncSchedule::new(now) };
        if messages.iter().all(|message| link.send(message)) {
            self.links.push(link);
        }
    }

    /// Sends `message` over every connection.
    pub(super) fn send(&mut self, message: &ChunkMessage) {
        self.links.retain_mut(|link| link.send(message));
    }

    /// Sends `messages` over the connections that are due for a resend.
    pub(super) fn resend(&mut self, messages: &[ChunkMessage], now: Timestamp) {
        self.links.retain_mut(|link| {
            !link.schedule.take_due(now) || messages.iter().all(|message| link.send(message))
        });
    }
}

impl WatcherLink {
    /// Queues a message; false if the connection has ended.
    fn send(&mut self, message: &ChunkMessage) -> bool {
        let Ok(queued) = self.sender.try_send(message.clone()) else {
            return false;
        };
        self.schedule.record_send(queued);
        true
    }
}
