//! Connections over which other agents are told what is held here.

use cassiawheel_decide::ResyncSchedule;
use cassiawheel_model::Timestamp;
use cassiawheel_wire::{ChunkMessage, WireSender};

/// All such connections; those that have ended are dropped at the next word.
#[derive(Default)]
pub(super) struct WatcherLinks {
    links: Vec<WatcherLink>,
}

struct WatcherLink {
    sender: WireSender,
    schedule: ResyncSchedule,
}

impl WatcherLinks {
    /// Adds a connection and tells it `messages`.
    pub(super) fn add(&mut self, sender: WireSender, messages: &[ChunkMessage], now: Timestamp) {
        let mut link = WatcherLink { sender, schedule: ResyncSchedule::new(now) };
        if messages.iter().all(|message| link.tell(message)) {
            self.links.push(link);
        }
    }

    /// Tells every connection.
    pub(super) fn tell(&mut self, message: &ChunkMessage) {
        self.links.retain_mut(|link| link.tell(message));
    }

    /// Tells `messages` to the connections that are due for a repeat.
    pub(super) fn repeat(&mut self, messages: &[ChunkMessage], now: Timestamp) {
        self.links.retain_mut(|link| {
            !link.schedule.take_due(now) || messages.iter().all(|message| link.tell(message))
        });
    }
}

impl WatcherLink {
    /// Queues a word; false if the connection has ended.
    fn tell(&mut self, message: &ChunkMessage) -> bool {
        let Ok(queued) = self.sender.try_send(message.clone()) else {
            return false;
        };
        self.schedule.record_send(queued);
        true
    }
}
