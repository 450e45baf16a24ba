//! The admission gate of an endpoint.

use cassiawheel_decide::{GateState, SwitchError};
use cassiawheel_model::{ModelVersion, NotRunReason, PresetRevision};

fn version(name: &str) -> Option<ModelVersion> {
    Some(ModelVersion::new(name).expect("a valid name"))
}

fn serving(name: &str) -> GateState {
    let mut gate = GateState::new(2);
    gate.begin_switch().expect("the gate is open to switches");
    gate.commit_switch(version(name)).expect("nothing is in progress");
    gate
}

/// Guards against swapping weights while a request is in progress, so that the rest of its
/// response comes from the new version.
#[test]
fn a_switch_waits_for_requests_in_progress() {
    let mut gate = serving("v1");
    gate.acquire(PresetRevision(1), version("v1").as_ref()).expect("admitted");
    gate.begin_switch().expect("the switch begins");
    assert!(!gate.can_swap_weights());
    assert_eq!(gate.commit_switch(version("v2")), Err(SwitchError::Busy));
    let refused = gate.acquire(PresetRevision(1), version("v1").as_ref());
    assert_eq!(refused, Err(NotRunReason::Switching));
    gate.release();
    assert!(gate.can_swap_weights());
}

/// Guards against running a request that a lagging entry routed under an older preset than
/// the endpoint has seen.
#[test]
fn a_request_of_an_older_preset_is_refused() {
    let mut gate = serving("v1");
    gate.raise_revision(PresetRevision(5));
    let refused = gate.acquire(PresetRevision(4), version("v1").as_ref());
    assert_eq!(refused, Err(NotRunReason::StaleRevision));
}
