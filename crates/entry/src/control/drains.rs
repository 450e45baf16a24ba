//! Drains that operators ask for.
//!
//! The process that has to leave is told to, over one hop if need be, and then
//! says so itself: its own word reaches everyone who sends it work.

use cassiawheel_model::InstanceId;
use cassiawheel_wire::ControlMessage;

use super::peers;
use crate::shared::EntryShared;

/// Asks the process at `instance` to leave, through the other entries if it is not connected here.
pub(crate) fn request_drain(shared: &EntryShared, instance: &InstanceId) {
    drain_local(shared, instance);
    let message = ControlMessage::Drain { instance: instance.clone() };
    peers::send_to_peers(shared, &message);
}

/// Asks the process at `instance` to leave if it is this one or connected here.
pub(crate) fn drain_local(shared: &EntryShared, instance: &InstanceId) {
    if *instance == shared.settings.place.instance {
        log::info!(target: "drain", instance:% = instance; "An operator drains this entry.");
        peers::announce_leaving(shared);
        return;
    }
    if let Some(link) = shared.links.load().get(instance) {
        log::info!(target: "drain", instance:% = instance; "An operator drains an endpoint.");
        let _ = link.sender.try_send(ControlMessage::Drain { instance: instance.clone() });
    }
}
