//! Orders to agents: which weights to hold and to serve.

use cassiawheel_decide::plan::planned_weights;
use cassiawheel_model::EndpointReport;
use cassiawheel_wire::{ControlMessage, message::WeightOrder};

use crate::{link::AgentLink, shared::EntryShared};

/// Sends an agent the preset and the order that its report does not know yet.
///
/// Driven by heartbeats, so that a lost push heals by itself.
pub(crate) fn send_missing(shared: &EntryShared, link: &AgentLink, report: &EndpointReport) {
    let Some(preset) = shared.force.load_full() else {
        return;
    };
    let planned = planned_weights(&preset, report);
    if preset.revision > report.revision {
        let _ = link.sender.try_send(ControlMessage::Force(preset));
    }
    let Some(planned) = planned.filter(|planned| planned.fencing > report.order) else {
        return;
    };
    let order = WeightOrder {
        version: planned.version,
        manifest: planned.manifest,
        fencing: planned.fencing,
        serve: true,
    };
    let _ = link.sender.try_send(ControlMessage::Order(order));
}
