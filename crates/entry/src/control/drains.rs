//! Draining of processes on request of an operator.
//!
//! The drain message reaches the process directly or through one other entry. The process then
//! announces itself that it is leaving, which reaches every sender of requests.

use cassiawheel_model::InstanceId;
use cassiawheel_wire::ControlMessage;

use super::peers;
use crate::shared::EntryShared;

/// Sends a drain to the process at `instance`, also through the other entries.
pub(crate) fn request_drain(shared: &EntryShared, instance: &InstanceId) {
    drain_local(shared, instance);
    let message = ControlMessage::Drain { instance: instance.clone() };
    peers::send_to_peers(shared, &message);
}

/// Drains the process at `instance` if it is this entry or connected to it.
pub(crate) fn drain_local(shared: &EntryShared, instance: &InstanceId) {
    if *instance == shared.settings.place.instance {
        log::info!(target: "drain", instance:% = instance; "Draining this entry on request of an operator.");
        peers::announce_leaving(shared);
        return;
    }
    if let Some(link) = shared.links.load().get(instance) {
        log::info!(target: "drain", instance:% = instance; "Draining an endpoint on request of an operator.");
        let _ = link.sender.try_send(ControlMessage::Drain { instance: instance.clone() });
    }
}
