//! State derived from gossip: the present entries, the connected agents and the routes.

use std::{collections::HashSet, sync::atomic::Ordering};

use cassiawheel_decide::{PeerEntry, advice::EntryCandidate, feed_role};
use cassiawheel_model::{EntryRecord, PresetRevision, Timestamp};

use crate::{routed::RoutedState, shared::EntryShared};

/// Derives membership and routes if they are stale and were not derived just before.
pub(super) fn derive_stale_state(shared: &EntryShared, routed: &RoutedState) {
    let overlay = &routed.overlay;
    if routed.departures.take_stale() {
        // Departures are rare, and each further request to such an endpoint counts.
        shared.rebuild_routes();
    }
    let is_stale = overlay.membership_stale.load(Ordering::Acquire)
        || overlay.routes_stale.load(Ordering::Acquire);
    if !is_stale || !overlay.begin_derivation(Timestamp::now()) {
        return;
    }
    if overlay.membership_stale.swap(false, Ordering::AcqRel) {
        refresh_membership(shared, routed);
    }
    if overlay.routes_stale.swap(false, Ordering::AcqRel) {
        shared.rebuild_routes();
    }
}

/// Derives the present entries and agents from the records.
pub(super) fn refresh_membership(shared: &EntryShared, routed: &RoutedState) {
    let own = &shared.settings.place.instance;
    let now = Timestamp::now();
    let state = routed.overlay.lock();
    let present = state.present(own);
    routed.set_feed_role(feed_role(own, &present));
    let others = present.iter().filter(|record| record.instance != *own);
    let connected = shared.links.load();
    let attached = others.clone().flat_map(|record| record.agents.iter());
    let attached: HashSet<_> = attached.chain(connected.keys()).cloned().collect();
    let peers = others.map(|record| (record.instance.clone(), peer_entry(record, now))).collect();
    shared.peers().replace(peers, now);
    drop(state);
    if shared.roster().set_attached(attached) {
        shared.plan_stale.store(true, Ordering::Release);
        routed.overlay.routes_stale.store(true, Ordering::Release);
    }
}

fn peer_entry(record: &EntryRecord, now: Timestamp) -> PeerEntry {
    let advice = EntryCandidate {
        caller_addr: record.caller_addr,
        failure_domain: record.failure_domain.clone(),
        region: Some(record.region.clone()),
        in_flight: 0,
        leaving: record.leaving,
    };
    PeerEntry {
        advice,
        incarnation: record.incarnation,
        revision: PresetRevision::default(),
        advised: record.advised,
        last_seen: now,
    }
}
