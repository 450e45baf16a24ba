//! Requests for records and reports that peers offer.
//!
//! Several links offer the same item. It is requested over one of them; if it does not arrive in
//! time, over the next one. Each process thus receives an item once, however many links it has.

use std::{collections::HashMap, time::Duration};

use cassiawheel_model::{Deadline, ItemVersion, Timestamp};

use crate::gossip::LinkId;

/// Time within which a requested item is expected.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of offered items that are remembered.
const MAX_PENDING: usize = 32_768;

/// Offered items that this process lacks.
#[derive(Debug, Default)]
pub struct ItemRequests {
    pending: HashMap<u64, PendingItem>,
}

#[derive(Debug)]
struct PendingItem {
    version: (u64, u64),
    /// Links that offer it and were not asked yet.
    links: Vec<LinkId>,
    /// When another link may be asked.
    ask_at: Deadline,
}

impl ItemRequests {
    /// Records that `link` offers an item that this process lacks.
    pub fn offer(&mut self, offer: ItemVersion, link: LinkId) {
        let version = (offer.incarnation, offer.sequence);
        let has_room = self.pending.len() < MAX_PENDING;
        let new_item = || PendingItem { version, links: Vec::new(), ask_at: Deadline(0) };
        let item = match self.pending.get_mut(&offer.instance_hash) {
            Some(item) => item,
            None if has_room => self.pending.entry(offer.instance_hash).or_insert_with(new_item),
            None => return,
        };
        if version > item.version {
            *item = new_item();
        }
        if version == item.version && !item.links.contains(&link) {
            item.links.push(link);
        }
    }

    /// Hashes of the instances whose items are to be requested over `link` now.
    pub fn due(&mut self, link: LinkId, now: Timestamp) -> Vec<u64> {
        let mut due = Vec::new();
        self.pending.retain(|hash, item| {
            if !item.ask_at.is_past(now) {
                return true;
            }
            if let Some(position) = item.links.iter().position(|other| *other == link) {
                item.links.swap_remove(position);
                item.ask_at = now.deadline_after(REPLY_TIMEOUT);
                due.push(*hash);
            }
            // Without a link left, the item is offered again with its next version.
            !item.links.is_empty() || !item.ask_at.is_past(now)
        });
        due
    }

    /// Whether any item is to be requested.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Records that an item has arrived, from whichever link.
    pub fn received(&mut self, version: ItemVersion) {
        let arrived = (version.incarnation, version.sequence);
        if self.pending.get(&version.instance_hash).is_some_and(|item| item.version <= arrived) {
            self.pending.remove(&version.instance_hash);
        }
    }

    /// Removes a link that has ended.
    pub fn remove_link(&mut self, link: LinkId) {
        for item in self.pending.values_mut() {
            item.links.retain(|other| *other != link);
        }
    }
}
