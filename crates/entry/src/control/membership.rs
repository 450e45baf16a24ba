//! Keeping the roster: silent endpoints, the platform's list, peers of agents.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cassiawheel_model::{EndpointRole, ServiceName, Timestamp};
use cassiawheel_platform::{InstanceList, ListedState};
use cassiawheel_wire::{ControlMessage, message::EndpointAddress};
use rand::seq::IndexedRandom;
use smol::Timer;

use crate::shared::EntryShared;

/// Time between looks for silent endpoints.
const EXPIRE_TIME: Duration = Duration::from_millis(100);

/// Time between reads of the platform's list.
const LIST_TIME: Duration = Duration::from_secs(1);

/// Time between lists of peers to agents.
const PEERS_TIME: Duration = Duration::from_millis(500);

/// Most peers that an agent is told at a time.
const MAX_PEERS: usize = 256;

/// Drops endpoints and entries whose heartbeats stopped.
pub(crate) async fn expire_silent(shared: Arc<EntryShared>) {
    let timeout = shared.settings.control.heartbeat_timeout_ms;
    loop {
        Timer::after(EXPIRE_TIME).await;
        let oldest = Timestamp(Timestamp::now().0.saturating_sub(timeout));
        let silent = shared.roster().expire(oldest);
        for instance in &silent {
            log::warn!(target: "roster", instance:% = instance; "An endpoint is silent.");
        }
        if !silent.is_empty() {
            shared.rebuild_routes();
        }
        shared.peers().retain(|_, peer| peer.heard_at >= oldest);
    }
}

/// Follows the platform's list of leaving instances.
pub(crate) async fn follow_list(shared: Arc<EntryShared>, list: Arc<dyn InstanceList>) {
    loop {
        match list.list().await {
            Ok(listed) => {
                let leaving = listed
                    .into_iter()
                    .filter(|listed| listed.state == ListedState::Leaving)
                    .map(|listed| listed.instance)
                    .collect();
                shared.roster().list_leaving(leaving);
                shared.rebuild_routes();
            }
            Err(error) => {
                log::warn!(target: "roster", cause:% = error; "The list of instances cannot be read.");
            }
        }
        Timer::after(LIST_TIME).await;
    }
}

/// Tells agents whom they may swap chunks with.
pub(crate) async fn introduce_agents(shared: Arc<EntryShared>) {
    loop {
        Timer::after(PEERS_TIME).await;
        let mut by_service: HashMap<ServiceName, Vec<EndpointAddress>> = HashMap::new();
        for member in shared.roster().members() {
            let report = &member.report;
            if report.role == EndpointRole::Model {
                by_service.entry(report.service.clone()).or_default().push(EndpointAddress {
                    instance: report.instance.clone(),
                    inner_addr: report.inner_addr,
                    failure_domain: report.failure_domain.clone(),
                });
            }
        }
        let links = shared.links.load();
        for agents in by_service.values() {
            for agent in agents {
                let Some(link) = links.get(&agent.instance) else {
                    continue;
                };
                let peers: Vec<_> =
                    agents.choose_multiple(&mut rand::rng(), MAX_PEERS).cloned().collect();
                let _ = link.sender.try_send(ControlMessage::Peers(peers));
            }
        }
    }
}
